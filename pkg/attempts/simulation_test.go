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
	maxStartDelayMS  int          // maximum delay of these starts
	faultsEnd        core.Instant // zero: no faults
	crashingPrint    core.Fingerprint
	crashedUpstreams []core.UpstreamID        // Upstreams that the crashing request has crashed
	crashesByPrint   map[core.Fingerprint]int // number of Upstream crashes with an attempt of the fingerprint
	onCrash          func()
	violations       []string // of invariants, found while events run
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
// doesn't remember cancelled attempts, so a delayed start runs after its cancel.
type engineModel struct {
	id         core.UpstreamID
	held       map[core.AttemptID]*heldMemory
	downUntil  core.Instant
	generation uint64
	stalls     bool // transfers never end
	silent     bool // sends no events
}

type heldMemory struct {
	tokens int
	decode bool
}

func newSimulation(seed uint64, instances, engines int, p Params) *simulation {
	sim := &simulation{
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
		sim.instances = append(sim.instances, &instance{ref: ref, a: New(ref, p), alive: true, wake: core.Never})
	}
	for i := range engines {
		e := &engineModel{id: core.UpstreamID(fmt.Sprintf("e%d", i)), held: map[core.AttemptID]*heldMemory{}, generation: 1}
		sim.engines = append(sim.engines, e)
		sim.report(e)
	}
	sim.setMembers()
	return sim
}

func (sim *simulation) schedule(d time.Duration, run func()) {
	sim.events.Add(sim.now.Add(d), run)
}

func (sim *simulation) runUntil(end core.Instant) {
	for {
		run, at, due := sim.events.PopDue(end)
		if !due {
			break
		}
		sim.now = at
		run()
	}
	sim.now = end
}

func (sim *simulation) faultsActive() bool { return sim.now < sim.faultsEnd }

// callInstance calls a method of an Instance, after its pause, and applies its
// outputs.
func (sim *simulation) callInstance(i *instance, ref core.InstanceRef, call func(*Attempts) []Output) {
	if !i.runs(ref) {
		return
	}
	if sim.now < i.pausedUntil {
		sim.schedule(i.pausedUntil.Sub(sim.now), func() { sim.callInstance(i, ref, call) })
		return
	}
	for _, o := range call(i.a) {
		sim.apply(i, o)
	}
	if next := i.a.NextWake(); next < i.wake || i.wake <= sim.now {
		i.wake = next
		if next != core.Never {
			sim.schedule(max(0, next.Sub(sim.now)), func() { sim.callInstance(i, ref, func(a *Attempts) []Output { return a.Tick(sim.now) }) })
		}
	}
}

// message delivers a message between processes with a delay. Under faults it may be
// lost, repeated or reordered.
func (sim *simulation) message(run func()) {
	delay := time.Duration(1+sim.rng.IntN(10)) * ms
	if sim.faultsActive() {
		if sim.rng.Float64() < sim.lossRate {
			return
		}
		if sim.rng.Float64() < sim.lossRate {
			sim.schedule(delay+time.Duration(sim.rng.IntN(300))*ms, run)
		}
		delay += time.Duration(sim.rng.IntN(40)) * ms
	}
	sim.schedule(delay, run)
}

func (sim *simulation) engine(id core.UpstreamID) *engineModel {
	i := slices.IndexFunc(sim.engines, func(e *engineModel) bool { return e.id == id })
	return sim.engines[i]
}

func (sim *simulation) instance(id core.InstanceID) *instance {
	i := slices.IndexFunc(sim.instances, func(i *instance) bool { return i.ref.ID == id })
	return sim.instances[i]
}

func (sim *simulation) setMembers() {
	var refs []core.InstanceRef
	for _, i := range sim.instances {
		if i.alive {
			refs = append(refs, i.ref)
		}
	}
	for _, i := range sim.instances {
		sim.callInstance(i, i.ref, func(a *Attempts) []Output { return a.SetMembers(sim.now, refs) })
	}
}

// kill ends the incarnation of an Instance. The other Instances learn it after half
// a second, and the Instance may restart after a second.
func (sim *simulation) kill(i *instance, restart bool) {
	if !i.alive {
		return
	}
	i.alive = false
	dead := i.ref
	sim.schedule(500*ms, sim.setMembers)
	if !restart {
		return
	}
	sim.schedule(time.Second, func() {
		i.ref = core.InstanceRef{ID: dead.ID, Incarnation: dead.Incarnation + 1}
		i.a = New(i.ref, sim.params)
		i.alive = true
		i.wake = core.Never
		sim.setMembers()
	})
}

func (sim *simulation) submit(c *caller) {
	c.ref = c.owner.ref
	sim.requests[c.ID] = c
	if refusal := c.owner.a.CheckFingerprint(sim.now, c.Fingerprint); refusal != nil {
		c.refusals++
		c.refusal = refusal
		return
	}
	sim.start(c, nil)
}

