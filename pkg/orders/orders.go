// Package orders brings engines to the state that the configuration specifies.
//
// One Instance at a time holds the lease of a service, an object in the store that
// is changed by conditional update. The store's version of the write that acquires
// the lease is the fencing token, which increases even if the object is deleted.
//
// The holder measures its term from the time it sent the write, and uses only
// 0.98 of it. A candidate takes over when the version of the object has not changed
// for 1.02 of the term since the candidate first saw it. With clock rates that are
// off by up to 1%, the holder has stopped by then. A holder that was paused finds its
// term expired when it continues.
//
// An engine that checks fencing tokens refuses the orders of an older holder. To an
// engine that ignores them an order is sent only while the remaining term covers
// OrderTimeout, after which the order was executed or never will be.
//
// Orders are level-triggered: an Upstream whose reported state differs from the
// desired one gets an order with the complete desired state, repeated until its
// report agrees. The lease records the highest configuration version, and a holder
// sends no orders for a lower one, so that an Instance that has not seen the latest
// configuration does not return Upstreams to an older one.
//
// Loads from the weight store are limited to MaxLoads at a time. A load counts from
// its order until the report agrees. A new holder does not know the orders of the
// previous one: each Upstream that differs counts as loading until a report of the
// new term shows its state.
package orders

import (
	"cmp"
	"encoding/hex"
	"encoding/json"
	"io"
	"math"
	"slices"
	"time"

	"github.com/rhubarbsill/rhubarbsill/pkg/core"
)

// The parts of a term that a holder uses and a candidate waits for, in percent. See
// the package comment.
const (
	holderPercent    = 98
	candidatePercent = 102
)

// Params are the settings of a Controller. Zero fields take the default.
type Params struct {
	// Term is the lease term. It must exceed OrderTimeout. Default 30 s.
	Term time.Duration
	// OrderTimeout is the time within which a sent order is executed or given up. Default
	// 10 s.
	OrderTimeout time.Duration
	// RetryInterval is the time between two orders to an Upstream, and between two
	// calls of the store after a failure. Default 2 s.
	RetryInterval time.Duration
	// PollInterval is the time between two reads of another's lease. Default 5 s.
	PollInterval time.Duration
	// MaxLoads bounds the Upstreams that load weights at a time; 0 sets no bound.
	MaxLoads int
	// LoadTimeout is the time after which a load no longer counts for MaxLoads, so
	// that an Upstream that never completes it does not block the others. Default
	// 10 min.
	LoadTimeout time.Duration
	// Random is the source of the nonces. It is required.
	Random io.Reader
}

func (p Params) withDefaults() Params {
	p.Term = cmp.Or(p.Term, 30*time.Second)
	p.OrderTimeout = cmp.Or(p.OrderTimeout, 10*time.Second)
	p.RetryInterval = cmp.Or(p.RetryInterval, 2*time.Second)
	p.PollInterval = cmp.Or(p.PollInterval, 5*time.Second)
	p.LoadTimeout = cmp.Or(p.LoadTimeout, 10*time.Minute)
	return p
}

// State is what an Upstream serves.
type State struct {
	Model   core.ModelName
	Adapter string
	Version string // of the weights
	Role    string
}

// Report is the state that an Upstream reports.
type Report struct {
	// Serves is what it serves now.
	Serves State
	// Loading is the state that it will serve when the load in progress ends, zero
	// without one.
	Loading State
}

// DesiredState is the desired state of an Upstream.
type DesiredState struct {
	Upstream core.UpstreamID
	State    State
	// ChecksFencing is set when the Upstream refuses orders with a fencing token lower
	// than one it has seen.
	ChecksFencing bool
}

// Lease is the store object of a service's lease.
type Lease struct {
	Holder core.InstanceRef `json:"holder"`
	// Fence is 0 in the write that acquires the lease: the fencing token is then the
	// version of the object.
	Fence core.FencingToken `json:"fence"`
	// Nonce is different in each write.
	Nonce string `json:"nonce"`
	// Config is the highest configuration version of any holder.
	Config core.Version `json:"config"`
	// Released is set when the holder has stopped sending orders before the end of its
	// term.
	Released bool `json:"released,omitempty"`
}

