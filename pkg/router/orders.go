package router

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/rhubarbsill/rhubarbsill/pkg/config"
	"github.com/rhubarbsill/rhubarbsill/pkg/core"
	"github.com/rhubarbsill/rhubarbsill/pkg/membership"
	"github.com/rhubarbsill/rhubarbsill/pkg/orders"
	"github.com/rhubarbsill/rhubarbsill/pkg/timeline"
)

const (
	ordersPrefix = "orders/"
	// leaseCandidates is the number of Instances that compete for the lease of a
	// service. If all Instances competed, the reads of the lease would grow with
	// the fleet, but the store's rate limit does not.
	leaseCandidates = 3
	// defaultMaxLoads is the default limit of concurrent model loads per service.
	defaultMaxLoads = 4
	// pendingPollInterval is the interval at which the lease holder polls an
	// Upstream with a pending order.
	pendingPollInterval = time.Second
	// servedStateInterval is the interval at which the served states are sent
	// again to all Instances, in case a message was lost. Changes are sent
	// immediately.
	servedStateInterval = 30 * time.Second
	// noticeTransitAllowance is added to the age of a report in a notice to cover
	// its time in transit. Without it, an older report could replace one that the
	// lease holder has polled itself.
	noticeTransitAllowance = time.Second
	// leaseWriteTimeout is the time within which a write of the lease must be
	// sent.
	leaseWriteTimeout = 5 * time.Second
)

// SendOrder orders an engine to serve the desired state. The daemon aborts the
// call after TimeLimit and reports the result with OrderResult.
type SendOrder struct {
	Service      core.ServiceName
	Upstream     core.UpstreamID
	URL          string
	Fence        core.FencingToken
	DesiredState orders.State
	NotAfter     core.Instant
	TimeLimit    time.Duration
}

// OrderResult is the result of a SendOrder.
type OrderResult struct {
	Service  core.ServiceName
	Upstream core.UpstreamID
	Fence    core.FencingToken
	Result   orders.Result
}

// ServedStateNotice reports the served states of Upstreams to all Instances.
type ServedStateNotice struct{ Upstreams []UpstreamServedState }

// UpstreamServedState is the served state of one Upstream.
type UpstreamServedState struct {
	Upstream core.UpstreamID
	Report   orders.Report
	// Age is the age of the report when the notice was sent.
	Age time.Duration
}

func (SendOrder) effect()  {}
func (OrderResult) event() {}

// serviceOrders is the state of this Instance as a candidate for the order lease
// of one service.
type serviceOrders struct {
	controller *orders.Controller
	fence      core.FencingToken // of the current term, 0 without the lease
	resigning  bool              // until the lease is released or has ended
}

// servedReport is the latest report of the state that an Upstream serves.
type servedReport struct {
	report     orders.Report
	observedAt core.Instant
}

// orderState is the state of the orders of all services.
type orderState struct {
	services map[core.ServiceName]*serviceOrders
	served   map[core.UpstreamID]servedReport
	// nextNoticeAt is the instant of the next full ServedStateNotice, nextPollAt
	// that of the lease holder's next polls.
	nextNoticeAt core.Instant
	nextPollAt   core.Instant
}

func newOrderState() orderState {
	return orderState{
		services:     map[core.ServiceName]*serviceOrders{},
		served:       map[core.UpstreamID]servedReport{},
		nextNoticeAt: core.Never,
		nextPollAt:   core.Never,
	}
}

func (d *orderState) nextWake() core.Instant {
	wake := min(d.nextNoticeAt, d.nextPollAt)
	for _, s := range d.services {
		wake = min(wake, s.controller.NextWake())
	}
	return wake
}

// desiredStates returns the desired states of the Upstreams of a service, nil
// when it has none.
func desiredStates(s *config.Service) []orders.DesiredState {
	var list []orders.DesiredState
	for _, up := range s.Upstreams {
		if up.DesiredState == nil {
			continue
		}
		state := orders.State{
			Model: up.DesiredState.Model, Adapter: up.DesiredState.Adapter, Version: up.DesiredState.Version, Role: string(up.Role),
		}
		list = append(list, orders.DesiredState{Upstream: up.ID, State: state, ChecksFencing: up.ChecksFencing})
	}
	return list
}

