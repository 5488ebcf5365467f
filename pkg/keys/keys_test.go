package keys

import (
	"bytes"
	"crypto/rand"
	"encoding/json"
	"fmt"
	"log/slog"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rhubarbsill/rhubarbsill/pkg/config"
	"github.com/rhubarbsill/rhubarbsill/pkg/core"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
	"pgregory.net/rapid"
)

// Guards against a secret in a log, an error message or an encoded value, also
// when it is in an unexported field, whose methods fmt and JSON can't call.
func TestSecretIsRedacted(t *testing.T) {
	is := is.New(t)
	const text = "swordfish-swordfish-1"
	cred := Credential{Account: "a", Key: "k", Secret: NewSecret(text)}
	hidden := struct{ cred Credential }{cred}
	values := []any{cred.Secret, &cred.Secret, cred, &cred, hidden, &hidden, []any{cred}, map[string]any{"c": cred}}
	var out bytes.Buffer
	for _, verb := range "vTtbcdoOqxXUeEfFgGsp" {
		for _, flag := range []string{"", "+", "#", " ", "-30", "0"} {
			for _, value := range values {
				fmt.Fprintf(&out, "%"+flag+string(verb)+"\n", value)
			}
		}
	}
	console := zapcore.NewConsoleEncoder(zap.NewDevelopmentEncoderConfig())
	log := zap.New(zapcore.NewCore(console, zapcore.AddSync(&out), zap.DebugLevel))
	for _, value := range values {
		text, err := json.Marshal(value)
		is.NoErr(err)
		out.Write(text)
		log.Info("keys: test", zap.Any("value", value), zap.Reflect("reflected", value), zap.Stringer("text", cred.Secret))
		log.Sugar().Infow("keys: test", "value", value)
		slog.New(slog.NewJSONHandler(&out, nil)).Info("test", "value", value)
	}
	for _, form := range []string{text, fmt.Sprintf("%x", text), fmt.Sprintf("%X", text), fmt.Sprint([]byte(text))} {
		is.True(!strings.Contains(out.String(), form))
	}
	is.Equal(fmt.Sprintf("%s %[1]v %+[1]v %#[1]v %[1]q %[1]x", cred.Secret), strings.Repeat("[redacted] ", 5)+"[redacted]")
	encoded, err := json.Marshal(cred.Secret)
	is.NoErr(err)
	is.Equal(string(encoded), `"[redacted]"`)
}

// Guards against a key text from Generate that ParseKey refuses, and against a
// malformed text that causes a panic or is quoted in the refusal.
func TestParseKey(t *testing.T) {
	is := is.New(t)
	text, entry, err := Generate(rand.Reader, "acme-1", "k-2")
	is.NoErr(err)
	cred, refusal := ParseKey(text)
	is.True(refusal == nil)
	is.Equal(cred.Account, core.AccountID("acme-1"))
	is.Equal(cred.Key, core.KeyID("k-2"))
	is.True(cred.Secret.matches(&entry))
	rapid.Check(t, func(t *rapid.T) {
		bad := rapid.OneOf(rapid.String(), rapid.Map(rapid.String(), func(s string) string { return "rsk_" + s })).Draw(t, "text")
		if cred, refusal := ParseKey(bad); refusal == nil && !config.ValidName(string(cred.Account)) {
			t.Fatalf("accepted %q", bad)
		} else if refusal != nil && len(bad) > 8 && strings.Contains(refusal.Error(), bad) {
			t.Fatalf("refusal quotes %q", bad)
		}
	})
	_, _, err = Generate(rand.Reader, "a.b", "k")
	is.True(err != nil)
	_, _, err = Generate(strings.NewReader("short"), "a", "k")
	is.True(err != nil)
}

const s = time.Second

func at(d time.Duration) core.Instant { return core.Instant(d) }

