// Package router composes the modules of one entry Instance into one state
// machine. Step takes an event and returns effects as data; the daemon carries
// the effects out and reports what became of them as further events.
//
// The package does no I/O. It reads no clock, starts no goroutine and writes no
// log: the instant comes with each event, randomness and identities come with
// Params. The same events in the same order give the same effects.
package router

import (
	"io"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/rhubarbsill/rhubarbsill/pkg/attempts"
	"github.com/rhubarbsill/rhubarbsill/pkg/claims"
	"github.com/rhubarbsill/rhubarbsill/pkg/config"
	"github.com/rhubarbsill/rhubarbsill/pkg/core"
	"github.com/rhubarbsill/rhubarbsill/pkg/keys"
	"github.com/rhubarbsill/rhubarbsill/pkg/limits"
	"github.com/rhubarbsill/rhubarbsill/pkg/membership"
	"github.com/rhubarbsill/rhubarbsill/pkg/orders"
	"github.com/rhubarbsill/rhubarbsill/pkg/placement"
	"github.com/rhubarbsill/rhubarbsill/pkg/rollout"
)

// Params are the settings of a Router. Zero values of durations and of module
// settings select defaults.
type Params struct {
	Self        membership.Member
	StoreRegion core.RegionName
	// Environment names the configuration that is in force here.
	Environment string
	// Rand drives jitter and sampling. It is required.
	Rand *rand.Rand
	// NonceSource gives the nonces of claims. It is required.
	NonceSource io.Reader

	Keys       keys.Params
	Rollout    rollout.Params
	Limits     limits.Params
	Membership membership.Params
	Claims     claims.Params
	Placement  placement.Params
	Attempts   attempts.Params
	Orders     orders.Params

	// ListInterval is the time between two reads of the platform's list.
	ListInterval time.Duration
	// LoadPollInterval is the time between two polls of an Upstream's load.
	LoadPollInterval time.Duration
	// LoadFanout is the largest number of load notices sent every LoadPollInterval. A
	// region with more peers gets them in turn, with the loads only.
	LoadFanout int

	// Hosted is set when the Instance runs on a platform that registers the
	// Upstreams and delivers the configuration. The settings of the modules above
	// then have no effect.
	Hosted *HostedParams
}

// Defaults of Params.
const (
	defaultListInterval     = 2 * time.Second
	defaultLoadPollInterval = 500 * time.Millisecond
	// A fleet of 8 sends to all peers. 14 notices a second of four Upstreams each
	// are about 1.9 KB/s.
	defaultLoadFanout = 7
)

// absentMemberGracePeriod is the time from the roster's drop of an Instance to the cancel of
// its attempts. The platform's list has dropped it some seconds before, so the
// wait only has to cover a roster that this Instance has not read yet.
const absentMemberGracePeriod = 5 * time.Second

// Router is the state machine of one entry Instance.
type Router struct {
	params Params
	self   membership.Member

	keys       *keys.Checker
	rollout    *rollout.Rollout
	limits     *limits.Limiter
	membership *membership.Membership
	claims     *claims.Claims
	placement  *placement.Placer
	attempts   *attempts.Attempts

	snapshot         *config.Snapshot
	upstreams        map[core.UpstreamID]upstreamEntry
	requests         map[core.RequestID]*requestState
	requestOfAttempt map[core.AttemptID]core.RequestID
	polls            pollSchedule
	// nextCacheEvent is the sequence number up to which cache events were read.
	nextCacheEvent map[core.UpstreamID]uint64
	heartbeats     heartbeatTimes
	orders         orderState
	// loads holds the reports that this Instance has read since it last shared
	// them.
	loads            map[core.UpstreamID]placement.LoadReport
	nextLoadNoticeAt core.Instant
	// shareCursor and transfers belong to sharing in turn.
	shareCursor     int
	recentTransfers [][]placement.LoadDelta

	writtenRoster     membership.Roster // the roster of the write in flight
	nextListAt        core.Instant
	leaving           bool
	stopReason        string
	drained           bool
	addressesExpireAt core.Instant
	// addressesExpired is set once no address answer names this leaving Instance.
	addressesExpired bool

	effects []Effect

	// hosted is nil unless the Instance is hosted.
	hosted *hosted
}

