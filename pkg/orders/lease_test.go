package orders

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/rhubarbsill/rhubarbsill/pkg/core"
)

var desiredStates = []DesiredState{
	{Upstream: "checks", State: State{Model: "letra"}, ChecksFencing: true},
	{Upstream: "ignores", State: State{Model: "letra"}},
}

// newHolder returns a Controller that has held the lease since instant 0, with version 1
// of the configuration, and the orders that it has sent.
func newHolder(is *is.I) (*Controller, []Order) {
	c := New(core.InstanceRef{ID: "entry-1", Incarnation: 1}, Params{Random: randomSource{rand.New(rand.NewPCG(1, 1))}})
	c.SetDesired(0, 1, desiredStates)
	c.OnServedState(0, "checks", State{})
	c.OnServedState(0, "ignores", State{})
	outs := c.OnLeaseRead(0, nil, 0, false)
	is.Equal(len(outs), 1) // the write of the lease
	var orders []Order
	for _, out := range c.OnLeaseWritten(core.Instant(time.Second), 7) {
		orders = append(orders, out.(Order))
	}
	return c, orders
}

// Guards against an order that may be executed after the holder's term, and against a
// term that counts from the reply of the store instead of the sending of the write.
func TestOrderEndsWithinTerm(t *testing.T) {
	is := is.New(t)
	c, orders := newHolder(is)
	term := core.Instant(30 * time.Second * 98 / 100)
	is.Equal(len(orders), 2)
	is.Equal(orders[0].Fence, core.FencingToken(7))
	is.Equal(orders[0].NotAfter, term-1)
	is.Equal(orders[1].NotAfter, (term - 1).Add(-10*time.Second*102/100))
	_, holds := c.LeaseFence(term - 1)
	is.True(holds)
	_, holds = c.LeaseFence(term)
	is.True(!holds)
}

// Guards against a candidate that takes over during the term of a holder whose clock is
// 2% slower.
func TestCandidateWaitsLongerThanTerm(t *testing.T) {
	is := is.New(t)
	c := New(core.InstanceRef{ID: "entry-2"}, Params{Random: randomSource{rand.New(rand.NewPCG(1, 1))}})
	c.Tick(0)
	lease := []byte(`{"holder":{"id":"entry-1","incarnation":1},"fence":7,"nonce":"x"}`)
	c.OnLeaseRead(0, lease, 9, true)
	takeOver := core.Instant(30 * time.Second * 102 / 100)
	is.Equal(c.Tick(takeOver-1), []Output{ReadLease{}})
	outs := c.OnLeaseRead(takeOver, lease, 9, true)
	is.Equal(outs[0].(WriteLease).Base, uint64(9))
}

// Guards against a holder that sends orders for a configuration that its lease does not
// record: the next holder could then send orders for an older one.
func TestConfigurationIsRecordedBeforeOrders(t *testing.T) {
	is := is.New(t)
	c, _ := newHolder(is)
	now := core.Instant(2 * time.Second)
	c.OnOrderResult(now, "checks", Done)
	now = now.Add(2 * time.Second)
	outs := c.SetDesired(now, 2, desiredStates)
	is.Equal(len(outs), 1) // the write of the lease and no order
	is.Equal(outs[0].(WriteLease).Base, uint64(7))
	outs = c.OnLeaseWritten(now, 8)
	is.Equal(len(outs), 1)
	is.Equal(outs[0].(Order).Fence, core.FencingToken(7)) // a renewal keeps the fencing token
}

// Guards against the late success of an earlier write that counts as the success of the
// write after it: two Instances would then hold the lease.
func TestLateSuccessDoesNotAcquireTheLease(t *testing.T) {
	is := is.New(t)
	c := New(core.InstanceRef{ID: "entry-1"}, Params{Random: randomSource{rand.New(rand.NewPCG(1, 1))}})
	c.Tick(0)
	c.OnLeaseRead(0, nil, 0, false)
	is.Equal(len(c.OnLeaseWriteFailed(0, WriteOutcomeUnknown)), 0)
	now := core.Instant(2 * time.Second)
	is.Equal(c.Tick(now), []Output{ReadLease{}})
	c.OnLeaseRead(now, nil, 0, false)
	now = now.Add(2 * time.Second)
	_, second := c.Tick(now)[0].(WriteLease)
	is.True(second)
	is.Equal(c.OnLeaseWritten(now, 1), []Output{ReadLease{}})
	_, holds := c.LeaseFence(now)
	is.True(!holds)
}