// Guards against a Mode that does not follow from the last confirmation and the
// reports of the reachable peers in the store's region.
func TestMode(t *testing.T) {
	nearPeer := func(n int) core.InstanceRef { return core.InstanceRef{ID: core.InstanceID(fmt.Sprint("n", n))} }
	cases := []struct {
		name string
		do   func(c *Checker)
		at   time.Duration
		want Mode
	}{
		{"no confirmation", func(c *Checker) {}, 0, Partitioned},
		{"recent", func(c *Checker) {}, 2 * s, Fresh},
		{"no peer", func(c *Checker) {}, 4 * s, Partitioned},
		{"peer without recent", func(c *Checker) { c.OnPeerReport(at(4*s), nearPeer(1), "near", 4*s) }, 5 * s, StoreOutage},
		{"peer of another region", func(c *Checker) { c.OnPeerReport(at(4*s), nearPeer(1), "far", 4*s) }, 5 * s, Partitioned},
		{"peer lost", func(c *Checker) { c.OnPeerReport(at(4*s), nearPeer(1), "near", 4*s) }, 8 * s, Partitioned},
		{"peer with recent", func(c *Checker) { c.OnPeerReport(at(4*s), nearPeer(1), "near", 0) }, 5 * s, Behind},
		{"one of two recent", func(c *Checker) {
			c.OnPeerReport(at(4*s), nearPeer(1), "near", 4*s)
			c.OnPeerReport(at(4*s), nearPeer(2), "near", 0)
		}, 5 * s, Behind},
		{"recent peer lost", func(c *Checker) {
			c.OnPeerReport(at(0), nearPeer(1), "near", 0)
			c.OnPeerReport(at(4*s), nearPeer(2), "near", 4*s)
		}, 5 * s, StoreOutage},
		{"newer version not read", func(c *Checker) { c.Confirm(at(4*s), 8, 0) }, 5 * s, Partitioned},
		{"newer version read", func(c *Checker) { c.Confirm(at(4*s), 8, 0); c.MarkVersionRead(at(5*s), 8) }, 5 * s, Fresh},
		{"lower version", func(c *Checker) { c.Confirm(at(4*s), 6, 0) }, 5 * s, Partitioned},
		{"same version again", func(c *Checker) { c.Confirm(at(4*s), 7, s) }, 5 * s, Fresh},
		{"old age", func(c *Checker) { c.Confirm(at(4*s), 7, 3*s) }, 5 * s, Partitioned},
		{"earlier incarnation of a peer", func(c *Checker) {
			c.OnPeerReport(at(4*s), core.InstanceRef{ID: "n", Incarnation: 2}, "near", 4*s)
			c.OnPeerReport(at(4*s), core.InstanceRef{ID: "n", Incarnation: 1}, "near", 0)
		}, 5 * s, StoreOutage},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			checker := New(Params{Region: "far", StoreRegion: "near"})
			if c.name != "no confirmation" {
				checker.MarkVersionRead(0, 7)
				checker.Confirm(0, 7, 0)
			}
			c.do(checker)
			is.Equal(checker.Mode(at(c.at)), c.want)
		})
	}
}

// fixture is one account with a key for each version that revokes one.
type fixture struct {
	creds []Credential // the last one is never revoked
	snaps []*config.Snapshot
}

const revocations = 8

func newFixture() fixture {
	var f fixture
	doc := &config.Document{Services: []config.Service{
		{Name: "strict", Kind: config.ServicePlain, PartitionPolicy: config.PartitionRefuse},
		{Name: "lenient", Kind: config.ServicePlain, PartitionPolicy: config.PartitionServe},
		{Name: "other", Kind: config.ServicePlain},
	}}
	account := config.ClientAccount{ID: "a", Services: []core.ServiceName{"strict", "lenient"}}
	for i := range revocations + 1 {
		text, entry, err := Generate(rand.Reader, "a", core.KeyID(fmt.Sprint("k", i)))
		if err != nil {
			panic(err)
		}
		cred, _ := ParseKey(text)
		f.creds = append(f.creds, cred)
		account.Keys = append(account.Keys, entry)
	}
	for v := range revocations + 1 {
		if v > 0 {
			account.Keys[v-1].Revoked = true
		}
		doc.Accounts = []config.ClientAccount{account}
		f.snaps = append(f.snaps, config.Compile(doc, core.Version(v+1)))
	}
	return f
}

func (f fixture) service(name core.ServiceName) *config.Service {
	service, _ := f.snaps[0].Service(name)
	return service
}

func codeOf(refusal *core.Refusal) core.Code {
	if refusal == nil {
		return ""
	}
	return refusal.Code
}

