package attempts

import (
	"time"

	"github.com/rhubarbsill/rhubarbsill/pkg/core"
)

// Request is what attempts needs to know about a request.
type Request struct {
	ID          core.RequestID
	Fingerprint core.Fingerprint
	// Idempotent requests may be retried after a byte was sent.
	Idempotent bool
	Deadline   core.Instant
	// MaxOutput is the greatest number of output tokens, 0 for a plain call.
	MaxOutput int
}

// Plan names the Upstreams of one attempt: Prefill and Decode, or Plain.
type Plan struct {
	Prefill core.UpstreamID
	Decode  core.UpstreamID
	Plain   core.UpstreamID
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
	// FailFull means that the Upstream had no room for the attempt.
	FailFull FailureKind = "full"
	// FailCrashed means that the Upstream was lost while the attempt ran.
	FailCrashed FailureKind = "crashed"
	// FailStalled means that the attempt made no progress in time.
	FailStalled FailureKind = "stalled"
	// FailKVGone means that the prefill engine no longer held the KV cache.
	FailKVGone FailureKind = "kv_gone"
	// FailExpired means that the effect was not carried out before NotAfter.
	FailExpired FailureKind = "expired"
	// FailStatus means that the Upstream rejected the request itself.
	FailStatus FailureKind = "status"
)

// Failure says why an attempt ended without its answer.
type Failure struct {
	Kind FailureKind
	// Upstream is the Upstream that failed.
	Upstream core.UpstreamID
	// Sent says that a byte of the attempt may have reached an Upstream.
	Sent bool
	// Rejected says that the Upstream has stated that it did not run the attempt.
	Rejected bool
	// Generation is the start of a crashed Upstream, 0 when it isn't certain.
	Generation uint64
}

// Running is the list of attempts that an engine reports.
type Running struct {
	// AsOf is the local time at which the list was true.
	AsOf     core.Instant
	Attempts []core.AttemptID
	// Holder says that this Instance holds the ledger of the engine and so looks
	// after the attempts of others.
	Holder bool
}

// Output is one thing that the caller of Attempts must do.
type Output interface{ output() }

// StartPrefill sends the prefill of an attempt at At, unless NotAfter has passed.
type StartPrefill struct {
	Attempt  core.AttemptID
	Request  core.RequestID
	Upstream core.UpstreamID
	At       core.Instant
	NotAfter core.Instant
	// TokensSent is the number of tokens of the answer that the caller already has.
	TokensSent int
}

// StartDecode lets the decode engine import the KV cache and stream the answer, at
// At and unless NotAfter has passed.
type StartDecode struct {
	Attempt    core.AttemptID
	Request    core.RequestID
	Prefill    core.UpstreamID
	Decode     core.UpstreamID
	At         core.Instant
	NotAfter   core.Instant
	TokensSent int
}

// StartCall sends a plain call, unless NotAfter has passed.
type StartCall struct {
	Attempt  core.AttemptID
	Request  core.RequestID
	Upstream core.UpstreamID
	NotAfter core.Instant
}

// Cancel frees what an Upstream holds for an attempt.
type Cancel struct {
	Attempt  core.AttemptID
	Upstream core.UpstreamID
}

// Replace asks for another placement of a request.
type Replace struct {
	Request    core.RequestID
	Avoid      []core.UpstreamID
	TokensSent int
}

// Finished says that the complete answer of a request has arrived.
type Finished struct {
	Request core.RequestID
	Tokens  int
}

// Failed ends a request without a complete answer.
type Failed struct {
	Request core.RequestID
	Refusal *core.Refusal
}

// ShareSuspect sends a notice about suspect fingerprints to a peer.
type ShareSuspect struct {
	To     core.InstanceID
	Notice SuspectNotice
}

// PollRunning asks for a fresh list of the attempts of an Upstream, because a
// cancel there isn't confirmed yet.
type PollRunning struct {
	Upstream core.UpstreamID
}

// AskOwner asks a peer to cancel those of its attempts that it has given up.
type AskOwner struct {
	To       core.InstanceID
	Upstream core.UpstreamID
	Attempts []core.AttemptID
}

func (StartPrefill) output() {}
func (StartDecode) output()  {}
func (StartCall) output()    {}
func (Cancel) output()       {}
func (Replace) output()      {}
func (Finished) output()     {}
func (Failed) output()       {}
func (ShareSuspect) output() {}
func (PollRunning) output()  {}
func (AskOwner) output()     {}

