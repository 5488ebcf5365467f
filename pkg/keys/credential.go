package keys

import (
	"encoding/base64"
	"fmt"
	"io"
	"strings"

	"github.com/rhubarbsill/rhubarbsill/pkg/config"
	"github.com/rhubarbsill/rhubarbsill/pkg/core"
)

const (
	keyPrefix       = "rsk_"
	secretBytes     = 32
	maxKeyLength    = 256 // the longest key of Generate has 176 characters
	minSecretLength = 16
)

// Credential is a parsed key text.
type Credential struct {
	Account core.AccountID
	Key     core.KeyID
	Secret  Secret
}

// ParseKey parses a key text of the form rsk_<account>.<key id>_<secret>.
func ParseKey(text string) (Credential, *core.Refusal) {
	if text == "" {
		return Credential{}, core.NewRefusal(core.CodeMissingKey, "the request has no key")
	}
	rest, found := strings.CutPrefix(text, keyPrefix)
	if !found || len(text) > maxKeyLength {
		return Credential{}, malformed()
	}
	name, secret, _ := strings.Cut(rest, "_")
	account, key, _ := strings.Cut(name, ".")
	if !config.ValidName(account) || !config.ValidName(key) || !validSecret(secret) {
		return Credential{}, malformed()
	}
	return Credential{
		Account: core.AccountID(account),
		Key:     core.KeyID(key),
		Secret:  NewSecret(secret),
	}, nil
}

// malformed does not quote the text, which may contain a secret.
func malformed() *core.Refusal {
	return core.NewRefusal(core.CodeMalformedKey, "the key does not have the form rsk_<account>.<key id>_<secret>")
}

func validSecret(text string) bool {
	if len(text) < minSecretLength {
		return false
	}
	for i := range len(text) {
		if text[i] <= ' ' || text[i] > '~' {
			return false
		}
	}
	return true
}

// Generate makes a new key from 48 bytes read from random: 16 for the salt and 32
// for the secret. The text is for the client, the entry for the document. It fails
// when an id is not valid or random returns an error.
func Generate(random io.Reader, account core.AccountID, id core.KeyID) (text string, entry config.Key, err error) {
	if !config.ValidName(string(account)) {
		return "", config.Key{}, fmt.Errorf("account id %q is not valid", account)
	}
	if !config.ValidName(string(id)) {
		return "", config.Key{}, fmt.Errorf("key id %q is not valid", id)
	}
	var raw [secretBytes]byte
	entry.ID = id
	if _, err := io.ReadFull(random, entry.Salt[:]); err != nil {
		return "", config.Key{}, fmt.Errorf("read salt: %w", err)
	}
	if _, err := io.ReadFull(random, raw[:]); err != nil {
		return "", config.Key{}, fmt.Errorf("read secret: %w", err)
	}
	secret := base64.RawURLEncoding.EncodeToString(raw[:])
	entry.Digest = NewSecret(secret).digest(entry.Salt)
	return keyPrefix + string(account) + "." + string(id) + "_" + secret, entry, nil
}