// Failure is why a write of the lease failed.
type Failure int

// The failures of a write.
const (
	Conflict Failure = iota + 1
	WriteOutcomeUnknown
	Unavailable
)

// Result is the result of an order.
type Result int

// The results of an order.
const (
	Done    Result = iota + 1
	Failed         // or the outcome is unknown; the order is repeated
	Expired        // not sent, because NotAfter had passed
	Stale          // refused, because the Upstream has seen a higher fencing token
)

// Output is an effect: ReadLease, WriteLease or Order.
type Output interface{ output() }

// ReadLease reads the lease object. Its result goes to OnLeaseRead or
// OnLeaseReadFailed.
type ReadLease struct{}

// WriteLease updates the lease object if its version is Base; 0 creates the object.
// Its result goes to OnLeaseWritten or OnLeaseWriteFailed.
type WriteLease struct {
	Base  uint64
	Value []byte
}

// Order tells an Upstream to change to a state. It must not be sent after NotAfter, and
// must be given up TimeLimit after it was sent. Its result goes to OnOrderResult.
type Order struct {
	Upstream  core.UpstreamID
	Fence     core.FencingToken
	State     State
	NotAfter  core.Instant
	TimeLimit time.Duration
}

func (ReadLease) output()  {}
func (WriteLease) output() {}
func (Order) output()      {}

// upstream is the state of one Upstream as known to the Controller.
type upstream struct {
	desired     DesiredState
	reported    *State
	loading     State
	reportedAt  core.Instant
	nextOrderAt core.Instant // no order before this instant
	// orderUnconfirmed is set from an order until a report shows its outcome.
	orderUnconfirmed bool
	orderedAt        core.Instant
	// mayExecuteUntil is the latest instant at which the last order may be executed.
	mayExecuteUntil core.Instant
}

// Controller issues the orders of one service. Its methods do not block and must be
// called from one goroutine.
type Controller struct {
	self          core.InstanceRef
	p             Params
	configVersion core.Version
	upstreams     []*upstream // sorted by id

	// The lease as last seen, and when its version was first seen.
	leaseKnown      bool
	leaseVersion    uint64
	lease           Lease
	leaseSeenAt     core.Instant
	fence           core.FencingToken // of this Instance as the holder, 0 otherwise
	termEnd         core.Instant      // of this Instance as the holder
	heldSince       core.Instant      // when the lease was acquired with this fencing token
	mayExecuteUntil core.Instant      // for orders to Upstreams that are no longer configured
	resigning       bool

	readInFlight  bool
	writeInFlight *leaseWrite
	// unresolvedWrites are this Instance's writes whose nonce a read may still return.
	unresolvedWrites []leaseWrite
	mustReadLease    bool
	// hasUnknownOutcome is set while a failed write on unknownOutcomeBase may still take
	// effect, or a late reply to it may arrive.
	hasUnknownOutcome  bool
	unknownOutcomeBase uint64
	nextStoreCallAt    core.Instant // no call of the store before this instant
	storeCallStartedAt core.Instant // of the call in progress
	advancedAt         core.Instant
}

type leaseWrite struct {
	base   uint64
	lease  Lease
	sentAt core.Instant
}

// New returns a Controller without a desired state, which begins by reading the lease.
func New(self core.InstanceRef, p Params) *Controller {
	return &Controller{self: self, p: p.withDefaults(), nextStoreCallAt: math.MinInt64}
}

// SetDesired replaces the desired state. A version lower than the last one is ignored.
func (c *Controller) SetDesired(now core.Instant, version core.Version, desired []DesiredState) []Output {
	if version < c.configVersion {
		return nil
	}
	if version > c.configVersion && c.holds(now) {
		// The lease must record the version before any order for it.
		c.nextStoreCallAt = now
	}
	c.configVersion = version
	old := c.upstreams
	c.upstreams = nil
	for _, u := range old {
		c.mayExecuteUntil = max(c.mayExecuteUntil, u.mayExecuteUntil)
	}
	for _, d := range desired {
		u := &upstream{}
		if at := findUpstream(old, d.Upstream); at >= 0 {
			u = old[at]
		}
		u.desired = d
		c.upstreams = append(c.upstreams, u)
	}
	slices.SortFunc(c.upstreams, func(a, b *upstream) int { return cmp.Compare(a.desired.Upstream, b.desired.Upstream) })
	return c.advance(now)
}