// NoticeKind is the kind of a SuspectNotice.
type NoticeKind string

const (
	// NoticeMark tells of losses. With a round it asks for a NoticeClean, and
	// Attempt is the last one that the arbiter has permitted.
	NoticeMark NoticeKind = "mark"
	// NoticeClean says that the sender knows the losses of the round and that no
	// attempt of the fingerprint runs for it.
	NoticeClean NoticeKind = "clean"
	// NoticeAsk asks the arbiter for the permission to run Attempt.
	NoticeAsk NoticeKind = "ask"
	// NoticeAllow permits Attempt.
	NoticeAllow NoticeKind = "allow"
	// NoticeDeny refuses Attempt for good.
	NoticeDeny NoticeKind = "deny"
	// NoticeClear withdraws the losses, because the request has completed.
	NoticeClear NoticeKind = "clear"
	// NoticeHello asks for all records; a new run of an Instance sends it.
	NoticeHello NoticeKind = "hello"
	// NoticeRecords answers a NoticeHello.
	NoticeRecords NoticeKind = "records"
)

// Loss is one Upstream that crashed while an attempt of a fingerprint ran on it.
type Loss struct {
	Attempt  core.AttemptID  `json:"attempt"`
	Upstream core.UpstreamID `json:"upstream"`
	// Generation is the start of the Upstream, 0 when it isn't certain.
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

// SuspectNotice travels between Instances about suspect fingerprints.
type SuspectNotice struct {
	Kind NoticeKind `json:"kind"`
	Record
	Attempt core.AttemptID `json:"attempt,omitzero"`
	Round   uint64         `json:"round,omitempty"`
	Records []Record       `json:"records,omitempty"` // of NoticeRecords
}

// Stats counts events that were dropped.
type Stats struct {
	// Late events belong to attempts that are no longer live.
	Late uint64
	// Duplicate events repeat or precede what is already known.
	Duplicate uint64
}

// Params holds the settings of Attempts. The zero value of a field selects its
// default.
type Params struct {
	// PrefillTimeout bounds the time from the start of a prefill to its end.
	PrefillTimeout time.Duration
	// TransferTimeout bounds the time from the end of a prefill to the first token.
	TransferTimeout time.Duration
	// ProgressTimeout bounds the time between two signs of progress.
	ProgressTimeout time.Duration
	// RetryShare is the number of retries allowed per request.
	RetryShare float64
	// RetryBurst bounds the saved retries.
	RetryBurst float64
	// MaxTries bounds the attempts of one request.
	MaxTries int
	// MinTry is the least time before the deadline at which a retry makes sense.
	MinTry time.Duration
	// StartWindow bounds the time by which an effect may be carried out late.
	StartWindow time.Duration
	// AbsentGrace is the time after which an Instance that is missing from the
	// members counts as dead.
	AbsentGrace time.Duration
	// AskOwnerEvery is the pause between questions about a running attempt.
	AskOwnerEvery time.Duration
	// VerdictWait bounds the wait for the arbiter of a suspect request.
	VerdictWait time.Duration
	// SyncWait bounds the wait of a new run for the records of its peers.
	SyncWait time.Duration
	// SuspectFor is the time for which a loss is remembered.
	SuspectFor time.Duration
	// MaxSuspects bounds the remembered fingerprints. Those with the least blame
	// are forgotten first.
	MaxSuspects int
}

func (p Params) withDefaults() Params {
	setDefault(&p.PrefillTimeout, 3*time.Second)
	setDefault(&p.TransferTimeout, 2*time.Second)
	setDefault(&p.ProgressTimeout, 2*time.Second)
	setDefault(&p.RetryShare, 0.1)
	setDefault(&p.RetryBurst, 10)
	setDefault(&p.MaxTries, 5)
	setDefault(&p.MinTry, 50*time.Millisecond)
	setDefault(&p.StartWindow, 500*time.Millisecond)
	setDefault(&p.AbsentGrace, 3*time.Second)
	setDefault(&p.AskOwnerEvery, 10*time.Second)
	setDefault(&p.VerdictWait, 5*time.Second)
	setDefault(&p.SyncWait, time.Second)
	setDefault(&p.SuspectFor, 24*time.Hour)
	setDefault(&p.MaxSuspects, 4096)
	return p
}

func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}
