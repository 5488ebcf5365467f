// Package poison finds the parts of prompts that crash the engines which begin to generate
// on them, like a poison message in a queue. No two requests with such a part need to be
// alike, so the evidence is kept by part: engine processes that crashed before the first
// event of a run, against runs that completed. Instances share their evidence in
// heartbeats. The package is pure: every call passes the current instant.
//
// Equal requests are found in the same way: the digest of a request is its only part.
//
// A connection that ends is only a suspicion of a crash: networks reset connections of
// processes that work on. A suspicion is dropped when the process answers a request that it
// was working on at that time.
package poison

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"github.com/rhubarbsill/rhubarbsill/pkg/core"
)

const (
	// crashLimit is the number of engine processes after which a part without a completed
	// run counts as poison.
	crashLimit = 3
	// provenCrashLimit replaces crashLimit for a part with a completed run within
	// completionMemory: engines crash and lose responses for other reasons too.
	provenCrashLimit = 5
	// minCrashSpread is the time from the first crash to the last one. Crashes within less
	// have a common cause, such as a failed rack.
	minCrashSpread = time.Second
	// completionMemory is the time for which a completed run is remembered.
	completionMemory = time.Minute
	// crashMemory is the time for which crashes are remembered. Each time it passes, a part
	// that still is poison costs crashLimit engines again.
	crashMemory = 10 * time.Minute
	// maxCrashes, maxSuspects and maxCompleted bound the state. The oldest entries are
	// dropped, but for the first crash of a part.
	maxCrashes   = 8
	maxSuspects  = 256
	maxCompleted = 4096
	// maxReports bounds the parts in one heartbeat. Those with most crashes go first.
	maxReports = 16
	// maxSurvivals bounds the processes of which the last survival is remembered.
	maxSurvivals = 4096
	// recentEvidence is the time after its last change for which the evidence on a part is
	// in every report. It is longer than the interval of heartbeats in a fleet of 330.
	recentEvidence = 10 * time.Second
	// clearedMemory is the time for which a part that a completed run has cleared stays in
	// the reports, so that all peers learn of that run.
	clearedMemory = 10 * time.Second
)

// Process is one process of an engine.
type Process struct {
	ID core.UpstreamID
	// Born is the start of the process in Unix milliseconds, 0 for unknown.
	Born int64
}

// Crash is an engine process that crashed, Age ago.
type Crash struct {
	Process Process
	Age     time.Duration
}

// Report is the evidence on one part that an Instance sends to its peers.
type Report struct {
	Crashes []Crash
	// Common are the parts that all runs which crashed had in common.
	Common []core.PromptPart
	// Completed is set when a run of the sender completed, CompletedAge ago.
	Completed    bool
	CompletedAge time.Duration
}

// Params are the settings of a Detector.
type Params struct {
	// TrialDelay is the time after the last crash at which a poison part may run again, once: a
	// further crash doubles the time. 0 for never.
	TrialDelay time.Duration
}

// Detector holds the evidence. It is not safe for concurrent use.
type Detector struct {
	params   Params
	survived map[Process]survival
	suspects map[core.PromptPart]*suspect
	// completed holds the instant of the last completed run of this Instance per part.
	completed map[core.PromptPart]core.Instant
}

// suspect is the evidence on a part that had a crash.
type suspect struct {
	crashes map[Process]core.Instant // since the last completed run
	common  []core.PromptPart        // of the runs that crashed, sorted
	// completed is set when completedAt is the instant of the last completed run of any
	// Instance. Instants before the start of this process are negative.
	completed   bool
	completedAt core.Instant
	updatedAt   core.Instant
}

// survival is a time over which a process has worked on one request: it did not end in it.
type survival struct{ from, to core.Instant }

// New returns a Detector without evidence.
func New(p Params) *Detector {
	return &Detector{
		params: p, survived: map[Process]survival{},
		suspects: map[core.PromptPart]*suspect{}, completed: map[core.PromptPart]core.Instant{},
	}
}

// OnCrash records that an engine process crashed before the first event of a run with
// these parts.
func (d *Detector) OnCrash(now core.Instant, parts []core.PromptPart, process Process) {
	common := slices.Compact(slices.Sorted(slices.Values(parts)))
	for _, part := range common {
		d.addCrash(now, part, common, process, now)
	}
}

