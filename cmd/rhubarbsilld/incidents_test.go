package main

import (
	"encoding/json"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/rhubarbsill/rhubarbsill/pkg/config"
	"github.com/rhubarbsill/rhubarbsill/pkg/lab/site"
	"github.com/rhubarbsill/rhubarbsill/pkg/platform"
)

// logLine is a line of an Instance's log.
type logLine struct {
	TS, Level, Msg string
	text           string
}

// logs returns the log lines above debug level of all Instances since a time, in the
// order of their timestamps.
func (f *fleet) logs(since time.Time) []logLine {
	f.t.Helper()
	names, err := filepath.Glob(filepath.Join(f.dir, "rhubarbsilld-*.log"))
	if err != nil {
		f.t.Fatal(err)
	}
	var lines []logLine
	for _, name := range names {
		text, err := os.ReadFile(name)
		if err != nil {
			f.t.Fatal(err)
		}
		for line := range strings.Lines(string(text)) {
			entry := logLine{text: filepath.Base(name) + " " + strings.TrimSpace(line)}
			if json.Unmarshal([]byte(line), &entry) != nil || entry.Level == "debug" {
				continue
			}
			if at, err := time.Parse(time.RFC3339Nano, entry.TS); err == nil && !at.Before(since) {
				lines = append(lines, entry)
			}
		}
	}
	slices.SortStableFunc(lines, func(a, b logLine) int { return strings.Compare(a.TS, b.TS) })
	return lines
}

// requireLogAndStatus waits for a log line with one text and for the status command to
// print another. statusArgs are further arguments of the command.
func (f *fleet) requireLogAndStatus(since time.Time, log, status string, statusArgs ...string) {
	f.t.Helper()
	f.eventually(30*time.Second, "log line "+log, func() bool {
		return slices.ContainsFunc(f.logs(since), func(l logLine) bool { return strings.Contains(l.text, log) })
	})
	out := ""
	f.eventually(30*time.Second, "status "+status, func() bool {
		out, _ = f.cli(append([]string{"status"}, statusArgs...)...)
		return strings.Contains(out, status)
	})
	f.t.Logf("status\n%s", out)
}

// dumpLogs writes the Instances' log lines to the test log.
func (f *fleet) dumpLogs(since time.Time) {
	for _, line := range f.logs(since) {
		f.t.Log(line.text)
	}
}

var componentPrefix = regexp.MustCompile(`^[a-z]+: `)

// Guards against an incident that is missing from status, log or timeline. The
// walk-through in docs/OPERATIONS.md is the output of this test (go test -v).
func TestIncidents(t *testing.T) {
	f := startFleet(t, 3)
	start := time.Now()
	small, entry, err := site.NewAccount("kiosk", 200, 1_000)
	if err != nil {
		t.Fatal(err)
	}
	f.doc.Accounts = append(f.doc.Accounts, entry)
	f.promote()
	f.requireLogAndStatus(start, "configuration in force", "version 2 in force on 3 instances")

	t.Run("over rate", f.incidentTest(func(since time.Time) {
		for range 30 {
			f.do("POST", f.callerURL(0)+"/v1/completions", small.Key, completionBody("x", 300, false))
		}
		f.requireLogAndStatus(since, "limits: account is over its rate", "production version 2")
		out, _ := f.cli("timeline", "--account", "kiosk", "--since", "1m")
		f.t.Logf("timeline\n%s", out)
		if !strings.Contains(out, "over_rate") {
			f.t.Error("the timeline does not show the refusals")
		}
	}))
	t.Run("crash loop", f.incidentTest(func(since time.Time) {
		id := ""
		for range 4 {
			code, header, body := f.do("POST", f.callerURL(0)+"/v1/completions", f.account.Key, completionBody("[[crash-engine]] menu", 20, false))
			f.t.Logf("answer %d %s", code, body)
			if code == 422 && id == "" {
				id = header.Get("X-Request-Id")
			}
			time.Sleep(1500 * time.Millisecond) // a crashed engine restarts
		}
		f.requireLogAndStatus(since, "attempts: suspect request refused", "production version 2")
		out, _ := f.cli("timeline", "--request", id)
		f.t.Logf("timeline\n%s", out)
		if !strings.Contains(out, "request_crashes_upstreams") {
			f.t.Error("the timeline does not show the refusal")
		}
	}))
	t.Run("instance cut off", f.incidentTest(func(since time.Time) {
		daemon := f.processes[len(f.processes)-1].Process
		_ = daemon.Signal(syscall.SIGSTOP)
		f.requireLogAndStatus(since, "call to peer failed", "WARNING entry-3 is silent")
		f.deregister("entry-3")
		f.requireLogAndStatus(since, "roster in force", "in force on 2 instances")
		_ = daemon.Signal(syscall.SIGCONT)
		f.requireLogAndStatus(since, "stopped serving", "is stopped", "--ask", f.instances[2].StatusAddr)
		removed := f.instances[2]
		err := platform.NewRegistrar(f.platformURL, platform.Options{}).PutInstance(t.Context(), platform.Instance{
			ID: "entry-3", PeerAddr: removed.PeerAddr, CallerAddr: removed.CallerAddr, DataCentre: string(site.DataCentre), State: platform.InstanceLive,
		})
		if err != nil {
			f.t.Fatal(err)
		}
		f.requireLogAndStatus(since, "membership: serving again", "in force on 3 instances")
	}))
	t.Run("store outage", f.incidentTest(func(since time.Time) {
		f.do("POST", f.platformURL+"/lab/faults", "", `{"outage":true}`)
		f.do("POST", f.callerURL(0)+"/call", f.account.Key, `{"board":"x"}`, "Idempotency-Key", "incident-1")
		if out, code := f.cli("status"); code != 4 {
			f.t.Errorf("status without the platform: exit code %d, %s", code, out)
		}
		f.requireLogAndStatus(since, "claims: claim store is unavailable", "mode store_outage",
			"--ask", f.instances[0].StatusAddr, "--ask", f.instances[1].StatusAddr, "--ask", f.instances[2].StatusAddr)
		f.do("POST", f.platformURL+"/lab/faults", "", `{}`)
		f.requireLogAndStatus(since, "keys: configuration is confirmed again", "production version 2")
	}))
	t.Run("key revoked", f.incidentTest(func(since time.Time) {
		f.doc.Accounts[1].Keys[0].Revoked = true
		path := filepath.Join(f.dir, "revoked.jsonc")
		if err := os.WriteFile(path, config.Format(f.doc), 0o600); err != nil {
			f.t.Fatal(err)
		}
		diff, _ := f.cli("config", "diff", path)
		f.t.Logf("diff\n%s", diff)
		f.promote()
		f.requireLogAndStatus(since, "keys: key revoked", "version 3 in force on 3 instances")
		_, _, body := f.do("GET", f.callerURL(1)+"/lookup/1", small.Key, "")
		f.t.Logf("answer %s", body)
		out, _ := f.cli("config", "rollback", "2")
		f.t.Logf("rollback\n%s", out)
	}))
	for _, line := range f.logs(start) {
		if !componentPrefix.MatchString(line.Msg) {
			t.Errorf("log line without the prefix of its component: %s", line.text)
		}
	}
	f.requireNoKeyLeak()
}

// incidentTest returns a subtest that runs one incident and then prints the log lines
// that the Instances wrote during it.
func (f *fleet) incidentTest(run func(since time.Time)) func(*testing.T) {
	return func(t *testing.T) {
		outer := f.t
		f.t = t
		defer func() { f.t = outer }()
		since := time.Now()
		run(since)
		f.dumpLogs(since)
	}
}
