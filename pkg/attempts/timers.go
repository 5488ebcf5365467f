package attempts

import (
	"container/heap"

	"github.com/rhubarbsill/rhubarbsill/pkg/core"
)

type timerKind int

const (
	timerAttempt timerKind = iota // stage deadline
	timerRequest                  // deadline of the request
	timerCancel                   // repeat a cancel
	timerVerdict                  // ask the arbiter again
	timerRound                    // send the marks of a round again
	timerSync                     // greet the peers again
)

// timer wakes one object. Timers are never removed: an object that has moved on
// ignores its old timers.
type timer struct {
	at      core.Instant
	order   uint64
	kind    timerKind
	attempt core.AttemptID
	up      core.UpstreamID
	request core.RequestID
	print   core.Fingerprint
	round   uint64
}

func (a *Attempts) after(t timer) {
	a.order++
	t.order = a.order
	heap.Push(&a.timers, t)
}

// NextWake returns the time at which Tick is due.
func (a *Attempts) NextWake() core.Instant {
	if len(a.timers) == 0 {
		return core.Never
	}
	return a.timers[0].at
}

// Tick does the work that is due at now.
func (a *Attempts) Tick(now core.Instant) []Output {
	var outputs []Output
	for len(a.timers) > 0 && a.timers[0].at <= now {
		due := heap.Pop(&a.timers).(timer)
		outputs = append(outputs, a.onTimer(now, due)...)
	}
	return outputs
}

func (a *Attempts) onTimer(now core.Instant, due timer) []Output {
	switch due.kind {
	case timerAttempt:
		return a.onAttemptTimer(now, due.attempt)
	case timerRequest:
		return a.onRequestDeadline(now, due.request)
	case timerCancel:
		return a.onCancelTimer(now, cancelKey{attempt: due.attempt, up: due.up})
	case timerVerdict:
		return a.onVerdictTimer(now, due)
	case timerRound:
		return a.onRoundTimer(now, due)
	}
	return a.onSyncTimer(now)
}

type timerHeap []timer

func (h timerHeap) Len() int { return len(h) }

func (h timerHeap) Less(i, k int) bool {
	if h[i].at != h[k].at {
		return h[i].at < h[k].at
	}
	return h[i].order < h[k].order
}

func (h timerHeap) Swap(i, k int) { h[i], h[k] = h[k], h[i] }

// Push is part of heap.Interface.
func (h *timerHeap) Push(x any) { *h = append(*h, x.(timer)) }

// Pop is part of heap.Interface.
func (h *timerHeap) Pop() any {
	last := len(*h) - 1
	t := (*h)[last]
	*h = (*h)[:last]
	return t
}
