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

// simulation runs several Placers against small decode engine models in virtual time.
type simulation struct {
	rng          *rand.Rand
	now          core.Instant
	events       schedule.Queue[core.Instant, func()]
	order        int
	nodes        []*node
	engines      map[core.UpstreamID]*decodeModel
	topology     Topology
	jobs         map[core.RequestID]*simJob
	loss         float64
	faultsEnd    core.Instant
	leavingSince map[core.UpstreamID]core.Instant
	// prefillBusyUntil is the end of the last prefill of an engine, which runs one at a time.
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
	w := &simulation{
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
			w.engines[up.ID] = e
			w.report(e)
		}
	}
	for i := range nodes {
		n := &node{ref: core.InstanceRef{ID: core.InstanceID(fmt.Sprintf("i%d", i)), Incarnation: 1}}
		w.nodes = append(w.nodes, n)
		w.start(n)
	}
	w.setMembers()
	w.exchangeLoadDeltas()
	return w
}

// exchangeLoadDeltas tells the peers every 50 ms what each Instance has placed.
func (w *simulation) exchangeLoadDeltas() {
	w.after(50*ms, w.exchangeLoadDeltas)
	for _, n := range w.nodes {
		taken, sent := n.p.DrainLoadDeltas(), w.now
		for _, to := range w.nodes {
			if to == n || len(taken) == 0 {
				continue
			}
			ref := to.ref
			w.send(func() {
				w.deliver(to, ref, func(p *Placer) []Output { p.OnPeerLoadDeltas(w.now, w.now.Sub(sent), taken); return nil })
			})
		}
	}
}

func (w *simulation) start(n *node) {
	n.p = New(n.ref, "east", Params{Rand: w.rng})
	n.alive = true
	n.wakeAt = core.Never
	n.p.SetTopology(w.now, w.topology)
}

