package server

import (
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"

	"github.com/rhubarbsill/rhubarbsill/pkg/core"
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

// Guards against an order that is sent by the holder of a lease that ended while its machine
// was suspended: the monotonic clock of Go does not count that time.
func TestOrderIsNotSentAfterASuspension(t *testing.T) {
	is := is.New(t)
	var booted atomic.Int64
	s := &Server{clock: clock{bootTime: func() time.Duration { return time.Duration(booted.Load()) }}, events: make(chan router.Event, 1)}
	order := router.SendOrder{Upstream: "d1", NotAfter: s.clock.now().Add(time.Second), TimeLimit: time.Second}
	stalls := stallDetector{maxStall: maxStall, lastCheck: s.clock.now()}
	booted.Add(int64(10 * time.Second))
	s.sendOrder(t.Context(), order)
	is.Equal(<-s.events, router.Event(router.EffectExpired{Effect: order}))
	is.True(stalls.check(s.clock.now()))
	is.True(!stalls.check(s.clock.now()))
}

// Guards against an order that is written after its NotAfter because the connection took
// long or the process was paused in between.
func TestOrderIsNotWrittenAfterItsNotAfter(t *testing.T) {
	is := is.New(t)
	var complete atomic.Int64
	engine := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		if _, err := io.ReadAll(r.Body); err == nil {
			complete.Add(1)
		}
	}))
	defer engine.Close()
	var reads atomic.Int64
	paused := clock{bootTime: func() time.Duration {
		if reads.Add(1) == 1 { // before the connection
			return 0
		}
		return 10 * time.Second
	}}
	s := &Server{clock: paused, events: make(chan router.Event, 1), log: zap.NewNop()}
	s.upstreams.Store(upstream.New(upstream.Options{}))
	order := router.SendOrder{Upstream: "d1", URL: engine.URL, NotAfter: core.Instant(time.Second), TimeLimit: time.Second}
	s.sendOrder(t.Context(), order)
	is.Equal(<-s.events, router.Event(router.EffectExpired{Effect: order}))
	engine.Close() // waits for the handler
	is.Equal(complete.Load(), int64(0))
}

// Guards against a stale order that is retried like a failed one.
func TestOrderResult(t *testing.T) {
	is := is.New(t)
	is.Equal(orderResult(nil), orders.Done)
	is.Equal(orderResult(&upstream.Error{Code: upstream.CodeStaleFence}), orders.Stale)
	is.Equal(orderResult(&upstream.Error{Kind: upstream.ConnectFailed}), orders.Failed)
	is.Equal(orderResult(errors.New("other")), orders.Failed)
}
