package placement

import (
	"slices"
	"strings"
	"time"

	"github.com/rhubarbsill/rhubarbsill/pkg/core"
)

const bytesPerMegabit = 1e6 / 8

// service is a configured service with its pools.
type service struct {
	Service
	pools   []*pool
	byModel map[core.ModelName]*pool
	sizes   map[core.ModelName]*size // learned on all engines
	tokenNS float64                  // moving average of a slot's use per token of the greatest output
	hold    time.Duration            // moving average of the time for which a slot is used
}

// pool is a set of Upstreams that serve the same models, with its queue.
type pool struct {
	key     string
	service *service
	prefill group
	decode  group // for a plain service: its replicas
	queue   classQueue
	// unreserved jobs don't wait for a slot
	unreserved bool

	nextTry  core.Instant // Never unless the head waits for capacity
	lastPop  core.Instant
	interval time.Duration // moving average between dispatches of waiting jobs
}

// group holds the engines of one role.
type group struct {
	byRegion map[core.RegionName][]*engine
	bySite   map[core.DataCentreName][]*engine
	regions  []core.RegionName // own region first, then by name
}

func newGroup(engines []*engine, own core.RegionName) group {
	g := group{
		byRegion: map[core.RegionName][]*engine{},
		bySite:   map[core.DataCentreName][]*engine{},
	}
	for _, e := range engines {
		region := e.site.Region
		if g.byRegion[region] == nil {
			g.regions = append(g.regions, region)
		}
		g.byRegion[region] = append(g.byRegion[region], e)
		g.bySite[e.site.Name] = append(g.bySite[e.site.Name], e)
	}
	slices.SortFunc(g.regions, func(a, b core.RegionName) int {
		if (a == own) != (b == own) {
			if a == own {
				return -1
			}
			return 1
		}
		return compareStrings(a, b)
	})
	return g
}

// SetTopology replaces the services and their Upstreams. Jobs that wait stay in
// order; jobs of a service that is gone are refused.
func (p *Placer) SetTopology(now core.Instant, t Topology) []Output {
	p.setSites(t.DataCentres)
	p.region = p.site(p.dc).Region
	old := p.services
	p.services = map[core.ServiceName]*service{}
	p.pools = nil
	seen := map[core.UpstreamID]bool{}
	for _, spec := range t.Services {
		s := &service{Service: spec, byModel: map[core.ModelName]*pool{}, hold: defaultHold, sizes: map[core.ModelName]*size{}}
		if before := old[spec.Name]; before != nil {
			s.hold = before.hold
			s.sizes = before.sizes
			s.tokenNS = before.tokenNS
		}
		p.services[spec.Name] = s
		for _, up := range spec.Upstreams {
			p.setEngine(s, up, seen)
		}
		p.buildPools(s)
	}
	for id, e := range p.engines {
		if !seen[id] {
			e.removed = true
			p.index.forget(e)
			delete(p.engines, id)
		}
	}
	p.rosterGeneration++ // holders depend on the sites of the engines
	outputs := p.requeueAll(now)
	outputs = append(outputs, p.announceMoved(now)...)
	return append(outputs, p.pump(now, p.pools)...)
}

func (p *Placer) setSites(list []DataCentre) {
	old := p.sites
	p.sites = map[core.DataCentreName]*site{}
	for _, dc := range list {
		s := old[dc.Name]
		if s == nil {
			s = &site{}
		}
		s.DataCentre = dc
		s.link.rate = dc.LinkMbps * bytesPerMegabit
		p.sites[dc.Name] = s
	}
}

// site returns the DataCentre of that name; an unknown one is a region of its own.
func (p *Placer) site(name core.DataCentreName) *site {
	s := p.sites[name]
	if s == nil {
		s = &site{DataCentre: DataCentre{Name: name, Region: core.RegionName("unknown " + name)}}
		p.sites[name] = s
	}
	return s
}

func (p *Placer) setEngine(s *service, up Upstream, seen map[core.UpstreamID]bool) {
	if seen[up.ID] {
		return // the configuration rejects repeated ids
	}
	seen[up.ID] = true
	e := p.engines[up.ID]
	if e == nil {
		e = &engine{hints: newHints(), sizes: map[core.ModelName]*size{}, work: fluid{rate: p.params.PrefillTokensPerSecond}, uncorrected: p.params.NoLoadCorrection}
		p.engines[up.ID] = e
	}
	e.Upstream = up
	e.service = s
	e.site = p.site(up.DataCentre)
}

// buildPools groups the models of s by the Upstreams that serve them.
func (p *Placer) buildPools(s *service) {
	models := s.Models
	if s.Kind == KindPlain {
		models = []core.ModelName{""}
	}
	byKey := map[string]*pool{}
	for _, model := range models {
		var prefill, decode []*engine
		var key strings.Builder
		for _, up := range s.Upstreams {
			e := p.engines[up.ID]
			if e.service != s || !up.serves(model) {
				continue
			}
			key.WriteString(string(up.ID))
			key.WriteByte('\n')
			if up.Role == RolePrefill {
				prefill = append(prefill, e)
			} else {
				decode = append(decode, e)
			}
		}
		target := byKey[key.String()]
		if target == nil {
			target = &pool{key: key.String(), service: s, nextTry: core.Never, unreserved: p.params.NoReservation}
			target.prefill = newGroup(prefill, p.region)
			target.decode = newGroup(decode, p.region)
			target.queue = newClassQueue()
			byKey[key.String()] = target
			s.pools = append(s.pools, target)
			p.pools = append(p.pools, target)
		}
		s.byModel[model] = target
	}
}

func (u Upstream) serves(model core.ModelName) bool {
	return model == "" || len(u.Models) == 0 || slices.Contains(u.Models, model)
}

// poolsOf returns the pools that e belongs to.
func (s *service) poolsOf(e *engine) []*pool {
	if len(s.pools) < 2 {
		return s.pools
	}
	var found []*pool
	for _, candidate := range s.pools {
		if slices.Contains(candidate.decode.bySite[e.site.Name], e) || slices.Contains(candidate.prefill.bySite[e.site.Name], e) {
			found = append(found, candidate)
		}
	}
	return found
}

// requeueAll moves the waiting jobs to the pools of a new topology.
func (p *Placer) requeueAll(now core.Instant) []Output {
	var outputs []Output
	for _, j := range p.sortedJobs() {
		if j.state == jobPlaced {
			continue
		}
		target := p.poolFor(j.Job)
		if target == nil {
			outputs = append(outputs, p.drop(now, j, core.CodeNoUpstream, "the service or the model is no longer configured")...)
			continue
		}
		j.pool = target
		j.queuedClass = j.class(target.service.Policy)
		if j.state == jobQueued {
			target.queue.push(j)
		}
	}
	return outputs
}

func (p *Placer) poolFor(job Job) *pool {
	s := p.services[job.Service]
	if s == nil {
		return nil
	}
	return s.byModel[job.Model]
}

// sortedJobs returns all jobs in order of arrival.
func (p *Placer) sortedJobs() []*job {
	list := make([]*job, 0, len(p.jobs))
	for _, j := range p.jobs {
		list = append(list, j)
	}
	slices.SortFunc(list, func(a, b *job) int { return int(a.seq) - int(b.seq) })
	return list
}
