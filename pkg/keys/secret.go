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

// Secret is the secret part of a key. It prints and encodes as [redacted] in every
// format.
type Secret struct {
	// A pointer, because fmt does not call methods on unexported fields: if the Secret
	// is in such a field, fmt prints the address and not the text.
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

// digest returns the digest of the secret as it is in the document.
func (s Secret) digest(salt config.Salt) config.Digest {
	hash := sha256.New()
	hash.Write(salt[:])
	if s.text != nil {
		_, _ = io.WriteString(hash, *s.text)
	}
	return config.Digest(hash.Sum(nil))
}

// matches compares the digests in constant time.
func (s Secret) matches(key *config.Key) bool {
	digest := s.digest(key.Salt)
	return subtle.ConstantTimeCompare(digest[:], key.Digest[:]) == 1
}
