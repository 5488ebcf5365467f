package router

import (
	"time"

	"github.com/rhubarbsill/rhubarbsill/pkg/claims"
	"github.com/rhubarbsill/rhubarbsill/pkg/config"
	"github.com/rhubarbsill/rhubarbsill/pkg/core"
	"github.com/rhubarbsill/rhubarbsill/pkg/membership"
	"github.com/rhubarbsill/rhubarbsill/pkg/timeline"
)

// Effect is an output of the router: something the daemon has to do.
type Effect interface{ effect() }

// Refuse ends a request without a whole answer.
type Refuse struct {
	Request core.RequestID
	Refusal *core.Refusal
}

// Replay answers a resent request with the recorded outcome of the first one.
type Replay struct {
	Request core.RequestID
	Outcome claims.Outcome
}

// RequestAbandoned says that nothing is left to do for a request whose caller has gone.
type RequestAbandoned struct{ Request core.RequestID }

// Complete says that the whole answer of a request was relayed.
type Complete struct{ Request core.RequestID }

// StartPrefill sends a prefill at the instant At. It covers the prompt and the
// tokens that the caller already has; the daemon alone knows exactly how many.
type StartPrefill struct {
	Request  core.RequestID
	Attempt  core.AttemptID
	Upstream core.UpstreamID
	URL      string
	At       core.Instant
	NotAfter core.Instant
	// Deadline is when the Upstream is to give up, 0 for no other than its own.
	Deadline core.Instant
	Priority int
	// Account is set at a hosted Instance, which names it to the Upstream.
	Account core.AccountID
	// ResponseTimeout is the time after which the engine counts as silent.
	ResponseTimeout time.Duration
}

// StartDecode lets a decode engine import the KV cache at the instant At and
// streams its answer.
type StartDecode struct {
	Request   core.RequestID
	Attempt   core.AttemptID
	Upstream  core.UpstreamID
	URL       string
	SourceURL string
	KV        string
	At        core.Instant
	NotAfter  core.Instant
	// Hold names the place that the engine holds, empty for none.
	Hold string
	// Deadline is when the Upstream is to give up, 0 to leave it to the NotAfter
	// of the effects.
	Deadline core.Instant
	// MaxOutputTokens bounds the tokens of the whole answer, those of earlier attempts
	// included.
	MaxOutputTokens int
	Priority        int
	// Account is set at a hosted Instance, which names it to the Upstream.
	Account core.AccountID
	// Resumable says that the stream may go on at another Upstream.
	Resumable bool
	// EventTimeout is the time between two events, and to the first one, after which
	// the engine counts as silent.
	EventTimeout time.Duration
}

// StartCall sends a call to a plain service.
type StartCall struct {
	Request  core.RequestID
	Attempt  core.AttemptID
	Upstream core.UpstreamID
	URL      string
	NotAfter core.Instant
	// Deadline is when the Upstream is to give up, 0 for no other than its own.
	Deadline core.Instant
	Priority int
	// Account is set at a hosted Instance, which names it to the Upstream.
	Account core.AccountID
	// Idempotent says that the request may run again if it fails.
	Idempotent bool
	// ResponseTimeout is the time after which the Upstream counts as silent, 0 to
	// wait until the Deadline.
	ResponseTimeout time.Duration
}

// StartResume continues to read an attempt that another reader has left.
type StartResume struct {
	Request core.RequestID
	// Attempt is the attempt as this Instance knows it, EngineAttempt the one
	// that the engine runs.
	Attempt       core.AttemptID
	EngineAttempt core.AttemptID
	Upstream      core.UpstreamID
	URL           string
	Offset        int
	NotAfter      core.Instant
}

// Cancel frees what an Upstream holds for an attempt, and ends its stream.
type Cancel struct {
	Request  core.RequestID // empty when the attempt is not of this Instance
	Attempt  core.AttemptID
	Upstream core.UpstreamID
	// URL is empty when closing the connection is all that can be done.
	URL string
}