func (w *simulation) after(d time.Duration, run func()) {
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

func (w *simulation) deliver(n *node, ref core.InstanceRef, call func(*Placer) []Output) {
	if !n.alive || n.ref != ref {
		return
	}
	if w.now < n.pausedUntil {
		w.after(n.pausedUntil.Sub(w.now), func() { w.deliver(n, ref, call) })
		return
	}
	for _, o := range call(n.p) {
		w.apply(n, o)
	}
	if next := n.p.NextWake(); next < n.wakeAt || n.wakeAt <= w.now {
		n.wakeAt = next
		if next != core.Never {
			w.after(max(0, next.Sub(w.now)), func() { w.deliver(n, ref, func(p *Placer) []Output { return p.Tick(w.now) }) })
		}
	}
}

// send delivers between Instances: delayed, and under faults lost, repeated or
// overtaken.
func (w *simulation) send(run func()) {
	delay := time.Duration(1+w.rng.IntN(5)) * ms
	if w.now < w.faultsEnd {
		if w.rng.Float64() < w.loss {
			return
		}
		if w.rng.Float64() < w.loss {
			w.after(delay+time.Duration(w.rng.IntN(400))*ms, run)
		}
		delay += time.Duration(w.rng.IntN(60)) * ms
	}
	w.after(delay, run)
}

func (w *simulation) setMembers() {
	var members []Member
	for _, n := range w.nodes {
		if n.alive {
			members = append(members, Member{Ref: n.ref, DataCentre: "east"})
		}
	}
	for _, n := range w.nodes {
		w.deliver(n, n.ref, func(p *Placer) []Output { return p.SetMembers(w.now, members) })
	}
}

// kill ends the run of an Instance. The others learn it half a second later, its
// attempts are cancelled after two seconds, and it restarts after one.
func (w *simulation) kill(n *node) {
	if !n.alive {
		return
	}
	n.alive = false
	dead := n.ref
	w.after(500*ms, w.setMembers)
	w.after(time.Second, func() {
		n.ref = core.InstanceRef{ID: dead.ID, Incarnation: dead.Incarnation + 1}
		w.start(n)
		w.setMembers()
	})
	w.after(2*time.Second, func() {
		for _, e := range w.engines {
			for id := range e.running {
				if id.Owner == dead {
					e.end(id)
				}
			}
		}
	})
}

// markLeaving marks an engine as leaving. Every Instance knows within a second.
func (w *simulation) markLeaving(up core.UpstreamID) {
	if w.leavingSince[up] != 0 {
		return
	}
	w.leavingSince[up] = w.now
	s := &w.topology.Services[0]
	s.Upstreams = slices.Clone(s.Upstreams)
	for i := range s.Upstreams {
		if s.Upstreams[i].ID == up {
			s.Upstreams[i].Leaving = true
		}
	}
	w.topology.Services = []Service{*s}
	t := w.topology
	for _, n := range w.nodes {
		w.after(time.Duration(w.rng.IntN(1000))*ms, func() {
			w.deliver(n, n.ref, func(p *Placer) []Output { return p.SetTopology(w.now, t) })
		})
	}
}

func (w *simulation) submit(j *simJob) {
	if !j.owner.alive {
		return
	}
	j.ref = j.owner.ref
	w.jobs[j.ID] = j
	w.deliver(j.owner, j.ref, func(p *Placer) []Output { return p.Submit(w.now, j.Job) })
}

func (w *simulation) apply(n *node, o Output) {
	ref := n.ref
	switch o := o.(type) {
	case ModelPlacement:
		w.place(o)
	case JobRefused:
		w.jobs[o.ID].outcomes++
		w.jobs[o.ID].refusal = o.Refusal
	case SendReserveRequest:
		to := w.node(o.To)
		w.send(func() {
			w.deliver(to, to.ref, func(p *Placer) []Output {
				reply := p.OnReserve(w.now, ref, o.Request)
				w.send(func() {
					w.deliver(n, ref, func(p *Placer) []Output { return p.OnReserveReply(w.now, reply) })
				})
				return nil
			})
		})
	case SendReleaseNotice:
		to := w.node(o.To)
		w.send(func() {
			w.deliver(to, to.ref, func(p *Placer) []Output { return p.OnReleaseNotice(w.now, ref, o.Notice) })
		})
	}
}

func (w *simulation) node(id core.InstanceID) *node {
	i := slices.IndexFunc(w.nodes, func(n *node) bool { return n.ref.ID == id })
	return w.nodes[i]
}

// place runs the prefill and then asks the decode engine for its slot.
func (w *simulation) place(o ModelPlacement) {
	j := w.jobs[o.ID]
	j.outcomes++
	for _, up := range []core.UpstreamID{o.Prefill, o.Decode} {
		if left := w.leavingSince[up]; left != 0 && max(w.now, o.StartPrefillAt) > left.Add(3*time.Second) {
			w.violations = append(w.violations, fmt.Sprintf("%s: new work for %s %v after it began to leave", o.ID, up, w.now.Sub(left)))
		}
	}
	w.order++
	id := core.AttemptID{Owner: j.ref, Seq: uint64(w.order)}
	e := w.engines[o.Decode]
	prefill := seconds(float64(j.PromptTokens) / 20_000)
	done := max(w.now, o.StartPrefillAt, w.prefillBusyUntil[o.Prefill]).Add(prefill)
	w.prefillBusyUntil[o.Prefill] = done
	start := max(done, min(o.SlotFreeAt, done.Add(kvRetention/2)))
	w.after(start.Sub(w.now), func() {
		asked := done
		e.admit(func() {
			w.longestSlotWait = max(w.longestSlotWait, w.now.Sub(asked))
			if !j.owner.alive || j.owner.ref != j.ref {
				return
			}
			e.running[id] = true
			w.after(j.slotTime, func() {
				if !j.owner.alive || j.owner.ref != j.ref {
					return
				}
				w.deliver(j.owner, j.ref, func(p *Placer) []Output { return p.Release(w.now, j.ID) })
				e.end(id)
			})
		})
	})
}

func (e *decodeModel) admit(start func()) {
	e.waiting = append(e.waiting, start)
	e.next()
}

func (e *decodeModel) next() {
	for len(e.waiting) > 0 && len(e.running) < e.slots {
		start := e.waiting[0]
		e.waiting = e.waiting[1:]
		start()
	}
}

func (e *decodeModel) end(id core.AttemptID) {
	delete(e.running, id)
	e.next()
}

// report sends the load of an engine to every Instance each 200 ms, with a lag.
func (w *simulation) report(e *decodeModel) {
	w.after(200*ms, func() { w.report(e) })
	r := LoadReport{Slots: e.slots, UsedSlots: len(e.running), ObservedAt: w.now, Generation: 1}
	for id := range e.running {
		r.Attempts = append(r.Attempts, id)
	}
	slices.SortFunc(r.Attempts, func(a, b core.AttemptID) int { return int(a.Seq) - int(b.Seq) })
	for _, n := range w.nodes {
		ref := n.ref
		w.after(time.Duration(50+w.rng.IntN(100))*ms, func() {
			w.deliver(n, ref, func(p *Placer) []Output { return p.OnLoadReport(w.now, e.id, r) })
		})
	}
}

// ledgerLeaks lists the slots that holders count although no engine is in use.
func (w *simulation) ledgerLeaks() []string {
	var found []string
	for _, n := range w.nodes {
		for id, e := range n.p.engines {
			if e.ledger == nil || n.p.holderOf(e) != n.ref.ID {
				continue
			}
			e.ledger.expire(w.now)
			if used := e.ledger.usedSlots(e.report); used != len(w.engines[id].running) {
				found = append(found, fmt.Sprintf("%s counts %d slots of %s, %d are in use", n.ref, used, id, len(w.engines[id].running)))
			}
		}
	}
	slices.Sort(found)
	return found
}