// New returns the Router of a starting Instance.
func New(p Params) *Router {
	if p.ListInterval == 0 {
		p.ListInterval = defaultListInterval
	}
	if p.LoadPollInterval == 0 {
		p.LoadPollInterval = defaultLoadPollInterval
	}
	if p.LoadFanout == 0 {
		p.LoadFanout = defaultLoadFanout
	}
	p.Keys.Region = p.Self.Region
	p.Keys.StoreRegion = p.StoreRegion
	p.Membership.Random = p.Rand
	p.Rollout.Random = p.Rand
	p.Claims.Random = p.NonceSource
	p.Placement.Rand = p.Rand
	p.Orders.Random = p.NonceSource
	if p.Orders.MaxLoads == 0 {
		p.Orders.MaxLoads = defaultMaxLoads
	}
	if p.Attempts.AbsenceTimeout == 0 {
		p.Attempts.AbsenceTimeout = absentMemberGracePeriod
	}
	r := &Router{
		params:            p,
		self:              p.Self,
		upstreams:         map[core.UpstreamID]upstreamEntry{},
		requests:          map[core.RequestID]*requestState{},
		requestOfAttempt:  map[core.AttemptID]core.RequestID{},
		addressesExpireAt: core.Never,

		nextCacheEvent: map[core.UpstreamID]uint64{},
		heartbeats:     newHeartbeatTimes(),
		orders:         newOrderState(),
		loads:          map[core.UpstreamID]placement.LoadReport{},
	}
	r.keys = keys.New(p.Keys)
	r.rollout = rollout.New(p.Rollout)
	r.limits = limits.New(p.Self.Ref, p.Limits)
	r.membership = membership.New(p.Self, p.Membership)
	r.claims = claims.New(p.Self.Ref, p.Claims)
	r.placement = placement.New(p.Self.Ref, p.Self.DataCentre, p.Placement)
	r.attempts = attempts.New(p.Self.Ref, p.Attempts)
	if p.Hosted != nil {
		r.hosted = newHosted(r, *p.Hosted)
	}
	return r
}

// Step takes in one event at the instant now and returns the effects in the
// order in which they are to be carried out. Instants must not go back.
func (r *Router) Step(now core.Instant, event Event) []Effect {
	r.effects = nil
	if r.hosted != nil {
		r.hosted.step(now, event)
		r.hosted.checkDrained(now)
		return r.effects
	}
	r.handle(now, event)
	r.checkDrained(now)
	return r.effects
}

// NextWake returns the instant at which the next Tick is due.
func (r *Router) NextWake() core.Instant {
	if r.hosted != nil {
		return r.hosted.nextWake()
	}
	return core.Earliest(
		r.nextListAt,
		r.polls.nextWake(),
		r.nextLoadNoticeAt,
		r.addressesExpireAt,
		r.rollout.NextWake(),
		r.limits.NextWake(),
		r.membership.NextWake(),
		r.claims.NextWake(),
		r.placement.NextWake(),
		r.attempts.NextWake(),
		r.orders.nextWake(),
	)
}

