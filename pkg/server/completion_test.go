package server

import (
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/rhubarbsill/rhubarbsill/pkg/core"
	"github.com/rhubarbsill/rhubarbsill/pkg/keys"
)

// Guards against a body that makes the parser panic, is accepted without a prompt
// or model, or is refused with another execution status than "not run".
func FuzzParseCompletion(f *testing.F) {
	for _, body := range []string{
		`{"model":"m","prompt":"p","max_tokens":3,"stream":true}`,
		`{"model":"m","messages":[{"role":"user","content":"hello"}]}`,
		`{"model":"m","prompt":["p"]}`, `{"model":"m","prompt":"p","n":2}`, `[]`, `{`, `null`, "",
	} {
		f.Add([]byte(body), true)
		f.Add([]byte(body), false)
	}
	f.Fuzz(func(t *testing.T, body []byte, chat bool) {
		parsed, refusal := parseCompletion(body, chat)
		if refusal != nil {
			if refusal.Ran != core.NotRun || refusal.Code.Status()/100 != 4 {
				t.Errorf("refusal %+v", refusal)
			}
			return
		}
		if parsed.model == "" || parsed.prompt == "" || parsed.maxTokens < 1 {
			t.Errorf("accepted %+v", parsed)
		}
	})
}

// Guards against a key that reaches an Upstream in another encoding or letter case.
func TestSecretIsDetectedInEveryEncoding(t *testing.T) {
	is := is.New(t)
	secret := keys.NewSecret("aB3-_xyzaB3-_xyz")
	for _, text := range []string{
		"aB3-_xyzaB3-_xyz", "AB3-_XYZAB3-_XYZ", `{"k":"\u0061B3-_xyzaB3-_xyz"}`, "k=%61B3%2D_xyzaB3-_xyz", "aB3-%5FxyzaB3-%5fxyz", "%2561B3-_xyzaB3-_xyz",
	} {
		is.True(secret.ContainedIn([]byte("before " + text + " after")))
	}
	is.True(!secret.ContainedIn([]byte(strings.Repeat("aB3-_xyz ", 4))))
	is.True(!keys.Secret{}.ContainedIn([]byte("anything")))
}

// Guards against invalid settings that are reported one at a time or in varying
// order, and against secrets in the error text.
func TestSettingsErrors(t *testing.T) {
	is := is.New(t)
	_, err := ParseSettings([]byte(`{"caller_addr":"localhost:1","platform":"ftp://x","fleet_secret":"short", /* comment */ "callers":{"max_connections":-1}}`))
	is.True(err != nil)
	for _, want := range []string{"instance", "data_centre", "region", "store_region", "caller_addr", "peer_addr", "status_addr", "platform", "fleet_secret", "callers"} {
		is.True(strings.Contains(err.Error(), want))
	}
	_, again := ParseSettings([]byte(`{"caller_addr":"localhost:1","platform":"ftp://x","fleet_secret":"short", /* comment */ "callers":{"max_connections":-1}}`))
	is.Equal(again.Error(), err.Error())
	is.True(!strings.Contains(err.Error(), "short"))
	_, err = ParseSettings([]byte(`{"unknown_field":1}`))
	is.True(err != nil)
}
