package router

import (
	"time"

	"github.com/rhubarbsill/rhubarbsill/pkg/core"
	"github.com/rhubarbsill/rhubarbsill/pkg/keys"
	"github.com/rhubarbsill/rhubarbsill/pkg/membership"
)

// Heartbeat carries the membership heartbeat and the sender's latest confirmation
// of the configuration version.
type Heartbeat struct {
	Membership membership.Heartbeat
	// Version is 0 when the sender has no confirmation.
	Version core.Version
	Age     time.Duration
	// Held is the time between the receipt of the heartbeat that Membership.Echo
	// names and the sending of this one.
	Held time.Duration
}

// maxSentRounds bounds the heartbeat rounds whose sending time is stored. A peer
// echoes a round that is at most a few rounds old.
const maxSentRounds = 128

// heartbeatTimes stores the instants that bound the age of a confirmation in a
// peer's heartbeat without a comparison of clocks.
type heartbeatTimes struct {
	sent     map[uint64]core.Instant
	received map[core.InstanceRef]receipt
}

type receipt struct {
	seq        uint64
	receivedAt core.Instant
}

func newHeartbeatTimes() heartbeatTimes {
	return heartbeatTimes{sent: map[uint64]core.Instant{}, received: map[core.InstanceRef]receipt{}}
}

func (h *heartbeatTimes) recordSent(now core.Instant, seq uint64) {
	if _, known := h.sent[seq]; known {
		return
	}
	h.sent[seq] = now
	if seq > maxSentRounds {
		delete(h.sent, seq-maxSentRounds)
	}
}

func (h *heartbeatTimes) recordReceived(now core.Instant, from core.InstanceRef, seq uint64) {
	if seq > h.received[from].seq {
		h.received[from] = receipt{seq: seq, receivedAt: now}
	}
}

// removeNonMembers removes the peers that are no longer members and previous
// incarnations of members.
func (h *heartbeatTimes) removeNonMembers(roster membership.Roster) {
	for ref := range h.received {
		if member, found := roster.Member(ref.ID); !found || member.Ref.Incarnation > ref.Incarnation {
			delete(h.received, ref)
		}
	}
}

func (r *Router) sendHeartbeat(now core.Instant, o membership.SendHeartbeat) {
	r.heartbeats.recordSent(now, o.Heartbeat.Seq)
	heartbeat := &Heartbeat{Membership: o.Heartbeat}
	heartbeat.Version, heartbeat.Age = r.keys.LatestConfirmation(now)
	echoed := core.InstanceRef{ID: o.To, Incarnation: o.Heartbeat.EchoOf}
	if last, found := r.heartbeats.received[echoed]; found && last.seq == o.Heartbeat.Echo {
		heartbeat.Held = now.Sub(last.receivedAt)
	}
	r.emit(SendPeerMessage{To: o.To, Addr: o.PeerAddr, Message: Message{Heartbeat: heartbeat}, NotAfter: core.Never})
}

func (r *Router) onHeartbeat(now core.Instant, from core.InstanceRef, h *Heartbeat) {
	r.heartbeats.recordReceived(now, from, h.Membership.Seq)
	r.applyMembership(now, r.membership.OnHeartbeat(now, h.Membership))
	member, found := r.membership.Roster().Member(from.ID)
	if !found {
		return
	}
	if h.Version == 0 {
		return
	}
	age := r.confirmationAge(now, h)
	r.keys.Confirm(now, h.Version, age)
	r.keys.OnPeerReport(now, from, member.Region, h.Age)
	r.applyRollout(now, r.rollout.OnConfirmation(now, h.Version, age, from))
}

// confirmationAge returns an upper bound of the age of the confirmation in a
// heartbeat. The heartbeat must echo one sent by this incarnation; otherwise the
// message may be arbitrarily old and the age is keys.UnknownAge.
func (r *Router) confirmationAge(now core.Instant, h *Heartbeat) time.Duration {
	sent, known := r.heartbeats.sent[h.Membership.Echo]
	if !known || h.Membership.EchoOf != r.self.Ref.Incarnation {
		return keys.UnknownAge
	}
	return keys.AgeBound(now, sent, h.Held, h.Age)
}
