// Package claims keeps a non-idempotent request from running more than once.
//
// An idempotency key hashes to one of a fixed number of objects in the store,
// which hold the recent claims of all Instances. An Instance adds claims by
// conditional update. Concurrent claims share a write, and each shard has at most
// one write in flight. A request may be dispatched only after its claim is
// confirmed, and only until ClaimConfirmed.NotAfter.
//
// A claim is confirmed by the success of the write that added it, or by a read
// that shows its nonce. After any failed write the shard is uncertain: the write
// may still take effect, and a delayed reply to it could be mistaken for the reply
// to the next write. A success in this state only causes a read. The shard is
// certain again when a read shows a version higher than the base of the failed
// write, because the store then rejects that write.
//
// # Duplicates
//
// A claim in the store has no outcome until its owner, the incarnation of the
// Instance that added it, has recorded one. A duplicate, which is another request
// with the same key, gets at any Instance:
//
//   - Outcome recorded: the outcome (RecordedOutcome). It is final.
//   - In progress: the claim has no outcome and its owner may still be running
//     the request. The refusal has code request_in_progress, ran "unknown",
//     RetryAfter and the id of the original request. Only the owner knows its
//     state.
//   - Owner died (see OnIncarnationDead), or no outcome after InProgressTimeout:
//     no outcome will be recorded. The owner may have dispatched the request just
//     before, so the key never runs again. The refusal has code outcome_unknown,
//     ran "unknown", no RetryAfter, and the id of the original request.
//   - Another body under the same key: a conflict.
//
// The owner releases a claim when the request was certainly not dispatched:
// Finish with core.NotRun, or a deadline that passed before the claim was
// confirmed. The key can then be claimed again. If the owner dies before the
// removal is written, duplicates get "unknown", which is imprecise but not false.
//
// Ran in a refusal describes the refused request itself, not an earlier request
// with the same key. While the store can't be read, an earlier request may have
// run at another Instance.
//
// # Retention
//
// A claim is removed Retention plus twice MaxClockSkew after the later of its wall
// time and the time in its key. UUID version 7 keys older than Retention are
// refused, so that a key never runs again after its claim was removed. Keys of
// other forms carry no time and are protected only for Retention.
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

