package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/rhubarbsill/rhubarbsill/pkg/core"
	"github.com/rhubarbsill/rhubarbsill/pkg/hosted"
	"github.com/rhubarbsill/rhubarbsill/pkg/lab/hostplatform"
	"github.com/rhubarbsill/rhubarbsill/platform/standin"
	"github.com/rhubarbsill/rhubarbsill/platform/wire"
)

// The smallest machine, and the largest request that the configuration allows. Every process must
// stay below the figures of the machine on its own.
const (
	hostileMemoryMB    = 112
	hostileDescriptors = 3_075
	hostileBodyBytes   = 4 << 20
	hostileHeaderBytes = 16 << 10

	hostileClients   = 150
	hostileInstances = 2
	// hostileHold is how long the clients of a phase stay.
	hostileHold = 1500 * time.Millisecond
	// hostileWait bounds the wait for an answer, and for memory and descriptors to be given back.
	hostileWait = 8 * time.Second
	// What a process may hold above its figures before the clients came, once they have left: pages
	// that the runtime keeps, and connections to peers, Upstreams and the store.
	hostileKeptMB          = 24
	hostileKeptDescriptors = 24

	// The clients have an account of their own, as callers outside our control have. Its quota keeps
	// them from taking all places of the engines, which is not what these tests are about: 200 plain
	// requests a second, or 14 streams.
	hostileAccount, hostileKey = "stranger", "key-of-the-stranger"
	hostileCostTokens          = 100
	hostileRate                = 20_000
	hostileBurst               = 120_000
)

// hostileSite is a fake of the host platform with Instances as processes, which have the settings of
// the smallest machine.
type hostileSite struct {
	t        *testing.T
	platform *standin.Platform
	entries  []*hostileEntry
	mu       sync.Mutex
	requests int
}

type hostileEntry struct {
	settings hosted.Settings
	process  *exec.Cmd
	exited   chan struct{}
	kept     *keptConn // was opened before the clients came
	// Figures before the clients came.
	residentMB, descriptors int
}

