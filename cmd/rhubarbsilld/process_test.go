package main

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/rhubarbsill/rhubarbsill/pkg/config"
	"github.com/rhubarbsill/rhubarbsill/pkg/lab/engine"
	"github.com/rhubarbsill/rhubarbsill/pkg/lab/site"
	"github.com/rhubarbsill/rhubarbsill/pkg/platform"
	"github.com/rhubarbsill/rhubarbsill/pkg/server"
)

// fleet is a test site whose parts are separate processes.
type fleet struct {
	t           *testing.T
	bin         string
	dir         string
	platformURL string
	plainURL    string
	doc         *config.Document
	account     site.Account
	instances   []server.ListenAddresses
	processes   []*exec.Cmd
	prefillURLs []string
	decodeURLs  []string
}

func buildBinaries(t *testing.T) string {
	t.Helper()
	bin := t.TempDir()
	build := exec.Command("go", "build", "-o", bin, "../rhubarbsilld", "../rhubarbsill", "../rhubarbsill-lab")
	if out, err := build.CombinedOutput(); err != nil {
		t.Fatalf("go build: %v\n%s", err, out)
	}
	return bin
}

// start runs a program, decodes the first line of its output into firstLine, and kills
// the process at the end of the test.
func (f *fleet) start(firstLine any, program string, args ...string) *exec.Cmd {
	f.t.Helper()
	cmd := exec.Command(filepath.Join(f.bin, program), args...)
	log, err := os.Create(filepath.Join(f.dir, fmt.Sprintf("%s-%d.log", program, len(f.processes))))
	if err != nil {
		f.t.Fatal(err)
	}
	cmd.Stderr = log
	out, err := cmd.StdoutPipe()
	if err != nil {
		f.t.Fatal(err)
	}
	if err := cmd.Start(); err != nil {
		f.t.Fatal(err)
	}
	f.processes = append(f.processes, cmd)
	f.t.Cleanup(func() {
		_ = cmd.Process.Kill()
		_ = cmd.Wait()
		_ = log.Close()
		if text, err := os.ReadFile(log.Name()); err == nil && f.t.Failed() {
			f.t.Logf("%s:\n%s", filepath.Base(log.Name()), text)
		}
	})
	line, err := bufio.NewReader(out).ReadBytes('\n')
	if err != nil {
		f.t.Fatalf("%s printed no address: %v", program, err)
	}
	if err := json.Unmarshal(line, firstLine); err != nil {
		f.t.Fatalf("%s printed %q: %v", program, line, err)
	}
	return cmd
}

func (f *fleet) startFakeServer(args ...string) string {
	f.t.Helper()
	var listening struct{ Addr string }
	f.start(&listening, "rhubarbsill-lab", args...)
	return "http://" + listening.Addr
}

func startFleet(t *testing.T, instances int) *fleet {
	t.Helper()
	f := &fleet{t: t, bin: buildBinaries(t), dir: t.TempDir()}
	f.platformURL = f.startFakeServer("platform", "--instance-lag", "200ms")
	var up site.Upstreams
	for range 2 {
		up.Prefill = append(up.Prefill, f.startFakeServer("engine", "--role", "prefill"))
		up.Decode = append(up.Decode, f.startFakeServer("engine", "--role", "decode"))
	}
	f.prefillURLs, f.decodeURLs = up.Prefill, up.Decode
	f.plainURL = f.startFakeServer("plain")
	up.Plain = []string{f.plainURL}
	account, entry, err := site.NewAccount("bakery", 1_000_000, 5_000_000)
	if err != nil {
		t.Fatal(err)
	}
	f.account = account
	f.doc = site.Document(up, []config.ClientAccount{entry})
	f.promote()
	for n := range instances {
		f.startInstance(fmt.Sprintf("entry-%d", n+1))
	}
	f.waitReady()
	return f
}

func (f *fleet) startInstance(id string) *exec.Cmd {
	f.t.Helper()
	path := filepath.Join(f.dir, id+".jsonc")
	if err := os.WriteFile(path, site.Settings(id, f.platformURL, "debug"), 0o600); err != nil {
		f.t.Fatal(err)
	}
	var listening server.ListenAddresses
	cmd := f.start(&listening, "rhubarbsilld", "--settings", path)
	f.instances = append(f.instances, listening)
	err := platform.NewRegistrar(f.platformURL, platform.Options{}).PutInstance(context.Background(), platform.Instance{
		ID: id, PeerAddr: listening.PeerAddr, CallerAddr: listening.CallerAddr,
		DataCentre: string(site.DataCentre), State: platform.InstanceLive,
	})
	if err != nil {
		f.t.Fatal(err)
	}
	return cmd
}

// deregister removes an Instance from the platform's list.
func (f *fleet) deregister(id string) {
	f.t.Helper()
	if err := platform.NewRegistrar(f.platformURL, platform.Options{}).DeleteInstance(context.Background(), id); err != nil {
		f.t.Fatal(err)
	}
}

