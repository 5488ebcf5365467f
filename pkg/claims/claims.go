// Package claims keeps a non-idempotent request from running more than once.
//
// An idempotency key hashes to one of a fixed number of objects in the store,
// which hold the recent claims of all Instances. An Instance adds claims by
// conditional update. Concurrent claims share a write, and each shard has at most
// one write in flight. A request may be dispatched only after its claim is
// confirmed, and only until ClaimConfirmed.NotAfter.
//
// A claim is confirmed in two ways: by the success of the write that added it,
// or by a read that shows its nonce. After a write without a success, whatever
// the reason, the shard is unsettled: the write may still take effect, and a late
// answer to it could be mistaken for the answer to the next write. A success
// then only causes a read. The shard is settled again when a read shows a version
// higher than the base of that write, because the store then rejects it.
//
// # What a resend gets
//
// A claim in the store has no outcome until its owner, the run of the Instance
// that added it, has recorded one. A resend at any Instance gets:
//
//   - Outcome recorded: the outcome (RecordedOutcome). It is final.
//   - In progress: the claim has no outcome and its owner may still be running
//     the request. The refusal has code request_in_progress, ran "unknown",
//     RetryAfter and the request id to ask about. Only the owner knows better.
//   - Owner died (see OnIncarnationDead), or no outcome after InProgressTimeout:
//     nobody will record an outcome. The owner may have dispatched the request
//     just before, so that the key never runs again. The refusal has code
//     outcome_unknown, ran "unknown", no RetryAfter, and the request id.
//   - Another body under the same key: a conflict.
//
// The owner takes a claim back when the request was certainly not dispatched:
// Finish with core.NotRun, or a deadline that passed before the claim was
// confirmed. The key is then free for a resend. If the owner dies before the
// removal is written, resends get "unknown", which is less than the truth but
// not false.
//
// Ran in a refusal is about the refused request itself, not about an earlier
// request with the same key. Where the store can't be read, an earlier request
// may have run at another Instance.
//
// # Retention
//
// A claim is removed Retention after the later of its wall time and the time in
// its key, and after twice MaxClockSkew more. UUID version 7 keys older than
// Retention are refused, so that a key never runs again after its claim was
// removed. Keys of other forms carry no time: they are protected only for
// Retention.
package claims

import (
	"cmp"
	"encoding/binary"
	"io"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/rhubarbsill/rhubarbsill/pkg/core"
)

// Params are the settings of a Claims. Zero fields take the default.
type Params struct {
	// Shards is the number of store objects. All Instances must use the same
	// number. Default 16: more shards hold more claims, fewer share more writes.
	Shards int
	// Retention is how long a claim is kept. Default 15 min.
	Retention time.Duration
	// MaxClockSkew bounds the difference of two Instances' wall clocks. Default
	// 1 min. Keys with a later time than that are refused.
	MaxClockSkew time.Duration
	// InProgressTimeout is how long a claim without outcome counts as in progress.
	// Default 2 min.
	InProgressTimeout time.Duration
	// DeadlineMargin is how long before its deadline a request without a
	// confirmed claim is refused, so that the refusal arrives in time. Default
	// 50 ms.
	DeadlineMargin time.Duration
	// StoreTimeout is how long an answer of the store is waited for. A write
	// is sent only within it. It must exceed the timeout of the store's client.
	// Default 5 s.
	StoreTimeout time.Duration
	// OutcomeBatchDelay is how long outcomes wait for a write to share. Default
	// 500 ms.
	OutcomeBatchDelay time.Duration
	// WriteInterval is the mean time between two writes of this Instance, and
	// WriteBurst the number of writes that may follow each other at once.
	// Defaults 40 ms and 16: eight Instances stay within 200 writes/s.
	WriteInterval time.Duration
	WriteBurst    int
	// MaxPending bounds the claims that wait for confirmation. Default 10,000.
	MaxPending int
	// MaxObjectBytes bounds a shard object. Default 1 MB, the store's limit.
	MaxObjectBytes int
	// Random is the source of the nonces. It is required.
	Random io.Reader
}