func (r *Router) handle(now core.Instant, event Event) {
	switch e := event.(type) {
	case Tick:
		r.tick(now)
	case RequestArrived:
		r.onRequestArrived(now, e.Request)
	case CallerDisconnected:
		r.onCallerDisconnected(now, e.Request)
	case AddressesRequested:
		r.onAddressesRequested(now, e)
	case AttemptSent:
		r.applyAttempts(now, r.attempts.OnSent(now, e.Attempt))
	case PrefillDone:
		r.onPrefillDone(now, e)
	case FirstToken:
		r.onFirstToken(now, e)
	case Progress:
		r.onProgress(now, e)
	case ResponseCompleted:
		r.onResponseCompleted(now, e)
	case AttemptFailed:
		r.onAttemptFailed(now, e)
	case CancelConfirmed:
		r.applyAttempts(now, r.attempts.OnCancelConfirmed(now, e.Attempt))
	case LoadReported:
		r.onLoadReported(now, e)
	case LoadPollFailed:
		r.polls.delayAfterFailure(now, e.Upstream)
		r.placement.OnUpstreamFailed(now, e.Upstream)
	case CacheReported:
		r.onCacheReported(now, e)
	case OrderResult:
		r.onOrderResult(now, e)
	case InstancesListed:
		r.onInstancesListed(now, e)
	case RootReceived:
		r.applyRollout(now, r.rollout.OnRoot(now, e.Root, e.Age, rollout.Source{Peer: e.From}))
	case RootFetchFailed:
		r.applyRollout(now, r.rollout.OnFailure(now, rollout.FetchID{From: rollout.Source{Peer: e.From}}))
	case PieceFetchFailed:
		want := rollout.FetchID{Hash: e.Hash, From: rollout.Source{Peer: e.From}}
		r.applyRollout(now, r.rollout.OnFailure(now, want))
	case PieceReceived:
		r.applyRollout(now, r.rollout.OnPiece(now, e.Hash, e.Body))
	case StoreReplied:
		r.onStoreReplied(now, e)
	case PeerMessageReceived:
		r.onPeerMessage(now, e.From, e.Message)
	case EffectExpired:
		r.onEffectExpired(now, e.Effect)
	case ProcessPaused:
		r.onProcessPaused(now, e.Incarnation)
	case ShutdownRequested:
		r.shutdown(now)
	}
}

func (r *Router) tick(now core.Instant) {
	if now >= r.nextListAt {
		r.nextListAt = now.Add(r.params.ListInterval)
		r.emit(ListInstances{})
	}
	r.applyRollout(now, r.rollout.Tick(now))
	r.applyMembership(now, r.membership.Tick(now))
	r.applyAdmissionUpdates(now, r.limits.Tick(now))
	r.applyClaims(now, r.claims.Tick(now))
	r.applyPlacement(now, r.placement.Tick(now))
	r.applyAttempts(now, r.attempts.Tick(now))
	for _, up := range r.polls.due(now) {
		r.pollLoad(up)
	}
	r.shareLoad(now)
	r.tickOrders(now)
}

func (r *Router) emit(e Effect) { r.effects = append(r.effects, e) }

// shutdown begins a graceful shutdown: the Instance disappears from address
// answers at once, then waits until the answers that name it have expired.
func (r *Router) shutdown(now core.Instant) {
	if r.leaving {
		return
	}
	r.leaving = true
	r.addressesExpireAt = now.Add(r.membership.Addresses(now, r.self.Region, "").TTL)
	r.applyMembership(now, r.membership.Leave(now))
	r.resignAllServices(now)
}

func (r *Router) checkDrained(now core.Instant) {
	if now >= r.addressesExpireAt {
		r.addressesExpired = true
		r.addressesExpireAt = core.Never // a wake in the past would repeat Tick without end
	}
	if !r.leaving || r.drained || !r.addressesExpired && r.stopReason == "" || len(r.requests) > 0 {
		return
	}
	r.drained = true
	r.addressesExpireAt = core.Never
	r.emit(Drained{})
}

// onProcessPaused drops every term that may have ended while the process stood still. It
// goes on as a new incarnation, so that nothing sent to the earlier one counts.
func (r *Router) onProcessPaused(now core.Instant, incarnation core.Incarnation) {
	r.self.Ref.Incarnation = incarnation
	r.limits.Reset(now, r.self.Ref)
	r.keys.Reset()
	r.membership.Reset(r.self.Ref)
	r.applyClaims(now, r.claims.ChangeIncarnation(now, r.self.Ref))
	r.resetOrders(now)
	if r.leaving {
		r.applyMembership(now, r.membership.Leave(now))
	}
	r.heartbeats = newHeartbeatTimes()
	r.nextListAt = now
	r.readmitBorrowing(now)
}

// readmitBorrowing repeats the admission of the requests whose wait for a loan ended
// with the limiter's former state.
func (r *Router) readmitBorrowing(now core.Instant) {
	for _, id := range slices.Sorted(maps.Keys(r.requests)) {
		if rs := r.requests[id]; rs != nil && rs.borrowing {
			r.admit(now, rs)
		}
	}
}
