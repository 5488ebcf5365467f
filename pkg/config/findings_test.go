package config

import (
	"os"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// The lines of a valid document that the cases of TestFindings replace.
const (
	valid = `{ // comment
"environment": "test", "store_region": "north",
"data_centres": [{"name": "n1", "region": "north", "link_mbps": 30}, {"name": "s1", "region": "south", "link_mbps": 30}],
"services": [
{"name": "llm", "kind": "model", "models": ["m1"],
"upstreams": [
{"id": "p1", "url": "http://127.0.0.1:9001", "role": "prefill", "data_centre": "n1"},
{"id": "d1", "url": "http://127.0.0.1:9002", "role": "decode", "data_centre": "n1", "slots": 20}]},
{"name": "desk", "kind": "plain",
"upstreams": [{"id": "k1", "url": "http://127.0.0.1:9003", "data_centre": "n1"}],
"routes": [
{"path": "/desk/jobs", "methods": ["GET"]},
{"path": "/desk/open/*", "methods": ["GET"], "open": true}]}],
"accounts": [
{"id": "a1", "rate_tokens_per_second": 10, "burst_tokens": 100, "services": ["llm"], "keys": [
{"id": "k1", "salt": "00112233445566778899aabbccddeeff", "digest": "000102030405060708090a0b0c0d0e0f101112131415161718191a1b1c1d1e1f"}]},
{"id": "a2", "rate_tokens_per_second": 10, "burst_tokens": 100}]
}`
	route  = `{"path": "/desk/jobs", "methods": ["GET"]}`
	keyRow = `{"id": "k1", "salt": "00112233445566778899aabbccddeeff", "digest": "000102030405060708090a0b0c0d0e0f101112131415161718191a1b1c1d1e1f"}`
)

// Guards against invalid documents that Parse accepts, and against findings without
// the position and path of the error.
func TestFindings(t *testing.T) {
	cases := []struct{ name, old, new, want string }{
		{"syntax", `"environment": "test",`, `"environment" "test",`, `2:15: syntax: invalid character '"' after object name`},
		{"unknown field", `"environment"`, `"enviroment"`, `2:1: enviroment: unknown field "enviroment"`},
		{"missing field", `"environment": "test", `, ``, `1:1: environment: field "environment" is missing`},
		{"field set twice", `"store_region"`, `"environment": "x", "store_region"`, `2:24: environment: field "environment" is set twice`},
		{"wrong type", `"link_mbps": 30}, {`, `"link_mbps": "30"}, {`, `3:65: data_centres[0].link_mbps: want a whole number, got a string`},
		{"null", `"environment": "test"`, `"environment": null`, `2:16: environment: want a string, got null`},
		{"fraction", `"burst_tokens": 100,`, `"burst_tokens": 1.5,`, `accounts[0].burst_tokens: 1.5 is not a whole number from 1`},
		{"burst beyond 64 bits", `"burst_tokens": 100,`, `"burst_tokens": 9300000000,`, `accounts[0].burst_tokens: 9300000000 is not a whole number`},
		{"account without rate", `"rate_tokens_per_second": 10, "burst_tokens": 100, `, `"burst_tokens": 100, `, `15:1: accounts[0].rate_tokens_per_second: field "rate_tokens_per_second" is missing`},
		{"rate zero", `"rate_tokens_per_second": 10, "burst_tokens": 100, `, `"rate_tokens_per_second": 0, "burst_tokens": 100, `, `rate_tokens_per_second: 0 is not a whole number from 1`},
		{"store region", `"store_region": "north"`, `"store_region": "west"`, `2:40: store_region: no data centre is in region "west"`},
		{"duplicate data centre", `"name": "s1"`, `"name": "n1"`, `data_centres[1].name: data centre "n1" is already used at data_centres[0].name`},
		{"unknown data centre", `"data_centre": "n1", "slots"`, `"data_centre": "x1", "slots"`, `8:79: services[0].upstreams[1].data_centre: data centre "x1" does not exist`},
		{"duplicate upstream", `"id": "d1"`, `"id": "p1"`, `services[0].upstreams[1].id: upstream "p1" is already used at services[0].upstreams[0].id`},
		{"duplicate url", `127.0.0.1:9002`, `127.0.0.1:9001`, `upstreams[1].url: url "http://127.0.0.1:9001" is already used`},
		{"host name", `http://127.0.0.1:9002`, `http://engine:9002`, `want http://IP:port`},
		{"https", `http://127.0.0.1:9002`, `https://127.0.0.1:9002`, `want http://IP:port`},
		{"url with path", `http://127.0.0.1:9002`, `http://127.0.0.1:9002/v1`, `want http://IP:port`},
		{"url without port", `http://127.0.0.1:9002`, `http://127.0.0.1`, `want http://IP:port`},
		{"port zero", `http://127.0.0.1:9002`, `http://127.0.0.1:0`, `want http://IP:port`},
		{"any address", `http://127.0.0.1:9002`, `http://0.0.0.0:9002`, `is not the address of one process`},
		{"no decode engine", `"role": "decode"`, `"role": "prefill"`, `6:14: services[0].upstreams: service "llm" has no decode engine`},
		{"decode without slots", `, "slots": 20`, ``, `8:1: services[0].upstreams[1].slots: field "slots" is missing`},
		{"engines in two regions", `"data_centre": "n1", "slots"`, `"data_centre": "s1", "slots"`, `no region has both a prefill and a decode engine for model "m1"`},
		{"model of upstream", `"slots": 20`, `"slots": 20, "models": ["m2"]`, `service "llm" does not offer model "m2"`},
		{"upstream without models", `"slots": 20`, `"slots": 20, "models": []`, `an upstream needs at least one model`},
		{"serve another model", `"slots": 20`, `"slots": 20, "serve": {"model": "m2"}`, `8:117: services[0].upstreams[1].serve.model: model "m2" is not among the models of the upstream`},
		{"serve without model", `"slots": 20`, `"slots": 20, "serve": {"version": "7"}`, `services[0].upstreams[1].serve.model: field "model" is missing`},
		{"serve a role", `"slots": 20`, `"slots": 20, "serve": {"model": "m1", "role": "decode"}`, `services[0].upstreams[1].serve.role: unknown field`},
		{"serve form", `"slots": 20`, `"slots": 20, "serve": {"model": "m1", "adapter": "a b", "version": ""}`, `serve.adapter: "a b" is not valid`},
		{"serve of a plain service", `"http://127.0.0.1:9003",`, `"http://127.0.0.1:9003", "serve": {"model": "m1"},`, `services[1].upstreams[0].serve: only an engine has a desired state`},
		{"role", `"role": "decode"`, `"role": "both"`, `"both" is not one of prefill, decode`},
		{"kind", `"kind": "plain"`, `"kind": "http"`, `"http" is not one of model, plain`},
		{"duplicate service", `"name": "desk"`, `"name": "llm"`, `services[1].name: service "llm" is already used at services[0].name`},
		{"routes of model service", `"models": ["m1"],`, `"models": ["m1"], "routes": [],`, `services[0].routes: a model service has no routes`},
		{"same route", `/desk/open/*`, `/desk/jobs`, `13:10: services[1].routes[1].path: route overlaps with services[1].routes[0].path for GET`},
		{"prefix over path", `/desk/open/*`, `/desk/*`, `routes[1].path: route overlaps with services[1].routes[0].path for GET`},
		{"prefix over later path", route, route + `, {"path": "/desk/open/a/b", "methods": ["GET"]}`, `routes[2].path: route overlaps with services[1].routes[1].path for GET`},
		{"path under prefix", `"open": true}`, `"open": true}, {"path": "/desk/open/a/b", "methods": ["GET"]}`, `routes[2].path: route overlaps with services[1].routes[1].path for GET`},
		{"prefix under prefix", route, route + `, {"path": "/desk/open/a/*", "methods": ["POST", "GET"]}`, `routes[2].path: route overlaps with services[1].routes[1].path for GET`},
		{"prefix of everything", `/desk/open/*`, `/*`, `route overlaps with the path /healthz of the caller API`},
		{"caller path", `/desk/jobs`, `/v1/completions`, `route overlaps with the path /v1/completions of the caller API`},
		{"dot segment", `/desk/jobs`, `/desk/../jobs`, `want an absolute path without dot segments`},
		{"inner star", `/desk/jobs`, `/desk/*/jobs`, `with * only as a last /*`},
		{"method", `["GET"]}`, `["FETCH"]}`, `services[1].routes[0].methods[0]: "FETCH" is not one of GET`},
		{"account service", `"services": ["llm"]`, `"services": ["lllm"]`, `15:78: accounts[0].services[0]: service "lllm" does not exist`},
		{"duplicate account", `"id": "a2"`, `"id": "a1"`, `17:8: accounts[1].id: account "a1" is already used at accounts[0].id`},
		{"account name", `"id": "a2"`, `"id": "a.2"`, `17:8: accounts[1].id: "a.2" is not valid`},
		{"short salt", `0011223344`, `11223344`, `16:22: accounts[0].keys[0].salt: want 32 hex digits, got 30 characters`},
		{"digest not hex", `000102`, `zz0102`, `accounts[0].keys[0].digest: want hex digits`},
		{"duplicate key", keyRow, keyRow + ",\n" + keyRow, `17:8: accounts[0].keys[1].id: key "k1" is already used at accounts[0].keys[0].id`},
		{"copied key", `"burst_tokens": 100}]`, `"burst_tokens": 100, "keys": [` + keyRow + `]}]`, `accounts[1].keys[0].digest: digest "000102`},
		{"credential is a secret", `"store_region"`, `"upstream_credential": "s3cr3t+/==", "store_region"`, `2:47: upstream_credential: "s3cr3t+/==" is not valid: want the name of an environment variable`},
		{"three resume keys", `"store_region"`, `"resume_keys": [1, 2, 3], "store_region"`, `resume_keys: has 3 elements, at most 2 are allowed`},
		{"too many keys", keyRow, strings.Repeat(keyRow+",", 33), `accounts[0].keys: has 33 elements, at most 32 are allowed`},
		{"long name", `"id": "a2"`, `"id": "` + strings.Repeat("a", 65) + `"`, `at most 64 characters`},
		{"deep nesting", `"environment": "test"`, `"environment": ` + strings.Repeat("[", 20) + strings.Repeat("]", 20), `2:35: nesting of 21 levels, at most 16 are allowed`},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			is.True(strings.Contains(valid, c.old)) // the case changes the document
			doc, findings := Parse("test.jsonc", []byte(strings.Replace(valid, c.old, c.new, 1)))
			is.True(doc == nil)
			if !strings.Contains(findings.Error(), c.want) {
				t.Fatalf("got:\n%v\nwant:\n%s", findings, c.want)
			}
		})
	}
}