func startHostileSite(t *testing.T) *hostileSite {
	t.Helper()
	engine := hostplatform.EngineParams{
		Slots: 8, MemoryTokens: 20_000, PrefillTokensPerSecond: 50_000, EventInterval: 10 * time.Millisecond, KVTTL: 500 * time.Millisecond,
	}
	fakePlatform, err := standin.Start(standin.Params{
		Zones: []string{"a"}, Prefill: 2, Decode: 2, Plain: 2, Engine: engine, PlainServiceTime: 10 * time.Millisecond,
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(fakePlatform.Close)
	s := &hostileSite{t: t, platform: fakePlatform}
	if err := fakePlatform.SetConfig(func(c *wire.Config) {
		*c = standin.DefaultConfig(hostedAccount, hostedKey, 100*hostedRate, engine)
		c.Tenants = append(c.Tenants, wire.Tenant{
			Name: hostileAccount, Keys: []string{hostileKey}, DefaultCostTokens: hostileCostTokens,
			RatePerS: hostileRate, Burst: hostileBurst, Unit: wire.UnitTokens,
		})
		for i := range c.Routes { // these tests judge whether requests are answered, not when
			c.Routes[i].TargetMS = float64(hostileWait.Milliseconds())
		}
		c.Limits = wire.Limits{HeaderBytes: hostileHeaderBytes, BodyBytes: hostileBodyBytes, HeaderTimeoutMS: 3000, IdleTimeoutMS: 15_000}
	}); err != nil {
		t.Fatal(err)
	}
	dir := t.TempDir()
	bin := filepath.Join(dir, "rhubarbsilld")
	if out, err := exec.Command("go", "build", "-o", bin, ".").CombinedOutput(); err != nil {
		t.Fatalf("go build: %v\n%s", err, out)
	}
	for i := range hostileInstances {
		s.startEntry(dir, bin, i)
	}
	for _, e := range s.entries {
		s.waitUntil("the Instance is ready", func() bool {
			response, err := http.Get("http://" + e.settings.ReadyAddr + wire.PathReady)
			if err != nil {
				return false
			}
			response.Body.Close()
			return response.StatusCode == http.StatusOK
		})
	}
	s.waitUntil("ordinary requests are answered", func() bool {
		for _, e := range s.entries {
			if s.ordinary(e, nil) != nil {
				return false
			}
		}
		return true
	})
	for _, e := range s.entries {
		e.residentMB, e.descriptors = e.memory("VmRSS"), e.openDescriptors()
	}
	return s
}

func (s *hostileSite) startEntry(dir, bin string, i int) {
	s.t.Helper()
	e := &hostileEntry{exited: make(chan struct{}), settings: hosted.Settings{
		Instance: core.InstanceID(fmt.Sprintf("entry-%d", i)), DataCentre: "a", Region: "r",
		DataCentres: map[core.DataCentreName]core.RegionName{"a": "r"},
		CallerAddr:  freeAddr(s.t), ReadyAddr: freeAddr(s.t), DirectoryAddr: freeAddr(s.t), PeerAddr: freeAddr(s.t), MetricsAddr: freeAddr(s.t),
		StoreAddr: s.platform.StoreAddr, GraceSeconds: 6, MaxAddressTTLSeconds: 0.2, RetryRatio: 0.2, RetryAllowance: 30, RetryWindowSeconds: 10, ConfigApplyMS: 3000,
		ContactMS: 4000, ColdOverage: 1.5, ColdSlack: 5,
		LogLevel: "info",
	}}
	text, err := json.Marshal(e.settings)
	if err != nil {
		s.t.Fatal(err)
	}
	// The figures of the machine are added to the text, so that the test also runs on code whose
	// settings do not have them. The last value of a name counts.
	machine := fmt.Sprintf(`, "memory_mb": %d, "max_fds": %d}`, hostileMemoryMB, hostileDescriptors)
	path := filepath.Join(dir, fmt.Sprintf("entry-%d.jsonc", i))
	if err := os.WriteFile(path, []byte(strings.TrimSuffix(string(text), "}")+machine), 0o600); err != nil {
		s.t.Fatal(err)
	}
	log, err := os.Create(path + ".log")
	if err != nil {
		s.t.Fatal(err)
	}
	e.process = exec.Command(bin, "hosted", "--settings", path)
	e.process.Stdout, e.process.Stderr = log, log
	if err := e.process.Start(); err != nil {
		s.t.Fatal(err)
	}
	go func() {
		_ = e.process.Wait() // the test checks whether it has ended
		close(e.exited)
	}()
	s.t.Cleanup(func() {
		_ = e.process.Process.Kill() // fails for one that has ended
		<-e.exited
		_ = log.Close()
		if text, err := os.ReadFile(log.Name()); err == nil && s.t.Failed() {
			s.t.Logf("end of %s:\n%s", log.Name(), text[max(0, len(text)-4000):])
		}
	})
	s.entries = append(s.entries, e)
}

func (s *hostileSite) waitUntil(what string, condition func() bool) {
	s.t.Helper()
	for deadline := time.Now().Add(hostileWait); !condition(); time.Sleep(50 * time.Millisecond) {
		if time.Now().After(deadline) {
			s.t.Fatalf("not so within %s: %s", hostileWait, what)
		}
	}
}

// memory returns a figure of the process in MB, rounded up.
func (e *hostileEntry) memory(name string) int {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", e.process.Process.Pid))
	if err != nil {
		return 0
	}
	for line := range strings.SplitSeq(string(text), "\n") {
		if value, found := strings.CutPrefix(line, name+":"); found {
			kilobytes, _ := strconv.Atoi(strings.TrimSpace(strings.TrimSuffix(strings.TrimSpace(value), "kB")))
			return (kilobytes + 1023) / 1024
		}
	}
	return 0
}

func (e *hostileEntry) openDescriptors() int {
	entries, _ := os.ReadDir(fmt.Sprintf("/proc/%d/fd", e.process.Process.Pid)) // none after its end
	return len(entries)
}

func (e *hostileEntry) isAlive() bool {
	select {
	case <-e.exited:
		return false
	default:
		return e.process.Process.Signal(syscall.Signal(0)) == nil
	}
}

// keptConn is a connection that is used for more than one request.
type keptConn struct {
	conn   net.Conn
	reader *bufio.Reader
}

func (s *hostileSite) nextID() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.requests++
	return fmt.Sprintf("ordinary-%d", s.requests)
}

// ordinary sends an ordinary request on a connection, nil for a new one, and checks that the answer
// is whole.
func (s *hostileSite) ordinary(e *hostileEntry, kept *keptConn) error {
	if kept == nil {
		conn, err := net.DialTimeout("tcp", e.settings.CallerAddr, hostileWait)
		if err != nil {
			return err
		}
		defer conn.Close()
		kept = &keptConn{conn: conn, reader: bufio.NewReader(conn)}
	}
	id := s.nextID()
	body := id + strings.Repeat(" ordinary", 200)
	if err := kept.conn.SetDeadline(time.Now().Add(hostileWait)); err != nil {
		return err
	}
	if _, err := io.WriteString(kept.conn, requestHead(standin.NonIdempotentPath+id, id, hostedKey, lengthField(len(body)))+body); err != nil {
		return fmt.Errorf("write: %w", err)
	}
	response, err := http.ReadResponse(kept.reader, nil)
	if err != nil {
		return fmt.Errorf("read the header of the answer: %w", err)
	}
	defer response.Body.Close()
	got, err := io.ReadAll(response.Body)
	if err != nil {
		return fmt.Errorf("read the answer: %w", err)
	}
	if response.StatusCode != http.StatusOK || !strings.HasSuffix(string(got), " "+body) {
		return fmt.Errorf("status %d, %d bytes: %.120q", response.StatusCode, len(got), got)
	}
	return nil
}

// hostileHead returns the header section of a request of the clients, with the fields of extra.
func hostileHead(path, id, extra string) string { return requestHead(path, id, hostileKey, extra) }

func requestHead(path, id, key, extra string) string {
	return fmt.Sprintf("POST %s HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n%s: 8000\r\n%s: Bearer %s\r\n%s\r\n",
		path, standin.Host, wire.HeaderRequestID, id, wire.HeaderDeadlineMS, wire.HeaderAuth, key, extra)
}

// hostileTarget is a listener, and a path there.
type hostileTarget struct {
	addr, path string
	isPeer     bool
}

// Kinds of targets. The small listeners share the clients of one phase.
func (e *hostileEntry) serviceRoute() []hostileTarget {
	return []hostileTarget{{addr: e.settings.CallerAddr, path: standin.NonIdempotentPath}}
}

func (e *hostileEntry) noRoute() []hostileTarget {
	return []hostileTarget{{addr: e.settings.CallerAddr, path: "/nowhere/"}}
}

func (e *hostileEntry) smallListeners() []hostileTarget {
	return []hostileTarget{
		{addr: e.settings.DirectoryAddr, path: wire.PathResolve + "?region=r&zone=a&name=" + standin.Host},
		{addr: e.settings.ReadyAddr, path: wire.PathReady},
		{addr: e.settings.MetricsAddr, path: "/metrics"},
		{addr: e.settings.PeerAddr, path: "/", isPeer: true},
	}
}

// allTargets returns every target of the first Instance; the second one is only its peer.
func (s *hostileSite) allTargets() []hostileTarget {
	e := s.entries[0]
	return append(append(e.serviceRoute(), e.noRoute()...), e.smallListeners()...)
}

// hostileBehaviour writes to a connection what a client of its kind sends. An error means that the
// other side has closed it.
type hostileBehaviour struct {
	send func(w io.Writer, target hostileTarget, id string) error
	// neverReads is set for a client that reads nothing. It keeps its connection. Others read what
	// they get, and connect again when they were refused or closed.
	neverReads bool
}

// hostileGroup is a group of clients that stay until leave.
type hostileGroup struct {
	clients sync.WaitGroup
	stop    chan struct{}
	mu      sync.Mutex
	left    bool
	conns   map[net.Conn]struct{}
}

// hostileRedial is the time after which a client that was closed connects again.
const hostileRedial = 50 * time.Millisecond

func startHostileGroup(n int, targets []hostileTarget, behaviours ...hostileBehaviour) *hostileGroup {
	g := &hostileGroup{stop: make(chan struct{}), conns: map[net.Conn]struct{}{}}
	for i := range n {
		target, behaviour := targets[i%len(targets)], behaviours[i/len(targets)%len(behaviours)]
		g.clients.Go(func() {
			for attempt := 0; ; attempt++ {
				g.run(target, behaviour, fmt.Sprintf("hostile-%d-%d-%d", time.Now().UnixNano(), i, attempt))
				select {
				case <-g.stop:
					return
				case <-time.After(hostileRedial):
				}
			}
		})
	}
	return g
}

func (g *hostileGroup) run(target hostileTarget, behaviour hostileBehaviour, id string) {
	conn, err := net.DialTimeout("tcp", target.addr, time.Second)
	if err != nil || !g.add(conn) {
		return
	}
	defer g.remove(conn)
	if behaviour.neverReads {
		if behaviour.send(conn, target, id) == nil {
			<-g.stop
		}
		return
	}
	sent := make(chan error, 1)
	go func() { sent <- behaviour.send(conn, target, id) }()
	_, _ = io.Copy(io.Discard, conn) // ends when the connection is closed
	conn.Close()
	<-sent
}

func (g *hostileGroup) add(conn net.Conn) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.left {
		conn.Close()
		return false
	}
	g.conns[conn] = struct{}{}
	return true
}

