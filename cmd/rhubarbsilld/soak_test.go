package main

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
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
	"github.com/rhubarbsill/rhubarbsill/pkg/lab/faultnet"
	"github.com/rhubarbsill/rhubarbsill/pkg/lab/hostplatform"
	"github.com/rhubarbsill/rhubarbsill/platform/standin"
	"github.com/rhubarbsill/rhubarbsill/platform/wire"
)

const (
	soakFaultTime = 20 * time.Second // of drawn faults
	soakContact   = 4 * time.Second  // after which calm Instances are in contact
	soakApply     = 3 * time.Second  // for a configuration to be in force
	soakServeTime = 3 * time.Second  // in which nearly all must be served again
	minSoakServed = 0.95             // share of the requests served then
	// soakDeadline is the time limit of a caller.
	soakDeadline = 4 * time.Second
	soakCallers  = 24

	soakAccount, soakKey       = "florist", "key-of-the-florist"
	soakRate                   = 300.0 // tokens a second of the limited account: 30 plain requests
	soakRequestTokens          = 10
	soakQuotaWindow            = 8 * time.Second
	soakQuotaOverage           = 1.1
	soakQuotaSlack             = soakRate // the sites have 0.7 to 2.7 s of the rate
	withdrawnKey               = "key-to-withdraw"
	soakStreamEvents           = 20
	soakProbability, soakPause = 0.25, 10 * time.Millisecond
)

// soak runs Instances as processes, each behind proxies, while faults are drawn, and judges what
// callers and Upstreams see.
type soak struct {
	t        *testing.T
	rng      *rand.Rand
	bin, dir string
	platform *standin.Platform
	upstream []*faultnet.Proxy // of the engines and plain services
	store    *faultnet.Proxy
	entries  []*soakInstance
	began    time.Time

	mu          sync.Mutex
	requests    int
	refused     []string // requests that were answered as not run
	outcomes    map[string]int
	keyDeadline time.Time // from which on withdrawnKey must not work, zero for never
	events      []string
	timeouts    []time.Duration // that routes have had
}

type soakInstance struct {
	settings string // path
	entry    *faultnet.Proxy
	peer     *faultnet.Proxy
	mu       sync.Mutex
	process  *exec.Cmd
	// stoppedAt is the time of a SIGTERM, since the begin of the faults; 0 for none.
	stoppedAt time.Duration
}

// soakParams are the settings of a soak.
type soakParams struct {
	instances   int
	engineSlots int // of each engine
	grace       time.Duration
}

func soakNumber(t *testing.T, name string, fallback int) int {
	text := os.Getenv(name)
	if text == "" {
		return fallback
	}
	n, err := strconv.Atoi(text)
	if err != nil {
		t.Fatalf("%s: %v", name, err)
	}
	return n
}

// Guards against anything that a caller must never see, over real processes whose connections are
// reset, go silent, are delayed and are cut one way, while Instances are killed, stopped and frozen
// and the store returns from an older copy. SOAK_SEED and SOAK_INSTANCES draw other
// runs; SOAK_DIR keeps the settings and logs.
func TestSoak(t *testing.T) {
	seed := uint64(soakNumber(t, "SOAK_SEED", 1))
	s := newSoak(t, seed, soakParams{instances: soakNumber(t, "SOAK_INSTANCES", 6), engineSlots: 8, grace: 6 * time.Second})
	stop := make(chan struct{})
	var callers sync.WaitGroup
	for i := range soakCallers {
		callers.Go(func() { s.call(rand.New(rand.NewPCG(seed, uint64(100+i))), stop) })
	}
	// Drawn from numbers of its own, so that a seed draws the same faults as before.
	leave := s.drawHostileClients(rand.New(rand.NewPCG(seed, 3)))
	for time.Since(s.began) < soakFaultTime {
		s.drawFault()
		time.Sleep(time.Duration(300+s.rng.IntN(900)) * time.Millisecond)
	}
	leave()
	s.heal()
	time.Sleep(soakContact)
	s.checkServed()
	s.checkWithdrawnKey()
	close(stop)
	callers.Wait()
	s.checkNothingHeld()
	for _, id := range s.refused { // a request that was refused must not run later either
		s.platform.Checker.RecordRefusal(id, true)
	}
	t.Logf("seed %d: %v", seed, s.outcomes)
	for _, violation := range s.platform.Checker.Violations() {
		t.Error(violation)
	}
	if t.Failed() {
		t.Log(strings.Join(s.events, "\n"))
	}
}

