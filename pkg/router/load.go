package router

import (
	"slices"
	"time"

	"github.com/rhubarbsill/rhubarbsill/pkg/attempts"
	"github.com/rhubarbsill/rhubarbsill/pkg/config"
	"github.com/rhubarbsill/rhubarbsill/pkg/core"
	"github.com/rhubarbsill/rhubarbsill/pkg/placement"
)

// upstreamEntry is the part of an Upstream's configuration that the Router needs
// for requests to it.
type upstreamEntry struct {
	url        string
	role       config.Role
	service    core.ServiceName
	dataCentre core.DataCentreName
}

// pollSchedule holds the Upstreams that this Instance polls and the instants of
// the next polls. One Instance in the DataCentre of an Upstream polls it and
// shares its load with the others.
type pollSchedule struct {
	interval   time.Duration
	nextPollAt map[core.UpstreamID]core.Instant
	upstreams  []core.UpstreamID
}

func (s *pollSchedule) set(now core.Instant, every time.Duration, upstreams []core.UpstreamID) {
	at := make(map[core.UpstreamID]core.Instant, len(upstreams))
	for i, up := range upstreams {
		due, known := s.nextPollAt[up]
		if !known {
			due = now.Add(every * time.Duration(i) / time.Duration(len(upstreams)))
		}
		at[up] = due
	}
	s.interval = every
	s.nextPollAt = at
	s.upstreams = upstreams
}

func (s *pollSchedule) due(now core.Instant) []core.UpstreamID {
	var due []core.UpstreamID
	for _, up := range s.upstreams {
		if s.nextPollAt[up] <= now {
			s.nextPollAt[up] = now.Add(s.interval)
			due = append(due, up)
		}
	}
	return due
}

// delayAfterFailure delays the next poll of an Upstream that did not respond.
func (s *pollSchedule) delayAfterFailure(now core.Instant, up core.UpstreamID) {
	if _, polled := s.nextPollAt[up]; polled {
		s.nextPollAt[up] = now.Add(2 * s.interval)
	}
}

func (s *pollSchedule) nextWake() core.Instant {
	first := core.Never
	for _, at := range s.nextPollAt {
		first = min(first, at)
	}
	return first
}

// pollLoad emits a poll of the load of an Upstream.
func (r *Router) pollLoad(up core.UpstreamID) {
	entry, known := r.upstreams[up]
	if !known {
		return
	}
	r.emit(PollLoad{
		Upstream:           up,
		URL:                entry.url,
		IncludeCacheEvents: entry.role == config.RolePrefill,
		CacheAfter:         r.nextCacheEvent[up],
	})
}

// onLoadReported processes a report that this Instance has polled.
func (r *Router) onLoadReported(now core.Instant, e LoadReported) {
	r.applyPlacement(now, r.placement.OnLoadReport(now, e.Upstream, e.Report))
	holder, _ := r.placement.LedgerHolder(e.Upstream)
	running := attempts.AttemptReport{ObservedAt: e.Report.ObservedAt, Attempts: e.Report.Attempts, HoldsLedger: holder == r.self.Ref.ID}
	r.applyAttempts(now, r.attempts.OnAttemptReport(now, e.Upstream, running))
	r.loads[e.Upstream] = e.Report
	if e.Serves != nil {
		r.onServedState(now, e.Upstream, *e.Serves, e.Report.ObservedAt)
	}
}

func (r *Router) onCacheReported(now core.Instant, e CacheReported) {
	r.nextCacheEvent[e.Upstream] = e.Next
	for _, events := range e.Events {
		r.placement.OnCacheEvents(now, e.Upstream, events)
	}
}

// schedulePolls selects the Upstreams that this Instance polls: those whose slot
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

// activateSnapshot makes a configuration the active one.
func (r *Router) activateSnapshot(now core.Instant, s *config.Snapshot) {
	r.snapshot = s
	r.upstreams = map[core.UpstreamID]upstreamEntry{}
	for _, service := range s.Services() {
		for _, up := range service.Upstreams {
			r.upstreams[up.ID] = upstreamEntry{url: up.URL, role: up.Role, service: service.Name, dataCentre: up.DataCentre}
		}
	}
	r.applyPlacement(now, r.placement.SetTopology(now, r.topology()))
	r.schedulePolls(now)
	r.updateOrders(now)
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
		topology.Services = append(topology.Services, r.placementService(service))
	}
	return topology
}

func (r *Router) placementService(s *config.Service) placement.Service {
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
