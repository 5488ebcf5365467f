package claims

import (
	"cmp"
	"slices"
	"time"

	"github.com/rhubarbsill/rhubarbsill/pkg/core"
)

// Limits of the back-off after a failed call.
const (
	minBackOff = 5 * time.Millisecond
	maxBackOff = 2 * time.Second
	// maxConflictJitter bounds the jitter after a conflict, in minBackOff.
	maxConflictJitter = 10
)

// pendingUpdate is an outcome or a removal that waits for a write.
type pendingUpdate struct {
	key     keyDigest
	nonce   nonce
	remove  bool
	outcome Outcome
}

// write is a write in flight.
type write struct {
	base   uint64
	update objectUpdate
}

// shard is one store object and the claims that wait for it.
type shard struct {
	index   int
	object  *object // as of version, without expired claims; nil until read
	version uint64

	pending  []*claim
	refuseAt core.Instant // earliest refuseAt of pending
	updates  []pendingUpdate
	// writableUpdates is the number of changes to claims that the object holds. The rest
	// are removals of claims that may still appear.
	writableUpdates int
	flushAt         core.Instant

	write         *write
	reading       bool
	callStartedAt core.Instant // start of the call in progress
	stale         bool
	// uncertain is set while a write on unsettledBase without a success may
	// take effect, or a late answer to it may arrive.
	uncertain     bool
	uncertainBase uint64

	failures      int // since the last success or conflict
	conflicts     int // since the last success
	backOff       time.Duration
	retryAt       core.Instant
	nextCleanupAt core.Instant
}

func (s *shard) add(cl *claim) {
	cl.pending = true
	s.pending = append(s.pending, cl)
	s.refuseAt = min(s.refuseAt, cl.refuseAt)
}

// waitingSince returns since when the oldest claim or change waits.
func (s *shard) waitingSince() core.Instant {
	if len(s.pending) > 0 {
		return s.pending[0].arrivedAt
	}
	if len(s.updates) > 0 {
		return s.flushAt
	}
	return core.Never
}

func (s *shard) updateFor(n nonce) *pendingUpdate {
	at := slices.IndexFunc(s.updates, func(ch pendingUpdate) bool { return ch.nonce == n })
	if at < 0 {
		return nil
	}
	return &s.updates[at]
}

// queueUpdate queues an outcome or a removal.
func (c *Claims) queueUpdate(now core.Instant, s *shard, ch pendingUpdate) {
	if len(s.updates) == 0 {
		s.flushAt = now.Add(c.params.OutcomeBatchDelay)
	}
	if len(s.updates) >= c.params.MaxPending {
		// Resends of the dropped one get "unknown".
		s.updates = slices.Delete(s.updates, 0, 1)
		s.countWritable()
	}
	s.updates = append(s.updates, ch)
	if s.isApplicable(ch) {
		s.writableUpdates++
	}
}

// isApplicable reports whether the object holds the claim without the change.
func (s *shard) isApplicable(ch pendingUpdate) bool {
	if s.object == nil {
		return false
	}
	e := s.object.find(ch.key)
	return e != nil && e.nonce == ch.nonce && !e.hasOutcome
}

func (s *shard) countWritable() {
	s.writableUpdates = 0
	for _, ch := range s.updates {
		if s.isApplicable(ch) {
			s.writableUpdates++
		}
	}
}

// dropObsoleteUpdates drops the changes that a new version of the object makes superfluous. A
// claim that is absent may still appear while the shard is unsettled.
func (s *shard) dropObsoleteUpdates() {
	s.updates = slices.DeleteFunc(s.updates, func(ch pendingUpdate) bool {
		return !s.isApplicable(ch) && !s.uncertain
	})
	s.countWritable()
}

// startNextCall starts the next call of a shard, if one is needed and possible.
func (c *Claims) startNextCall(now core.Instant, s *shard) []Output {
	switch {
	case s.write != nil || s.reading || now < s.retryAt:
		return nil
	case s.needsRead():
		s.reading = true
		s.callStartedAt = now
		return []Output{ReadShard{Shard: s.index}}
	case s.needsWrite(now) && c.takeWriteBudget(now):
		return c.startWrite(now, s)
	}
	return nil
}

func (s *shard) needsRead() bool {
	wanted := len(s.pending) > 0 || len(s.updates) > 0
	return wanted && (s.object == nil || s.stale)
}

func (s *shard) needsWrite(now core.Instant) bool {
	return len(s.pending) > 0 || s.writableUpdates > 0 && now >= s.flushAt
}

// shardWake returns the time at which a shard next needs a Tick.
func (c *Claims) shardWake(s *shard) core.Instant {
	wake := s.refuseAt
	if s.write != nil || s.reading {
		return min(wake, s.callStartedAt.Add(2*c.params.StoreTimeout))
	}
	switch {
	case s.needsRead():
		return min(wake, s.retryAt)
	case len(s.pending) > 0:
		return min(wake, max(s.retryAt, c.nextWriteAt()))
	case s.writableUpdates > 0:
		return min(wake, max(s.retryAt, c.nextWriteAt(), s.flushAt))
	}
	return wake
}

