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

// Role is the part that an Upstream plays in its service.
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
	// soon as its first-token target is out of reach.
	PolicyGoodput Policy = "goodput"
	// PolicyFair shares a service by weight alone and queues until the deadline.
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
	// Leaving Upstreams get no new work.
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
	// IsRetry says that an earlier attempt may have reached an Upstream: a refusal
	// then says unknown, and the job isn't refused early.
	IsRetry bool
}

// LoadReport is what an engine says about itself.
type LoadReport struct {
	Slots          int
	UsedSlots      int
	QueuedRequests int
	QueuedTokens   int64
	// Attempts lists the attempts that hold a slot. It may be empty in a report
	// that a peer has forwarded; UsedSlots then counts alone.
	Attempts []core.AttemptID
	// ObservedAt is the local time at which the report was true.
	ObservedAt core.Instant
	// Generation is the start of the engine. It changes at a restart.
	Generation uint64
	Leaving    bool
}

// CacheEvents is a run of consecutive cache events of one engine.
type CacheEvents struct {
	// FirstSeq is the sequence number of Events[0].
	FirstSeq uint64
	Events   []CacheEvent
}

// CacheEvent says that an engine has stored or evicted one prefix block.
type CacheEvent struct {
	BlockHash uint64
	Stored    bool
}

// PrefillResult is the outcome of a prefill.
type PrefillResult struct {
	ID           core.RequestID
	CachedTokens int
	// KVBytes is the size of the KV cache as the engine states it, 0 for unknown.
	KVBytes int64
	// Duration is the time from the request to the reply, 0 for unknown.
	Duration time.Duration
}

// ReserveRequest asks the ledger holder of a decode engine for a slot. The
// sender and Nonce identify it: a repeat gets the same reply.
type ReserveRequest struct {
	Nonce    uint64          `json:"nonce"`
	ID       core.RequestID  `json:"id"`
	Upstream core.UpstreamID `json:"upstream"`
	// Within is the longest acceptable time until the slot is free.
	Within time.Duration `json:"within"`
	// Hold is the expected time for which the slot is used.
	Hold time.Duration `json:"hold"`
	// Announce tells a new ledger holder of a slot granted by its predecessor.
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
	// Term is the time after which an unused reservation ends.
	Term time.Duration `json:"term"`
}

// ReleaseNotice ends a reservation. It is safe to repeat.
type ReleaseNotice struct {
	Nonce    uint64          `json:"nonce"`
	Upstream core.UpstreamID `json:"upstream"`
}

// LoadDelta sums up the placements of one Instance on one Upstream. Peers of a
// DataCentre exchange it to correct the load that engines report late.
type LoadDelta struct {
	Upstream core.UpstreamID `json:"upstream"`
	// Tokens is the number of prefill tokens.
	Tokens int64 `json:"tokens,omitempty"`
	// Slots is the number of slots taken less those released.
	Slots int `json:"slots,omitempty"`
	// LinkBytes is the size of the KV transfers over the link of the DataCentre.
	LinkBytes int64 `json:"link_bytes,omitempty"`
}

// Output is one thing that the caller of the Placer must do.
type Output interface{ output() }

// ModelPlacement starts a model request on a pair of engines.
type ModelPlacement struct {
	ID      core.RequestID
	Prefill core.UpstreamID
	Decode  core.UpstreamID
	// StartPrefillAt makes the prefill end when the decode slot is free.
	StartPrefillAt core.Instant
	// SlotFreeAt is the expected time at which the slot is free. A decode that starts
	// earlier takes the slot of a request that waits for its prefill.
	SlotFreeAt core.Instant
	// ReservedUntil is the time at which the unused reservation ends.
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

// SendReleaseNotice sends the end of a reservation to a ledger holder.
type SendReleaseNotice struct {
	To     core.InstanceID
	Notice ReleaseNotice
}

// JobRefused ends a job that never reached an Upstream through this Submit.
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
	// PrefillTokensPerSecond is the speed of a prefill engine that has not
	// been measured yet.
	PrefillTokensPerSecond float64
	// KVBytesPerToken is the size of the KV cache of one token of a model that no
	// prefill has stated yet.
	KVBytesPerToken int64
	// ReserveTimeout is the time to wait for a ledger holder.
	ReserveTimeout time.Duration
	// ReservationTerm is the time for which a free slot stays reserved unused.
	ReservationTerm time.Duration
	// MaxSlotWait bounds how far ahead a slot is reserved.
	MaxSlotWait time.Duration
	// RetryInterval is the pause before the head of a queue without capacity is
	// tried again.
	RetryInterval time.Duration
	// MaxQueuedPerAccount bounds the waiting jobs of one ClientAccount in one service.
	MaxQueuedPerAccount int
	// MaxPrefixHints bounds the remembered prefix blocks of one engine.
	MaxPrefixHints int
	// Strategy is StrategyScore unless a measurement compares it with a baseline.
	Strategy Strategy
	// The following switch a mechanism off, to measure what it is worth.
	// NoReservation starts prefills without a reserved decode slot.
	NoReservation bool
	// NoPrefixHints ignores what is known of the prefix caches.
	NoPrefixHints bool
	// NoLoadCorrection takes load from the reports alone.
	NoLoadCorrection bool
	// FIFO serves requests in order of arrival, whatever their account and priority.
	FIFO bool
}

// Strategy selects how a pair of engines is chosen.
type Strategy int

const (
	// StrategyScore takes the pair that is expected to yield the first token
	// earliest.
	StrategyScore Strategy = iota
	// StrategyRoundRobin takes the usable engines of the nearest region in turn.
	StrategyRoundRobin
	// StrategyLeastLoaded takes the engines with the least reported load.
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
