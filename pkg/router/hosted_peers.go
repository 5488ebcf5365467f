package router

import (
	"slices"
	"strconv"
	"time"

	"github.com/rhubarbsill/rhubarbsill/pkg/core"
	"github.com/rhubarbsill/rhubarbsill/pkg/dispatch"
	"github.com/rhubarbsill/rhubarbsill/pkg/fleet"
	"github.com/rhubarbsill/rhubarbsill/pkg/quota"
)

// HostedHeartbeat is what a hosted Instance tells each peer.
type HostedHeartbeat struct {
	Member fleet.Member
	State  fleet.State
	// ConfigRevision and CatalogRevision are the store's revisions of what is in
	// force at the sender, 0 for none.
	ConfigRevision  uint64
	CatalogRevision uint64
	// Quotas is what the sender has admitted per account.
	Quotas map[core.AccountID]quota.Report
	// Loads is what the sender has placed on each Upstream.
	Loads map[core.UpstreamID]dispatch.Load
	// Crashes counts the Upstreams that the sender lost to a request lately.
	Crashes map[core.Fingerprint]int
}

// QuotaUpdate is what a hosted Instance tells its peers between two heartbeats.
type QuotaUpdate struct {
	// Quotas is what the sender has admitted of the accounts near their limit.
	Quotas map[core.AccountID]quota.Report
}

// peerMessageTTL is the time after which a heartbeat that was not sent is dropped:
// the next one says more.
const peerMessageTTL = 300 * time.Millisecond

func (h *hosted) sendHeartbeats(now core.Instant, to []fleet.Member) {
	revision, _ := h.catalog.Revision()
	beat := &HostedHeartbeat{
		Member:          h.fleet.Self(),
		State:           h.fleet.State(),
		ConfigRevision:  h.configRevision,
		CatalogRevision: revision,
		Quotas:          h.quota.Reports(now),
		Loads:           h.dispatch.Loads(),
		Crashes:         h.ownCrashes(now),
	}
	for _, member := range to {
		h.emit(SendPeerMessage{To: member.Ref.ID, Addr: member.PeerAddr, Message: Message{Hosted: beat}, NotAfter: now.Add(peerMessageTTL)})
	}
}

// quotaUpdateInterval is the shortest time between two notes: as often as a small fleet sends
// heartbeats.
const quotaUpdateInterval = 150 * time.Millisecond

// sendQuotaUpdates tells the peers that get no heartbeat now of the accounts that are
// near their limit.
func (h *hosted) sendQuotaUpdates(now core.Instant, told []fleet.Member) {
	if now < h.nextQuotaUpdateAt || !h.quota.HasUrgentReports(now) || !h.fleet.AllowQuotaUpdate(now) {
		return
	}
	h.nextQuotaUpdateAt = now.Add(quotaUpdateInterval)
	reports := h.quota.TakeUrgentReports(now)
	for _, member := range h.fleet.LivePeers() {
		if slices.Contains(told, member) {
			continue
		}
		h.emit(SendPeerMessage{To: member.Ref.ID, Addr: member.PeerAddr, Message: Message{Quota: &QuotaUpdate{Quotas: reports}}, NotAfter: now.Add(peerMessageTTL)})
	}
}

// onQuotaUpdate takes in a note. That of a peer which isn't heard waits for its next
// heartbeat, which says as much.
func (h *hosted) onQuotaUpdate(now core.Instant, from core.InstanceRef, note *QuotaUpdate) {
	if h.fleet.IsLive(from) {
		h.quota.OnPeerReports(now, from, note.Quotas)
	}
}

func (h *hosted) onHeartbeat(now core.Instant, from core.InstanceRef, beat *HostedHeartbeat) {
	known := h.fleet.KnownCount()
	if !h.fleet.OnHeartbeat(now, beat.Member, beat.State) {
		return
	}
	if h.fleet.KnownCount() != known {
		h.recordEvent(now, "fleet", "peer found", from.String())
	}
	h.retry.SetInstances(h.fleet.KnownCount())
	h.quota.OnPeerReports(now, beat.Member.Ref, beat.Quotas)
	h.dispatch.SetPeerLoads(from.ID, loadsOf(beat))
	for print, n := range beat.Crashes {
		h.crashRecordOf(now, print).peers[from.ID] = n
	}
	h.fetchIfBehind(now, beat.Member, StateConfig, beat.ConfigRevision, h.configRevision)
	revision, _ := h.catalog.Revision()
	h.fetchIfBehind(now, beat.Member, StateUpstreams, beat.CatalogRevision, revision)
}

func loadsOf(beat *HostedHeartbeat) map[core.UpstreamID]dispatch.Load {
	if beat.Loads == nil {
		return map[core.UpstreamID]dispatch.Load{}
	}
	return beat.Loads
}

// fetchIfBehind fetches a state from a peer that has been ahead for a while: the store
// may turn this Instance away and serve others.
func (h *hosted) fetchIfBehind(now core.Instant, peer fleet.Member, kind StateKind, theirs, own uint64) {
	if theirs <= own {
		if f := h.fetches[kind]; f != nil && !f.running && theirs == own {
			delete(h.fetches, kind)
		}
		return
	}
	f := h.fetches[kind]
	if f == nil {
		h.fetches[kind] = &stateFetch{behindSince: now}
		return
	}
	if f.running || now.Sub(f.behindSince) < stateFetchDelay {
		return
	}
	f.running = true
	h.recordEvent(now, "fleet", "fetch "+string(kind), "from="+peer.Ref.String()+
		" theirs="+strconv.FormatUint(theirs, 10)+" own="+strconv.FormatUint(own, 10))
	h.emit(FetchState{Kind: kind, From: peer.Ref.ID, Addr: peer.PeerAddr})
}

// crashRecordOf returns the record of a request, and forgets old ones.
func (h *hosted) crashRecordOf(now core.Instant, print core.Fingerprint) *crashRecord {
	for other, c := range h.crashes {
		if now >= c.expiresAt {
			delete(h.crashes, other)
		}
	}
	c := h.crashes[print]
	if c == nil {
		c = &crashRecord{peers: map[core.InstanceID]int{}}
		h.crashes[print] = c
	}
	c.expiresAt = now.Add(crashRecordTTL)
	return c
}

func (h *hosted) ownCrashes(now core.Instant) map[core.Fingerprint]int {
	var own map[core.Fingerprint]int
	for print, c := range h.crashes {
		if c.own == 0 || now >= c.expiresAt {
			continue
		}
		if own == nil {
			own = map[core.Fingerprint]int{}
		}
		own[print] = c.own
	}
	return own
}
