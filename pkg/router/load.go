package router

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/rhubarbsill/rhubarbsill/pkg/attempts"
	"github.com/rhubarbsill/rhubarbsill/pkg/config"
	"github.com/rhubarbsill/rhubarbsill/pkg/core"
	"github.com/rhubarbsill/rhubarbsill/pkg/membership"
	"github.com/rhubarbsill/rhubarbsill/pkg/placement"
)

// upstreamEntry is what the router needs to reach an Upstream.
type upstreamEntry struct {
	url  string
	role config.Role
	dc   core.DataCentreName
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

// loadReported takes in a report that this Instance has polled.
func (r *Router) loadReported(now core.Instant, e LoadReported) {
	r.applyPlacement(now, r.placement.OnLoad(now, e.Upstream, e.Report))
	running := attempts.Running{AsOf: e.Report.AsOf, Attempts: e.Report.Attempts}
	r.applyAttempts(now, r.attempts.OnRunning(now, e.Upstream, running))
	r.forwardLoad(now, e)
}

func (r *Router) cacheReported(now core.Instant, e CacheReported) {
	r.cacheAfter[e.Upstream] = e.Next
	for _, run := range e.Events {
		r.placement.OnCacheEvents(now, e.Upstream, run)
	}
}

// forwardLoad passes a report on to the members of this region. KV cache does
// not cross regions, so other regions have no use for it.
func (r *Router) forwardLoad(now core.Instant, e LoadReported) {
	notice := LoadNotice{Upstreams: []UpstreamLoad{{
		Upstream:     e.Upstream,
		Slots:        e.Report.Slots,
		Used:         e.Report.Used,
		Queued:       e.Report.Queued,
		QueuedTokens: e.Report.QueuedTokens,
		Age:          now.Sub(e.Report.AsOf),
		Generation:   e.Report.Generation,
	}}}
	for _, member := range r.membership.Roster().Members {
		if member.Ref.ID == r.self.Ref.ID || member.Region != r.self.Region {
			continue
		}
		r.emit(SendPeer{To: member.Ref.ID, Addr: member.PeerAddr, Message: Message{Load: &notice}, NotAfter: core.Never})
	}
}

// schedulePolls chooses the Upstreams that this Instance polls: those for which
// it comes first, by rendezvous hashing, among the members of their DataCentre,
// or of the whole fleet where a DataCentre has none.
func (r *Router) schedulePolls(now core.Instant) {
	members := r.membership.Roster().Members
	var mine []core.UpstreamID
	for id, up := range r.upstreams {
		if pollerOf(members, id, up.dc) == r.self.Ref.ID {
			mine = append(mine, id)
		}
	}
	slices.Sort(mine)
	r.polls.set(now, r.params.LoadEvery, mine)
}

func pollerOf(members []membership.Member, up core.UpstreamID, dc core.DataCentreName) core.InstanceID {
	var best core.InstanceID
	var bestWeight uint64
	bestNear := false
	for _, member := range members {
		near := member.DataCentre == dc
		weight := xxhash.Sum64String(string(up) + "\x00" + string(member.Ref.ID))
		if best != "" && (bestNear && !near || bestNear == near && weight <= bestWeight) {
			continue
		}
		best, bestWeight, bestNear = member.Ref.ID, weight, near
	}
	return best
}

// setSnapshot puts a configuration in force.
func (r *Router) setSnapshot(now core.Instant, s *config.Snapshot) {
	r.snapshot = s
	r.upstreams = map[core.UpstreamID]upstreamEntry{}
	for _, service := range s.Services() {
		for _, up := range service.Upstreams {
			r.upstreams[up.ID] = upstreamEntry{url: up.URL, role: up.Role, dc: up.DataCentre}
		}
	}
	r.applyPlacement(now, r.placement.SetTopology(now, topologyOf(s)))
	r.schedulePolls(now)
	r.emit(InForce{Snapshot: s})
}

// topologyOf converts the part of the configuration that placement needs.
func topologyOf(s *config.Snapshot) placement.Topology {
	var topology placement.Topology
	for _, dc := range s.Root().DataCentres {
		topology.DataCentres = append(topology.DataCentres, placement.DataCentre{
			Name:     dc.Name,
			Region:   dc.Region,
			LinkMbps: float64(dc.LinkMbps),
		})
	}
	for _, service := range s.Services() {
		topology.Services = append(topology.Services, serviceOf(service))
	}
	return topology
}

func serviceOf(s *config.Service) placement.Service {
	service := placement.Service{
		Name:   s.Name,
		Kind:   placement.Kind(s.Kind),
		Policy: placement.Policy(s.Policy),
		Models: s.Models,
		Targets: placement.Targets{
			FirstToken:    time.Duration(s.Targets.FirstTokenMS) * time.Millisecond,
			BetweenTokens: time.Duration(s.Targets.BetweenTokensMS) * time.Millisecond,
		},
	}
	for _, up := range s.Upstreams {
		service.Upstreams = append(service.Upstreams, placement.Upstream{
			ID:         up.ID,
			Role:       placement.Role(up.Role),
			DataCentre: up.DataCentre,
			Slots:      up.Slots,
			Models:     up.Models,
		})
	}
	return service
}
