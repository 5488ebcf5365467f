package placement

import (
	"math/rand/v2"
	"time"

	"github.com/rhubarbsill/rhubarbsill/pkg/core"
)

// Kind is the kind of a service.
type Kind string

// The kinds of services.
const (
	KindModel Kind = "model"
	KindPlain Kind = "plain"
)

// Role is the role of an Upstream in its service.
type Role string

// The roles of Upstreams.
const (
	RolePrefill Role = "prefill"
	RoleDecode  Role = "decode"
	RolePlain   Role = "plain"
)

// Policy selects the queue order of a service and whether it refuses early.
type Policy string

const (
	// PolicyGoodput serves higher priorities first and refuses a request as
	// soon as its first-token target can't be met.
	PolicyGoodput Policy = "goodput"
	// PolicyFair divides a service by weight alone and queues until the deadline.
	PolicyFair Policy = "fair"
)

// Topology is the part of the configuration that placement needs.
type Topology struct {
	DataCentres []DataCentre
	Services    []Service
}

// DataCentre describes one DataCentre and its KV transfer link.
type DataCentre struct {
	Name   core.DataCentreName
	Region core.RegionName
	// LinkMbps is the rate of the KV transfer link in Mbit/s, 0 for unlimited.
	LinkMbps float64
}

// Service describes one service and its Upstreams.
type Service struct {
	Name      core.ServiceName
	Kind      Kind
	Policy    Policy
	Targets   LatencyTargets
	Models    []core.ModelName
	Upstreams []Upstream
}

// LatencyTargets holds the latency targets of a service. A zero target is not checked.
type LatencyTargets struct {
	TimeToFirstToken  time.Duration
	InterTokenLatency time.Duration
}

// Upstream describes one Upstream of a service.
type Upstream struct {
	ID         core.UpstreamID
	Role       Role
	DataCentre core.DataCentreName
	// Slots is the number of concurrent requests, 0 for unlimited.
	Slots int
	// Models is empty when the Upstream serves every model of its service.
	Models []core.ModelName
	// Leaving is set if the Upstream gets no new work.
	Leaving bool
}

// Member is an entry Instance that may hold slot ledgers.
type Member struct {
	Ref        core.InstanceRef
	DataCentre core.DataCentreName
}

// Job is a request that waits for its Upstreams.
type Job struct {
	ID              core.RequestID
	Account         core.AccountID
	Service         core.ServiceName
	Model           core.ModelName // empty for a plain service
	Weight          int            // share of the ClientAccount, at least 1
	Priority        int            // higher is served first under PolicyGoodput
	PromptTokens    int
	MaxOutputTokens int
	// PrefixHashes holds the chained hash of each block of the prompt, first block first.
	PrefixHashes []uint64
	Deadline     core.Instant
	// AvoidUpstreams lists Upstreams that are used only when no other one is usable.
	AvoidUpstreams []core.UpstreamID
	// IsRetry is set if an earlier attempt may have reached an Upstream. A refusal then
	// states that the request may have run, and the job isn't refused early.
	IsRetry bool
}

// LoadReport is the load that an engine reports.
type LoadReport struct {
	Slots          int
	UsedSlots      int
	QueuedRequests int
	QueuedTokens   int64
	// Attempts lists the attempts that hold a slot. It may be empty in a report that a
	// peer has forwarded; only UsedSlots counts then.
	Attempts []core.AttemptID
	// ObservedAt is the local time of the reported state.
	ObservedAt core.Instant
	// Generation identifies the process start of the engine. It changes at a restart.
	Generation uint64
	Leaving    bool
}

// CacheEvents is a sequence of consecutive cache events of one engine.
type CacheEvents struct {
	// FirstSeq is the sequence number of Events[0].
	FirstSeq uint64
	Events   []CacheEvent
}

// CacheEvent reports that an engine stored or evicted one prefix block.
type CacheEvent struct {
	BlockHash uint64
	Stored    bool
}

// PrefillResult is the outcome of a prefill.
type PrefillResult struct {
	ID           core.RequestID
	CachedTokens int
	// KVBytes is the size of the KV cache that the engine reports, 0 for unknown.
	KVBytes int64
	// Duration is the time from the request to the reply, 0 for unknown.
	Duration time.Duration
}

// ReserveRequest requests a slot from the ledger holder of a decode engine. The sender
// and Nonce identify the reservation, so a granted request is safe to repeat.
type ReserveRequest struct {
	Nonce    uint64          `json:"nonce"`
	ID       core.RequestID  `json:"id"`
	Upstream core.UpstreamID `json:"upstream"`
	// Within is the longest acceptable time until the slot is free.
	Within time.Duration `json:"within"`
	// Hold is the expected slot time, from the start of the reservation.
	Hold time.Duration `json:"hold"`
	// Announce registers a slot granted by the previous ledger holder at a new one,
	// which grants it regardless of the used slots.
	Announce bool `json:"announce,omitempty"`
}

// ReserveReply answers a ReserveRequest.
type ReserveReply struct {
	Nonce    uint64          `json:"nonce"`
	ID       core.RequestID  `json:"id"`
	Upstream core.UpstreamID `json:"upstream"`
	Granted  bool            `json:"granted"`
	// FreeIn is the expected time until the slot is free.
	FreeIn time.Duration `json:"free_in"`
	// Term is the time after which an unused reservation expires.
	Term time.Duration `json:"term"`
}