// Addresses answers an AddressesRequested event.
type Addresses struct {
	QueryID   uint64
	Addresses membership.Addresses
	Refusal   *core.Refusal
}

// OpKind says for which module a store call is made.
type OpKind string

// The kinds of store calls.
const (
	OpRoot   OpKind = "root"
	OpPiece  OpKind = "piece"
	OpRoster OpKind = "roster"
	OpClaims OpKind = "claims"
	OpStatus OpKind = "status"
	OpOrders OpKind = "orders"
)

// StoreOp names a store call. The daemon returns it in StoreReplied.
type StoreOp struct {
	Kind  OpKind
	Write bool
	Shard int
	Hash  config.Hash
	// Service is set for OpOrders.
	Service core.ServiceName
}

// StoreGet reads an object.
type StoreGet struct {
	Op   StoreOp
	Name string
}

// StorePut writes an object if its version is still Base, 0 to create it.
type StorePut struct {
	Op       StoreOp
	Name     string
	Base     uint64
	Value    []byte
	NotAfter core.Instant
}

// FetchPiece asks a peer for a piece of the configuration.
type FetchPiece struct {
	Hash config.Hash
	From core.InstanceRef
	Addr string
}

// FetchRoot asks a peer for the root of the highest version that it has seen.
type FetchRoot struct {
	From core.InstanceRef
	Addr string
}

// ListInstances reads the platform's list.
type ListInstances struct{}

// PollLoad reads the load report and the cache events of an Upstream.
type PollLoad struct {
	Upstream core.UpstreamID
	URL      string
	// IncludeCacheEvents asks for the cache events from CacheAfter on, too.
	IncludeCacheEvents bool
	CacheAfter         uint64
}

// SendPeerMessage sends a message to another Instance.
type SendPeerMessage struct {
	To       core.InstanceID
	Addr     string
	Message  Message
	NotAfter core.Instant
}

// ConfigActivated says that a configuration version is in force on this Instance.
type ConfigActivated struct{ Snapshot *config.Snapshot }

// StopServing says that this Instance refuses all requests until the roster
// names its incarnation again.
type StopServing struct{ Reason string }

// Drained says that a graceful shutdown may close the listeners: no caller has
// an address answer that still names this Instance, and no request runs.
type Drained struct{}

// Record adds an event to the timeline.
type Record struct{ Event timeline.Event }

// Observe counts a finished request for the metrics.
type Observe struct{ Observation Observation }

// Observation is what the metrics need to know about a finished request.
type Observation struct {
	Account core.AccountID
	Service core.ServiceName
	// Code is empty when the whole answer was relayed.
	Code core.Code
	// CallerDisconnected says that the caller left before the answer was whole.
	CallerDisconnected bool
	// WithinRate says that a refused request was inside its account's rate.
	WithinRate bool
	// FirstToken and BetweenTokens are set for a whole answer of a model.
	FirstToken    time.Duration
	BetweenTokens time.Duration
	Targets       config.Targets
	OutputTokens  int
	// Hosted is set for a request of a hosted Instance.
	Hosted *HostedOutcome
	// WastedPrefillTokens counts prompt tokens whose prefill led to no answer.
	WastedPrefillTokens int
}

func (Refuse) effect()           {}
func (Replay) effect()           {}
func (Complete) effect()         {}
func (StartPrefill) effect()     {}
func (StartDecode) effect()      {}
func (StartCall) effect()        {}
func (StartResume) effect()      {}
func (Cancel) effect()           {}
func (Addresses) effect()        {}
func (StoreGet) effect()         {}
func (StorePut) effect()         {}
func (FetchPiece) effect()       {}
func (FetchRoot) effect()        {}
func (RequestAbandoned) effect() {}
func (ListInstances) effect()    {}
func (PollLoad) effect()         {}
func (SendPeerMessage) effect()  {}
func (ConfigActivated) effect()  {}
func (StopServing) effect()      {}
func (Drained) effect()          {}
func (Record) effect()           {}
func (Observe) effect()          {}
