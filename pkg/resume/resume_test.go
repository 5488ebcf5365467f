package resume

import (
	"bytes"
	"encoding/base64"
	"testing"

	"github.com/joomcode/errorx"
	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/rhubarbsill/rhubarbsill/pkg/core"
)

func testKey(id string, fill byte) Key {
	return Key{ID: id, Secret: bytes.Repeat([]byte{fill}, KeyBytes)}
}

func newSealer(t interface{ Fatal(...any) }, keys ...Key) *Sealer {
	s, err := New(keys)
	if err != nil {
		t.Fatal(err)
	}
	return s
}

func drawPosition(t *rapid.T) Position {
	return Position{
		Account:  core.AccountID(rapid.StringN(0, 20, 40).Draw(t, "account")),
		Request:  core.RequestID(rapid.StringN(0, 36, 72).Draw(t, "request")),
		Upstream: core.UpstreamID(rapid.StringN(0, 20, 40).Draw(t, "upstream")),
		Attempt: core.AttemptID{
			Owner: core.InstanceRef{
				ID:          core.InstanceID(rapid.StringN(0, 20, 40).Draw(t, "instance")),
				Incarnation: core.Incarnation(rapid.Uint64().Draw(t, "incarnation")),
			},
			Seq: rapid.Uint64().Draw(t, "seq"),
		},
		Offset: rapid.IntRange(0, 1<<40).Draw(t, "offset"),
	}
}

// Guards against a caller that can't resume at another Instance, including during a key
// rotation.
func TestAnyInstanceOpensDuringRotation(t *testing.T) {
	before, during, after := newSealer(t, testKey("1", 1)), newSealer(t, testKey("1", 1), testKey("2", 2)), newSealer(t, testKey("2", 2), testKey("1", 1))
	steps := []struct{ seal, open *Sealer }{{before, during}, {during, before}, {during, after}, {after, during}, {after, after}}
	rapid.Check(t, func(t *rapid.T) {
		p := drawPosition(t)
		for i, step := range steps {
			got, err := step.open.Open(p.Account, step.seal.Seal(p))
			if err != nil || got != p {
				t.Fatalf("step %d: got %v, %v; want %v", i, got, err, p)
			}
		}
		if _, err := newSealer(t, testKey("3", 3)).Open(p.Account, after.Seal(p)); !errorx.IsOfType(err, ErrUnknownKey) {
			t.Fatalf("unknown key id: got %v", err)
		}
		if _, err := newSealer(t, testKey("2", 9)).Open(p.Account, after.Seal(p)); !errorx.IsOfType(err, ErrTampered) {
			t.Fatalf("other secret under the same key id: got %v", err)
		}
		if _, err := after.Open(p.Account+"x", after.Seal(p)); !errorx.IsOfType(err, ErrWrongAccount) {
			t.Fatalf("wrong account: got %v", err)
		}
	})
}

// Guards against an ID that still opens after a change of one bit or one character, or
// after it was truncated, extended or joined from two IDs.
func TestTamperedIDsAreRefused(t *testing.T) {
	s := newSealer(t, testKey("1", 1), testKey("2", 2))
	rapid.Check(t, func(t *rapid.T) {
		p, q := drawPosition(t), drawPosition(t)
		q.Account = p.Account
		id := s.Seal(p)
		raw, err := base64.RawURLEncoding.DecodeString(id)
		if err != nil {
			t.Fatal(err)
		}
		other, _ := base64.RawURLEncoding.DecodeString(s.Seal(q))
		changed := bytes.Clone(raw)
		bit := rapid.IntRange(0, len(raw)*8-1).Draw(t, "bit")
		changed[bit/8] ^= 1 << (bit % 8)
		cut := rapid.IntRange(0, len(raw)-1).Draw(t, "cut")
		// The two IDs have different nonces, so the tag of one does not authenticate
		// the other.
		joined := append(bytes.Clone(raw[:len(raw)-16]), other[len(other)-16:]...)
		at := rapid.IntRange(0, len(id)-1).Draw(t, "character")
		if c := rapid.SampledFrom([]byte("ABCDwxyz0189-_=.")).Draw(t, "replacement"); c != id[at] {
			if got, err := s.Open(p.Account, id[:at]+string(c)+id[at+1:]); err == nil {
				t.Fatalf("id with character %d changed opened as %v", at, got)
			}
		}
		// If the length of the encoding leaves unused bits, several last characters
		// decode to the same bytes.
		if last := len(id) - 1; len(id)%4 != 0 {
			for _, c := range "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789-_" {
				if got, err := s.Open(p.Account, id[:last]+string(c)); err == nil && byte(c) != id[last] {
					t.Fatalf("alternative encoding of the id opened as %v", got)
				}
			}
		}
		for name, bad := range map[string][]byte{"bit": changed, "cut": raw[:cut], "extended": append(bytes.Clone(raw), 0), "joined": joined} {
			if got, err := s.Open(p.Account, base64.RawURLEncoding.EncodeToString(bad)); err == nil {
				t.Fatalf("%s: id opened as %v", name, got)
			}
		}
	})
}

