package attempts

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/rhubarbsill/rhubarbsill/pkg/core"
	"github.com/rhubarbsill/rhubarbsill/pkg/schedule"
)

const ms = time.Millisecond

// simulation runs several Attempts against small engine models in virtual time.
type simulation struct {
	rng              *rand.Rand
	now              core.Instant
	events           schedule.Queue[core.Instant, func()]
	instances        []*instance
	engines          []*engineModel
	requests         map[core.RequestID]*caller
	owners           map[core.AttemptID]*caller
	params           Params
	lossRate         float64      // of messages, until faultsEnd
	delayedShare     float64      // share of starts that arrive late, until faultsEnd
	maxStartDelayMS  int          // ms by which a start arrives late
	faultsEnd        core.Instant // zero: no faults
	crashingPrint    core.Fingerprint
	crashedUpstreams []core.UpstreamID        // Upstreams that the poison has crashed
	crashesByPrint   map[core.Fingerprint]int // crashes of Upstreams that held the fingerprint
	onCrash          func()
	violations       []string // violations seen on the way
}

type instance struct {
	ref         core.InstanceRef
	a           *Attempts
	alive       bool
	pausedUntil core.Instant
	wake        core.Instant
}

type caller struct {
	Request
	owner        *instance
	ref          core.InstanceRef
	plain        bool
	disconnected bool
	completions  int
	refusals     int
	sends        int
	refusal      *core.Refusal
}

func (c *caller) isOver() bool {
	return c.disconnected || c.completions+c.refusals > 0 || !c.owner.runs(c.ref)
}

func (i *instance) runs(ref core.InstanceRef) bool { return i.alive && i.ref == ref }

// engineModel holds the memory of each attempt until its end or a cancel. It
// doesn't remember cancelled attempts, so a late start runs after its cancel.
type engineModel struct {
	id         core.UpstreamID
	held       map[core.AttemptID]*heldMemory
	downUntil  core.Instant
	generation uint64
	stalls     bool // transfers never end
	silent     bool // no event leaves the engine
}

type heldMemory struct {
	tokens int
	decode bool
}

func newSimulation(seed uint64, instances, engines int, p Params) *simulation {
	w := &simulation{
		rng:            rand.New(rand.NewPCG(seed, 11)),
		now:            core.Instant(time.Second),
		requests:       map[core.RequestID]*caller{},
		crashesByPrint: map[core.Fingerprint]int{},
		owners:         map[core.AttemptID]*caller{},
		params:         p,
		crashingPrint:  core.Fingerprint{0xff},
	}
	for i := range instances {
		ref := core.InstanceRef{ID: core.InstanceID(fmt.Sprintf("i%d", i)), Incarnation: 1}
		w.instances = append(w.instances, &instance{ref: ref, a: New(ref, p), alive: true, wake: core.Never})
	}
	for i := range engines {
		e := &engineModel{id: core.UpstreamID(fmt.Sprintf("e%d", i)), held: map[core.AttemptID]*heldMemory{}, generation: 1}
		w.engines = append(w.engines, e)
		w.report(e)
	}
	w.setMembers()
	return w
}

func (w *simulation) schedule(d time.Duration, run func()) {
	w.events.Add(w.now.Add(d), run)
}

func (w *simulation) runUntil(end core.Instant) {
	for {
		run, at, due := w.events.PopDue(end)
		if !due {
			break
		}
		w.now = at
		run()
	}
	w.now = end
}

func (w *simulation) faultsActive() bool { return w.now < w.faultsEnd }

// callInstance calls a method of an Instance, after its pause, and carries out its outputs.
func (w *simulation) callInstance(i *instance, ref core.InstanceRef, call func(*Attempts) []Output) {
	if !i.runs(ref) {
		return
	}
	if w.now < i.pausedUntil {
		w.schedule(i.pausedUntil.Sub(w.now), func() { w.callInstance(i, ref, call) })
		return
	}
	for _, o := range call(i.a) {
		w.apply(i, o)
	}
	if next := i.a.NextWake(); next < i.wake || i.wake <= w.now {
		i.wake = next
		if next != core.Never {
			w.schedule(max(0, next.Sub(w.now)), func() { w.callInstance(i, ref, func(a *Attempts) []Output { return a.Tick(w.now) }) })
		}
	}
}

