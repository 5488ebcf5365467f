package poison

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/rhubarbsill/rhubarbsill/pkg/core"
)

const second = core.Instant(time.Second)

func parts(names ...core.PromptPart) []core.PromptPart { return names }

func process(n int) Process { return Process{ID: core.UpstreamID(fmt.Sprintf("e%d", n))} }

// crash records crashes of n different processes, a second apart, and returns the end.
func crash(d *Detector, now core.Instant, n int, names ...core.PromptPart) core.Instant {
	for i := range n {
		now += second
		d.OnCrash(now, names, process(int(now/second)*100+i))
	}
	return now
}

// Guards against requests with one part in common that crash one engine after the other,
// although no two of them are alike.
func TestPartThatCrashesEnginesIsFound(t *testing.T) {
	is := is.New(t)
	d := New(Params{})
	now := crash(d, 10*second, crashLimit-1, "first", "bad")
	_, found := d.Find(now, parts("first", "bad"))
	is.True(!found)
	now = crash(d, now, 1, "first", "bad")
	_, found = d.Find(now, parts("first", "bad"))
	is.True(found)
	_, found = d.Find(now.Add(crashMemory), parts("first", "bad"))
	is.True(!found)
}

// Guards against the refusal of sound requests that share a part with those that crash.
func TestPartsSharedWithSoundRequestsAreNotPoison(t *testing.T) {
	is := is.New(t)
	d := New(Params{})
	now := crash(d, 10*second, 4, "first", "bad")
	_, found := d.Find(now, parts("first"))
	is.True(!found) // either part may be the cause
	d.OnCompleted(now, parts("first"))
	part, found := d.Find(now, parts("first", "bad"))
	is.True(found)
	is.Equal(part, core.PromptPart("bad"))
	// The same part beside another one crashes too, so it is poison by itself.
	_, found = d.Find(now, parts("other", "bad"))
	is.True(!found)
	now = crash(d, now, 1, "other", "bad")
	_, found = d.Find(now, parts("third", "bad"))
	is.True(found)
	_, found = d.Find(now, parts("other"))
	is.True(!found)
}

// Guards against the blame of parts whose engines crash for another reason.
func TestOtherCrashesAreNotBlamedOnAPart(t *testing.T) {
	is := is.New(t)
	d := New(Params{})
	for i := range 10 { // a rack fails
		d.OnCrash(10*second, parts("a"), process(i))
	}
	_, found := d.Find(10*second, parts("a"))
	is.True(!found)
	for i := range 10 { // one engine resets connections
		d.OnCrash(core.Instant(20+i)*second, parts("b"), process(99))
	}
	_, found = d.Find(30*second, parts("b"))
	is.True(!found)
	for i := range 20 { // responses are lost now and then
		now := crash(d, core.Instant(100+10*i)*second, 2, "c")
		d.OnCompleted(now.Add(time.Second), parts("c"))
	}
	_, found = d.Find(305*second, parts("c"))
	is.True(!found)
}

// Guards against evidence that stays with the Instance that saw it, and against a cleared
// part that relayed crashes blame again.
func TestEvidenceIsShared(t *testing.T) {
	is := is.New(t)
	a, b, c := New(Params{}), New(Params{}), New(Params{})
	now := crash(a, 10*second, 2, "bad")
	now = crash(b, now, 1, "bad")
	b.OnPeerReports(now, a.Reports(now, true))
	c.OnPeerReports(now, b.Reports(now, true)) // includes the crashes that a has reported
	_, found := c.Find(now, parts("bad"))
	is.True(found)

	a.OnCompleted(now.Add(time.Second), parts("bad"))
	now = now.Add(2 * time.Second)
	c.OnPeerReports(now, a.Reports(now, true))
	_, found = c.Find(now, parts("bad"))
	is.True(!found)
	c.OnPeerReports(now, b.Reports(now, true))
	_, found = c.Find(now, parts("bad"))
	is.True(!found)
}

// Guards against an Instance that has just started and takes the crashes before its start
// for unknown ones: its instants count from the start.
func TestInstanceThatStartsLearnsOfEarlierCrashes(t *testing.T) {
	is := is.New(t)
	old, started := New(Params{}), New(Params{})
	now := crash(old, 300*second, 3, "bad")
	started.OnPeerReports(second, old.Reports(now.Add(time.Minute), true))
	_, found := started.Find(second, parts("bad"))
	is.True(found)
	old.OnCompleted(now.Add(time.Minute), parts("bad"))
	started.OnPeerReports(2*second, old.Reports(now.Add(61*time.Second), true))
	_, found = started.Find(2*second, parts("bad"))
	is.True(!found)
}

