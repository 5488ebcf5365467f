package attempts

import (
	"slices"
	"time"

	"github.com/rhubarbsill/rhubarbsill/pkg/core"
	"github.com/rhubarbsill/rhubarbsill/pkg/schedule"
)

// maxSlotWait bounds the time for which a decode waits for its slot after the
// prefill, because the prefill engine keeps the KV cache for less than a second.
const maxSlotWait = 500 * time.Millisecond

type stage int

const (
	stagePrefill stage = iota
	stageTransfer
	stageDecode
	stageCall
)

// phase is the state of a request between Start and its end.
type phase int

const (
	phaseRunning           phase = iota // an attempt is live
	phaseAwaitingPlacement              // waits for another placement
	phaseAwaitingPermit                 // waits for a permission of the arbiter
	phaseAwaitingSync                   // waits for the records of the peers after a start
)

// request is a request with the state that is kept across its attempts.
type request struct {
	Request
	phase        phase
	tokens       int  // number of tokens that the caller already has
	maybeSent    bool // a byte of any attempt may have reached an Upstream
	attemptCount int
	avoid        []core.UpstreamID
	current      *attempt

	// Permission to run as a suspect.
	placement         *Placement // started when permitted; nil: ask for a placement first
	permitID          core.AttemptID
	permitArbiter     core.InstanceID
	permitRequestedAt core.Instant
	permitted         bool // permitID may start
	pendingRefusal    *core.Refusal
}

// attempt is one live attempt.
type attempt struct {
	id        core.AttemptID
	request   *request
	placement Placement
	stage     stage
	deadline  core.Instant // of the stage
	notAfter  core.Instant // of the last start
	maybeSent bool         // a byte may have reached an Upstream
}

// Attempts owns the attempts of one Instance.
type Attempts struct {
	self   core.InstanceRef
	params Params
	stats  Stats

	seq         uint64
	live        map[core.AttemptID]*attempt
	requests    map[core.RequestID]*request
	cancels     map[core.UpstreamID]map[core.AttemptID]*cancel
	openCancels map[core.AttemptID]int // number of unconfirmed cancels
	timers      schedule.Queue[core.Instant, timer]
	retryBudget float64

	members          map[core.InstanceID]core.Incarnation
	sortedMembers    []core.InstanceID
	deadIncarnations map[core.InstanceID]core.Incarnation
	absentSince      map[core.InstanceID]core.Instant
	ownerQueryAt     map[core.UpstreamID]map[core.AttemptID]core.Instant // when to query the owner next
	reportedCount    map[core.UpstreamID]int                             // number of attempts in the last report

	suspects
}

// New returns the Attempts of the Instance self.
func New(self core.InstanceRef, p Params) *Attempts {
	a := &Attempts{
		self:             self,
		params:           p.withDefaults(),
		live:             map[core.AttemptID]*attempt{},
		requests:         map[core.RequestID]*request{},
		cancels:          map[core.UpstreamID]map[core.AttemptID]*cancel{},
		openCancels:      map[core.AttemptID]int{},
		members:          map[core.InstanceID]core.Incarnation{},
		deadIncarnations: map[core.InstanceID]core.Incarnation{},
		absentSince:      map[core.InstanceID]core.Instant{},
		ownerQueryAt:     map[core.UpstreamID]map[core.AttemptID]core.Instant{},
		reportedCount:    map[core.UpstreamID]int{},
		suspects:         newSuspects(),
	}
	a.retryBudget = a.params.RetryBurst
	return a
}

// Stats returns the counts of dropped events.
func (a *Attempts) Stats() Stats { return a.stats }

// Start begins an attempt of the request on the Upstreams of placement. A later Start
// of the same request is the reply to its Reschedule.
func (a *Attempts) Start(now core.Instant, r Request, placement Placement) []Output {
	q := a.requests[r.ID]
	if q != nil && q.phase != phaseAwaitingPlacement {
		a.stats.DuplicateEvents++
		return nil
	}
	if q == nil {
		q = &request{Request: r}
		a.requests[r.ID] = q
		a.retryBudget = min(a.params.RetryBurst, a.retryBudget+a.params.RetryRatio)
		a.addTimer(timer{at: r.Deadline, kind: timerRequest, request: r.ID})
	}
	switch {
	case q.permitted:
		return a.startAttempt(now, q, placement, q.permitID)
	case !a.synced:
		q.phase = phaseAwaitingSync
		q.placement = &placement
		return nil
	case a.isSuspect(r.Fingerprint):
		return a.requestPermit(now, q, &placement)
	}
	return a.startAttempt(now, q, placement, a.nextID())
}