// OnCompleted records a completed run with these parts.
func (d *Detector) OnCompleted(now core.Instant, parts []core.PromptPart) {
	for _, part := range parts {
		d.completed[part] = now
		if s := d.suspects[part]; s != nil {
			s.clear(now)
		}
	}
	if len(d.completed) > maxCompleted {
		maps.DeleteFunc(d.completed, func(_ core.PromptPart, at core.Instant) bool { return now.Sub(at) > completionMemory })
	}
	for len(d.completed) > maxCompleted {
		delete(d.completed, oldest(d.completed))
	}
}

// OnServed records a completed run of a part that is suspected. Unlike OnCompleted, it keeps
// nothing about any other part.
func (d *Detector) OnServed(now core.Instant, part core.PromptPart) {
	if s := d.suspects[part]; s != nil {
		d.OnCompleted(now, []core.PromptPart{part})
	}
}

// OnSurvived records that a process has answered a request that was sent to it at since. It drops
// the crashes of that process from then until now.
func (d *Detector) OnSurvived(now, since core.Instant, process Process) {
	if known, found := d.survived[process]; found && since <= known.to {
		since = min(since, known.from)
	}
	d.survived[process] = survival{from: since, to: now}
	if len(d.survived) > maxSurvivals {
		ends := make(map[Process]core.Instant, len(d.survived))
		for p, s := range d.survived {
			ends[p] = s.to
		}
		delete(d.survived, oldest(ends))
	}
	for _, s := range d.suspects {
		if at, found := s.crashes[process]; found && d.hasSurvived(process, at) {
			delete(s.crashes, process)
		}
	}
}

// hasSurvived reports whether a process was working at an instant and answered later.
func (d *Detector) hasSurvived(process Process, at core.Instant) bool {
	s, found := d.survived[process]
	return found && s.from <= at && at <= s.to
}

// clear removes the crashes up to a completed run.
func (s *suspect) clear(completedAt core.Instant) {
	if s.completed {
		completedAt = max(s.completedAt, completedAt)
	}
	s.completed, s.completedAt = true, completedAt
	if len(s.crashes) > 0 {
		s.updatedAt = max(s.updatedAt, completedAt)
	}
	maps.DeleteFunc(s.crashes, func(_ Process, at core.Instant) bool { return at <= s.completedAt })
}

// addCrash adds a crash to the evidence on one part. common are the parts of the run, or
// those that all runs which a peer reports had in common. Of two reports of one crash the
// earlier instant is right, as transit only adds to it.
func (d *Detector) addCrash(now core.Instant, part core.PromptPart, common []core.PromptPart, process Process, at core.Instant) {
	if now.Sub(at) > crashMemory || d.hasSurvived(process, at) {
		return
	}
	s := d.suspects[part]
	if s == nil {
		s = &suspect{crashes: map[Process]core.Instant{}, updatedAt: at}
		s.completedAt, s.completed = d.completed[part]
	}
	if s.completed && at <= s.completedAt {
		return
	}
	d.suspects[part] = s
	if len(s.crashes) == 0 {
		s.common = common
	}
	s.common = slices.DeleteFunc(slices.Clone(s.common), func(p core.PromptPart) bool { return !slices.Contains(common, p) })
	if known, found := s.crashes[process]; !found || at < known {
		s.crashes[process] = at
		s.updatedAt = max(s.updatedAt, at)
	}
	if len(s.crashes) > maxCrashes {
		s.forgetCrash()
	}
	if len(d.suspects) > maxSuspects {
		d.dropOldestSuspect()
	}
}

// forgetCrash removes the oldest crash but the first. The first one shows for how long
// processes have been crashing.
func (s *suspect) forgetCrash() {
	first := oldest(s.crashes)
	rest := maps.Clone(s.crashes)
	delete(rest, first)
	delete(s.crashes, oldest(rest))
}

func (d *Detector) dropOldestSuspect() {
	updates := make(map[core.PromptPart]core.Instant, len(d.suspects))
	for part, s := range d.suspects {
		updates[part] = s.updatedAt
	}
	delete(d.suspects, oldest(updates))
}

