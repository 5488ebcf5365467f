package router

import (
	"fmt"
	"maps"
	"time"

	"github.com/rhubarbsill/rhubarbsill/pkg/catalog"
	"github.com/rhubarbsill/rhubarbsill/pkg/core"
	"github.com/rhubarbsill/rhubarbsill/pkg/fleet"
	"github.com/rhubarbsill/rhubarbsill/pkg/follow"
)

// StoreCallReady reports that the next call of the store for a kind may begin. A StoreCallDue follows when
// it is due. It is only sent if followers rely on readers.
type StoreCallReady struct {
	Kind StateKind
	// CanWatch is set if the previous call has left a revision from which to watch, Lost if the store did
	// not have the changes after it.
	CanWatch bool
	Lost     bool
}

// StoreWatched reports an answer to a watch, after the event with its changes.
type StoreWatched struct {
	Kind StateKind
	// At is the revision up to which the answer is complete. The store had no later change at the instant
	// ConfirmedAt.
	At          core.StoreRevision
	ConfirmedAt core.Instant
}

// StoreCallDue makes the next call of the store for a kind.
type StoreCallDue struct {
	Kind StateKind
	Call follow.Call
}

func (StoreCallReady) event() {}
func (StoreWatched) event()   {}
func (StoreCallDue) effect()  {}

// FollowReport is what a heartbeat carries for followers.
type FollowReport struct {
	Config    *follow.Confirmation
	Upstreams *follow.Confirmation
	// GraceMS is the time for which removals of Upstreams may be of a store outage, because a call of the
	// sender has failed. Followers make no call that would show that.
	GraceMS int64
}

// FollowMessage is a message about changes of the Upstreams. Exactly one field is set.
type FollowMessage struct {
	Push *follow.Push
	Pull *follow.Pull
}

const (
	// pullTimeout is the time after which changes are requested from another peer. The next heartbeat of
	// a peer that has them comes within it.
	pullTimeout = 150 * time.Millisecond
	// readerPullDelay is the time for which a reader waits for its own watch before it requests changes.
	readerPullDelay = 300 * time.Millisecond
	// followFetchDelay replaces stateFetchDelay for the Upstreams: the changes take 300 B, the list 200 KB
	// with 1,300 Upstreams.
	followFetchDelay = 900 * time.Millisecond
	// remoteMargin is added to the age of a confirmation from another Region, because the transit to there
	// is part of what is taken for the difference of the clocks. It is twice the usual transit.
	remoteMargin = 60 * time.Millisecond
	// roleInterval is the shortest time between two looks at the role, which take 20 us at 330 Instances.
	roleInterval = 100 * time.Millisecond
	// followLogInterval is the shortest time between two log lines about calls of a follower for a kind.
	followLogInterval = time.Second
)

// following is the part of hosted that relies on the readers of the Region. It does nothing without
// the bounds of HostedParams.
type following struct {
	role       follow.Role
	nextRoleAt core.Instant // the role is determined anew then
	config     *follow.State
	upstreams  *follow.State
	history    follow.History
	budget     follow.Budget
	// behindSince is the instant from which peers are known to have later changes, 0 for none. pulledAt
	// is the instant of the last request for them.
	behindSince core.Instant
	pulledAt    core.Instant
	// graceUntil is the end of the grace period that peers have stated.
	graceUntil core.Instant
	counts     FollowCounts
	logs       map[StateKind]*followLog
}

// followLog bounds the log lines about the calls of a follower.
type followLog struct {
	at      core.Instant
	calling bool // the begin was logged
}

// FollowCounts counts messages about changes of the Upstreams.
type FollowCounts struct {
	// Pushed and Answered are the changes sent, without a request and on request. Deferred were not sent
	// because of the budget.
	Pushed, Answered, Deferred int64
	// Applied messages had changes that were missing, Known ones did not. Refused ones came after a gap
	// or were of another era, or a request could not be answered.
	Applied, Known, Refused int64
	Pulls                   int64
}

func newFollowing(r *Router, p *HostedParams) following {
	return following{
		config:    follow.New(follow.Params{Bound: p.FollowConfigBound, Rand: r.params.Rand}),
		upstreams: follow.New(follow.Params{Bound: p.FollowUpstreamsBound, Rand: r.params.Rand}),
		logs:      map[StateKind]*followLog{StateConfig: {}, StateUpstreams: {}},
	}
}