func (p Params) withDefaults() Params {
	setDefault(&p.Shards, 16)
	setDefault(&p.Retention, 15*time.Minute)
	setDefault(&p.MaxClockSkew, time.Minute)
	setDefault(&p.InProgressTimeout, 2*time.Minute)
	setDefault(&p.DeadlineMargin, 50*time.Millisecond)
	setDefault(&p.StoreTimeout, 5*time.Second)
	setDefault(&p.OutcomeBatchDelay, 500*time.Millisecond)
	setDefault(&p.WriteInterval, 40*time.Millisecond)
	setDefault(&p.WriteBurst, 16)
	setDefault(&p.MaxPending, 10_000)
	setDefault(&p.MaxObjectBytes, 1_000_000)
	return p
}

func setDefault[T int | time.Duration](field *T, value T) {
	if *field <= 0 {
		*field = value
	}
}

// Digest is a digest of a request body.
type Digest [16]byte

// Request asks for the right to dispatch one non-idempotent request.
type Request struct {
	// ID is at most 64 bytes. A UUID takes the least space in the store.
	ID             core.RequestID
	Account        core.AccountID
	IdempotencyKey string
	BodyDigest     Digest
	Deadline       core.Instant
	// WallTime is the present time on the wall clock, for the retention.
	WallTime time.Time
}

// Outcome is the short outcome of a request that is recorded with its claim.
type Outcome struct {
	// Status is the HTTP status of the answer.
	Status int
	// Ran is core.NotRun only when no byte of the request reached an Upstream
	// and none will. The claim is then taken back instead of being recorded.
	Ran core.ExecutionStatus
}

// WriteFailure is why a write of a shard failed.
type WriteFailure int

// The failures of a write.
const (
	// WriteConflict means that the base was not the stored version.
	WriteConflict WriteFailure = iota + 1
	// ReplyLost means that the answer was lost: the write may take effect.
	ReplyLost
	// StoreUnavailable means that the store refused the write without effect.
	StoreUnavailable
)

// Output is an effect: ReadShard, WriteShard, ClaimConfirmed, RecordedOutcome or
// RequestRefused.
type Output interface{ output() }

// ReadShard asks for a read of a shard's object, answered by OnRead or OnReadFailed.
type ReadShard struct{ Shard int }

// WriteShard asks for a conditional update of a shard's object, to be sent until
// NotAfter, answered by OnWritten or OnWriteFailed. BaseVersion 0 creates the object.
type WriteShard struct {
	Shard       int
	BaseVersion uint64
	Object      []byte
	NotAfter    core.Instant
}

// ClaimConfirmed permits the one dispatch of a request until NotAfter. The caller must
// call Finish, with core.NotRun if the request was not dispatched.
type ClaimConfirmed struct {
	ID       core.RequestID
	NotAfter core.Instant
}

// RecordedOutcome answers a resend with the outcome of the request OriginalID.
type RecordedOutcome struct {
	ID         core.RequestID
	Outcome    Outcome
	OriginalID core.RequestID
}

// RequestRefused answers a request that is not dispatched. OriginalID is the earlier
// request with the same key, if one is known.
type RequestRefused struct {
	ID         core.RequestID
	Refusal    *core.Refusal
	OriginalID core.RequestID
}

func (ReadShard) output()       {}
func (WriteShard) output()      {}
func (ClaimConfirmed) output()  {}
func (RecordedOutcome) output() {}
func (RequestRefused) output()  {}

// claim is a request from Claim until it is refused, answered or finished.
type claim struct {
	id         core.RequestID
	key        keyDigest
	body       bodyDigest
	nonce      nonce
	encodedID  encodedRequestID
	retainFrom int64 // Unix seconds from which the retention counts
	expiresAt  time.Time
	arrivedAt  core.Instant
	deadline   core.Instant
	refuseAt   core.Instant
	pending    bool
	confirmed  bool
	// maybeStored is set when a write has held the claim, which may take effect.
	maybeStored bool
	// awaitsReread is set when the claim waits for a read that shows the outcome of
	// an earlier request with its key.
	awaitsReread bool
}

