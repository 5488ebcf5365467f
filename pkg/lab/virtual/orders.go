package virtual

import (
	"time"

	"github.com/rhubarbsill/rhubarbsill/pkg/config"
	"github.com/rhubarbsill/rhubarbsill/pkg/core"
	"github.com/rhubarbsill/rhubarbsill/pkg/orders"
	"github.com/rhubarbsill/rhubarbsill/pkg/router"
)

// Executed is an order that an engine has accepted.
type Executed struct {
	At       time.Duration
	Upstream core.UpstreamID
	Fence    core.FencingToken
	Want     orders.State
}

// duty is what an engine serves, and its order.
type duty struct {
	initial orders.State
	serves  orders.State
	loading orders.State
	fence   core.FencingToken
	checks  bool
	run     int // counts orders and restarts
}

// newDuty lets an engine start in its desired state.
func newDuty(up config.Upstream) *duty {
	if up.DesiredState == nil {
		return nil
	}
	state := orders.State{Model: up.DesiredState.Model, Adapter: up.DesiredState.Adapter, Version: up.DesiredState.Version, Role: string(up.Role)}
	return &duty{initial: state, serves: state, checks: up.ChecksFencing}
}

// restart forgets the orders, but not the highest fencing number.
func (d *duty) restart() {
	if d == nil {
		return
	}
	d.run++
	d.serves = d.initial
	d.loading = orders.State{}
}

// Serves returns what an engine serves now.
func (w *World) Serves(id core.UpstreamID) orders.State { return w.engines[id].duty.serves }

// Worked returns the number of prefills and decodes that an engine has accepted.
func (w *World) Worked(id core.UpstreamID) int { return w.engines[id].worked }

// DelayOrders sets the time that an order takes on its way to an engine.
func (w *World) DelayOrders(delay func(core.UpstreamID) time.Duration) { w.orderDelay = delay }

// checkDuty counts work for another model or role than the engine has.
func (w *World) checkDuty(e *engine, role config.Role, model core.ModelName) {
	e.worked++
	if e.duty != nil && (e.duty.serves.Role != string(role) || e.duty.serves.Model != model) {
		w.Misplaced++
	}
}

// sendOrder delivers an order. A connection that is cut fails after its time
// limit, and so does one whose answer is cut off.
func (w *World) sendOrder(i *Instance, q router.SendOrder) {
	e := w.engines[q.Upstream]
	there := w.latency(i.opts.DataCentre, e.up.DataCentre)
	if w.orderDelay != nil {
		there += w.orderDelay(q.Upstream)
	}
	name, up := string(i.opts.ID), string(q.Upstream)
	result := router.OrderResult{Service: q.Service, Upstream: q.Upstream, Fence: q.Fence, Result: orders.Failed}
	if w.isCut(name, up) || there >= q.TimeLimit {
		i.later(q.TimeLimit, result)
		return
	}
	w.after(there, func() {
		if e.down() || e.duty == nil {
			i.later(there, result)
			return
		}
		result.Result = w.execute(e, q)
		if w.isCut(up, name) {
			result.Result = orders.Failed
			i.later(q.TimeLimit, result)
			return
		}
		i.later(there, result)
	})
}

// execute lets an engine accept an order. It serves its former state until the
// change is done; a newer order replaces the one before.
func (w *World) execute(e *engine, q router.SendOrder) orders.Result {
	d := e.duty
	if d.checks && q.Fence < d.fence {
		return orders.Stale
	}
	d.fence = max(d.fence, q.Fence)
	w.Executed = append(w.Executed, Executed{At: w.now, Upstream: e.up.ID, Fence: q.Fence, Want: q.DesiredState})
	if d.loading == q.DesiredState {
		return orders.Done
	}
	d.run++
	d.loading = orders.State{}
	if d.serves != q.DesiredState {
		d.loading = q.DesiredState
	}
	e.note()
	run := d.run
	w.countLoads()
	w.after(w.changeTime(d.serves, q.DesiredState), func() {
		if d.run == run {
			d.serves = q.DesiredState
			d.loading = orders.State{}
			e.note()
		}
	})
	return orders.Done
}

func (w *World) changeTime(from, to orders.State) time.Duration {
	from.Role = to.Role
	if from == to {
		return w.opts.Engine.RoleTime
	}
	return w.opts.Engine.LoadTime
}

func (w *World) countLoads() {
	loads := 0
	for _, id := range w.order {
		if d := w.engines[id].duty; d != nil && d.loading != (orders.State{}) {
			loads++
		}
	}
	w.PeakLoads = max(w.PeakLoads, loads)
}
