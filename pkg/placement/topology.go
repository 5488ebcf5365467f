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
	pools          []*pool
	byModel        map[core.ModelName]*pool
	kvSizes        map[core.ModelName]*kvSize // over all engines
	slotNSPerToken float64                    // EWMA of the slot time per token of the maximum output, 0 for unknown
	meanSlotTime   time.Duration              // EWMA of the slot time
}

// pool is a set of Upstreams that serve the same models, with its queue.
type pool struct {
	key     string
	service *service
	prefill group
	decode  group // for a plain service: its replicas
	queue   classQueue
	// skipReservations is set if jobs don't wait for a slot; see Params.NoReservation.
	skipReservations bool

	retryAt          core.Instant // core.Never unless the head waits for capacity
	lastDispatch     core.Instant
	dispatchInterval time.Duration // EWMA of the time between dispatches of queued jobs
}

// group holds the engines of one role.
type group struct {
	byRegion     map[core.RegionName][]*engine
	byDataCentre map[core.DataCentreName][]*engine
	regions      []core.RegionName // local region first, then by name
}

func newGroup(engines []*engine, localRegion core.RegionName) group {
	g := group{
		byRegion:     map[core.RegionName][]*engine{},
		byDataCentre: map[core.DataCentreName][]*engine{},
	}
	for _, e := range engines {
		region := e.dc.Region
		if g.byRegion[region] == nil {
			g.regions = append(g.regions, region)
		}
		g.byRegion[region] = append(g.byRegion[region], e)
		g.byDataCentre[e.dc.Name] = append(g.byDataCentre[e.dc.Name], e)
	}
	slices.SortFunc(g.regions, func(a, b core.RegionName) int {
		if (a == localRegion) != (b == localRegion) {
			if a == localRegion {
				return -1
			}
			return 1
		}
		return compareStrings(a, b)
	})
	return g
}

// SetTopology replaces the services and their Upstreams. Queued jobs keep their order;
// jobs whose service or model is no longer configured are refused.
func (p *Placer) SetTopology(now core.Instant, t Topology) []Output {
	p.setDataCentres(t.DataCentres)
	p.localRegion = p.lookupDataCentre(p.localDataCentre).Region
	old := p.services
	p.services = map[core.ServiceName]*service{}
	p.pools = nil
	seen := map[core.UpstreamID]bool{}
	for _, spec := range t.Services {
		s := &service{Service: spec, byModel: map[core.ModelName]*pool{}, meanSlotTime: defaultSlotTime, kvSizes: map[core.ModelName]*kvSize{}}
		if previous := old[spec.Name]; previous != nil {
			s.meanSlotTime = previous.meanSlotTime
			s.kvSizes = previous.kvSizes
			s.slotNSPerToken = previous.slotNSPerToken
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
			p.prefixIndex.removeEngine(e)
			delete(p.engines, id)
		}
	}
	p.membersVersion++ // ledger holders depend on the DataCentres of the engines
	outputs := p.requeueJobs(now)
	outputs = append(outputs, p.announceToNewHolders(now)...)
	return append(outputs, p.dispatchPools(now, p.pools)...)
}

func (p *Placer) setDataCentres(list []DataCentre) {
	old := p.dataCentres
	p.dataCentres = map[core.DataCentreName]*dataCentreState{}
	for _, dc := range list {
		s := old[dc.Name]
		if s == nil {
			s = &dataCentreState{}
		}
		s.DataCentre = dc
		s.link.rate = dc.LinkMbps * bytesPerMegabit
		p.dataCentres[dc.Name] = s
	}
}

// lookupDataCentre returns the DataCentre of that name. An unknown DataCentre is added with
// a region of its own.
func (p *Placer) lookupDataCentre(name core.DataCentreName) *dataCentreState {
	s := p.dataCentres[name]
	if s == nil {
		s = &dataCentreState{DataCentre: DataCentre{Name: name, Region: core.RegionName("unknown " + name)}}
		p.dataCentres[name] = s
	}
	return s
}

func (p *Placer) setEngine(s *service, up Upstream, seen map[core.UpstreamID]bool) {
	if seen[up.ID] {
		return // duplicate; the configuration rejects these
	}
	seen[up.ID] = true
	e := p.engines[up.ID]
	if e == nil {
		e = &engine{hints: newHints(), kvSizes: map[core.ModelName]*kvSize{}, prefillBacklog: backlog{rate: p.params.PrefillTokensPerSecond}, skipAdjustments: p.params.NoLoadAdjustment}
		p.engines[up.ID] = e
	}
	e.Upstream = up
	e.service = s
	e.dc = p.lookupDataCentre(up.DataCentre)
}

// buildPools builds one pool for each set of Upstreams that serve the same models of s.
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
			target = &pool{key: key.String(), service: s, retryAt: core.Never, skipReservations: p.params.NoReservation}
			target.prefill = newGroup(prefill, p.localRegion)
			target.decode = newGroup(decode, p.localRegion)
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
		if slices.Contains(candidate.decode.byDataCentre[e.dc.Name], e) || slices.Contains(candidate.prefill.byDataCentre[e.dc.Name], e) {
			found = append(found, candidate)
		}
	}
	return found
}

// requeueJobs moves the jobs that aren't placed to the pools of a new topology.
func (p *Placer) requeueJobs(now core.Instant) []Output {
	var outputs []Output
	for _, j := range p.sortedJobs() {
		if j.state == jobPlaced {
			continue
		}
		target := p.poolFor(j.Job)
		if target == nil {
			outputs = append(outputs, p.refuseJob(now, j, core.CodeNoUpstream, "the service or the model is no longer configured")...)
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