// Claims holds the claims of one Instance. Its methods do not block and must be
// called from one goroutine.
type Claims struct {
	self     core.InstanceRef
	params   Params
	shards   []*shard
	requests map[core.RequestID]*claim
	keys     map[keyDigest]*claim
	pending  int
	dead     map[core.InstanceID]core.Incarnation // latest dead incarnation
	jitter   *rand.Rand
	// wall is the wall time at the instant wallAt.
	wall   time.Time
	wallAt core.Instant
	// writeTAT is the theoretical arrival time of the next write (GCRA).
	writeTAT core.Instant
}

// New returns a Claims that knows no claims. It reads the store when the first
// request of a shard arrives.
func New(self core.InstanceRef, p Params) *Claims {
	c := &Claims{
		self:     self,
		params:   p.withDefaults(),
		requests: map[core.RequestID]*claim{},
		keys:     map[keyDigest]*claim{},
		dead:     map[core.InstanceID]core.Incarnation{},
	}
	for index := range c.params.Shards {
		c.shards = append(c.shards, &shard{index: index, refuseAt: core.Never})
	}
	var seed nonce
	// A failed read leaves the jitter unseeded, which affects pacing only.
	_, _ = io.ReadFull(c.params.Random, seed[:])
	c.jitter = rand.New(rand.NewPCG(binary.BigEndian.Uint64(seed[:]), 0))
	return c
}

// Claim asks for a claim. The answer is ClaimConfirmed, RecordedOutcome or
// RequestRefused, at once or from a later call, but before the request's deadline
// if Tick is called in time.
// A request id that is already known is ignored.
func (c *Claims) Claim(now core.Instant, q Request) []Output {
	if c.requests[q.ID] != nil {
		return nil
	}
	c.wall, c.wallAt = q.WallTime, now
	cl, refusal := c.newClaim(now, q)
	if refusal != nil {
		return []Output{RequestRefused{ID: q.ID, Refusal: refusal}}
	}
	if earlier := c.keys[cl.key]; earlier != nil {
		if cl.body != earlier.body {
			return []Output{conflictRefusal(cl.id, earlier.id)}
		}
		return []Output{inProgressRefusal(cl.id, earlier.id)}
	}
	s := c.shards[cl.key.shardOf(len(c.shards))]
	if out := c.answerDuplicate(now, s, cl, false); out != nil {
		return []Output{out}
	}
	if c.pending >= c.params.MaxPending {
		refusal := core.NewRefusal(core.CodeNoCapacity, "too many claims wait for the store")
		refusal.RetryAfter = time.Second
		return []Output{RequestRefused{ID: q.ID, Refusal: refusal}}
	}
	c.requests[cl.id] = cl
	c.keys[cl.key] = cl
	c.pending++
	s.add(cl)
	return c.startNextCall(now, s)
}

// newClaim checks a request and gives it a nonce.
func (c *Claims) newClaim(now core.Instant, q Request) (*claim, *core.Refusal) {
	if q.IdempotencyKey == "" || len(q.IdempotencyKey) > MaxKeyBytes {
		return nil, core.NewRefusal(core.CodeMalformed, "the idempotency key must have 1 to 255 bytes")
	}
	if len(q.ID) > maxRequestIDBytes {
		return nil, core.NewRefusal(core.CodeMalformed, "the request id must have at most 64 bytes")
	}
	cl := &claim{
		id:         q.ID,
		key:        digestKey(q.Account, q.IdempotencyKey),
		body:       bodyDigest(q.BodyDigest[:8]),
		encodedID:  encodeRequestID(q.ID),
		retainFrom: ceilSeconds(q.WallTime),
		arrivedAt:  now,
		deadline:   q.Deadline,
		refuseAt:   q.Deadline.Add(-c.params.DeadlineMargin),
	}
	if at, ok := keyTime(q.IdempotencyKey); ok {
		if at.Sub(q.WallTime) > c.params.MaxClockSkew {
			return nil, core.NewRefusal(core.CodeMalformed, "the time in the idempotency key is in the future")
		}
		cl.retainFrom = max(cl.retainFrom, ceilSeconds(at))
		cl.expiresAt = at.Add(c.params.Retention)
		if c.expired(now, cl) {
			return nil, c.expiredRefusal()
		}
	}
	if now >= cl.refuseAt {
		return nil, core.NewRefusal(core.CodeDeadlineExceeded, "the deadline leaves no time to claim the idempotency key")
	}
	if _, err := io.ReadFull(c.params.Random, cl.nonce[:]); err != nil {
		return nil, core.NewRefusal(core.CodeStoreUnavailable, "no random number for the claim: "+err.Error())
	}
	return cl, nil
}

