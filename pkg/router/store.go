package router

import (
	"encoding/json"
	"fmt"
	"slices"

	"github.com/rhubarbsill/rhubarbsill/pkg/claims"
	"github.com/rhubarbsill/rhubarbsill/pkg/config"
	"github.com/rhubarbsill/rhubarbsill/pkg/core"
	"github.com/rhubarbsill/rhubarbsill/pkg/membership"
	"github.com/rhubarbsill/rhubarbsill/pkg/orders"
	"github.com/rhubarbsill/rhubarbsill/pkg/placement"
	"github.com/rhubarbsill/rhubarbsill/pkg/rollout"
)

// Names of the objects in the platform's store.
const (
	rosterObject = "roster"
	piecePrefix  = "config/pieces/"
	claimsPrefix = "claims/"
)

func claimsObjectName(shard int) string { return fmt.Sprintf("%s%d", claimsPrefix, shard) }

// PieceObject returns the name of the object that holds a piece.
func PieceObject(hash config.Hash) string { return piecePrefix + hash.String() }

// RootObject returns the name of the object that holds the root of an
// environment's configuration.
func RootObject(environment string) string { return "config/" + environment + "/root" }

func (r *Router) applyMembership(now core.Instant, outputs []membership.Output) {
	for _, output := range outputs {
		switch o := output.(type) {
		case membership.SendHeartbeat:
			r.sendHeartbeat(now, o)
		case membership.ReadRoster:
			r.emit(StoreGet{Op: StoreOp{Kind: OpRoster}, Name: rosterObject})
		case membership.WriteRoster:
			r.writeRoster(o)
		case membership.ActivateRoster:
			r.activateRoster(now, o.Roster)
		case membership.SetEntitlementExpiry:
			r.limits.SetEntitlementExpiry(o.Until)
		case membership.IncarnationDead:
			r.applyAttempts(now, r.attempts.OnIncarnationDead(now, o.Ref))
			r.claims.OnIncarnationDead(o.Ref)
		case membership.StopServing:
			r.stopReason = o.Reason
			r.emit(StopServing{Reason: o.Reason})
		}
	}
	if !r.membership.Stopped() {
		r.stopReason = ""
	}
}

// onInstancesListed ignores the list until a configuration is active, since only
// the configuration maps the DataCentre of an Instance to a region.
func (r *Router) onInstancesListed(now core.Instant, e InstancesListed) {
	if r.snapshot == nil {
		return
	}
	list := slices.Clone(e.List)
	for i := range list {
		if dc, found := r.snapshot.DataCentre(list[i].DataCentre); found {
			list[i].Region = dc.Region
		}
	}
	r.applyMembership(now, r.membership.OnList(now, list))
}

func (r *Router) writeRoster(o membership.WriteRoster) {
	value, err := json.Marshal(o.Roster)
	if err != nil {
		panic(err) // cannot happen: every field of a roster can be encoded
	}
	r.writtenRoster = o.Roster
	r.emit(StorePut{
		Op:       StoreOp{Kind: OpRoster, Write: true},
		Name:     rosterObject,
		Base:     o.Base,
		Value:    value,
		NotAfter: core.Never,
	})
}

func (r *Router) activateRoster(now core.Instant, roster membership.Roster) {
	r.limits.SetRoster(now, roster)
	r.heartbeats.removeNonMembers(roster)
	var members []placement.Member
	var refs []core.InstanceRef
	for _, m := range roster.Members {
		members = append(members, placement.Member{Ref: m.Ref, DataCentre: m.DataCentre})
		refs = append(refs, m.Ref)
	}
	r.applyPlacement(now, r.placement.SetMembers(now, members))
	r.applyAttempts(now, r.attempts.SetMembers(now, refs))
	r.schedulePolls(now)
	r.updateOrders(now)
	r.recordEvent(now, "membership", "roster", fmt.Sprintf("epoch=%d members=%d settled=%t", roster.Epoch, len(members), roster.HandoverComplete))
}

func (r *Router) onStoreReplied(now core.Instant, e StoreReplied) {
	switch e.Op.Kind {
	case OpRoster:
		r.onRosterReply(now, e)
	case OpClaims:
		r.onClaimsReply(now, e)
	case OpOrders:
		r.onLeaseReply(now, e)
	case OpRoot, OpPiece:
		r.onConfigReply(now, e)
	}
}

func (r *Router) onRosterReply(now core.Instant, e StoreReplied) {
	if e.Op.Write {
		if e.Failure == "" {
			r.applyMembership(now, r.membership.OnRosterRead(now, r.writtenRoster, e.Version))
			return
		}
		r.applyMembership(now, r.membership.OnWriteFailed(now))
		return
	}
	if e.Failure == StoreNotFound {
		r.applyMembership(now, r.membership.OnRosterRead(now, membership.Roster{}, 0))
		return
	}
	if e.Failure != "" {
		return
	}
	var roster membership.Roster
	if err := json.Unmarshal(e.Value, &roster); err != nil {
		r.recordEvent(now, "membership", "malformed_roster", err.Error())
		return
	}
	r.applyMembership(now, r.membership.OnRosterRead(now, roster, e.Version))
}

