package placement

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/rhubarbsill/rhubarbsill/pkg/core"
	"github.com/rhubarbsill/rhubarbsill/pkg/schedule"
)

const (
	ms = time.Millisecond
	// kvRetention is the time for which a prefill engine keeps its result.
	kvRetention = time.Second
)

// simulation runs several Placers against models of decode engines in virtual time.
type simulation struct {
	rng            *rand.Rand
	now            core.Instant
	events         schedule.Queue[core.Instant, func()]
	lastAttemptSeq int
	nodes          []*node
	engines        map[core.UpstreamID]*decodeModel
	topology       Topology
	jobs           map[core.RequestID]*simJob
	loss           float64
	faultsEnd      core.Instant
	leavingSince   map[core.UpstreamID]core.Instant
	// prefillBusyUntil is the end of the last prefill of an engine. An engine runs one
	// prefill at a time.
	prefillBusyUntil map[core.UpstreamID]core.Instant
	violations       []string
	longestSlotWait  time.Duration // longest wait of a decode for its slot
}

type node struct {
	ref         core.InstanceRef
	p           *Placer
	alive       bool
	pausedUntil core.Instant
	wakeAt      core.Instant
}

type simJob struct {
	Job
	owner    *node
	ref      core.InstanceRef
	slotTime time.Duration
	outcomes int
	refusal  *core.Refusal
}

// decodeModel admits attempts in order while it has free slots.
type decodeModel struct {
	id      core.UpstreamID
	slots   int
	running map[core.AttemptID]bool
	waiting []func()
}

func newSimulation(seed uint64, nodes int, t Topology) *simulation {
	sim := &simulation{
		rng:          newRand(seed),
		now:          core.Instant(time.Second),
		engines:      map[core.UpstreamID]*decodeModel{},
		topology:     t,
		jobs:         map[core.RequestID]*simJob{},
		leavingSince: map[core.UpstreamID]core.Instant{},

		prefillBusyUntil: map[core.UpstreamID]core.Instant{},
	}
	for _, up := range t.Services[0].Upstreams {
		if up.Role == RoleDecode {
			e := &decodeModel{id: up.ID, slots: up.Slots, running: map[core.AttemptID]bool{}}
			sim.engines[up.ID] = e
			sim.report(e)
		}
	}
	for i := range nodes {
		n := &node{ref: core.InstanceRef{ID: core.InstanceID(fmt.Sprintf("i%d", i)), Incarnation: 1}}
		sim.nodes = append(sim.nodes, n)
		sim.start(n)
	}
	sim.setMembers()
	sim.exchangeLoadDeltas()
	return sim
}

// exchangeLoadDeltas sends the placements of each Instance to its peers every 50 ms.
func (sim *simulation) exchangeLoadDeltas() {
	sim.after(50*ms, sim.exchangeLoadDeltas)
	for _, n := range sim.nodes {
		deltas, sent := n.p.DrainLoadDeltas(), sim.now
		for _, to := range sim.nodes {
			if to == n || len(deltas) == 0 {
				continue
			}
			ref := to.ref
			sim.send(func() {
				sim.deliver(to, ref, func(p *Placer) []Output { p.OnPeerLoadDeltas(sim.now, sim.now.Sub(sent), deltas); return nil })
			})
		}
	}
}

func (sim *simulation) start(n *node) {
	n.p = New(n.ref, "east", Params{Rand: sim.rng})
	n.alive = true
	n.wakeAt = core.Never
	n.p.SetTopology(sim.now, sim.topology)
}