// cli runs the operator's command line and returns its output and exit code.
func (f *fleet) cli(args ...string) (string, int) {
	f.t.Helper()
	cmd := exec.Command(filepath.Join(f.bin, "rhubarbsill"), append(args, "--platform", f.platformURL)...)
	out, err := cmd.CombinedOutput()
	if err != nil && cmd.ProcessState == nil {
		f.t.Fatal(err)
	}
	return string(out), cmd.ProcessState.ExitCode()
}

// promote checks, stages and promotes the fleet's document.
func (f *fleet) promote() {
	f.t.Helper()
	path := filepath.Join(f.dir, "document.jsonc")
	if err := os.WriteFile(path, config.Format(f.doc), 0o600); err != nil {
		f.t.Fatal(err)
	}
	for _, args := range [][]string{{"config", "check", path}, {"config", "trial", path}, {"config", "promote"}} {
		if out, code := f.cli(args...); code != 0 {
			f.t.Fatalf("%v: exit code %d: %s", args, code, out)
		}
	}
}

func (f *fleet) waitReady() {
	f.t.Helper()
	f.eventually(30*time.Second, "every instance is ready", func() bool {
		for _, instance := range f.instances {
			var status server.Status
			code, body := f.get("http://"+instance.StatusAddr+"/status", "")
			if code != 200 || json.Unmarshal(body, &status) != nil {
				return false
			}
			if status.Version == 0 || !status.RosterSettled || len(status.Members) != len(f.instances) {
				return false
			}
		}
		return true
	})
	// The token buckets of a new roster start empty.
	f.eventually(10*time.Second, "every instance has tokens for a request", func() bool {
		for n := range f.instances {
			code, _, _ := f.do("POST", f.callerURL(n)+"/v1/completions", f.account.Key, completionBody(site.Prompt("warm up", 2000), 1, false))
			if code != 200 {
				return false
			}
		}
		return true
	})
}

// eventually waits until condition is true and returns how long that took. It fails the
// test after the timeout.
func (f *fleet) eventually(timeout time.Duration, what string, condition func() bool) time.Duration {
	f.t.Helper()
	start := time.Now()
	for time.Since(start) < timeout {
		if condition() {
			return time.Since(start)
		}
		time.Sleep(20 * time.Millisecond)
	}
	f.t.Fatalf("not within %s: %s", timeout, what)
	return 0
}

// do sends a request and returns status, header and body of the response; header holds
// names and values in turn. The status is 0 and the body the error when it fails.
func (f *fleet) do(method, url, key, body string, header ...string) (int, http.Header, []byte) {
	f.t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, url, strings.NewReader(body))
	if err != nil {
		f.t.Fatal(err)
	}
	if key != "" {
		request.Header.Set("Authorization", "Bearer "+key)
	}
	for i := 0; i+1 < len(header); i += 2 {
		request.Header.Set(header[i], header[i+1])
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return 0, nil, []byte(err.Error())
	}
	defer response.Body.Close()
	responseBody, err := io.ReadAll(response.Body)
	if err != nil {
		return 0, nil, []byte(err.Error())
	}
	return response.StatusCode, response.Header, responseBody
}

func (f *fleet) get(url, key string) (int, []byte) {
	code, _, body := f.do("GET", url, key, "")
	return code, body
}

func (f *fleet) callerURL(n int) string { return "http://" + f.instances[n].CallerAddr }

func completionBody(prompt string, tokens int, stream bool) string {
	body, _ := json.Marshal(map[string]any{"model": site.Model, "prompt": prompt, "max_tokens": tokens, "stream": stream})
	return string(body)
}

// streamText joins the text of the events of a stream.
func streamText(t *testing.T, body []byte) (text string, ids []string, done bool) {
	t.Helper()
	for _, line := range bytes.Split(body, []byte("\n")) {
		if id, ok := bytes.CutPrefix(line, []byte("id: ")); ok {
			ids = append(ids, string(id))
		}
		data, ok := bytes.CutPrefix(line, []byte("data: "))
		if !ok {
			continue
		}
		if string(data) == "[DONE]" {
			return text, ids, true
		}
		var chunk struct{ Choices []struct{ Text string } }
		if err := json.Unmarshal(data, &chunk); err != nil {
			t.Fatalf("event %q: %v", data, err)
		}
		for _, choice := range chunk.Choices {
			text += choice.Text
		}
	}
	return text, ids, false
}

func expectedText(prompt string, tokens int) string {
	var text strings.Builder
	for i := range tokens {
		text.WriteString(engine.OutputToken(prompt, i))
	}
	return text.String()
}