func (r *Router) onClaimsReply(now core.Instant, e StoreReplied) {
	if !e.Op.Write {
		switch e.Failure {
		case "":
			r.applyClaims(now, r.claims.OnRead(now, e.Op.Shard, e.Value, e.Version, true))
		case StoreNotFound:
			r.applyClaims(now, r.claims.OnRead(now, e.Op.Shard, nil, 0, false))
		default:
			r.applyClaims(now, r.claims.OnReadFailed(now, e.Op.Shard))
		}
		return
	}
	switch e.Failure {
	case "":
		r.applyClaims(now, r.claims.OnWritten(now, e.Op.Shard, e.Version))
	case StoreConflict, StoreNotFound:
		r.applyClaims(now, r.claims.OnWriteFailed(now, e.Op.Shard, claims.WriteConflict))
	case StoreOutcomeUnknown:
		r.applyClaims(now, r.claims.OnWriteFailed(now, e.Op.Shard, claims.ReplyLost))
	default:
		r.applyClaims(now, r.claims.OnWriteFailed(now, e.Op.Shard, claims.StoreUnavailable))
	}
}

func (r *Router) onConfigReply(now core.Instant, e StoreReplied) {
	if e.Failure != "" {
		r.applyRollout(now, r.rollout.OnFailure(now, rollout.FetchID{Hash: e.Op.Hash}))
		return
	}
	if e.Op.Kind == OpPiece {
		r.applyRollout(now, r.rollout.OnPiece(now, e.Op.Hash, e.Value))
		return
	}
	root, err := config.ParseRoot(e.Value)
	if err != nil {
		r.recordEvent(now, "rollout", "malformed_root", err.Error())
		return
	}
	// The root is confirmed as of the request, not the reply: the reply may have
	// been in transit for long.
	r.applyRollout(now, r.rollout.OnRoot(now, root, now.Sub(e.RequestedAt), rollout.Store))
}

func (r *Router) applyRollout(now core.Instant, outputs []rollout.Output) {
	for _, output := range outputs {
		switch o := output.(type) {
		case rollout.ReadRoot:
			r.readRoot(o.From)
		case rollout.FetchPiece:
			r.fetchPiece(o)
		case rollout.RevokeKey:
			r.onKeyRevoked(now, o)
		case rollout.ConfirmVersion:
			r.keys.MarkVersionRead(now, o.Version)
			r.keys.Confirm(now, o.Version, o.Age)
		case rollout.ActivateSnapshot:
			if r.snapshot == nil {
				r.nextListAt = now // onInstancesListed needs a configuration
			}
			r.activateSnapshot(now, o.Snapshot)
			r.recordEvent(now, "rollout", "in_force", fmt.Sprintf("version=%d", o.Snapshot.Version()))
		case rollout.RejectVersion:
			r.recordEvent(now, "rollout", "rejected", fmt.Sprintf("version=%d: %s", o.Version, o.Reason))
		}
	}
}

func (r *Router) readRoot(from rollout.Source) {
	if member, found := r.membership.Roster().Member(from.Peer.ID); found {
		r.emit(FetchRoot{From: from.Peer, Addr: member.PeerAddr})
		return
	}
	r.emit(StoreGet{Op: StoreOp{Kind: OpRoot}, Name: RootObject(r.params.Environment)})
}

func (r *Router) fetchPiece(o rollout.FetchPiece) {
	if member, found := r.membership.Roster().Member(o.From.Peer.ID); found {
		r.emit(FetchPiece{Hash: o.Hash, From: o.From.Peer, Addr: member.PeerAddr})
		return
	}
	r.emit(StoreGet{Op: StoreOp{Kind: OpPiece, Hash: o.Hash}, Name: PieceObject(o.Hash)})
}

// onEffectExpired reports to the responsible module that an effect was not
// carried out.
func (r *Router) onEffectExpired(now core.Instant, e Effect) {
	switch e := e.(type) {
	case StorePut:
		r.onStoreReplied(now, StoreReplied{Op: e.Op, Failure: StoreUnavailable, RequestedAt: now})
	case SendOrder:
		r.onOrderResult(now, OrderResult{Service: e.Service, Upstream: e.Upstream, Fence: e.Fence, Result: orders.Expired})
	case StartPrefill:
		r.failExpiredAttempt(now, e.Attempt, e.Upstream)
	case StartDecode:
		r.failExpiredAttempt(now, e.Attempt, e.Upstream)
	case StartCall:
		r.failExpiredAttempt(now, e.Attempt, e.Upstream)
	case StartResume:
		r.failExpiredAttempt(now, e.Attempt, e.Upstream)
	}
}
