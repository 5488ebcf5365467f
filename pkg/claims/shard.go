package claims

import (
	"cmp"
	"slices"
	"time"

	"github.com/rhubarbsill/rhubarbsill/pkg/core"
)

// Limits of the back-off after a failed store call.
const (
	minBackOff = 5 * time.Millisecond
	maxBackOff = 2 * time.Second
	// maxConflictJitter bounds the jitter after a conflict, as a multiple of
	// minBackOff.
	maxConflictJitter = 10
)

// pendingUpdate is an outcome or a removal of a claim that waits for a write.
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
	object  *object // at version, without expired claims; nil until the first read
	version uint64

	pending  []*claim
	refuseAt core.Instant // earliest refuseAt of pending
	updates  []pendingUpdate
	// writableUpdates is the number of updates whose claim is in the object. The
	// others are removals of claims that an earlier write may still add.
	writableUpdates int
	flushAt         core.Instant

	write         *write
	reading       bool
	callStartedAt core.Instant // start of the store call in progress
	stale         bool
	// uncertain is set while the outcome of a write on uncertainBase is unknown:
	// the write may still take effect, or a delayed reply to it may arrive.
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

// waitingSince returns the time since which the oldest claim or update waits.
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
	i := slices.IndexFunc(s.updates, func(u pendingUpdate) bool { return u.nonce == n })
	if i < 0 {
		return nil
	}
	return &s.updates[i]
}

// queueUpdate queues an outcome or a removal.
func (c *Claims) queueUpdate(now core.Instant, s *shard, u pendingUpdate) {
	if len(s.updates) == 0 {
		s.flushAt = now.Add(c.params.OutcomeBatchDelay)
	}
	if len(s.updates) >= c.params.MaxPending {
		// Duplicates of the request of the dropped update get "unknown".
		s.updates = slices.Delete(s.updates, 0, 1)
		s.countWritable()
	}
	s.updates = append(s.updates, u)
	if s.isApplicable(u) {
		s.writableUpdates++
	}
}

// isApplicable reports whether the object holds the claim of the update without an
// outcome.
func (s *shard) isApplicable(u pendingUpdate) bool {
	if s.object == nil {
		return false
	}
	e := s.object.find(u.key)
	return e != nil && e.nonce == u.nonce && !e.hasOutcome
}

func (s *shard) countWritable() {
	s.writableUpdates = 0
	for _, u := range s.updates {
		if s.isApplicable(u) {
			s.writableUpdates++
		}
	}
}

// dropObsoleteUpdates drops the updates that no longer apply to the object.
// They are kept while the shard is uncertain, because the claim may still appear.
func (s *shard) dropObsoleteUpdates() {
	s.updates = slices.DeleteFunc(s.updates, func(u pendingUpdate) bool {
		return !s.isApplicable(u) && !s.uncertain
	})
	s.countWritable()
}

// startNextCall starts the next store call of a shard, if one is needed and allowed
// now.
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

// startWrite writes all pending claims and writable updates.
func (c *Claims) startWrite(now core.Instant, s *shard) []Output {
	c.removeExpired(now, s)
	update := objectUpdate{updates: s.entryUpdates()}
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
			update.added = append(update.added, cl.entry(owner))
		}
	}
	s.compactPending()
	if len(update.added) == 0 && len(update.updates) == 0 {
		return outs
	}
	s.write = &write{base: s.version, update: update}
	s.callStartedAt = now
	return append(outs, WriteShard{
		Shard:       s.index,
		BaseVersion: s.version,
		Object:      s.object.encode(update),
		NotAfter:    now.Add(c.params.StoreTimeout),
	})
}

// removeExpired removes the claims whose retention has ended. Because it scans the
// object, it runs only every sixteenth of the retention and when the object is
// nearly full.
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
	var updates []entryUpdate
	for _, u := range s.updates {
		if s.isApplicable(u) {
			updates = append(updates, entryUpdate{index: s.object.index[u.key], remove: u.remove, outcome: u.outcome})
		}
	}
	slices.SortFunc(updates, func(a, b entryUpdate) int { return cmp.Compare(a.index, b.index) })
	return updates
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

// fullRefusal refuses a request whose claim doesn't fit into the object while no
// other claim may be removed yet.
func (c *Claims) fullRefusal() *core.Refusal {
	refusal := core.NewRefusal(core.CodeNoCapacity, "the store object of this idempotency key is full")
	refusal.RetryAfter = c.params.Retention / 16
	return refusal
}

// OnWritten handles the success of a WriteShard. A version that is not newer than
// the base of the write in flight is the reply to an earlier write and is ignored.
func (c *Claims) OnWritten(now core.Instant, shard int, version uint64) []Output {
	s := c.shards[shard]
	if s.write == nil || version <= s.write.base {
		return nil
	}
	w := s.write
	s.write = nil
	if s.uncertain {
		// The reply may belong to an earlier write on the same base.
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
	// The claims of the write stay pending with their nonces. Every failure makes
	// the shard uncertain, even a conflict, which may be the delayed reply to an
	// earlier write.
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

// backOffAfterConflict retries immediately after the first conflict and with a
// short jitter after further ones. It also ends the back-off of an earlier outage,
// because a conflict shows that the store works.
func (c *Claims) backOffAfterConflict(now core.Instant, s *shard) {
	s.failures = 0
	spread := time.Duration(min(s.conflicts, maxConflictJitter)) * minBackOff
	s.conflicts++
	s.retryAt = now.Add(time.Duration(c.jitter.Int64N(int64(spread) + 1)))
}

// OnRead handles the reply to a ReadShard. found is false when the object does not
// exist. The content of a stale read, one with an older version than the shard has,
// is ignored.
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

// OnReadFailed handles the failure of a ReadShard, or an object that can't be
// decoded. Such an object is never replaced; its requests are refused at their
// deadlines.
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

// backOffAfterFailure sets the time of the next store call by decorrelated jitter.
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

// resolvePending confirms the pending claims that the object holds and refuses or
// answers those whose key it shows as claimed by another request.
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

// confirm confirms a claim that is in the store, or refuses it after its deadline.
// The caller must call compactPending.
func (c *Claims) confirm(now core.Instant, s *shard, cl *claim) Output {
	if now >= cl.deadline {
		return c.refusePending(now, s, cl)
	}
	cl.pending = false
	c.pending--
	cl.confirmed = true
	return ClaimConfirmed{ID: cl.id, NotAfter: cl.deadline}
}

// refusePending refuses a pending claim. The claim is never confirmed afterwards,
// so the request certainly doesn't run.
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

// dropPending ends a pending claim, and queues its release if a write may have
// stored it. The caller must call compactPending.
func (c *Claims) dropPending(now core.Instant, s *shard, cl *claim) {
	cl.pending = false
	c.pending--
	c.removeClaim(cl)
	if cl.maybeStored {
		c.queueUpdate(now, s, pendingUpdate{key: cl.key, nonce: cl.nonce, remove: true})
	}
}

// compactPending removes the claims that are no longer pending from the list.
func (s *shard) compactPending() {
	s.pending = slices.DeleteFunc(s.pending, func(cl *claim) bool { return !cl.pending })
	s.refuseAt = core.Never
	for _, cl := range s.pending {
		s.refuseAt = min(s.refuseAt, cl.refuseAt)
	}
}

// handleTimeouts treats an overdue store call as failed and refuses the claims
// whose deadline is near.
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

// refusePendingUntil refuses the pending claims whose refuseAt is not later than
// until.
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