func (sim *simulation) after(d time.Duration, run func()) {
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

// deliver calls an Instance, after its pause if it is paused, and applies the outputs. The
// call is dropped if the incarnation is no longer alive.
func (sim *simulation) deliver(n *node, ref core.InstanceRef, call func(*Placer) []Output) {
	if !n.alive || n.ref != ref {
		return
	}
	if sim.now < n.pausedUntil {
		sim.after(n.pausedUntil.Sub(sim.now), func() { sim.deliver(n, ref, call) })
		return
	}
	for _, o := range call(n.p) {
		sim.apply(n, o)
	}
	if next := n.p.NextWake(); next < n.wakeAt || n.wakeAt <= sim.now {
		n.wakeAt = next
		if next != core.Never {
			sim.after(max(0, next.Sub(sim.now)), func() { sim.deliver(n, ref, func(p *Placer) []Output { return p.Tick(sim.now) }) })
		}
	}
}

// send delivers a message between Instances after a delay. Under faults the message may be
// lost, duplicated or overtaken.
func (sim *simulation) send(run func()) {
	delay := time.Duration(1+sim.rng.IntN(5)) * ms
	if sim.now < sim.faultsEnd {
		if sim.rng.Float64() < sim.loss {
			return
		}
		if sim.rng.Float64() < sim.loss {
			sim.after(delay+time.Duration(sim.rng.IntN(400))*ms, run)
		}
		delay += time.Duration(sim.rng.IntN(60)) * ms
	}
	sim.after(delay, run)
}

func (sim *simulation) setMembers() {
	var members []Member
	for _, n := range sim.nodes {
		if n.alive {
			members = append(members, Member{Ref: n.ref, DataCentre: "east"})
		}
	}
	for _, n := range sim.nodes {
		sim.deliver(n, n.ref, func(p *Placer) []Output { return p.SetMembers(sim.now, members) })
	}
}

// kill stops an Instance. The others remove it from the members after half a second, it
// restarts after one second, and its attempts are cancelled after two.
func (sim *simulation) kill(n *node) {
	if !n.alive {
		return
	}
	n.alive = false
	dead := n.ref
	sim.after(500*ms, sim.setMembers)
	sim.after(time.Second, func() {
		n.ref = core.InstanceRef{ID: dead.ID, Incarnation: dead.Incarnation + 1}
		sim.start(n)
		sim.setMembers()
	})
	sim.after(2*time.Second, func() {
		for _, e := range sim.engines {
			for id := range e.running {
				if id.Owner == dead {
					e.end(id)
				}
			}
		}
	})
}

// markLeaving marks an engine as leaving. The Instances get the new topology within a second.
func (sim *simulation) markLeaving(up core.UpstreamID) {
	if sim.leavingSince[up] != 0 {
		return
	}
	sim.leavingSince[up] = sim.now
	s := &sim.topology.Services[0]
	s.Upstreams = slices.Clone(s.Upstreams)
	for i := range s.Upstreams {
		if s.Upstreams[i].ID == up {
			s.Upstreams[i].Leaving = true
		}
	}
	sim.topology.Services = []Service{*s}
	t := sim.topology
	for _, n := range sim.nodes {
		sim.after(time.Duration(sim.rng.IntN(1000))*ms, func() {
			sim.deliver(n, n.ref, func(p *Placer) []Output { return p.SetTopology(sim.now, t) })
		})
	}
}

func (sim *simulation) submit(j *simJob) {
	if !j.owner.alive {
		return
	}
	j.ref = j.owner.ref
	sim.jobs[j.ID] = j
	sim.deliver(j.owner, j.ref, func(p *Placer) []Output { return p.Submit(sim.now, j.Job) })
}

func (sim *simulation) apply(n *node, o Output) {
	ref := n.ref
	switch o := o.(type) {
	case ModelPlacement:
		sim.place(o)
	case JobRefused:
		sim.jobs[o.ID].outcomes++
		sim.jobs[o.ID].refusal = o.Refusal
	case SendReserveRequest:
		to := sim.node(o.To)
		sim.send(func() {
			sim.deliver(to, to.ref, func(p *Placer) []Output {
				reply := p.OnReserve(sim.now, ref, o.Request)
				sim.send(func() {
					sim.deliver(n, ref, func(p *Placer) []Output { return p.OnReserveReply(sim.now, reply) })
				})
				return nil
			})
		})
	case SendReleaseNotice:
		to := sim.node(o.To)
		sim.send(func() {
			sim.deliver(to, to.ref, func(p *Placer) []Output { return p.OnReleaseNotice(sim.now, ref, o.Notice) })
		})
	}
}

func (sim *simulation) node(id core.InstanceID) *node {
	i := slices.IndexFunc(sim.nodes, func(n *node) bool { return n.ref.ID == id })
	return sim.nodes[i]
}

// place runs the prefill and then admits the attempt at the decode engine.
func (sim *simulation) place(o ModelPlacement) {
	j := sim.jobs[o.ID]
	j.outcomes++
	for _, up := range []core.UpstreamID{o.Prefill, o.Decode} {
		if since := sim.leavingSince[up]; since != 0 && max(sim.now, o.StartPrefillAt) > since.Add(3*time.Second) {
			sim.violations = append(sim.violations, fmt.Sprintf("%s: new work for %s %v after it was marked as leaving", o.ID, up, sim.now.Sub(since)))
		}
	}
	sim.lastAttemptSeq++
	id := core.AttemptID{Owner: j.ref, Seq: uint64(sim.lastAttemptSeq)}
	e := sim.engines[o.Decode]
	prefill := seconds(float64(j.PromptTokens) / 20_000)
	done := max(sim.now, o.StartPrefillAt, sim.prefillBusyUntil[o.Prefill]).Add(prefill)
	sim.prefillBusyUntil[o.Prefill] = done
	start := max(done, min(o.SlotFreeAt, done.Add(kvRetention/2)))
	sim.after(start.Sub(sim.now), func() {
		prefillEnd := done
		e.admit(func() {
			sim.longestSlotWait = max(sim.longestSlotWait, sim.now.Sub(prefillEnd))
			if !j.owner.alive || j.owner.ref != j.ref {
				return
			}
			e.running[id] = true
			sim.after(j.slotTime, func() {
				if !j.owner.alive || j.owner.ref != j.ref {
					return
				}
				sim.deliver(j.owner, j.ref, func(p *Placer) []Output { return p.Release(sim.now, j.ID) })
				e.end(id)
			})
		})
	})
}

func (e *decodeModel) admit(start func()) {
	e.waiting = append(e.waiting, start)
	e.startWaiting()
}

func (e *decodeModel) startWaiting() {
	for len(e.waiting) > 0 && len(e.running) < e.slots {
		start := e.waiting[0]
		e.waiting = e.waiting[1:]
		start()
	}
}

func (e *decodeModel) end(id core.AttemptID) {
	delete(e.running, id)
	e.startWaiting()
}

// report sends the load of an engine to every Instance every 200 ms, with a delay.
func (sim *simulation) report(e *decodeModel) {
	sim.after(200*ms, func() { sim.report(e) })
	r := LoadReport{Slots: e.slots, UsedSlots: len(e.running), ObservedAt: sim.now, Generation: 1}
	for id := range e.running {
		r.Attempts = append(r.Attempts, id)
	}
	slices.SortFunc(r.Attempts, func(a, b core.AttemptID) int { return int(a.Seq) - int(b.Seq) })
	for _, n := range sim.nodes {
		ref := n.ref
		sim.after(time.Duration(50+sim.rng.IntN(100))*ms, func() {
			sim.deliver(n, ref, func(p *Placer) []Output { return p.OnLoadReport(sim.now, e.id, r) })
		})
	}
}

// ledgerLeaks lists the ledgers whose count differs from the running attempts.
func (sim *simulation) ledgerLeaks() []string {
	var found []string
	for _, n := range sim.nodes {
		for id, e := range n.p.engines {
			if e.ledger == nil || n.p.holderOf(e) != n.ref.ID {
				continue
			}
			e.ledger.expire(sim.now)
			if used := e.ledger.usedSlots(e.report); used != len(sim.engines[id].running) {
				found = append(found, fmt.Sprintf("%s counts %d slots of %s, %d are in use", n.ref, used, id, len(sim.engines[id].running)))
			}
		}
	}
	slices.Sort(found)
	return found
}
