package router

import (
	"slices"
	"time"

	"github.com/rhubarbsill/rhubarbsill/pkg/attempts"
	"github.com/rhubarbsill/rhubarbsill/pkg/config"
	"github.com/rhubarbsill/rhubarbsill/pkg/core"
	"github.com/rhubarbsill/rhubarbsill/pkg/placement"
)

// upstreamEntry is what the router needs to reach an Upstream.
type upstreamEntry struct {
	url        string
	role       config.Role
	service    core.ServiceName
	dataCentre core.DataCentreName
}

// pollSchedule says which Upstreams this Instance polls, and when. One Instance
// of an Upstream's DataCentre polls it and passes its load on.
type pollSchedule struct {
	every time.Duration
	at    map[core.UpstreamID]core.Instant
	order []core.UpstreamID
}

func (s *pollSchedule) set(now core.Instant, every time.Duration, upstreams []core.UpstreamID) {
	at := make(map[core.UpstreamID]core.Instant, len(upstreams))
	for i, up := range upstreams {
		due, known := s.at[up]
		if !known {
			due = now.Add(every * time.Duration(i) / time.Duration(len(upstreams)))
		}
		at[up] = due
	}
	s.every = every
	s.at = at
	s.order = upstreams
}

func (s *pollSchedule) due(now core.Instant) []core.UpstreamID {
	var due []core.UpstreamID
	for _, up := range s.order {
		if s.at[up] <= now {
			s.at[up] = now.Add(s.every)
			due = append(due, up)
		}
	}
	return due
}

// failed puts off the next poll of an Upstream that does not answer.
func (s *pollSchedule) failed(now core.Instant, up core.UpstreamID) {
	if _, polled := s.at[up]; polled {
		s.at[up] = now.Add(2 * s.every)
	}
}

func (s *pollSchedule) next() core.Instant {
	first := core.Never
	for _, at := range s.at {
		first = min(first, at)
	}
	return first
}

// poll reads the load of an Upstream now.
func (r *Router) poll(up core.UpstreamID) {
	entry, known := r.upstreams[up]
	if !known {
		return
	}
	r.emit(PollLoad{
		Upstream:           up,
		URL:                entry.url,
		IncludeCacheEvents: entry.role == config.RolePrefill,
		CacheAfter:         r.cacheAfter[up],
	})
}

// loadReported takes in a report that this Instance has polled.
func (r *Router) loadReported(now core.Instant, e LoadReported) {
	r.applyPlacement(now, r.placement.OnLoadReport(now, e.Upstream, e.Report))
	holder, _ := r.placement.LedgerHolder(e.Upstream)
	running := attempts.AttemptReport{ObservedAt: e.Report.ObservedAt, Attempts: e.Report.Attempts, HoldsLedger: holder == r.self.Ref.ID}
	r.applyAttempts(now, r.attempts.OnAttemptReport(now, e.Upstream, running))
	r.loads[e.Upstream] = e.Report
	if e.Serves != nil {
		r.served(now, e.Upstream, *e.Serves, e.Report.ObservedAt)
	}
}

func (r *Router) cacheReported(now core.Instant, e CacheReported) {
	r.cacheAfter[e.Upstream] = e.Next
	for _, run := range e.Events {
		r.placement.OnCacheEvents(now, e.Upstream, run)
	}
}

// schedulePolls chooses the Upstreams that this Instance polls: those whose slot
// ledger it holds.
func (r *Router) schedulePolls(now core.Instant) {
	var mine []core.UpstreamID
	for id := range r.upstreams {
		if holder, known := r.placement.LedgerHolder(id); known && holder == r.self.Ref.ID {
			mine = append(mine, id)
		}
	}
	slices.Sort(mine)
	r.polls.set(now, r.params.LoadPollInterval, mine)
}

// setSnapshot puts a configuration in force.
func (r *Router) setSnapshot(now core.Instant, s *config.Snapshot) {
	r.snapshot = s
	r.upstreams = map[core.UpstreamID]upstreamEntry{}
	for _, service := range s.Services() {
		for _, up := range service.Upstreams {
			r.upstreams[up.ID] = upstreamEntry{url: up.URL, role: up.Role, service: service.Name, dataCentre: up.DataCentre}
		}
	}
	r.applyPlacement(now, r.placement.SetTopology(now, r.topology()))
	r.schedulePolls(now)
	r.setOrders(now)
	r.emit(ConfigActivated{Snapshot: s})
}

// topology converts the part of the configuration that placement needs.
func (r *Router) topology() placement.Topology {
	s := r.snapshot
	var topology placement.Topology
	for _, dc := range s.Root().DataCentres {
		topology.DataCentres = append(topology.DataCentres, placement.DataCentre{
			Name:     dc.Name,
			Region:   dc.Region,
			LinkMbps: float64(dc.LinkMbps),
		})
	}
	for _, service := range s.Services() {
		topology.Services = append(topology.Services, r.serviceOf(service))
	}
	return topology
}

func (r *Router) serviceOf(s *config.Service) placement.Service {
	service := placement.Service{
		Name:   s.Name,
		Kind:   placement.Kind(s.Kind),
		Policy: placement.Policy(s.Policy),
		Models: s.Models,
		Targets: placement.LatencyTargets{
			TimeToFirstToken:  time.Duration(s.Targets.FirstTokenMS) * time.Millisecond,
			InterTokenLatency: time.Duration(s.Targets.BetweenTokensMS) * time.Millisecond,
		},
	}
	for _, up := range s.Upstreams {
		service.Upstreams = append(service.Upstreams, placement.Upstream{
			ID:         up.ID,
			Role:       placement.Role(up.Role),
			DataCentre: up.DataCentre,
			Slots:      up.Slots,
			Models:     r.usableModels(&up),
		})
	}
	return service
}
