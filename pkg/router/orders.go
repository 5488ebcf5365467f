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
	// orderCandidates is the number of Instances that compete for the lease of a
	// service. If all Instances did, the reads of the lease would grow with the
	// fleet, which the store's rate limit does not.
	orderCandidates = 3
	// defaultMaxLoads is the bound of simultaneous loads of one service.
	defaultMaxLoads = 4
	// pendingEvery is the time between two polls of an Upstream by the holder.
	pendingEvery = time.Second
	// servesEvery is the time after which what the Upstreams serve is told again
	// to all Instances, since a message may be lost. Changes are told at once.
	servesEvery = 30 * time.Second
	// noticeTransit is added to the age of a report in a notice, for its time on
	// the way: an older report would otherwise replace one that the holder has
	// polled itself.
	noticeTransit = time.Second
	// leaseWriteLimit is the time within which a write of the lease must be sent.
	leaseWriteLimit = 5 * time.Second
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
	o       *orders.Controller
	fence   core.FencingToken // of the present term, as last recorded
	retired bool              // resigned, until the lease is given up
}

// servedBy is the latest report of what an Upstream serves.
type servedBy struct {
	report orders.Report
	asOf   core.Instant
}

// orderDesk holds the orders of all services.
type orderDesk struct {
	services map[core.ServiceName]*serviceOrders
	serves   map[core.UpstreamID]servedBy
	// nextServes is the time of the next ServedStateNotice, nextPoll that of the
	// holder's next polls.
	nextServes core.Instant
	nextPoll   core.Instant
}

func newOrderDesk() orderDesk {
	return orderDesk{
		services:   map[core.ServiceName]*serviceOrders{},
		serves:     map[core.UpstreamID]servedBy{},
		nextServes: core.Never,
		nextPoll:   core.Never,
	}
}

func (d *orderDesk) next() core.Instant {
	wake := min(d.nextServes, d.nextPoll)
	for _, s := range d.services {
		wake = min(wake, s.o.NextWake())
	}
	return wake
}

