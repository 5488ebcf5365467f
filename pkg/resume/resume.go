// Package resume seals the position of a caller in its answer into the id of a
// server-sent event. Any Instance can open it; no caller can forge or change it,
// or use one of another ClientAccount.
package resume

import (
	"crypto/cipher"
	"crypto/rand"
	"crypto/subtle"
	"encoding/base64"
	"encoding/binary"
	"sync/atomic"

	"github.com/joomcode/errorx"
	"golang.org/x/crypto/chacha20poly1305"

	"github.com/rhubarbsill/rhubarbsill/pkg/core"
)

// Errors of New and Open. No stack traces are taken, because callers can cause
// these errors at will.
var (
	namespace = errorx.NewNamespace("resume").ApplyModifiers(errorx.TypeModifierOmitStackTrace)

	// ErrInvalidKey means that the key ring can't be used.
	ErrInvalidKey = namespace.NewType("bad_key")
	// ErrMalformed means that the text is not a sealed id.
	ErrMalformed = namespace.NewType("malformed")
	// ErrUnknownKey means that no valid key has the id's key id.
	ErrUnknownKey = namespace.NewType("unknown_key")
	// ErrTampered means that the id was not sealed with this key or was changed.
	ErrTampered = namespace.NewType("tampered")
	// ErrWrongAccount means that the id belongs to another ClientAccount.
	ErrWrongAccount = namespace.NewType("wrong_account")
)

// KeyBytes is the length of a secret.
const KeyBytes = chacha20poly1305.KeySize

// MaxLength is the longest sealed id, in characters, that Open looks at.
const MaxLength = 1024

const (
	formatVersion = 1
	// maxKeys allows for the current and the previous generation.
	maxKeys = 2
	// noncePrefixBytes is the random part of a nonce; the rest counts up. Random
	// 96-bit nonces would come near to a repeat within hours at 3.2 M tokens/s,
	// therefore the 192-bit nonces of XChaCha20-Poly1305 are used.
	noncePrefixBytes = chacha20poly1305.NonceSizeX - 8
)

// Key is one generation of the sealing secret.
type Key struct {
	ID     string
	Secret []byte
}

// Position is the place of a caller in its answer.
type Position struct {
	Account  core.AccountID
	Request  core.RequestID
	Upstream core.UpstreamID
	Attempt  core.AttemptID
	// Offset is the index of the next token that the caller wants.
	Offset int
}

// Sealer seals and opens ids. It is safe for concurrent use.
type Sealer struct {
	sealingKey   aeadKey
	keys         []aeadKey
	noncePrefix  [noncePrefixBytes]byte
	nonceCounter atomic.Uint64
}

type aeadKey struct {
	id   string
	aead cipher.AEAD
}

// New returns a sealer that seals with the first key and opens with all of them.
// There are one or two keys. To rotate, the new key is first added as the second,
// and becomes the first when all Instances have it.
func New(keys []Key) (*Sealer, error) {
	if len(keys) == 0 || len(keys) > maxKeys {
		return nil, ErrInvalidKey.New("%d keys, want 1 or 2", len(keys))
	}
	s := &Sealer{}
	for _, key := range keys {
		if key.ID == "" || len(key.ID) > 255 {
			return nil, ErrInvalidKey.New("key id %q must have 1 to 255 bytes", key.ID)
		}
		if len(s.keys) == 1 && s.keys[0].id == key.ID {
			return nil, ErrInvalidKey.New("key id %q appears twice", key.ID)
		}
		aead, err := chacha20poly1305.NewX(key.Secret)
		if err != nil {
			return nil, ErrInvalidKey.New("key %q: secret has %d bytes, want %d", key.ID, len(key.Secret), KeyBytes)
		}
		s.keys = append(s.keys, aeadKey{id: key.ID, aead: aead})
	}
	s.sealingKey = s.keys[0]
	if _, err := rand.Read(s.noncePrefix[:]); err != nil {
		return nil, ErrInvalidKey.Wrap(err, "nonce prefix")
	}
	return s, nil
}

