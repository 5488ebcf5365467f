// Package bed starts a small site on loopback for the cases of the review: a stand-in of the
// platform's store, stand-in engines, and instances as separate processes that run the command of
// deploy/system.toml.
package bed

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/rhubarbsill/rhubarbsill/pkg/core"
	"github.com/rhubarbsill/rhubarbsill/pkg/hosted"
	"github.com/rhubarbsill/rhubarbsill/pkg/lab/hostplatform"
	"github.com/rhubarbsill/rhubarbsill/platform/standin"
	"github.com/rhubarbsill/rhubarbsill/platform/wire"
)

// Exit codes of a case.
const (
	Held    = 0
	Broken  = 1
	CantRun = 2
)

// maxDuration bounds a case, which may take 120 s.
const maxDuration = 110 * time.Second

// Site is a small site on loopback.
type Site struct {
	Store     *hostplatform.Store
	Record    *Record
	Instances []*Instance

	storeAddr string
	dir       string
	mu        sync.Mutex
	version   uint64
	usedPorts map[string]bool
}

// Instance is one process of the system.
type Instance struct {
	Settings hosted.Settings

	site    *Site
	path    string
	log     string
	mu      sync.Mutex
	cmd     *exec.Cmd
	exited  chan struct{}
	stopped bool // the case has asked it to stop
	// OwnEnds counts the ends of the process that the case has not asked for.
	ownEnds int
}

// New starts the store of a site. Its record is written to the file that RECORD names.
func New() *Site {
	record, err := newRecord(os.Getenv("RECORD"))
	if err != nil {
		fmt.Fprintln(os.Stderr, "record:", err)
		os.Exit(CantRun)
	}
	s := &Site{Store: hostplatform.NewStore(), Record: record, usedPorts: map[string]bool{}}
	if s.dir, err = os.MkdirTemp("", "review"); err != nil {
		s.Fail("temporary folder: %v", err)
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		s.Fail("store: %v", err)
	}
	s.storeAddr = listener.Addr().String()
	time.AfterFunc(maxDuration, func() { s.Fail("it takes longer than %s", maxDuration) })
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM)
	go func() { s.Fail("stopped by %s", <-signals) }()
	server := &http.Server{Handler: standin.Store{Model: s.Store}, ReadHeaderTimeout: 5 * time.Second}
	go func() { _ = server.Serve(listener) }() // ends with the process
	return s
}

// Trouble reports whether the case plays its disruption.
func Trouble() bool { return os.Getenv("TROUBLE") != "0" }

// Fail ends a case that can't run.
func (s *Site) Fail(format string, args ...any) {
	s.Record.Line("the case can't run: "+format, args...)
	s.End(CantRun)
}

// End kills all processes that the case has started and exits.
func (s *Site) End(code int) {
	for _, instance := range s.Instances {
		instance.Kill()
	}
	if code != Held && os.Getenv("KEEP_LOGS") != "" {
		s.Record.Line("logs are in %s", s.dir)
	} else {
		_ = os.RemoveAll(s.dir) // a temporary folder
	}
	s.Record.close()
	os.Exit(code)
}

// Verdict ends the case: it is broken if anything is in violations.
func (s *Site) Verdict(rule string, violations []string) {
	for _, v := range violations {
		s.Record.Line("broken: %s: %s", rule, v)
	}
	if len(violations) > 0 {
		s.Record.Line("verdict: %s is broken", rule)
		s.End(Broken)
	}
	s.Record.Line("verdict: %s held", rule)
	s.End(Held)
}

// PutConfig writes a configuration under the next version and returns the instant of the
// confirmation.
func (s *Site) PutConfig(config wire.Config) time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version += 3
	config.Version = s.version
	s.put(wire.KindConfig, wire.ConfigObjectName, config)
	s.Record.Line("operator: configuration %d is confirmed", s.version)
	return time.Now()
}

// PutServer registers an engine.
func (s *Site) PutServer(id string, entry wire.Server) {
	s.put(wire.KindServers, id, entry)
}