// desiredOf returns the desired states of a service, none when it gives no orders.
func desiredOf(s *config.Service) []orders.DesiredState {
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

// setOrders takes over a new configuration or roster. A service has a Controller at
// its candidates. An Instance that is no longer one gives the lease up.
func (r *Router) setOrders(now core.Instant) {
	if r.snapshot == nil {
		return
	}
	for id := range r.desk.serves {
		if _, known := r.upstreams[id]; !known {
			delete(r.desk.serves, id)
		}
	}
	desired := map[core.ServiceName][]orders.DesiredState{}
	for _, service := range r.snapshot.Services() {
		if want := desiredOf(service); len(want) > 0 {
			desired[service.Name] = want
		}
	}
	for _, name := range slices.Sorted(maps.Keys(r.desk.services)) {
		if desired[name] == nil {
			r.retireOrders(now, name)
		}
	}
	for _, name := range slices.Sorted(maps.Keys(desired)) {
		r.setServiceOrders(now, name, desired[name])
	}
	r.desk.nextServes = now // a new member knows nothing
}

func (r *Router) setServiceOrders(now core.Instant, name core.ServiceName, want []orders.DesiredState) {
	home := membership.HomeSet(r.membership.Roster(), core.AccountID(ordersPrefix+name), orderCandidates)
	candidate := slices.Contains(home, r.self.Ref.ID) && !r.leaving
	s := r.desk.services[name]
	started := s == nil
	switch {
	case s == nil && !candidate, s != nil && s.retired:
		return
	case s == nil:
		s = &serviceOrders{o: orders.New(r.self.Ref, r.params.Orders)}
		r.desk.services[name] = s
	case !candidate:
		r.retireOrders(now, name)
		return
	}
	r.applyOrders(now, name, s.o.SetDesired(now, r.snapshot.Version(), want))
	if started {
		r.tellReports(now, name, s, want)
	}
}

// tellReports gives a new Controller what the Upstreams serve.
func (r *Router) tellReports(now core.Instant, name core.ServiceName, s *serviceOrders, want []orders.DesiredState) {
	for _, d := range want {
		if known, reported := r.desk.serves[d.Upstream]; reported {
			r.applyOrders(now, name, s.o.OnStateReport(now, d.Upstream, known.report))
		}
	}
}

func holds(now core.Instant, s *serviceOrders) bool {
	_, held := s.o.LeaseFence(now)
	return held
}

// retireOrders gives the lease of a service up. The Controller stays until the lease
// is released or over, since orders may still be on their way.
func (r *Router) retireOrders(now core.Instant, name core.ServiceName) {
	s := r.desk.services[name]
	if !s.retired {
		s.retired = true
		r.applyOrders(now, name, s.o.Resign(now))
	}
	r.forgetRetired(now, name)
}

// forgetRetired reports whether it has dropped the Controller of the service.
func (r *Router) forgetRetired(now core.Instant, name core.ServiceName) bool {
	s := r.desk.services[name]
	if s == nil || !s.retired || holds(now, s) {
		return false
	}
	delete(r.desk.services, name)
	return true
}

// resignOrders gives all leases up for a graceful shutdown.
func (r *Router) resignOrders(now core.Instant) {
	for _, name := range slices.Sorted(maps.Keys(r.desk.services)) {
		r.retireOrders(now, name)
	}
}

// resetOrders continues as a new incarnation without a lease.
func (r *Router) resetOrders(now core.Instant) {
	for _, name := range slices.Sorted(maps.Keys(r.desk.services)) {
		r.applyOrders(now, name, r.desk.services[name].o.Reset(now, r.self.Ref))
	}
}

func (r *Router) tickOrders(now core.Instant) {
	poll := now >= r.desk.nextPoll
	if poll {
		r.desk.nextPoll = core.Never
	}
	forgot := false
	for _, name := range slices.Sorted(maps.Keys(r.desk.services)) {
		s := r.desk.services[name]
		if now >= s.o.NextWake() {
			r.applyOrders(now, name, s.o.Tick(now))
		}
		if poll {
			r.pollPending(now, s)
		}
		forgot = r.forgetRetired(now, name) || forgot
	}
	if forgot {
		r.setOrders(now) // the service may have a desired state again
	}
	if now >= r.desk.nextServes {
		r.desk.nextServes = now.Add(servesEvery)
		r.tellServes(now, r.polls.order)
	}
}

// pollPending lets the holder read the Upstreams that it has orders for. The
// Instance that polls an Upstream for placement may be in another region.
func (r *Router) pollPending(now core.Instant, s *serviceOrders) {
	for _, up := range s.o.ReportsNeeded(now) {
		r.desk.nextPoll = now.Add(pendingEvery)
		if holder, _ := r.placement.LedgerHolder(up); holder != r.self.Ref.ID {
			r.poll(up)
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
				Op: op, Name: ordersPrefix + string(name), Base: o.Base, Value: o.Value, NotAfter: now.Add(leaseWriteLimit),
			})
		case orders.Order:
			r.recordOrder("sent", name, o.Upstream, fmt.Sprintf("fence=%d %s", o.Fence, describe(o.State)))
			r.emit(SendOrder{
				Service: name, Upstream: o.Upstream, URL: r.upstreams[o.Upstream].url, Fence: o.Fence, DesiredState: o.State,
				NotAfter: o.NotAfter, TimeLimit: o.TimeLimit,
			})
		}
	}
	r.noteLease(now, name)
}

// noteLease records that the lease was acquired, and starts the holder's polls.
func (r *Router) noteLease(now core.Instant, name core.ServiceName) {
	s := r.desk.services[name]
	if s == nil {
		return
	}
	fence, held := s.o.LeaseFence(now)
	if !held {
		s.fence = 0
		return
	}
	if s.fence != fence {
		s.fence = fence
		r.recordOrder("lease_acquired", name, "", fmt.Sprintf("fence=%d", fence))
	}
	if r.desk.nextPoll == core.Never && len(s.o.ReportsNeeded(now)) > 0 {
		r.desk.nextPoll = now
	}
}

func describe(s orders.State) string {
	return fmt.Sprintf("model=%s adapter=%s version=%s role=%s", s.Model, s.Adapter, s.Version, s.Role)
}

func (r *Router) recordOrder(kind string, name core.ServiceName, up core.UpstreamID, detail string) {
	r.emit(Record{Event: timeline.Event{
		Component: "orders", Kind: kind, Upstream: up, Detail: "service=" + string(name) + " " + detail,
	}})
}