func (g *hostileGroup) remove(conn net.Conn) {
	g.mu.Lock()
	defer g.mu.Unlock()
	delete(g.conns, conn)
	conn.Close()
}

// leave closes all connections at one moment.
func (g *hostileGroup) leave() {
	close(g.stop)
	g.mu.Lock()
	g.left = true
	for conn := range g.conns {
		conn.Close()
	}
	g.mu.Unlock()
	g.clients.Wait()
}

// phase runs a group of clients, and checks the processes and ordinary requests while the clients are
// there and after they have left. All findings are reported.
func (s *hostileSite) phase(name string, start func() *hostileGroup) {
	s.t.Helper()
	for _, e := range s.entries {
		conn, err := net.DialTimeout("tcp", e.settings.CallerAddr, hostileWait)
		if err != nil {
			s.t.Fatalf("%s: %v", name, err)
		}
		e.kept = &keptConn{conn: conn, reader: bufio.NewReader(conn)}
		if err := s.ordinary(e, e.kept); err != nil {
			s.t.Fatalf("%s: before the clients came: %v", name, err)
		}
	}
	group := start()
	time.Sleep(hostileHold)
	s.check(name + ", clients present")
	group.leave()
	s.check(name + ", clients gone")
	for _, e := range s.entries {
		e.kept.conn.Close()
	}
	s.checkGivenBack(name)
}

