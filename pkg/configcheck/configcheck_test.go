package configcheck

import (
	"encoding/json"
	"fmt"
	"maps"
	"math/rand/v2"
	"os"
	"regexp"
	"slices"
	"strings"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/rhubarbsill/rhubarbsill/pkg/config"
	"github.com/rhubarbsill/rhubarbsill/pkg/configcheck/mutate"
)

const valid = `{ "environment": "test", "store_region": "north",
"data_centres": [{"name": "n1", "region": "north", "link_mbps": 30}, {"name": "s1", "region": "south", "link_mbps": 30}],
"services": [
{"name": "llm", "kind": "model", "models": ["m1"], "upstreams": [
{"id": "p1", "url": "http://127.0.0.1:9001", "role": "prefill", "data_centre": "n1"},
{"id": "d1", "url": "http://127.0.0.1:9002", "role": "decode", "data_centre": "n1", "slots": 20}]},
{"name": "desk", "kind": "plain", "upstreams": [{"id": "k1", "url": "http://127.0.0.1:9003", "data_centre": "n1"}], "routes": [
{"path": "/jobs", "methods": ["GET"], "cost_tokens": 50}, {"path": "/open/*", "methods": ["GET"], "open": true}]}],
"accounts": [
{"id": "a1", "rate_tokens_per_second": 10, "burst_tokens": 1000, "services": ["llm"], "keys": [
{"id": "k1", "salt": "00112233445566778899aabbccddeeff", "digest": "000102030405060708090a0b0c0d0e0f101112131415161718191a1b1c1d1e1f"}]},
{"id": "a2", "rate_tokens_per_second": 10, "burst_tokens": 100, "services": ["desk"], "keys": [
{"id": "k1", "salt": "00112233445566778899aabbccddeeff", "digest": "100102030405060708090a0b0c0d0e0f101112131415161718191a1b1c1d1e1f"}]}]}`

// lines returns the findings, each with the text at its place.
func lines(text string, findings []Finding) string {
	var b strings.Builder
	for _, f := range findings {
		rest := strings.Join(strings.Split(text, "\n")[f.Line-1:], "\n")[f.Column-1:]
		fmt.Fprintf(&b, "%s %s %s at %.14s: %s\n", f.Severity, f.Path, f.Code, rest, f.Message)
	}
	return b.String()
}

// Guards against entries of a document that cannot work and get no warning, and against warnings at another place.
func TestDocumentWarnings(t *testing.T) {
	is := is.New(t)
	is.Equal(len(CheckDocument("f", []byte(valid), Options{}).Findings), 0)
	for _, c := range []struct{ old, new, want string }{
		{`"services": ["llm"]`, `"services": []`, `warning accounts[0].services account-no-route at []`},
		{`"services": ["llm"]`, `"services": []`, `warning services[0].name service-unused at "llm"`},
		{`"services": ["desk"]`, `"services": ["llm"]`, `warning services[1].routes[0].path route-no-account at "/jobs"`},
		{`"id": "k1", "salt"`, `"revoked": true, "id": "k1", "salt"`, `warning accounts[0].keys account-no-key at [`},
		{`"burst_tokens": 1000`, `"burst_tokens": 512`, `warning accounts[0].burst_tokens burst-below-request at 512`},
		{`"cost_tokens": 50`, `"cost_tokens": 101`, `warning accounts[1].burst_tokens burst-below-request at 100`},
		{`"slots": 20}`, `"slots": 20}, {"id": "d2", "url": "http://127.0.0.1:9", "role": "decode", "data_centre": "s1", "slots": 1}`, `warning services[0].upstreams[2].id upstream-unused at "d2"`},
		{`"rate_tokens_per_second": 10`, `"rate_tokens_per_second": 201`, `warning accounts[0].rate_tokens_per_second rate-above-engines at 201`},
		{`"link_mbps": 30}]`, `"link_mbps": 0}]`, `error data_centres[1].link_mbps bad-value at 0`},
		{`"digest": "10`, `"digest": "00`, `error accounts[1].keys[0].digest key-shared at "000102`},
		{`/open/*`, `/*`, `error services[1].routes[1].path route-hidden at "/*"`},
	} {
		is.True(strings.Contains(valid, c.old))
		text := strings.Replace(valid, c.old, c.new, 1)
		got := lines(text, CheckDocument("f", []byte(text), Options{EngineTokens: 100}).Findings)
		if !strings.Contains(got, c.want) {
			t.Errorf("%s: got\n%swant %s", c.new, got, c.want)
		}
	}
}

