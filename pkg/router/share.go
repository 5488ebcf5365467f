package router

import (
	"maps"
	"slices"
	"time"

	"github.com/rhubarbsill/rhubarbsill/pkg/core"
	"github.com/rhubarbsill/rhubarbsill/pkg/membership"
	"github.com/rhubarbsill/rhubarbsill/pkg/placement"
)

// shareLoad sends the polled loads and the placements of this Instance to the
// members of its region. KV caches are not transferred across regions, so other
// regions do not need them. With up to LoadFanout peers, every peer gets all
// loads and placements in each interval. With more peers, the traffic would grow
// with the fleet: 136 KB/s at 80 Instances.
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

// shareRoundRobin sends the loads, and the transfers of the last round over all
// peers, to the next LoadFanout peers. Other placements are omitted: the ledger
// holder counts the slots, and the reports contain the queue of a prefill engine.
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

// maxSharedLoadAge is the age up to which a report is sent again. An Upstream
// that does not respond to polls must not be reported as usable.
func (r *Router) maxSharedLoadAge() time.Duration { return 3 * r.params.LoadPollInterval }

// sumByDataCentre sums the bytes transferred over the link of each DataCentre.
// Each sum is returned under the first Upstream of the DataCentre in placed.
func (r *Router) sumByDataCentre(placed []placement.LoadDelta) []placement.LoadDelta {
	var sums []placement.LoadDelta
	at := map[core.DataCentreName]int{}
	for _, delta := range placed {
		if delta.LinkBytes == 0 {
			continue
		}
		dc := r.upstreams[delta.Upstream].dataCentre
		n, found := at[dc]
		if !found {
			n = len(sums)
			at[dc] = n
			sums = append(sums, placement.LoadDelta{Upstream: delta.Upstream})
		}
		sums[n].LinkBytes += delta.LinkBytes
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
