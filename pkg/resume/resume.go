// Package resume encodes the position of a caller in a streamed response as the ID of
// a server-sent event. The ID is encrypted and authenticated: any Instance can decrypt
// it, while a caller can't forge or change it, or use one of another ClientAccount.
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

// Errors of New and Open. They have no stack traces, because callers can cause them at
// any rate.
var (
	namespace = errorx.NewNamespace("resume").ApplyModifiers(errorx.TypeModifierOmitStackTrace)

	// ErrInvalidKey means that the key ring is invalid.
	ErrInvalidKey = namespace.NewType("bad_key")
	// ErrMalformed means that the text does not have the format of a sealed ID.
	ErrMalformed = namespace.NewType("malformed")
	// ErrUnknownKey means that no key of the Sealer has the key ID in the sealed ID.
	ErrUnknownKey = namespace.NewType("unknown_key")
	// ErrTampered means that the ID was not sealed with this key or was changed.
	ErrTampered = namespace.NewType("tampered")
	// ErrWrongAccount means that the ID belongs to another ClientAccount.
	ErrWrongAccount = namespace.NewType("wrong_account")
)

// KeyBytes is the length of a secret in bytes.
const KeyBytes = chacha20poly1305.KeySize

// MaxLength is the length, in characters, of the longest sealed ID that Open accepts.
const MaxLength = 1024

const (
	formatVersion = 1
	// maxKeys allows for two versions of the key during a rotation.
	maxKeys = 2
	// noncePrefixBytes is the length of the random part of a nonce; the rest is a
	// counter. Random 96-bit nonces would risk a collision within hours at 3.2 M
	// tokens/s, so XChaCha20-Poly1305 with its 192-bit nonces is used.
	noncePrefixBytes = chacha20poly1305.NonceSizeX - 8
)

// Key is one version of the sealing secret.
type Key struct {
	ID     string
	Secret []byte
}

// Position is the position of a caller in a streamed response.
type Position struct {
	Account  core.AccountID
	Request  core.RequestID
	Upstream core.UpstreamID
	Attempt  core.AttemptID
	// Offset is the index of the next token to send to the caller.
	Offset int
}

// Sealer seals positions and opens sealed IDs. It is safe for concurrent use.
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

// New returns a sealer that seals with the first of one or two keys and opens with all
// of them. To rotate the key, add the new one as the second key, and make it the first
// once all Instances have it.
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

// Seal returns the sealed ID of a position.
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

// Open returns the position in an ID that was sealed for the account. The errors
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
	key, ok := s.keyByID(string(raw[2:header]))
	if !ok {
		return Position{}, ErrUnknownKey.New("no valid key has this key id")
	}
	body := header + chacha20poly1305.NonceSizeX
	plain, err := key.aead.Open(nil, raw[header:body], raw[body:], raw[:header])
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
	for _, key := range s.keys {
		if key.id == id {
			return key, true
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
	r := positionReader{rest: plain, ok: true}
	p := Position{
		Account:  core.AccountID(r.readString()),
		Request:  core.RequestID(r.readString()),
		Upstream: core.UpstreamID(r.readString()),
	}
	p.Attempt.Owner.ID = core.InstanceID(r.readString())
	p.Attempt.Owner.Incarnation = core.Incarnation(r.readUvarint())
	p.Attempt.Seq = r.readUvarint()
	p.Offset = int(r.readUvarint())
	return p, r.ok && len(r.rest) == 0 && p.Offset >= 0
}

// positionReader decodes the fields of a position. ok becomes false at the first
// invalid field.
type positionReader struct {
	rest []byte
	ok   bool
}

func (r *positionReader) readUvarint() uint64 {
	value, n := binary.Uvarint(r.rest)
	if n <= 0 {
		r.ok, r.rest = false, nil
		return 0
	}
	r.rest = r.rest[n:]
	return value
}

func (r *positionReader) readString() string {
	size := r.readUvarint()
	if size > uint64(len(r.rest)) {
		r.ok, r.rest = false, nil
		return ""
	}
	value := string(r.rest[:size])
	r.rest = r.rest[size:]
	return value
}
