// Package hostedsim simulates hosted Routers with models of engines, plain services
// and callers in virtual time: the same experiment with the same seed always gives
// the same result. It checks invariants as the users' platform does, from what callers
// and Upstreams observe.
package hostedsim

import (
	"bytes"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/rhubarbsill/rhubarbsill/pkg/attempts"
	"github.com/rhubarbsill/rhubarbsill/pkg/catalog"
	"github.com/rhubarbsill/rhubarbsill/pkg/config"
	"github.com/rhubarbsill/rhubarbsill/pkg/core"
	"github.com/rhubarbsill/rhubarbsill/pkg/dispatch"
	"github.com/rhubarbsill/rhubarbsill/pkg/fleet"
	"github.com/rhubarbsill/rhubarbsill/pkg/locality"
	"github.com/rhubarbsill/rhubarbsill/pkg/quota"
	"github.com/rhubarbsill/rhubarbsill/pkg/retry"
	"github.com/rhubarbsill/rhubarbsill/pkg/router"
	"github.com/rhubarbsill/rhubarbsill/pkg/schedule"
)

const (
	modelService = core.ServiceName("llm")
	plainService = core.ServiceName("plain")
	host         = "site"
	streamPath   = "/stream/"
	routinePath  = "/routine/"
	callPath     = "/call/"
	// callTokens is the charge for a plain request.
	callTokens = 200
)

// Delays of the models, taken from the users' sites.
const (
	withinDataCentreDelay = 200 * time.Microsecond
	withinRegionDelay     = 1400 * time.Microsecond
	betweenRegionsDelay   = 30 * time.Millisecond
	storeDelay            = 4 * time.Millisecond
	// connectTimeout is the time until a call to an unreachable Upstream fails.
	connectTimeout = 400 * time.Millisecond
	// deregistrationDelay is the time until the entry of a crashed engine is removed.
	deregistrationDelay = time.Second
	// warmUp is the time before the load starts, in which Instances discover each other.
	warmUp = 3 * time.Second
)

// Simulation is the simulation of one experiment.
type Simulation struct {
	x            Experiment
	rng          *rand.Rand
	now          core.Instant
	start        core.Instant
	events       schedule.Queue[core.Instant, func()]
	routing      *config.Routing
	instances    []*instance
	byID         map[core.InstanceID]*instance
	engines      map[core.UpstreamID]*engine
	plain        map[core.UpstreamID]*plainUpstream
	revision     uint64
	partitioned  bool
	limits       map[core.UpstreamID]*announcedLimit // of the Upstreams that announce one
	leaving      map[core.UpstreamID]*leaving
	backingOff   map[core.UpstreamID]*backingOff
	cold         map[core.UpstreamID]*coldUpstream
	loadFactor   map[core.AccountID]float64 // load multiplier of each account
	requests     map[core.RequestID]*callerRequest
	requestCount int
	prompts      map[core.DataCentreName][]prompt // the last ones, for repetitions
	result       *Result
}

type instance struct {
	member fleet.Member
	router *router.Router
	alive  bool
	// pausedUntil is the end of a pause, before which no event is handled. woken is set from
	// the pause to the first event after it.
	pausedUntil core.Instant
	woken       bool
	isolated    bool // from its peers
	wakeAt      core.Instant
	// calls holds the calls in progress.
	calls map[core.AttemptID]*call
}

// call is a call from an Instance to an Upstream. A call that has ended delivers no
// further events.
type call struct {
	owner   *instance
	attempt core.AttemptID
	caller  *callerRequest
	up      core.UpstreamID
	sentAt  core.Instant
	ended   bool
	release func() // frees the resources at the Upstream, nil if there are none
}