func (s *Site) put(kind, name string, spec any) {
	encoded, err := json.Marshal(spec)
	if err != nil {
		s.Fail("%s/%s: %v", kind, name, err)
	}
	object := hostplatform.Object{Kind: kind, Name: name, Spec: encoded}
	ctx := context.Background()
	if _, err = s.Store.Get(ctx, kind, name); err == nil {
		_, err = s.Store.Replace(ctx, object, 0)
	} else {
		_, err = s.Store.Create(ctx, object)
	}
	if err != nil {
		s.Fail("%s/%s: %v", kind, name, err)
	}
}

// The system draws the ports of outgoing connections from a range above lastPort.
const (
	firstPort = 12_000
	lastPort  = 30_000
)

// FreeAddr returns a loopback address on which nothing listens.
func (s *Site) FreeAddr() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	for range 1000 {
		addr := fmt.Sprintf("127.0.0.1:%d", firstPort+rand.IntN(lastPort-firstPort))
		if s.usedPorts[addr] {
			continue
		}
		listener, err := net.Listen("tcp", addr)
		if err != nil {
			continue
		}
		_ = listener.Close() // nothing was accepted
		s.usedPorts[addr] = true
		return addr
	}
	s.Fail("no free port")
	return ""
}

// StartInstances starts n instances and waits until they are ready and know each other.
func (s *Site) StartInstances(n int) {
	if os.Getenv("SETTINGS_VAR") == "" || os.Getenv("DAEMON") == "" {
		s.Fail("SETTINGS_VAR or DAEMON is not set: start run.sh")
	}
	for i := range n {
		instance := &Instance{site: s, Settings: hosted.Settings{
			Instance: core.InstanceID(fmt.Sprintf("front-a-%d", i+1)), DataCentre: "a", Region: "r",
			DataCentres: map[core.DataCentreName]core.RegionName{"a": "r"},
			CallerAddr:  s.FreeAddr(), ReadyAddr: s.FreeAddr(), DirectoryAddr: s.FreeAddr(), PeerAddr: s.FreeAddr(), MetricsAddr: s.FreeAddr(),
			StoreAddr: s.storeAddr, GraceSeconds: 8, MaxAddressTTLSeconds: 5, ConfigApplyMS: 3000, ContactMS: 4000, ColdOverage: 1.5, ColdSlack: 5,
			RetryRatio: 0.2, RetryAllowance: 56, RetryWindowSeconds: 10, LogLevel: "info",
		}}
		s.Instances = append(s.Instances, instance)
	}
	for i, instance := range s.Instances {
		for _, seed := range s.Instances[:min(3, n)] {
			instance.Settings.Seeds = append(instance.Settings.Seeds, seed.Settings.PeerAddr)
		}
		text, err := json.Marshal(instance.Settings)
		if err != nil {
			s.Fail("settings: %v", err)
		}
		instance.path = filepath.Join(s.dir, fmt.Sprintf("instance-%d.jsonc", i+1))
		instance.log = filepath.Join(s.dir, fmt.Sprintf("instance-%d.log", i+1))
		if err := os.WriteFile(instance.path, text, 0o600); err != nil {
			s.Fail("settings: %v", err)
		}
		instance.Start()
	}
	s.WaitFor("all instances to be listed by each other", 10*time.Second, func() bool {
		for _, instance := range s.Instances {
			if !instance.Ready() || len(instance.Addresses()) < min(n, 64) {
				return false
			}
		}
		return true
	})
}

// WaitFor waits for a condition; the case can't run without it.
func (s *Site) WaitFor(what string, limit time.Duration, condition func() bool) {
	for deadline := time.Now().Add(limit); time.Now().Before(deadline); time.Sleep(20 * time.Millisecond) {
		if condition() {
			return
		}
	}
	s.Fail("timed out waiting for %s", what)
}