func findUpstream(list []*upstream, id core.UpstreamID) int {
	return slices.IndexFunc(list, func(u *upstream) bool { return u.desired.Upstream == id })
}

// OnServedState records the report of an Upstream that is not loading.
func (c *Controller) OnServedState(now core.Instant, id core.UpstreamID, state State) []Output {
	return c.OnStateReport(now, id, Report{Serves: state})
}

// OnStateReport records the report of an Upstream.
func (c *Controller) OnStateReport(now core.Instant, id core.UpstreamID, report Report) []Output {
	if at := findUpstream(c.upstreams, id); at >= 0 {
		u := c.upstreams[at]
		u.reported = &report.Serves
		u.loading = report.Loading
		u.reportedAt = now
		// A report lags behind the order by less than RetryInterval.
		late := now >= u.orderedAt.Add(c.maxOrderDuration()+c.p.RetryInterval)
		if u.loading == (State{}) && (late || !u.isOutOfSync()) {
			u.orderUnconfirmed = false
		}
	}
	return c.advance(now)
}

// maxOrderDuration returns the time after which a sent order was executed or never
// will be.
func (c *Controller) maxOrderDuration() time.Duration {
	return c.p.OrderTimeout * candidatePercent / 100
}

// OnOrderResult handles the result of an order.
func (c *Controller) OnOrderResult(now core.Instant, id core.UpstreamID, result Result) []Output {
	if result == Stale {
		// Another Instance holds the lease, so this Instance's term must have ended.
		c.fence = 0
		c.leaseKnown = false
	}
	if at := findUpstream(c.upstreams, id); at >= 0 {
		u := c.upstreams[at]
		u.nextOrderAt = now.Add(c.p.RetryInterval)
		u.mayExecuteUntil = now
		if result == Failed {
			u.mayExecuteUntil = now.Add(c.maxOrderDuration())
		}
		if c.resigning && c.writeInFlight == nil {
			c.nextStoreCallAt = now
		}
	}
	return c.advance(now)
}

// LeaseFence returns the fencing token and whether this Instance holds the lease.
// Without the lease the token is not valid.
func (c *Controller) LeaseFence(now core.Instant) (core.FencingToken, bool) {
	return c.fence, c.holds(now)
}

func (c *Controller) holds(now core.Instant) bool { return c.fence != 0 && now < c.termEnd }

// Resign releases the lease once no order can still be executed, and never acquires it
// again.
func (c *Controller) Resign(now core.Instant) []Output {
	c.resigning = true
	c.nextStoreCallAt = now
	return c.advance(now)
}

// ReportsNeeded returns the Upstreams whose state this Instance must read as the
// holder: those without a report since it acquired the lease, and those whose last
// report differs from the desired state. Without the lease it returns none.
func (c *Controller) ReportsNeeded(now core.Instant) []core.UpstreamID {
	var needed []core.UpstreamID
	for _, u := range c.upstreams {
		if c.holds(now) && (u.reported == nil || u.reportedAt < c.heldSince || u.isOutOfSync()) {
			needed = append(needed, u.desired.Upstream)
		}
	}
	return needed
}

// OutOfSync returns the Upstreams that have no report or whose last report differs from
// the desired state.
func (c *Controller) OutOfSync() []core.UpstreamID {
	var outOfSync []core.UpstreamID
	for _, u := range c.upstreams {
		if u.reported == nil || u.isOutOfSync() {
			outOfSync = append(outOfSync, u.desired.Upstream)
		}
	}
	return outOfSync
}

// Reset continues as a new incarnation after a pause, without a lease.
func (c *Controller) Reset(now core.Instant, self core.InstanceRef) []Output {
	c.self = self
	c.fence = 0
	c.unresolvedWrites = nil
	c.leaseKnown = false
	return c.advance(now)
}

