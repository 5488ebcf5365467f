package router

import (
	"slices"
	"time"

	"github.com/rhubarbsill/rhubarbsill/pkg/announce"
	"github.com/rhubarbsill/rhubarbsill/pkg/core"
	"github.com/rhubarbsill/rhubarbsill/pkg/dispatch"
	"github.com/rhubarbsill/rhubarbsill/pkg/evacuation"
	"github.com/rhubarbsill/rhubarbsill/pkg/fleet"
	"github.com/rhubarbsill/rhubarbsill/pkg/poison"
	"github.com/rhubarbsill/rhubarbsill/pkg/quota"
	"github.com/rhubarbsill/rhubarbsill/pkg/throttle"
)

// HostedHeartbeat is the message that a hosted Instance sends to each peer at
// intervals.
type HostedHeartbeat struct {
	Member fleet.Member
	State  fleet.State
	// Liveness states when the heartbeat was made, nil from an Instance of an earlier version.
	Liveness *fleet.Stamp
	// Contact tells the receiver which peers the sender misses.
	Contact fleet.Contact
	// ConfigAt and UpstreamsAt identify the active configuration and the Upstreams of the
	// sender, zero for none.
	ConfigAt    StateStamp
	UpstreamsAt StateStamp
	// Quotas holds what the sender has admitted per account.
	Quotas map[core.AccountID]quota.Report
	// Loads holds the load that the sender has placed on each Upstream.
	Loads map[core.UpstreamID]dispatch.Load
	// Limits holds what Upstreams announce about their rate, and what the sender uses of it.
	Limits map[core.UpstreamID]throttle.Report
	// Leaving holds the Upstreams that have stated that they leave.
	Leaving map[core.UpstreamID]announce.Process
	// Poison holds the evidence on parts of prompts that may crash Upstreams.
	Poison map[core.PromptPart]poison.Report
	// Crashing holds the evidence on requests that may crash Upstreams, by fingerprint.
	Crashing map[core.PromptPart]poison.Report
	// Evacuations holds the evacuated DataCentres, nil if the deployment has none.
	Evacuations *evacuation.Report
	// Follow tells followers how recent their configuration and Upstreams are, nil if each Instance watches
	// the store itself.
	Follow *FollowReport
}

// QuotaUpdate is the message that a hosted Instance sends to its peers between two
// heartbeats.
type QuotaUpdate struct {
	// Quotas holds what the sender has admitted for the accounts near their limit.
	Quotas map[core.AccountID]quota.Report
	// Limits holds what the sender uses of the Upstreams near the rate that they announce,
	// and new announcements.
	Limits map[core.UpstreamID]throttle.Report
}

// peerMessageTTL is the time after which an unsent heartbeat or quota update is
// dropped. The next one is newer.
const peerMessageTTL = 300 * time.Millisecond

// fullPoisonReports is the mean number of rounds of heartbeats of which one repeats all
// evidence on parts of prompts, for Instances that have just started.
const fullPoisonReports = 8

func (h *hosted) sendHeartbeats(now core.Instant, to []fleet.Member) {
	revision, _ := h.catalog.Revision()
	allEvidence := h.Router.params.Rand.IntN(fullPoisonReports) == 0
	heartbeat := &HostedHeartbeat{
		Member:      h.fleet.Self(),
		State:       h.fleet.State(),
		Liveness:    h.fleet.Stamp(now),
		ConfigAt:    h.ownState(StateConfig),
		UpstreamsAt: StateStamp{Revision: revision},
		Quotas:      h.quota.Reports(now),
		Loads:       h.dispatch.Loads(),
		Limits:      h.announcements.Rates.Reports(now),
		Leaving:     h.announcements.LeavingReports(now),
		Poison:      h.poison.Reports(now, allEvidence),
		Crashing:    h.crashing.Reports(now, allEvidence),
		Evacuations: h.evacuations.Report(now),
		Follow:      h.followReport(now),
		Contact:     h.fleet.ContactFor(now, ""),
	}
	for _, member := range to {
		h.emit(SendPeerMessage{To: member.Ref.ID, Addr: member.PeerAddr, Message: Message{Hosted: h.heartbeatFor(now, member, heartbeat)}, NotAfter: now.Add(peerMessageTTL)})
	}
}