// oldest returns the key with the earliest instant.
func oldest[K comparable](instants map[K]core.Instant) K {
	var key K
	first := core.Never
	for k, at := range instants {
		if at < first {
			key, first = k, at
		}
	}
	return key
}

// Reports returns the evidence for the peers, nil without any: all of it, or only what has
// changed within recentEvidence. Crashes include those that peers have reported. Completed
// runs are only those of this Instance: each relay would make them look younger by the
// transit time, and a part would be cleared again and again.
func (d *Detector) Reports(now core.Instant, all bool) map[core.PromptPart]Report {
	for part, s := range d.suspects {
		maps.DeleteFunc(s.crashes, func(_ Process, at core.Instant) bool { return now.Sub(at) > crashMemory })
		if len(s.crashes) == 0 && (!s.completed || now.Sub(s.completedAt) > clearedMemory) {
			delete(d.suspects, part)
		}
	}
	var parts []core.PromptPart
	for part, s := range d.suspects {
		if all || now.Sub(s.updatedAt) <= recentEvidence {
			parts = append(parts, part)
		}
	}
	if len(parts) == 0 {
		return nil
	}
	slices.SortFunc(parts, func(a, b core.PromptPart) int {
		return cmp.Or(cmp.Compare(len(d.suspects[b].crashes), len(d.suspects[a].crashes)), cmp.Compare(a, b))
	})
	reports := make(map[core.PromptPart]Report, maxReports)
	for _, part := range parts[:min(len(parts), maxReports)] {
		reports[part] = d.report(now, part)
	}
	return reports
}

func (d *Detector) report(now core.Instant, part core.PromptPart) Report {
	s := d.suspects[part]
	report := Report{Common: s.common}
	for process, at := range s.crashes {
		report.Crashes = append(report.Crashes, Crash{Process: process, Age: now.Sub(at)})
	}
	slices.SortFunc(report.Crashes, func(a, b Crash) int {
		return cmp.Or(cmp.Compare(b.Age, a.Age), cmp.Compare(a.Process.ID, b.Process.ID), cmp.Compare(a.Process.Born, b.Process.Born))
	})
	if at, found := d.completed[part]; found {
		report.Completed, report.CompletedAge = true, now.Sub(at)
	}
	return report
}

// OnPeerReports adds the evidence of a peer.
func (d *Detector) OnPeerReports(now core.Instant, reports map[core.PromptPart]Report) {
	for part, report := range reports {
		for _, crash := range report.Crashes {
			d.addCrash(now, part, report.Common, crash.Process, now.Add(-crash.Age))
		}
		if s := d.suspects[part]; s != nil && report.Completed {
			s.clear(now.Add(-report.CompletedAge))
		}
	}
}

// Find returns a part that is poison for a request with these parts. A part whose crashed
// runs all had further parts in common is poison only together with those: any of them
// may be the cause.
func (d *Detector) Find(now core.Instant, parts []core.PromptPart) (core.PromptPart, bool) {
	for _, part := range parts {
		s := d.suspects[part]
		if s == nil || !s.isPoison(now, d.params.TrialDelay) {
			continue
		}
		if !slices.ContainsFunc(s.common, func(p core.PromptPart) bool { return !slices.Contains(parts, p) }) {
			return part, true
		}
	}
	return "", false
}

// isPoison reports whether enough processes have crashed since the last completed run, and the time
// until the next trial has not passed.
func (s *suspect) isPoison(now core.Instant, trialDelay time.Duration) bool {
	limit := crashLimit
	if s.completed && now.Sub(s.completedAt) <= completionMemory {
		limit = provenCrashLimit
	}
	count, first, last := 0, core.Never, core.Instant(math.MinInt64)
	for _, at := range s.crashes {
		if now.Sub(at) <= crashMemory {
			count++
			first, last = min(first, at), max(last, at)
		}
	}
	if count < limit || last.Sub(first) < minCrashSpread {
		return false
	}
	return trialDelay == 0 || now.Sub(last) < trialDelay<<(count-limit)
}
