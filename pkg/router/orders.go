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
	// service. If all Instances did, the reads of the lease would grow with the
	// fleet, which the store's rate limit does not.
	leaseCandidates = 3
	// defaultMaxLoads is the bound of simultaneous loads of one service.
	defaultMaxLoads = 4
	// pendingPollInterval is the time between two polls of an Upstream by the holder.
	pendingPollInterval = time.Second
	// servedStateInterval is the time after which what the Upstreams serve is told again
	// to all Instances, since a message may be lost. Changes are told at once.
	servedStateInterval = 30 * time.Second
	// noticeTransitAllowance is added to the age of a report in a notice, for its time on
	// the way: an older report would otherwise replace one that the holder has
	// polled itself.
	noticeTransitAllowance = time.Second
	// leaseWriteTimeout is the time within which a write of the lease must be sent.
	leaseWriteTimeout = 5 * time.Second
)

// SendOrder asks an engine to take a state. The daemon gives it up after
// TimeLimit and answers with OrderResult.
type SendOrder struct {
	Service      core.ServiceName
	Upstream     core.UpstreamID
	URL          string
	Fence        core.FencingToken
	DesiredState orders.State
	NotAfter     core.Instant
	TimeLimit    time.Duration
}

// OrderResult is what became of a SendOrder.
type OrderResult struct {
	Service  core.ServiceName
	Upstream core.UpstreamID
	Fence    core.FencingToken
	Result   orders.Result
}

// ServedStateNotice tells all Instances what the Upstreams that the sender polls serve.
type ServedStateNotice struct{ Upstreams []UpstreamServedState }

// UpstreamServedState is what one Upstream serves.
type UpstreamServedState struct {
	Upstream core.UpstreamID
	Report   orders.Report
	// Age is the age of the report when the notice was sent.
	Age time.Duration
}

func (SendOrder) effect()  {}
func (OrderResult) event() {}

// serviceOrders is the part of this Instance in the orders of one service.
type serviceOrders struct {
	controller *orders.Controller
	fence      core.FencingToken // of the present term, as last recorded
	resigning  bool              // resigned, until the lease is given up
}

// servedReport is the latest report of what an Upstream serves.
type servedReport struct {
	report     orders.Report
	observedAt core.Instant
}

// orderState holds the orders of all services.
type orderState struct {
	services map[core.ServiceName]*serviceOrders
	served   map[core.UpstreamID]servedReport
	// nextNoticeAt is the time of the next ServedStateNotice, nextPoll that of the
	// holder's next polls.
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

// desiredStates returns the desired states of a service, none when it gives no orders.
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

// updateOrders takes over a new configuration or roster. A service has a Controller at
// its candidates. An Instance that is no longer one gives the lease up.
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
	r.orders.nextNoticeAt = now // a new member knows nothing
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

// replayReports gives a new Controller what the Upstreams serve.
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

// resignService gives the lease of a service up. The Controller stays until the lease
// is released or over, since orders may still be on their way.
func (r *Router) resignService(now core.Instant, name core.ServiceName) {
	s := r.orders.services[name]
	if !s.resigning {
		s.resigning = true
		r.applyOrders(now, name, s.controller.Resign(now))
	}
	r.removeReleased(now, name)
}

// removeReleased reports whether it has dropped the Controller of the service.
func (r *Router) removeReleased(now core.Instant, name core.ServiceName) bool {
	s := r.orders.services[name]
	if s == nil || !s.resigning || holdsLease(now, s) {
		return false
	}
	delete(r.orders.services, name)
	return true
}

// resignAllServices gives all leases up for a graceful shutdown.
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
	forgot := false
	for _, name := range slices.Sorted(maps.Keys(r.orders.services)) {
		s := r.orders.services[name]
		if now >= s.controller.NextWake() {
			r.applyOrders(now, name, s.controller.Tick(now))
		}
		if poll {
			r.pollPending(now, s)
		}
		forgot = r.removeReleased(now, name) || forgot
	}
	if forgot {
		r.updateOrders(now) // the service may have a desired state again
	}
	if now >= r.orders.nextNoticeAt {
		r.orders.nextNoticeAt = now.Add(servedStateInterval)
		r.publishServedState(now, r.polls.upstreams)
	}
}

// pollPending lets the holder read the Upstreams that it has orders for. The
// Instance that polls an Upstream for placement may be in another region.
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

// updateLease records that the lease was acquired, and starts the holder's polls.
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
	// The answer to an order of an earlier term says nothing about this one.
	if fence, _ := s.controller.LeaseFence(now); e.Result == orders.Stale && fence != e.Fence {
		return
	}
	r.applyOrders(now, e.Service, s.controller.OnOrderResult(now, e.Upstream, e.Result))
}

// onServedState takes in what an Upstream serves, from its report or from a peer.
func (r *Router) onServedState(now core.Instant, up core.UpstreamID, report orders.Report, asOf core.Instant) {
	entry, known := r.upstreams[up]
	before, reported := r.orders.served[up]
	if !known || reported && asOf <= before.observedAt {
		return
	}
	r.orders.served[up] = servedReport{report: report, observedAt: asOf}
	if changed := !reported || before.report != report; changed {
		if holder, _ := r.placement.LedgerHolder(up); holder == r.self.Ref.ID {
			r.publishServedState(now, []core.UpstreamID{up})
		}
	}
	if !reported || before.report.Serves.Model != report.Serves.Model || before.report.Serves.Role != report.Serves.Role {
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

// publishServedState passes on what the Upstreams serve. Other regions need it, too: the
// holder of a service may be there, and requests may be placed across regions.
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

// noModel is no model's name: Parse refuses it.
const noModel = core.ModelName(" ")

// usableModels returns the models for which an engine may get work. An engine
// works for the model that it reports, and only in the role that it reports; one
// that is to be ordered and has not reported gets none. It stays in the topology,
// which decides who reads its reports.
func (r *Router) usableModels(up *config.Upstream) []core.ModelName {
	known, reported := r.orders.served[up.ID]
	serves := known.report.Serves
	switch {
	case !reported && up.DesiredState == nil:
		return up.Models
	case !reported || serves.Role != string(up.Role):
		return []core.ModelName{noModel}
	case serves.Model == "" && up.DesiredState == nil:
		return up.Models // it has no orders and serves every model
	case len(up.Models) > 0 && !slices.Contains(up.Models, serves.Model):
		return []core.ModelName{noModel}
	}
	return []core.ModelName{serves.Model}
}

// OrdersView is what the status page shows of the orders of a service, at the
// Instances that compete for its lease.
type OrdersView struct {
	Service core.ServiceName `json:"service"`
	// Fence is the fencing number of the lease, 0 when another Instance holds it.
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
