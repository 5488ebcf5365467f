package operator

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/rhubarbsill/rhubarbsill/pkg/config"
	"github.com/rhubarbsill/rhubarbsill/pkg/configcheck"
	"github.com/rhubarbsill/rhubarbsill/pkg/lab/objectstore"
)

// Guards against exit codes of config check that a script can't rely on, and against an unreachable
// platform that hides the check of the file alone.
func TestCheckExitCodes(t *testing.T) {
	is := is.New(t)
	web := httptest.NewServer(objectstore.New(objectstore.Options{Seed: 1}))
	defer web.Close()
	doc := document(3, 7)
	sound := writeFile(t, config.Format(doc))
	code, _, _ := run(t, "config", "trial", sound, "--platform", web.URL)
	is.Equal(code, ExitOK)
	code, out, _ := run(t, "config", "check", sound, "--in-force", "--platform", web.URL)
	is.Equal(code, ExitOK) // nothing is in force
	is.Equal(out, sound+": no findings, 1 services, 3 accounts\n")
	code, _, errOut := run(t, "config", "promote", "--platform", web.URL)
	is.Equal(errOut, "")
	is.Equal(code, ExitOK)
	doc.Accounts[1].RateTokensPerSecond = 6
	lowered := writeFile(t, config.Format(doc))
	doc.Accounts[0].Keys = nil
	keyless := writeFile(t, config.Format(doc))
	broken := writeFile(t, []byte(`{"services": 7}`))
	unreachable := "http://127.0.0.1:1"
	for _, c := range []struct {
		args string
		code int
		want string
	}{
		{sound + " --strict", ExitOK, "no findings"},
		{lowered + " --strict --in-force --platform " + web.URL, ExitOK, ": 0 warnings, 1 differences from production version 1, 1 services, 3 accounts"},
		{lowered + " --against " + sound, ExitOK, "note: rate of account acct-00001 is lowered from 7 to 6"},
		{keyless, ExitOK, "[account-no-key]"},
		{keyless + " --strict", ExitFailure, "[account-no-key]"},
		{keyless + " --against " + sound, ExitOK, "[key-removed]"},
		{broken, ExitFailure, "services: want an array"},
		{keyless + " --against " + broken, ExitFailure, "[account-no-key]"},
		{keyless + " --in-force --platform " + unreachable, ExitUnreachable, "[account-no-key]"},
		{broken + " --in-force --platform " + unreachable, ExitUnreachable, "services: want an array"},
		{sound + " --in-force --platform=", ExitUsage, ""},
		{sound + " --against /no/such/file", ExitUsage, ""},
		{sound + " --against " + sound + " --in-force --platform " + web.URL, ExitUsage, ""},
		{sound + " --memory-mb -1", ExitUsage, ""},
		{sound + " --format other", ExitUsage, ""},
		{sound + " --format platform", ExitUsage, ""}, // this program knows none
	} {
		code, out, errOut := run(t, append([]string{"config", "check"}, strings.Fields(c.args)...)...)
		if code != c.code || !strings.Contains(out, c.want) || (errOut != "") != (code == ExitUsage || code == ExitUnreachable || strings.Contains(c.args, "--against "+broken)) {
			t.Errorf("%s: exit code %d\n%s%s", c.args, code, out, errOut)
		}
	}
	code, out, _ = run(t, "config", "check", keyless, "--json", "--against", sound)
	is.Equal(code, ExitOK)
	var findings []configcheck.Finding
	is.NoErr(json.Unmarshal([]byte(out), &findings))
	is.Equal(len(findings), 3)
	is.Equal(findings[0].File, keyless)
	_, out, _ = run(t, "config", "check", sound, "--json")
	is.Equal(out, "[]\n")
}

// hostFormat is a format that accepts everything.
type hostFormat struct{}

func (hostFormat) Recognises(fields []string) bool { return len(fields) > 0 }
func (hostFormat) Check(string, []byte, configcheck.Options) *configcheck.Report {
	return &configcheck.Report{Services: 77}
}
func (hostFormat) ReadInForce(context.Context, string) (configcheck.InForce, error) {
	return configcheck.InForce{}, configcheck.ErrUnreachable
}

// Guards against a file that is checked as one of another format.
func TestCheckRecognisesTheFormat(t *testing.T) {
	for _, c := range []struct{ text, format, want string }{
		{`{"version": 1}`, "", "77 services"},
		{`{"accounts": 1}`, "", "want an array"},
		{`{"accounts": 1}`, "platform", "77 services"},
		{`{"version": 1}`, "product", "unknown field"},
		{`{"version" 1}`, "", "syntax"},
		{strings.Repeat("[", 1<<20), "", "nesting"},
	} {
		args := []string{"config", "check", writeFile(t, []byte(c.text))}
		if c.format != "" {
			args = append(args, "--format", c.format)
		}
		var out, errOut bytes.Buffer
		Main(t.Context(), args, &out, &errOut, hostFormat{})
		if !strings.Contains(out.String(), c.want) {
			t.Errorf("%.30s as %q: %s%s", c.text, c.format, out.String(), errOut.String())
		}
	}
}
