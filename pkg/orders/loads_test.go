package orders

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/rhubarbsill/rhubarbsill/pkg/core"
)

// newLimitedController returns the holder of a service of three Upstreams that may load two at
// a time, with the orders of its first turn.
func newLimitedController(is *is.I, reported bool) (*Controller, []Output) {
	is.Helper()
	c := New(core.InstanceRef{ID: "entry-1", Incarnation: 1},
		Params{MaxLoads: 2, Random: randomSource{rand.New(rand.NewPCG(1, 1))}})
	var want []DesiredState
	for i := range 3 {
		want = append(want, DesiredState{Upstream: core.UpstreamID(fmt.Sprint("e", i)), State: State{Model: "letra"}})
	}
	c.SetDesired(0, 1, want)
	c.Tick(0)
	c.OnLeaseRead(0, nil, 0, false)
	if !reported {
		for _, d := range want {
			c.OnServedState(0, d.Upstream, State{})
		}
		return c, c.OnLeaseWritten(1, 7)
	}
	c.OnLeaseWritten(1, 7)
	var outs []Output
	for _, d := range want {
		outs = append(outs, c.OnServedState(1, d.Upstream, State{})...)
	}
	return c, outs
}

// Guards against more loads at a time than the weight store bears: a load ends
// with the report that shows it, not with the answer to the order.
func TestLoadsAreLimited(t *testing.T) {
	is := is.New(t)
	c, outs := newLimitedController(is, true)
	is.Equal(len(outs), 2)
	now := core.Instant(time.Second)
	is.Equal(len(c.OnOrderResult(now, "e0", Done)), 0)
	is.Equal(len(c.OnStateReport(now, "e0", Report{Loading: State{Model: "letra"}})), 0)
	outs = c.OnServedState(now.Add(time.Second), "e0", State{Model: "letra"})
	is.Equal(len(outs), 1)
	is.Equal(outs[0].(Order).Upstream, core.UpstreamID("e2"))
}

// Guards against a new holder that orders loads while those that the holder
// before has ordered still run.
func TestNewHolderReadsBeforeItOrdersLoads(t *testing.T) {
	is := is.New(t)
	c, outs := newLimitedController(is, false)
	is.Equal(len(outs), 0)
	now := core.Instant(time.Second)
	is.Equal(len(c.ReportsNeeded(now)), 3)
	loading := Report{Loading: State{Model: "letra"}}
	is.Equal(len(c.OnServedState(now, "e0", State{})), 0) // e1 and e2 may both be loading
	is.Equal(len(c.OnStateReport(now, "e0", loading)), 0)
	is.Equal(len(c.OnStateReport(now, "e1", loading)), 0)
	is.Equal(len(c.OnServedState(now, "e2", State{})), 0)
	is.Equal(len(c.OnServedState(now.Add(time.Second), "e1", State{Model: "letra"})), 1)

	c, _ = newLimitedController(is, false)
	is.Equal(len(c.OnServedState(now, "e0", State{Model: "letra"})), 0)
	is.Equal(len(c.OnServedState(now, "e1", State{Model: "letra"})), 0) // e2 may be loading an older version
	is.Equal(len(c.OnServedState(now, "e2", State{})), 1)
}

// Guards against a lease that is released while an order may still be executed:
// the successor takes it at once, and an engine that ignores fencing would execute
// the older holder's order after the newer one's.
func TestResignWaitsForOrders(t *testing.T) {
	is := is.New(t)
	c, orders := newHolder(is)
	is.Equal(len(orders), 2)
	now := core.Instant(2 * time.Second)
	is.Equal(len(c.Resign(now)), 0)
	is.Equal(len(c.OnOrderResult(now, "checks", Done)), 0)
	is.Equal(len(c.OnOrderResult(now, "ignores", Failed)), 0)
	is.Equal(len(c.Tick(now.Add(10*time.Second))), 0)
	outs := c.Tick(now.Add(11 * time.Second))
	is.Equal(len(outs), 1)
	lease, err := decodeLease(outs[0].(WriteLease).Value)
	is.NoErr(err)
	is.True(lease.Released)
}
