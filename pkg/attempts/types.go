package attempts

import (
	"time"

	"github.com/rhubarbsill/rhubarbsill/pkg/core"
)

// Request holds the properties of a request that Attempts needs.
type Request struct {
	ID          core.RequestID
	Fingerprint core.Fingerprint
	// Idempotent requests may be retried after a byte was sent.
	Idempotent bool
	Deadline   core.Instant
	// MaxOutputTokens is the maximum number of output tokens, 0 for a plain
	// request.
	MaxOutputTokens int
}

// Placement names the Upstreams of one attempt: Prefill and Decode, or Replica.
type Placement struct {
	Prefill core.UpstreamID
	Decode  core.UpstreamID
	Replica core.UpstreamID
	// StartPrefillAt is the time at which the prefill is sent.
	StartPrefillAt core.Instant
	// SlotFreeAt is the expected time at which the decode slot is free.
	SlotFreeAt core.Instant
}

// FailureKind classifies the failure of an attempt.
type FailureKind string

const (
	// FailConnect means that no connection could be opened.
	FailConnect FailureKind = "connect"
	// FailFull means that the Upstream had no free slot or memory for the attempt.
	FailFull FailureKind = "full"
	// FailCrashed means that the Upstream crashed while the attempt ran.
	FailCrashed FailureKind = "crashed"
	// FailStalled means that the attempt made no progress within its timeout.
	FailStalled FailureKind = "stalled"
	// FailKVGone means that the prefill engine no longer held the KV cache.
	FailKVGone FailureKind = "kv_gone"
	// FailExpired means that a start was not carried out before NotAfter.
	FailExpired FailureKind = "expired"
	// FailProtocolError means that the Upstream rejected the request itself.
	FailProtocolError FailureKind = "status"
	// FailUnread means that the Upstream ended an answer that this Instance had left unread because
	// the caller read slowly or memory was short. It does not count against the Upstream.
	FailUnread FailureKind = "unread"
)

// Failure describes why an attempt ended without a complete response.
type Failure struct {
	Kind FailureKind
	// Upstream is the Upstream that failed.
	Upstream core.UpstreamID
	// MaybeSent is true if a byte of the attempt may have reached an Upstream.
	MaybeSent bool
	// ConfirmedNotRun is true if the Upstream has stated that it did not run the
	// attempt.
	ConfirmedNotRun bool
	// Generation is the generation of a crashed Upstream, 0 when it isn't certain.
	Generation uint64
}

// AttemptReport is the list of attempts that an engine reports.
type AttemptReport struct {
	// ObservedAt is the local time at which the list was valid.
	ObservedAt core.Instant
	Attempts   []core.AttemptID
	// HoldsLedger is true if this Instance holds the ledger of the engine. It then
	// also cancels the attempts of dead Instances and queries live owners.
	HoldsLedger bool
}

// Output is an effect that the caller of Attempts must carry out.
type Output interface{ output() }

// StartPrefill sends the prefill of an attempt at StartAt, unless NotAfter has
// passed.
type StartPrefill struct {
	Attempt  core.AttemptID
	Request  core.RequestID
	Upstream core.UpstreamID
	StartAt  core.Instant
	NotAfter core.Instant
	// TokensSent is the number of tokens of the response that the caller already
	// has.
	TokensSent int
}

// StartDecode lets the decode engine import the KV cache and stream the response,
// at StartAt and unless NotAfter has passed.
type StartDecode struct {
	Attempt    core.AttemptID
	Request    core.RequestID
	Prefill    core.UpstreamID
	Decode     core.UpstreamID
	StartAt    core.Instant
	NotAfter   core.Instant
	TokensSent int
}

// StartCall sends a plain request, unless NotAfter has passed.
type StartCall struct {
	Attempt  core.AttemptID
	Request  core.RequestID
	Upstream core.UpstreamID
	NotAfter core.Instant
}

// Cancel releases the memory and the slot that an Upstream holds for an attempt.
type Cancel struct {
	Attempt  core.AttemptID
	Upstream core.UpstreamID
}

// Reschedule requests another placement of a request. Start or OnPlacementRefused
// is the reply.
type Reschedule struct {
	Request        core.RequestID
	AvoidUpstreams []core.UpstreamID
	TokensSent     int
}

// RequestCompleted reports that the complete response of a request has arrived.
type RequestCompleted struct {
	Request core.RequestID
	Tokens  int
}

// RequestFailed ends a request without a complete response.
type RequestFailed struct {
	Request core.RequestID
	Refusal *core.Refusal
}

// SendSuspectNotice sends a notice about suspect fingerprints to a peer.
type SendSuspectNotice struct {
	To     core.InstanceID
	Notice SuspectNotice
}

// PollAttempts requests a current attempt report of an Upstream, because a cancel
// there isn't confirmed yet.
type PollAttempts struct {
	Upstream core.UpstreamID
}

// SendOwnerQuery asks a peer to cancel those of its attempts that no longer have a
// live request.
type SendOwnerQuery struct {
	To       core.InstanceID
	Upstream core.UpstreamID
	Attempts []core.AttemptID
}

