package claims

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

func drawPlan(t *rapid.T) plan {
	rate := func(name string, most float64) float64 {
		if !rapid.Bool().Draw(t, name+" on") {
			return 0
		}
		return most * float64(rapid.IntRange(1, 10).Draw(t, name)) / 10
	}
	p := plan{
		seed:      rapid.Uint64().Draw(t, "seed"),
		nodes:     rapid.IntRange(1, 4).Draw(t, "nodes"),
		keys:      rapid.IntRange(1, 200).Draw(t, "keys"),
		requests:  rapid.IntRange(1, 5).Draw(t, "requests"),
		span:      time.Duration(rapid.IntRange(2, 60).Draw(t, "span")) * time.Second,
		outage:    rate("outage", 0.6),
		slow:      rate("slow", 0.5),
		stale:     rate("stale", 0.5),
		lost:      rate("lost", 0.6),
		late:      rate("late", 0.6),
		twice:     rate("twice", 0.5),
		kill:      rate("kill", 0.5),
		pause:     rate("pause", 0.5),
		notRun:    rate("not run", 0.5),
		retention: 10 * time.Second,
	}
	if rapid.Bool().Draw(t, "untimed keys") {
		p.untimed = true
		p.retention = 10 * time.Minute
	}
	return p
}

// Guards against a second dispatch of a key, a request that runs after it was
// refused as not run, an answer after the deadline or a second one, a false
// outcome, and a shard that stays blocked after the faults have ended.
func TestClaimsUnderFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(t, drawPlan(t))
		w.storm()
		w.settle()
	})
}

// Guards against the back-off of an outage that delays a claim long after the
// outage, when the first write after it meets a conflict (seed 2 of
// TestClaimsUnderFaults, 2026-12-04).
func TestConflictAfterOutageRetriesAtOnce(t *testing.T) {
	w := newWorld(t, plan{
		seed: 2, nodes: 2, keys: 11, requests: 1, span: 4 * time.Second,
		outage: 0.48, twice: 0.04, retention: 10 * time.Second,
	})
	w.storm()
	w.drive(w.now + 30*time.Second)
	w.settle()
}
