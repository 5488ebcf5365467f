// Package orders brings engines to the state that the configuration asks for.
//
// One Instance at a time holds the lease of a service, an object in the store that
// is changed by conditional update. Each acquisition takes the store's version of
// its write as the fencing number, which grows even if the object is deleted.
//
// The holder measures its term from the time it sent the write, and uses only
// 0.98 of it. A candidate takes over when the same version of the object was
// unchanged for 1.02 of the term since it first saw it. With clock rates that
// differ by up to 1% the holder has then stopped. A holder that pauses finds its
// term over when it continues.
//
// An engine that checks fencing numbers refuses the order of an older holder. To
// an engine that ignores them an order is sent only while the remaining term
// covers TimeLimit, after which the order was executed or never will be.
//
// Orders are level-triggered: an Upstream whose reported state differs from the
// desired one gets an order with the whole desired state, again and again until
// its report agrees. The lease records the highest configuration version, and a
// holder orders nothing from a lower one, so that an Instance that has not seen
// the latest configuration does not take Upstreams back.
//
// Loads from the weight store are limited to MaxLoads at a time. A load counts
// from its order until the report agrees. A new holder doesn't know the orders of
// the one before: each Upstream that differs counts as loading until a report of
// the new term shows what it does.
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

// Parts of a term, in percent. See the package comment.
const (
	holderPercent    = 98
	candidatePercent = 102
)

// Params are the settings of a Controller. Zero fields take the default.
type Params struct {
	// Term is the lease term. It must exceed TimeLimit. Default 30 s.
	Term time.Duration
	// TimeLimit is how long an order may take from its sending. Default 10 s.
	TimeLimit time.Duration
	// RetryInterval is the time between two orders to an Upstream, and between two
	// calls of the store after a failure. Default 2 s.
	RetryInterval time.Duration
	// PollInterval is the time between two reads of another's lease. Default 5 s.
	PollInterval time.Duration
	// MaxLoads bounds the Upstreams that load weights at a time; 0 sets no bound.
	MaxLoads int
	// LoadTimeout is the time after which a load no longer counts for MaxLoads, so
	// that an Upstream that never answers does not hold up the others. Default
	// 10 min.
	LoadTimeout time.Duration
	// Random is the source of the nonces. It is required.
	Random io.Reader
}

