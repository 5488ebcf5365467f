package router

import (
	"bytes"
	"maps"
	"slices"
	"strconv"
	"time"

	"github.com/rhubarbsill/rhubarbsill/pkg/announce"
	"github.com/rhubarbsill/rhubarbsill/pkg/catalog"
	"github.com/rhubarbsill/rhubarbsill/pkg/config"
	"github.com/rhubarbsill/rhubarbsill/pkg/core"
	"github.com/rhubarbsill/rhubarbsill/pkg/dispatch"
	"github.com/rhubarbsill/rhubarbsill/pkg/evacuation"
	"github.com/rhubarbsill/rhubarbsill/pkg/fleet"
	"github.com/rhubarbsill/rhubarbsill/pkg/pace"
	"github.com/rhubarbsill/rhubarbsill/pkg/poison"
	"github.com/rhubarbsill/rhubarbsill/pkg/promptcache"
	"github.com/rhubarbsill/rhubarbsill/pkg/quota"
	"github.com/rhubarbsill/rhubarbsill/pkg/retry"
	"github.com/rhubarbsill/rhubarbsill/pkg/schedule"
	"github.com/rhubarbsill/rhubarbsill/pkg/warmup"
)

// HostedParams are the settings of a Router on a platform that registers the
// Upstreams, delivers each configuration as one object and has engines that grant
// holds.
type HostedParams struct {
	Member   fleet.Member
	Fleet    fleet.Params
	Dispatch dispatch.Params
	Retry    retry.Params
	// Warmup defines how much a cold Upstream may get.
	Warmup warmup.Params
	// StartedAt is the start of the process.
	StartedAt core.Instant
	// AddressTTL is the time for which callers may use an address response.
	AddressTTL time.Duration
	// GracePeriod is the time from ShutdownRequested to the end of the process.
	GracePeriod time.Duration
	// EvacuationBound is the time after which the evacuation of a DataCentre binds every Instance, 0 if
	// the deployment has none.
	EvacuationBound time.Duration
	// QuotaTolerance is what the platform allows beyond the allowances of accounts. Its Part is 0 if it
	// is not used on purpose.
	QuotaTolerance quota.Tolerance
	// FollowConfigBound and FollowUpstreamsBound are the times after which each Instance must know a change
	// of the configuration and of the Upstreams, if followers rely on the readers of their Region for them.
	// Otherwise both are 0.
	FollowConfigBound    time.Duration
	FollowUpstreamsBound time.Duration
	// IgnorePace takes all Upstreams as equally fast, to compare.
	IgnorePace bool
	// IgnoreHeldPrompts takes all prefill engines as holding no part of any prompt.
	IgnoreHeldPrompts bool
}

const (
	// addressTTLFactor is the time for which some callers use an address response,
	// in multiples of its TTL.
	addressTTLFactor = 3
	// deadlineSlack is the time after its deadline at which a request is ended. The
	// Upstream knows the same deadline and may respond just before it.
	deadlineSlack = 120 * time.Millisecond
	// maxHoldDuration bounds the time for which an engine holds memory and a slot
	// before the decode starts.
	maxHoldDuration = 2 * time.Second
	// maxUndelivered bounds the attempts of one request that reach no Upstream.
	maxUndelivered = 4
	// crashTrialDelay is the time after which a request that has crashed Upstreams may run
	// again, once.
	crashTrialDelay = 30 * time.Second
	// maxMemberListDelay bounds the time after which the members are listed in a new era of the
	// store. The Instances of a fleet draw different times.
	maxMemberListDelay = time.Second
	// memberListInterval is the interval between reads of the member list. Heartbeats
	// announce new members sooner; the list adds those that were partitioned when
	// they started.
	memberListInterval = 10 * time.Second
)