// wallTime returns the wall time at now.
func (c *Claims) wallTime(now core.Instant) time.Time { return c.wall.Add(now.Sub(c.wallAt)) }

// expired reports whether the claim of the key may have been removed already.
func (c *Claims) expired(now core.Instant, cl *claim) bool {
	return !cl.expiresAt.IsZero() && !c.wallTime(now).Before(cl.expiresAt)
}

// expiredRefusal says "unknown": a request with the key may have run before its
// claim was removed.
func (c *Claims) expiredRefusal() *core.Refusal {
	return &core.Refusal{
		Code:    core.CodeClaimExpired,
		Ran:     core.MayHaveRun,
		Message: "the idempotency key is older than " + c.params.Retention.String(),
	}
}

// Finish records the outcome of a request whose claim was confirmed. A request
// that did not run gives its claim back. Other ids are ignored.
func (c *Claims) Finish(now core.Instant, id core.RequestID, outcome Outcome) []Output {
	cl := c.requests[id]
	if cl == nil || !cl.confirmed {
		return nil
	}
	c.removeClaim(cl)
	s := c.shards[cl.key.shardOf(len(c.shards))]
	c.queueUpdate(now, s, pendingUpdate{
		key:     cl.key,
		nonce:   cl.nonce,
		remove:  outcome.Ran == core.NotRun,
		outcome: outcome,
	})
	return c.startNextCall(now, s)
}

func (c *Claims) removeClaim(cl *claim) {
	delete(c.requests, cl.id)
	delete(c.keys, cl.key)
}

// OnIncarnationDead notes that a run of an Instance has ended: it will record no
// further outcomes.
func (c *Claims) OnIncarnationDead(ref core.InstanceRef) {
	c.dead[ref.ID] = max(c.dead[ref.ID], ref.Incarnation)
}

// ChangeIncarnation continues as a new incarnation after a pause: requests whose claims are
// not confirmed are refused. Confirmed requests keep their claims until Finish.
func (c *Claims) ChangeIncarnation(now core.Instant, self core.InstanceRef) []Output {
	c.self = self
	var outs []Output
	for _, s := range c.shards {
		outs = append(outs, c.refusePendingUntil(now, s, core.Never)...)
	}
	return outs
}

// Tick refuses requests whose deadline is near, gives up on answers that did not
// come, and starts the calls that waited for their time.
func (c *Claims) Tick(now core.Instant) []Output {
	var outs []Output
	for _, s := range c.shards {
		outs = append(outs, c.handleTimeouts(now, s)...)
	}
	// The shard that has waited longest takes the next write.
	waiting := slices.Clone(c.shards)
	slices.SortStableFunc(waiting, func(a, b *shard) int { return cmp.Compare(a.waitingSince(), b.waitingSince()) })
	for _, s := range waiting {
		outs = append(outs, c.startNextCall(now, s)...)
	}
	return outs
}

// NextWake returns the time at which the next Tick is due.
func (c *Claims) NextWake() core.Instant {
	wake := core.Never
	for _, s := range c.shards {
		wake = min(wake, c.shardWake(s))
	}
	return wake
}

// takeWriteBudget takes one write from the budget of this Instance.
func (c *Claims) takeWriteBudget(now core.Instant) bool {
	if now < c.nextWriteAt() {
		return false
	}
	c.writeTAT = max(c.writeTAT, now).Add(c.params.WriteInterval)
	return true
}

// nextWriteAt returns the time from which the budget allows a write.
func (c *Claims) nextWriteAt() core.Instant {
	return c.writeTAT.Add(-time.Duration(c.params.WriteBurst-1) * c.params.WriteInterval)
}
