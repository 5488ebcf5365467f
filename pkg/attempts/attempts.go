package attempts

import (
	"slices"
	"time"

	"github.com/rhubarbsill/rhubarbsill/pkg/core"
	"github.com/rhubarbsill/rhubarbsill/pkg/schedule"
)

// maxSlotWait bounds the time for which a decode waits for its slot after the
// prefill. The prefill engine keeps the KV cache for under a second.
const maxSlotWait = 500 * time.Millisecond

type stage int

const (
	stagePrefill stage = iota
	stageTransfer
	stageDecode
	stageCall
)

// phase is what a request waits for.
type phase int

const (
	phaseRunning   phase = iota // an attempt is live
	phaseReplacing              // a new placement
	phaseVerdict                // the arbiter of a suspect fingerprint
	phaseSyncing                // the records of the peers, after a start
)

// request is a request with its state over all attempts.
type request struct {
	Request
	phase   phase
	tokens  int  // that the caller already has
	maySent bool // a byte of some attempt may have reached an Upstream
	tries   int
	avoid   []core.UpstreamID
	current *attempt

	// While the arbiter is asked.
	plan      *Placement // start on it when permitted; nil: ask for a placement first
	asked     core.AttemptID
	askedOf   core.InstanceID
	askedAt   core.Instant
	permitted bool // asked may start
	failWith  *core.Refusal
}

// attempt is one live attempt.
type attempt struct {
	id       core.AttemptID
	request  *request
	plan     Placement
	stage    stage
	deadline core.Instant // of the stage
	notAfter core.Instant // of the last start
	sent     bool         // a byte may have reached an Upstream
}

// Attempts owns the attempts of one Instance.
type Attempts struct {
	self   core.InstanceRef
	params Params
	stats  Stats

	seq      uint64
	live     map[core.AttemptID]*attempt
	requests map[core.RequestID]*request
	cancels  map[core.UpstreamID]map[core.AttemptID]*cancel
	open     map[core.AttemptID]int // cancels that aren't confirmed
	timers   schedule.Queue[core.Instant, timer]
	budget   float64

	members map[core.InstanceID]core.Incarnation
	sorted  []core.InstanceID
	dead    map[core.InstanceID]core.Incarnation
	absent  map[core.InstanceID]core.Instant
	running map[core.UpstreamID]map[core.AttemptID]core.Instant // next question to the owner
	onUp    map[core.UpstreamID]int                             // attempts in the last report

	suspects
}

// New returns the Attempts of the Instance self.
func New(self core.InstanceRef, p Params) *Attempts {
	a := &Attempts{
		self:     self,
		params:   p.withDefaults(),
		live:     map[core.AttemptID]*attempt{},
		requests: map[core.RequestID]*request{},
		cancels:  map[core.UpstreamID]map[core.AttemptID]*cancel{},
		open:     map[core.AttemptID]int{},
		members:  map[core.InstanceID]core.Incarnation{},
		dead:     map[core.InstanceID]core.Incarnation{},
		absent:   map[core.InstanceID]core.Instant{},
		running:  map[core.UpstreamID]map[core.AttemptID]core.Instant{},
		onUp:     map[core.UpstreamID]int{},
		suspects: newSuspects(),
	}
	a.budget = a.params.RetryBurst
	return a
}

// Stats returns the counts of dropped events.
func (a *Attempts) Stats() Stats { return a.stats }

// Start begins an attempt of the request on the Upstreams of place. A later Start
// of the same request answers its Reschedule.
func (a *Attempts) Start(now core.Instant, r Request, place Placement) []Output {
	q := a.requests[r.ID]
	if q != nil && q.phase != phaseReplacing {
		a.stats.DuplicateEvents++
		return nil
	}
	if q == nil {
		q = &request{Request: r}
		a.requests[r.ID] = q
		a.budget = min(a.params.RetryBurst, a.budget+a.params.RetryRatio)
		a.after(timer{at: r.Deadline, kind: timerRequest, request: r.ID})
	}
	switch {
	case q.permitted:
		return a.begin(now, q, place, q.asked)
	case !a.synced:
		q.phase = phaseSyncing
		q.plan = &place
		return nil
	case a.isSuspect(r.Fingerprint):
		return a.askVerdict(now, q, &place)
	}
	return a.begin(now, q, place, a.nextID())
}