// Guards against an error in the base document, for which every case of TestFindings
// would get a finding.
func TestValidDocument(t *testing.T) {
	is := is.New(t)
	doc, findings := Parse("test.jsonc", []byte(valid))
	is.NoErr(findings.Err())
	is.Equal(doc.Accounts[0].Weight, 1)
	is.Equal(doc.Services[0].PartitionPolicy, PartitionRefuse)
	is.Equal(doc.Services[0].Policy, PolicyGoodput)
	is.Equal(doc.Services[0].Upstreams[1].Models, doc.Services[0].Models)
}

// Guards against desired states that leave a model of the service without an engine,
// and against a desired state that is lost when the document is compiled.
func TestDesiredState(t *testing.T) {
	is := is.New(t)
	text := strings.Replace(valid, `"slots": 20`, `"slots": 20, "serve": {"model": "m1", "adapter": "a", "version": "7"}`, 1)
	doc, findings := Parse("test.jsonc", []byte(text))
	is.NoErr(findings.Err())
	_, up, found := Compile(doc, 1).Upstream("d1")
	is.True(found)
	is.Equal(up.DesiredState, &DesiredState{Model: "m1", Adapter: "a", Version: "7"})
	_, findings = Parse("test.jsonc", []byte(strings.Replace(text, `["m1"]`, `["m1", "m2"]`, 1)))
	is.Equal(len(findings), 1)
	is.Equal(findings[0].Message, `no region has both a prefill and a decode engine for model "m2"`)
}

