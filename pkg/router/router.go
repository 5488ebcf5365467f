// Package router composes the modules of one entry Instance into a single state
// machine. Step handles an event and returns effects as data; the daemon carries
// the effects out and reports their results as further events.
//
// The package does no I/O, reads no clock, starts no goroutine and writes no log:
// the current instant is passed with each event, randomness and identities are
// passed in Params. The same sequence of events produces the same sequence of
// effects.
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

// Params are the settings of a Router. Zero durations and zero module settings
// select the defaults.
type Params struct {
	Self        membership.Member
	StoreRegion core.RegionName
	// Environment names the configuration that this Instance activates.
	Environment string
	// Rand drives jitter and sampling. It is required.
	Rand *rand.Rand
	// NonceSource is the source of the nonces of claims. It is required.
	NonceSource io.Reader

	Keys       keys.Params
	Rollout    rollout.Params
	Limits     limits.Params
	Membership membership.Params
	Claims     claims.Params
	Placement  placement.Params
	Attempts   attempts.Params
	Orders     orders.Params

	// ListInterval is the interval between reads of the platform's list of
	// Instances.
	ListInterval time.Duration
	// LoadPollInterval is the interval between polls of an Upstream's load.
	LoadPollInterval time.Duration
	// LoadFanout is the largest number of load notices sent per LoadPollInterval.
	// In a region with more peers, notices are sent round robin and contain only
	// loads and the bytes of KV transfers.
	LoadFanout int

	// Hosted is set when the Instance runs on a platform that registers the
	// Upstreams and delivers the configuration. The module settings above then
	// have no effect.
	Hosted *HostedParams
}

// Defaults of Params.
const (
	defaultListInterval     = 2 * time.Second
	defaultLoadPollInterval = 500 * time.Millisecond
	// Up to 7 peers, so an Instance in a fleet of 8 notifies all of them. 14
	// notices per second for four Upstreams each are about 1.9 KB/s.
	defaultLoadFanout = 7
)

// absentMemberGracePeriod is the delay between the removal of an Instance from
// the roster and the cancellation of its attempts. The platform's list removed
// the Instance some seconds earlier, so the delay only has to cover a roster that
// this Instance has not read yet.
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
	// nextCacheEvent is the sequence number from which cache events are read
	// next.
	nextCacheEvent map[core.UpstreamID]uint64
	heartbeats     heartbeatTimes
	orders         orderState
	// loads holds the reports polled by this Instance that the next load notice
	// contains.
	loads            map[core.UpstreamID]placement.LoadReport
	nextLoadNoticeAt core.Instant
	// shareCursor and recentTransfers are the state of shareRoundRobin.
	shareCursor     int
	recentTransfers [][]placement.LoadDelta

	writtenRoster     membership.Roster // the roster of the pending write
	nextListAt        core.Instant
	leaving           bool
	stopReason        string
	drained           bool
	addressesExpireAt core.Instant
	// addressesExpired is set once no caller has an unexpired address response
	// that contains this leaving Instance.
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

// Step handles one event at the instant now and returns the effects in the order
// in which they must be carried out. Instants must not decrease.
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

// shutdown begins a graceful shutdown: address responses omit this Instance
// immediately, and it keeps serving until the responses that contain it have
// expired.
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
		r.addressesExpireAt = core.Never // a wake instant in the past would repeat Tick forever
	}
	if !r.leaving || r.drained || !r.addressesExpired && r.stopReason == "" || len(r.requests) > 0 {
		return
	}
	r.drained = true
	r.addressesExpireAt = core.Never
	r.emit(Drained{})
}

// onProcessPaused discards every lease and term that may have ended while the
// process was suspended. The Instance continues as a new incarnation, so that
// messages to the previous one have no effect.
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

// readmitBorrowing repeats the admission of the requests that were waiting for a
// loan when the state of the limiter was reset.
func (r *Router) readmitBorrowing(now core.Instant) {
	for _, id := range slices.Sorted(maps.Keys(r.requests)) {
		if rs := r.requests[id]; rs != nil && rs.borrowing {
			r.admit(now, rs)
		}
	}
}
