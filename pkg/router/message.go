package router

import (
	"time"

	"github.com/rhubarbsill/rhubarbsill/pkg/attempts"
	"github.com/rhubarbsill/rhubarbsill/pkg/core"
	"github.com/rhubarbsill/rhubarbsill/pkg/limits"
	"github.com/rhubarbsill/rhubarbsill/pkg/membership"
	"github.com/rhubarbsill/rhubarbsill/pkg/placement"
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
}

// Heartbeat carries the membership heartbeat and the sender's youngest
// confirmation of the configuration.
type Heartbeat struct {
	Membership membership.Heartbeat
	Version    core.Version
	// Age is the age of the confirmation when the heartbeat was sent. It is
	// negative when the sender has none.
	Age time.Duration
}

// LoadNotice passes the load of Upstreams on to the peers that do not poll them.
type LoadNotice struct{ Upstreams []UpstreamLoad }

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

func (r *Router) sendTo(to core.InstanceID, m Message, notAfter core.Instant) {
	member, found := r.membership.Roster().Member(to)
	if !found {
		return
	}
	r.emit(SendPeer{To: to, Addr: member.PeerAddr, Message: m, NotAfter: notAfter})
}

func (r *Router) peerReceived(now core.Instant, from core.InstanceRef, m Message) {
	switch {
	case m.Heartbeat != nil:
		r.heartbeatReceived(now, from, m.Heartbeat)
	case m.LoanRequest != nil:
		r.loanRequested(now, from, *m.LoanRequest)
	case m.LoanReply != nil:
		r.applyAdmitted(now, r.limits.OnLoanReply(now, from.ID, *m.LoanReply))
	case m.Reserve != nil:
		reply := r.placement.OnReserve(now, from, *m.Reserve)
		r.sendTo(from.ID, Message{ReserveReply: &reply}, core.Never)
	case m.ReserveReply != nil:
		r.applyPlacement(now, r.placement.OnReserveReply(now, *m.ReserveReply))
	case m.Release != nil:
		r.applyPlacement(now, r.placement.OnReleaseNotice(now, from, *m.Release))
	case m.Suspect != nil:
		r.applyAttempts(now, r.attempts.OnSuspect(now, from, *m.Suspect))
	case m.Load != nil:
		r.loadNoticed(now, m.Load)
	}
}

func (r *Router) heartbeatReceived(now core.Instant, from core.InstanceRef, h *Heartbeat) {
	r.applyMembership(now, r.membership.OnHeartbeat(now, h.Membership))
	member, found := r.membership.Roster().Member(from.ID)
	if !found {
		return
	}
	if h.Age < 0 {
		r.keys.PeerHeard(now, from, member.Region, noConfirmation)
		return
	}
	r.keys.PeerHeard(now, from, member.Region, h.Age)
	r.keys.Confirm(now, h.Version, h.Age)
	r.applyRollout(now, r.rollout.OnConfirmation(now, h.Version, h.Age, from.ID))
}

// noConfirmation is the age passed on for a peer that has no confirmation.
const noConfirmation = time.Duration(1<<63 - 1)

// loanRequested answers with a loan when the account is known and this Instance
// is one of its homes. An unknown account gets no answer: the borrower's
// configuration is ahead, and it asks the next home after its timeout.
func (r *Router) loanRequested(now core.Instant, from core.InstanceRef, q limits.LoanRequest) {
	if r.snapshot == nil {
		return
	}
	account, found := r.snapshot.Account(q.Account)
	if !found {
		return
	}
	reply := r.limits.OnLoanRequest(now, from.ID, accountLimit(account), q)
	r.sendTo(from.ID, Message{LoanReply: &reply}, core.Never)
}

func (r *Router) loadNoticed(now core.Instant, notice *LoadNotice) {
	for _, load := range notice.Upstreams {
		r.applyPlacement(now, r.placement.OnLoad(now, load.Upstream, placement.LoadReport{
			Slots:        load.Slots,
			Used:         load.Used,
			Queued:       load.Queued,
			QueuedTokens: load.QueuedTokens,
			AsOf:         now.Add(-load.Age),
			Generation:   load.Generation,
		}))
	}
}