// updateOrders applies a new configuration or roster. Each candidate of a service
// runs a Controller for it. An Instance that is no longer a candidate releases
// the lease.
func (r *Router) updateOrders(now core.Instant) {
	if r.snapshot == nil {
		return
	}
	for id := range r.orders.served {
		if _, known := r.upstreams[id]; !known {
			delete(r.orders.served, id)
		}
	}
	desired := map[core.ServiceName][]orders.DesiredState{}
	for _, service := range r.snapshot.Services() {
		if want := desiredStates(service); len(want) > 0 {
			desired[service.Name] = want
		}
	}
	for _, name := range slices.Sorted(maps.Keys(r.orders.services)) {
		if desired[name] == nil {
			r.resignService(now, name)
		}
	}
	for _, name := range slices.Sorted(maps.Keys(desired)) {
		r.updateServiceOrders(now, name, desired[name])
	}
	r.orders.nextNoticeAt = now // a new member has received no served states
}

func (r *Router) updateServiceOrders(now core.Instant, name core.ServiceName, want []orders.DesiredState) {
	home := membership.HomeSet(r.membership.Roster(), core.AccountID(ordersPrefix+name), leaseCandidates)
	candidate := slices.Contains(home, r.self.Ref.ID) && !r.leaving
	s := r.orders.services[name]
	started := s == nil
	switch {
	case s == nil && !candidate, s != nil && s.resigning:
		return
	case s == nil:
		s = &serviceOrders{controller: orders.New(r.self.Ref, r.params.Orders)}
		r.orders.services[name] = s
	case !candidate:
		r.resignService(now, name)
		return
	}
	r.applyOrders(now, name, s.controller.SetDesired(now, r.snapshot.Version(), want))
	if started {
		r.replayReports(now, name, s, want)
	}
}

// replayReports passes the known reports of the Upstreams to a new Controller.
func (r *Router) replayReports(now core.Instant, name core.ServiceName, s *serviceOrders, want []orders.DesiredState) {
	for _, d := range want {
		if known, reported := r.orders.served[d.Upstream]; reported {
			r.applyOrders(now, name, s.controller.OnStateReport(now, d.Upstream, known.report))
		}
	}
}

func holdsLease(now core.Instant, s *serviceOrders) bool {
	_, held := s.controller.LeaseFence(now)
	return held
}

// resignService releases the lease of a service. The Controller is kept until the
// lease is released or has ended, because orders may still be in flight.
func (r *Router) resignService(now core.Instant, name core.ServiceName) {
	s := r.orders.services[name]
	if !s.resigning {
		s.resigning = true
		r.applyOrders(now, name, s.controller.Resign(now))
	}
	r.removeReleased(now, name)
}

// removeReleased removes the Controller of a service that has resigned and no
// longer holds the lease. It reports whether it did.
func (r *Router) removeReleased(now core.Instant, name core.ServiceName) bool {
	s := r.orders.services[name]
	if s == nil || !s.resigning || holdsLease(now, s) {
		return false
	}
	delete(r.orders.services, name)
	return true
}

// resignAllServices releases all leases for a graceful shutdown.
func (r *Router) resignAllServices(now core.Instant) {
	for _, name := range slices.Sorted(maps.Keys(r.orders.services)) {
		r.resignService(now, name)
	}
}

// resetOrders continues as a new incarnation without a lease.
func (r *Router) resetOrders(now core.Instant) {
	for _, name := range slices.Sorted(maps.Keys(r.orders.services)) {
		r.applyOrders(now, name, r.orders.services[name].controller.Reset(now, r.self.Ref))
	}
}

func (r *Router) tickOrders(now core.Instant) {
	poll := now >= r.orders.nextPollAt
	if poll {
		r.orders.nextPollAt = core.Never
	}
	removed := false
	for _, name := range slices.Sorted(maps.Keys(r.orders.services)) {
		s := r.orders.services[name]
		if now >= s.controller.NextWake() {
			r.applyOrders(now, name, s.controller.Tick(now))
		}
		if poll {
			r.pollPending(now, s)
		}
		removed = r.removeReleased(now, name) || removed
	}
	if removed {
		r.updateOrders(now) // the service may have a desired state again
	}
	if now >= r.orders.nextNoticeAt {
		r.orders.nextNoticeAt = now.Add(servedStateInterval)
		r.publishServedState(now, r.polls.upstreams)
	}
}