func (a *Attempts) nextID() core.AttemptID {
	a.seq++
	return core.AttemptID{Owner: a.self, Seq: a.seq}
}

// begin starts the attempt with that id.
func (a *Attempts) begin(now core.Instant, q *request, place Placement, id core.AttemptID) []Output {
	t := &attempt{id: id, request: q, plan: place}
	q.phase = phaseRunning
	q.current = t
	q.plan = nil
	q.tries++
	a.live[id] = t
	delete(a.asks, id)
	a.occupy(q.Fingerprint, id)
	at := max(now, place.StartPrefillAt)
	t.notAfter = min(q.Deadline, at.Add(a.params.MaxStartDelay))
	if place.Replica != "" {
		t.stage = stageCall
		t.deadline = q.Deadline
		return []Output{StartCall{Attempt: id, Request: q.ID, Upstream: place.Replica, NotAfter: t.notAfter}}
	}
	a.setDeadline(t, at.Add(a.params.PrefillTimeout))
	return []Output{StartPrefill{
		Attempt:    id,
		Request:    q.ID,
		Upstream:   place.Prefill,
		StartAt:    at,
		NotAfter:   t.notAfter,
		TokensSent: q.tokens,
	}}
}

func (a *Attempts) setDeadline(t *attempt, at core.Instant) {
	waiting := t.deadline != 0 && t.deadline <= at // its timer moves the deadline on
	t.deadline = at
	if !waiting {
		a.after(timer{at: at, kind: timerAttempt, attempt: t.id})
	}
}

func (a *Attempts) onAttemptTimer(now core.Instant, id core.AttemptID) []Output {
	t := a.live[id]
	if t == nil || t.stage == stageCall {
		return nil
	}
	if now < t.deadline {
		a.after(timer{at: t.deadline, kind: timerAttempt, attempt: id})
		return nil
	}
	up := t.plan.Prefill
	if t.stage == stageDecode {
		up = t.plan.Decode
	}
	return a.lose(now, t, Failure{Kind: FailStalled, Upstream: up, MaybeSent: true})
}

// find returns the live attempt, and counts the event as late when there is none.
func (a *Attempts) find(id core.AttemptID) *attempt {
	t := a.live[id]
	if t == nil {
		a.stats.LateEvents++
	}
	return t
}

// OnSent says that a byte of the attempt may have reached its Upstream.
func (a *Attempts) OnSent(now core.Instant, id core.AttemptID) []Output {
	if t := a.find(id); t != nil {
		t.sent = true
	}
	return nil
}

// OnPrefillDone says that the prefill engine holds the KV cache.
func (a *Attempts) OnPrefillDone(now core.Instant, id core.AttemptID) []Output {
	t := a.find(id)
	if t == nil {
		return nil
	}
	if t.stage != stagePrefill {
		a.stats.DuplicateEvents++
		return nil
	}
	t.sent = true
	t.stage = stageTransfer
	at := max(now, min(t.plan.SlotFreeAt, now.Add(maxSlotWait)))
	t.notAfter = min(t.request.Deadline, at.Add(a.params.MaxStartDelay))
	a.setDeadline(t, at.Add(a.params.TransferTimeout))
	return []Output{StartDecode{
		Attempt:    id,
		Request:    t.request.ID,
		Prefill:    t.plan.Prefill,
		Decode:     t.plan.Decode,
		StartAt:    at,
		NotAfter:   t.notAfter,
		TokensSent: t.request.tokens,
	}}
}