func (p Params) withDefaults() Params {
	p.Term = cmp.Or(p.Term, 30*time.Second)
	p.TimeLimit = cmp.Or(p.TimeLimit, 10*time.Second)
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

// Report is what an Upstream says about itself.
type Report struct {
	// Serves is what it serves now.
	Serves State
	// Loading is the state that it will serve when a load ends, zero without one.
	Loading State
}

// DesiredState is the desired state of an Upstream.
type DesiredState struct {
	Upstream core.UpstreamID
	State    State
	// ChecksFencing is set when the Upstream refuses stale fencing numbers.
	ChecksFencing bool
}

// Lease is the store object of a service's lease.
type Lease struct {
	Holder core.InstanceRef `json:"holder"`
	// Fence is 0 in the write that acquires the lease: the fencing number is
	// then the version of the object.
	Fence core.FencingToken `json:"fence"`
	// Nonce is different in each write.
	Nonce string `json:"nonce"`
	// Config is the highest configuration version of a holder.
	Config core.Version `json:"config"`
	// Released is set when the holder has stopped before the end of its term.
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
	Failed         // or unknown: the order is repeated
	Expired        // not sent, because NotAfter had passed
	Stale          // the Upstream has seen a higher fencing number
)

// Output is an effect: ReadLease, WriteLease or Order.
type Output interface{ output() }

// ReadLease asks for a read of the lease object, answered by OnLeaseRead.
type ReadLease struct{}

// WriteLease asks for a conditional update of the lease object, answered by
// OnLeaseWritten or OnLeaseWriteFailed. Base 0 creates the object.
type WriteLease struct {
	Base  uint64
	Value []byte
}

// Order asks an Upstream to take a state. It must be sent until NotAfter and
// given up after TimeLimit, and is answered by OnOrderResult.
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

// upstream is what is known of one Upstream.
type upstream struct {
	desired     DesiredState
	reported    *State
	loading     State
	reportedAt  core.Instant
	nextOrderAt core.Instant // no order before
	// orderInFlight is set from an order until a report shows what became of it.
	orderInFlight bool
	orderedAt     core.Instant
	// mayExecuteUntil is the end of the time in which the last order may be executed.
	mayExecuteUntil core.Instant
}

// Controller issues the orders of one service. Its methods do not block and must be
// called from one goroutine.
type Controller struct {
	self          core.InstanceRef
	p             Params
	configVersion core.Version
	upstreams     []*upstream // sorted by id

	// The lease as last seen, and since when this version was seen.
	leaseKnown      bool
	leaseVersion    uint64
	lease           Lease
	leaseSeenAt     core.Instant
	fence           core.FencingToken // of the own term, 0 without one
	termEnd         core.Instant      // of the own term
	heldSince       core.Instant      // with this fencing number
	mayExecuteUntil core.Instant      // for orders to Upstreams that are no longer configured
	resigning       bool

	readInFlight  bool
	writeInFlight *leaseWrite
	// unresolvedWrites are the own writes whose nonce a read may still show.
	unresolvedWrites []leaseWrite
	mustReadLease    bool
	// hasUnknownOutcome is set while a write on unsettledBase without a success may
	// take effect, or a late answer to it may arrive.
	hasUnknownOutcome  bool
	unknownOutcomeBase uint64
	nextStoreCallAt    core.Instant // no call of the store before
	storeCallStartedAt core.Instant // of the call in progress
	advancedAt         core.Instant
}

type leaseWrite struct {
	base   uint64
	lease  Lease
	sentAt core.Instant
}

// New returns a Controller without desired state, which reads the lease first.
func New(self core.InstanceRef, p Params) *Controller {
	return &Controller{self: self, p: p.withDefaults(), nextStoreCallAt: math.MinInt64}
}

// SetDesired replaces the desired state. A lower version than before is ignored.
func (c *Controller) SetDesired(now core.Instant, version core.Version, want []DesiredState) []Output {
	if version < c.configVersion {
		return nil
	}
	if version > c.configVersion && c.holds(now) {
		// The lease must record the version before orders follow it.
		c.nextStoreCallAt = now
	}
	c.configVersion = version
	old := c.upstreams
	c.upstreams = nil
	for _, u := range old {
		c.mayExecuteUntil = max(c.mayExecuteUntil, u.mayExecuteUntil)
	}
	for _, d := range want {
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

// OnServedState notes the state that an Upstream reports, when it loads nothing.
func (c *Controller) OnServedState(now core.Instant, id core.UpstreamID, state State) []Output {
	return c.OnStateReport(now, id, Report{Serves: state})
}

// OnStateReport notes what an Upstream reports.
func (c *Controller) OnStateReport(now core.Instant, id core.UpstreamID, report Report) []Output {
	if at := findUpstream(c.upstreams, id); at >= 0 {
		u := c.upstreams[at]
		u.reported = &report.Serves
		u.loading = report.Loading
		u.reportedAt = now
		// A report lags behind the order by less than RetryInterval.
		late := now >= u.orderedAt.Add(c.maxOrderDuration()+c.p.RetryInterval)
		if u.loading == (State{}) && (late || !u.isOutOfSync()) {
			u.orderInFlight = false
		}
	}
	return c.advance(now)
}

// maxOrderDuration is the time after which a sent order was executed or never will be.
func (c *Controller) maxOrderDuration() time.Duration { return c.p.TimeLimit * candidatePercent / 100 }

// OnOrderResult notes the result of an order.
func (c *Controller) OnOrderResult(now core.Instant, id core.UpstreamID, result Result) []Output {
	if result == Stale {
		// Another holder is active, so that the own term must have ended.
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

// LeaseFence reports whether this Instance holds the lease, and its fencing number.
func (c *Controller) LeaseFence(now core.Instant) (core.FencingToken, bool) {
	return c.fence, c.holds(now)
}

func (c *Controller) holds(now core.Instant) bool { return c.fence != 0 && now < c.termEnd }

// Resign gives the lease up and acquires it no more.
func (c *Controller) Resign(now core.Instant) []Output {
	c.resigning = true
	c.nextStoreCallAt = now
	return c.advance(now)
}

// ReportsNeeded returns the Upstreams that this Instance, as the holder, has to read: a
// report of this term is missing or differs from the desired state. It returns
// none without the lease.
func (c *Controller) ReportsNeeded(now core.Instant) []core.UpstreamID {
	var pending []core.UpstreamID
	for _, u := range c.upstreams {
		if c.holds(now) && (u.reported == nil || u.reportedAt < c.heldSince || u.isOutOfSync()) {
			pending = append(pending, u.desired.Upstream)
		}
	}
	return pending
}

// OutOfSync returns the Upstreams whose last report is not the desired state.
func (c *Controller) OutOfSync() []core.UpstreamID {
	var differing []core.UpstreamID
	for _, u := range c.upstreams {
		if u.reported == nil || u.isOutOfSync() {
			differing = append(differing, u.desired.Upstream)
		}
	}
	return differing
}

// Reset continues as a new incarnation after a pause, without a lease.
func (c *Controller) Reset(now core.Instant, self core.InstanceRef) []Output {
	c.self = self
	c.fence = 0
	c.unresolvedWrites = nil
	c.leaseKnown = false
	return c.advance(now)
}

// Tick renews or acquires the lease and repeats orders. It gives up on an answer
// of the store that did not come within a term.
func (c *Controller) Tick(now core.Instant) []Output {
	if now >= c.storeCallStartedAt.Add(c.p.Term) && c.writeInFlight != nil {
		return c.OnLeaseWriteFailed(now, WriteOutcomeUnknown)
	}
	if now >= c.storeCallStartedAt.Add(c.p.Term) && c.readInFlight {
		return c.OnLeaseReadFailed(now)
	}
	return c.advance(now)
}

// NextWake returns the time at which the next Tick is due.
func (c *Controller) NextWake() core.Instant {
	wake := c.nextStoreCallAt
	if c.readInFlight || c.writeInFlight != nil {
		wake = c.storeCallStartedAt.Add(c.p.Term)
	}
	for _, u := range c.upstreams {
		// An earlier nextAt means that the order waits for the lease.
		if u.needsOrder() && u.nextOrderAt > c.advancedAt {
			wake = min(wake, u.nextOrderAt)
		}
	}
	return wake
}

func (u *upstream) isOutOfSync() bool { return u.reported != nil && *u.reported != u.desired.State }

// needsLoad reports whether the desired state needs weights from the weight
// store. A change of the role alone does not.
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
	return u.loading != (State{}) || (u.orderInFlight || u.reportedAt < c.heldSince) && u.needsLoad()
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

// needsOrder reports whether the Upstream differs and is not on its way to the
// desired state.
func (u *upstream) needsOrder() bool { return u.isOutOfSync() && u.loading != u.desired.State }

// advance starts the store call that is due, and all orders that are possible.
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
			started := u.orderInFlight || u.loading != (State{})
			if u.reportedAt < c.heldSince || !started && loads >= c.p.MaxLoads {
				continue
			}
			if !started {
				loads++
			}
		}
		u.orderInFlight = true
		u.orderedAt = now
		u.mayExecuteUntil = notAfter.Add(c.maxOrderDuration())
		// Without a result the order is repeated after its time limit.
		u.nextOrderAt = now.Add(c.p.TimeLimit + c.p.RetryInterval)
		outs = append(outs, Order{
			Upstream:  u.desired.Upstream,
			Fence:     c.fence,
			State:     u.desired.State,
			NotAfter:  notAfter,
			TimeLimit: c.p.TimeLimit,
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
