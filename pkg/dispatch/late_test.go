package dispatch

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/rhubarbsill/rhubarbsill/pkg/core"
)

func lateJob(id string, now core.Instant) Job {
	j := modelJob(id, now)
	j.Deadline = now.Add(10 * time.Second)
	j.PlaceLateUntil = now.Add(5 * time.Second)
	return j
}

// Guards against late requests that take the memory that requests on time need: of 40,000 tokens, three
// late jobs of 8,000 may hold 24,000.
func TestLateJobsUseSpareMemoryOnly(t *testing.T) {
	is := is.New(t)
	d := newDispatcher(1, 1)
	now := core.Instant(time.Second)
	for _, id := range []string{"a", "b", "c"} {
		holdOf(t, d.Submit(now, lateJob(id, now)))
	}
	is.Equal(len(d.Submit(now, lateJob("d", now))), 0)
	is.Equal(holdOf(t, d.Submit(now, modelJob("new", now))).ID, core.RequestID("new"))
	is.Equal(d.QueueLength(), 1)
}

// Guards against a late request that is refused although it may still wait, and against one that waits
// for longer than it may.
func TestLateJobWaitsUntilItsLimit(t *testing.T) {
	is := is.New(t)
	d := newDispatcher(1, 1)
	now := core.Instant(time.Second)
	for _, id := range []string{"a", "b", "c", "d", "e"} {
		holdOf(t, d.Submit(now, modelJob(id, now)))
	}
	is.Equal(len(d.Submit(now, lateJob("late", now))), 0)
	is.Equal(len(d.Tick(now.Add(4*time.Second))), 0)
	outputs := d.Tick(now.Add(5 * time.Second))
	is.Equal(len(outputs), 1)
	refused, ok := outputs[0].(Refused)
	is.True(ok)
	is.Equal(refused.Refusal.Ran, core.NotRun)
}

// Guards against a late request that is placed before one of its priority that can be on time.
func TestLateJobWaitsBehindThoseOnTime(t *testing.T) {
	is := is.New(t)
	d := newDispatcher(1, 1)
	now := core.Instant(time.Second)
	for _, id := range []string{"a", "b", "c", "d", "e"} {
		holdOf(t, d.Submit(now, modelJob(id, now)))
	}
	is.Equal(len(d.Submit(now, lateJob("late", now))), 0)
	is.Equal(len(d.Submit(now, modelJob("new", now))), 0)
	is.Equal(holdOf(t, d.Release(now, "a")).ID, core.RequestID("new"))
}