// Seal returns the id for a position.
func (s *Sealer) Seal(p Position) string {
	raw := make([]byte, 0, 192)
	raw = append(raw, formatVersion, byte(len(s.sealingKey.id)))
	raw = append(raw, s.sealingKey.id...)
	header := len(raw)
	raw = append(raw, s.noncePrefix[:]...)
	raw = binary.BigEndian.AppendUint64(raw, s.nonceCounter.Add(1))
	var plain [256]byte
	raw = s.sealingKey.aead.Seal(raw, raw[header:], appendPosition(plain[:0], p), raw[:header])
	return base64.RawURLEncoding.EncodeToString(raw)
}

// Open returns the position in an id that was sealed for the account. The errors
// are of the types ErrMalformed, ErrUnknownKey, ErrTampered and ErrWrongAccount.
func (s *Sealer) Open(account core.AccountID, id string) (Position, error) {
	if len(id) > MaxLength {
		return Position{}, ErrMalformed.New("id has %d characters, limit is %d", len(id), MaxLength)
	}
	raw, err := base64.RawURLEncoding.Strict().DecodeString(id)
	if err != nil {
		return Position{}, ErrMalformed.New("id is not base64url")
	}
	if len(raw) < 2 || raw[0] != formatVersion {
		return Position{}, ErrMalformed.New("id has an unknown format")
	}
	header := 2 + int(raw[1])
	if len(raw) < header+chacha20poly1305.NonceSizeX+chacha20poly1305.Overhead {
		return Position{}, ErrMalformed.New("id is too short")
	}
	g, ok := s.keyByID(string(raw[2:header]))
	if !ok {
		return Position{}, ErrUnknownKey.New("no valid key has this key id")
	}
	body := header + chacha20poly1305.NonceSizeX
	plain, err := g.aead.Open(nil, raw[header:body], raw[body:], raw[:header])
	if err != nil {
		return Position{}, ErrTampered.New("id is not authentic")
	}
	p, ok := parsePosition(plain)
	if !ok {
		return Position{}, ErrMalformed.New("sealed position can't be read")
	}
	if subtle.ConstantTimeCompare([]byte(p.Account), []byte(account)) != 1 {
		return Position{}, ErrWrongAccount.New("id belongs to another account")
	}
	return p, nil
}

func (s *Sealer) keyByID(id string) (aeadKey, bool) {
	for _, g := range s.keys {
		if g.id == id {
			return g, true
		}
	}
	return aeadKey{}, false
}

func appendPosition(to []byte, p Position) []byte {
	to = appendString(to, string(p.Account))
	to = appendString(to, string(p.Request))
	to = appendString(to, string(p.Upstream))
	to = appendString(to, string(p.Attempt.Owner.ID))
	to = binary.AppendUvarint(to, uint64(p.Attempt.Owner.Incarnation))
	to = binary.AppendUvarint(to, p.Attempt.Seq)
	return binary.AppendUvarint(to, uint64(p.Offset))
}

func appendString(to []byte, text string) []byte {
	to = binary.AppendUvarint(to, uint64(len(text)))
	return append(to, text...)
}

func parsePosition(plain []byte) (Position, bool) {
	f := positionReader{rest: plain, ok: true}
	p := Position{
		Account:  core.AccountID(f.readString()),
		Request:  core.RequestID(f.readString()),
		Upstream: core.UpstreamID(f.readString()),
	}
	p.Attempt.Owner.ID = core.InstanceID(f.readString())
	p.Attempt.Owner.Incarnation = core.Incarnation(f.readUvarint())
	p.Attempt.Seq = f.readUvarint()
	p.Offset = int(f.readUvarint())
	return p, f.ok && len(f.rest) == 0 && p.Offset >= 0
}

// positionReader reads the parts of a position; ok turns false at the first bad one.
type positionReader struct {
	rest []byte
	ok   bool
}

func (f *positionReader) readUvarint() uint64 {
	value, n := binary.Uvarint(f.rest)
	if n <= 0 {
		f.ok, f.rest = false, nil
		return 0
	}
	f.rest = f.rest[n:]
	return value
}

func (f *positionReader) readString() string {
	size := f.readUvarint()
	if size > uint64(len(f.rest)) {
		f.ok, f.rest = false, nil
		return ""
	}
	value := string(f.rest[:size])
	f.rest = f.rest[size:]
	return value
}