// Start starts the process.
func (i *Instance) Start() {
	log, err := os.OpenFile(i.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		i.site.Fail("log: %v", err)
	}
	words := strings.Fields(os.Getenv("DAEMON"))
	cmd := exec.Command(words[0], words[1:]...)
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "LANG=" + os.Getenv("LANG"), os.Getenv("SETTINGS_VAR") + "=" + i.path}
	cmd.Stdout, cmd.Stderr = log, log
	if err := cmd.Start(); err != nil {
		i.site.Fail("start: %v", err)
	}
	exited := make(chan struct{})
	i.mu.Lock()
	i.cmd, i.exited, i.stopped = cmd, exited, false
	i.mu.Unlock()
	i.site.Record.Line("%s: started, process %d", i.Settings.Instance, cmd.Process.Pid)
	go func() {
		err := cmd.Wait()
		_ = log.Close()
		i.mu.Lock()
		if !i.stopped {
			i.ownEnds++
			i.site.Record.Line("%s: process %d ended by itself: %v", i.Settings.Instance, cmd.Process.Pid, err)
		} else {
			i.site.Record.Line("%s: process %d ended: %v", i.Settings.Instance, cmd.Process.Pid, err)
		}
		i.mu.Unlock()
		close(exited)
	}()
}

// Signal sends a signal to the process. One that ends a process counts as asked for.
func (i *Instance) Signal(sig syscall.Signal) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if sig == syscall.SIGTERM || sig == syscall.SIGKILL {
		i.stopped = true
	}
	i.site.Record.Line("%s: gets %s", i.Settings.Instance, sig)
	if err := i.cmd.Process.Signal(sig); err != nil {
		i.site.Record.Line("%s: %v", i.Settings.Instance, err)
	}
}

// Kill kills the process and waits for its end.
func (i *Instance) Kill() {
	i.mu.Lock()
	cmd, exited := i.cmd, i.exited
	i.stopped = true
	i.mu.Unlock()
	if cmd == nil {
		return
	}
	_ = cmd.Process.Kill() // fails when it has ended
	<-exited
}

// OwnEnds returns how often the process has ended by itself.
func (i *Instance) OwnEnds() int {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.ownEnds
}

// Running reports whether the process runs.
func (i *Instance) Running() bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	select {
	case <-i.exited:
		return false
	default:
		return true
	}
}

// LogLines returns the lines of the process's output that contain text.
func (i *Instance) LogLines(text string) []string {
	all, err := os.ReadFile(i.log)
	if err != nil {
		return nil
	}
	var found []string
	for line := range strings.SplitSeq(string(all), "\n") {
		if strings.Contains(line, text) {
			found = append(found, line)
		}
	}
	return found
}

// probes is the client of readiness and address queries.
var probes = &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}

// Ready reports whether the instance says that it is ready.
func (i *Instance) Ready() bool {
	response, err := probes.Get("http://" + i.Settings.ReadyAddr + wire.PathReady)
	if err != nil {
		return false
	}
	_ = response.Body.Close() // nothing to be done
	return response.StatusCode == http.StatusOK
}

// Addresses returns the addresses that the instance gives to callers, nil if it gives none.
func (i *Instance) Addresses() []string {
	response, err := probes.Get("http://" + i.Settings.DirectoryAddr + wire.PathResolve + "?name=" + Host + "&region=r&zone=a")
	if err != nil {
		return nil
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	var reply wire.ResolveReply
	if err != nil || response.StatusCode != http.StatusOK || json.Unmarshal(body, &reply) != nil {
		return nil
	}
	return reply.Addresses
}

// Record is the record of a case.
type Record struct {
	mu    sync.Mutex
	file  *os.File
	start time.Time
}

func newRecord(path string) (*Record, error) {
	if path == "" {
		return &Record{file: os.Stdout, start: time.Now()}, nil
	}
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &Record{file: file, start: time.Now()}, nil
}

// Line writes a line with the time since the start of the case.
func (r *Record) Line(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	line := fmt.Sprintf("%8.3f  %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
	_, _ = io.WriteString(r.file, line) // a record that can't be written shows nothing, which is seen
}

func (r *Record) close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	_ = r.file.Close() // see Line
}
