package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/rhubarbsill/rhubarbsill/pkg/core"
	"github.com/rhubarbsill/rhubarbsill/pkg/hosted"
	"github.com/rhubarbsill/rhubarbsill/pkg/lab/hostplatform"
	"github.com/rhubarbsill/rhubarbsill/platform/standin"
	"github.com/rhubarbsill/rhubarbsill/platform/wire"
)

const (
	hostedAccount = "baker"
	hostedKey     = "key-of-the-baker"
	hostedRate    = 1_000_000
)

// hostedFleet is a fake of the host platform with three Instances as processes.
type hostedFleet struct {
	t           *testing.T
	platform    *standin.Platform
	settings    []hosted.Settings
	processes   []*exec.Cmd
	logs        []string
	lastRequest int
	mu          sync.Mutex
}

func startHostedFleet(t *testing.T) *hostedFleet {
	t.Helper()
	engine := hostplatform.EngineParams{
		Slots: 8, MemoryTokens: 20_000, PrefillTokensPerSecond: 50_000, EventInterval: 10 * time.Millisecond, KVTTL: 500 * time.Millisecond,
	}
	fakePlatform, err := standin.Start(standin.Params{
		Zones: []string{"a", "b"}, Prefill: 2, Decode: 2, Plain: 2, Engine: engine, PlainServiceTime: 10 * time.Millisecond,
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(fakePlatform.Close)
	f := &hostedFleet{t: t, platform: fakePlatform}
	f.updateConfig(func(c *wire.Config) { *c = standin.DefaultConfig(hostedAccount, hostedKey, hostedRate, engine) })
	bin := filepath.Join(t.TempDir(), "rhubarbsilld")
	if out, err := exec.Command("go", "build", "-o", bin, ".").CombinedOutput(); err != nil {
		t.Fatalf("go build: %v\n%s", err, out)
	}
	dir := t.TempDir()
	for i := range 3 {
		f.startInstance(bin, dir, i)
	}
	for i := range f.settings {
		f.waitFor("instance to be ready", func() bool {
			response, err := http.Get("http://" + f.settings[i].ReadyAddr + wire.PathReady)
			if err != nil {
				return false
			}
			response.Body.Close()
			return response.StatusCode == http.StatusOK
		})
	}
	return f
}

func (f *hostedFleet) startInstance(bin, dir string, i int) {
	f.t.Helper()
	s := hosted.Settings{
		Instance: core.InstanceID(fmt.Sprintf("entry-%d", i)), DataCentre: "a", Region: "r",
		DataCentres: map[core.DataCentreName]core.RegionName{"a": "r", "b": "r"},
		CallerAddr:  freeAddr(f.t), ReadyAddr: freeAddr(f.t), DirectoryAddr: freeAddr(f.t), PeerAddr: freeAddr(f.t), MetricsAddr: freeAddr(f.t),
		StoreAddr: f.platform.StoreAddr, GraceSeconds: 6, MaxAddressTTLSeconds: 0.2, RetryRatio: 0.2, RetryAllowance: 30, RetryWindowSeconds: 10, ConfigApplyMS: 3000,
		ContactMS: 4000, ColdOverage: 1.5, ColdSlack: 5,
		LogLevel: "info",
	}
	text, err := json.Marshal(s)
	if err != nil {
		f.t.Fatal(err)
	}
	path := filepath.Join(dir, fmt.Sprintf("entry-%d.jsonc", i))
	if err := os.WriteFile(path, append([]byte("// settings of a test\n"), text...), 0o600); err != nil {
		f.t.Fatal(err)
	}
	logPath := filepath.Join(dir, fmt.Sprintf("entry-%d.log", i))
	log, err := os.Create(logPath)
	if err != nil {
		f.t.Fatal(err)
	}
	cmd := exec.Command(bin, "hosted", "--settings", path)
	cmd.Stdout, cmd.Stderr = log, log
	if err := cmd.Start(); err != nil {
		f.t.Fatal(err)
	}
	f.t.Cleanup(func() {
		_ = cmd.Process.Kill()
		_ = cmd.Wait()
		_ = log.Close()
		if f.t.Failed() {
			f.t.Logf("%s:\n%s", logPath, f.log(i))
		}
	})
	f.settings = append(f.settings, s)
	f.processes = append(f.processes, cmd)
	f.logs = append(f.logs, logPath)
}

// The system draws the ports of outgoing connections from a range above lastTestPort. A port of
// that range could be taken before a process listens on it, and while it restarts.
const (
	firstTestPort = 12_000
	lastTestPort  = 19_999
)

// usedTestPorts holds the ports that freeAddr has returned.
var usedTestPorts sync.Map

// freeAddr returns a loopback address on which nothing listens.
func freeAddr(t *testing.T) string {
	t.Helper()
	for range 100 {
		port := firstTestPort + rand.IntN(lastTestPort-firstTestPort)
		if _, used := usedTestPorts.LoadOrStore(port, true); used {
			continue
		}
		addr := fmt.Sprintf("127.0.0.1:%d", port)
		if l, err := net.Listen("tcp", addr); err == nil {
			_ = l.Close() // nothing was accepted
			return addr
		}
	}
	t.Fatal("no free port")
	return ""
}

func (f *hostedFleet) log(i int) string {
	text, err := os.ReadFile(f.logs[i])
	if err != nil {
		f.t.Fatal(err)
	}
	return string(text)
}

func (f *hostedFleet) updateConfig(change func(*wire.Config)) {
	f.t.Helper()
	if err := f.platform.SetConfig(change); err != nil {
		f.t.Fatal(err)
	}
}

func (f *hostedFleet) waitFor(what string, condition func() bool) {
	f.t.Helper()
	for deadline := time.Now().Add(8 * time.Second); time.Now().Before(deadline); time.Sleep(20 * time.Millisecond) {
		if condition() {
			return
		}
	}
	f.t.Fatalf("timed out waiting for %s", what)
}

// request returns a caller's request to an Instance, with a new request ID.
func (f *hostedFleet) request(instance int, method, path string, body io.Reader) *http.Request {
	f.t.Helper()
	r, err := http.NewRequest(method, "http://"+f.settings[instance].CallerAddr+path, body)
	if err != nil {
		f.t.Fatal(err)
	}
	f.mu.Lock()
	f.lastRequest++
	id := fmt.Sprintf("request-%d", f.lastRequest)
	f.mu.Unlock()
	r.Host = standin.Host
	r.Header.Set(wire.HeaderRequestID, id)
	r.Header.Set(wire.HeaderDeadlineMS, "8000")
	r.Header.Set(wire.HeaderAuth, "Bearer "+hostedKey)
	return r
}

func (f *hostedFleet) stream(instance int, path string, events int) *http.Request {
	r := f.request(instance, http.MethodPost, path, strings.NewReader("prompt"))
	r.Header.Set(wire.HeaderModel, "m")
	r.Header.Set(wire.HeaderTokens, fmt.Sprintf("1000,%d", events))
	r.Header.Set(wire.HeaderTenant, "somebody-else") // only the system may set it
	r.Header.Set(wire.HeaderHold, "stolen")
	return r
}

type callerResponse struct {
	status int
	header http.Header
	body   string
	err    error
}

func send(r *http.Request) callerResponse {
	response, err := http.DefaultClient.Do(r)
	if err != nil {
		return callerResponse{err: err}
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	return callerResponse{status: response.StatusCode, header: response.Header, body: string(body), err: err}
}

// isCompleteStream reports whether a body consists of the events 1 to n in order.
func isCompleteStream(body string, n int) bool {
	count := 0
	for event := range strings.SplitSeq(strings.TrimSuffix(body, "\n\n"), "\n\n") {
		count++
		if !strings.HasPrefix(event, fmt.Sprintf("id: %d\n", count)) {
			return false
		}
	}
	return count == n
}

// Guards against parts that work only in isolation: complete responses, changes of the
// configuration, an engine that is leaving and a graceful stop, over real processes and
// the protocol of the host platform, while the fake engines check the invariants.
func TestHostedFleetServes(t *testing.T) {
	is := is.New(t)
	f := startHostedFleet(t)

	got := send(f.stream(0, standin.ResumableStreamPath+"x", 20))
	is.NoErr(got.err)
	is.Equal(got.status, http.StatusOK)
	is.True(isCompleteStream(got.body, 20))
	is.True(got.header.Get(wire.HeaderSignature) != "")
	got = send(f.request(1, http.MethodPost, standin.NonIdempotentPath+"x", strings.NewReader("order")))
	is.NoErr(got.err)
	is.Equal(got.status, http.StatusOK)
	is.True(strings.HasSuffix(got.body, "order"))

	f.checkAddresses(is)
	f.checkBadInput(is)
	f.checkDrain(is)
	f.checkQuota(is)
	f.checkStop(is)
	f.checkRevokedKey(is)
	is.Equal(f.platform.Checker.Violations(), nil)
	for i := range f.logs {
		is.True(!strings.Contains(f.log(i), hostedKey)) // no key in a log line
	}
}

func (f *hostedFleet) checkAddresses(is *is.I) {
	f.waitFor("all instances in the address reply", func() bool {
		response, err := http.Get("http://" + f.settings[0].DirectoryAddr + wire.PathResolve + "?name=" + standin.Host + "&region=r&zone=a")
		if err != nil {
			return false
		}
		defer response.Body.Close()
		var resolved wire.ResolveReply
		return json.NewDecoder(response.Body).Decode(&resolved) == nil && len(resolved.Addresses) == 3 && resolved.TTLSeconds > 0
	})
}

// checkBadInput sends invalid requests and writes invalid store entries. Each request
// gets its own status; the broken body and the forged entries are logged.
func (f *hostedFleet) checkBadInput(is *is.I) {
	unknownHost := f.request(0, http.MethodGet, standin.IdempotentPath+"x", nil)
	unknownHost.Host = "nobody.example"
	is.Equal(send(unknownHost).status, http.StatusNotFound)
	is.Equal(send(f.request(0, http.MethodGet, "/nowhere/", nil)).status, http.StatusNotFound)

	unknownKey := f.request(0, http.MethodGet, standin.IdempotentPath+"x", nil)
	unknownKey.Header.Set(wire.HeaderAuth, "Bearer guessed")
	is.Equal(send(unknownKey).status, http.StatusUnauthorized)

	noID := f.request(0, http.MethodGet, standin.IdempotentPath+"x", nil)
	noID.Header.Del(wire.HeaderRequestID)
	is.Equal(send(noID).status, http.StatusBadRequest)

	longHeader := f.request(0, http.MethodGet, standin.IdempotentPath+"x", nil)
	longHeader.Header.Set("X-Long", strings.Repeat("x", 128<<10))
	is.Equal(send(longHeader).status, http.StatusRequestHeaderFieldsTooLarge)

	longBody := f.request(0, http.MethodPost, standin.NonIdempotentPath+"x", bytes.NewReader(make([]byte, 2<<20)))
	if got := send(longBody); got.err == nil { // the connection may end while the body is sent
		is.Equal(got.status, http.StatusRequestEntityTooLarge)
	}

	conn, err := net.Dial("tcp", f.settings[0].CallerAddr)
	is.NoErr(err)
	_, err = fmt.Fprintf(conn, "POST %sx HTTP/1.1\r\nHost: %s\r\n%s: broken-body\r\nContent-Length: 100\r\n\r\nhalf", standin.NonIdempotentPath, standin.Host, wire.HeaderRequestID)
	is.NoErr(err)
	is.NoErr(conn.Close())
	f.waitFor("a log line of the broken body", func() bool { return strings.Contains(f.log(0), "broken-body") })

	is.NoErr(f.platform.PutRaw("forged-1", `"not an entry"`))
	is.NoErr(f.platform.PutRaw("forged-2", `{"service":"models","address":"127.0.0.1:1","zone":"a","slots":"many","state":"ready"}`))
	f.waitFor("log lines of the forged entries", func() bool {
		return strings.Contains(f.log(0), "forged-1") && strings.Contains(f.log(0), "forged-2")
	})
	got := send(f.request(0, http.MethodGet, standin.IdempotentPath+"x", nil))
	is.Equal(got.status, http.StatusOK) // the valid entries stay in use
}

// checkDrain sends requests while an Upstream is leaving. The invariant checker records
// the requests that reach it.
func (f *hostedFleet) checkDrain(is *is.I) {
	f.platform.Checker.DrainTimeout = time.Second
	is.NoErr(f.platform.Drain("plain-0"))
	deadline := time.Now().Add(2 * time.Second)
	for i := 0; time.Now().Before(deadline); i++ {
		got := send(f.request(i%3, http.MethodPost, standin.NonIdempotentPath+"x", strings.NewReader("x")))
		is.NoErr(got.err)
		is.Equal(got.status, http.StatusOK)
	}
}

// checkQuota lowers the quota and sends more than it allows, spread over all Instances.
func (f *hostedFleet) checkQuota(is *is.I) {
	const rate = 300 // tokens per second: 30 plain requests
	f.updateConfig(func(c *wire.Config) { c.Tenants[0].RatePerS, c.Tenants[0].Burst = rate, rate })
	time.Sleep(time.Second)
	// Allowed excess: one quota update of each Instance, a tenth of the window.
	f.platform.Checker.SetAllowance(hostedAccount, hostplatform.Allowance{Window: 2 * time.Second, Tokens: (2*rate+rate)*11/10 + 3*rate/5})
	refusals := 0
	for i := range 200 {
		got := send(f.request(i%3, http.MethodPost, standin.NonIdempotentPath+"x", strings.NewReader("x")))
		is.NoErr(got.err)
		f.platform.Checker.RecordRefusal(fmt.Sprintf("request-%d", f.lastRequest), got.status == http.StatusTooManyRequests)
		if got.status == http.StatusTooManyRequests {
			refusals++
			is.True(got.header.Get("Retry-After") != "")
		}
	}
	is.True(refusals > 50)
	f.platform.Checker.SetAllowance(hostedAccount, hostplatform.Allowance{Window: 2 * time.Second, Tokens: 3 * hostedRate})
	f.updateConfig(func(c *wire.Config) { c.Tenants[0].RatePerS, c.Tenants[0].Burst = hostedRate, hostedRate })
	time.Sleep(time.Second)
}

// checkStop stops an Instance by SIGTERM while it relays streams, which must all be
// complete.
func (f *hostedFleet) checkStop(is *is.I) {
	results := make(chan callerResponse, 4)
	for range cap(results) {
		request := f.stream(2, standin.NonResumableStreamPath+"x", 150)
		go func() { results <- send(request) }()
	}
	time.Sleep(300 * time.Millisecond)
	is.NoErr(f.processes[2].Process.Signal(syscall.SIGTERM))
	f.waitFor("the instance to leave the address replies", func() bool {
		response, err := http.Get("http://" + f.settings[0].DirectoryAddr + wire.PathResolve + "?name=x&region=r&zone=a")
		if err != nil {
			return false
		}
		defer response.Body.Close()
		body, err := io.ReadAll(response.Body)
		return err == nil && !strings.Contains(string(body), f.settings[2].CallerAddr)
	})
	for range cap(results) {
		got := <-results
		is.NoErr(got.err)
		is.True(isCompleteStream(got.body, 150))
	}
	is.NoErr(f.processes[2].Wait())
}

// checkRevokedKey removes the key from the configuration. An unreadable configuration
// afterwards changes nothing.
func (f *hostedFleet) checkRevokedKey(is *is.I) {
	f.updateConfig(func(c *wire.Config) { c.Tenants[0].Keys = []string{"another"} })
	changed := time.Now()
	for _, instance := range []int{0, 1} {
		f.waitFor("the key to stop working", func() bool {
			return send(f.request(instance, http.MethodGet, standin.IdempotentPath+"x", nil)).status == http.StatusUnauthorized
		})
	}
	is.True(time.Since(changed) < 3*time.Second)
	is.NoErr(f.platform.PutRawConfig(`{"version":"many"}`))
	f.waitFor("a log line of the unreadable configuration", func() bool { return strings.Contains(f.log(0), "unreadable") })
	is.Equal(send(f.request(0, http.MethodGet, standin.IdempotentPath+"x", nil)).status, http.StatusUnauthorized)
}