// pollPending polls the Upstreams for which the lease holder has pending orders.
// The Instance that polls an Upstream for placement may be in another region.
func (r *Router) pollPending(now core.Instant, s *serviceOrders) {
	for _, up := range s.controller.ReportsNeeded(now) {
		r.orders.nextPollAt = now.Add(pendingPollInterval)
		if holder, _ := r.placement.LedgerHolder(up); holder != r.self.Ref.ID {
			r.pollLoad(up)
		}
	}
}

func (r *Router) applyOrders(now core.Instant, name core.ServiceName, outputs []orders.Output) {
	op := StoreOp{Kind: OpOrders, Service: name}
	for _, output := range outputs {
		switch o := output.(type) {
		case orders.ReadLease:
			r.emit(StoreGet{Op: op, Name: ordersPrefix + string(name)})
		case orders.WriteLease:
			op.Write = true
			r.emit(StorePut{
				Op: op, Name: ordersPrefix + string(name), Base: o.Base, Value: o.Value, NotAfter: now.Add(leaseWriteTimeout),
			})
		case orders.Order:
			r.recordOrder("sent", name, o.Upstream, fmt.Sprintf("fence=%d %s", o.Fence, describeState(o.State)))
			r.emit(SendOrder{
				Service: name, Upstream: o.Upstream, URL: r.upstreams[o.Upstream].url, Fence: o.Fence, DesiredState: o.State,
				NotAfter: o.NotAfter, TimeLimit: o.TimeLimit,
			})
		}
	}
	r.updateLease(now, name)
}

// updateLease records the acquisition of the lease and starts the polls of the
// lease holder.
func (r *Router) updateLease(now core.Instant, name core.ServiceName) {
	s := r.orders.services[name]
	if s == nil {
		return
	}
	fence, held := s.controller.LeaseFence(now)
	if !held {
		s.fence = 0
		return
	}
	if s.fence != fence {
		s.fence = fence
		r.recordOrder("lease_acquired", name, "", fmt.Sprintf("fence=%d", fence))
	}
	if r.orders.nextPollAt == core.Never && len(s.controller.ReportsNeeded(now)) > 0 {
		r.orders.nextPollAt = now
	}
}

func describeState(s orders.State) string {
	return fmt.Sprintf("model=%s adapter=%s version=%s role=%s", s.Model, s.Adapter, s.Version, s.Role)
}

func (r *Router) recordOrder(kind string, name core.ServiceName, up core.UpstreamID, detail string) {
	r.emit(Record{Event: timeline.Event{
		Component: "orders", Kind: kind, Upstream: up, Detail: "service=" + string(name) + " " + detail,
	}})
}

func (r *Router) onLeaseReply(now core.Instant, e StoreReplied) {
	name := e.Op.Service
	s := r.orders.services[name]
	if s == nil {
		return
	}
	var outputs []orders.Output
	switch {
	case !e.Op.Write && e.Failure == "":
		outputs = s.controller.OnLeaseRead(now, e.Value, e.Version, true)
	case !e.Op.Write && e.Failure == StoreNotFound:
		outputs = s.controller.OnLeaseRead(now, nil, 0, false)
	case !e.Op.Write:
		outputs = s.controller.OnLeaseReadFailed(now)
	case e.Failure == "":
		outputs = s.controller.OnLeaseWritten(now, e.Version)
	case e.Failure == StoreConflict, e.Failure == StoreNotFound:
		outputs = s.controller.OnLeaseWriteFailed(now, orders.Conflict)
	case e.Failure == StoreOutcomeUnknown:
		outputs = s.controller.OnLeaseWriteFailed(now, orders.WriteOutcomeUnknown)
	default:
		outputs = s.controller.OnLeaseWriteFailed(now, orders.Unavailable)
	}
	r.applyOrders(now, name, outputs)
	r.removeReleased(now, name)
}

func (r *Router) onOrderResult(now core.Instant, e OrderResult) {
	kinds := map[orders.Result]string{
		orders.Done: "accepted", orders.Failed: "failed", orders.Expired: "expired", orders.Stale: "stale",
	}
	r.recordOrder(kinds[e.Result], e.Service, e.Upstream, fmt.Sprintf("fence=%d", e.Fence))
	s := r.orders.services[e.Service]
	if s == nil {
		return
	}
	// The reply to an order of a previous term does not apply to this one.
	if fence, _ := s.controller.LeaseFence(now); e.Result == orders.Stale && fence != e.Fence {
		return
	}
	r.applyOrders(now, e.Service, s.controller.OnOrderResult(now, e.Upstream, e.Result))
}

