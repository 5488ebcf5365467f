package router

import (
	"time"

	"github.com/rhubarbsill/rhubarbsill/pkg/attempts"
	"github.com/rhubarbsill/rhubarbsill/pkg/config"
	"github.com/rhubarbsill/rhubarbsill/pkg/core"
	"github.com/rhubarbsill/rhubarbsill/pkg/keys"
	"github.com/rhubarbsill/rhubarbsill/pkg/membership"
	"github.com/rhubarbsill/rhubarbsill/pkg/orders"
	"github.com/rhubarbsill/rhubarbsill/pkg/placement"
	"github.com/rhubarbsill/rhubarbsill/pkg/promptcache"
)

// Event is an input of the Router.
type Event interface{ event() }

// Tick is the event for the instant that NextWake returned.
type Tick struct{}

// Request is the metadata of a caller's request. The daemon keeps the body until
// the request is finished.
type Request struct {
	ID core.RequestID
	// Model is set for a completion, Method and Path for a plain request.
	Model  core.ModelName
	Method string
	Path   string
	// Credential is nil when the caller sent no key.
	Credential *keys.Credential
	// PromptTokens is the estimated number of tokens of the prompt.
	PromptTokens int
	// MaxOutputTokens is the largest number of tokens that the response may have.
	MaxOutputTokens int
	// Prefix holds the chained hash of each block of the prompt, in the order of
	// the prompt.
	Prefix      []uint64
	Fingerprint core.Fingerprint
	BodyDigest  [32]byte
	// IdempotencyKey is empty when the caller sent none.
	IdempotencyKey string
	Deadline       core.Instant
	// WallTime is the wall clock at arrival, for the age of idempotency keys.
	WallTime time.Time
	// Resume is set when the caller continues an interrupted response.
	Resume *ResumePosition

	// The following fields are set at a hosted Instance, where Host and Path
	// select the route.
	Host string
	// Key is the digest of the caller's key, nil without one.
	Key *config.KeyDigest
	// HasTokenCounts is set when the caller stated PromptTokens and
	// MaxOutputTokens.
	HasTokenCounts bool
	// ExpectedOutput is the caller's estimate of the output tokens, 0 for none.
	ExpectedOutput int
	// SharedParts are the parts of the prompt that other requests may contain too.
	SharedParts []core.PromptPart
	// PromptParts are all parts of the prompt in order, as far as the caller states them.
	PromptParts []promptcache.Part
}

// ResumePosition is the position at which a response was interrupted, decoded
// from the sealed SSE event ID that the caller presented.
type ResumePosition struct {
	Account  core.AccountID
	Request  core.RequestID
	Attempt  core.AttemptID
	Upstream core.UpstreamID
	Offset   int
}

func (r *Request) plain() bool { return r.Model == "" }

// RequestArrived is a request that the daemon has read completely.
type RequestArrived struct{ Request Request }

// CallerDisconnected reports that the caller of a request has closed its
// connection or has timed out.
type CallerDisconnected struct{ Request core.RequestID }

// AddressesRequested is a caller's query for the entry addresses that it should
// use.
type AddressesRequested struct {
	// QueryID is returned in the Addresses effect.
	QueryID    uint64
	Credential *keys.Credential
}

// AttemptSent reports that the first byte of an attempt may have reached its
// Upstream.
type AttemptSent struct{ Attempt core.AttemptID }

// PrefillDone reports that a prefill has succeeded.
type PrefillDone struct {
	Attempt core.AttemptID
	// Request, Upstream and Addr are set at a hosted Instance.
	Request  core.RequestID
	Upstream core.UpstreamID
	Addr     string
	// KV names the exported KV cache at the prefill engine.
	KV string
	// CachedTokens is the part of the prompt that the prefix cache served.
	CachedTokens int
	// Bytes is the size of the KV cache as reported by the engine, 0 if unknown.
	Bytes int64
	// Duration is the time between the request and the reply, 0 if unknown.
	Duration time.Duration
}

// FirstToken reports that the first token of a response was relayed.
type FirstToken struct {
	Attempt core.AttemptID
	// Request is set at a hosted Instance.
	Request core.RequestID
}

// Progress reports the number of tokens relayed so far.
type Progress struct {
	Attempt core.AttemptID
	Tokens  int
}

