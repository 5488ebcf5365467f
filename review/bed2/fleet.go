// Command bed2 runs the cases of the second review: a stand-in of the platform, instances as processes of
// the deploy file, and callers, all on loopback.
package main

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/rhubarbsill/rhubarbsill/pkg/lab/hostplatform"
	"github.com/rhubarbsill/rhubarbsill/platform/standin"
	"github.com/rhubarbsill/rhubarbsill/platform/wire"
)

const (
	account = "baker"
	key     = "key-of-the-baker"
	rate    = 1_000_000
	// The sums of a small machine, as in the example of the settings.
	memoryMB = 134
	maxFDs   = 4100
)

// record writes what happens to the file of the case.
type record struct {
	mu    sync.Mutex
	start time.Time
	file  *os.File
}

func (r *record) line(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.file, "%8.3f %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
}

// instance is one process of the system.
type instance struct {
	name                                 string
	caller, ready, directory, peer, meas string
	settings, log                        string
	cmd                                  *exec.Cmd
	done                                 chan struct{}
}

// fleet is the site of a case.
type fleet struct {
	record *record
	dir    string
	// settingsVariable is the variable that holds the path of a settings file.
	settingsVariable string
	platform         *standin.Platform
	instances        []*instance
	// memoryMB and maxFDs are those of each machine.
	memoryMB, maxFDs int
}

var ports struct {
	sync.Mutex
	used map[int]bool
}

// freeAddr returns a loopback address on which nothing listens, below the ports of outgoing connections.
func freeAddr() (string, error) {
	ports.Lock()
	defer ports.Unlock()
	if ports.used == nil {
		ports.used = map[int]bool{}
	}
	for port := 12_000 + rand.IntN(16_000); port < 32_000; port++ {
		if ports.used[port] {
			continue
		}
		ports.used[port] = true
		addr := "127.0.0.1:" + strconv.Itoa(port)
		if l, err := net.Listen("tcp", addr); err == nil {
			_ = l.Close()
			return addr, nil
		}
	}
	return "", fmt.Errorf("no free port")
}

var engineParams = hostplatform.EngineParams{
	Slots: 8, MemoryTokens: 60_000, PrefillTokensPerSecond: 50_000, EventInterval: 10 * time.Millisecond, KVTTL: 500 * time.Millisecond,
}

func startFleet(r *record, dir string, change func(*wire.Config)) (*fleet, error) {
	p, err := standin.Start(standin.Params{
		Zones: []string{"a", "b"}, Prefill: 2, Decode: 2, Engine: engineParams,
	})
	if err != nil {
		return nil, err
	}
	f := &fleet{record: r, dir: dir, settingsVariable: *settingsVariable, platform: p, memoryMB: memoryMB, maxFDs: maxFDs}
	err = p.SetConfig(func(c *wire.Config) {
		*c = standin.DefaultConfig(account, key, rate, engineParams)
		if change != nil {
			change(c)
		}
	})
	return f, err
}

// addInstance writes the settings of a new machine, which are those of platform/settings.jsonc, and starts it.
func (f *fleet) addInstance(name string) (*instance, error) {
	in := &instance{name: name}
	for _, addr := range []*string{&in.caller, &in.ready, &in.directory, &in.peer, &in.meas} {
		var err error
		if *addr, err = freeAddr(); err != nil {
			return nil, err
		}
	}
	seeds := []string{}
	for _, other := range f.instances {
		if len(seeds) < 3 {
			seeds = append(seeds, strconv.Quote(other.peer))
		}
	}
	text := fmt.Sprintf(`{
  "instance": %q, "data_centre": "a", "region": "r", "data_centres": {"a": "r", "b": "r"},
  "caller_addr": %q, "ready_addr": %q, "directory_addr": %q, "peer_addr": %q, "metrics_addr": %q,
  "seeds": [%s], "store_addr": %q,
  "memory_mb": [%d], "max_fds": [%d], "weigh_held_prompts": true,
  "grace_seconds": 8, "config_apply_ms": 3000, "contact_ms": 4000, "drain_ms": 3000, "follow_readers": true,
  "addresses_max_seconds": 5, "retry_ratio": 0.2, "retry_allowance": 56, "retry_window_seconds": 10,
  "quota_window_s": 8, "quota_tolerance_part": 0.5, "quota_overage": 0.1, "quota_slack": 110000
}`, name, in.caller, in.ready, in.directory, in.peer, in.meas, strings.Join(seeds, ","), f.platform.StoreAddr, f.memoryMB, f.maxFDs)
	in.settings = filepath.Join(f.dir, name+".jsonc")
	if err := os.WriteFile(in.settings, []byte(text), 0o600); err != nil {
		return nil, err
	}
	f.instances = append(f.instances, in)
	return in, f.start(in)
}

// start starts the process of an instance with the command of the deploy file.
func (f *fleet) start(in *instance) error {
	in.log = filepath.Join(f.dir, in.name+".log")
	log, err := os.OpenFile(in.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	in.cmd = exec.Command("target/rhubarbsilld", "hosted")
	in.cmd.Env = append(os.Environ(), f.settingsVariable+"="+in.settings)
	in.cmd.Stdout, in.cmd.Stderr = log, log
	in.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := in.cmd.Start(); err != nil {
		return err
	}
	done := make(chan struct{})
	in.done = done
	cmd := in.cmd
	go func() {
		_ = cmd.Wait()
		_ = log.Close()
		close(done)
	}()
	f.record.line("started %s pid=%d callers=%s", in.name, in.cmd.Process.Pid, in.caller)
	return nil
}

func (in *instance) kill() {
	_ = in.cmd.Process.Kill()
	<-in.done
}

func (f *fleet) close() {
	for _, in := range f.instances {
		if in.cmd != nil && in.cmd.Process != nil {
			_ = in.cmd.Process.Signal(syscall.SIGCONT)
			in.kill()
		}
	}
	f.platform.Close()
}

func (in *instance) isReady() bool {
	client := http.Client{Timeout: time.Second}
	response, err := client.Get("http://" + in.ready + wire.PathReady)
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

func waitReady(timeout time.Duration, list ...*instance) bool {
	for deadline := time.Now().Add(timeout); time.Now().Before(deadline); time.Sleep(50 * time.Millisecond) {
		ready := true
		for _, in := range list {
			ready = ready && in.isReady()
		}
		if ready {
			return true
		}
	}
	return false
}

// memory returns a line of /proc/PID/status in MB.
func (in *instance) memory(field string) float64 {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", in.cmd.Process.Pid))
	if err != nil {
		return 0
	}
	for line := range strings.SplitSeq(string(text), "\n") {
		if rest, found := strings.CutPrefix(line, field+":"); found {
			kb, _ := strconv.ParseFloat(strings.TrimSpace(strings.TrimSuffix(rest, "kB")), 64)
			return kb / 1024
		}
	}
	return 0
}
