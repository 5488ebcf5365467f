package keys

import (
	"crypto/sha256"
	"crypto/subtle"
	"fmt"
	"io"
	"log/slog"

	"github.com/rhubarbsill/rhubarbsill/pkg/config"
	"go.uber.org/zap/zapcore"
)

const redacted = "[redacted]"

// Secret is the secret part of a key. Every way of printing or encoding it gives
// [redacted].
type Secret struct {
	// A pointer, since fmt does not call methods on unexported fields: inside
	// such a field it prints the address and not the text.
	text *string
}

// NewSecret returns a secret with the given text.
func NewSecret(text string) Secret { return Secret{text: &text} }

// String returns [redacted].
func (Secret) String() string { return redacted }

// GoString returns [redacted].
func (Secret) GoString() string { return redacted }

// Format prints [redacted] under every verb.
func (Secret) Format(s fmt.State, _ rune) { _, _ = io.WriteString(s, redacted) }

// MarshalText returns [redacted], for JSON and other text encodings.
func (Secret) MarshalText() ([]byte, error) { return []byte(redacted), nil }

// MarshalLogObject adds [redacted] to a zap log entry.
func (Secret) MarshalLogObject(enc zapcore.ObjectEncoder) error {
	enc.AddString("secret", redacted)
	return nil
}

// LogValue returns [redacted] for log/slog.
func (Secret) LogValue() slog.Value { return slog.StringValue(redacted) }

// digest returns the digest that the document holds for the secret.
func (s Secret) digest(salt config.Salt) config.Digest {
	hash := sha256.New()
	hash.Write(salt[:])
	if s.text != nil {
		_, _ = io.WriteString(hash, *s.text)
	}
	return config.Digest(hash.Sum(nil))
}

// matches compares in constant time.
func (s Secret) matches(key *config.Key) bool {
	digest := s.digest(key.Salt)
	return subtle.ConstantTimeCompare(digest[:], key.Digest[:]) == 1
}