// message delivers between processes: delayed, and under faults lost, repeated or
// overtaken.
func (w *simulation) message(run func()) {
	delay := time.Duration(1+w.rng.IntN(10)) * ms
	if w.faultsActive() {
		if w.rng.Float64() < w.lossRate {
			return
		}
		if w.rng.Float64() < w.lossRate {
			w.schedule(delay+time.Duration(w.rng.IntN(300))*ms, run)
		}
		delay += time.Duration(w.rng.IntN(40)) * ms
	}
	w.schedule(delay, run)
}

func (w *simulation) engine(id core.UpstreamID) *engineModel {
	i := slices.IndexFunc(w.engines, func(e *engineModel) bool { return e.id == id })
	return w.engines[i]
}

func (w *simulation) instance(id core.InstanceID) *instance {
	i := slices.IndexFunc(w.instances, func(i *instance) bool { return i.ref.ID == id })
	return w.instances[i]
}

func (w *simulation) setMembers() {
	var refs []core.InstanceRef
	for _, i := range w.instances {
		if i.alive {
			refs = append(refs, i.ref)
		}
	}
	for _, i := range w.instances {
		w.callInstance(i, i.ref, func(a *Attempts) []Output { return a.SetMembers(w.now, refs) })
	}
}

// kill ends the run of an Instance. The others learn it half a second later, and
// it may restart after a second.
func (w *simulation) kill(i *instance, restart bool) {
	if !i.alive {
		return
	}
	i.alive = false
	dead := i.ref
	w.schedule(500*ms, w.setMembers)
	if !restart {
		return
	}
	w.schedule(time.Second, func() {
		i.ref = core.InstanceRef{ID: dead.ID, Incarnation: dead.Incarnation + 1}
		i.a = New(i.ref, w.params)
		i.alive = true
		i.wake = core.Never
		w.setMembers()
	})
}

func (w *simulation) submit(c *caller) {
	c.ref = c.owner.ref
	w.requests[c.ID] = c
	if refusal := c.owner.a.CheckFingerprint(w.now, c.Fingerprint); refusal != nil {
		c.refusals++
		c.refusal = refusal
		return
	}
	w.start(c, nil)
}

func (w *simulation) start(c *caller, avoid []core.UpstreamID) {
	half := len(w.engines) / 2
	plan := Placement{StartPrefillAt: w.now.Add(time.Duration(w.rng.IntN(20)) * ms)}
	if c.plain {
		plan = Placement{Replica: w.choose(w.engines, avoid)}
	} else {
		plan.SlotFreeAt = w.now.Add(time.Duration(w.rng.IntN(300)) * ms)
		plan.Prefill = w.choose(w.engines[:half], avoid)
		plan.Decode = w.choose(w.engines[half:], avoid)
	}
	w.callInstance(c.owner, c.ref, func(a *Attempts) []Output { return a.Start(w.now, c.Request, plan) })
}

func (w *simulation) choose(from []*engineModel, avoid []core.UpstreamID) core.UpstreamID {
	up := from[w.rng.IntN(len(from))].id
	for range 20 {
		if !slices.Contains(avoid, up) {
			break
		}
		up = from[w.rng.IntN(len(from))].id
	}
	return up
}

