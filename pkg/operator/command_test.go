package operator

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/http/httptest"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/rhubarbsill/rhubarbsill/pkg/config"
	"github.com/rhubarbsill/rhubarbsill/pkg/core"
	"github.com/rhubarbsill/rhubarbsill/pkg/lab/objectstore"
	"github.com/rhubarbsill/rhubarbsill/pkg/platform"
	"github.com/rhubarbsill/rhubarbsill/pkg/router"
	"github.com/rhubarbsill/rhubarbsill/pkg/server"
)

func run(t *testing.T, args ...string) (code int, out, errOut string) {
	t.Helper()
	var stdout, stderr bytes.Buffer
	code = Main(t.Context(), args, &stdout, &stderr, nil)
	return code, stdout.String(), stderr.String()
}

func writeFile(t *testing.T, text []byte) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), "document.jsonc")
	if err := os.WriteFile(path, text, 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}

// Guards against a check that stops at the first error or doesn't report the position
// of each.
func TestCheckPrintsEveryFinding(t *testing.T) {
	is := is.New(t)
	text := string(config.Format(document(3, 1)))
	code, _, _ := run(t, "config", "check", writeFile(t, []byte(text)))
	is.Equal(code, ExitOK)
	invalid := []struct{ old, replacement, path string }{
		{`"role": "plain"`, `"role": "planar"`, "services[0].upstreams[0].role"},
		{`"link_mbps": 100`, `"link_mbps": -1`, "data_centres[0].link_mbps"},
		{`"id": "acct-00001"`, `"id": "acct-00000"`, "accounts[1].id"},
		{`"burst_tokens": 1000`, `"burst_token": 1000`, "accounts[0]"},
		{`"kind": "plain"`, `"kind": "plain", "policy": "unfair"`, "services[0].policy"},
		{`"path": "/call"`, `"path": "call"`, "services[0].routes[0].path"},
	}
	for _, edit := range invalid {
		text = strings.Replace(text, edit.old, edit.replacement, 1)
	}
	path := writeFile(t, []byte(text))
	code, out, _ := run(t, "config", "check", path)
	is.Equal(code, ExitFailure)
	for _, edit := range invalid {
		position := regexp.MustCompile(`(?m)^` + regexp.QuoteMeta(path) + `:\d+:\d+: ` + regexp.QuoteMeta(edit.path))
		if !position.MatchString(out) {
			t.Errorf("no finding at %s in\n%s", edit.path, out)
		}
	}
	code, out, _ = run(t, "config", "check", "--output", "json", path)
	is.Equal(code, ExitFailure)
	var findings []config.Finding
	is.NoErr(json.Unmarshal([]byte(out), &findings))
	is.True(len(findings) >= len(invalid))
}

// Guards against exit codes with which a script can't distinguish an invalid command
// line from an unreachable platform.
func TestExitCodes(t *testing.T) {
	for _, args := range [][]string{
		{"config", "check"}, {"config", "check", "/no/such/file"}, {"unknown"}, {"status", "--nonsense"},
		{"status", "--output", "xml"}, {"config", "promote", "--platform", ""}, {"config", "rollback", "x"},
		{"config", "show", "--environment", "moon"}, {"key", "new", "only-account"},
	} {
		if code, _, errOut := run(t, args...); code != ExitUsage || errOut == "" {
			t.Errorf("%v: exit code %d, %q", args, code, errOut)
		}
	}
	for _, args := range [][]string{{"status"}, {"config", "promote"}, {"config", "show"}, {"config", "history"}, {"timeline"}} {
		if code, _, errOut := run(t, append(args, "--platform", "http://127.0.0.1:1")...); code != ExitUnreachable || errOut == "" {
			t.Errorf("%v: exit code %d, %q", args, code, errOut)
		}
	}
}

// Guards against a command whose JSON output is not valid JSON.
func TestJSONOutput(t *testing.T) {
	web := httptest.NewServer(objectstore.New(objectstore.Options{Seed: 1}))
	defer web.Close()
	path := writeFile(t, config.Format(document(3, 1)))
	for _, args := range [][]string{
		{"config", "check", path}, {"config", "diff", path}, {"config", "history"}, {"config", "trial", path},
		{"config", "promote"}, {"config", "show"}, {"config", "diff", path}, {"config", "history"},
		{"config", "rollback", "1"}, {"key", "new", "acct", "k1"}, {"status"}, {"timeline"}, {"version"},
	} {
		code, out, errOut := run(t, append(args, "--output", "json", "--platform", web.URL)...)
		if code != ExitOK || !json.Valid([]byte(out)) {
			t.Errorf("%v: exit code %d, %q, %q", args, code, out, errOut)
		}
	}
}