func (r *Router) ordersReplied(now core.Instant, e StoreReplied) {
	name := e.Op.Service
	s := r.desk.services[name]
	if s == nil {
		return
	}
	var outputs []orders.Output
	switch {
	case !e.Op.Write && e.Failure == "":
		outputs = s.o.OnLeaseRead(now, e.Value, e.Version, true)
	case !e.Op.Write && e.Failure == StoreNotFound:
		outputs = s.o.OnLeaseRead(now, nil, 0, false)
	case !e.Op.Write:
		outputs = s.o.OnLeaseReadFailed(now)
	case e.Failure == "":
		outputs = s.o.OnLeaseWritten(now, e.Version)
	case e.Failure == StoreConflict, e.Failure == StoreNotFound:
		outputs = s.o.OnLeaseWriteFailed(now, orders.Conflict)
	case e.Failure == StoreOutcomeUnknown:
		outputs = s.o.OnLeaseWriteFailed(now, orders.WriteOutcomeUnknown)
	default:
		outputs = s.o.OnLeaseWriteFailed(now, orders.Unavailable)
	}
	r.applyOrders(now, name, outputs)
	r.forgetRetired(now, name)
}

func (r *Router) orderResult(now core.Instant, e OrderResult) {
	kinds := map[orders.Result]string{
		orders.Done: "accepted", orders.Failed: "failed", orders.Expired: "expired", orders.Stale: "stale",
	}
	r.recordOrder(kinds[e.Result], e.Service, e.Upstream, fmt.Sprintf("fence=%d", e.Fence))
	s := r.desk.services[e.Service]
	if s == nil {
		return
	}
	// The answer to an order of an earlier term says nothing about this one.
	if fence, _ := s.o.LeaseFence(now); e.Result == orders.Stale && fence != e.Fence {
		return
	}
	r.applyOrders(now, e.Service, s.o.OnOrderResult(now, e.Upstream, e.Result))
}

// served takes in what an Upstream serves, from its report or from a peer.
func (r *Router) served(now core.Instant, up core.UpstreamID, report orders.Report, asOf core.Instant) {
	entry, known := r.upstreams[up]
	before, reported := r.desk.serves[up]
	if !known || reported && asOf <= before.asOf {
		return
	}
	r.desk.serves[up] = servedBy{report: report, asOf: asOf}
	if changed := !reported || before.report != report; changed {
		if holder, _ := r.placement.LedgerHolder(up); holder == r.self.Ref.ID {
			r.tellServes(now, []core.UpstreamID{up})
		}
	}
	if !reported || before.report.Serves.Model != report.Serves.Model || before.report.Serves.Role != report.Serves.Role {
		r.applyPlacement(now, r.placement.SetTopology(now, r.topology()))
	}
	s := r.desk.services[entry.service]
	if s == nil {
		return
	}
	wasPending := slices.Contains(s.o.OutOfSync(), up)
	r.applyOrders(now, entry.service, s.o.OnStateReport(now, up, report))
	if reported && wasPending && holds(now, s) && !slices.Contains(s.o.OutOfSync(), up) {
		r.recordOrder("done", entry.service, up, describe(report.Serves))
	}
}

// tellServes passes on what the Upstreams serve. Other regions need it, too: the
// holder of a service may be there, and requests may be placed across regions.
func (r *Router) tellServes(now core.Instant, list []core.UpstreamID) {
	var notice ServedStateNotice
	for _, up := range list {
		if known, reported := r.desk.serves[up]; reported {
			notice.Upstreams = append(notice.Upstreams, UpstreamServedState{Upstream: up, Report: known.report, Age: now.Sub(known.asOf)})
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

func (r *Router) servesNoticed(now core.Instant, notice *ServedStateNotice) {
	for _, u := range notice.Upstreams {
		r.served(now, u.Upstream, u.Report, now.Add(-u.Age-noticeTransit))
	}
}

// noModel is no model's name: Parse refuses it.
const noModel = core.ModelName(" ")

// usableModels returns the models for which an engine may get work. An engine
// works for the model that it reports, and only in the role that it reports; one
// that is to be ordered and has not reported gets none. It stays in the topology,
// which decides who reads its reports.
func (r *Router) usableModels(up *config.Upstream) []core.ModelName {
	known, reported := r.desk.serves[up.ID]
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
	for _, name := range slices.Sorted(maps.Keys(r.desk.services)) {
		s := r.desk.services[name]
		view := OrdersView{Service: name, OutOfSync: s.o.OutOfSync()}
		if fence, held := s.o.LeaseFence(now); held {
			view.Fence = fence
		}
		list = append(list, view)
	}
	return list
}