// follows reports whether this Instance takes part in what followers rely on.
func (h *hosted) follows() bool {
	return h.follow.upstreams.Enabled() && h.follow.role != follow.RoleAlone
}

func (h *hosted) followState(kind StateKind) *follow.State {
	if kind == StateConfig {
		return h.follow.config
	}
	return h.follow.upstreams
}

// tickFollow starts the calls of the store that are due.
func (h *hosted) tickFollow(now core.Instant) {
	if !h.follow.upstreams.Enabled() {
		return
	}
	if now >= h.follow.nextRoleAt {
		h.follow.nextRoleAt = now.Add(roleInterval)
		h.follow.role = follow.RoleOf(h.fleet.LiveCount(), h.fleet.IsReader())
	}
	for _, kind := range []StateKind{StateConfig, StateUpstreams} {
		h.callStoreIfDue(now, kind)
	}
}

func (h *hosted) callStoreIfDue(now core.Instant, kind StateKind) {
	s := h.followState(kind)
	age, confirmed := s.Age(now)
	call, due := s.NextCall(now, h.follow.role)
	if !due {
		return
	}
	h.emit(StoreCallDue{Kind: kind, Call: call})
	log := h.follow.logs[kind]
	if h.follow.role != follow.RoleFollower || log.calling || log.at != 0 && now.Sub(log.at) < followLogInterval {
		return
	}
	log.at, log.calling = now, true
	h.recordEvent(now, "follow", "reads the store", fmt.Sprintf("kind=%s reason=%s list=%t age=%s confirmed=%t complete=%s",
		kind, call.Reason, call.List, age, confirmed, call.After))
}

// logConfirmedByPeer logs the end of a time in which a follower has called the store itself.
func (h *hosted) logConfirmedByPeer(now core.Instant, kind StateKind, from core.InstanceRef) {
	log := h.follow.logs[kind]
	if !log.calling || h.followState(kind).OwnCalls() > 0 {
		return
	}
	log.calling = false
	h.recordEvent(now, "follow", "relies on peers", fmt.Sprintf("kind=%s from=%s read_for=%s", kind, from, now.Sub(log.at)))
}

func (h *hosted) onStoreCallReady(now core.Instant, e StoreCallReady) {
	h.followState(e.Kind).OnReady(e.CanWatch, e.Lost)
	h.callStoreIfDue(now, e.Kind)
}

func (h *hosted) onStoreWatched(e StoreWatched) {
	h.followState(e.Kind).OnWatched(e.At, e.ConfirmedAt)
	if e.Kind == StateUpstreams {
		h.confirmCatalog()
	}
}

// confirmCatalog has the catalog record up to which revision it is complete.
func (h *hosted) confirmCatalog() { h.catalog.Confirm(h.follow.upstreams.Complete()) }

// onConfigRead processes a configuration that was read from the store or from a peer.
func (h *hosted) onConfigRead(e RoutingReceived) {
	s := h.follow.config
	switch {
	case !s.Enabled():
	case e.From == "" && e.At != (core.StoreRevision{}):
		s.OnListed(e.At, e.Revision, e.ReadAt)
	case e.From == "":
		s.OnChanged(e.Revision)
	case h.configRevision == e.Revision:
		s.OnPeerState(e.Revision)
	}
}

// onUpstreamsRead processes a list of the Upstreams. changed is set if it has replaced the entries.
func (h *hosted) onUpstreamsRead(e UpstreamsListed, changed bool) {
	s := h.follow.upstreams
	if !s.Enabled() {
		return
	}
	revision, _ := h.catalog.Revision()
	if changed {
		h.follow.history.Reset(revision)
	}
	switch {
	case e.From == "":
		s.OnListed(e.Revision, revision, e.ReadAt)
	case changed:
		s.OnPeerState(e.Revision)
	}
	h.confirmCatalog()
}