// quotaUpdateInterval is the shortest interval between two quota updates, equal to
// the heartbeat interval of a small fleet.
const quotaUpdateInterval = 150 * time.Millisecond

// sendQuotaUpdates sends the reports of accounts and of Upstreams near their limit to the
// live peers that get no heartbeat in this tick.
func (h *hosted) sendQuotaUpdates(now core.Instant, heartbeatReceivers []fleet.Member) {
	urgent := h.quota.HasUrgentReports(now) || h.announcements.Rates.HasUrgentReports(now)
	if now < h.nextQuotaUpdateAt || !urgent || !h.fleet.AllowQuotaUpdate(now) {
		return
	}
	h.nextQuotaUpdateAt = now.Add(quotaUpdateInterval)
	update := &QuotaUpdate{Quotas: h.quota.TakeUrgentReports(now), Limits: h.announcements.Rates.TakeUrgentReports(now)}
	for _, member := range h.fleet.LivePeers() {
		if slices.Contains(heartbeatReceivers, member) {
			continue
		}
		h.emit(SendPeerMessage{To: member.Ref.ID, Addr: member.PeerAddr, Message: Message{Quota: update}, NotAfter: now.Add(peerMessageTTL)})
	}
}

// onQuotaUpdate applies a quota update of a live peer. An update of a silent peer is
// ignored; the peer's next heartbeat contains the same reports.
func (h *hosted) onQuotaUpdate(now core.Instant, from core.InstanceRef, update *QuotaUpdate) {
	if h.fleet.IsLive(from) {
		h.quota.OnPeerReports(now, from, update.Quotas)
		h.onPeerLimits(now, from, update.Limits)
	}
}

func (h *hosted) onPeerLimits(now core.Instant, from core.InstanceRef, reports map[core.UpstreamID]throttle.Report) {
	for _, id := range h.announcements.Rates.OnPeerReports(now, from, reports) {
		h.recordAnnouncement(now, id, announce.Event{Kind: announce.EventRate, Detail: h.announcements.RateDetail(id, from.ID)})
	}
}

func (h *hosted) onHeartbeat(now core.Instant, from core.InstanceRef, heartbeat *HostedHeartbeat) {
	known := h.fleet.KnownCount()
	if !h.fleet.OnStampedHeartbeat(now, heartbeat.Member, heartbeat.State, heartbeat.Liveness) {
		h.logDelayedHeartbeats(now, from)
		return
	}
	h.fleet.SetContact(now, from.ID, heartbeat.Contact)
	if h.claim.Reason == fleet.ClaimJoining {
		h.followShares(now)
	}
	if h.fleet.KnownCount() != known {
		h.recordEvent(now, "fleet", "peer found", from.String())
		h.warmup.AddMember(from.ID)
	}
	h.retry.SetInstances(h.fleet.KnownCount())
	h.announcements.Rates.SetInstances(now, h.fleet.KnownCount())
	h.onPeerLimits(now, heartbeat.Member.Ref, heartbeat.Limits)
	h.onPeerAnnouncements(now, from.ID, heartbeat.Leaving)
	h.quota.OnPeerReports(now, heartbeat.Member.Ref, heartbeat.Quotas)
	h.dispatch.SetPeerLoads(from.ID, loadsOf(heartbeat))
	if len(heartbeat.Poison)+len(heartbeat.Crashing) > 0 {
		h.poison.OnPeerReports(now, heartbeat.Poison)
		h.crashing.OnPeerReports(now, heartbeat.Crashing)
		h.refuseWaitingPoison(now)
	}
	for _, state := range []StateStamp{heartbeat.ConfigAt, heartbeat.UpstreamsAt} {
		h.observeEra(now, state.Revision)
	}
	h.onPeerEvacuations(now, heartbeat.Member.Ref, heartbeat.Evacuations)
	h.onFollowReport(now, heartbeat)
	h.notePeerState(now, heartbeat.Member, StateConfig, heartbeat.ConfigAt)
	h.notePeerState(now, heartbeat.Member, StateUpstreams, heartbeat.UpstreamsAt)
}

func loadsOf(heartbeat *HostedHeartbeat) map[core.UpstreamID]dispatch.Load {
	if heartbeat.Loads == nil {
		return map[core.UpstreamID]dispatch.Load{}
	}
	return heartbeat.Loads
}
