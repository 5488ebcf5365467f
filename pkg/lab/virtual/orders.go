package virtual

import (
	"time"

	"github.com/rhubarbsill/rhubarbsill/pkg/config"
	"github.com/rhubarbsill/rhubarbsill/pkg/core"
	"github.com/rhubarbsill/rhubarbsill/pkg/orders"
	"github.com/rhubarbsill/rhubarbsill/pkg/router"
)

// ExecutedOrder is an order that an engine has accepted.
type ExecutedOrder struct {
	At       time.Duration
	Upstream core.UpstreamID
	Fence    core.FencingToken
	Want     orders.State
}

// servingState is the state that an engine serves or loads, with the fencing token
// of its latest order.
type servingState struct {
	initial       orders.State
	current       orders.State
	loading       orders.State
	fence         core.FencingToken
	checksFencing bool
	changeSeq     int // counts changes and restarts; the timer of an earlier change does nothing
}

// newServingState returns the state of an engine that starts in its desired state,
// or nil if it has none.
func newServingState(up config.Upstream) *servingState {
	if up.DesiredState == nil {
		return nil
	}
	state := orders.State{Model: up.DesiredState.Model, Adapter: up.DesiredState.Adapter, Version: up.DesiredState.Version, Role: string(up.Role)}
	return &servingState{initial: state, current: state, checksFencing: up.ChecksFencing}
}

// restart resets the engine to its initial state. It keeps the highest fencing
// token.
func (d *servingState) restart() {
	if d == nil {
		return
	}
	d.changeSeq++
	d.current = d.initial
	d.loading = orders.State{}
}

// ServedState returns the state that an engine serves. The engine must have started with
// a desired state.
func (w *Simulation) ServedState(id core.UpstreamID) orders.State {
	return w.engines[id].serving.current
}

// AcceptedWork returns the number of prefills and decodes that an engine has accepted.
func (w *Simulation) AcceptedWork(id core.UpstreamID) int { return w.engines[id].acceptedWork }

// SetOrderDelay sets a delay of orders to an engine, in addition to the latency.
func (w *Simulation) SetOrderDelay(delay func(core.UpstreamID) time.Duration) { w.orderDelay = delay }

// countWork counts an accepted prefill or decode, and whether the engine serves
// another model or role.
func (w *Simulation) countWork(e *engine, role config.Role, model core.ModelName) {
	e.acceptedWork++
	if e.serving != nil && (e.serving.current.Role != string(role) || e.serving.current.Model != model) {
		w.Misplaced++
	}
}

// sendOrder delivers an order. The call fails after its time limit if a partition
// drops the order or the reply.
func (w *Simulation) sendOrder(i *Instance, q router.SendOrder) {
	e := w.engines[q.Upstream]
	delay := w.latency(i.opts.DataCentre, e.up.DataCentre)
	if w.orderDelay != nil {
		delay += w.orderDelay(q.Upstream)
	}
	name, up := string(i.opts.ID), string(q.Upstream)
	result := router.OrderResult{Service: q.Service, Upstream: q.Upstream, Fence: q.Fence, Result: orders.Failed}
	if w.isPartitioned(name, up) || delay >= q.TimeLimit {
		i.deliverAfter(q.TimeLimit, result)
		return
	}
	w.after(delay, func() {
		if e.down() || e.serving == nil {
			i.deliverAfter(delay, result)
			return
		}
		result.Result = w.execute(e, q)
		if w.isPartitioned(up, name) {
			result.Result = orders.Failed
			i.deliverAfter(q.TimeLimit, result)
			return
		}
		i.deliverAfter(delay, result)
	})
}

// execute makes an engine accept an order. The engine serves its previous state
// until the change is complete; a newer order replaces a pending one.
func (w *Simulation) execute(e *engine, q router.SendOrder) orders.Result {
	d := e.serving
	if d.checksFencing && q.Fence < d.fence {
		return orders.Stale
	}
	d.fence = max(d.fence, q.Fence)
	w.Executed = append(w.Executed, ExecutedOrder{At: w.now, Upstream: e.up.ID, Fence: q.Fence, Want: q.DesiredState})
	if d.loading == q.DesiredState {
		return orders.Done
	}
	d.changeSeq++
	d.loading = orders.State{}
	if d.current != q.DesiredState {
		d.loading = q.DesiredState
	}
	e.recordLoad()
	seq := d.changeSeq
	w.updatePeakLoads()
	w.after(w.changeTime(d.current, q.DesiredState), func() {
		if d.changeSeq == seq {
			d.current = q.DesiredState
			d.loading = orders.State{}
			e.recordLoad()
		}
	})
	return orders.Done
}

func (w *Simulation) changeTime(from, to orders.State) time.Duration {
	from.Role = to.Role
	if from == to {
		return w.opts.Engine.RoleChangeTime
	}
	return w.opts.Engine.LoadTime
}

func (w *Simulation) updatePeakLoads() {
	loads := 0
	for _, id := range w.upstreamIDs {
		if d := w.engines[id].serving; d != nil && d.loading != (orders.State{}) {
			loads++
		}
	}
	w.PeakLoads = max(w.PeakLoads, loads)
}