// Run runs an experiment. It returns an error only if the experiment is invalid.
func Run(x Experiment) (*Result, error) {
	if err := x.Check(); err != nil {
		return nil, err
	}
	w := newWorld(x)
	w.runUntil(w.start)
	w.scheduleLoad()
	for _, fault := range x.Faults {
		w.after(seconds(fault.StartSeconds), func() { w.injectFault(fault) })
	}
	end := w.start.Add(seconds(x.Seconds))
	w.runUntil(end)
	w.runUntil(end.Add(millis(max(x.Streams.TimeoutMS, x.Routine.TimeoutMS)) + time.Second)) // requests in progress may end
	w.result.finish(w)
	return w.result, nil
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
func millis(ms float64) time.Duration { return seconds(ms / 1000) }

func newWorld(x Experiment) *Simulation {
	w := &Simulation{
		x: x, rng: rand.New(rand.NewPCG(x.Seed, 9)), now: core.Instant(time.Hour), revision: 1,
		byID: map[core.InstanceID]*instance{}, engines: map[core.UpstreamID]*engine{}, plain: map[core.UpstreamID]*plainUpstream{},
		limits: map[core.UpstreamID]*announcedLimit{}, leaving: map[core.UpstreamID]*leaving{}, backingOff: map[core.UpstreamID]*backingOff{},
		cold:       map[core.UpstreamID]*coldUpstream{},
		prompts:    map[core.DataCentreName][]prompt{},
		loadFactor: map[core.AccountID]float64{}, requests: map[core.RequestID]*callerRequest{}, result: newResult(x),
	}
	w.start = w.now.Add(warmUp)
	w.result.start = w.start
	w.routing = config.NewRouting(withColdRate(w.configuration(), x.ColdPerSecond))
	for _, dc := range slices.Sorted(maps.Keys(x.DataCentres)) {
		for i := range x.DecodeEngines {
			w.addEngine(core.UpstreamID(fmt.Sprintf("decode-%s-%d", dc, i)), dc, catalog.StageDecode)
		}
		for i := range x.PrefillEngines {
			w.addEngine(core.UpstreamID(fmt.Sprintf("prefill-%s-%d", dc, i)), dc, catalog.StagePrefill)
		}
		for i := range x.PlainUpstreams {
			id := core.UpstreamID(fmt.Sprintf("plain-%s-%d", dc, i))
			w.plain[id] = &plainUpstream{sim: w, id: id, dc: dc, generation: 1, slowFactor: 1}
			w.plain[id].startSpells()
		}
		for i := range x.Instances {
			ref := core.InstanceRef{ID: core.InstanceID(fmt.Sprintf("%s-%03d", dc, i)), Incarnation: 1}
			inst := &instance{member: fleet.Member{Ref: ref, DataCentre: dc, Region: x.DataCentres[dc]}}
			w.instances = append(w.instances, inst)
			w.byID[ref.ID] = inst
		}
	}
	for _, inst := range w.instances {
		w.after(time.Duration(w.rng.IntN(300))*time.Millisecond, func() { w.startInstance(inst) })
	}
	return w
}

func (w *Simulation) configuration() config.Routing {
	stream, calls := w.x.Streams, w.x.Calls
	repeat := config.RetryNever
	if calls.SafeToRetry {
		repeat = config.RetrySafe
	}
	r := config.Routing{
		Version: 1,
		Routes: []config.HostRoute{{
			Host: host, Prefix: streamPath, RetrySafety: config.RetryNever, Streaming: true, Resumable: stream.SafeToRetry, MaxUpstreams: 2,
			Timeout: millis(stream.TimeoutMS), LatencyTarget: millis(stream.TargetMS), EventIntervalTarget: millis(stream.PauseMS),
			ServiceShares: []config.ServiceShare{{Service: modelService, Weight: 1}},
		}, {
			Host: host, Prefix: callPath, RetrySafety: repeat, MaxUpstreams: 2, Timeout: millis(calls.TimeoutMS), LatencyTarget: millis(calls.TargetMS),
			ServiceShares: []config.ServiceShare{{Service: plainService, Weight: 1}},
		}},
		Services: []config.HostedService{{
			Name:   modelService,
			Engine: &config.EngineProfile{Slots: w.x.Engine.Slots, KVCacheTokens: w.x.Engine.MemoryTokens, MaxHoldDuration: 2 * time.Second},
		}, {Name: plainService}},
	}
	r.Routes[0].Priority = stream.Priority
	if routine := w.x.Routine; routine.PerSecond > 0 {
		route := r.Routes[0]
		route.Prefix, route.Resumable, route.Priority = routinePath, routine.SafeToRetry, routine.Priority
		route.Timeout, route.LatencyTarget, route.EventIntervalTarget = millis(routine.TimeoutMS), millis(routine.TargetMS), millis(routine.PauseMS)
		r.Routes = append(r.Routes, route)
	}
	for _, account := range w.x.Accounts {
		r.Accounts = append(r.Accounts, config.HostedAccount{
			ID: account.Name, Keys: []config.KeyDigest{keyOf(account.Name)}, Rate: account.Rate, Burst: account.Burst, DefaultCostTokens: callTokens,
			AllowedRegions: locality.Only(account.AllowedRegions...),
		})
		w.loadFactor[account.Name] = 1
	}
	return r
}

func keyOf(account core.AccountID) config.KeyDigest { return config.DigestKey(string(account)) }

func (w *Simulation) after(d time.Duration, run func()) { w.events.Add(w.now.Add(d), run) }

func (w *Simulation) runUntil(end core.Instant) {
	for {
		event, at, due := w.events.PopDue(end)
		if !due {
			break
		}
		w.now = at
		event()
	}
	w.now = end
}

func (w *Simulation) startInstance(inst *instance) {
	inst.alive = true
	inst.wakeAt = core.Never
	inst.calls = map[core.AttemptID]*call{}
	inst.router = router.New(router.Params{
		Rand: rand.New(rand.NewPCG(w.rng.Uint64(), 1)), NonceSource: bytes.NewReader(nil),
		Hosted: &router.HostedParams{
			Member: inst.member, Dispatch: dispatch.Params{Regions: w.x.DataCentres},
			Retry:          retry.Params{Ratio: 0.2, Allowance: 56, Window: 10 * time.Second},
			StartedAt:      w.now,
			QuotaTolerance: quota.Tolerance{Window: quotaWindow, Overage: quotaOverage - 1, Slack: quotaSlack, Part: w.x.QuotaTolerancePart},
			AddressTTL:     time.Second, GracePeriod: 8 * time.Second, IgnorePace: w.x.IgnorePace, IgnoreHeldPrompts: w.x.IgnoreHeldPrompts,
		},
	})
	members := make([]fleet.Member, 0, len(w.instances))
	for _, other := range w.instances {
		members = append(members, other.member)
	}
	w.step(inst, router.MembersListed{Members: members, Complete: true})
	w.step(inst, router.RoutingReceived{Routing: w.routing, Revision: core.StoreRevision{Number: 1}})
	w.step(inst, router.UpstreamsListed{Revision: core.StoreRevision{Number: w.revision}, Upstreams: w.registeredUpstreams()})
	w.step(inst, router.Tick{})
}

// registeredUpstreams lists the Upstreams in the catalogue.
func (w *Simulation) registeredUpstreams() []catalog.Upstream {
	var list []catalog.Upstream
	for _, id := range slices.Sorted(maps.Keys(w.engines)) {
		if e := w.engines[id]; e.registered {
			list = append(list, catalog.Upstream{
				ID: id, Service: modelService, Addr: string(id), DataCentre: e.dc, Stage: e.stage, Slots: w.x.Engine.Slots, Born: e.generation,
			})
		}
	}
	for _, id := range slices.Sorted(maps.Keys(w.plain)) {
		list = append(list, catalog.Upstream{ID: id, Service: plainService, Addr: string(id), DataCentre: w.plain[id].dc, Slots: w.x.Plain.Slots, Born: w.plain[id].generation})
	}
	w.setColdTimes(list)
	return list
}

// publish sends the registered Upstreams to every Instance as a new revision.
func (w *Simulation) publish() {
	w.revision++
	revision, list := w.revision, w.registeredUpstreams()
	for _, inst := range w.instances {
		w.after(storeDelay+time.Duration(w.rng.IntN(200))*time.Millisecond, func() {
			w.step(inst, router.UpstreamsListed{Revision: core.StoreRevision{Number: revision}, Upstreams: list})
		})
	}
}

// step passes an event to the Router of an Instance, applies the effects and schedules
// the next tick.
func (w *Simulation) step(inst *instance, event router.Event) {
	if !inst.alive {
		return
	}
	if w.now < inst.pausedUntil {
		ref := inst.member.Ref
		w.events.Add(inst.pausedUntil, func() {
			if inst.member.Ref == ref {
				w.step(inst, event)
			}
		})
		return
	}
	if inst.woken {
		inst.woken = false
		w.step(inst, router.ProcessPaused{})
	}
	for _, effect := range inst.router.Step(w.now, event) {
		w.applyEffect(inst, effect)
	}
	if next := inst.router.NextWake(); next < inst.wakeAt || inst.wakeAt <= w.now {
		inst.wakeAt = max(next, w.now.Add(time.Millisecond))
		at := inst.wakeAt
		w.events.Add(at, func() {
			if inst.wakeAt == at {
				w.step(inst, router.Tick{})
			}
		})
	}
}

func (w *Simulation) applyEffect(inst *instance, effect router.Effect) {
	switch e := effect.(type) {
	case router.AcquireHold:
		w.acquireHold(inst, e)
	case router.ReleaseHold:
		w.sendToEngine(inst, e.Upstream, func(to *engine) {
			w.recordArrival(e.Upstream, inst, 0)
			to.releaseHold(e.Hold)
		})
	case router.ReleaseKV:
		w.sendToEngine(inst, e.Upstream, func(to *engine) {
			w.recordArrival(e.Upstream, inst, 0)
			delete(to.caches, e.KV)
		})
	case router.StartPrefill:
		w.startPrefill(inst, e)
	case router.StartDecode:
		w.startDecode(inst, e)
	case router.StartCall:
		w.startCall(inst, e)
	case router.Cancel:
		if c := inst.calls[e.Attempt]; c != nil {
			w.cancelCall(c)
		}
	case router.Refuse:
		w.onRefusal(e.Request, e.Refusal)
	case router.RelayFailure:
		w.onRefusal(e.Request, &core.Refusal{Code: core.CodeUpstreamFailed, Ran: core.MayHaveRun})
	case router.Complete:
		w.onCompletion(e.Request)
	case router.SendPeerMessage:
		w.result.Messages++
		if to := w.byID[e.To]; to != nil && !inst.isolated && !to.isolated && w.reachable(inst.member.DataCentre, to.member.DataCentre) {
			from := inst.member.Ref
			w.after(w.transit(inst.member.DataCentre, to.member.DataCentre), func() {
				w.step(to, router.PeerMessageReceived{From: from, Message: e.Message})
			})
		}
	case router.ListMembers:
		w.after(storeDelay, func() {
			members := make([]fleet.Member, 0, len(w.instances))
			for _, other := range w.instances {
				members = append(members, other.member)
			}
			w.step(inst, router.MembersListed{Members: members, Complete: true})
		})
	case router.RefreshState:
		readAt := w.now
		w.after(2*w.transit(inst.member.DataCentre, inst.member.DataCentre)+storeDelay, func() {
			w.step(inst, router.RoutingReceived{Routing: w.routing, Revision: core.StoreRevision{Number: 1}, ReadAt: readAt})
			w.step(inst, router.UpstreamsListed{Revision: core.StoreRevision{Number: w.revision}, Upstreams: w.registeredUpstreams(), ReadAt: readAt})
		})
	case router.FetchState:
		w.after(storeDelay, func() { w.step(inst, router.StateFetchEnded{Kind: e.Kind, From: e.From}) })
	case router.Observe:
		w.result.WastedPrefillTokens += int64(e.Observation.WastedPrefillTokens)
	}
}

func (w *Simulation) reachable(a, b core.DataCentreName) bool {
	return !w.partitioned || w.x.DataCentres[a] == w.x.DataCentres[b]
}

func (w *Simulation) transit(a, b core.DataCentreName) time.Duration {
	switch {
	case a == b:
		return withinDataCentreDelay
	case w.x.DataCentres[a] == w.x.DataCentres[b]:
		return withinRegionDelay
	}
	return betweenRegionsDelay
}

// openCall opens a call to an Upstream. arrive runs when the call reaches it; a call that
// can't reach it fails as not sent.
func (w *Simulation) openCall(inst *instance, id core.RequestID, attempt core.AttemptID, up core.UpstreamID, dc core.DataCentreName, isUp func() bool, arrive func(*call)) {
	request := w.requests[id]
	if request == nil {
		return
	}
	c := &call{owner: inst, attempt: attempt, caller: request, up: up, sentAt: w.now}
	inst.calls[attempt] = c
	if !w.reachable(inst.member.DataCentre, dc) {
		w.after(connectTimeout, func() { w.failCall(c, attempts.FailConnect, false, false) })
		return
	}
	w.after(w.transit(inst.member.DataCentre, dc), func() {
		switch {
		case c.ended:
		case !isUp():
			w.failCall(c, attempts.FailConnect, false, false)
		default:
			w.recordArrival(up, inst, request.sentAt)
			w.checkRegion(request, up, dc)
			if w.rejects(up) {
				w.failCall(c, attempts.FailFull, true, true)
				return
			}
			arrive(c)
		}
	})
}

// endCall ends a call and delivers its final event to the Instance.
func (w *Simulation) endCall(c *call, dc core.DataCentreName, event router.Event) {
	if c.ended {
		return
	}
	c.ended = true
	stated := w.answerOf(c.up)
	if isRefusal(event) {
		stated = w.refusalTo(c.up, c.owner)
	}
	w.after(w.transit(dc, c.owner.member.DataCentre), func() {
		if c.owner.calls[c.attempt] == c {
			delete(c.owner.calls, c.attempt)
			if isAnswer(event) || isRefusal(event) {
				w.deliverAnswer(c.owner, c.up, c.sentAt, stated, isAnswer(event))
			}
			w.step(c.owner, event)
		}
	})
}

// isAnswer reports whether the final event of a call comes from an answer that would state a
// limit.
func isAnswer(event router.Event) bool {
	_, failed := event.(router.AttemptFailed)
	return !failed
}

// isRefusal reports whether the final event of a call is a refusal by the Upstream.
func isRefusal(event router.Event) bool {
	failed, ok := event.(router.AttemptFailed)
	return ok && failed.Failure.ConfirmedNotRun
}

func (w *Simulation) failCall(c *call, kind attempts.FailureKind, sent, rejected bool) {
	w.endCall(c, c.owner.member.DataCentre, router.AttemptFailed{Request: c.caller.id, Attempt: c.attempt, Failure: attempts.Failure{
		Kind: kind, Upstream: c.up, MaybeSent: sent, ConfirmedNotRun: rejected,
	}})
}

// cancelCall ends a call whose response the Instance no longer needs.
func (w *Simulation) cancelCall(c *call) {
	if c.ended {
		return
	}
	c.ended = true
	delete(c.owner.calls, c.attempt)
	if c.release != nil {
		w.after(withinRegionDelay, c.release)
	}
}

// injectFault starts a fault and schedules its end.
func (w *Simulation) injectFault(f Fault) {
	length := seconds(f.DurationSeconds)
	switch f.Kind {
	case FaultBurst:
		for name := range w.loadFactor {
			if f.Account == "" || f.Account == name {
				w.loadFactor[name] *= f.Factor
				w.after(length, func() { w.loadFactor[name] /= f.Factor })
			}
		}
	case FaultEngineCrash, FaultPrefillCrash, FaultEngineSlow:
		stage := catalog.StageDecode
		if f.Kind == FaultPrefillCrash {
			stage = catalog.StagePrefill
		}
		var ids []core.UpstreamID
		for _, id := range slices.Sorted(maps.Keys(w.engines)) {
			if w.engines[id].stage == stage {
				ids = append(ids, id)
			}
		}
		for _, id := range choose(w.rng, ids, f.Count) {
			e := w.engines[id]
			if f.Kind == FaultEngineSlow {
				e.slowFactor *= f.Factor
				w.after(length, func() { e.slowFactor /= f.Factor })
				continue
			}
			e.crash()
			w.after(length, e.restart)
		}
	case FaultInstanceKill:
		ids := slices.Sorted(maps.Keys(w.byID))
		for _, id := range choose(w.rng, ids, f.Count) {
			w.killInstance(w.byID[id], length)
		}
	case FaultInstancePause:
		for _, id := range choose(w.rng, slices.Sorted(maps.Keys(w.byID)), f.Count) {
			w.byID[id].pausedUntil, w.byID[id].woken = w.now.Add(length), true
		}
	case FaultPeerCut:
		for _, id := range choose(w.rng, slices.Sorted(maps.Keys(w.byID)), f.Count) {
			w.byID[id].isolated = true
			w.after(length, func() { w.byID[id].isolated = false })
		}
	case FaultPlainLimit:
		for _, id := range choose(w.rng, slices.Sorted(maps.Keys(w.plain)), f.Count) {
			w.announceLimit(id, f.Factor, length)
		}
	case FaultEngineLimit:
		for _, id := range choose(w.rng, slices.Sorted(maps.Keys(w.engines)), f.Count) {
			w.announceLimit(id, f.Factor, length)
		}
	case FaultUpstreamLeaves:
		for _, id := range choose(w.rng, w.upstreamIDs(), f.Count) {
			w.announceLeaving(id, length)
		}
	case FaultBackoff:
		for _, id := range choose(w.rng, w.upstreamIDs(), f.Count) {
			w.startBackoff(id, seconds(f.Factor), length)
		}
	case FaultUpstreamCold:
		for _, id := range choose(w.rng, w.upstreamIDs(), f.Count) {
			w.startCold(id, length)
		}
	case FaultRegionCut:
		w.partitioned = true
		w.after(length, func() { w.partitioned = false })
	}
}

// upstreamIDs returns all Upstreams, sorted.
func (w *Simulation) upstreamIDs() []core.UpstreamID {
	return append(slices.Sorted(maps.Keys(w.engines)), slices.Sorted(maps.Keys(w.plain))...)
}

// callerSentAt returns the instant at which the caller sent a request, now if it has ended.
func (w *Simulation) callerSentAt(id core.RequestID) core.Instant {
	if request := w.requests[id]; request != nil {
		return request.sentAt
	}
	return w.now
}

// choose draws up to n elements of the list, one when n is 0. It shuffles the list.
func choose[T any](rng *rand.Rand, list []T, n int) []T {
	rng.Shuffle(len(list), func(i, k int) { list[i], list[k] = list[k], list[i] })
	return list[:min(len(list), max(1, n))]
}

// killInstance stops an Instance, which restarts after length. Its callers see their
// connections close.
func (w *Simulation) killInstance(inst *instance, length time.Duration) {
	if !inst.alive {
		return
	}
	inst.alive = false
	for _, c := range slices.SortedFunc(maps.Values(inst.calls), func(a, b *call) int { return int(a.attempt.Seq) - int(b.attempt.Seq) }) {
		w.cancelCall(c)
	}
	var disconnected []*callerRequest
	for _, a := range w.requests {
		if a.instance == inst {
			disconnected = append(disconnected, a)
		}
	}
	slices.SortFunc(disconnected, func(a, b *callerRequest) int { return a.seq - b.seq })
	for _, a := range disconnected {
		w.onDisconnect(a)
	}
	inst.member.Ref.Incarnation++
	inst.pausedUntil, inst.woken = 0, false
	w.after(length, func() { w.startInstance(inst) })
}