// Guards against evidence in every heartbeat for as long as it is remembered.
func TestOldEvidenceIsRepeatedOnlyInFullReports(t *testing.T) {
	is := is.New(t)
	d := New(Params{})
	now := crash(d, 10*second, 3, "bad")
	is.Equal(len(d.Reports(now, false)), 1)
	now = now.Add(recentEvidence + time.Millisecond)
	is.Equal(len(d.Reports(now, false)), 0)
	is.Equal(len(d.Reports(now, true)), 1)
	d.OnCompleted(now, parts("bad")) // peers must learn of it
	is.True(d.Reports(now, false)["bad"].Completed)
}

// Guards against state and heartbeats that grow with the number of parts.
func TestStateIsBounded(t *testing.T) {
	is := is.New(t)
	d := New(Params{})
	for i := range 3 * maxCompleted {
		now := core.Instant(i) * core.Instant(time.Millisecond)
		d.OnCompleted(now, parts(core.PromptPart(fmt.Sprintf("p%d", i))))
		d.OnCrash(now, parts(core.PromptPart(fmt.Sprintf("q%d", i))), process(i))
		if i < 20 {
			d.OnCrash(now, parts("many"), process(i))
		}
	}
	is.True(len(d.completed) <= maxCompleted)
	is.True(len(d.suspects) <= maxSuspects)
	reports := d.Reports(second, true)
	is.Equal(len(reports), maxReports)
	for _, report := range reports {
		is.True(len(report.Crashes) <= maxCrashes)
	}
}

// Guards against any order of events in which a part is blamed although one of its runs
// completed after its last crash.
func TestCompletedRunClearsItsParts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		name := rapid.SampledFrom([]core.PromptPart{"a", "b", "c", "d"})
		detectors := []*Detector{New(Params{}), New(Params{}), New(Params{})}
		now := second
		for range rapid.IntRange(1, 60).Draw(t, "events") {
			now = now.Add(time.Duration(rapid.IntRange(0, 2000).Draw(t, "ms")) * time.Millisecond)
			d := rapid.SampledFrom(detectors).Draw(t, "instance")
			names := rapid.SliceOfN(name, 1, 3).Draw(t, "parts")
			switch rapid.IntRange(0, 3).Draw(t, "event") {
			case 0, 1:
				d.OnCrash(now, names, process(rapid.IntRange(0, 20).Draw(t, "process")))
			case 2:
				peer := rapid.SampledFrom(detectors).Draw(t, "peer")
				d.OnPeerReports(now, peer.Reports(now, true))
			case 3:
				d.OnCompleted(now, names)
				if part, found := d.Find(now, names); found {
					t.Fatalf("%s is blamed after a completed run of %v", part, names)
				}
			}
		}
	})
}

// Guards against a part that is not refused because engines crash in quick succession in a
// large fleet: the crashes that are remembered then lie close together.
func TestManyCrashesInQuickSuccession(t *testing.T) {
	is := is.New(t)
	d := New(Params{})
	start := core.Instant(time.Minute)
	for i := range 20 {
		now := start.Add(time.Duration(i) * 80 * time.Millisecond)
		d.OnCrash(now, []core.PromptPart{"bad"}, Process{ID: core.UpstreamID(fmt.Sprint(i))})
		_, found := d.Find(now, []core.PromptPart{"bad"})
		is.Equal(found, now.Sub(start) >= minCrashSpread)
	}
	is.True(len(d.suspects["bad"].crashes) <= maxCrashes)
}

// Guards against the blame for lost connections of processes that work on, and against a crash that
// is overlooked because the process answered before it or after it has started again.
func TestOnlyProcessesThatEndAreCounted(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		d := New(Params{})
		lostAt := 100*second + core.Instant(rapid.IntRange(0, 1000).Draw(t, "lost"))*core.Instant(time.Millisecond)
		since := 100*second + core.Instant(rapid.IntRange(-2000, 2000).Draw(t, "since"))*core.Instant(time.Millisecond)
		answered := since.Add(time.Duration(rapid.IntRange(0, 3000).Draw(t, "took")) * time.Millisecond)
		early := rapid.Bool().Draw(t, "answer known first")
		if early {
			d.OnSurvived(answered, since, process(1))
		}
		d.OnPeerReports(answered.Add(5*time.Second), map[core.PromptPart]Report{"a": {
			Crashes: []Crash{{Process: process(1), Age: answered.Add(5 * time.Second).Sub(lostAt)}}, Common: parts("a"),
		}})
		if !early {
			d.OnSurvived(answered, since, process(1))
		}
		counted := d.suspects["a"] != nil && len(d.suspects["a"].crashes) == 1
		if survived := since <= lostAt && lostAt <= answered; counted == survived {
			t.Fatalf("lost at %d, working from %d to %d: counted=%t", lostAt, since, answered, counted)
		}
	})
}
