package router

import (
	"time"

	"github.com/rhubarbsill/rhubarbsill/pkg/claims"
	"github.com/rhubarbsill/rhubarbsill/pkg/config"
	"github.com/rhubarbsill/rhubarbsill/pkg/core"
	"github.com/rhubarbsill/rhubarbsill/pkg/membership"
	"github.com/rhubarbsill/rhubarbsill/pkg/timeline"
)

// Effect is an output of the Router that the daemon carries out.
type Effect interface{ effect() }

// Refuse ends a request without a complete response.
type Refuse struct {
	Request core.RequestID
	Refusal *core.Refusal
}

// Replay responds to a retry with the recorded outcome of the first request.
type Replay struct {
	Request core.RequestID
	Outcome claims.Outcome
}

// RequestAbandoned reports that a request whose caller has disconnected is
// finished.
type RequestAbandoned struct{ Request core.RequestID }

// Complete reports that the response of a request was relayed completely.
type Complete struct{ Request core.RequestID }

// StartPrefill sends a prefill request at the instant At. It covers the prompt
// and the output tokens that the caller already has; only the daemon knows their
// exact number.
type StartPrefill struct {
	Request  core.RequestID
	Attempt  core.AttemptID
	Upstream core.UpstreamID
	URL      string
	At       core.Instant
	NotAfter core.Instant
	// Deadline is the instant at which the Upstream must abort the request, 0 for the
	// Upstream's own limit.
	Deadline core.Instant
	Priority int
	// Account is set at a hosted Instance, which names it to the Upstream.
	Account core.AccountID
	// ResponseTimeout is the time within which the engine must respond.
	ResponseTimeout time.Duration
	// Urgency is the priority that a hosted Instance states to the engine, nil for none.
	Urgency *int
}

// StartDecode makes a decode engine import the KV cache at the instant At and
// relays the stream of its response.
type StartDecode struct {
	Request   core.RequestID
	Attempt   core.AttemptID
	Upstream  core.UpstreamID
	URL       string
	SourceURL string
	KV        string
	At        core.Instant
	NotAfter  core.Instant
	// Hold is the ID of the hold at the engine, empty for none.
	Hold string
	// Deadline is the instant at which the Upstream must abort the request, 0 if
	// only the NotAfter of the effects applies.
	Deadline core.Instant
	// MaxOutputTokens bounds the tokens of the complete response, those of
	// previous attempts included.
	MaxOutputTokens int
	Priority        int
	// Account is set at a hosted Instance, which names it to the Upstream.
	Account core.AccountID
	// Streaming is set when the answer may be a stream of events, which is passed on as it comes.
	Streaming bool
	// Resumable is set when the stream may be continued at another Upstream.
	Resumable bool
	// StallTimeout is the time without a complete event after which AttemptStalled is
	// reported, 0 for never.
	StallTimeout time.Duration
	// EventTimeout is the longest time to the first event and between two events.
	// An engine that exceeds it is treated as not responding. 0 means no limit.
	EventTimeout time.Duration
	// Urgency is the priority that a hosted Instance states to the engine, nil for none.
	Urgency *int
}

// StartCall sends a plain request to a replica of its service.
type StartCall struct {
	Request  core.RequestID
	Attempt  core.AttemptID
	Upstream core.UpstreamID
	URL      string
	NotAfter core.Instant
	// Deadline is the instant at which the Upstream must abort the request, 0 for the
	// Upstream's own limit.
	Deadline core.Instant
	Priority int
	// Account is set at a hosted Instance, which names it to the Upstream.
	Account core.AccountID
	// Idempotent is set when the request may be retried after a failure.
	Idempotent bool
	// StallTimeout is the time without a response after which AttemptStalled is reported, 0
	// for never.
	StallTimeout time.Duration
	// Streaming, Resumable and EventTimeout are as in StartDecode. They are set at a hosted
	// Instance.
	Streaming    bool
	Resumable    bool
	EventTimeout time.Duration
}

// StartResume continues to read the stream of an attempt that another Instance
// started.
type StartResume struct {
	Request core.RequestID
	// Attempt is the ID of the attempt at this Instance, EngineAttempt the ID
	// under which the engine runs it.
	Attempt       core.AttemptID
	EngineAttempt core.AttemptID
	Upstream      core.UpstreamID
	URL           string
	Offset        int
	NotAfter      core.Instant
}

// Cancel ends the stream of an attempt and releases what its Upstream holds for
// it.
type Cancel struct {
	Request  core.RequestID // empty when another Instance owns the attempt
	Attempt  core.AttemptID
	Upstream core.UpstreamID
	// URL is empty when the Upstream has no cancel endpoint, so that only the
	// connection can be closed.
	URL string
}

// Addresses is the response to an AddressesRequested event.
type Addresses struct {
	QueryID   uint64
	Addresses membership.Addresses
	Refusal   *core.Refusal
}

// OpKind is the kind of object that a store call reads or writes.
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

// StoreOp identifies a store call. The daemon returns it in StoreReplied.
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

// StorePut writes an object if its version is still Base. A Base of 0 creates it.
type StorePut struct {
	Op       StoreOp
	Name     string
	Base     uint64
	Value    []byte
	NotAfter core.Instant
}

// FetchPiece requests a piece of the configuration from a peer.
type FetchPiece struct {
	Hash config.Hash
	From core.InstanceRef
	Addr string
}

// FetchRoot requests the root of the highest version that a peer has seen.
type FetchRoot struct {
	From core.InstanceRef
	Addr string
}

// ListInstances reads the platform's list of Instances.
type ListInstances struct{}

// PollLoad reads the load report and the cache events of an Upstream.
type PollLoad struct {
	Upstream core.UpstreamID
	URL      string
	// IncludeCacheEvents also requests the cache events from the sequence number
	// CacheAfter on.
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

// ConfigActivated reports that a configuration version is active on this
// Instance.
type ConfigActivated struct{ Snapshot *config.Snapshot }

// StopServing reports that this Instance refuses all requests until the roster
// contains its incarnation again.
type StopServing struct{ Reason string }

// Drained reports that a graceful shutdown may close the listeners: no caller has
// an unexpired address response that contains this Instance, and no request is
// active.
type Drained struct{}

// Record adds an event to the timeline.
type Record struct{ Event timeline.Event }

// Observe counts a finished request for the metrics.
type Observe struct{ Observation Observation }

// Observation is what the metrics record about a finished request.
type Observation struct {
	Account core.AccountID
	Service core.ServiceName
	// Code is empty when the response was relayed completely.
	Code core.Code
	// CallerDisconnected is set when the caller disconnected before the response
	// was complete.
	CallerDisconnected bool
	// WithinRate is set when a refused request was within the rate of its
	// account.
	WithinRate bool
	// FirstToken and BetweenTokens are set for a complete response of a model.
	FirstToken    time.Duration
	BetweenTokens time.Duration
	Targets       config.Targets
	OutputTokens  int
	// Hosted is set for a request of a hosted Instance.
	Hosted *HostedOutcome
	// WastedPrefillTokens counts prompt tokens whose prefill did not lead to a
	// response.
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