// Guards against two IDs with the same nonce, which would reveal their content.
func TestNoncesAreUnique(t *testing.T) {
	is := is.New(t)
	a, b := newSealer(t, testKey("1", 1)), newSealer(t, testKey("1", 1))
	seen := make(map[string]bool)
	for range 1000 {
		for _, s := range []*Sealer{a, b} {
			raw, err := base64.RawURLEncoding.DecodeString(s.Seal(Position{}))
			is.NoErr(err)
			nonce := string(raw[3 : 3+24])
			is.True(!seen[nonce])
			seen[nonce] = true
		}
	}
}

// Guards against a key ring that accepts a key of the wrong length or keys with the
// same ID.
func TestKeyRingIsChecked(t *testing.T) {
	short := Key{ID: "1", Secret: make([]byte, 16)}
	for name, keys := range map[string][]Key{
		"none": {}, "three": {testKey("1", 1), testKey("2", 2), testKey("3", 3)}, "short": {short}, "no id": {testKey("", 1)}, "same id": {testKey("1", 1), testKey("1", 2)},
	} {
		if _, err := New(keys); !errorx.IsOfType(err, ErrInvalidKey) {
			t.Errorf("%s: got %v", name, err)
		}
	}
}

// Guards against an ID that is too long for an SSE field when names have usual lengths.
func TestIDIsCompact(t *testing.T) {
	is := is.New(t)
	id := newSealer(t, testKey("k1", 1)).Seal(samplePosition)
	is.True(len(id) <= 200)
}

var samplePosition = Position{
	Account: "acme", Request: "018f5a9e-7b1c-7cc0-9d3e-1f2a3b4c5d6e", Upstream: "decode-17",
	Attempt: core.AttemptID{Owner: core.InstanceRef{ID: "santander-a-3", Incarnation: 1_770_000_000}, Seq: 991_234}, Offset: 512,
}

// Guards against a panic on, or the acceptance of, an ID that was never sealed.
func FuzzOpen(f *testing.F) {
	s := newSealer(f, testKey("1", 1))
	// The fuzzing engine runs several processes, in which the genuine ID must be the
	// same.
	s.noncePrefix = [noncePrefixBytes]byte{}
	genuine := s.Seal(samplePosition)
	f.Add(genuine)
	f.Add("")
	f.Add(genuine[:40])
	f.Add("AQExAAAA")
	f.Fuzz(func(t *testing.T, id string) {
		p, err := s.Open(samplePosition.Account, id)
		if err == nil && (id != genuine || p != samplePosition) {
			t.Fatalf("forged id %q opened as %v", id, p)
		}
	})
}

// Guards against a panic on a position in another format, as an Instance of another
// release may send it.
func FuzzParsePosition(f *testing.F) {
	f.Add(appendPosition(nil, samplePosition))
	f.Add([]byte{0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0x01})
	f.Fuzz(func(t *testing.T, plain []byte) {
		p, ok := parsePosition(plain)
		if !ok {
			return
		}
		if reparsed, ok := parsePosition(appendPosition(nil, p)); !ok || reparsed != p {
			t.Fatalf("got %v, then %v", p, reparsed)
		}
	})
}

func BenchmarkSeal(b *testing.B) {
	s := newSealer(b, testKey("1", 1))
	b.ReportAllocs()
	for b.Loop() {
		s.Seal(samplePosition)
	}
	b.ReportMetric(float64(len(s.Seal(samplePosition))), "chars/id")
}

func BenchmarkOpen(b *testing.B) {
	s := newSealer(b, testKey("1", 1))
	id := s.Seal(samplePosition)
	b.ReportAllocs()
	for b.Loop() {
		if _, err := s.Open(samplePosition.Account, id); err != nil {
			b.Fatal(err)
		}
	}
}