// Tick renews or acquires the lease and repeats orders. A call of the store without a
// reply within a term counts as failed.
func (c *Controller) Tick(now core.Instant) []Output {
	if now >= c.storeCallStartedAt.Add(c.p.Term) && c.writeInFlight != nil {
		return c.OnLeaseWriteFailed(now, WriteOutcomeUnknown)
	}
	if now >= c.storeCallStartedAt.Add(c.p.Term) && c.readInFlight {
		return c.OnLeaseReadFailed(now)
	}
	return c.advance(now)
}

// NextWake returns when the next Tick is due.
func (c *Controller) NextWake() core.Instant {
	wake := c.nextStoreCallAt
	if c.readInFlight || c.writeInFlight != nil {
		wake = c.storeCallStartedAt.Add(c.p.Term)
	}
	for _, u := range c.upstreams {
		// With an earlier nextOrderAt the order waits for the lease or a free load, not
		// for time to pass.
		if u.needsOrder() && u.nextOrderAt > c.advancedAt {
			wake = min(wake, u.nextOrderAt)
		}
	}
	return wake
}

func (u *upstream) isOutOfSync() bool { return u.reported != nil && *u.reported != u.desired.State }

// needsLoad reports whether the desired state requires weights from the weight store.
// A change of the role alone does not.
func (u *upstream) needsLoad() bool {
	want := u.desired.State
	want.Role = u.reported.Role
	return *u.reported != want
}

// mayBeLoading reports whether the Upstream may be loading weights.
func (c *Controller) mayBeLoading(now core.Instant, u *upstream) bool {
	since := max(c.heldSince, u.orderedAt)
	if u.reported == nil || now >= since.Add(c.p.LoadTimeout) {
		return false
	}
	return u.loading != (State{}) || (u.orderUnconfirmed || u.reportedAt < c.heldSince) && u.needsLoad()
}

func (c *Controller) loadingCount(now core.Instant) int {
	n := 0
	for _, u := range c.upstreams {
		if c.mayBeLoading(now, u) {
			n++
		}
	}
	return n
}

// needsOrder reports whether the Upstream is out of sync and not loading the desired
// state.
func (u *upstream) needsOrder() bool { return u.isOutOfSync() && u.loading != u.desired.State }

// advance starts the call of the store that is due, and all orders that are possible.
func (c *Controller) advance(now core.Instant) []Output {
	c.advancedAt = now
	outs := c.advanceLease(now)
	if !c.holds(now) || c.resigning || c.lease.Config != c.configVersion {
		return outs
	}
	loads := c.loadingCount(now)
	for _, u := range c.upstreams {
		notAfter := c.termEnd - 1
		if !u.desired.ChecksFencing {
			notAfter = notAfter.Add(-c.maxOrderDuration())
		}
		if !u.needsOrder() || now < u.nextOrderAt || now > notAfter {
			continue
		}
		if c.p.MaxLoads > 0 && u.needsLoad() {
			started := u.orderUnconfirmed || u.loading != (State{})
			if u.reportedAt < c.heldSince || !started && loads >= c.p.MaxLoads {
				continue
			}
			if !started {
				loads++
			}
		}
		u.orderUnconfirmed = true
		u.orderedAt = now
		u.mayExecuteUntil = notAfter.Add(c.maxOrderDuration())
		// Without a result the order is repeated after its time limit.
		u.nextOrderAt = now.Add(c.p.OrderTimeout + c.p.RetryInterval)
		outs = append(outs, Order{
			Upstream:  u.desired.Upstream,
			Fence:     c.fence,
			State:     u.desired.State,
			NotAfter:  notAfter,
			TimeLimit: c.p.OrderTimeout,
		})
	}
	return outs
}

func newNonce(random io.Reader) (string, error) {
	var nonce [16]byte
	_, err := io.ReadFull(random, nonce[:])
	return hex.EncodeToString(nonce[:]), err
}

func decodeLease(value []byte) (Lease, error) {
	var lease Lease
	err := json.Unmarshal(value, &lease)
	return lease, err
}
