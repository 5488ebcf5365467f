package orders

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/rhubarbsill/rhubarbsill/pkg/core"
)

// limited returns the holder of a service of three Upstreams that may load two at
// a time, with the orders of its first turn.
func limited(is *is.I, reported bool) (*Controller, []Output) {
	is.Helper()
	o := New(core.InstanceRef{ID: "entry-1", Incarnation: 1},
		Params{MaxLoads: 2, Random: source{rand.New(rand.NewPCG(1, 1))}})
	var want []DesiredState
	for i := range 3 {
		want = append(want, DesiredState{Upstream: core.UpstreamID(fmt.Sprint("e", i)), State: State{Model: "letra"}})
	}
	o.SetDesired(0, 1, want)
	o.Tick(0)
	o.OnLeaseRead(0, nil, 0, false)
	if !reported {
		for _, d := range want {
			o.OnServedState(0, d.Upstream, State{})
		}
		return o, o.OnLeaseWritten(1, 7)
	}
	o.OnLeaseWritten(1, 7)
	var outs []Output
	for _, d := range want {
		outs = append(outs, o.OnServedState(1, d.Upstream, State{})...)
	}
	return o, outs
}

// Guards against more loads at a time than the weight store bears: a load ends
// with the report that shows it, not with the answer to the order.
func TestLoadsAreLimited(t *testing.T) {
	is := is.New(t)
	o, outs := limited(is, true)
	is.Equal(len(outs), 2)
	now := core.Instant(time.Second)
	is.Equal(len(o.OnOrderResult(now, "e0", Done)), 0)
	is.Equal(len(o.OnStateReport(now, "e0", Report{Loading: State{Model: "letra"}})), 0)
	outs = o.OnServedState(now.Add(time.Second), "e0", State{Model: "letra"})
	is.Equal(len(outs), 1)
	is.Equal(outs[0].(Order).Upstream, core.UpstreamID("e2"))
}

// Guards against a new holder that orders loads while those that the holder
// before has ordered still run.
func TestNewHolderReadsBeforeItOrdersLoads(t *testing.T) {
	is := is.New(t)
	o, outs := limited(is, false)
	is.Equal(len(outs), 0)
	now := core.Instant(time.Second)
	is.Equal(len(o.ReportsNeeded(now)), 3)
	loading := Report{Loading: State{Model: "letra"}}
	is.Equal(len(o.OnServedState(now, "e0", State{})), 0) // e1 and e2 may both be loading
	is.Equal(len(o.OnStateReport(now, "e0", loading)), 0)
	is.Equal(len(o.OnStateReport(now, "e1", loading)), 0)
	is.Equal(len(o.OnServedState(now, "e2", State{})), 0)
	is.Equal(len(o.OnServedState(now.Add(time.Second), "e1", State{Model: "letra"})), 1)

	o, _ = limited(is, false)
	is.Equal(len(o.OnServedState(now, "e0", State{Model: "letra"})), 0)
	is.Equal(len(o.OnServedState(now, "e1", State{Model: "letra"})), 0) // e2 may be loading an older version
	is.Equal(len(o.OnServedState(now, "e2", State{})), 1)
}

// Guards against a lease that is released while an order may still be executed:
// the successor takes it at once, and an engine that ignores fencing would execute
// the older holder's order after the newer one's.
func TestResignWaitsForOrders(t *testing.T) {
	is := is.New(t)
	o, orders := holder(is)
	is.Equal(len(orders), 2)
	now := core.Instant(2 * time.Second)
	is.Equal(len(o.Resign(now)), 0)
	is.Equal(len(o.OnOrderResult(now, "checks", Done)), 0)
	is.Equal(len(o.OnOrderResult(now, "ignores", Failed)), 0)
	is.Equal(len(o.Tick(now.Add(10*time.Second))), 0)
	outs := o.Tick(now.Add(11 * time.Second))
	is.Equal(len(outs), 1)
	lease, err := decodeLease(outs[0].(WriteLease).Value)
	is.NoErr(err)
	is.True(lease.Released)
}