func (s *hostileSite) check(when string) {
	s.t.Helper()
	for i, e := range s.entries {
		if !e.isAlive() {
			s.t.Fatalf("%s: entry-%d has ended", when, i)
		}
		if err := s.ordinary(e, nil); err != nil {
			s.t.Errorf("%s: entry-%d, ordinary request on a new connection: %v", when, i, err)
		}
		if err := s.ordinary(e, e.kept); err != nil {
			s.t.Errorf("%s: entry-%d, ordinary request on a connection opened before: %v", when, i, err)
		}
		peak, now, descriptors := e.memory("VmHWM"), e.memory("VmRSS"), e.openDescriptors()
		s.t.Logf("%s: entry-%d: peak %d MB, now %d MB, %d descriptors", when, i, peak, now, descriptors)
		if max(peak, now) >= hostileMemoryMB {
			s.t.Errorf("%s: entry-%d has had %d MB resident, the machine has %d", when, i, max(peak, now), hostileMemoryMB)
		}
		if descriptors >= hostileDescriptors {
			s.t.Errorf("%s: entry-%d has %d open descriptors, the machine allows %d", when, i, descriptors, hostileDescriptors)
		}
	}
}

// checkGivenBack waits until memory, descriptors and the holds of engines have been given back.
func (s *hostileSite) checkGivenBack(name string) {
	s.t.Helper()
	given := func() (missing string) {
		for i, e := range s.entries {
			if now := e.memory("VmRSS"); now > e.residentMB+hostileKeptMB {
				missing += fmt.Sprintf("; entry-%d has %d MB resident, %d before", i, now, e.residentMB)
			}
			if now := e.openDescriptors(); now > e.descriptors+hostileKeptDescriptors {
				missing += fmt.Sprintf("; entry-%d has %d descriptors, %d before", i, now, e.descriptors)
			}
		}
		for _, id := range []string{"decode-0", "decode-1"} {
			if used := s.platform.Engine(id).UsedTokens(); used > 0 {
				missing += fmt.Sprintf("; %s holds %d tokens", id, used)
			}
		}
		return missing
	}
	missing := given()
	for deadline := time.Now().Add(hostileWait); missing != "" && time.Now().Before(deadline); missing = given() {
		time.Sleep(100 * time.Millisecond)
	}
	if missing != "" {
		s.t.Errorf("%s: not given back%s", name, missing)
	}
}