func (a *Attempts) nextID() core.AttemptID {
	a.seq++
	return core.AttemptID{Owner: a.self, Seq: a.seq}
}

// startAttempt starts the attempt with the given id.
func (a *Attempts) startAttempt(now core.Instant, q *request, placement Placement, id core.AttemptID) []Output {
	t := &attempt{id: id, request: q, placement: placement}
	q.phase = phaseRunning
	q.current = t
	q.placement = nil
	q.attemptCount++
	a.live[id] = t
	delete(a.permitRequests, id)
	a.trackAttempt(q.Fingerprint, id)
	startAt := max(now, placement.StartPrefillAt)
	t.notAfter = min(q.Deadline, startAt.Add(a.params.MaxStartDelay))
	if placement.Replica != "" {
		t.stage = stageCall
		t.deadline = q.Deadline
		return []Output{StartCall{Attempt: id, Request: q.ID, Upstream: placement.Replica, NotAfter: t.notAfter}}
	}
	a.setDeadline(t, startAt.Add(a.params.PrefillTimeout))
	return []Output{StartPrefill{
		Attempt:    id,
		Request:    q.ID,
		Upstream:   placement.Prefill,
		StartAt:    startAt,
		NotAfter:   t.notAfter,
		TokensSent: q.tokens,
	}}
}

func (a *Attempts) setDeadline(t *attempt, at core.Instant) {
	timerPending := t.deadline != 0 && t.deadline <= at // its timer is set again at the new deadline
	t.deadline = at
	if !timerPending {
		a.addTimer(timer{at: at, kind: timerAttempt, attempt: t.id})
	}
}

func (a *Attempts) onAttemptTimer(now core.Instant, id core.AttemptID) []Output {
	t := a.live[id]
	if t == nil || t.stage == stageCall {
		return nil
	}
	if now < t.deadline {
		a.addTimer(timer{at: t.deadline, kind: timerAttempt, attempt: id})
		return nil
	}
	up := t.placement.Prefill
	if t.stage == stageDecode {
		up = t.placement.Decode
	}
	return a.onAttemptFailure(now, t, Failure{Kind: FailStalled, Upstream: up, MaybeSent: true})
}

// findLive returns the live attempt. It returns nil and counts a late event when
// there is none.
func (a *Attempts) findLive(id core.AttemptID) *attempt {
	t := a.live[id]
	if t == nil {
		a.stats.LateEvents++
	}
	return t
}

// OnSent handles the event that a byte of the attempt may have reached its
// Upstream.
func (a *Attempts) OnSent(now core.Instant, id core.AttemptID) []Output {
	if t := a.findLive(id); t != nil {
		t.maybeSent = true
	}
	return nil
}

// OnPrefillDone handles the event that the prefill engine holds the KV cache.
func (a *Attempts) OnPrefillDone(now core.Instant, id core.AttemptID) []Output {
	t := a.findLive(id)
	if t == nil {
		return nil
	}
	if t.stage != stagePrefill {
		a.stats.DuplicateEvents++
		return nil
	}
	t.maybeSent = true
	t.stage = stageTransfer
	startAt := max(now, min(t.placement.SlotFreeAt, now.Add(maxSlotWait)))
	t.notAfter = min(t.request.Deadline, startAt.Add(a.params.MaxStartDelay))
	a.setDeadline(t, startAt.Add(a.params.TransferTimeout))
	return []Output{StartDecode{
		Attempt:    id,
		Request:    t.request.ID,
		Prefill:    t.placement.Prefill,
		Decode:     t.placement.Decode,
		StartAt:    startAt,
		NotAfter:   t.notAfter,
		TokensSent: t.request.tokens,
	}}
}

// OnFirstToken handles the first token of the attempt.
func (a *Attempts) OnFirstToken(now core.Instant, id core.AttemptID) []Output {
	t := a.findLive(id)
	if t == nil {
		return nil
	}
	if t.stage != stageTransfer {
		a.stats.DuplicateEvents++
		return nil
	}
	t.stage = stageDecode
	t.request.tokens++
	a.setDeadline(t, now.Add(a.params.ProgressTimeout))
	return nil
}

