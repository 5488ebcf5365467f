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

// Params are the settings of an Orders. Zero fields take the default.
type Params struct {
	// Term is the lease term. It must exceed TimeLimit. Default 30 s.
	Term time.Duration
	// TimeLimit is how long an order may take from its sending. Default 10 s.
	TimeLimit time.Duration
	// RetryAfter is the time between two orders to an Upstream, and between two
	// calls of the store after a failure. Default 2 s.
	RetryAfter time.Duration
	// PollEvery is the time between two reads of another's lease. Default 5 s.
	PollEvery time.Duration
	// Random is the source of the nonces. It is required.
	Random io.Reader
}

func (p Params) withDefaults() Params {
	p.Term = cmp.Or(p.Term, 30*time.Second)
	p.TimeLimit = cmp.Or(p.TimeLimit, 10*time.Second)
	p.RetryAfter = cmp.Or(p.RetryAfter, 2*time.Second)
	p.PollEvery = cmp.Or(p.PollEvery, 5*time.Second)
	return p
}

// State is what an Upstream serves.
type State struct {
	Model   core.ModelName
	Adapter string
	Version string // of the weights
	Role    string
}

// Desired is the desired state of an Upstream.
type Desired struct {
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
	Fence core.Fence `json:"fence"`
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
	Lost
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
	Fence     core.Fence
	Want      State
	NotAfter  core.Instant
	TimeLimit time.Duration
}

func (ReadLease) output()  {}
func (WriteLease) output() {}
func (Order) output()      {}

// upstream is what is known of one Upstream.
type upstream struct {
	want     Desired
	reported *State
	nextAt   core.Instant // no order before
}

// Orders issues the orders of one service. Its methods do not block and must be
// called from one goroutine.
type Orders struct {
	self      core.InstanceRef
	p         Params
	config    core.Version
	upstreams []*upstream // sorted by id

	// The lease as last seen, and since when this version was seen.
	known     bool
	version   uint64
	lease     Lease
	seenAt    core.Instant
	fence     core.Fence   // of the own term, 0 without one
	termEnd   core.Instant // of the own term
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

// New returns an Orders without desired state, which reads the lease first.
func New(self core.InstanceRef, p Params) *Orders {
	return &Orders{self: self, p: p.withDefaults(), callAt: math.MinInt64}
}

// SetDesired replaces the desired state. A lower version than before is ignored.
func (o *Orders) SetDesired(now core.Instant, version core.Version, want []Desired) []Output {
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

// OnReport notes the state that an Upstream reports.
func (o *Orders) OnReport(now core.Instant, id core.UpstreamID, state State) []Output {
	if at := findUpstream(o.upstreams, id); at >= 0 {
		o.upstreams[at].reported = &state
	}
	return o.advance(now)
}

// OnOrderResult notes the result of an order.
func (o *Orders) OnOrderResult(now core.Instant, id core.UpstreamID, result Result) []Output {
	if result == Stale {
		// Another holder is active, so that the own term must have ended.
		o.fence = 0
		o.known = false
	}
	if at := findUpstream(o.upstreams, id); at >= 0 {
		o.upstreams[at].nextAt = now.Add(o.p.RetryAfter)
	}
	return o.advance(now)
}

// Holder reports whether this Instance holds the lease, and its fencing number.
func (o *Orders) Holder(now core.Instant) (core.Fence, bool) { return o.fence, o.holds(now) }

func (o *Orders) holds(now core.Instant) bool { return o.fence != 0 && now < o.termEnd }

// Resign gives the lease up and acquires it no more.
func (o *Orders) Resign(now core.Instant) []Output {
	o.resigning = true
	o.callAt = now
	return o.advance(now)
}

// Reset continues as a new incarnation after a pause, without a lease.
func (o *Orders) Reset(now core.Instant, self core.InstanceRef) []Output {
	o.self = self
	o.fence = 0
	o.sent = nil
	o.known = false
	return o.advance(now)
}

// Tick renews or acquires the lease and repeats orders. It gives up on an answer
// of the store that did not come within a term.
func (o *Orders) Tick(now core.Instant) []Output {
	if now >= o.startedAt.Add(o.p.Term) && o.writing != nil {
		return o.OnLeaseWriteFailed(now, Lost)
	}
	if now >= o.startedAt.Add(o.p.Term) && o.reading {
		return o.OnLeaseReadFailed(now)
	}
	return o.advance(now)
}

// NextWake returns the time at which the next Tick is due.
func (o *Orders) NextWake() core.Instant {
	wake := o.callAt
	if o.reading || o.writing != nil {
		wake = o.startedAt.Add(o.p.Term)
	}
	for _, u := range o.upstreams {
		// An earlier nextAt means that the order waits for the lease.
		if u.differs() && u.nextAt > o.advancedAt {
			wake = min(wake, u.nextAt)
		}
	}
	return wake
}

func (u *upstream) differs() bool { return u.reported != nil && *u.reported != u.want.State }

// advance starts the store call that is due, and all orders that are possible.
func (o *Orders) advance(now core.Instant) []Output {
	o.advancedAt = now
	outs := o.advanceLease(now)
	if !o.holds(now) || o.resigning || o.lease.Config != o.config {
		return outs
	}
	for _, u := range o.upstreams {
		notAfter := o.termEnd - 1
		if !u.want.ChecksFencing {
			notAfter = notAfter.Add(-o.p.TimeLimit * candidatePercent / 100)
		}
		if !u.differs() || now < u.nextAt || now > notAfter {
			continue
		}
		// Without a result the order is repeated after its time limit.
		u.nextAt = now.Add(o.p.TimeLimit + o.p.RetryAfter)
		outs = append(outs, Order{
			Upstream:  u.want.Upstream,
			Fence:     o.fence,
			Want:      u.want.State,
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