func (StartPrefill) output()      {}
func (StartDecode) output()       {}
func (StartCall) output()         {}
func (Cancel) output()            {}
func (Reschedule) output()        {}
func (RequestCompleted) output()  {}
func (RequestFailed) output()     {}
func (SendSuspectNotice) output() {}
func (PollAttempts) output()      {}
func (SendOwnerQuery) output()    {}

// NoticeKind is the kind of a SuspectNotice.
type NoticeKind string

const (
	// NoticeLosses reports losses. With a round it requests a NoticeRoundAck, and
	// Attempt is the last attempt that the arbiter has permitted.
	NoticeLosses NoticeKind = "mark"
	// NoticeRoundAck confirms that the sender knows the losses of the round and
	// runs no attempt of the fingerprint.
	NoticeRoundAck NoticeKind = "clean"
	// NoticePermitRequest requests the permission of the arbiter to run Attempt.
	NoticePermitRequest NoticeKind = "ask"
	// NoticeAllow permits Attempt.
	NoticeAllow NoticeKind = "allow"
	// NoticeDeny refuses Attempt permanently.
	NoticeDeny NoticeKind = "deny"
	// NoticeClear clears the losses, because the request has completed.
	NoticeClear NoticeKind = "clear"
	// NoticeSyncRequest requests all records. A new incarnation of an Instance
	// sends it.
	NoticeSyncRequest NoticeKind = "hello"
	// NoticeRecords is the reply to a NoticeSyncRequest.
	NoticeRecords NoticeKind = "records"
)

// Loss is the crash of one Upstream while an attempt of a fingerprint ran on it.
type Loss struct {
	Attempt  core.AttemptID  `json:"attempt"`
	Upstream core.UpstreamID `json:"upstream"`
	// Generation is the generation of the Upstream, 0 when it isn't certain.
	Generation uint64 `json:"generation,omitempty"`
	// Blame is the share of this fingerprint in the crash: one over the number of
	// requests that ran on the Upstream.
	Blame float64 `json:"blame"`
}

// Record holds the losses of one fingerprint.
type Record struct {
	Fingerprint core.Fingerprint `json:"fingerprint"`
	Losses      []Loss           `json:"losses"`
}

// SuspectNotice is a message between Instances about suspect fingerprints.
type SuspectNotice struct {
	Kind NoticeKind `json:"kind"`
	Record
	Attempt core.AttemptID `json:"attempt,omitzero"`
	Round   uint64         `json:"round,omitempty"`
	Records []Record       `json:"records,omitempty"` // only in NoticeRecords
}

// Stats counts dropped events.
type Stats struct {
	// LateEvents counts events of attempts that are no longer live.
	LateEvents uint64
	// DuplicateEvents counts events that repeat or precede a known state.
	DuplicateEvents uint64
}

// Params holds the settings of Attempts. Zero fields select the default.
type Params struct {
	// PrefillTimeout bounds the time from the start of a prefill to its end.
	PrefillTimeout time.Duration
	// TransferTimeout bounds the time from the end of a prefill to the first token.
	TransferTimeout time.Duration
	// ProgressTimeout bounds the time between two progress events of a decode.
	ProgressTimeout time.Duration
	// RetryRatio is the number of retries that each request adds to the retry
	// budget.
	RetryRatio float64
	// RetryBurst bounds the retry budget.
	RetryBurst float64
	// MaxAttempts bounds the attempts of one request.
	MaxAttempts int
	// MinRetryTime is the minimum time before the deadline that a retry needs.
	MinRetryTime time.Duration
	// MaxStartDelay bounds the delay of a start; NotAfter follows from it.
	MaxStartDelay time.Duration
	// AbsenceTimeout is the time after which an Instance that is missing from the
	// members is considered dead.
	AbsenceTimeout time.Duration
	// OwnerQueryInterval is the interval between owner queries about one running
	// attempt.
	OwnerQueryInterval time.Duration
	// PermitTimeout bounds the wait of a suspect request for the arbiter's
	// permission.
	PermitTimeout time.Duration
	// SyncTimeout bounds the wait of a new incarnation for the records of its
	// peers.
	SyncTimeout time.Duration
	// SuspectTTL is the time after which the losses of a fingerprint expire.
	SuspectTTL time.Duration
	// MaxSuspects bounds the number of records of suspect fingerprints. Those with
	// the least blame are evicted first.
	MaxSuspects int
}

func (p Params) withDefaults() Params {
	setDefault(&p.PrefillTimeout, 3*time.Second)
	setDefault(&p.TransferTimeout, 2*time.Second)
	setDefault(&p.ProgressTimeout, 2*time.Second)
	setDefault(&p.RetryRatio, 0.1)
	setDefault(&p.RetryBurst, 10)
	setDefault(&p.MaxAttempts, 5)
	setDefault(&p.MinRetryTime, 50*time.Millisecond)
	setDefault(&p.MaxStartDelay, 500*time.Millisecond)
	setDefault(&p.AbsenceTimeout, 3*time.Second)
	setDefault(&p.OwnerQueryInterval, 10*time.Second)
	setDefault(&p.PermitTimeout, 5*time.Second)
	setDefault(&p.SyncTimeout, time.Second)
	setDefault(&p.SuspectTTL, 24*time.Hour)
	setDefault(&p.MaxSuspects, 4096)
	return p
}

func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}
