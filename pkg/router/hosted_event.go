package router

import (
	"fmt"
	"time"

	"github.com/rhubarbsill/rhubarbsill/pkg/announce"
	"github.com/rhubarbsill/rhubarbsill/pkg/attempts"
	"github.com/rhubarbsill/rhubarbsill/pkg/catalog"
	"github.com/rhubarbsill/rhubarbsill/pkg/config"
	"github.com/rhubarbsill/rhubarbsill/pkg/core"
	"github.com/rhubarbsill/rhubarbsill/pkg/fleet"
)

// HoldOutcome is the outcome of an AcquireHold.
type HoldOutcome string

// The outcomes of an AcquireHold.
const (
	HoldGranted HoldOutcome = "granted"
	HoldFull    HoldOutcome = "full"
	// HoldUnreachable means that the engine did not respond.
	HoldUnreachable HoldOutcome = "unreachable"
	// HoldAddressReassigned means that another Upstream now has the address.
	HoldAddressReassigned HoldOutcome = "elsewhere"
	// HoldLeaving means that the hold was given back, because the engine leaves.
	HoldLeaving HoldOutcome = "leaving"
	// HoldForeign means that the hold was given back, because the configuration excludes the
	// region of the engine by now.
	HoldForeign HoldOutcome = "foreign"
	// HoldExpired means that the result arrived after the end of the hold.
	HoldExpired HoldOutcome = "expired"
)

// HoldResult reports the outcome of an AcquireHold.
type HoldResult struct {
	Request  core.RequestID
	Attempt  core.AttemptID
	Upstream core.UpstreamID
	Addr     string
	Outcome  HoldOutcome
	// Hold is the ID of the hold at the engine if it was granted.
	Hold string
}

// UpstreamAnswered reports what an answer of an Upstream states about the Upstream.
type UpstreamAnswered struct {
	Source       announce.Source
	Announcement announce.Announcement
}

// AttemptStalled reports that an attempt has made no progress for its StallTimeout. The
// attempt goes on unless it is cancelled.
type AttemptStalled struct {
	Request core.RequestID
	Attempt core.AttemptID
}

// RoutingReceived is a configuration from the store or, if From is set, from a peer.
type RoutingReceived struct {
	Routing  *config.Routing
	Revision core.StoreRevision
	// Raw is the encoded configuration.
	Raw  []byte
	From core.InstanceID
	// ReadAt is the instant before the read of the store, 0 for a peer or a watch. At is the revision of
	// the store that was read then.
	ReadAt core.Instant
	At     core.StoreRevision
}

// UpstreamsListed is the complete list of registered Upstreams at a revision, from
// the store or, if From is set, from a peer.
type UpstreamsListed struct {
	Revision  core.StoreRevision
	Upstreams []catalog.Upstream
	From      core.InstanceID
	// ReadAt is the instant before the read of the store, 0 for a peer.
	ReadAt core.Instant
}

// UpstreamsChanged contains the changes of the list up to a revision, from a watch of the store.
type UpstreamsChanged struct {
	Revision core.StoreRevision
	// After is the revision after which the changes are complete.
	After   core.StoreRevision
	Changes []catalog.Change
}

// StoreCallFailed reports that a call of the store failed.
type StoreCallFailed struct{}

// MembersListed is the list of Instances in the store, or what a peer knows of it.
type MembersListed struct {
	Members []fleet.Member
	// Complete is set for the list in the store, which was read from ReadAt on, in an era of the store.
	// Marks holds what the entries state beside the descriptions.
	Complete bool
	ReadAt   core.Instant
	Era      uint64
	Marks    map[core.InstanceID]fleet.Mark
}

// StateKind is the kind of a state that Instances fetch from each other.
type StateKind string

// The kinds of state.
const (
	StateConfig    StateKind = "config"
	StateUpstreams StateKind = "upstreams"
)

// StateStamp identifies what an Instance has of a state.
type StateStamp struct {
	// Version is that of the configuration, 0 for other states. The operator writes the newest
	// version again if the store has lost it.
	Version  core.Version
	Revision core.StoreRevision
}

// Before reports whether a state is older than another of its kind: by its version, and by its
// revision if that is equal.
func (s StateStamp) Before(other StateStamp) bool {
	if s.Version != other.Version {
		return s.Version < other.Version
	}
	return s.Revision.Before(other.Revision)
}

// String returns the version, if there is one, and the revision.
func (s StateStamp) String() string {
	if s.Version == 0 {
		return s.Revision.String()
	}
	return fmt.Sprintf("%d@%s", s.Version, s.Revision)
}