func (w *simulation) apply(i *instance, o Output) {
	ref := i.ref
	switch o := o.(type) {
	case StartPrefill:
		w.schedule(max(0, o.StartAt.Sub(w.now)), func() { w.send(i, o.Request, o.Attempt, o.Upstream, o.NotAfter, w.prefill) })
	case StartDecode:
		run := func(e *engineModel, c *caller, id core.AttemptID) {
			w.decode(e, w.engine(o.Prefill), c, id, o.TokensSent)
		}
		w.schedule(max(0, o.StartAt.Sub(w.now)), func() { w.send(i, o.Request, o.Attempt, o.Decode, o.NotAfter, run) })
	case StartCall:
		w.send(i, o.Request, o.Attempt, o.Upstream, o.NotAfter, w.call)
	case Cancel:
		w.message(func() {
			delete(w.engine(o.Upstream).held, o.Attempt)
			w.message(func() {
				w.callInstance(i, ref, func(a *Attempts) []Output { return a.OnCancelConfirmed(w.now, o.Attempt) })
			})
		})
	case Reschedule:
		c := w.requests[o.Request]
		w.schedule(2*ms, func() { w.start(c, o.AvoidUpstreams) })
	case RequestCompleted:
		w.requests[o.Request].completions++
	case RequestFailed:
		c := w.requests[o.Request]
		c.refusals++
		c.refusal = o.Refusal
		if o.Refusal.Ran == core.NotRun && c.sends > 0 {
			w.violations = append(w.violations, fmt.Sprintf("%s: refused as not run after %d sends", c.ID, c.sends))
		}
	case SendSuspectNotice:
		to := w.instance(o.To)
		w.message(func() {
			w.callInstance(to, to.ref, func(a *Attempts) []Output { return a.OnSuspectNotice(w.now, ref, o.Notice) })
		})
	case PollAttempts:
		w.message(func() { w.reportTo(w.engine(o.Upstream), i, false) })
	case SendOwnerQuery:
		to := w.instance(o.To)
		w.message(func() {
			w.callInstance(to, to.ref, func(a *Attempts) []Output { return a.OnOwnerQuery(w.now, o.Upstream, o.Attempts) })
		})
	}
}

// send writes a request to an engine, as the daemon does.
func (w *simulation) send(i *instance, request core.RequestID, id core.AttemptID, up core.UpstreamID, notAfter core.Instant, run func(*engineModel, *caller, core.AttemptID)) {
	if !i.runs(id.Owner) {
		return
	}
	e := w.engine(up)
	fail := func(kind FailureKind) {
		w.schedule(ms, func() {
			w.callInstance(i, id.Owner, func(a *Attempts) []Output { return a.OnFailed(w.now, id, Failure{Kind: kind, Upstream: up}) })
		})
	}
	switch {
	case w.now > notAfter:
		fail(FailExpired)
		return
	case w.now < e.downUntil:
		fail(FailConnect)
		return
	}
	c := w.requests[request]
	c.sends++
	w.owners[id] = c
	if !c.Idempotent && c.sends > 1 {
		w.violations = append(w.violations, fmt.Sprintf("%s: not idempotent, sent %d times", c.ID, c.sends))
	}
	w.callInstance(i, id.Owner, func(a *Attempts) []Output { return a.OnSent(w.now, id) })
	delay := ms
	if w.faultsActive() && w.rng.Float64() < w.delayedShare {
		delay = time.Duration(w.rng.IntN(w.maxStartDelayMS)) * ms
	}
	generation := e.generation
	w.schedule(delay, func() {
		if e.generation == generation {
			run(e, c, id)
		}
	})
}

// deliver delivers an event of an engine to the owner of the attempt, now and then
// twice.
func (w *simulation) deliver(e *engineModel, c *caller, id core.AttemptID, call func(*Attempts) []Output) {
	if e.silent {
		return
	}
	w.schedule(ms, func() { w.callInstance(c.owner, id.Owner, call) })
	if w.faultsActive() && w.rng.Float64() < w.lossRate {
		w.schedule(time.Duration(w.rng.IntN(200))*ms, func() { w.callInstance(c.owner, id.Owner, call) })
	}
}

// afterWhileHeld runs the step after d, if the engine still holds the attempt.
func (w *simulation) afterWhileHeld(e *engineModel, id core.AttemptID, d time.Duration, step func(*heldMemory)) {
	m := e.held[id]
	w.schedule(d, func() {
		if m != nil && e.held[id] == m {
			step(m)
		}
	})
}

func (w *simulation) prefill(e *engineModel, c *caller, id core.AttemptID) {
	e.held[id] = &heldMemory{}
	w.afterWhileHeld(e, id, time.Duration(20+w.rng.IntN(60))*ms, func(*heldMemory) {
		w.deliver(e, c, id, func(a *Attempts) []Output { return a.OnPrefillDone(w.now, id) })
	})
}