// hosted is the part of the Router that composes the modules of a hosted Instance.
// Its methods shadow those of the Router with the same names.
type hosted struct {
	*Router
	params   HostedParams
	routing  *config.Routing
	catalog  *catalog.Catalog
	dispatch *dispatch.Dispatcher
	quota    *quota.Quota[core.AccountID]
	retry    *retry.Budget
	// poison finds parts of prompts that crash engines, crashing equal requests that crash any
	// Upstream.
	poison   *poison.Detector
	crashing *poison.Detector
	// announcements holds what Upstreams state about themselves.
	announcements *announce.Registry
	// warmup keeps the fleet below the rate of cold Upstreams.
	warmup        *warmup.Registry
	coldLog       coldLog
	fleet         *fleet.Fleet
	evacuations   *evacuation.State
	evacuationLog evacuationLog
	follow        following
	// paces holds how long work takes at Upstreams, nil if that is ignored.
	paces *pace.Registry
	// heldPrompts estimates which prefill engines hold a part of a prompt, nil if that is ignored.
	heldPrompts *promptcache.Estimator

	pending           pendingConfirmation
	evacuationWait    evacuationWait
	shareWait         shareWait
	configRevision    core.StoreRevision
	rawConfig         []byte
	storeEra          *uint64 // newest era of the store, nil before the first state
	attemptSeq        uint64
	deadlines         schedule.Queue[core.Instant, core.RequestID]
	fetches           map[StateKind]*stateFetch
	services          map[core.ServiceName]*config.Service
	hasUrgency        map[core.ServiceName]bool // see servicesWithUrgency
	shares            shares
	backlogLogAt      core.Instant
	accountViews      map[core.AccountID]*config.ClientAccount
	nextMemberListAt  core.Instant
	memberListAt      core.Instant // the last request for a list
	claim             fleet.Claim
	extraTokens       int64 // admitted beyond the allowances since the start
	nextQuotaUpdateAt core.Instant
	shutdownAt        core.Instant // start of the graceful shutdown
	stopAt            core.Instant
	durations         longestDurations
	// regionsCheckedFor is the configuration version whose region names were last checked.
	regionsCheckedFor core.Version
	delayedLog        delayedHeartbeatLog
	emptyAnswerLogAt  core.Instant // the last empty address response was logged then
}

func newHosted(r *Router, p HostedParams) *hosted {
	p.Dispatch.Rand = r.params.Rand
	p.Dispatch.DataCentre = p.Member.DataCentre
	announcements := announce.New(p.Member.Ref, r.params.Rand)
	p.Dispatch.Announcements = announcements
	cold := newWarmup(&p)
	paces := pace.New()
	if p.IgnorePace {
		paces = nil
	}
	p.Dispatch.Pace = paces
	var heldPrompts *promptcache.Estimator
	if !p.IgnoreHeldPrompts {
		heldPrompts = promptcache.New()
	}
	p.Dispatch.HeldPrompts = heldPrompts
	h := &hosted{
		Router:        r,
		params:        p,
		catalog:       catalog.New(),
		dispatch:      dispatch.New(p.Dispatch),
		quota:         quota.New[core.AccountID](p.Member.Ref, r.params.Rand),
		retry:         retry.New(p.Retry),
		poison:        poison.New(poison.Params{}),
		crashing:      poison.New(poison.Params{TrialDelay: crashTrialDelay}),
		announcements: announcements,
		warmup:        cold,
		paces:         paces,
		heldPrompts:   heldPrompts,
		fleet:         fleet.New(p.Member, p.Fleet),
		evacuations:   evacuation.New(evacuation.Params{Bound: p.EvacuationBound, Rand: r.params.Rand}),
		follow:        newFollowing(r, &p),

		fetches:      map[StateKind]*stateFetch{},
		services:     map[core.ServiceName]*config.Service{},
		accountViews: map[core.AccountID]*config.ClientAccount{},
		stopAt:       core.Never,
		pending:      pendingConfirmation{since: core.Never},

		evacuationWait: evacuationWait{until: core.Never},
		shareWait:      shareWait{until: core.Never, ended: !p.Fleet.TakeOver},
	}
	h.quota.SetTolerance(p.StartedAt, p.QuotaTolerance)
	return h
}

// nextWake returns the instant at which the next Tick is due.
func (h *hosted) nextWake() core.Instant {
	end, waiting := h.deadlines.NextTime()
	if !waiting {
		end = core.Never
	}
	stopAt := h.stopAt
	if h.drained {
		stopAt = core.Never
	}
	return core.Earliest(end, h.confirmationEnds(), h.shareWaitEnds(), h.nextMemberListAt, h.addressesExpireAt, stopAt, h.catalog.NextWake(), h.dispatch.NextWake(), h.fleet.NextWake())
}