// ResponseCompleted reports that a response was relayed completely.
type ResponseCompleted struct {
	Attempt core.AttemptID
	// Request is set at a hosted Instance.
	Request core.RequestID
	// Tokens counts all output tokens that the caller has received, those of
	// previous attempts included.
	Tokens int
	// BetweenTokens is the 95th percentile of the time between two tokens.
	BetweenTokens time.Duration
	// Status is the HTTP status of the response to a plain request.
	Status int
	// LongestPause is the longest time between two parts of a streamed response,
	// 0 for others.
	LongestPause time.Duration
	// UntilClose is set when only the end of the Upstream's connection marked the end of
	// the body.
	UntilClose bool
}

// AttemptFailed reports that an attempt ended without a complete response.
type AttemptFailed struct {
	Attempt core.AttemptID
	// Request is set at a hosted Instance.
	Request core.RequestID
	Failure attempts.Failure
}

// CancelConfirmed reports that an Upstream no longer runs an attempt.
type CancelConfirmed struct {
	Attempt  core.AttemptID
	Upstream core.UpstreamID
}

// LoadReported is a load report of an Upstream, with the attempts that hold
// memory there.
type LoadReported struct {
	Upstream core.UpstreamID
	Report   placement.LoadReport
	// Serves is nil when the Upstream does not report its served state.
	Serves *orders.Report
}

// LoadPollFailed reports that an Upstream did not respond to a load poll.
type LoadPollFailed struct{ Upstream core.UpstreamID }

// CacheReported contains the prefix cache events of an Upstream.
type CacheReported struct {
	Upstream core.UpstreamID
	Events   []placement.CacheEvents
	// Next is the sequence number from which to read next.
	Next uint64
}

// InstancesListed is the platform's list of Instances.
type InstancesListed struct{ List []membership.ListEntry }

// RootReceived is the configuration root in the reply of a peer.
type RootReceived struct {
	From core.InstanceRef
	Root config.Root
	// Age is an upper bound of the time since the store contained the root.
	Age time.Duration
}

// RootFetchFailed reports that a peer did not reply with its root.
type RootFetchFailed struct{ From core.InstanceRef }

// PieceReceived is a piece of the configuration.
type PieceReceived struct {
	Hash config.Hash
	Body []byte
}

// PieceFetchFailed reports that a peer did not reply with a piece.
type PieceFetchFailed struct {
	From core.InstanceRef
	Hash config.Hash
}

// StoreFailure is the kind of failure of an object store call.
type StoreFailure string

// The kinds of failure of a store call.
const (
	StoreNotFound    StoreFailure = "not_found"
	StoreConflict    StoreFailure = "conflict"
	StoreUnavailable StoreFailure = "unavailable"
	// StoreOutcomeUnknown means that a write may have taken effect.
	StoreOutcomeUnknown StoreFailure = "unknown"
)

// StoreReplied is the reply of the object store to a StoreGet or StorePut.
type StoreReplied struct {
	Op          StoreOp
	RequestedAt core.Instant
	// Failure is empty when the call succeeded.
	Failure StoreFailure
	Version uint64
	Value   []byte
}

// PeerMessageReceived is a message from another Instance.
type PeerMessageReceived struct {
	From    core.InstanceRef
	Message Message
}

// EffectExpired reports that an effect was not carried out because its NotAfter
// had passed.
type EffectExpired struct{ Effect Effect }

// ProcessPaused reports that the process was suspended for longer than the
// shortest lease term. It continues under Incarnation.
type ProcessPaused struct{ Incarnation core.Incarnation }

// ShutdownRequested begins a graceful shutdown.
type ShutdownRequested struct{}

func (Tick) event()                {}
func (RequestArrived) event()      {}
func (CallerDisconnected) event()  {}
func (AddressesRequested) event()  {}
func (AttemptSent) event()         {}
func (PrefillDone) event()         {}
func (FirstToken) event()          {}
func (Progress) event()            {}
func (ResponseCompleted) event()   {}
func (AttemptFailed) event()       {}
func (CancelConfirmed) event()     {}
func (LoadReported) event()        {}
func (LoadPollFailed) event()      {}
func (CacheReported) event()       {}
func (InstancesListed) event()     {}
func (RootReceived) event()        {}
func (PieceReceived) event()       {}
func (RootFetchFailed) event()     {}
func (PieceFetchFailed) event()    {}
func (StoreReplied) event()        {}
func (PeerMessageReceived) event() {}
func (EffectExpired) event()       {}
func (ProcessPaused) event()       {}
func (ShutdownRequested) event()   {}
