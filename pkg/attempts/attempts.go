// Package attempts drives each request through its attempts at Upstreams.
package attempts

import "github.com/rhubarbsill/rhubarbsill/pkg/core"

// Attempts owns the attempts of one Instance.
type Attempts struct {
	self     core.InstanceRef
	params   Params
	seq      uint64
	live     map[core.AttemptID]*attempt
	requests map[core.RequestID]*attempt
}

type attempt struct {
	id      core.AttemptID
	request Request
	plan    Plan
}

// New returns the Attempts of the Instance self.
func New(self core.InstanceRef, p Params) *Attempts {
	return &Attempts{
		self:     self,
		params:   p.withDefaults(),
		live:     map[core.AttemptID]*attempt{},
		requests: map[core.RequestID]*attempt{},
	}
}

// SetMembers replaces the Instances of the fleet.
func (a *Attempts) SetMembers(now core.Instant, members []core.InstanceRef) []Output { return nil }

// Check refuses a fingerprint that has crashed too many Upstreams.
func (a *Attempts) Check(now core.Instant, fp core.Fingerprint) *core.Refusal { return nil }

// Start begins an attempt of the request on the Upstreams of place.
func (a *Attempts) Start(now core.Instant, r Request, place Plan) []Output {
	a.seq++
	t := &attempt{id: core.AttemptID{Owner: a.self, Seq: a.seq}, request: r, plan: place}
	a.live[t.id] = t
	a.requests[r.ID] = t
	if place.Plain != "" {
		return []Output{StartCall{Attempt: t.id, Request: r.ID, Upstream: place.Plain, NotAfter: r.Deadline}}
	}
	return []Output{StartPrefill{Attempt: t.id, Request: r.ID, Upstream: place.Prefill, At: place.StartPrefillAt, NotAfter: r.Deadline}}
}

// OnSent says that a byte of the attempt may have reached its Upstream.
func (a *Attempts) OnSent(now core.Instant, id core.AttemptID) []Output { return nil }

// OnPrefillDone says that the prefill engine holds the KV cache.
func (a *Attempts) OnPrefillDone(now core.Instant, id core.AttemptID) []Output {
	t := a.live[id]
	if t == nil {
		return nil
	}
	return []Output{StartDecode{Attempt: id, Request: t.request.ID, Prefill: t.plan.Prefill, Decode: t.plan.Decode, NotAfter: t.request.Deadline}}
}

// OnFirstToken says that the first token of the attempt has arrived.
func (a *Attempts) OnFirstToken(now core.Instant, id core.AttemptID) []Output { return nil }

// OnProgress says how many tokens of the answer the caller has.
func (a *Attempts) OnProgress(now core.Instant, id core.AttemptID, tokens int) []Output { return nil }

// OnEnded says that the answer is complete.
func (a *Attempts) OnEnded(now core.Instant, id core.AttemptID, tokens int) []Output {
	t := a.live[id]
	if t == nil {
		return nil
	}
	a.drop(t)
	return []Output{Finished{Request: t.request.ID, Tokens: tokens}}
}

// OnFailed says that the attempt ended without its answer.
func (a *Attempts) OnFailed(now core.Instant, id core.AttemptID, f Failure) []Output {
	t := a.live[id]
	if t == nil {
		return nil
	}
	a.drop(t)
	return []Output{Failed{Request: t.request.ID, Refusal: &core.Refusal{Code: core.CodeUpstreamFailed, Ran: core.Unknown, Message: "the upstream failed"}}}
}

// OnPlacementRefused ends a request whose Replace found no Upstream.
func (a *Attempts) OnPlacementRefused(now core.Instant, request core.RequestID, why *core.Refusal) []Output {
	return []Output{Failed{Request: request, Refusal: why}}
}

// OnCallerGone ends a request whose caller has disconnected.
func (a *Attempts) OnCallerGone(now core.Instant, request core.RequestID) []Output {
	t := a.requests[request]
	if t == nil {
		return nil
	}
	a.drop(t)
	if t.plan.Plain != "" {
		return []Output{Cancel{Attempt: t.id, Upstream: t.plan.Plain}}
	}
	return []Output{Cancel{Attempt: t.id, Upstream: t.plan.Prefill}, Cancel{Attempt: t.id, Upstream: t.plan.Decode}}
}

func (a *Attempts) drop(t *attempt) {
	delete(a.live, t.id)
	delete(a.requests, t.request.ID)
}

// OnCancelConfirmed says that the Upstream has answered a cancel.
func (a *Attempts) OnCancelConfirmed(now core.Instant, id core.AttemptID) []Output { return nil }

// OnRunning takes in the list of attempts that an Upstream reports.
func (a *Attempts) OnRunning(now core.Instant, up core.UpstreamID, r Running) []Output { return nil }

// OnSuspect takes in a notice of a peer about a suspect fingerprint.
func (a *Attempts) OnSuspect(now core.Instant, from core.InstanceRef, n SuspectNotice) []Output {
	return nil
}

// OnIncarnationDead says that one run of an Instance has certainly ended.
func (a *Attempts) OnIncarnationDead(now core.Instant, ref core.InstanceRef) []Output { return nil }

// Tick does the work that is due at now.
func (a *Attempts) Tick(now core.Instant) []Output { return nil }

// NextWake returns the time at which Tick is due.
func (a *Attempts) NextWake() core.Instant { return core.Never }
