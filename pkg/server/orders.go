package server

import (
	"context"
	"errors"

	"go.uber.org/zap"

	"github.com/rhubarbsill/rhubarbsill/pkg/core"
	"github.com/rhubarbsill/rhubarbsill/pkg/orders"
	"github.com/rhubarbsill/rhubarbsill/pkg/router"
	"github.com/rhubarbsill/rhubarbsill/pkg/telemetry"
	"github.com/rhubarbsill/rhubarbsill/pkg/upstream"
)

// sendOrder sends an order to an engine unless NotAfter has passed, and cancels the
// call after TimeLimit.
func (s *Server) sendOrder(ctx context.Context, e router.SendOrder) {
	if s.clock.now() >= e.NotAfter {
		s.post(router.EffectExpired{Effect: e})
		return
	}
	ctx, cancel := context.WithTimeout(ctx, e.TimeLimit)
	defer cancel()
	ctx = upstream.WithPermission(ctx, func() bool { return s.clock.now() < e.NotAfter })
	err := s.upstreams.Load().Order(ctx, e.URL, upstream.OrderRequest{State: toWireState(e.DesiredState), Fence: e.Fence})
	if errors.Is(err, upstream.ErrNotPermitted) {
		s.post(router.EffectExpired{Effect: e})
		return
	}
	if err != nil {
		telemetry.ComponentLogger(s.log, "orders").Warn("order failed", zap.String("upstream", string(e.Upstream)), zap.Error(err))
	}
	s.post(router.OrderResult{Service: e.Service, Upstream: e.Upstream, Fence: e.Fence, Result: orderResult(err)})
}

func orderResult(err error) orders.Result {
	var upstreamError *upstream.Error
	switch {
	case err == nil:
		return orders.Done
	case errors.As(err, &upstreamError) && upstreamError.Code == upstream.CodeStaleFence:
		return orders.Stale
	}
	return orders.Failed
}

func toWireState(s orders.State) upstream.EngineState {
	return upstream.EngineState{Model: string(s.Model), Adapter: s.Adapter, Version: s.Version, Role: s.Role}
}

func fromWireState(s *upstream.EngineState) orders.State {
	if s == nil {
		return orders.State{}
	}
	return orders.State{Model: core.ModelName(s.Model), Adapter: s.Adapter, Version: s.Version, Role: s.Role}
}

// toServingReport returns nil for an Upstream that does not report what it serves.
func toServingReport(report upstream.LoadReport) *orders.Report {
	if report.State == nil {
		return nil
	}
	return &orders.Report{Serves: fromWireState(report.State), Loading: fromWireState(report.Loading)}
}