// step handles the events of a hosted Instance.
func (h *hosted) step(now core.Instant, event Event) {
	switch e := event.(type) {
	case Tick:
		h.tick(now)
	case RequestArrived:
		h.onRequestArrived(now, e.Request)
	case CallerDisconnected:
		h.onCallerDisconnected(now, e.Request)
	case HoldResult:
		h.onHoldResult(now, e)
	case PrefillDone:
		h.onPrefillDone(now, e)
	case FirstToken:
		h.onFirstToken(now, e)
	case ResponseCompleted:
		h.onResponseCompleted(now, e)
	case AttemptFailed:
		h.onAttemptFailed(now, e)
	case UpstreamAnswered:
		h.onUpstreamAnswered(now, e)
	case AttemptStalled:
		h.onAttemptStalled(now, e)
	case CallerAddressesRequested:
		h.onCallerAddressesRequested(now, e)
	case RoutingReceived:
		h.observeEra(now, e.Revision)
		h.onRoutingReceived(now, e)
		h.onConfigRead(e)
		h.onStateRead(now, e.ReadAt, &h.pending.routing)
	case UpstreamsListed:
		h.observeEra(now, e.Revision)
		replaced := h.catalog.Replace(now, e.Revision, e.Upstreams)
		if replaced {
			h.applyUpstreams(now, "listed", e.From)
		}
		h.onUpstreamsRead(e, replaced)
		h.refreshCold(now)
		h.onStateRead(now, e.ReadAt, &h.pending.upstreams)
	case UpstreamsChanged:
		h.observeEra(now, e.Revision)
		h.onOwnChanges(now, e, h.applyOwnChanges(now, e))
		h.refreshCold(now)
	case EvacuationsRead:
		h.onEvacuationsRead(now, e)
	case EvacuationsCallFailed:
		h.onEvacuationsCallFailed(now, e)
	case StoreCallReady:
		h.onStoreCallReady(now, e)
	case StoreWatched:
		h.onStoreWatched(e)
	case StoreCallFailed:
		h.catalog.OnStoreError(now)
	case MembersListed:
		h.onMembersListed(now, e)
	case StateFetchEnded:
		h.onStateFetchEnded(now, e)
	case PeerMessageReceived:
		if e.Message.Hosted != nil {
			h.onHeartbeat(now, e.From, e.Message.Hosted)
		}
		if e.Message.Quota != nil {
			h.onQuotaUpdate(now, e.From, e.Message.Quota)
		}
		if e.Message.Members != nil {
			h.onMemberNotice(now, e.From, e.Message.Members)
		}
		if e.Message.State != nil {
			h.onStateNotice(now, e.From, e.Message.State)
		}
		if e.Message.Follow != nil {
			h.onFollowMessage(now, e.From, e.Message.Follow)
		}
	case ProcessPaused:
		h.onPaused(now)
	case ShutdownRequested:
		h.shutdown(now)
	}
}

func (h *hosted) tick(now core.Instant) {
	for {
		id, _, due := h.deadlines.PopDue(now)
		if !due {
			break
		}
		h.onDeadline(now, id)
	}
	if now >= h.confirmationEnds() {
		h.endConfirmation(now)
	}
	if h.catalog.Tick(now) {
		h.applyUpstreams(now, "grace ended", "")
	}
	h.applyDispatch(now, h.dispatch.Tick(now))
	h.logCold(now)
	h.logBacklog(now)
	if now >= h.nextMemberListAt {
		h.listMembers(now)
	}
	h.tickEvacuations(now)
	changes := h.fleet.Tick(now)
	for _, peer := range changes.Unheard {
		h.quota.OnPeerSilent(now, peer.Since, peer.ID)
		h.announcements.Rates.OnPeerSilent(now, peer.Since, peer.ID)
	}
	for _, peer := range changes.Silent {
		h.quota.OnPeerSilent(now, peer.Since, peer.ID)
		h.announcements.Rates.OnPeerSilent(now, peer.Since, peer.ID)
		h.dispatch.SetPeerLoads(peer.ID, nil)
		h.recordEvent(now, "fleet", "peer silent", string(peer.ID)+" since="+now.Sub(peer.Since).String())
	}
	for _, id := range changes.Removed {
		h.quota.OnPeerTerminated(now, id)
		h.announcements.Rates.OnPeerTerminated(now, id)
		h.dispatch.SetPeerLoads(id, nil)
		h.evacuations.Forget(id)
		h.recordEvent(now, "fleet", "peer forgotten", string(id))
		h.logTakenOver(now, id)
	}
	h.followShares(now)
	h.tickFollow(now)
	h.fetchOverdueStates(now)
	h.recordPaces(now)
	h.recordRefuted(now)
	due := h.fleet.DueHeartbeats(now)
	if len(due) > 0 {
		h.sendHeartbeats(now, due)
	}
	h.sendQuotaUpdates(now, due)
}

