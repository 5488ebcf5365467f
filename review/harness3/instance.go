package harness3

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/rhubarbsill/rhubarbsill/platform/wire"
)

// restartDelay is the time after which the platform starts a process again that has ended.
const restartDelay = 500 * time.Millisecond

// Site is a small site on loopback.
type Site struct {
	Record *Record
	Store  *Store
	// Instances are the entry instances.
	Instances []*Instance

	dir      string
	template string
	variable string
	bounds   fields
	zones    []string
	ip       string
	mu       sync.Mutex
	used     map[int]bool
}

// Instance is one entry instance, started again whenever its process ends.
type Instance struct {
	Name, Front, Ready string

	site     *Site
	settings string
	log      *os.File

	mu        sync.Mutex
	process   *exec.Cmd
	startedAt time.Time
	stopped   bool
	ended     chan struct{}
}

// NewSite starts the store. dir is an empty folder, root that of the repository, variable the name of the
// environment variable with the path of the settings.
func NewSite(record *Record, root, dir, variable string, bounds map[string]any) (*Site, error) {
	text, err := os.ReadFile(filepath.Join(root, "platform", "settings.jsonc"))
	if err != nil {
		return nil, err
	}
	store, err := StartStore(record, 4*time.Millisecond)
	if err != nil {
		return nil, err
	}
	return &Site{
		Record: record, Store: store, dir: dir, template: string(text), variable: variable, bounds: bounds,
		zones: []string{"a-1", "a-2"}, used: map[int]bool{},
		// A loopback address of its own keeps the ports apart from those of a site beside it.
		ip: fmt.Sprintf("127.%d.%d.%d", 1+rand.IntN(250), rand.IntN(250), 1+rand.IntN(250)),
	}, nil
}

// freePort returns a port on which nothing listens, below those that the system gives to outgoing
// connections.
func (s *Site) freePort() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	for {
		port := 12_000 + rand.IntN(18_000)
		if s.used[port] {
			continue
		}
		if l, err := net.Listen("tcp", fmt.Sprintf("%s:%d", s.ip, port)); err == nil {
			_ = l.Close() // nothing was accepted
			s.used[port] = true
			return port
		}
	}
}

// StartInstances starts n instances with the command of the deploy file, and waits until they are ready.
func (s *Site) StartInstances(root string, n int) error {
	regions := fields{}
	for _, zone := range s.zones {
		regions[zone] = "a"
	}
	addr := func() string { return fmt.Sprintf("%s:%d", s.ip, s.freePort()) }
	var control, seeds []string
	for range n {
		control = append(control, addr())
	}
	seeds = control[:min(3, n)]
	for i := range n {
		name := fmt.Sprintf("front-%d", i+1)
		inst := &Instance{Name: name, Front: addr(), Ready: addr(), site: s, settings: filepath.Join(s.dir, name+".conf")}
		data := fields{
			"node_name": name, "zone": s.zones[i%len(s.zones)], "region": "a", "zones": regions, "ip": s.ip,
			"listen":         fields{"front": inst.Front, "ready": inst.Ready, "directory": addr(), "control": control[i]},
			"internal_ports": []string{fmt.Sprint(s.freePort())}, "seeds": seeds,
			"platform": fields{"address": s.Store.Addr}, "limits": fields{"memory_mb": 134, "max_fds": 4100}, "bounds": s.bounds,
		}
		text, err := render(s.template, data)
		if err != nil {
			return err
		}
		if err := os.WriteFile(inst.settings, []byte(text), 0o600); err != nil {
			return err
		}
		if inst.log, err = os.Create(filepath.Join(s.dir, name+".log")); err != nil {
			return err
		}
		s.Instances = append(s.Instances, inst)
		if err := inst.start(root); err != nil {
			return err
		}
	}
	for _, inst := range s.Instances {
		if !inst.WaitReady(10 * time.Second) {
			text := inst.Log()
			return fmt.Errorf("%s is not ready: %s", inst.Name, text[max(0, len(text)-2000):])
		}
	}
	return nil
}

func (i *Instance) start(root string) error {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.stopped {
		return nil
	}
	cmd := exec.Command(filepath.Join(root, "target", "rhubarbsilld"), "hosted")
	cmd.Dir = root
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), i.site.variable + "=" + i.settings}
	cmd.Stdout, cmd.Stderr = i.log, i.log
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return err
	}
	i.process, i.startedAt, i.ended = cmd, time.Now(), make(chan struct{})
	i.site.Record.Add("%s: process %d starts", i.Name, cmd.Process.Pid)
	ended := i.ended
	go func() {
		err := cmd.Wait()
		i.site.Record.Add("%s: process %d has ended: %v", i.Name, cmd.Process.Pid, err)
		close(ended)
		time.Sleep(restartDelay)
		if err := i.start(root); err != nil {
			i.site.Record.Add("%s: does not start: %v", i.Name, err)
		}
	}()
	return nil
}

// Signal sends a signal to the process.
func (i *Instance) Signal(signal syscall.Signal) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.site.Record.Add("%s: %v to process %d", i.Name, signal, i.process.Process.Pid)
	_ = i.process.Process.Signal(signal) // the process may have ended
}

// UpSince returns the start of the present process.
func (i *Instance) UpSince() time.Time {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.startedAt
}

// WaitReady waits until the instance says that it is ready.
func (i *Instance) WaitReady(limit time.Duration) bool {
	client := &http.Client{Timeout: time.Second}
	for deadline := time.Now().Add(limit); time.Now().Before(deadline); time.Sleep(20 * time.Millisecond) {
		response, err := client.Get("http://" + i.Ready + wire.PathReady)
		if err != nil {
			continue
		}
		_ = response.Body.Close()
		if response.StatusCode == http.StatusOK {
			return true
		}
	}
	return false
}

// Log returns what the instance has logged.
func (i *Instance) Log() string {
	text, err := os.ReadFile(i.log.Name())
	if err != nil {
		return err.Error()
	}
	return string(text)
}

// Stop ends all processes and the store.
func (s *Site) Stop() {
	for _, i := range s.Instances {
		i.mu.Lock()
		i.stopped = true
		if i.process != nil {
			_ = i.process.Process.Kill() // it may have ended
		}
		ended := i.ended
		i.mu.Unlock()
		if ended != nil {
			<-ended
		}
	}
	s.Store.Close()
}

// CountLog returns how many log lines of all instances contain a text.
func (s *Site) CountLog(text string) int {
	n := 0
	for _, i := range s.Instances {
		n += strings.Count(i.Log(), text)
	}
	return n
}

// Sleep waits. It reports false when ctx has ended.
func Sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}