// Guards against a fault anywhere on the path from a caller to the engines and back,
// with every part in its own process: responses, keys, plain requests, the revocation of
// a key, and the merged timeline.
func TestFullPathAcrossProcesses(t *testing.T) {
	is := is.New(t)
	f := startFleet(t, 3)
	prompt := site.Prompt("menu board", 1500)

	for n := range f.instances {
		code, _, body := f.do("POST", f.callerURL(n)+"/v1/completions", f.account.Key, completionBody(prompt, 24, false))
		is.Equal(code, 200)
		var completion struct{ Choices []struct{ Text string } }
		is.NoErr(json.Unmarshal(body, &completion))
		is.Equal(completion.Choices[0].Text, expectedText(prompt, 24))
	}

	code, streamed, body := f.do("POST", f.callerURL(1)+"/v1/completions", f.account.Key, completionBody(prompt, 40, true))
	is.Equal(code, 200)
	text, ids, done := streamText(t, body)
	is.True(done)
	is.Equal(text, expectedText(prompt, 40))
	is.Equal(len(ids), 40)

	code, header, body := f.do("POST", f.callerURL(2)+"/call", f.account.Key, `{"board":"menu"}`, "Idempotency-Key", "order-1")
	is.True(code >= 200 && code < 300) // the order service accepts the order
	f.eventually(5*time.Second, "a retry gets the recorded outcome", func() bool {
		code, header, body = f.do("POST", f.callerURL(0)+"/call", f.account.Key, `{"board":"menu"}`, "Idempotency-Key", "order-1")
		return code >= 200 && code < 300
	})
	is.Equal(header.Get("Idempotent-Replayed"), "true")
	is.Equal(f.countExecutions("order-1"), 1)

	out, exit := f.cli("timeline", "--request", streamed.Get("X-Request-Id"))
	is.Equal(exit, 0)
	for _, want := range []string{"accepted", "placed", "prefill", "decode", "first_token", "complete"} {
		is.True(strings.Contains(out, want)) // the timeline shows each step
	}
	is.True(!strings.Contains(out, f.account.Key))

	f.doc.Accounts[0].Keys[0].Revoked = true
	f.promote()
	elapsed := f.eventually(4*time.Second, "every instance refuses the revoked key", func() bool {
		for n := range f.instances {
			if code, _ := f.get(f.callerURL(n)+"/lookup/1", f.account.Key); code != 401 {
				return false
			}
		}
		return true
	})
	t.Logf("revoked key refused everywhere after %s", elapsed)
	f.requireNoKeyLeak()
}

// countExecutions counts the requests with an idempotency key that the plain service
// has executed.
func (f *fleet) countExecutions(key string) int {
	_, body := f.get(f.plainURL+"/lab/executions", "")
	return strings.Count(string(body), key)
}

// requireNoKeyLeak checks that the caller's key reached no Upstream and no log.
func (f *fleet) requireNoKeyLeak() {
	f.t.Helper()
	secret := strings.SplitN(f.account.Key, "_", 3)[2] // the secret itself may contain underscores
	for _, url := range append([]string{f.plainURL}, f.prefillURLs...) {
		if _, body := f.get(url+"/lab/executions", ""); bytes.Contains(body, []byte(secret)) {
			f.t.Errorf("%s received the caller's key", url)
		}
	}
	logs, err := filepath.Glob(filepath.Join(f.dir, "*.log"))
	if err != nil {
		f.t.Fatal(err)
	}
	for _, name := range logs {
		text, err := os.ReadFile(name)
		if err != nil {
			f.t.Fatal(err)
		}
		if bytes.Contains(text, []byte(secret)) {
			f.t.Errorf("%s contains the caller's key", name)
		}
	}
}

// Guards against a graceful shutdown that ends a running stream early (G11).
func TestShutdownCutsNoRequest(t *testing.T) {
	is := is.New(t)
	f := startFleet(t, 2)
	prompt := site.Prompt("slogan", 100)
	type result struct {
		code int
		body []byte
	}
	responses := make(chan result, 1)
	go func() {
		code, _, body := f.do("POST", f.callerURL(0)+"/v1/completions", f.account.Key, completionBody(prompt, 100, true))
		responses <- result{code, body}
	}()
	time.Sleep(300 * time.Millisecond)
	daemon := f.processes[len(f.processes)-2]
	is.NoErr(daemon.Process.Signal(syscall.SIGTERM))
	f.eventually(5*time.Second, "the other instance no longer names the leaving one", func() bool {
		_, body := f.get(f.callerURL(1)+"/v1/addresses", "")
		return !strings.Contains(string(body), f.instances[0].CallerAddr)
	})
	got := <-responses
	is.Equal(got.code, 200)
	text, _, done := streamText(t, got.body)
	is.True(done)
	is.Equal(text, expectedText(prompt, 100))
	exited := make(chan error, 1)
	go func() { exited <- daemon.Wait() }()
	select {
	case err := <-exited:
		is.NoErr(err)
	case <-time.After(30 * time.Second):
		t.Fatal("the leaving instance did not exit")
	}
}
