package attempts

import "github.com/rhubarbsill/rhubarbsill/pkg/core"

// ResumeDecode takes over an attempt that already runs at a decode engine, for a caller
// that resumes its answer here after tokens of it. The engine knows the attempt
// under the returned id from then on. The request is not tried again elsewhere:
// this run does not have the text that the caller got before.
func (a *Attempts) ResumeDecode(now core.Instant, r Request, decode core.UpstreamID, tokens int) core.AttemptID {
	r.Idempotent = false
	q := &request{Request: r, phase: phaseRunning, tokens: tokens, maybeSent: true, attemptCount: 1}
	t := &attempt{id: a.nextID(), request: q, placement: Placement{Decode: decode}, stage: stageTransfer, maybeSent: true}
	t.notAfter = min(r.Deadline, now.Add(a.params.MaxStartDelay))
	q.current = t
	a.requests[r.ID] = q
	a.live[t.id] = t
	a.addTimer(timer{at: r.Deadline, kind: timerRequest, request: r.ID})
	a.trackAttempt(r.Fingerprint, t.id)
	a.setDeadline(t, now.Add(a.params.TransferTimeout))
	return t.id
}