// onMembersListed adds the members of a list. If the store has lost the entry of this Instance, it is
// written again, because Instances that start later find the others in the store.
func (h *hosted) onMembersListed(now core.Instant, e MembersListed) {
	if e.Complete && h.fleet.IsStaleList(e.ReadAt) {
		return
	}
	h.fleet.OnMemberList(now, h.fleet.Missed(e.Members, e.Marks))
	h.setColdMembers(e)
	if e.Complete {
		h.fleet.OnStoreList(now, e.ReadAt, e.Members, e.Marks, e.Era)
		h.followShares(now)
	}
	self := h.fleet.Self()
	registered := slices.ContainsFunc(e.Members, func(m fleet.Member) bool {
		return m == self && e.Marks[m.Ref.ID].Running() || m.Ref.ID == self.Ref.ID && m.Ref.Incarnation > self.Ref.Incarnation
	})
	if !e.Complete || h.leaving || registered {
		return
	}
	h.recordEvent(now, "fleet", "entry is missing", "instance="+self.Ref.String())
	h.emit(RegisterMember{})
}

// onRoutingReceived activates a configuration if it is newer than the active one.
func (h *hosted) onRoutingReceived(now core.Instant, e RoutingReceived) {
	if h.routing != nil {
		received := StateStamp{Version: e.Routing.Version, Revision: e.Revision}
		if !h.ownState(StateConfig).Before(received) {
			h.logOlderConfig(now, e)
			return
		}
		if e.Routing.Version == h.routing.Version && bytes.Equal(e.Raw, h.rawConfig) { // written again
			h.configRevision = e.Revision
			h.emit(RoutingActivated{Routing: h.routing, Revision: e.Revision, Raw: h.rawConfig})
			return
		}
	}
	h.beginEvacuationWait(now)
	h.followShares(now)
	h.routing, h.rawConfig = e.Routing, e.Raw
	h.configRevision = e.Revision
	for _, account := range e.Routing.Accounts {
		h.quota.SetLimit(now, account.ID, quota.Limit{Rate: account.Rate, Burst: account.Burst})
		h.accountViews[account.ID] = &config.ClientAccount{ID: account.ID}
	}
	h.quota.Retain(func(id core.AccountID) bool { _, found := e.Routing.Account(id); return found })
	engines := map[core.ServiceName]dispatch.EngineCapacity{}
	for _, service := range e.Routing.Services {
		h.services[service.Name] = &config.Service{Name: service.Name}
		if service.Engine != nil {
			engines[service.Name] = dispatch.EngineCapacity{Slots: service.Engine.Slots, MemoryTokens: service.Engine.KVCacheTokens}
		}
	}
	h.dispatch.SetEngineCapacity(engines)
	h.setColdRates(now, e.Routing)
	h.hasUrgency = servicesWithUrgency(e.Routing)
	h.shares = sharesOf(e.Routing.Accounts)
	state := h.fleet.State()
	state.Serving = true
	h.fleet.SetState(state)
	from := "store"
	if e.From != "" {
		from = "peer " + string(e.From)
	}
	h.recordEvent(now, "config", "in force", "version="+strconv.FormatUint(uint64(e.Routing.Version), 10)+
		" revision="+e.Revision.String()+" from="+from)
	h.emit(RoutingActivated{Routing: e.Routing, Revision: e.Revision, Raw: e.Raw})
	if e.From == "" {
		h.announceConfig(now)
	}
	regionsChanged := h.updateRegions(now)
	h.authorizeWaiting(now)
	if regionsChanged {
		h.applyRegions(now)
	}
}

// logOlderConfig logs that the store has an older version than the active one: it has lost that,
// and the operator has to write it again.
func (h *hosted) logOlderConfig(now core.Instant, e RoutingReceived) {
	if e.From == "" && e.Routing.Version < h.routing.Version {
		h.recordEvent(now, "config", "ignored an older version", "active="+h.ownState(StateConfig).String()+
			" received="+StateStamp{Version: e.Routing.Version, Revision: e.Revision}.String())
	}
}

// authorizeWaiting applies a new configuration to the keys of the waiting requests, and refuses
// those that it does not allow.
func (h *hosted) authorizeWaiting(now core.Instant) {
	for _, id := range slices.Sorted(maps.Keys(h.requests)) {
		rs := h.requests[id]
		if rs != nil && rs.hosted.stage == stageWaiting {
			h.refuseUnauthorized(now, rs)
		}
	}
}

// refuseUnauthorized refuses a request that the active configuration does not allow. It reports
// whether it did.
func (h *hosted) refuseUnauthorized(now core.Instant, rs *requestState) bool {
	if rs.hosted.route.Public || rs.hosted.authorizedAt == h.configRevision {
		return false
	}
	rs.hosted.authorizedAt = h.configRevision
	refusal := h.authorizeAgain(now, rs)
	if refusal != nil {
		h.refuseHosted(now, rs, refusal)
	}
	return refusal != nil
}