// Guards against differences that are not told, have another direction or lack their effect, and
// against a secret in a message.
func TestDocumentDifferences(t *testing.T) {
	is := is.New(t)
	from := CheckDocument("old", []byte(valid), Options{})
	is.Equal(len(Compare(from, from)), 0)
	is.Equal(len(Compare(nil, from)), 0)
	changed := strings.NewReplacer(`"rate_tokens_per_second": 10, "burst_tokens": 100,`, `"rate_tokens_per_second": 9, "burst_tokens": 101,`,
		`"a2"`, `"a2", "priority": 3`, `9003`, `9004`, `/jobs`, `/tasks`, `"digest": "00`, `"revoked": true, "digest": "ee`,
		`"services": [`+"\n", `"upstream_credential": "c", "services": [`+"\n").Replace(valid)
	got := lines(changed, Compare(from, CheckDocument("new", []byte(changed), Options{})))
	for _, want := range []string{
		`note upstream_credential document-changed at "c"`, `note services[1].upstreams[0].url upstream-address-changed at "http://127.0`, `note services[1].routes route-removed at [`,
		`note services[1].routes[0] route-added at {"path": "/tas`, `note accounts[0].keys[0].digest key-changed at "ee`,
		`note accounts[0].keys[0].revoked key-state-changed at true`, `note accounts[1].priority account-changed at 3`,
		`note accounts[1].rate_tokens_per_second rate-lowered at 9, "burst_toke: rate of account a2 is lowered from 10 to 9: binds one quota window`,
		`note accounts[1].burst_tokens burst-raised at 101`,
	} {
		if !strings.Contains(got, want) {
			t.Errorf("no %q in\n%s", want, got)
		}
	}
	is.True(strings.Contains(got, "secret of key a1.k1 changes (not shown)"))
	is.Equal(strings.Count(got, "note "), 9)
	removed := valid[:strings.Index(valid, `,`+"\n"+`{"id": "a2"`)] + "]}"
	got = lines(removed, Compare(from, CheckDocument("new", []byte(removed), Options{})))
	is.True(strings.Contains(got, "note accounts account-removed at [") && strings.Contains(got, "note accounts key-removed at ["))
}

// Guards against a code that docs/OPERATIONS.md does not explain.
func TestCodesAreDocumented(t *testing.T) {
	is := is.New(t)
	page, err := os.ReadFile("../../docs/OPERATIONS.md")
	is.NoErr(err)
	codes := slices.Collect(maps.Keys(effects))
	for _, file := range []string{"finding.go", "../config/findings.go"} {
		source, err := os.ReadFile(file)
		is.NoErr(err)
		for _, match := range regexp.MustCompile(`Code += "([a-z-]+)"`).FindAllSubmatch(source, -1) {
			codes = append(codes, string(match[1]))
		}
	}
	is.True(len(codes) > 60)
	for _, code := range codes {
		if !strings.Contains(string(page), "`"+code+"`") {
			t.Errorf("%s is not documented", code)
		}
	}
}

// Guards against a change of many accounts that hides other findings or makes endless output.
func TestFindingsOfACodeAreBounded(t *testing.T) {
	is := is.New(t)
	r := NewReporter(NewPlaces("f", []byte(`{}`)))
	for range 3 * maxOfCode {
		r.Warn(CodeAccountNoKey, "x", "m")
	}
	r.Warn(CodeServiceUnused, "x", "m")
	list := r.Findings()
	is.Equal(len(list), maxOfCode+2)
	is.Equal(Count(list, SeverityWarning), 3*maxOfCode+1)
	is.True(slices.ContainsFunc(list, func(f Finding) bool { return f.Message == "2000 more findings of this code are not listed" }))
}

// Guards against a check that calls a document an error which the loader accepts, or the reverse, against
// findings outside of the text, and against documents without errors that can't be put in force.
func TestErrorsAreThoseOfTheLoader(t *testing.T) {
	var tree any
	if err := json.Unmarshal([]byte(valid), &tree); err != nil {
		t.Fatal(err)
	}
	before := CheckDocument("old", []byte(valid), Options{})
	rapid.Check(t, func(t *rapid.T) {
		random := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 0))
		for range 10 {
			checkErrors(t, before, mutate.Text(random, tree))
		}
	})
}

func checkErrors(t *rapid.T, before *Report, text string) {
	report := CheckDocument("f", []byte(text), Options{MemoryBytes: 1 << 27, EngineTokens: 5})
	doc, findings := config.Parse("f", []byte(text))
	if report.HasErrors() != (doc == nil) || report.HasErrors() && len(report.Findings) != len(findings) {
		t.Fatalf("%s\nloader: %v\ncheck: %v", text, findings, report.Findings)
	}
	for _, f := range append(Compare(before, report), report.Findings...) {
		if f.Line < 1 || f.Column < 1 || f.Line > strings.Count(text, "\n")+1 || f.Message == "" || f.Code == "" {
			t.Fatalf("%s\n%+v", text, f)
		}
	}
	if doc != nil {
		again := CheckDocument("f", config.Format(config.Compile(doc, 1).Document()), Options{})
		if notes := Compare(report, again); again.HasErrors() || len(notes) > 0 {
			t.Fatalf("%s\nin force: %v %v", text, again.Findings, notes)
		}
	}
}
