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
)

// Event is an input of the router.
type Event interface{ event() }

// Tick says that the instant named by NextWake has come.
type Tick struct{}

// Request is what a caller asked for, without its body. The daemon keeps the
// body until the request is finished.
type Request struct {
	ID core.RequestID
	// Model is set for a completion, Method and Path for a plain call.
	Model  core.ModelName
	Method string
	Path   string
	// Credential is nil when the caller sent no key.
	Credential *keys.Credential
	// PromptTokens is the estimated number of tokens of the prompt.
	PromptTokens int
	// MaxOutputTokens is the largest number of tokens that the answer may have.
	MaxOutputTokens int
	// Prefix holds the chained hash of each block of the prompt, first block
	// first.
	Prefix      []uint64
	Fingerprint core.Fingerprint
	BodyDigest  [32]byte
	// IdempotencyKey is empty when the caller sent none.
	IdempotencyKey string
	Deadline       core.Instant
	// WallTime is the wall clock at arrival, for the age of idempotency keys.
	WallTime time.Time
	// Resume is set when the caller continues an answer that broke off.
	Resume *ResumePosition

	// The following are set at a hosted Instance, where Host and Path select the
	// route.
	Host string
	// Key is the digest of the caller's key, nil without one.
	Key *config.KeyDigest
	// HasTokenCounts says that PromptTokens and MaxOutputTokens are the caller's.
	HasTokenCounts bool
	// ExpectedOutput is the caller's estimate of the output tokens, 0 for none.
	ExpectedOutput int
}

// ResumePosition is the position of an answer that broke off, as read from a sealed
// SSE id that the caller presented.
type ResumePosition struct {
	Account  core.AccountID
	Request  core.RequestID
	Attempt  core.AttemptID
	Upstream core.UpstreamID
	Offset   int
}

func (r *Request) plain() bool { return r.Model == "" }

// RequestArrived is a request that the daemon has read whole.
type RequestArrived struct{ Request Request }

// CallerDisconnected says that the caller of a request has closed its connection or has
// been silent for too long.
type CallerDisconnected struct{ Request core.RequestID }

// AddressesRequested asks which entry addresses a caller should use.
type AddressesRequested struct {
	// QueryID is returned in the Addresses effect.
	QueryID    uint64
	Credential *keys.Credential
}

// AttemptSent says that the first byte of an attempt may have reached its
// Upstream.
type AttemptSent struct{ Attempt core.AttemptID }

// PrefillDone says that a prefill has ended well.
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
	// Bytes is the size of the KV cache that the engine states, 0 for unknown.
	Bytes int64
	// Duration is the time from the request to the reply, 0 for unknown.
	Duration time.Duration
}

// FirstToken says that the first token of an answer was relayed.
type FirstToken struct {
	Attempt core.AttemptID
	// Request is set at a hosted Instance.
	Request core.RequestID
}

// Progress gives the number of tokens relayed so far.
type Progress struct {
	Attempt core.AttemptID
	Tokens  int
}

// ResponseCompleted says that an answer was relayed whole.
type ResponseCompleted struct {
	Attempt core.AttemptID
	// Request is set at a hosted Instance.
	Request core.RequestID
	// Tokens counts all output tokens that the caller has.
	Tokens int
	// BetweenTokens is the 95th percentile of the time between two tokens.
	BetweenTokens time.Duration
	// Status is the HTTP status of a plain call.
	Status int
	// LongestPause is the longest time between two parts of a stream, 0 for an answer
	// that isn't one.
	LongestPause time.Duration
}

// AttemptFailed says that an attempt ended without a whole answer.
type AttemptFailed struct {
	Attempt core.AttemptID
	// Request is set at a hosted Instance.
	Request core.RequestID
	Failure attempts.Failure
}

// CancelConfirmed says that an Upstream no longer runs an attempt.
type CancelConfirmed struct {
	Attempt  core.AttemptID
	Upstream core.UpstreamID
}

// LoadReported is the load of an Upstream, with the attempts that hold memory.
type LoadReported struct {
	Upstream core.UpstreamID
	Report   placement.LoadReport
	// Serves is nil when the Upstream does not tell what it serves.
	Serves *orders.Report
}

// LoadPollFailed says that an Upstream did not answer a poll of its load.
type LoadPollFailed struct{ Upstream core.UpstreamID }

// CacheReported holds the prefix cache events of an Upstream.
type CacheReported struct {
	Upstream core.UpstreamID
	Events   []placement.CacheEvents
	// Next is the sequence number from which to ask again.
	Next uint64
}

// InstancesListed is the platform's list of Instances.
type InstancesListed struct{ List []membership.ListEntry }

// RootReceived is the configuration root that a peer has answered.
type RootReceived struct {
	From core.InstanceRef
	Root config.Root
	// Age is an upper bound of the time since the store held the root.
	Age time.Duration
}

// RootFetchFailed says that a peer did not answer with its root.
type RootFetchFailed struct{ From core.InstanceRef }

// PieceReceived is a piece of the configuration.
type PieceReceived struct {
	Hash config.Hash
	Body []byte
}

// PieceFetchFailed says that a peer did not answer with a piece.
type PieceFetchFailed struct {
	From core.InstanceRef
	Hash config.Hash
}

// StoreFailure is how a call of the object store failed.
type StoreFailure string

// The kinds of failure of a store call.
const (
	StoreNotFound    StoreFailure = "not_found"
	StoreConflict    StoreFailure = "conflict"
	StoreUnavailable StoreFailure = "unavailable"
	// StoreOutcomeUnknown means that a write may have taken effect.
	StoreOutcomeUnknown StoreFailure = "unknown"
)

// StoreReplied is the answer of the object store to a StoreGet or StorePut.
type StoreReplied struct {
	Op          StoreOp
	RequestedAt core.Instant
	// Failure is empty when the call succeeded.
	Failure StoreFailure
	Version uint64
	Value   []byte
}

// PeerMessageReceived is a message of another Instance.
type PeerMessageReceived struct {
	From    core.InstanceRef
	Message Message
}

// EffectExpired says that an effect was not carried out because its NotAfter
// had passed.
type EffectExpired struct{ Effect Effect }

// ProcessPaused says that the process did not run for longer than the shortest lease
// term. Incarnation is the number under which it goes on.
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