// startWrite writes all pending claims and due changes.
func (c *Claims) startWrite(now core.Instant, s *shard) []Output {
	c.removeExpired(now, s)
	d := objectUpdate{updates: s.entryUpdates()}
	size := s.object.size + ownerMaxSize + len(c.self.ID)
	owner := s.object.ownerIndex(c.self)
	var outs []Output
	for _, cl := range s.pending {
		size += claimMaxSize + len(cl.encodedID.encoded)
		switch {
		case c.expired(now, cl):
			c.dropPending(now, s, cl)
			outs = append(outs, RequestRefused{ID: cl.id, Refusal: c.expiredRefusal()})
		case size > c.params.MaxObjectBytes:
			c.dropPending(now, s, cl)
			outs = append(outs, RequestRefused{ID: cl.id, Refusal: c.fullRefusal()})
		default:
			cl.maybeStored = true
			d.added = append(d.added, cl.entry(owner))
		}
	}
	s.compactPending()
	if len(d.added) == 0 && len(d.updates) == 0 {
		return outs
	}
	s.write = &write{base: s.version, update: d}
	s.callStartedAt = now
	return append(outs, WriteShard{
		Shard:       s.index,
		BaseVersion: s.version,
		Object:      s.object.encode(d),
		NotAfter:    now.Add(c.params.StoreTimeout),
	})
}

// removeExpired removes the claims whose retention is over. It scans the object, so that
// it runs 16 times a retention, or when the object is nearly full.
func (c *Claims) removeExpired(now core.Instant, s *shard) {
	full := s.object.size+len(s.pending)*(claimMaxSize+maxRequestIDBytes) > c.params.MaxObjectBytes
	if now < s.nextCleanupAt && !full {
		return
	}
	s.nextCleanupAt = now.Add(c.params.Retention / 16)
	keep := c.params.Retention + 2*c.params.MaxClockSkew
	s.object.removeOlderThan(c.wallTime(now).Add(-keep).Unix())
	s.dropObsoleteUpdates()
}

func (s *shard) entryUpdates() []entryUpdate {
	var patches []entryUpdate
	for _, ch := range s.updates {
		if s.isApplicable(ch) {
			patches = append(patches, entryUpdate{index: s.object.index[ch.key], remove: ch.remove, outcome: ch.outcome})
		}
	}
	slices.SortFunc(patches, func(a, b entryUpdate) int { return cmp.Compare(a.index, b.index) })
	return patches
}

func (cl *claim) entry(owner int) entry {
	return entry{
		key:        cl.key,
		body:       cl.body,
		nonce:      cl.nonce,
		retainFrom: cl.retainFrom,
		owner:      owner,
		request:    cl.encodedID,
	}
}

// fullRefusal refuses a request because no claim may be removed yet.
func (c *Claims) fullRefusal() *core.Refusal {
	refusal := core.NewRefusal(core.CodeNoCapacity, "the store object of this idempotency key is full")
	refusal.RetryAfter = c.params.Retention / 16
	return refusal
}

// OnWritten handles the success of a WriteShard. A version that is not newer than the
// base of the write in flight belongs to an earlier write.
func (c *Claims) OnWritten(now core.Instant, shard int, version uint64) []Output {
	s := c.shards[shard]
	if s.write == nil || version <= s.write.base {
		return nil
	}
	w := s.write
	s.write = nil
	if s.uncertain {
		// The answer may belong to an earlier write on the same base.
		s.stale = true
		return c.startNextCall(now, s)
	}
	s.object.apply(w.update)
	s.version = version
	s.resetBackOff()
	s.dropObsoleteUpdates()
	outs := c.resolvePending(now, s)
	return append(outs, c.startNextCall(now, s)...)
}

// OnWriteFailed handles the failure of a WriteShard.
func (c *Claims) OnWriteFailed(now core.Instant, shard int, why WriteFailure) []Output {
	s := c.shards[shard]
	if s.write == nil {
		return nil
	}
	// The claims of the write stay pending with their nonces. Even a conflict
	// may be the late answer to an earlier write, so that every failure leaves
	// the shard unsettled.
	s.uncertain = true
	s.uncertainBase = max(s.uncertainBase, s.write.base)
	s.write = nil
	s.stale = true
	if why == WriteConflict {
		c.backOffAfterConflict(now, s)
	} else {
		c.backOffAfterFailure(now, s)
	}
	return c.startNextCall(now, s)
}

// backOffAfterConflict retries at once after the first conflict, and later with a short
// jitter. A conflict shows that the store works, so that the back-off of an
// earlier outage ends.
func (c *Claims) backOffAfterConflict(now core.Instant, s *shard) {
	s.failures = 0
	spread := time.Duration(min(s.conflicts, maxConflictJitter)) * minBackOff
	s.conflicts++
	s.retryAt = now.Add(time.Duration(c.jitter.Int64N(int64(spread) + 1)))
}