// onOwnChanges processes changes that a watch of this Instance has read. changed is set if they state
// anything new.
func (h *hosted) onOwnChanges(now core.Instant, e UpstreamsChanged, changed bool) {
	s := h.follow.upstreams
	if !s.Enabled() {
		return
	}
	// The watch began at a revision that the state had, so there is no gap.
	if changed {
		h.follow.behindSince = 0
		s.OnChanged(e.Revision)
		h.follow.history.Add(now, e.Revision, e.Changes, max(h.catalog.GraceUntil(), h.follow.graceUntil))
	}
	h.confirmCatalog()
	if changed && h.follow.role == follow.RoleReader {
		h.pushChanges(now, e)
	}
}

// pushChanges sends changes that this reader has read to its part of the Region. The other readers serve
// the other parts; who is not reached asks a peer when a heartbeat shows that there is a change.
func (h *hosted) pushChanges(now core.Instant, e UpstreamsChanged) {
	push := follow.Push{
		Era: e.Revision.Era, After: e.After.Number, UpTo: e.Revision.Number, Changes: e.Changes,
		GraceMS: graceLeft(now, h.catalog.GraceUntil()),
	}
	if len(push.Changes) > follow.MaxPushed {
		h.follow.counts.Deferred++
		return
	}
	self := h.fleet.Self()
	part, peers := h.fleet.ReaderRank(), h.fleet.LivePeers()
	if len(peers) == 0 {
		return
	}
	first := h.Router.params.Rand.IntN(len(peers)) // a budget that is used up serves others each time
	for i := range peers {
		to := peers[(first+i)%len(peers)]
		if to.Region != self.Region || fleet.ReaderPart(to) != part {
			continue
		}
		if !h.follow.budget.Take(now, follow.SizeOf(push)) {
			h.follow.counts.Deferred++
			return
		}
		h.sendFollow(now, to, &FollowMessage{Push: &push})
		h.follow.counts.Pushed++
	}
}

func (h *hosted) sendFollow(now core.Instant, to fleet.Member, message *FollowMessage) {
	h.emit(SendPeerMessage{To: to.Ref.ID, Addr: to.PeerAddr, Message: Message{Follow: message}, NotAfter: now.Add(peerMessageTTL)})
}

// followReport returns what followers are told, nil if there are none.
func (h *hosted) followReport(now core.Instant) *FollowReport {
	if !h.follows() {
		return nil
	}
	report := &FollowReport{
		Config: h.follow.config.Confirmation(now), Upstreams: h.follow.upstreams.Confirmation(now),
		GraceMS: graceLeft(now, h.catalog.GraceUntil()),
	}
	if *report == (FollowReport{}) {
		return nil
	}
	return report
}

// graceLeft returns the rest of a grace period in milliseconds, 0 if it has ended.
func graceLeft(now, until core.Instant) int64 { return max(0, until.Sub(now).Milliseconds()) }

func graceEnd(now core.Instant, ms int64) core.Instant {
	return now.Add(min(catalog.RemovalGrace, time.Duration(max(0, ms))*time.Millisecond))
}

// applyOwnChanges applies changes that a watch of this Instance has read. It reports whether they state
// anything new.
func (h *hosted) applyOwnChanges(now core.Instant, e UpstreamsChanged) bool {
	applied := h.catalog.ApplyWithGrace(now, e.Revision, e.Changes, h.follow.graceUntil)
	if applied {
		h.applyUpstreams(now, "watched", "")
	}
	return applied
}

// onFollowReport processes what a heartbeat states about the store.
func (h *hosted) onFollowReport(now core.Instant, heartbeat *HostedHeartbeat) {
	report := heartbeat.Follow
	if report == nil || !h.follows() {
		return
	}
	isRegional := heartbeat.Member.Region == h.fleet.Self().Region
	if report.GraceMS > 0 && isRegional {
		h.follow.graceUntil = max(h.follow.graceUntil, graceEnd(now, report.GraceMS))
	}
	madeAt, known := h.fleet.MadeAt(heartbeat.Member.Ref, heartbeat.Liveness)
	if !known {
		return
	}
	if !isRegional {
		madeAt = madeAt.Add(-remoteMargin)
	}
	if h.follow.config.OnConfirmation(now, madeAt, report.Config) == follow.OutcomeConfirmed {
		h.logConfirmedByPeer(now, StateConfig, heartbeat.Member.Ref)
	}
	switch h.follow.upstreams.OnConfirmation(now, madeAt, report.Upstreams) {
	case follow.OutcomeConfirmed:
		h.follow.behindSince = 0
		h.logConfirmedByPeer(now, StateUpstreams, heartbeat.Member.Ref)
	case follow.OutcomeBehind:
		if isRegional {
			h.pullChanges(now, heartbeat.Member)
		}
	case follow.OutcomeNone:
	}
	h.confirmCatalog()
}