// ReleaseNotice ends a reservation. It is safe to repeat.
type ReleaseNotice struct {
	Nonce    uint64          `json:"nonce"`
	Upstream core.UpstreamID `json:"upstream"`
}

// LoadDelta is the sum of the recent placements of one Instance on one Upstream. The
// Instances of a DataCentre exchange it, because the load reports of engines are delayed.
type LoadDelta struct {
	Upstream core.UpstreamID `json:"upstream"`
	// Tokens is the number of prefill tokens.
	Tokens int64 `json:"tokens,omitempty"`
	// Slots is the number of acquired slots minus that of released ones.
	Slots int `json:"slots,omitempty"`
	// LinkBytes is the size of the KV transfers over the link of the DataCentre.
	LinkBytes int64 `json:"link_bytes,omitempty"`
}

// Output is an action that the caller of the Placer must carry out.
type Output interface{ output() }

// ModelPlacement starts a model request on a pair of engines.
type ModelPlacement struct {
	ID      core.RequestID
	Prefill core.UpstreamID
	Decode  core.UpstreamID
	// StartPrefillAt makes the prefill end when the decode slot is free.
	StartPrefillAt core.Instant
	// SlotFreeAt is the expected time at which the slot is free. A decode that starts
	// earlier uses the slot of another request, which still waits for its prefill.
	SlotFreeAt core.Instant
	// ReservedUntil is the time at which the reservation expires if it is not used.
	ReservedUntil core.Instant
}

// PlainPlacement sends a plain request to an Upstream.
type PlainPlacement struct {
	ID       core.RequestID
	Upstream core.UpstreamID
}

// SendReserveRequest sends a reservation request to a ledger holder.
type SendReserveRequest struct {
	To      core.InstanceID
	Request ReserveRequest
}

// SendReleaseNotice sends a release notice to a ledger holder.
type SendReleaseNotice struct {
	To     core.InstanceID
	Notice ReleaseNotice
}

// JobRefused ends a job that was not sent to an Upstream since its Submit.
type JobRefused struct {
	ID      core.RequestID
	Refusal *core.Refusal
}

func (ModelPlacement) output()     {}
func (PlainPlacement) output()     {}
func (SendReserveRequest) output() {}
func (SendReleaseNotice) output()  {}
func (JobRefused) output()         {}

// Params holds the settings of a Placer. The zero value of a field selects its
// default.
type Params struct {
	// Rand is the source of randomness. It is required.
	Rand *rand.Rand
	// PrefillTokensPerSecond is the assumed rate of a prefill engine without estimate.
	PrefillTokensPerSecond float64
	// KVBytesPerToken is the assumed KV cache size of one token of a model without
	// estimate.
	KVBytesPerToken int64
	// ReserveTimeout is the time to wait for the reply of a ledger holder.
	ReserveTimeout time.Duration
	// ReservationTerm is the time after which an unused reservation of a free slot expires.
	ReservationTerm time.Duration
	// MaxSlotWait is the assumed time until a slot is free if the expected ends of the
	// slots are unknown.
	MaxSlotWait time.Duration
	// RetryInterval is the delay before the head of a queue that found no capacity is
	// retried.
	RetryInterval time.Duration
	// MaxQueuedPerAccount bounds the queued jobs of one ClientAccount per class of a pool.
	MaxQueuedPerAccount int
	// MaxPrefixHints bounds the recorded prefix blocks of one engine.
	MaxPrefixHints int
	// Strategy is StrategyScore, except in measurements that compare it with a baseline.
	Strategy Strategy

	// The following fields disable one mechanism each, to measure its effect.

	// NoReservation starts prefills without a reserved decode slot.
	NoReservation bool
	// NoPrefixHints ignores the expected contents of the prefix caches.
	NoPrefixHints bool
	// NoLoadAdjustment uses the reported load without adjustments.
	NoLoadAdjustment bool
	// FIFO serves requests in order of arrival, whatever their account and priority.
	FIFO bool
}

// Strategy selects how a pair of engines is chosen.
type Strategy int

const (
	// StrategyScore picks the pair that is expected to yield the first token earliest.
	StrategyScore Strategy = iota
	// StrategyRoundRobin picks the usable engines of the nearest region in turn.
	StrategyRoundRobin
	// StrategyLeastLoaded picks the engines with the lowest reported load.
	StrategyLeastLoaded
)

func (p Params) withDefaults() Params {
	setDefault(&p.PrefillTokensPerSecond, 20_000)
	setDefault(&p.KVBytesPerToken, 128<<10)
	setDefault(&p.ReserveTimeout, 150*time.Millisecond)
	setDefault(&p.ReservationTerm, 2*time.Second)
	setDefault(&p.MaxSlotWait, 2*time.Second)
	setDefault(&p.RetryInterval, 10*time.Millisecond)
	setDefault(&p.MaxQueuedPerAccount, 10_000)
	setDefault(&p.MaxPrefixHints, 512)
	return p
}

func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}
