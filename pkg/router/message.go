package router

import (
	"fmt"
	"time"

	"github.com/rhubarbsill/rhubarbsill/pkg/attempts"
	"github.com/rhubarbsill/rhubarbsill/pkg/core"
	"github.com/rhubarbsill/rhubarbsill/pkg/fleet"
	"github.com/rhubarbsill/rhubarbsill/pkg/limits"
	"github.com/rhubarbsill/rhubarbsill/pkg/placement"
	"github.com/rhubarbsill/rhubarbsill/pkg/timeline"
)

// Message is a one-way message between two Instances. Exactly one field is set.
type Message struct {
	Heartbeat    *Heartbeat
	LoanRequest  *limits.LoanRequest
	LoanReply    *limits.LoanReply
	Reserve      *placement.ReserveRequest
	ReserveReply *placement.ReserveReply
	Release      *placement.ReleaseNotice
	Suspect      *attempts.SuspectNotice
	Load         *LoadNotice
	AskOwner     *AbandonedAttemptsQuery
	Serves       *ServedStateNotice
	Hosted       *HostedHeartbeat
	Quota        *QuotaUpdate
	State        *StateNotice
	Follow       *FollowMessage
	Members      *fleet.MemberNotice
}

// AbandonedAttemptsQuery asks the owner of attempts at an Upstream to cancel
// those that it no longer runs.
type AbandonedAttemptsQuery struct {
	Upstream core.UpstreamID
	Attempts []core.AttemptID
}

// LoadNotice shares the load of Upstreams with the peers that do not poll them.
type LoadNotice struct {
	Upstreams []UpstreamLoad
	// Placed holds the load that the sender has placed since its last notice. Age
	// is the approximate age of these placements.
	Placed []placement.LoadDelta
	Age    time.Duration
}

// UpstreamLoad is the load of one Upstream.
type UpstreamLoad struct {
	Upstream     core.UpstreamID
	Slots        int
	Used         int
	Queued       int
	QueuedTokens int64
	// Age is the age of the report when the notice was sent.
	Age        time.Duration
	Generation uint64
}

func (r *Router) sendToMember(to core.InstanceID, m Message, notAfter core.Instant) {
	member, found := r.membership.Roster().Member(to)
	if !found {
		return
	}
	r.emit(SendPeerMessage{To: to, Addr: member.PeerAddr, Message: m, NotAfter: notAfter})
}

func (r *Router) onPeerMessage(now core.Instant, from core.InstanceRef, m Message) {
	switch {
	case m.Heartbeat != nil:
		r.onHeartbeat(now, from, m.Heartbeat)
	case m.LoanRequest != nil:
		r.onLoanRequest(now, from, *m.LoanRequest)
	case m.LoanReply != nil:
		r.applyAdmissionUpdates(now, r.limits.OnLoanReply(now, from, *m.LoanReply))
	case m.Reserve != nil:
		r.onReserveRequest(now, from, *m.Reserve)
	case m.ReserveReply != nil:
		r.applyPlacement(now, r.placement.OnReserveReply(now, *m.ReserveReply))
	case m.Release != nil:
		r.applyPlacement(now, r.placement.OnReleaseNotice(now, from, *m.Release))
	case m.Suspect != nil:
		r.applyAttempts(now, r.attempts.OnSuspectNotice(now, from, *m.Suspect))
	case m.Load != nil:
		r.onLoadNotice(now, m.Load)
	case m.Serves != nil:
		r.onServedStateNotice(now, m.Serves)
	case m.AskOwner != nil:
		r.applyAttempts(now, r.attempts.OnOwnerQuery(now, m.AskOwner.Upstream, m.AskOwner.Attempts))
	}
}

func (r *Router) onReserveRequest(now core.Instant, from core.InstanceRef, q placement.ReserveRequest) {
	reply := r.placement.OnReserve(now, from, q)
	r.emit(Record{Event: timeline.Event{
		Component: "placement",
		Kind:      "slot_asked",
		Request:   q.ID,
		Upstream:  q.Upstream,
		Detail:    fmt.Sprintf("from=%s granted=%t", from, reply.Granted),
	}})
	r.sendToMember(from.ID, Message{ReserveReply: &reply}, core.Never)
}

// onLoanRequest lends tokens of a known account if this Instance is one of its
// homes. There is no reply for an unknown account: the borrower has a newer
// configuration, and it asks the next home after its timeout.
func (r *Router) onLoanRequest(now core.Instant, from core.InstanceRef, q limits.LoanRequest) {
	if r.snapshot == nil {
		return
	}
	account, found := r.snapshot.Account(q.Account)
	if !found {
		return
	}
	reply := r.limits.OnLoanRequest(now, from, accountLimit(account), q)
	r.sendToMember(from.ID, Message{LoanReply: &reply}, core.Never)
}

func (r *Router) onLoadNotice(now core.Instant, notice *LoadNotice) {
	r.placement.OnPeerLoadDeltas(now, notice.Age, notice.Placed)
	for _, load := range notice.Upstreams {
		r.applyPlacement(now, r.placement.OnLoadReport(now, load.Upstream, placement.LoadReport{
			Slots:          load.Slots,
			UsedSlots:      load.Used,
			QueuedRequests: load.Queued,
			QueuedTokens:   load.QueuedTokens,
			ObservedAt:     now.Add(-load.Age),
			Generation:     load.Generation,
		}))
	}
}