// OnRead handles the answer to a ReadShard. found is false when the object does not
// exist. An older version than one seen before is a stale read.
func (c *Claims) OnRead(now core.Instant, shard int, data []byte, version uint64, found bool) []Output {
	s := c.shards[shard]
	if !s.reading {
		return nil
	}
	if !found {
		version = 0
	}
	if s.object == nil || version > s.version {
		decoded := newObject()
		if found {
			var err error
			if decoded, err = decode(data); err != nil {
				return c.OnReadFailed(now, shard)
			}
		}
		s.object = decoded
		s.version = version
	}
	s.reading = false
	s.stale = false
	if version > s.uncertainBase {
		s.uncertain = false
	}
	s.dropObsoleteUpdates()
	outs := c.resolvePending(now, s)
	return append(outs, c.startNextCall(now, s)...)
}

// OnReadFailed handles the failure of a ReadShard, or an object that can't be decoded:
// its requests are refused rather than the object replaced.
func (c *Claims) OnReadFailed(now core.Instant, shard int) []Output {
	s := c.shards[shard]
	if !s.reading {
		return nil
	}
	s.reading = false
	s.stale = true
	c.backOffAfterFailure(now, s)
	return nil
}

// backOffAfterFailure sets the time of the next call by decorrelated jitter.
func (c *Claims) backOffAfterFailure(now core.Instant, s *shard) {
	s.failures++
	if s.failures == 1 {
		s.backOff = minBackOff
	}
	spread := 3*s.backOff - minBackOff
	s.backOff = min(maxBackOff, minBackOff+time.Duration(c.jitter.Int64N(int64(spread)+1)))
	s.retryAt = now.Add(s.backOff)
}

// resetBackOff ends the back-off.
func (s *shard) resetBackOff() {
	s.failures = 0
	s.conflicts = 0
}

// resolvePending answers the pending claims that the object shows to be confirmed or
// taken.
func (c *Claims) resolvePending(now core.Instant, s *shard) []Output {
	var outs []Output
	for _, cl := range s.pending {
		e := s.object.find(cl.key)
		if e == nil {
			continue
		}
		if e.nonce == cl.nonce {
			s.resetBackOff()
			outs = append(outs, c.confirm(now, s, cl))
			continue
		}
		if out := c.answerDuplicate(now, s, cl, true); out != nil {
			c.dropPending(now, s, cl)
			outs = append(outs, out)
		}
	}
	s.compactPending()
	return outs
}

// confirm answers a claim that is in the store. The caller compacts the shard.
func (c *Claims) confirm(now core.Instant, s *shard, cl *claim) Output {
	if now >= cl.deadline {
		return c.refusePending(now, s, cl)
	}
	cl.pending = false
	c.pending--
	cl.confirmed = true
	return ClaimConfirmed{ID: cl.id, NotAfter: cl.deadline}
}

// refusePending refuses a pending claim. It is never confirmed after that, so that the
// request is certainly not run.
func (c *Claims) refusePending(now core.Instant, s *shard, cl *claim) Output {
	if cl.awaitsReread {
		if out := c.answerDuplicate(now, s, cl, true); out != nil {
			c.dropPending(now, s, cl)
			return out
		}
	}
	c.dropPending(now, s, cl)
	refusal := core.NewRefusal(core.CodeStoreUnavailable, "the store did not confirm the idempotency key in time")
	refusal.RetryAfter = time.Second
	return RequestRefused{ID: cl.id, Refusal: refusal}
}

// dropPending ends a pending claim and takes it back if a write has held it. The caller
// compacts the shard.
func (c *Claims) dropPending(now core.Instant, s *shard, cl *claim) {
	cl.pending = false
	c.pending--
	c.removeClaim(cl)
	if cl.maybeStored {
		c.queueUpdate(now, s, pendingUpdate{key: cl.key, nonce: cl.nonce, remove: true})
	}
}

// compactPending removes the claims that are no longer pending.
func (s *shard) compactPending() {
	s.pending = slices.DeleteFunc(s.pending, func(cl *claim) bool { return !cl.pending })
	s.refuseAt = core.Never
	for _, cl := range s.pending {
		s.refuseAt = min(s.refuseAt, cl.refuseAt)
	}
}

// handleTimeouts gives up on an answer that did not come and refuses the claims whose
// deadline is near.
func (c *Claims) handleTimeouts(now core.Instant, s *shard) []Output {
	var outs []Output
	if (s.write != nil || s.reading) && now >= s.callStartedAt.Add(2*c.params.StoreTimeout) {
		outs = append(outs, c.OnWriteFailed(now, s.index, ReplyLost)...)
		outs = append(outs, c.OnReadFailed(now, s.index)...)
	}
	if now >= s.refuseAt {
		outs = append(outs, c.refusePendingUntil(now, s, now)...)
	}
	return outs
}

// refusePendingUntil refuses the pending claims whose refuseAt is not after until.
func (c *Claims) refusePendingUntil(now core.Instant, s *shard, until core.Instant) []Output {
	var outs []Output
	for _, cl := range s.pending {
		if cl.refuseAt <= until {
			outs = append(outs, c.refusePending(now, s, cl))
		}
	}
	s.compactPending()
	return outs
}