// Guards against text that Format writes for a document without services and Parse
// rejects. FuzzParse found the case.
func TestFormatWithoutServices(t *testing.T) {
	is := is.New(t)
	doc, findings := Parse("test.jsonc", []byte(
		`{"environment": "e", "store_region": "r", "services": [], "data_centres": [{"name": "d", "region": "r", "link_mbps": 1}]}`))
	is.NoErr(findings.Err())
	_, findings = Parse("test.jsonc", Format(doc))
	is.NoErr(findings.Err())
}

// Guards against a parser that stops at the first error, and against findings that are
// not in the order of the text.
func TestAllFindingsAreReported(t *testing.T) {
	is := is.New(t)
	text := strings.NewReplacer(`"test"`, `7`, `"slots": 20`, `"slots": 0`, `"burst_tokens": 100}`, `"bursts": 100}`).Replace(valid)
	_, findings := Parse("test.jsonc", []byte(text))
	var lines []int
	for _, f := range findings {
		lines = append(lines, f.Line)
	}
	is.Equal(lines, []int{2, 8, 17, 17})
}

// Guards against unbounded output for a file in another format.
func TestFindingsAreBounded(t *testing.T) {
	is := is.New(t)
	text := `{"accounts": [` + strings.Repeat("1,", 5000) + `]}`
	_, findings := Parse("test.jsonc", []byte(text))
	is.Equal(len(findings), maxFindings+1)
	is.True(strings.Contains(findings.Error(), "more findings are not listed"))
	_, findings = Parse("test.jsonc", make([]byte, maxDocumentBytes+1))
	is.Equal(len(findings), 1)
	_, findings = Parse("test.jsonc", []byte(strings.Repeat("[", 1<<20)))
	is.Equal(len(findings), 1)
}