// OnFirstToken says that the first token of the attempt has arrived.
func (a *Attempts) OnFirstToken(now core.Instant, id core.AttemptID) []Output {
	t := a.find(id)
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

// OnProgress says how many tokens of the whole answer the caller has, or for a
// plain call how many bytes. Only a higher number is progress.
func (a *Attempts) OnProgress(now core.Instant, id core.AttemptID, tokens int) []Output {
	t := a.find(id)
	if t == nil {
		return nil
	}
	if tokens <= t.request.tokens || t.stage == stagePrefill {
		a.stats.DuplicateEvents++
		return nil
	}
	t.sent = true
	t.request.tokens = tokens
	if t.stage == stageCall {
		return nil
	}
	t.stage = stageDecode
	a.setDeadline(t, now.Add(a.params.ProgressTimeout))
	return nil
}

// OnCompleted says that the answer is complete, with the tokens of the whole answer.
func (a *Attempts) OnCompleted(now core.Instant, id core.AttemptID, tokens int) []Output {
	t := a.find(id)
	if t == nil {
		return nil
	}
	if t.stage == stagePrefill {
		a.stats.DuplicateEvents++ // no decode has been started
		return nil
	}
	q := t.request
	delete(a.live, id)
	delete(a.requests, q.ID)
	outputs := a.clear(now, q.Fingerprint)
	outputs = append(outputs, a.vacate(now, id)...)
	return append(outputs, RequestCompleted{Request: q.ID, Tokens: max(tokens, q.tokens)})
}

// OnFailed says that the attempt ended without its answer. The crash of an
// Upstream counts against the fingerprint of an attempt that is being cancelled,
// too.
func (a *Attempts) OnFailed(now core.Instant, id core.AttemptID, f Failure) []Output {
	t := a.live[id]
	if t != nil {
		return a.lose(now, t, f)
	}
	a.stats.LateEvents++
	if f.Kind != FailCrashed {
		return nil
	}
	return a.onLateCrash(now, id, f)
}

// lose ends a live attempt that failed and decides how its request goes on.
func (a *Attempts) lose(now core.Instant, t *attempt, f Failure) []Output {
	q := t.request
	t.sent = t.sent || f.MaybeSent
	var outputs []Output
	if f.Kind == FailCrashed {
		t.sent = true
		outputs = append(outputs, a.onCrash(now, t, f)...)
	}
	gone := core.UpstreamID("")
	if f.Kind == FailCrashed {
		gone = f.Upstream
	}
	outputs = append(outputs, a.stop(now, t, gone)...)
	if f.Upstream != "" && !slices.Contains(q.avoid, f.Upstream) {
		q.avoid = append(q.avoid, f.Upstream)
	}
	refusal := a.mayRetry(now, q, f)
	if f.Kind == FailCrashed {
		q.failWith = refusal
		return append(outputs, a.askVerdict(now, q, nil)...)
	}
	if refusal != nil {
		return append(outputs, a.fail(q, refusal)...)
	}
	return append(outputs, a.replace(q))
}

// stop takes an attempt out of the live ones and cancels what it may hold, except
// at an Upstream that is gone.
func (a *Attempts) stop(now core.Instant, t *attempt, gone core.UpstreamID) []Output {
	q := t.request
	delete(a.live, t.id)
	q.current = nil
	q.permitted = false
	q.maySent = q.maySent || t.sent
	var outputs []Output
	if t.sent {
		for _, up := range t.holders() {
			if up != gone {
				outputs = append(outputs, a.cancel(now, t, up)...)
			}
		}
	}
	return append(outputs, a.vacate(now, t.id)...)
}

// holders returns the Upstreams that may hold something for the attempt. The
// prefill engine is free once the first token shows that the transfer is complete.
func (t *attempt) holders() []core.UpstreamID {
	switch t.stage {
	case stagePrefill:
		return []core.UpstreamID{t.plan.Prefill}
	case stageTransfer:
		return []core.UpstreamID{t.plan.Prefill, t.plan.Decode}
	case stageDecode:
		return []core.UpstreamID{t.plan.Decode}
	}
	return []core.UpstreamID{t.plan.Replica}
}

// mayRetry returns nil when the request may be tried again, else its refusal.
func (a *Attempts) mayRetry(now core.Instant, q *request, f Failure) *core.Refusal {
	switch {
	case f.Kind == FailProtocolError:
		return q.refusal(core.CodeUpstreamFailed, "the upstream rejected the request")
	case !q.Idempotent && q.maySent:
		return q.refusal(core.CodeUpstreamFailed, "the upstream failed, and the request isn't idempotent")
	case q.tokens > 0 && q.MaxOutputTokens == 0:
		return q.refusal(core.CodeUpstreamFailed, "the upstream failed after a part of its answer")
	case q.MaxOutputTokens > 0 && q.tokens >= q.MaxOutputTokens:
		return q.refusal(core.CodeUpstreamFailed, "the upstream failed after the last token")
	case now.Add(a.params.MinRetryTime) >= q.Deadline:
		return q.refusal(core.CodeDeadlineExceeded, "the upstream failed too late for a retry")
	case q.tries >= a.params.MaxAttempts:
		return q.refusal(core.CodeUpstreamFailed, "every try of the request failed")
	case a.budget < 1:
		return q.refusal(core.CodeUpstreamFailed, "the upstream failed, and the retry budget is used up")
	}
	a.budget--
	return nil
}

func (q *request) refusal(code core.Code, message string) *core.Refusal {
	r := core.NewRefusal(code, message)
	if q.maySent {
		r.Ran = core.MayHaveRun
	}
	if code != core.CodeRequestCrashesUpstreams && code != core.CodeDeadlineExceeded {
		r.RetryAfter = time.Second
	}
	return r
}

func (a *Attempts) fail(q *request, refusal *core.Refusal) []Output {
	delete(a.requests, q.ID)
	return []Output{RequestFailed{Request: q.ID, Refusal: refusal}}
}

// replace asks for a new placement, away from the Upstreams that failed the
// request. A suspect also keeps away from the tries of other suspects, so that one
// crash doesn't blame both.
func (a *Attempts) replace(q *request) Output {
	q.phase = phaseReplacing
	avoid := slices.Clone(q.avoid)
	if q.permitted {
		avoid = append(avoid, a.trialUpstreams()...)
	}
	slices.Sort(avoid)
	return Reschedule{Request: q.ID, AvoidUpstreams: slices.Compact(avoid), TokensSent: q.tokens}
}

// OnPlacementRefused ends a request whose Reschedule found no Upstream.
func (a *Attempts) OnPlacementRefused(now core.Instant, request core.RequestID, why *core.Refusal) []Output {
	q := a.requests[request]
	if q == nil || q.phase != phaseReplacing {
		a.stats.LateEvents++
		return nil
	}
	refusal := *why
	if q.maySent {
		refusal.Ran = core.MayHaveRun
	}
	return append(a.abandon(now, q), RequestFailed{Request: request, Refusal: &refusal})
}

// OnCallerDisconnected ends a request whose caller has disconnected.
func (a *Attempts) OnCallerDisconnected(now core.Instant, request core.RequestID) []Output {
	q := a.requests[request]
	if q == nil {
		a.stats.LateEvents++
		return nil
	}
	return a.abandon(now, q)
}

// abandon forgets a request and cancels its attempt.
func (a *Attempts) abandon(now core.Instant, q *request) []Output {
	delete(a.requests, q.ID)
	if q.current != nil {
		// Without news of a failure a byte may be on its way.
		q.current.sent = true
		return a.stop(now, q.current, "")
	}
	return a.dropVerdict(now, q)
}

func (a *Attempts) onRequestDeadline(now core.Instant, id core.RequestID) []Output {
	q := a.requests[id]
	if q == nil || now < q.Deadline {
		return nil
	}
	outputs := a.abandon(now, q)
	refusal := q.refusal(core.CodeDeadlineExceeded, "the deadline passed before the answer was complete")
	return append(outputs, RequestFailed{Request: id, Refusal: refusal})
}
