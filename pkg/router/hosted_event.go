package router

import (
	"time"

	"github.com/rhubarbsill/rhubarbsill/pkg/attempts"
	"github.com/rhubarbsill/rhubarbsill/pkg/catalog"
	"github.com/rhubarbsill/rhubarbsill/pkg/config"
	"github.com/rhubarbsill/rhubarbsill/pkg/core"
	"github.com/rhubarbsill/rhubarbsill/pkg/fleet"
)

// HoldOutcome is the answer of an engine to an AcquireHold.
type HoldOutcome string

// The outcomes of an AcquireHold.
const (
	HoldGranted HoldOutcome = "granted"
	HoldFull    HoldOutcome = "full"
	// HoldUnreachable means that the engine did not answer.
	HoldUnreachable HoldOutcome = "unreachable"
	// HoldAddressReassigned means that another Upstream has the address now.
	HoldAddressReassigned HoldOutcome = "elsewhere"
)

// HoldResult is the end of an AcquireHold.
type HoldResult struct {
	Request  core.RequestID
	Attempt  core.AttemptID
	Upstream core.UpstreamID
	Addr     string
	Outcome  HoldOutcome
	// Hold names the place when it was granted.
	Hold string
}

// RoutingReceived is a configuration of the store, or of the peer From.
type RoutingReceived struct {
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

// StoreCallFailed says that the store failed a call.
type StoreCallFailed struct{}

// MembersListed is the list of Instances in the store.
type MembersListed struct{ Members []fleet.Member }

// StateKind names a state that Instances fetch from each other.
type StateKind string

// The kinds of state.
const (
	StateConfig    StateKind = "config"
	StateUpstreams StateKind = "upstreams"
)

// StateFetchEnded ends a FetchState. What was fetched comes as an event of its own.
type StateFetchEnded struct{ Kind StateKind }

// CallerAddressesRequested asks which Instances a caller should use.
type CallerAddressesRequested struct {
	// QueryID is returned in the CallerAddresses effect.
	QueryID    uint64
	Region     core.RegionName
	DataCentre core.DataCentreName
	// Limit is the largest number of addresses.
	Limit int
}

func (HoldResult) event()               {}
func (RoutingReceived) event()          {}
func (UpstreamsListed) event()          {}
func (UpstreamsChanged) event()         {}
func (StoreCallFailed) event()          {}
func (MembersListed) event()            {}
func (StateFetchEnded) event()          {}
func (CallerAddressesRequested) event() {}

// AcquireHold asks an engine for a place.
type AcquireHold struct {
	Request  core.RequestID
	Attempt  core.AttemptID
	Upstream core.UpstreamID
	Addr     string
	Tokens   int
	Term     time.Duration
}

// ReleaseHold frees a place that was not used.
type ReleaseHold struct {
	Upstream core.UpstreamID
	Addr     string
	Hold     string
}

// ReleaseKV frees a KV cache that was not fetched.
type ReleaseKV struct {
	Upstream core.UpstreamID
	Addr     string
	KV       string
}

// RelayFailure passes on the failure that an Upstream answered, because the request
// can't be sent to another.
type RelayFailure struct{ Request core.RequestID }

// CallerAddresses answers a CallerAddressesRequested event.
type CallerAddresses struct {
	QueryID   uint64
	Addresses []string
	TTL       time.Duration
}

// ListMembers reads the list of Instances from the store.
type ListMembers struct{}

// FetchState asks a peer for a state.
type FetchState struct {
	Kind StateKind
	From core.InstanceID
	Addr string
}

// RoutingActivated says that a configuration is in force.
type RoutingActivated struct{ Routing *config.Routing }

// UpstreamsUpdated tells which Upstreams are in use.
type UpstreamsUpdated struct {
	Revision  uint64
	Upstreams []catalog.Upstream
}

// ShutdownStarted says that a graceful shutdown has begun: the Instance is not ready any
// more, and asks callers to close their connections.
type ShutdownStarted struct{}

func (AcquireHold) effect()      {}
func (ReleaseHold) effect()      {}
func (ReleaseKV) effect()        {}
func (RelayFailure) effect()     {}
func (CallerAddresses) effect()  {}
func (ListMembers) effect()      {}
func (FetchState) effect()       {}
func (RoutingActivated) effect() {}
func (UpstreamsUpdated) effect() {}
func (ShutdownStarted) effect()  {}

// HostedOutcome is what the metrics of a hosted Instance count.
type HostedOutcome struct {
	// Failure is the kind of a failed call to an Upstream. The request may go on:
	// the other fields are not set then.
	Failure attempts.FailureKind
	// Retried says that the request was sent to another Upstream.
	Retried bool
	// Plain says that the answer is that of a plain service.
	Plain bool
	// Duration is the time from the arrival to the end of the answer.
	Duration time.Duration
	// LongestPause is the longest pause of a stream.
	LongestPause time.Duration
	// Target is the time to the answer, or to the first event of a stream, and
	// PauseTarget bounds the pauses of a stream. 0 means that there is none.
	Target      time.Duration
	PauseTarget time.Duration
	// Status is the HTTP status of the answer.
	Status int
}
