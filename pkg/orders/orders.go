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
	want       DesiredState
	reported   *State
	loading    State
	reportedAt core.Instant
	nextAt     core.Instant // no order before
	// ordered is set from an order until a report shows what became of it.
	ordered   bool
	orderedAt core.Instant
	// runsUntil is the end of the time in which the last order may be executed.
	runsUntil core.Instant
}

// Controller issues the orders of one service. Its methods do not block and must be
// called from one goroutine.
type Controller struct {
	self      core.InstanceRef
	p         Params
	config    core.Version
	upstreams []*upstream // sorted by id

	// The lease as last seen, and since when this version was seen.
	known     bool
	version   uint64
	lease     Lease
	seenAt    core.Instant
	fence     core.FencingToken // of the own term, 0 without one
	termEnd   core.Instant      // of the own term
	heldSince core.Instant      // with this fencing number
	runsUntil core.Instant      // for orders to Upstreams that are no longer configured
	resigning bool

	reading bool
	writing *leaseWrite
	// sent are the own writes whose nonce a read may still show.
	sent     []leaseWrite
	mustRead bool
	// unsettled is set while a write on unsettledBase without a success may
	// take effect, or a late answer to it may arrive.
	unsettled     bool
	unsettledBase uint64
	callAt        core.Instant // no call of the store before
	startedAt     core.Instant // of the call in progress
	advancedAt    core.Instant
}

type leaseWrite struct {
	base  uint64
	lease Lease
	at    core.Instant
}

// New returns a Controller without desired state, which reads the lease first.
func New(self core.InstanceRef, p Params) *Controller {
	return &Controller{self: self, p: p.withDefaults(), callAt: math.MinInt64}
}

// SetDesired replaces the desired state. A lower version than before is ignored.
func (o *Controller) SetDesired(now core.Instant, version core.Version, want []DesiredState) []Output {
	if version < o.config {
		return nil
	}
	if version > o.config && o.holds(now) {
		// The lease must record the version before orders follow it.
		o.callAt = now
	}
	o.config = version
	old := o.upstreams
	o.upstreams = nil
	for _, u := range old {
		o.runsUntil = max(o.runsUntil, u.runsUntil)
	}
	for _, d := range want {
		u := &upstream{}
		if at := findUpstream(old, d.Upstream); at >= 0 {
			u = old[at]
		}
		u.want = d
		o.upstreams = append(o.upstreams, u)
	}
	slices.SortFunc(o.upstreams, func(a, b *upstream) int { return cmp.Compare(a.want.Upstream, b.want.Upstream) })
	return o.advance(now)
}

func findUpstream(list []*upstream, id core.UpstreamID) int {
	return slices.IndexFunc(list, func(u *upstream) bool { return u.want.Upstream == id })
}

// OnServedState notes the state that an Upstream reports, when it loads nothing.
func (o *Controller) OnServedState(now core.Instant, id core.UpstreamID, state State) []Output {
	return o.OnStateReport(now, id, Report{Serves: state})
}

// OnStateReport notes what an Upstream reports.
func (o *Controller) OnStateReport(now core.Instant, id core.UpstreamID, report Report) []Output {
	if at := findUpstream(o.upstreams, id); at >= 0 {
		u := o.upstreams[at]
		u.reported = &report.Serves
		u.loading = report.Loading
		u.reportedAt = now
		// A report lags behind the order by less than RetryInterval.
		late := now >= u.orderedAt.Add(o.orderRuns()+o.p.RetryInterval)
		if u.loading == (State{}) && (late || !u.differs()) {
			u.ordered = false
		}
	}
	return o.advance(now)
}

// orderRuns is the time after which a sent order was executed or never will be.
func (o *Controller) orderRuns() time.Duration { return o.p.TimeLimit * candidatePercent / 100 }

// OnOrderResult notes the result of an order.
func (o *Controller) OnOrderResult(now core.Instant, id core.UpstreamID, result Result) []Output {
	if result == Stale {
		// Another holder is active, so that the own term must have ended.
		o.fence = 0
		o.known = false
	}
	if at := findUpstream(o.upstreams, id); at >= 0 {
		u := o.upstreams[at]
		u.nextAt = now.Add(o.p.RetryInterval)
		u.runsUntil = now
		if result == Failed {
			u.runsUntil = now.Add(o.orderRuns())
		}
		if o.resigning && o.writing == nil {
			o.callAt = now
		}
	}
	return o.advance(now)
}

// LeaseFence reports whether this Instance holds the lease, and its fencing number.
func (o *Controller) LeaseFence(now core.Instant) (core.FencingToken, bool) {
	return o.fence, o.holds(now)
}

func (o *Controller) holds(now core.Instant) bool { return o.fence != 0 && now < o.termEnd }