// Params holds the settings of Claims. Zero fields select the default.
type Params struct {
	// Shards is the number of store objects. All Instances must use the same
	// number. Default 16: more shards hold more claims, fewer share more writes.
	Shards int
	// Retention is the time for which a claim is kept. Default 15 min.
	Retention time.Duration
	// MaxClockSkew bounds the difference between the wall clocks of two Instances.
	// Keys whose time lies further in the future are refused. Default 1 min.
	MaxClockSkew time.Duration
	// InProgressTimeout is the time for which a claim without an outcome counts as
	// in progress. Default 2 min.
	InProgressTimeout time.Duration
	// DeadlineMargin is the time before its deadline at which a request without a
	// confirmed claim is refused, so that the refusal reaches the caller in time.
	// Default 50 ms.
	DeadlineMargin time.Duration
	// StoreTimeout bounds the time until a write is sent; a call without a reply
	// fails after twice this time. It must exceed the timeout of the store's
	// client. Default 5 s.
	StoreTimeout time.Duration
	// OutcomeBatchDelay is the time for which an outcome waits for others to share
	// its write. Default 500 ms.
	OutcomeBatchDelay time.Duration
	// WriteInterval is the mean interval between two writes of this Instance, and
	// WriteBurst the number of writes that may follow each other immediately.
	// Defaults 40 ms and 16, with which eight Instances stay within 200 writes/s.
	WriteInterval time.Duration
	WriteBurst    int
	// MaxPending bounds the number of claims that wait for confirmation. Default
	// 10,000.
	MaxPending int
	// MaxObjectBytes bounds the size of a shard object. Default 1 MB, the limit of
	// the store.
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

// Request is a request to dispatch one non-idempotent request.
type Request struct {
	// ID is at most 64 bytes. A UUID takes the least space in the store.
	ID             core.RequestID
	Account        core.AccountID
	IdempotencyKey string
	BodyDigest     Digest
	Deadline       core.Instant
	// WallTime is the present wall-clock time, from which the retention counts.
	WallTime time.Time
}

// Outcome is the part of a request's outcome that is stored with its claim.
type Outcome struct {
	// Status is the HTTP status of the response.
	Status int
	// Ran is core.NotRun only when no byte of the request has reached or will reach
	// an Upstream. The claim is then released and no outcome is recorded.
	Ran core.ExecutionStatus
}

// WriteFailure classifies the failure of a write of a shard.
type WriteFailure int

const (
	// WriteConflict means that the base version was not the stored version.
	WriteConflict WriteFailure = iota + 1
	// ReplyLost means that no reply arrived: the write may have taken or may still
	// take effect.
	ReplyLost
	// StoreUnavailable means that the store refused the write without effect.
	StoreUnavailable
)

// Output is an effect: ReadShard, WriteShard, ClaimConfirmed, RecordedOutcome or
// RequestRefused.
type Output interface{ output() }

// ReadShard reads the object of a shard. The caller replies with OnRead or
// OnReadFailed.
type ReadShard struct{ Shard int }

// WriteShard updates the object of a shard if its version is BaseVersion;
// BaseVersion 0 creates the object. It must not be sent after NotAfter. The caller
// replies with OnWritten or OnWriteFailed.
type WriteShard struct {
	Shard       int
	BaseVersion uint64
	Object      []byte
	NotAfter    core.Instant
}

// ClaimConfirmed permits the single dispatch of a request until NotAfter. The
// caller must call Finish, with core.NotRun if the request was not dispatched.
type ClaimConfirmed struct {
	ID       core.RequestID
	NotAfter core.Instant
}

// RecordedOutcome answers a duplicate with the outcome of the request OriginalID.
type RecordedOutcome struct {
	ID         core.RequestID
	Outcome    Outcome
	OriginalID core.RequestID
}

// RequestRefused refuses a request, which must not be dispatched. OriginalID is the
// earlier request with the same key, empty if none is known.
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

// claim is the state of a request from Claim until it is refused, answered or
// finished.
type claim struct {
	id         core.RequestID
	key        keyDigest
	body       bodyDigest
	nonce      nonce
	encodedID  encodedRequestID
	retainFrom int64 // Unix time in seconds at which the retention starts
	expiresAt  time.Time
	arrivedAt  core.Instant
	deadline   core.Instant
	refuseAt   core.Instant
	pending    bool
	confirmed  bool
	// maybeStored is set once a write that may take effect contains the claim.
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

// New returns a Claims without claims. A shard is read from the store when its
// first request arrives.
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

// Claim requests a claim. The result is ClaimConfirmed, RecordedOutcome or
// RequestRefused, returned immediately or by a later method, before the deadline of
// the request if Tick is called in time. A request id that is already known is
// ignored.
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

// newClaim validates a request and gives its claim a nonce.
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

// wallTime returns the wall-clock time at now.
func (c *Claims) wallTime(now core.Instant) time.Time { return c.wall.Add(now.Sub(c.wallAt)) }

// expired reports whether an earlier claim with the key may have been removed
// already.
func (c *Claims) expired(now core.Instant, cl *claim) bool {
	return !cl.expiresAt.IsZero() && !c.wallTime(now).Before(cl.expiresAt)
}

// expiredRefusal reports Ran as unknown, because an earlier request with the key
// may have run before its claim was removed.
func (c *Claims) expiredRefusal() *core.Refusal {
	return &core.Refusal{
		Code:    core.CodeClaimExpired,
		Ran:     core.MayHaveRun,
		Message: "the idempotency key is older than " + c.params.Retention.String(),
	}
}

// Finish records the outcome of a request whose claim was confirmed, or releases
// the claim of a request that did not run. Unknown ids are ignored.
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

// OnIncarnationDead handles the end of an incarnation of an Instance, which will
// record no further outcomes.
func (c *Claims) OnIncarnationDead(ref core.InstanceRef) {
	c.dead[ref.ID] = max(c.dead[ref.ID], ref.Incarnation)
}

// ChangeIncarnation continues as a new incarnation after a pause. Requests without
// a confirmed claim are refused; the others keep their claims until Finish.
func (c *Claims) ChangeIncarnation(now core.Instant, self core.InstanceRef) []Output {
	c.self = self
	var outs []Output
	for _, s := range c.shards {
		outs = append(outs, c.refusePendingUntil(now, s, core.Never)...)
	}
	return outs
}

// Tick refuses requests whose deadline is near, ends overdue store calls, and
// starts the calls that are due.
func (c *Claims) Tick(now core.Instant) []Output {
	var outs []Output
	for _, s := range c.shards {
		outs = append(outs, c.handleTimeouts(now, s)...)
	}
	// The shard that has waited longest gets the next write.
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

// takeWriteBudget takes one write from the budget of this Instance and reports
// whether one was left.
func (c *Claims) takeWriteBudget(now core.Instant) bool {
	if now < c.nextWriteAt() {
		return false
	}
	c.writeTAT = max(c.writeTAT, now).Add(c.params.WriteInterval)
	return true
}

// nextWriteAt returns the time at which the budget allows the next write.
func (c *Claims) nextWriteAt() core.Instant {
	return c.writeTAT.Add(-time.Duration(c.params.WriteBurst-1) * c.params.WriteInterval)
}