func (sim *simulation) start(c *caller, avoid []core.UpstreamID) {
	half := len(sim.engines) / 2
	placement := Placement{StartPrefillAt: sim.now.Add(time.Duration(sim.rng.IntN(20)) * ms)}
	if c.plain {
		placement = Placement{Replica: sim.choose(sim.engines, avoid)}
	} else {
		placement.SlotFreeAt = sim.now.Add(time.Duration(sim.rng.IntN(300)) * ms)
		placement.Prefill = sim.choose(sim.engines[:half], avoid)
		placement.Decode = sim.choose(sim.engines[half:], avoid)
	}
	sim.callInstance(c.owner, c.ref, func(a *Attempts) []Output { return a.Start(sim.now, c.Request, placement) })
}

func (sim *simulation) choose(from []*engineModel, avoid []core.UpstreamID) core.UpstreamID {
	up := from[sim.rng.IntN(len(from))].id
	for range 20 {
		if !slices.Contains(avoid, up) {
			break
		}
		up = from[sim.rng.IntN(len(from))].id
	}
	return up
}

func (sim *simulation) apply(i *instance, o Output) {
	ref := i.ref
	switch o := o.(type) {
	case StartPrefill:
		sim.schedule(max(0, o.StartAt.Sub(sim.now)), func() { sim.send(i, o.Request, o.Attempt, o.Upstream, o.NotAfter, sim.prefill) })
	case StartDecode:
		run := func(e *engineModel, c *caller, id core.AttemptID) {
			sim.decode(e, sim.engine(o.Prefill), c, id, o.TokensSent)
		}
		sim.schedule(max(0, o.StartAt.Sub(sim.now)), func() { sim.send(i, o.Request, o.Attempt, o.Decode, o.NotAfter, run) })
	case StartCall:
		sim.send(i, o.Request, o.Attempt, o.Upstream, o.NotAfter, sim.call)
	case Cancel:
		sim.message(func() {
			delete(sim.engine(o.Upstream).held, o.Attempt)
			sim.message(func() {
				sim.callInstance(i, ref, func(a *Attempts) []Output { return a.OnCancelConfirmed(sim.now, o.Attempt) })
			})
		})
	case Reschedule:
		c := sim.requests[o.Request]
		sim.schedule(2*ms, func() { sim.start(c, o.AvoidUpstreams) })
	case RequestCompleted:
		sim.requests[o.Request].completions++
	case RequestFailed:
		c := sim.requests[o.Request]
		c.refusals++
		c.refusal = o.Refusal
		if o.Refusal.Ran == core.NotRun && c.sends > 0 {
			sim.violations = append(sim.violations, fmt.Sprintf("%s: refused as not run after %d sends", c.ID, c.sends))
		}
	case SendSuspectNotice:
		to := sim.instance(o.To)
		sim.message(func() {
			sim.callInstance(to, to.ref, func(a *Attempts) []Output { return a.OnSuspectNotice(sim.now, ref, o.Notice) })
		})
	case PollAttempts:
		sim.message(func() { sim.reportTo(sim.engine(o.Upstream), i, false) })
	case SendOwnerQuery:
		to := sim.instance(o.To)
		sim.message(func() {
			sim.callInstance(to, to.ref, func(a *Attempts) []Output { return a.OnOwnerQuery(sim.now, o.Upstream, o.Attempts) })
		})
	}
}

// send writes a request to an engine as the daemon does.
func (sim *simulation) send(i *instance, request core.RequestID, id core.AttemptID, up core.UpstreamID, notAfter core.Instant, run func(*engineModel, *caller, core.AttemptID)) {
	if !i.runs(id.Owner) {
		return
	}
	e := sim.engine(up)
	fail := func(kind FailureKind) {
		sim.schedule(ms, func() {
			sim.callInstance(i, id.Owner, func(a *Attempts) []Output { return a.OnFailed(sim.now, id, Failure{Kind: kind, Upstream: up}) })
		})
	}
	switch {
	case sim.now > notAfter:
		fail(FailExpired)
		return
	case sim.now < e.downUntil:
		fail(FailConnect)
		return
	}
	c := sim.requests[request]
	c.sends++
	sim.owners[id] = c
	if !c.Idempotent && c.sends > 1 {
		sim.violations = append(sim.violations, fmt.Sprintf("%s: not idempotent, sent %d times", c.ID, c.sends))
	}
	sim.callInstance(i, id.Owner, func(a *Attempts) []Output { return a.OnSent(sim.now, id) })
	delay := ms
	if sim.faultsActive() && sim.rng.Float64() < sim.delayedShare {
		delay = time.Duration(sim.rng.IntN(sim.maxStartDelayMS)) * ms
	}
	generation := e.generation
	sim.schedule(delay, func() {
		if e.generation == generation {
			run(e, c, id)
		}
	})
}

// deliver sends an event of an engine to the owner of the attempt, sometimes twice.
func (sim *simulation) deliver(e *engineModel, c *caller, id core.AttemptID, call func(*Attempts) []Output) {
	if e.silent {
		return
	}
	sim.schedule(ms, func() { sim.callInstance(c.owner, id.Owner, call) })
	if sim.faultsActive() && sim.rng.Float64() < sim.lossRate {
		sim.schedule(time.Duration(sim.rng.IntN(200))*ms, func() { sim.callInstance(c.owner, id.Owner, call) })
	}
}