// OnProgress handles the number of tokens of the response that the caller has, or
// of bytes for a plain request. The number includes former attempts. Only a higher
// number counts as progress.
func (a *Attempts) OnProgress(now core.Instant, id core.AttemptID, tokens int) []Output {
	t := a.findLive(id)
	if t == nil {
		return nil
	}
	if tokens <= t.request.tokens || t.stage == stagePrefill {
		a.stats.DuplicateEvents++
		return nil
	}
	t.maybeSent = true
	t.request.tokens = tokens
	if t.stage == stageCall {
		return nil
	}
	t.stage = stageDecode
	a.setDeadline(t, now.Add(a.params.ProgressTimeout))
	return nil
}

// OnCompleted handles the end of a complete response; tokens is the number of
// tokens over all attempts.
func (a *Attempts) OnCompleted(now core.Instant, id core.AttemptID, tokens int) []Output {
	t := a.findLive(id)
	if t == nil {
		return nil
	}
	if t.stage == stagePrefill {
		a.stats.DuplicateEvents++ // no decode was started
		return nil
	}
	q := t.request
	delete(a.live, id)
	delete(a.requests, q.ID)
	outputs := a.clearSuspect(now, q.Fingerprint)
	outputs = append(outputs, a.untrackAttempt(now, id)...)
	return append(outputs, RequestCompleted{Request: q.ID, Tokens: max(tokens, q.tokens)})
}

// OnFailed handles the failure of an attempt. A crash of the Upstream also counts
// against the fingerprint of an attempt whose cancel isn't confirmed yet.
func (a *Attempts) OnFailed(now core.Instant, id core.AttemptID, f Failure) []Output {
	t := a.live[id]
	if t != nil {
		return a.onAttemptFailure(now, t, f)
	}
	a.stats.LateEvents++
	if f.Kind != FailCrashed {
		return nil
	}
	return a.onLateCrash(now, id, f)
}

// onAttemptFailure ends a failed live attempt and retries its request or refuses
// it.
func (a *Attempts) onAttemptFailure(now core.Instant, t *attempt, f Failure) []Output {
	q := t.request
	t.maybeSent = t.maybeSent || f.MaybeSent
	var outputs []Output
	if f.Kind == FailCrashed {
		t.maybeSent = true
		outputs = append(outputs, a.onCrash(now, t, f)...)
	}
	crashed := core.UpstreamID("")
	if f.Kind == FailCrashed {
		crashed = f.Upstream
	}
	outputs = append(outputs, a.endAttempt(now, t, crashed)...)
	if f.Upstream != "" && !slices.Contains(q.avoid, f.Upstream) {
		q.avoid = append(q.avoid, f.Upstream)
	}
	refusal := a.checkRetry(now, q, f)
	if f.Kind == FailCrashed {
		q.pendingRefusal = refusal
		return append(outputs, a.requestPermit(now, q, nil)...)
	}
	if refusal != nil {
		return append(outputs, a.failRequest(q, refusal)...)
	}
	return append(outputs, a.reschedule(q))
}

// endAttempt removes a live attempt and cancels it at the Upstreams that may hold
// something for it, except at a crashed one.
func (a *Attempts) endAttempt(now core.Instant, t *attempt, crashed core.UpstreamID) []Output {
	q := t.request
	delete(a.live, t.id)
	q.current = nil
	q.permitted = false
	q.maybeSent = q.maybeSent || t.maybeSent
	var outputs []Output
	if t.maybeSent {
		for _, up := range t.heldUpstreams() {
			if up != crashed {
				outputs = append(outputs, a.cancel(now, t, up)...)
			}
		}
	}
	return append(outputs, a.untrackAttempt(now, t.id)...)
}

// heldUpstreams returns the Upstreams that may hold memory or a slot for the
// attempt. The prefill engine holds none after the first token, which shows that
// the transfer is complete.
func (t *attempt) heldUpstreams() []core.UpstreamID {
	switch t.stage {
	case stagePrefill:
		return []core.UpstreamID{t.placement.Prefill}
	case stageTransfer:
		return []core.UpstreamID{t.placement.Prefill, t.placement.Decode}
	case stageDecode:
		return []core.UpstreamID{t.placement.Decode}
	}
	return []core.UpstreamID{t.placement.Replica}
}