func newSoak(t *testing.T, seed uint64, p soakParams) *soak {
	t.Helper()
	dir := os.Getenv("SOAK_DIR")
	if dir == "" {
		dir = t.TempDir()
	}
	s := &soak{t: t, rng: rand.New(rand.NewPCG(seed, 1)), dir: dir, outcomes: map[string]int{}}
	engine := hostplatform.EngineParams{
		Slots: p.engineSlots, MemoryTokens: 20_000, PrefillTokensPerSecond: 50_000, EventInterval: 10 * time.Millisecond, KVTTL: 500 * time.Millisecond,
	}
	var err error
	s.platform, err = standin.Start(standin.Params{
		Zones: []string{"a", "b"}, Prefill: 2, Decode: 3, Plain: 3, Engine: engine, PlainServiceTime: 10 * time.Millisecond,
		Expose: func(addr string) (string, error) {
			proxy := s.proxy(addr)
			if s.store == nil { // the store starts first
				s.store = proxy
				return proxy.Addr(), nil
			}
			s.upstream = append(s.upstream, proxy)
			return proxy.Addr(), nil
		},
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(s.platform.Close)
	s.platform.Checker.SetAllowance(soakAccount, hostplatform.Allowance{
		Window: soakQuotaWindow, Tokens: int(soakQuotaOverage*(soakRate*soakQuotaWindow.Seconds()+soakRate) + soakQuotaSlack),
	})
	s.setConfig(func(c *wire.Config) {
		*c = standin.DefaultConfig(hostedAccount, hostedKey, hostedRate, engine)
		c.Tenants[0].Keys = append(c.Tenants[0].Keys, withdrawnKey)
		c.Tenants = append(c.Tenants, wire.Tenant{
			Name: soakAccount, Keys: []string{soakKey}, DefaultCostTokens: soakRequestTokens, RatePerS: soakRate, Burst: soakRate, Unit: wire.UnitTokens,
		}, wire.Tenant{ // of the clients that hold bytes and connections, so that they take few places of the engines
			Name: hostileAccount, Keys: []string{hostileKey}, DefaultCostTokens: hostileCostTokens, RatePerS: soakRate, Burst: soakRate, Unit: wire.UnitTokens,
		})
		c.Limits.BodyBytes = hostileBodyBytes
	})
	s.bin = filepath.Join(s.dir, "rhubarbsilld")
	if out, err := exec.Command("go", "build", "-o", s.bin, ".").CombinedOutput(); err != nil {
		t.Fatalf("go build: %v\n%s", err, out)
	}
	for i := range p.instances {
		s.addInstance(i, p.grace)
	}
	for _, e := range s.entries {
		s.start(e)
	}
	time.Sleep(soakContact)
	s.began = time.Now()
	return s
}

func (s *soak) proxy(target string) *faultnet.Proxy {
	s.t.Helper()
	proxy, err := faultnet.New(target, rand.New(rand.NewPCG(s.rng.Uint64(), 2)))
	if err != nil {
		s.t.Fatal(err)
	}
	s.t.Cleanup(proxy.Close)
	return proxy
}

func (s *soak) setConfig(change func(*wire.Config)) {
	s.t.Helper()
	if err := s.platform.SetConfig(change); err != nil {
		s.t.Fatal(err)
	}
}

// addInstance writes the settings of an Instance that callers and peers reach through proxies.
func (s *soak) addInstance(i int, grace time.Duration) {
	s.t.Helper()
	callerAddr, peerAddr := freeAddr(s.t), freeAddr(s.t)
	e := &soakInstance{entry: s.proxy(callerAddr), peer: s.proxy(peerAddr), settings: filepath.Join(s.dir, fmt.Sprintf("entry-%d.jsonc", i))}
	zone := []string{"a", "b"}[i%2]
	settings := hosted.Settings{
		Instance: core.InstanceID(fmt.Sprintf("entry-%d", i)), DataCentre: core.DataCentreName(zone), Region: "r",
		DataCentres: map[core.DataCentreName]core.RegionName{"a": "r", "b": "r"},
		CallerAddr:  callerAddr, ReadyAddr: freeAddr(s.t), DirectoryAddr: freeAddr(s.t), PeerAddr: e.peer.Addr(), PeerListenAddr: peerAddr, MetricsAddr: freeAddr(s.t),
		StoreAddr: s.store.Addr(), GraceSeconds: grace.Seconds(), MaxAddressTTLSeconds: 0.2, RetryRatio: 0.2, RetryAllowance: 30, RetryWindowSeconds: 10,
		ConfigApplyMS: float64(soakApply.Milliseconds()), ContactMS: 4000, ColdOverage: 1.5, ColdSlack: 5, LogLevel: "info",
		MemoryMB: hostileMemoryMB, MaxFDs: hostileDescriptors,
	}
	text, err := json.Marshal(settings)
	if err != nil {
		s.t.Fatal(err)
	}
	if err := os.WriteFile(e.settings, text, 0o600); err != nil {
		s.t.Fatal(err)
	}
	s.entries = append(s.entries, e)
}

// start starts the process of an Instance.
func (s *soak) start(e *soakInstance) {
	log, err := os.OpenFile(e.settings+".log", os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		s.t.Error(err)
		return
	}
	cmd := exec.Command(s.bin, "hosted", "--settings", e.settings)
	cmd.Stdout, cmd.Stderr = log, log
	if err := cmd.Start(); err != nil {
		s.t.Error(err)
		return
	}
	e.mu.Lock()
	e.process = cmd
	e.mu.Unlock()
	s.t.Cleanup(func() {
		_ = cmd.Process.Kill() // fails for one that has ended
		_ = cmd.Wait()
		_ = log.Close()
	})
}

func (e *soakInstance) signal(signal syscall.Signal) {
	e.mu.Lock()
	defer e.mu.Unlock()
	_ = e.process.Process.Signal(signal) // fails for one that has ended
}

// restart waits for the end of a process and starts the next one.
func (s *soak) restart(e *soakInstance, after time.Duration) {
	e.mu.Lock()
	process := e.process
	e.mu.Unlock()
	_ = process.Wait() // fails for one that was killed
	time.Sleep(after)
	s.start(e)
}

func (s *soak) note(format string, args ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.events = append(s.events, fmt.Sprintf("%6.2f s: ", time.Since(s.began).Seconds())+fmt.Sprintf(format, args...))
}
