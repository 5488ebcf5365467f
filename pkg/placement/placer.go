// Package placement chooses the Upstreams of each request.
package placement

import (
	"sort"

	"github.com/rhubarbsill/rhubarbsill/pkg/core"
)

// Placer chooses Upstreams for the requests of one Instance.
type Placer struct {
	self     core.InstanceRef
	dc       core.DataCentreName
	params   Params
	topology Topology
	used     map[core.UpstreamID]int
	placed   map[core.RequestID][]core.UpstreamID
}

// New returns a Placer of the Instance self in the DataCentre dc.
func New(self core.InstanceRef, dc core.DataCentreName, p Params) *Placer {
	return &Placer{
		self:   self,
		dc:     dc,
		params: p.withDefaults(),
		used:   map[core.UpstreamID]int{},
		placed: map[core.RequestID][]core.UpstreamID{},
	}
}

// SetTopology replaces the services and their Upstreams.
func (p *Placer) SetTopology(now core.Instant, t Topology) []Output {
	p.topology = t
	return nil
}

// SetMembers replaces the Instances that may hold slot ledgers.
func (p *Placer) SetMembers(now core.Instant, members []Member) []Output { return nil }

// Submit places the job or queues it.
func (p *Placer) Submit(now core.Instant, job Job) []Output {
	for _, service := range p.topology.Services {
		if service.Name != job.Service {
			continue
		}
		if service.Kind == KindPlain {
			up, ok := p.leastUsed(service, RolePlain)
			if ok {
				p.take(job.ID, up)
				return []Output{Call{ID: job.ID, Upstream: up}}
			}
			break
		}
		prefill, okPrefill := p.leastUsed(service, RolePrefill)
		decode, okDecode := p.leastUsed(service, RoleDecode)
		if okPrefill && okDecode {
			p.take(job.ID, prefill, decode)
			return []Output{Place{ID: job.ID, Prefill: prefill, Decode: decode, StartPrefillAt: now, ReservedUntil: now.Add(p.params.ReservationTerm)}}
		}
	}
	refusal := core.Refuse(core.CodeNoUpstream, "no upstream of the service is usable")
	return []Output{Refused{ID: job.ID, Refusal: refusal}}
}

func (p *Placer) leastUsed(service Service, role Role) (core.UpstreamID, bool) {
	var ids []core.UpstreamID
	for _, up := range service.Upstreams {
		if up.Role == role && !up.Leaving {
			ids = append(ids, up.ID)
		}
	}
	if len(ids) == 0 {
		return "", false
	}
	sort.SliceStable(ids, func(i, j int) bool { return p.used[ids[i]] < p.used[ids[j]] })
	return ids[0], true
}

func (p *Placer) take(id core.RequestID, ups ...core.UpstreamID) {
	p.placed[id] = ups
	for _, up := range ups {
		p.used[up]++
	}
}

// Withdraw removes a job that still waits.
func (p *Placer) Withdraw(now core.Instant, id core.RequestID) []Output { return nil }

// Release ends the slot and load accounting of a placed request.
func (p *Placer) Release(now core.Instant, id core.RequestID) []Output {
	for _, up := range p.placed[id] {
		p.used[up]--
	}
	delete(p.placed, id)
	return nil
}

// OnLoad takes in the load report of an Upstream.
func (p *Placer) OnLoad(now core.Instant, up core.UpstreamID, r LoadReport) []Output { return nil }

// OnCacheEvents takes in cache events of a prefill engine.
func (p *Placer) OnCacheEvents(now core.Instant, up core.UpstreamID, events CacheEvents) {}

// OnPrefillResult takes in the outcome of a prefill.
func (p *Placer) OnPrefillResult(now core.Instant, up core.UpstreamID, r PrefillResult) {}

// OnReserve answers a reservation request of a peer.
func (p *Placer) OnReserve(now core.Instant, from core.InstanceRef, q ReserveRequest) ReserveReply {
	return ReserveReply{Nonce: q.Nonce, ID: q.ID, Upstream: q.Upstream, Granted: true, Term: p.params.ReservationTerm}
}

// OnReserveReply takes in the answer of a ledger holder.
func (p *Placer) OnReserveReply(now core.Instant, r ReserveReply) []Output { return nil }

// OnReleaseNotice ends a reservation of a peer.
func (p *Placer) OnReleaseNotice(now core.Instant, from core.InstanceRef, n ReleaseNotice) []Output {
	return nil
}

// Tick does the work that is due at now.
func (p *Placer) Tick(now core.Instant) []Output { return nil }

// NextWake returns the time at which Tick is due.
func (p *Placer) NextWake() core.Instant { return core.Never }