// Resign gives the lease up and acquires it no more.
func (o *Controller) Resign(now core.Instant) []Output {
	o.resigning = true
	o.callAt = now
	return o.advance(now)
}

// ReportsNeeded returns the Upstreams that this Instance, as the holder, has to read: a
// report of this term is missing or differs from the desired state. It returns
// none without the lease.
func (o *Controller) ReportsNeeded(now core.Instant) []core.UpstreamID {
	var pending []core.UpstreamID
	for _, u := range o.upstreams {
		if o.holds(now) && (u.reported == nil || u.reportedAt < o.heldSince || u.differs()) {
			pending = append(pending, u.want.Upstream)
		}
	}
	return pending
}

// OutOfSync returns the Upstreams whose last report is not the desired state.
func (o *Controller) OutOfSync() []core.UpstreamID {
	var differing []core.UpstreamID
	for _, u := range o.upstreams {
		if u.reported == nil || u.differs() {
			differing = append(differing, u.want.Upstream)
		}
	}
	return differing
}

// Reset continues as a new incarnation after a pause, without a lease.
func (o *Controller) Reset(now core.Instant, self core.InstanceRef) []Output {
	o.self = self
	o.fence = 0
	o.sent = nil
	o.known = false
	return o.advance(now)
}

// Tick renews or acquires the lease and repeats orders. It gives up on an answer
// of the store that did not come within a term.
func (o *Controller) Tick(now core.Instant) []Output {
	if now >= o.startedAt.Add(o.p.Term) && o.writing != nil {
		return o.OnLeaseWriteFailed(now, WriteOutcomeUnknown)
	}
	if now >= o.startedAt.Add(o.p.Term) && o.reading {
		return o.OnLeaseReadFailed(now)
	}
	return o.advance(now)
}

// NextWake returns the time at which the next Tick is due.
func (o *Controller) NextWake() core.Instant {
	wake := o.callAt
	if o.reading || o.writing != nil {
		wake = o.startedAt.Add(o.p.Term)
	}
	for _, u := range o.upstreams {
		// An earlier nextAt means that the order waits for the lease.
		if u.wantsOrder() && u.nextAt > o.advancedAt {
			wake = min(wake, u.nextAt)
		}
	}
	return wake
}

func (u *upstream) differs() bool { return u.reported != nil && *u.reported != u.want.State }

// needsLoad reports whether the desired state needs weights from the weight
// store. A change of the role alone does not.
func (u *upstream) needsLoad() bool {
	want := u.want.State
	want.Role = u.reported.Role
	return *u.reported != want
}

// mayLoad reports whether the Upstream may be loading weights.
func (o *Controller) mayLoad(now core.Instant, u *upstream) bool {
	since := max(o.heldSince, u.orderedAt)
	if u.reported == nil || now >= since.Add(o.p.LoadTimeout) {
		return false
	}
	return u.loading != (State{}) || (u.ordered || u.reportedAt < o.heldSince) && u.needsLoad()
}

func (o *Controller) loads(now core.Instant) int {
	n := 0
	for _, u := range o.upstreams {
		if o.mayLoad(now, u) {
			n++
		}
	}
	return n
}

// wantsOrder reports whether the Upstream differs and is not on its way to the
// desired state.
func (u *upstream) wantsOrder() bool { return u.differs() && u.loading != u.want.State }

// advance starts the store call that is due, and all orders that are possible.
func (o *Controller) advance(now core.Instant) []Output {
	o.advancedAt = now
	outs := o.advanceLease(now)
	if !o.holds(now) || o.resigning || o.lease.Config != o.config {
		return outs
	}
	loads := o.loads(now)
	for _, u := range o.upstreams {
		notAfter := o.termEnd - 1
		if !u.want.ChecksFencing {
			notAfter = notAfter.Add(-o.orderRuns())
		}
		if !u.wantsOrder() || now < u.nextAt || now > notAfter {
			continue
		}
		if o.p.MaxLoads > 0 && u.needsLoad() {
			started := u.ordered || u.loading != (State{})
			if u.reportedAt < o.heldSince || !started && loads >= o.p.MaxLoads {
				continue
			}
			if !started {
				loads++
			}
		}
		u.ordered = true
		u.orderedAt = now
		u.runsUntil = notAfter.Add(o.orderRuns())
		// Without a result the order is repeated after its time limit.
		u.nextAt = now.Add(o.p.TimeLimit + o.p.RetryInterval)
		outs = append(outs, Order{
			Upstream:  u.want.Upstream,
			Fence:     o.fence,
			State:     u.want.State,
			NotAfter:  notAfter,
			TimeLimit: o.p.TimeLimit,
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
