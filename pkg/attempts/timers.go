package attempts

import "github.com/rhubarbsill/rhubarbsill/pkg/core"

type timerKind int

const (
	timerAttempt timerKind = iota // deadline of the stage
	timerRequest                  // deadline of the request
	timerCancel                   // repeats a cancel
	timerPermit                   // repeats a permission request
	timerRound                    // repeats the notices of a round
	timerSync                     // repeats the sync requests
)

// timer is a wake-up of one attempt, request, cancel or round. Timers are never
// removed; one whose object has ended or moved to a later deadline is ignored.
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

// NextWake returns the time at which Tick is due, core.Never if no timer is set.
func (a *Attempts) NextWake() core.Instant {
	if next, ok := a.timers.NextTime(); ok {
		return next
	}
	return core.Never
}

// Tick handles all timers that are due at now.
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
