package orders

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/rhubarbsill/rhubarbsill/pkg/core"
)

// newLimitedController returns the holder of the lease of a service with three Upstreams
// and MaxLoads 2, and its first Outputs as the holder. The Upstreams' reports arrive
// before it acquires the lease, or after if reportsAfter is set.
func newLimitedController(is *is.I, reportsAfter bool) (*Controller, []Output) {
	is.Helper()
	c := New(core.InstanceRef{ID: "entry-1", Incarnation: 1},
		Params{MaxLoads: 2, Random: randomSource{rand.New(rand.NewPCG(1, 1))}})
	var desired []DesiredState
	for i := range 3 {
		desired = append(desired, DesiredState{Upstream: core.UpstreamID(fmt.Sprint("e", i)), State: State{Model: "letra"}})
	}
	c.SetDesired(0, 1, desired)
	c.Tick(0)
	c.OnLeaseRead(0, nil, 0, false)
	if !reportsAfter {
		for _, d := range desired {
			c.OnServedState(0, d.Upstream, State{})
		}
		return c, c.OnLeaseWritten(1, 7)
	}
	c.OnLeaseWritten(1, 7)
	var outs []Output
	for _, d := range desired {
		outs = append(outs, c.OnServedState(1, d.Upstream, State{})...)
	}
	return c, outs
}

// Guards against more concurrent loads than MaxLoads, which protects the weight store:
// a load ends with the report that shows it, not with the result of the order.
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

// Guards against a new holder that orders loads while those that the previous holder
// ordered are still in progress.
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

// Guards against a lease that is released while an order may still be executed: the
// next holder acquires it immediately, and an engine that ignores fencing tokens would
// execute the older holder's order after the newer one's.
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
