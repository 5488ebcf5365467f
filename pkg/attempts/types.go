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
}

// Running is the list of attempts that an engine reports.
type Running struct {
	// AsOf is the local time at which the list was true.
	AsOf     core.Instant
	Attempts []core.AttemptID
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

// StartDecode lets the decode engine import the KV cache and stream the answer.
type StartDecode struct {
	Attempt    core.AttemptID
	Request    core.RequestID
	Prefill    core.UpstreamID
	Decode     core.UpstreamID
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

// ShareSuspect sends a notice about a suspect fingerprint to a peer.
type ShareSuspect struct {
	To     core.InstanceID
	Notice SuspectNotice
}

func (StartPrefill) output() {}
func (StartDecode) output()  {}
func (StartCall) output()    {}
func (Cancel) output()       {}
func (Replace) output()      {}
func (Finished) output()     {}
func (Failed) output()       {}
func (ShareSuspect) output() {}

// NoticeKind is the kind of a SuspectNotice.
type NoticeKind string

// SuspectNotice travels between Instances about one suspect fingerprint.
type SuspectNotice struct {
	Kind        NoticeKind       `json:"kind"`
	Fingerprint core.Fingerprint `json:"fingerprint"`
	Attempt     core.AttemptID   `json:"attempt"`
	Upstream    core.UpstreamID  `json:"upstream,omitempty"`
	Blame       float64          `json:"blame,omitempty"`
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
}

func (p Params) withDefaults() Params {
	setDefault(&p.PrefillTimeout, 3*time.Second)
	setDefault(&p.TransferTimeout, 2*time.Second)
	setDefault(&p.ProgressTimeout, 2*time.Second)
	setDefault(&p.RetryShare, 0.1)
	setDefault(&p.RetryBurst, 10)
	return p
}

func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}