// onServedState applies the served state of an Upstream, reported by the Upstream
// or by a peer.
func (r *Router) onServedState(now core.Instant, up core.UpstreamID, report orders.Report, observedAt core.Instant) {
	entry, known := r.upstreams[up]
	previous, reported := r.orders.served[up]
	if !known || reported && observedAt <= previous.observedAt {
		return
	}
	r.orders.served[up] = servedReport{report: report, observedAt: observedAt}
	if changed := !reported || previous.report != report; changed {
		if holder, _ := r.placement.LedgerHolder(up); holder == r.self.Ref.ID {
			r.publishServedState(now, []core.UpstreamID{up})
		}
	}
	if !reported || previous.report.Serves.Model != report.Serves.Model || previous.report.Serves.Role != report.Serves.Role {
		r.applyPlacement(now, r.placement.SetTopology(now, r.topology()))
	}
	s := r.orders.services[entry.service]
	if s == nil {
		return
	}
	wasPending := slices.Contains(s.controller.OutOfSync(), up)
	r.applyOrders(now, entry.service, s.controller.OnStateReport(now, up, report))
	if reported && wasPending && holdsLease(now, s) && !slices.Contains(s.controller.OutOfSync(), up) {
		r.recordOrder("done", entry.service, up, describeState(report.Serves))
	}
}

// publishServedState sends the served states to all members. Other regions need
// them, too: the lease holder of a service may be there, and requests may be
// placed across regions.
func (r *Router) publishServedState(now core.Instant, list []core.UpstreamID) {
	var notice ServedStateNotice
	for _, up := range list {
		if known, reported := r.orders.served[up]; reported {
			notice.Upstreams = append(notice.Upstreams, UpstreamServedState{Upstream: up, Report: known.report, Age: now.Sub(known.observedAt)})
		}
	}
	if len(notice.Upstreams) == 0 {
		return
	}
	for _, member := range r.membership.Roster().Members {
		if member.Ref.ID != r.self.Ref.ID {
			r.emit(SendPeerMessage{To: member.Ref.ID, Addr: member.PeerAddr, Message: Message{Serves: &notice}, NotAfter: core.Never})
		}
	}
}

func (r *Router) onServedStateNotice(now core.Instant, notice *ServedStateNotice) {
	for _, u := range notice.Upstreams {
		r.onServedState(now, u.Upstream, u.Report, now.Add(-u.Age-noticeTransitAllowance))
	}
}

// noModel is never the name of a model: Parse rejects it.
const noModel = core.ModelName(" ")

// usableModels returns the models for which an engine may get work. An engine
// gets work only for the model and in the role that it reports. One that has a
// desired state but has not reported gets no work. It stays in the topology,
// which decides which Instance polls it.
func (r *Router) usableModels(up *config.Upstream) []core.ModelName {
	known, reported := r.orders.served[up.ID]
	serves := known.report.Serves
	switch {
	case !reported && up.DesiredState == nil:
		return up.Models
	case !reported || serves.Role != string(up.Role):
		return []core.ModelName{noModel}
	case serves.Model == "" && up.DesiredState == nil:
		return up.Models // an engine without orders serves every configured model
	case len(up.Models) > 0 && !slices.Contains(up.Models, serves.Model):
		return []core.ModelName{noModel}
	}
	return []core.ModelName{serves.Model}
}

// OrdersView is the status page's view of the orders of a service, at the
// candidates for its lease.
type OrdersView struct {
	Service core.ServiceName `json:"service"`
	// Fence is the fencing token of the lease, 0 when another Instance holds it.
	Fence core.FencingToken `json:"fence"`
	// OutOfSync lists the Upstreams that are not in their desired state.
	OutOfSync []core.UpstreamID `json:"differing"`
}

func (r *Router) ordersView(now core.Instant) []OrdersView {
	var list []OrdersView
	for _, name := range slices.Sorted(maps.Keys(r.orders.services)) {
		s := r.orders.services[name]
		view := OrdersView{Service: name, OutOfSync: s.controller.OutOfSync()}
		if fence, held := s.controller.LeaseFence(now); held {
			view.Fence = fence
		}
		list = append(list, view)
	}
	return list
}