func (w *simulation) decode(e, from *engineModel, c *caller, id core.AttemptID, sent int) {
	e.held[id] = &heldMemory{tokens: sent, decode: true}
	if e.stalls {
		return
	}
	if c.Fingerprint == w.crashingPrint {
		w.afterWhileHeld(e, id, time.Duration(10+w.rng.IntN(100))*ms, func(*heldMemory) {
			w.crashedUpstreams = append(w.crashedUpstreams, e.id)
			w.crash(e)
		})
	}
	w.afterWhileHeld(e, id, 20*ms, func(m *heldMemory) {
		delete(from.held, id)
		m.tokens++
		w.deliver(e, c, id, func(a *Attempts) []Output { return a.OnFirstToken(w.now, id) })
		w.stream(e, c, id)
	})
}

func (w *simulation) stream(e *engineModel, c *caller, id core.AttemptID) {
	w.afterWhileHeld(e, id, 100*ms, func(m *heldMemory) {
		m.tokens += 5
		tokens := m.tokens
		if tokens < c.MaxOutputTokens {
			w.deliver(e, c, id, func(a *Attempts) []Output { return a.OnProgress(w.now, id, tokens) })
			w.stream(e, c, id)
			return
		}
		if e.silent {
			return // the engine keeps the memory until its answer is read
		}
		delete(e.held, id)
		w.deliver(e, c, id, func(a *Attempts) []Output { return a.OnCompleted(w.now, id, tokens) })
	})
}

func (w *simulation) call(e *engineModel, c *caller, id core.AttemptID) {
	e.held[id] = &heldMemory{}
	w.afterWhileHeld(e, id, time.Duration(5+w.rng.IntN(100))*ms, func(*heldMemory) {
		if e.silent {
			return
		}
		delete(e.held, id)
		w.deliver(e, c, id, func(a *Attempts) []Output { return a.OnCompleted(w.now, id, 0) })
	})
}

// crash ends an engine. Its memory is free, and each owner sees its connection
// break.
func (w *simulation) crash(e *engineModel) {
	held := e.held
	e.held = map[core.AttemptID]*heldMemory{}
	generation := e.generation
	e.generation++
	e.downUntil = w.now.Add(300 * ms)
	var ids []core.AttemptID
	for id := range held {
		ids = append(ids, id)
	}
	slices.SortFunc(ids, compareIDs)
	for _, id := range ids {
		c := w.owners[id]
		w.crashesByPrint[c.Fingerprint]++
		f := Failure{Kind: FailCrashed, Upstream: e.id, MaybeSent: true, Generation: generation}
		w.schedule(time.Duration(1+w.rng.IntN(5))*ms, func() {
			w.callInstance(c.owner, id.Owner, func(a *Attempts) []Output { return a.OnFailed(w.now, id, f) })
		})
	}
	if w.onCrash != nil {
		w.onCrash()
	}
}

func compareIDs(x, y core.AttemptID) int {
	if x.String() < y.String() {
		return -1
	}
	return 1
}

// report sends the attempts of an engine every 200 ms to the Instance that holds
// its ledger, the first live one.
func (w *simulation) report(e *engineModel) {
	w.schedule(200*ms, func() { w.report(e) })
	for _, i := range w.instances {
		if i.alive {
			w.reportTo(e, i, true)
			return
		}
	}
}

func (w *simulation) reportTo(e *engineModel, i *instance, holder bool) {
	if w.now < e.downUntil {
		return
	}
	r := AttemptReport{ObservedAt: w.now, HoldsLedger: holder}
	for id := range e.held {
		r.Attempts = append(r.Attempts, id)
	}
	slices.SortFunc(r.Attempts, compareIDs)
	ref := i.ref
	w.message(func() {
		w.callInstance(i, ref, func(a *Attempts) []Output { return a.OnAttemptReport(w.now, e.id, r) })
	})
}

// leaks lists the memory that engines hold for requests that are over.
func (w *simulation) leaks() []string {
	var found []string
	for _, e := range w.engines {
		for id := range e.held {
			if w.owners[id].isOver() {
				found = append(found, fmt.Sprintf("%s holds %s of %s", e.id, id, w.owners[id].ID))
			}
		}
	}
	slices.Sort(found)
	return found
}
