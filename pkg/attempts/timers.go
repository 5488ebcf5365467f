package attempts

import "github.com/rhubarbsill/rhubarbsill/pkg/core"

type timerKind int

const (
	timerAttempt timerKind = iota // stage deadline
	timerRequest                  // deadline of the request
	timerCancel                   // repeat a cancel
	timerPermit                   // ask the arbiter again
	timerRound                    // send the marks of a round again
	timerSync                     // greet the peers again
)

// timer wakes one object. Timers are never removed: an object that has moved on
// ignores its old timers.
type timer struct {
	at          core.Instant
	kind        timerKind
	attempt     core.AttemptID
	upstream    core.UpstreamID
	request     core.RequestID
	fingerprint core.Fingerprint
	round       uint64
}

func (a *Attempts) addTimer(t timer) {
	a.timers.Add(t.at, t)
}

// NextWake returns the time at which Tick is due.
func (a *Attempts) NextWake() core.Instant {
	if next, any := a.timers.NextTime(); any {
		return next
	}
	return core.Never
}

// Tick does the work that is due at now.
func (a *Attempts) Tick(now core.Instant) []Output {
	var outputs []Output
	for {
		timer, _, due := a.timers.PopDue(now)
		if !due {
			return outputs
		}
		outputs = append(outputs, a.onTimer(now, timer)...)
	}
}

func (a *Attempts) onTimer(now core.Instant, due timer) []Output {
	switch due.kind {
	case timerAttempt:
		return a.onAttemptTimer(now, due.attempt)
	case timerRequest:
		return a.onRequestDeadline(now, due.request)
	case timerCancel:
		return a.onCancelTimer(now, cancelKey{attempt: due.attempt, upstream: due.upstream})
	case timerPermit:
		return a.onPermitTimer(now, due)
	case timerRound:
		return a.onRoundTimer(now, due)
	}
	return a.onSyncTimer(now)
}