// authorizeAgain returns the refusal of a request that arrived under an earlier configuration and
// that the active one does not allow, else nil. The request gets the account that holds its key
// now: there was none while no keys were needed, and an account may be renamed.
func (h *hosted) authorizeAgain(now core.Instant, rs *requestState) *core.Refusal {
	if rs.account == nil && !h.routing.NeedsKeys {
		return nil
	}
	if rs.request.Key == nil {
		return core.NewRefusal(core.CodeMissingKey, "the route needs a key in the Authorization header since a configuration that came while the request waited")
	}
	account, found := h.routing.AccountOfKey(*rs.request.Key)
	switch {
	case !found && rs.account == nil:
		return core.NewRefusal(core.CodeUnknownKey, "the key is not known")
	case !found:
		return core.NewRefusal(core.CodeKeyRevoked, "the key was withdrawn while the request waited")
	case rs.account == nil || rs.account.ID != account.ID:
		h.moveToAccount(now, rs, account)
	}
	return nil
}

// moveToAccount charges a request to the account that holds its key now. The request is accepted
// already, so it is not refused.
func (h *hosted) moveToAccount(now core.Instant, rs *requestState, account *config.HostedAccount) {
	h.refundQuota(now, rs)
	rs.account = h.accountViews[account.ID]
	rs.charge = requestCost(account, &rs.request)
	rs.charged = true
	h.quota.Charge(now, account.ID, rs.charge)
}

func (h *hosted) applyUpstreams(now core.Instant, why string, from core.InstanceID) {
	revision, _ := h.catalog.Revision()
	list := h.withColdTimes(now, h.catalog.Upstreams())
	h.announcements.SetUpstreams(now, list)
	h.warmup.SetUpstreams(now, list)
	h.paces.SetUpstreams(now, list)
	h.heldPrompts.SetUpstreams(list)
	h.recordEvent(now, "catalog", "upstreams "+why, "count="+strconv.Itoa(len(list))+
		" revision="+revision.String()+" from="+string(from))
	h.emit(UpstreamsUpdated{Revision: revision, Upstreams: h.withColdTimes(now, h.catalog.Registered()), At: now})
	h.applyDispatch(now, h.dispatch.SetUpstreams(now, list))
}

// HostedMember returns the entry of this Instance in the member list. It does not
// change, so it may be called from any goroutine.
func (r *Router) HostedMember() fleet.Member { return r.hosted.params.Member }

// HostedGauges are current values that the metrics report.
type HostedGauges struct {
	// LiveInstances is the number of live Instances, this one included.
	LiveInstances int
	// Reader is set if this Instance follows the store closely for others of its Region.
	Reader bool
	// Version is the active configuration version, 0 for none.
	Version core.Version
	// Queued counts the requests that wait for an Upstream, per service.
	Queued map[core.ServiceName]int
	// QueueByUrgency describes the queue by urgency.
	QueueByUrgency map[int]UrgencyGauges
	// Liveness describes what is known of when peers were alive.
	Liveness fleet.LivenessCounts
	// Cold counts the cold Upstreams and the requests to them.
	Cold warmup.Summary
	// Evacuations describes the evacuations, nil if the deployment has none.
	Evacuations *EvacuationGauges
	// Follow describes what followers rely on, nil if they watch the store themselves.
	Follow *FollowGauges
	// QuotaPart is the part of the quotas that this Instance and the peers it hears may use, and
	// SharesTakenOver the number of lost Instances whose shares the others use.
	QuotaPart       float64
	SharesTakenOver int
	// Paces holds how much the Upstreams of each service and stage differ in speed.
	Paces []pace.Spread
	// ExtraTokens counts the tokens admitted beyond the allowances of accounts since the start.
	ExtraTokens int64
	// HeldPrompts counts the prompt tokens that prefill engines were expected to hold.
	HeldPrompts promptcache.Stats
}

// HostedGauges returns the current values. The Router must be hosted.
func (r *Router) HostedGauges(now core.Instant) HostedGauges {
	h := r.hosted
	waiting := h.dispatch.QueueLengthByService()
	for name := range h.services {
		waiting[name] += 0 // also reports empty queues
	}
	return HostedGauges{
		LiveInstances: h.fleet.LiveCount(), Reader: h.fleet.IsReader(), Version: h.activeVersion(), Queued: waiting,
		Liveness: h.fleet.LivenessCounts(now), Cold: h.warmup.Summary(now), Evacuations: h.evacuationGauges(now),
		Follow: h.followGauges(now), Paces: h.paces.Spreads(now), ExtraTokens: h.extraTokens, HeldPrompts: h.heldPrompts.Stats(),
		QueueByUrgency: h.queueByUrgency(),
		QuotaPart:      h.quotaPart(), SharesTakenOver: h.fleet.TakenOver(),
	}
}
