package router

import (
	"time"

	"github.com/rhubarbsill/rhubarbsill/pkg/attempts"
	"github.com/rhubarbsill/rhubarbsill/pkg/catalog"
	"github.com/rhubarbsill/rhubarbsill/pkg/config"
	"github.com/rhubarbsill/rhubarbsill/pkg/core"
	"github.com/rhubarbsill/rhubarbsill/pkg/fleet"
)

// HoldOutcome is the answer of an engine to a TakeHold.
type HoldOutcome string

// The outcomes of a TakeHold.
const (
	HoldGranted HoldOutcome = "granted"
	HoldFull    HoldOutcome = "full"
	// HoldUnreachable means that the engine did not answer.
	HoldUnreachable HoldOutcome = "unreachable"
	// HoldElsewhere means that another Upstream has the address now.
	HoldElsewhere HoldOutcome = "elsewhere"
)

// HoldReplied is the end of a TakeHold.
type HoldReplied struct {
	Request  core.RequestID
	Attempt  core.AttemptID
	Upstream core.UpstreamID
	Addr     string
	Outcome  HoldOutcome
	// Hold names the place when it was granted.
	Hold string
}

// RoutingSeen is a configuration of the store, or of the peer From.
type RoutingSeen struct {
	Routing  *config.Routing
	Revision uint64
	From     core.InstanceID
}

// UpstreamsListed is the whole list of registered Upstreams at a revision, from
// the store or from the peer From.
type UpstreamsListed struct {
	Revision  uint64
	Upstreams []catalog.Upstream
	From      core.InstanceID
}

// UpstreamsChanged holds the changes of the list up to a revision.
type UpstreamsChanged struct {
	Revision uint64
	Changes  []catalog.Change
}

// StoreDisturbed says that the store failed a call.
type StoreDisturbed struct{}

// MembersListed is the list of Instances in the store.
type MembersListed struct{ Members []fleet.Member }

// StateKind names a state that Instances fetch from each other.
type StateKind string

// The kinds of state.
const (
	StateConfig    StateKind = "config"
	StateUpstreams StateKind = "upstreams"
)

// StateFetched ends a FetchState. What was fetched comes as an event of its own.
type StateFetched struct{ Kind StateKind }

// AddressesWanted asks which Instances a caller should use.
type AddressesWanted struct {
	// Ask is returned in the CallerAddresses effect.
	Ask        uint64
	Region     core.RegionName
	DataCentre core.DataCentreName
	// Limit is the largest number of addresses.
	Limit int
}

func (HoldReplied) event()      {}
func (RoutingSeen) event()      {}
func (UpstreamsListed) event()  {}
func (UpstreamsChanged) event() {}
func (StoreDisturbed) event()   {}
func (MembersListed) event()    {}
func (StateFetched) event()     {}
func (AddressesWanted) event()  {}

// TakeHold asks an engine for a place.
type TakeHold struct {
	Request  core.RequestID
	Attempt  core.AttemptID
	Upstream core.UpstreamID
	Addr     string
	Tokens   int
	Term     time.Duration
}

// DropHold frees a place that was not used.
type DropHold struct {
	Upstream core.UpstreamID
	Addr     string
	Hold     string
}

// DropKV frees a KV cache that was not fetched.
type DropKV struct {
	Upstream core.UpstreamID
	Addr     string
	KV       string
}

// Deliver passes on the failure that an Upstream answered, because the request
// can't be sent to another.
type Deliver struct{ Request core.RequestID }

// CallerAddresses answers an AddressesWanted event.
type CallerAddresses struct {
	Ask       uint64
	Addresses []string
	KeepFor   time.Duration
}

// ListMembers reads the list of Instances from the store.
type ListMembers struct{}

// FetchState asks a peer for a state.
type FetchState struct {
	Kind StateKind
	From core.InstanceID
	Addr string
}

// RoutingInForce says that a configuration is in force.
type RoutingInForce struct{ Routing *config.Routing }

// UpstreamsInForce tells which Upstreams are in use.
type UpstreamsInForce struct {
	Revision  uint64
	Upstreams []catalog.Upstream
}

// Leaving says that a graceful shutdown has begun: the Instance is not ready any
// more, and asks callers to close their connections.
type Leaving struct{}

func (TakeHold) effect()         {}
func (DropHold) effect()         {}
func (DropKV) effect()           {}
func (Deliver) effect()          {}
func (CallerAddresses) effect()  {}
func (ListMembers) effect()      {}
func (FetchState) effect()       {}
func (RoutingInForce) effect()   {}
func (UpstreamsInForce) effect() {}
func (Leaving) effect()          {}

// HostedOutcome is what the metrics of a hosted Instance count.
type HostedOutcome struct {
	// Failure is the kind of a failed call to an Upstream. The request may go on:
	// the other fields are not set then.
	Failure attempts.FailureKind
	// Resent says that the request was sent to another Upstream.
	Resent bool
	// Plain says that the answer is that of a plain service.
	Plain bool
	// Took is the time from the arrival to the end of the answer.
	Took time.Duration
	// LongestPause is the longest pause of a stream.
	LongestPause time.Duration
	// Target is the time to the answer, or to the first event of a stream, and
	// PauseTarget bounds the pauses of a stream. 0 means that there is none.
	Target      time.Duration
	PauseTarget time.Duration
	// Status is the HTTP status of the answer.
	Status int
}
