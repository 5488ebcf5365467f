package server_test

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/rhubarbsill/rhubarbsill/pkg/core"
	"github.com/rhubarbsill/rhubarbsill/pkg/lab/site"
)

// startSite starts a test site in this process and waits until its first Instance
// serves completions.
func startSite(t testing.TB, opts site.Options) *site.Site {
	t.Helper()
	opts.LargeRate = 1_000_000
	s, err := site.Start(context.Background(), opts)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(s.Close)
	url := "http://" + s.Instances[0].CallerAddr
	for range 200 { // the token buckets of a new roster start empty
		if code, _ := send(t, "POST", url+"/v1/completions", s.Large.Key, completion("warm up", 1), nil); code == 200 {
			return s
		}
		time.Sleep(20 * time.Millisecond)
	}
	t.Fatal("the site does not answer")
	return nil
}

func completion(prompt string, tokens int) string {
	body, _ := json.Marshal(map[string]any{"model": site.Model, "prompt": prompt, "max_tokens": tokens})
	return string(body)
}

func send(t testing.TB, method, url, key, body string, header map[string]string) (int, []byte) {
	t.Helper()
	request, err := http.NewRequest(method, url, strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	if key != "" {
		request.Header.Set("Authorization", "Bearer "+key)
	}
	for name, value := range header {
		request.Header.Set(name, value)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		t.Fatal(err)
	}
	defer response.Body.Close()
	data, err := io.ReadAll(response.Body)
	if err != nil {
		t.Fatal(err)
	}
	return response.StatusCode, data
}

// Guards against an invalid request that is refused with the wrong code or execution
// status, or reaches an Upstream.
func TestInvalidRequests(t *testing.T) {
	s := startSite(t, site.Options{Instances: 1, Prefill: 1, Decode: 1})
	url := "http://" + s.Instances[0].CallerAddr
	validBody := completion("x", 1)
	secret := strings.SplitN(s.Large.Key, "_", 3)[2] // the secret itself may contain underscores
	tests := []struct {
		name, method, path, key, body string
		header                        map[string]string
		code                          core.Code
	}{
		{name: "malformed JSON", path: "/v1/completions", key: s.Large.Key, body: "{", code: core.CodeMalformed},
		{name: "no prompt", path: "/v1/completions", key: s.Large.Key, body: `{"model":"m"}`, code: core.CodeMalformed},
		{name: "empty messages", path: "/v1/chat/completions", key: s.Large.Key, body: `{"model":"m","messages":[]}`, code: core.CodeMalformed},
		{name: "negative max_tokens", path: "/v1/completions", key: s.Large.Key, body: `{"model":"m","prompt":"p","max_tokens":-1}`, code: core.CodeMalformed},
		{name: "unknown model", path: "/v1/completions", key: s.Large.Key, body: `{"model":"m","prompt":"p"}`, code: core.CodeUnknownModel},
		{name: "unknown route", path: "/nowhere", key: s.Large.Key, body: "", code: core.CodeUnknownRoute},
		{name: "dot segments", path: "/public/../call", key: "", body: "", code: core.CodeUnknownRoute},
		{name: "no key", path: "/v1/completions", body: validBody, code: core.CodeMissingKey},
		{name: "malformed key", path: "/v1/completions", key: "hello", body: validBody, code: core.CodeMalformedKey},
		{name: "unknown account", path: "/v1/completions", key: strings.Replace(s.Large.Key, "large", "other", 1), body: validBody, code: core.CodeUnknownKey},
		{name: "wrong secret", path: "/v1/completions", key: s.Large.Key + "A", body: validBody, code: core.CodeUnknownKey},
		{name: "basic authorization", path: "/v1/completions", body: validBody, header: map[string]string{"Authorization": "Basic abc"}, code: core.CodeMalformedKey},
		{name: "body too large", path: "/call", key: s.Large.Key, body: strings.Repeat("x", 5<<20), code: core.CodeTooLarge},
		{name: "key in the body", path: "/call", key: s.Large.Key, body: `{"note":"` + secret + `"}`, code: core.CodeKeyInRequest},
		{name: "key in JSON escapes", path: "/call", key: s.Large.Key, body: `{"note":"\u00` + hex(secret[0]) + secret[1:] + `"}`, code: core.CodeKeyInRequest},
		{name: "key in the query", path: "/call?k=" + secret, key: s.Large.Key, code: core.CodeKeyInRequest},
		{name: "key in the prompt", path: "/v1/completions", key: s.Large.Key, body: completion(s.Large.Key, 1), code: core.CodeKeyInRequest},
		{name: "larger than the burst", path: "/v1/completions", key: s.Small.Key, body: completion("x", 500_000), code: core.CodeOverBurst},
		{name: "forged event id", path: "/v1/completions", key: s.Large.Key, body: validBody, header: map[string]string{"Last-Event-ID": "AAAA"}, code: core.CodeResumeInvalid},
		{name: "bad timeout", path: "/v1/completions", key: s.Large.Key, body: validBody, header: map[string]string{"Request-Timeout": "soon"}, code: core.CodeMalformed},
	}
	before := executions(s)
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			status, body := send(t, "POST", url+test.path, test.key, test.body, test.header)
			var response struct {
				Error struct {
					Code core.Code
					Ran  core.ExecutionStatus
				}
			}
			is.NoErr(json.Unmarshal(body, &response))
			is.Equal(response.Error.Code, test.code)
			is.Equal(status, test.code.Status())
			is.Equal(response.Error.Ran, core.NotRun)
			if bytes.Contains(body, []byte(secret)) {
				t.Errorf("the refusal repeats the key: %s", body)
			}
		})
	}
	if after := executions(s); after != before {
		t.Errorf("%d bad requests reached an upstream", after-before)
	}
}

// executions counts the requests that the first plain service and the first prefill
// engine received, without the polls of load and cache events, which are not caused
// by callers.
func executions(s *site.Site) int {
	n := len(s.Plain[0].Executions())
	for _, e := range s.Prefill[0].Executions() {
		if e.Method != http.MethodGet || e.Path != "/v1/load" && e.Path != "/v1/cache-events" {
			n++
		}
	}
	return n
}

func hex(b byte) string {
	const digits = "0123456789abcdef"
	return string([]byte{digits[b>>4], digits[b&15]})
}

// Guards against a request header of unlimited size.
func TestOverlongHeader(t *testing.T) {
	is := is.New(t)
	s := startSite(t, site.Options{Instances: 1, Prefill: 1, Decode: 1})
	status, _ := send(t, "GET", "http://"+s.Instances[0].CallerAddr+"/lookup/1", s.Large.Key, "",
		map[string]string{"X-Long": strings.Repeat("x", 64<<10)})
	is.Equal(status, 431)
}