// StateFetchEnded reports that a FetchState succeeded or failed. The fetched state is
// reported in a separate event.
type StateFetchEnded struct {
	Kind StateKind
	From core.InstanceID
}

// CallerAddressesRequested is a query for the Instances that a caller should use.
type CallerAddressesRequested struct {
	// QueryID is returned in the CallerAddresses effect.
	QueryID    uint64
	Host       string
	Region     core.RegionName
	DataCentre core.DataCentreName
	// Limit is the largest number of addresses in the response.
	Limit int
}

func (HoldResult) event()               {}
func (UpstreamAnswered) event()         {}
func (AttemptStalled) event()           {}
func (RoutingReceived) event()          {}
func (UpstreamsListed) event()          {}
func (UpstreamsChanged) event()         {}
func (StoreCallFailed) event()          {}
func (MembersListed) event()            {}
func (StateFetchEnded) event()          {}
func (CallerAddressesRequested) event() {}

// AcquireHold requests memory for Tokens and a slot at an engine, for the time Term.
type AcquireHold struct {
	Request  core.RequestID
	Attempt  core.AttemptID
	Upstream core.UpstreamID
	Addr     string
	Tokens   int
	Term     time.Duration
}

// ReleaseHold releases a hold that was not used.
type ReleaseHold struct {
	Upstream core.UpstreamID
	Addr     string
	Hold     string
}

// ReleaseKV releases a KV cache that was not fetched.
type ReleaseKV struct {
	Upstream core.UpstreamID
	Addr     string
	KV       string
}

// RelayFailure relays the error response of an Upstream, because the request can't be
// retried.
type RelayFailure struct{ Request core.RequestID }

// CallerAddresses is the response to a CallerAddressesRequested event.
type CallerAddresses struct {
	QueryID   uint64
	Addresses []string
	TTL       time.Duration
}

// ListMembers reads the list of Instances from the store.
type ListMembers struct{}

// RegisterMember writes the entry of this Instance to the store, which does not have it or does not say
// that the Instance has its share. Joined is set if it has.
type RegisterMember struct{ Joined bool }

// FetchState fetches a state from a peer.
type FetchState struct {
	Kind StateKind
	From core.InstanceID
	Addr string
}

// RoutingActivated contains the active configuration, for requests and for peers. It reports a new
// one, or a later revision of the same.
type RoutingActivated struct {
	Routing  *config.Routing
	Revision core.StoreRevision
	Raw      []byte
}

// RefreshState requests a new read of the configuration and of the Upstreams.
type RefreshState struct{}

// StoreEraBegan reports that the store has come back from an older copy. What was read of an
// earlier era has to be read again.
type StoreEraBegan struct{ Era uint64 }

// UpstreamsUpdated contains the Upstreams that the store lists at a revision, for peers.
type UpstreamsUpdated struct {
	Revision  core.StoreRevision
	Upstreams []catalog.Upstream
	// At is the instant from which the cold times of the Upstreams count.
	At core.Instant
}

// ShutdownStarted reports that a graceful shutdown has begun: the Instance is no
// longer ready, and asks callers to close their connections.
type ShutdownStarted struct{}

func (AcquireHold) effect()      {}
func (ReleaseHold) effect()      {}
func (ReleaseKV) effect()        {}
func (RelayFailure) effect()     {}
func (CallerAddresses) effect()  {}
func (ListMembers) effect()      {}
func (RegisterMember) effect()   {}
func (FetchState) effect()       {}
func (RoutingActivated) effect() {}
func (UpstreamsUpdated) effect() {}
func (RefreshState) effect()     {}
func (StoreEraBegan) effect()    {}
func (ShutdownStarted) effect()  {}

// HostedOutcome is what the metrics of a hosted Instance count.
type HostedOutcome struct {
	// Failure is the kind of a failed attempt, after which the request may still be
	// retried. The other fields are not set then.
	Failure attempts.FailureKind
	// Announced is the kind of an announcement of an Upstream, which belongs to no request.
	Announced announce.EventKind
	// Retried is set when the request is retried at another Upstream.
	Retried bool
	// Plain is set for the response of a plain service.
	Plain bool
	// Duration is the time from the arrival to the end of the response.
	Duration time.Duration
	// LongestPause is the longest time between two events of a stream.
	LongestPause time.Duration
	// Target is the target for the time to the response, or to the first event of a
	// stream. PauseTarget is the target for LongestPause. 0 means no target.
	Target      time.Duration
	PauseTarget time.Duration
	// Status is the HTTP status of the response.
	Status int
}