// Guards against a wrong refusal code, a key that another account can use, and
// a grace period or partition policy that is not applied.
func TestCheck(t *testing.T) {
	is := is.New(t)
	f := newFixture()
	c := New(Params{Region: "far", StoreRegion: "near"})
	good, strict, lenient := f.creds[revocations], f.service("strict"), f.service("lenient")
	check := func(d time.Duration, snap *config.Snapshot, cred Credential, service *config.Service) core.Code {
		refusal := c.Check(at(d), snap, cred, service)
		is.True(refusal == nil || refusal.Ran == core.NotRun)
		return codeOf(refusal)
	}
	is.Equal(check(0, nil, good, strict), core.CodeNotConfigured)
	is.Equal(check(0, f.snaps[0], good, strict), core.CodeKeysStale)
	is.Equal(check(0, f.snaps[0], good, lenient), core.CodeKeysStale) // no confirmation at all
	c.Confirm(0, 1, 0)
	is.Equal(check(0, f.snaps[0], good, strict), core.Code(""))
	is.Equal(check(0, f.snaps[0], good, nil), core.Code(""))
	is.Equal(check(0, f.snaps[0], good, f.service("other")), core.CodeServiceNotAllowed)
	wrong := good
	wrong.Secret = f.creds[0].Secret
	is.Equal(check(0, f.snaps[0], wrong, strict), core.CodeUnknownKey)
	wrong = good
	wrong.Account = "b"
	is.Equal(check(0, f.snaps[0], wrong, strict), core.CodeUnknownKey)
	is.Equal(check(0, f.snaps[0], Credential{}, strict), core.CodeUnknownKey)
	is.Equal(check(7900*time.Millisecond, f.snaps[0], good, strict), core.Code("")) // 3 s + 5 s
	is.Equal(check(8*s, f.snaps[0], good, strict), core.CodeKeysStale)
	is.Equal(check(time.Hour, f.snaps[0], good, lenient), core.Code(""))
	c.Confirm(at(time.Hour), 1, 0)
	c.OnPeerReport(at(time.Hour+2*s), core.InstanceRef{ID: "n"}, "near", 3*s)
	is.Equal(check(time.Hour+9900*time.Millisecond, f.snaps[0], good, strict), core.Code("")) // 2 s + 3 s + 5 s
	is.Equal(check(time.Hour+10*s, f.snaps[0], good, strict), core.CodeKeysStale)
	c.Confirm(at(time.Hour), 1, 0)
	c.Reset()
	is.Equal(check(time.Hour, f.snaps[0], good, strict), core.CodeKeysStale)
	is.Equal(check(time.Hour, f.snaps[0], good, lenient), core.Code(""))
}

// Guards against a revocation that is applied only with the complete version, one
// that is dropped too early, and one that still applies under a later version in
// which the key is valid again.
func TestRevocationBeforeVersionIsActive(t *testing.T) {
	is := is.New(t)
	f := newFixture()
	c := New(Params{Region: "near", StoreRegion: "near"})
	code := func(snap *config.Snapshot, cred Credential) core.Code {
		c.Confirm(0, 9, 0)
		return codeOf(c.Check(0, snap, cred, nil))
	}
	c.Confirm(0, 1, 0)
	is.Equal(codeOf(c.Check(0, f.snaps[0], f.creds[4], nil)), core.Code(""))
	c.RevokeAtVersion(5, "a", "k4")
	is.Equal(code(f.snaps[0], f.creds[4]), core.CodeKeyRevoked)
	is.Equal(code(f.snaps[3], f.creds[4]), core.CodeKeyRevoked)
	granted := f.snaps[0].Document()
	again := config.Compile(granted, 9)
	is.Equal(code(again, f.creds[4]), core.Code(""))
	c.RevokeAtVersion(5, "a", "k4") // a late message
	is.Equal(code(again, f.creds[4]), core.Code(""))
	c.Revoke("a", "k5")
	is.Equal(code(config.Compile(granted, 12), f.creds[5]), core.CodeKeyRevoked)
}

// Guards against a late message that makes an old confirmation look recent.
func TestAgeBound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		span := func(name string) float64 { return float64(rapid.Int64Range(0, int64(time.Hour)).Draw(t, name)) }
		rates := rapid.SampledFrom([]float64{0.99, 1, 1.01})
		own, other := rates.Draw(t, "own"), rates.Draw(t, "other")
		there, holdTime, back, age := span("there"), span("held"), span("back"), span("age")
		roundTrip := core.Instant((there + holdTime + back) * own)
		got := AgeBound(roundTrip, 0, time.Duration(holdTime*other), time.Duration(age*other))
		if want := time.Duration((age + back) * own); got < want-time.Microsecond || got > want+time.Duration(there*own+(age+holdTime)/10)+time.Microsecond {
			t.Fatalf("bound %v of an age of %v", got, want)
		}
	})
}

func BenchmarkCheck(b *testing.B) {
	f := newFixture()
	c := New(Params{Region: "near", StoreRegion: "near"})
	c.Confirm(0, 1, 0)
	for b.Loop() {
		if refusal := c.Check(0, f.snaps[0], f.creds[0], f.service("strict")); refusal != nil {
			b.Fatal(refusal)
		}
	}
}