// checkRetry takes a retry from the budget and returns nil when the request may be
// retried, else its refusal.
func (a *Attempts) checkRetry(now core.Instant, q *request, f Failure) *core.Refusal {
	switch {
	case f.Kind == FailProtocolError:
		return q.refusal(core.CodeUpstreamFailed, "the upstream rejected the request")
	case !q.Idempotent && q.maybeSent:
		return q.refusal(core.CodeUpstreamFailed, "the upstream failed, and the request isn't idempotent")
	case q.tokens > 0 && q.MaxOutputTokens == 0:
		return q.refusal(core.CodeUpstreamFailed, "the upstream failed after a part of its answer")
	case q.MaxOutputTokens > 0 && q.tokens >= q.MaxOutputTokens:
		return q.refusal(core.CodeUpstreamFailed, "the upstream failed after the last token")
	case now.Add(a.params.MinRetryTime) >= q.Deadline:
		return q.refusal(core.CodeDeadlineExceeded, "the upstream failed too late for a retry")
	case q.attemptCount >= a.params.MaxAttempts:
		return q.refusal(core.CodeUpstreamFailed, "every try of the request failed")
	case a.retryBudget < 1:
		return q.refusal(core.CodeUpstreamFailed, "the upstream failed, and the retry budget is used up")
	}
	a.retryBudget--
	return nil
}

func (q *request) refusal(code core.Code, message string) *core.Refusal {
	r := core.NewRefusal(code, message)
	if q.maybeSent {
		r.Ran = core.MayHaveRun
	}
	if code != core.CodeRequestCrashesUpstreams && code != core.CodeDeadlineExceeded {
		r.RetryAfter = time.Second
	}
	return r
}

func (a *Attempts) failRequest(q *request, refusal *core.Refusal) []Output {
	delete(a.requests, q.ID)
	return []Output{RequestFailed{Request: q.ID, Refusal: refusal}}
}

// reschedule asks for a new placement that avoids the Upstreams on which the
// request failed. A permitted suspect also avoids the Upstreams of other permitted
// suspects, so that one crash doesn't count against both.
func (a *Attempts) reschedule(q *request) Output {
	q.phase = phaseAwaitingPlacement
	avoid := slices.Clone(q.avoid)
	if q.permitted {
		avoid = append(avoid, a.permittedUpstreams()...)
	}
	slices.Sort(avoid)
	return Reschedule{Request: q.ID, AvoidUpstreams: slices.Compact(avoid), TokensSent: q.tokens}
}

// OnPlacementRefused ends a request whose Reschedule found no Upstream.
func (a *Attempts) OnPlacementRefused(now core.Instant, request core.RequestID, why *core.Refusal) []Output {
	q := a.requests[request]
	if q == nil || q.phase != phaseAwaitingPlacement {
		a.stats.LateEvents++
		return nil
	}
	refusal := *why
	if q.maybeSent {
		refusal.Ran = core.MayHaveRun
	}
	return append(a.abandonRequest(now, q), RequestFailed{Request: request, Refusal: &refusal})
}

// OnCallerDisconnected ends a request whose caller has disconnected.
func (a *Attempts) OnCallerDisconnected(now core.Instant, request core.RequestID) []Output {
	q := a.requests[request]
	if q == nil {
		a.stats.LateEvents++
		return nil
	}
	return a.abandonRequest(now, q)
}

// abandonRequest removes a request and cancels its attempt.
func (a *Attempts) abandonRequest(now core.Instant, q *request) []Output {
	delete(a.requests, q.ID)
	if q.current != nil {
		// No failure has been reported, so a byte may be on its way.
		q.current.maybeSent = true
		return a.endAttempt(now, q.current, "")
	}
	return a.dropPermit(now, q)
}

func (a *Attempts) onRequestDeadline(now core.Instant, id core.RequestID) []Output {
	q := a.requests[id]
	if q == nil || now < q.Deadline {
		return nil
	}
	outputs := a.abandonRequest(now, q)
	refusal := q.refusal(core.CodeDeadlineExceeded, "the deadline passed before the answer was complete")
	return append(outputs, RequestFailed{Request: id, Refusal: refusal})
}