// Guards against example documents that Parse rejects, and against output of Format
// from which Parse returns another document.
func TestExamples(t *testing.T) {
	is := is.New(t)
	for _, name := range []string{"division.jsonc", "cooperative.jsonc"} {
		text, err := os.ReadFile("../../examples/" + name)
		is.NoErr(err)
		doc, findings := Parse(name, text)
		is.NoErr(findings.Err())
		is.Equal(len(doc.Accounts), 5)
		is.Equal(len(doc.Services[0].Upstreams), 18)
		again, findings := Parse(name, Format(doc))
		is.NoErr(findings.Err())
		is.Equal(again, doc)
	}
}

// Guards against a panic of the parser, findings without a position, and valid
// documents that Parse rejects after Split, Compile and Format.
func FuzzParse(f *testing.F) {
	f.Add([]byte(valid))
	for _, name := range []string{"division", "cooperative"} {
		text, err := os.ReadFile("../../examples/" + name + ".jsonc")
		if err != nil {
			f.Fatal(err)
		}
		f.Add(text)
	}
	f.Add([]byte(`{"accounts": [{"id": "a", "id": null}], "services": [[]], /* " */ "x": {}}`))
	f.Fuzz(func(t *testing.T, text []byte) {
		doc, findings := Parse("fuzz", text)
		if (doc == nil) == (len(findings) == 0) {
			t.Fatalf("document %v with findings %v", doc, findings)
		}
		for _, finding := range findings {
			if finding.Line < 1 || finding.Column < 1 || finding.Message == "" {
				t.Fatalf("finding without a position or message: %+v", finding)
			}
		}
		if doc == nil {
			return
		}
		if _, findings := Parse("formatted", Format(Compile(doc, 1).Document())); len(findings) > 0 {
			t.Fatalf("formatted document: %v", findings)
		}
	})
}
