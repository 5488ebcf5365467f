package attempts

import "github.com/rhubarbsill/rhubarbsill/pkg/core"

// ResumeDecode registers an attempt that already runs at a decode engine, for a
// caller that resumes its response at this Instance after the given number of
// tokens. The engine uses the returned id for the attempt from then on. The request
// is never retried, because this incarnation does not have the text that the caller
// received before.
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
