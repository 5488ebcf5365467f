package server

import (
	"errors"
	"testing"

	"github.com/matryer/is"

	"github.com/rhubarbsill/rhubarbsill/pkg/orders"
	"github.com/rhubarbsill/rhubarbsill/pkg/router"
	"github.com/rhubarbsill/rhubarbsill/pkg/upstream"
)

// Guards against an order that is sent after its NotAfter, which can pass while the
// daemon is busy. The Server has no Upstream client, so sending would panic.
func TestLateOrderIsNotSent(t *testing.T) {
	is := is.New(t)
	s := &Server{clock: newClock(), events: make(chan router.Event, 1)}
	late := router.SendOrder{Upstream: "d1", NotAfter: s.clock.now()}
	s.sendOrder(t.Context(), late)
	is.Equal(<-s.events, router.Event(router.EffectExpired{Effect: late}))
}

// Guards against a stale order that is retried like a failed one.
func TestOrderResult(t *testing.T) {
	is := is.New(t)
	is.Equal(orderResult(nil), orders.Done)
	is.Equal(orderResult(&upstream.Error{Code: upstream.CodeStaleFence}), orders.Stale)
	is.Equal(orderResult(&upstream.Error{Kind: upstream.ConnectFailed}), orders.Failed)
	is.Equal(orderResult(errors.New("other")), orders.Failed)
}