// pullChanges asks a peer for changes that this Instance does not have.
func (h *hosted) pullChanges(now core.Instant, from fleet.Member) {
	f := &h.follow
	if f.behindSince == 0 {
		f.behindSince = now
	}
	if now.Sub(f.pulledAt) < pullTimeout || f.role == follow.RoleReader && now.Sub(f.behindSince) < readerPullDelay {
		return
	}
	f.pulledAt = now
	f.counts.Pulls++
	at := f.upstreams.Complete()
	h.sendFollow(now, from, &FollowMessage{Pull: &follow.Pull{Era: at.Era, After: at.Number}})
}

func (h *hosted) onFollowMessage(now core.Instant, from core.InstanceRef, message *FollowMessage) {
	if !h.follows() || !h.fleet.IsLive(from) {
		return
	}
	if message.Pull != nil {
		h.onPull(now, from, *message.Pull)
	}
	if message.Push != nil {
		h.onPush(now, from, *message.Push)
	}
}

func (h *hosted) onPull(now core.Instant, from core.InstanceRef, pull follow.Pull) {
	push, found := h.follow.history.Since(now, core.StoreRevision{Era: pull.Era, Number: pull.After})
	if !found {
		h.follow.counts.Refused++
		return
	}
	if to, known := h.fleet.PeerProcess(from); known {
		h.follow.counts.Answered++
		h.sendFollow(now, to, &FollowMessage{Push: &push})
	}
}

func (h *hosted) onPush(now core.Instant, from core.InstanceRef, push follow.Push) {
	f := &h.follow
	upTo := core.StoreRevision{Era: push.Era, Number: push.UpTo}
	complete := f.upstreams.Complete()
	switch {
	case push.Era != complete.Era || push.After > complete.Number || complete.Number == 0:
		f.counts.Refused++
		return
	case push.UpTo <= complete.Number:
		f.counts.Known++
		return
	}
	f.counts.Applied++
	f.behindSince = 0
	graceUntil := max(f.graceUntil, graceEnd(now, push.GraceMS))
	f.history.Add(now, upTo, push.Changes, graceUntil)
	f.upstreams.OnChanged(upTo)
	if h.catalog.ApplyForwarded(now, upTo, push.Changes, graceUntil) {
		h.applyUpstreams(now, "forwarded", from.ID)
	}
	h.refreshCold(now)
	h.confirmCatalog()
}

// onFollowPaused has both kinds listed after a pause of the process.
func (h *hosted) onFollowPaused(now core.Instant) {
	for _, kind := range []StateKind{StateConfig, StateUpstreams} {
		h.followState(kind).OnPaused(now)
		h.callStoreIfDue(now, kind)
	}
}

// FollowGauges are current values of what followers rely on.
type FollowGauges struct {
	Follower bool
	// Ages holds the time since each kind was confirmed, -1 before the first confirmation. Calls counts
	// the calls of the store.
	Ages   map[StateKind]time.Duration
	Calls  map[StateKind]map[follow.Reason]int64
	Counts FollowCounts
}

func (h *hosted) followGauges(now core.Instant) *FollowGauges {
	if !h.follow.upstreams.Enabled() {
		return nil
	}
	gauges := &FollowGauges{
		Follower: h.follow.role == follow.RoleFollower, Counts: h.follow.counts,
		Ages: map[StateKind]time.Duration{}, Calls: map[StateKind]map[follow.Reason]int64{},
	}
	for _, kind := range []StateKind{StateConfig, StateUpstreams} {
		s := h.followState(kind)
		gauges.Ages[kind] = -1
		if age, confirmed := s.Age(now); confirmed {
			gauges.Ages[kind] = age
		}
		gauges.Calls[kind] = maps.Clone(s.Calls())
	}
	return gauges
}