// Guards against a generated key entry that config check rejects.
func TestNewKeyPassesCheck(t *testing.T) {
	is := is.New(t)
	code, out, _ := run(t, "key", "new", "acct-00000", "k2", "--output", "json")
	is.Equal(code, ExitOK)
	var generated generatedKey
	is.NoErr(json.Unmarshal([]byte(out), &generated))
	is.True(strings.HasPrefix(generated.Text, "rsk_acct-00000.k2_"))
	doc := document(1, 1)
	var key config.Key
	is.NoErr(json.Unmarshal(generated.Entry, &key))
	doc.Accounts[0].Keys = append(doc.Accounts[0].Keys, key)
	code, out, _ = run(t, "config", "check", writeFile(t, config.Format(doc)))
	is.Equal(out[strings.LastIndex(out, ":"):], ": no findings, 1 services, 1 accounts\n")
	is.Equal(code, ExitOK)
}

// Guards against a command without an example, and against missing shell completion.
func TestHelpAndCompletion(t *testing.T) {
	for _, args := range [][]string{
		{"config"}, {"config", "check"}, {"config", "trial"}, {"config", "promote"}, {"config", "diff"},
		{"config", "rollback"}, {"config", "show"}, {"config", "history"}, {"key"}, {"key", "new"},
		{"status"}, {"timeline"}, {"version"},
	} {
		if code, out, _ := run(t, append(args, "--help")...); code != ExitOK || !strings.Contains(out, "Examples:") {
			t.Errorf("%v --help: exit code %d, %s", args, code, out)
		}
	}
	if code, out, _ := run(t, "completion", "bash"); code != ExitOK || !strings.Contains(out, "rhubarbsill") {
		t.Errorf("completion: exit code %d", code)
	}
	if _, out, _ := run(t, "__complete", "config", "show", "--environment", ""); !strings.Contains(out, Trial) {
		t.Errorf("completion of --environment: %s", out)
	}
}

// Guards against a diff that misses a kind of change or shows a secret.
func TestDiff(t *testing.T) {
	is := is.New(t)
	from, to := document(3, 1), document(3, 1)
	to.Accounts[0].RateTokensPerSecond = 5
	to.Accounts[1].Keys[0].Revoked = true
	to.Accounts[2].Keys[0].ID = "k9"
	to.Services[0].Upstreams[0].URL = "http://127.0.0.1:10"
	var lines []string
	for _, change := range Diff(from, to) {
		lines = append(lines, change.String())
	}
	is.Equal(strings.Join(lines, "\n"), strings.Join([]string{
		"~ account acct-00000  rate_tokens_per_second: 1 -> 5",
		"~ key acct-00001.k1  revoked: none -> true",
		"- key acct-00002.k1",
		"+ key acct-00002.k9",
		`~ upstream orders-1  url: "http://127.0.0.1:9" -> "http://127.0.0.1:10"`,
	}, "\n"))
	to.Accounts[0].Keys[0].Digest[5]++
	is.True(!strings.Contains(fmt.Sprint(Diff(from, to)), "0000"+"00000000"))
	is.Equal(len(Diff(from, from)), 0)
}

// Guards against an unhealthy Instance for which status prints no warning.
func TestWarnings(t *testing.T) {
	is := is.New(t)
	healthy := server.Status{View: router.View{Version: 4, KeyMode: "fresh", RosterSettled: true}}
	cases := []struct {
		name   string
		change func(i *InstanceReport)
		want   string
	}{
		{"healthy", func(*InstanceReport) {}, ""},
		{"silent", func(i *InstanceReport) { i.Status = nil }, "is silent"},
		{"behind", func(i *InstanceReport) { i.Status.Version = 3 }, "is behind: version 3 is in force, production is 4"},
		{"stopped", func(i *InstanceReport) { i.Status.StopReason = "absent from the list" }, "is stopped"},
		{"leaving", func(i *InstanceReport) { i.Status.Leaving = true }, "is leaving"},
		{"listed as leaving", func(i *InstanceReport) { i.State = platform.InstanceLeaving }, "is leaving"},
		{"outage", func(i *InstanceReport) { i.Status.KeyMode = "store_outage" }, "mode store_outage"},
		{"unsettled", func(i *InstanceReport) { i.Status.RosterSettled = false }, "roster that is not settled"},
		{"upstream", func(i *InstanceReport) { i.Status.FailingUpstreams = []core.UpstreamID{"decode-1"} }, "decode-1"},
	}
	for _, c := range cases {
		status := healthy
		instance := InstanceReport{ID: "entry-1", State: platform.InstanceLive, Status: &status}
		c.change(&instance)
		report := Report{Production: 4, Instances: []InstanceReport{instance}}
		report.summarize()
		var out bytes.Buffer
		is.NoErr(report.writeText(&out))
		is.Equal(strings.Count(out.String(), "WARNING entry-1 "), min(1, len(c.want)))
		if !strings.Contains(out.String(), c.want) {
			t.Errorf("%s: %s", c.name, out.String())
		}
	}
}