// afterWhileHeld runs step after d if the engine still holds the attempt.
func (sim *simulation) afterWhileHeld(e *engineModel, id core.AttemptID, d time.Duration, step func(*heldMemory)) {
	m := e.held[id]
	sim.schedule(d, func() {
		if m != nil && e.held[id] == m {
			step(m)
		}
	})
}

func (sim *simulation) prefill(e *engineModel, c *caller, id core.AttemptID) {
	e.held[id] = &heldMemory{}
	sim.afterWhileHeld(e, id, time.Duration(20+sim.rng.IntN(60))*ms, func(*heldMemory) {
		sim.deliver(e, c, id, func(a *Attempts) []Output { return a.OnPrefillDone(sim.now, id) })
	})
}

func (sim *simulation) decode(e, from *engineModel, c *caller, id core.AttemptID, sent int) {
	e.held[id] = &heldMemory{tokens: sent, decode: true}
	if e.stalls {
		return
	}
	if c.Fingerprint == sim.crashingPrint {
		sim.afterWhileHeld(e, id, time.Duration(10+sim.rng.IntN(100))*ms, func(*heldMemory) {
			sim.crashedUpstreams = append(sim.crashedUpstreams, e.id)
			sim.crash(e)
		})
	}
	sim.afterWhileHeld(e, id, 20*ms, func(m *heldMemory) {
		delete(from.held, id)
		m.tokens++
		sim.deliver(e, c, id, func(a *Attempts) []Output { return a.OnFirstToken(sim.now, id) })
		sim.stream(e, c, id)
	})
}

func (sim *simulation) stream(e *engineModel, c *caller, id core.AttemptID) {
	sim.afterWhileHeld(e, id, 100*ms, func(m *heldMemory) {
		m.tokens += 5
		tokens := m.tokens
		if tokens < c.MaxOutputTokens {
			sim.deliver(e, c, id, func(a *Attempts) []Output { return a.OnProgress(sim.now, id, tokens) })
			sim.stream(e, c, id)
			return
		}
		if e.silent {
			return // the engine keeps the memory until its response is read
		}
		delete(e.held, id)
		sim.deliver(e, c, id, func(a *Attempts) []Output { return a.OnCompleted(sim.now, id, tokens) })
	})
}

func (sim *simulation) call(e *engineModel, c *caller, id core.AttemptID) {
	e.held[id] = &heldMemory{}
	sim.afterWhileHeld(e, id, time.Duration(5+sim.rng.IntN(100))*ms, func(*heldMemory) {
		if e.silent {
			return
		}
		delete(e.held, id)
		sim.deliver(e, c, id, func(a *Attempts) []Output { return a.OnCompleted(sim.now, id, 0) })
	})
}

// crash ends the process of an engine. Its memory is released, and each owner sees
// its connection break.
func (sim *simulation) crash(e *engineModel) {
	held := e.held
	e.held = map[core.AttemptID]*heldMemory{}
	generation := e.generation
	e.generation++
	e.downUntil = sim.now.Add(300 * ms)
	var ids []core.AttemptID
	for id := range held {
		ids = append(ids, id)
	}
	slices.SortFunc(ids, compareIDs)
	for _, id := range ids {
		c := sim.owners[id]
		sim.crashesByPrint[c.Fingerprint]++
		f := Failure{Kind: FailCrashed, Upstream: e.id, MaybeSent: true, Generation: generation}
		sim.schedule(time.Duration(1+sim.rng.IntN(5))*ms, func() {
			sim.callInstance(c.owner, id.Owner, func(a *Attempts) []Output { return a.OnFailed(sim.now, id, f) })
		})
	}
	if sim.onCrash != nil {
		sim.onCrash()
	}
}

func compareIDs(x, y core.AttemptID) int {
	if x.String() < y.String() {
		return -1
	}
	return 1
}

// report sends the attempts of an engine every 200 ms to the Instance that holds
// its ledger, which is the first live one.
func (sim *simulation) report(e *engineModel) {
	sim.schedule(200*ms, func() { sim.report(e) })
	for _, i := range sim.instances {
		if i.alive {
			sim.reportTo(e, i, true)
			return
		}
	}
}

func (sim *simulation) reportTo(e *engineModel, i *instance, holder bool) {
	if sim.now < e.downUntil {
		return
	}
	r := AttemptReport{ObservedAt: sim.now, HoldsLedger: holder}
	for id := range e.held {
		r.Attempts = append(r.Attempts, id)
	}
	slices.SortFunc(r.Attempts, compareIDs)
	ref := i.ref
	sim.message(func() {
		sim.callInstance(i, ref, func(a *Attempts) []Output { return a.OnAttemptReport(sim.now, e.id, r) })
	})
}

// leaks lists the memory that engines hold for finished requests.
func (sim *simulation) leaks() []string {
	var found []string
	for _, e := range sim.engines {
		for id := range e.held {
			if sim.owners[id].isOver() {
				found = append(found, fmt.Sprintf("%s holds %s of %s", e.id, id, sim.owners[id].ID))
			}
		}
	}
	slices.Sort(found)
	return found
}
