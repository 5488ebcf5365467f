package router

import (
	"maps"
	"slices"
	"time"

	"github.com/rhubarbsill/rhubarbsill/pkg/core"
	"github.com/rhubarbsill/rhubarbsill/pkg/membership"
	"github.com/rhubarbsill/rhubarbsill/pkg/placement"
)

// shareLoad tells the members of this region what this Instance has read and
// placed. KV cache does not cross regions, so other regions have no use for it.
// With up to LoadFanout peers, every peer gets everything. With more, that would
// cost bytes in proportion to the fleet: 136 KB/s at 80 Instances.
func (r *Router) shareLoad(now core.Instant) {
	if now < r.nextLoadNoticeAt {
		return
	}
	r.nextLoadNoticeAt = now.Add(r.params.LoadPollInterval)
	peers := r.regionPeers()
	placed := r.placement.DrainLoadDeltas()
	if len(peers) <= r.params.LoadFanout {
		r.recentTransfers = nil
		r.sendLoadNotice(peers, placed, r.upstreamLoads(now))
		clear(r.loads)
		return
	}
	r.shareRoundRobin(now, peers, placed)
}

// shareRoundRobin sends the loads and the transfers of one round over all peers to
// the next LoadFanout peers. Placements are left out: the slots are kept by the
// ledger holder, and the reports show the queue of a prefill engine.
func (r *Router) shareRoundRobin(now core.Instant, peers []membership.Member, placed []placement.LoadDelta) {
	round := (len(peers) + r.params.LoadFanout - 1) / r.params.LoadFanout
	r.recentTransfers = append(r.recentTransfers, r.sumByDataCentre(placed))
	if len(r.recentTransfers) > round {
		r.recentTransfers = r.recentTransfers[len(r.recentTransfers)-round:]
	}
	maps.DeleteFunc(r.loads, func(_ core.UpstreamID, report placement.LoadReport) bool {
		return now.Sub(report.ObservedAt) > r.maxSharedLoadAge()
	})
	var next []membership.Member
	for range r.params.LoadFanout {
		next = append(next, peers[r.shareCursor%len(peers)])
		r.shareCursor = (r.shareCursor + 1) % len(peers)
	}
	r.sendLoadNotice(next, r.sumByDataCentre(slices.Concat(r.recentTransfers...)), r.upstreamLoads(now))
}

// maxSharedLoadAge is the age up to which a report is sent again. An Upstream that does
// not answer its polls must not be reported as usable.
func (r *Router) maxSharedLoadAge() time.Duration { return 3 * r.params.LoadPollInterval }

// sumByDataCentre sums the transfers over the link of each DataCentre, under the
// first Upstream of the DataCentre that occurs.
func (r *Router) sumByDataCentre(placed []placement.LoadDelta) []placement.LoadDelta {
	var sums []placement.LoadDelta
	at := map[core.DataCentreName]int{}
	for _, one := range placed {
		if one.LinkBytes == 0 {
			continue
		}
		dc := r.upstreams[one.Upstream].dataCentre
		n, found := at[dc]
		if !found {
			n = len(sums)
			at[dc] = n
			sums = append(sums, placement.LoadDelta{Upstream: one.Upstream})
		}
		sums[n].LinkBytes += one.LinkBytes
	}
	return sums
}

func (r *Router) regionPeers() []membership.Member {
	var peers []membership.Member
	for _, member := range r.membership.Roster().Members {
		if member.Ref.ID != r.self.Ref.ID && member.Region == r.self.Region {
			peers = append(peers, member)
		}
	}
	return peers
}

func (r *Router) upstreamLoads(now core.Instant) []UpstreamLoad {
	var loads []UpstreamLoad
	for _, up := range slices.Sorted(maps.Keys(r.loads)) {
		report := r.loads[up]
		loads = append(loads, UpstreamLoad{
			Upstream:     up,
			Slots:        report.Slots,
			Used:         report.UsedSlots,
			Queued:       report.QueuedRequests,
			QueuedTokens: report.QueuedTokens,
			Age:          now.Sub(report.ObservedAt),
			Generation:   report.Generation,
		})
	}
	return loads
}

func (r *Router) sendLoadNotice(to []membership.Member, placed []placement.LoadDelta, loads []UpstreamLoad) {
	if len(loads) == 0 && len(placed) == 0 {
		return
	}
	notice := LoadNotice{Upstreams: loads, Placed: placed, Age: r.params.LoadPollInterval / 2}
	for _, member := range to {
		r.emit(SendPeerMessage{To: member.Ref.ID, Addr: member.PeerAddr, Message: Message{Load: &notice}, NotAfter: core.Never})
	}
}
