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

// change is an outcome or a removal that waits for a write.
type change struct {
	key     keyDigest
	nonce   nonce
	remove  bool
	outcome Outcome
}

// write is a write in flight.
type write struct {
	base  uint64
	delta delta
}

// shard is one store object and the claims that wait for it.
type shard struct {
	index   int
	object  *object // as of version, without expired claims; nil until read
	version uint64

	pending  []*claim
	refuseAt core.Instant // earliest refuseAt of pending
	changes  []change
	// due is the number of changes to claims that the object holds. The rest
	// are removals of claims that may still appear.
	due     int
	flushAt core.Instant

	write    *write
	reading  bool
	calledAt core.Instant // start of the call in progress
	mustRead bool
	// unsettled is set while a write on unsettledBase without a success may
	// take effect, or a late answer to it may arrive.
	unsettled     bool
	unsettledBase uint64

	failures  int // since the last success or conflict
	conflicts int // since the last success
	backOff   time.Duration
	retryAt   core.Instant
	cleanAt   core.Instant
}

func (s *shard) add(cl *claim) {
	cl.pending = true
	s.pending = append(s.pending, cl)
	s.refuseAt = min(s.refuseAt, cl.refuseAt)
}

// waitingSince returns since when the oldest claim or change waits.
func (s *shard) waitingSince() core.Instant {
	if len(s.pending) > 0 {
		return s.pending[0].arrived
	}
	if len(s.changes) > 0 {
		return s.flushAt
	}
	return core.Never
}

func (s *shard) changeOf(n nonce) *change {
	at := slices.IndexFunc(s.changes, func(ch change) bool { return ch.nonce == n })
	if at < 0 {
		return nil
	}
	return &s.changes[at]
}

// change queues an outcome or a removal.
func (c *Claims) change(now core.Instant, s *shard, ch change) {
	if len(s.changes) == 0 {
		s.flushAt = now.Add(c.p.OutcomeBatchDelay)
	}
	if len(s.changes) >= c.p.MaxPending {
		// Resends of the dropped one get "unknown".
		s.changes = slices.Delete(s.changes, 0, 1)
		s.countDue()
	}
	s.changes = append(s.changes, ch)
	if s.applies(ch) {
		s.due++
	}
}

// applies reports whether the object holds the claim without the change.
func (s *shard) applies(ch change) bool {
	if s.object == nil {
		return false
	}
	e := s.object.find(ch.key)
	return e != nil && e.nonce == ch.nonce && !e.done
}

func (s *shard) countDue() {
	s.due = 0
	for _, ch := range s.changes {
		if s.applies(ch) {
			s.due++
		}
	}
}

// prune drops the changes that a new version of the object makes superfluous. A
// claim that is absent may still appear while the shard is unsettled.
func (s *shard) prune() {
	s.changes = slices.DeleteFunc(s.changes, func(ch change) bool {
		return !s.applies(ch) && !s.unsettled
	})
	s.countDue()
}

// advance starts the next call of a shard, if one is needed and possible.
func (c *Claims) advance(now core.Instant, s *shard) []Output {
	switch {
	case s.write != nil || s.reading || now < s.retryAt:
		return nil
	case s.needsRead():
		s.reading = true
		s.calledAt = now
		return []Output{ReadShard{Shard: s.index}}
	case s.needsWrite(now) && c.mayWrite(now):
		return c.startWrite(now, s)
	}
	return nil
}

func (s *shard) needsRead() bool {
	wanted := len(s.pending) > 0 || len(s.changes) > 0
	return wanted && (s.object == nil || s.mustRead)
}

func (s *shard) needsWrite(now core.Instant) bool {
	return len(s.pending) > 0 || s.due > 0 && now >= s.flushAt
}

// shardWake returns the time at which a shard next needs a Tick.
func (c *Claims) shardWake(s *shard) core.Instant {
	wake := s.refuseAt
	if s.write != nil || s.reading {
		return min(wake, s.calledAt.Add(2*c.p.StoreTimeout))
	}
	switch {
	case s.needsRead():
		return min(wake, s.retryAt)
	case len(s.pending) > 0:
		return min(wake, max(s.retryAt, c.nextWrite()))
	case s.due > 0:
		return min(wake, max(s.retryAt, c.nextWrite(), s.flushAt))
	}
	return wake
}

// startWrite writes all pending claims and due changes.
func (c *Claims) startWrite(now core.Instant, s *shard) []Output {
	c.clean(now, s)
	d := delta{patches: s.patches()}
	size := s.object.size + ownerBound + len(c.self.ID)
	owner := s.object.ownerIndex(c.self)
	var outs []Output
	for _, cl := range s.pending {
		size += claimBound + len(cl.name.packed)
		switch {
		case c.expired(now, cl):
			c.drop(now, s, cl)
			outs = append(outs, RequestRefused{ID: cl.id, Refusal: c.expiredRefusal()})
		case size > c.p.MaxObjectBytes:
			c.drop(now, s, cl)
			outs = append(outs, RequestRefused{ID: cl.id, Refusal: c.fullRefusal()})
		default:
			cl.sent = true
			d.add = append(d.add, cl.entry(owner))
		}
	}
	s.compact()
	if len(d.add) == 0 && len(d.patches) == 0 {
		return outs
	}
	s.write = &write{base: s.version, delta: d}
	s.calledAt = now
	return append(outs, WriteShard{
		Shard:       s.index,
		BaseVersion: s.version,
		Object:      s.object.encode(d),
		NotAfter:    now.Add(c.p.StoreTimeout),
	})
}

// clean removes the claims whose retention is over. It scans the object, so that
// it runs 16 times a retention, or when the object is nearly full.
func (c *Claims) clean(now core.Instant, s *shard) {
	full := s.object.size+len(s.pending)*(claimBound+maxRequestIDBytes) > c.p.MaxObjectBytes
	if now < s.cleanAt && !full {
		return
	}
	s.cleanAt = now.Add(c.p.Retention / 16)
	keep := c.p.Retention + 2*c.p.MaxClockSkew
	s.object.expire(c.wallTime(now).Add(-keep).Unix())
	s.prune()
}

func (s *shard) patches() []patch {
	var patches []patch
	for _, ch := range s.changes {
		if s.applies(ch) {
			patches = append(patches, patch{at: s.object.index[ch.key], remove: ch.remove, outcome: ch.outcome})
		}
	}
	slices.SortFunc(patches, func(a, b patch) int { return cmp.Compare(a.at, b.at) })
	return patches
}

func (cl *claim) entry(owner int) entry {
	return entry{
		key:     cl.key,
		body:    cl.body,
		nonce:   cl.nonce,
		kept:    cl.kept,
		owner:   owner,
		request: cl.name,
	}
}

// fullRefusal refuses a request because no claim may be removed yet.
func (c *Claims) fullRefusal() *core.Refusal {
	refusal := core.NewRefusal(core.CodeNoCapacity, "the store object of this idempotency key is full")
	refusal.RetryAfter = c.p.Retention / 16
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
	if s.unsettled {
		// The answer may belong to an earlier write on the same base.
		s.mustRead = true
		return c.advance(now, s)
	}
	s.object.apply(w.delta)
	s.version = version
	s.succeeded()
	s.prune()
	outs := c.resolve(now, s)
	return append(outs, c.advance(now, s)...)
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
	s.unsettled = true
	s.unsettledBase = max(s.unsettledBase, s.write.base)
	s.write = nil
	s.mustRead = true
	if why == WriteConflict {
		c.conflicted(now, s)
	} else {
		c.failed(now, s)
	}
	return c.advance(now, s)
}

// conflicted retries at once after the first conflict, and later with a short
// jitter. A conflict shows that the store works, so that the back-off of an
// earlier outage ends.
func (c *Claims) conflicted(now core.Instant, s *shard) {
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
	s.mustRead = false
	if version > s.unsettledBase {
		s.unsettled = false
	}
	s.prune()
	outs := c.resolve(now, s)
	return append(outs, c.advance(now, s)...)
}

// OnReadFailed handles the failure of a ReadShard, or an object that can't be decoded:
// its requests are refused rather than the object replaced.
func (c *Claims) OnReadFailed(now core.Instant, shard int) []Output {
	s := c.shards[shard]
	if !s.reading {
		return nil
	}
	s.reading = false
	s.mustRead = true
	c.failed(now, s)
	return nil
}

// failed sets the time of the next call by decorrelated jitter.
func (c *Claims) failed(now core.Instant, s *shard) {
	s.failures++
	if s.failures == 1 {
		s.backOff = minBackOff
	}
	spread := 3*s.backOff - minBackOff
	s.backOff = min(maxBackOff, minBackOff+time.Duration(c.jitter.Int64N(int64(spread)+1)))
	s.retryAt = now.Add(s.backOff)
}

// succeeded ends the back-off.
func (s *shard) succeeded() {
	s.failures = 0
	s.conflicts = 0
}

// resolve answers the pending claims that the object shows to be confirmed or
// taken.
func (c *Claims) resolve(now core.Instant, s *shard) []Output {
	var outs []Output
	for _, cl := range s.pending {
		e := s.object.find(cl.key)
		if e == nil {
			continue
		}
		if e.nonce == cl.nonce {
			s.succeeded()
			outs = append(outs, c.confirm(now, s, cl))
			continue
		}
		if out := c.resend(now, s, cl, true); out != nil {
			c.drop(now, s, cl)
			outs = append(outs, out)
		}
	}
	s.compact()
	return outs
}

// confirm answers a claim that is in the store. The caller compacts the shard.
func (c *Claims) confirm(now core.Instant, s *shard, cl *claim) Output {
	if now >= cl.deadline {
		return c.abandon(now, s, cl)
	}
	cl.pending = false
	c.pending--
	cl.confirmed = true
	return ClaimConfirmed{ID: cl.id, NotAfter: cl.deadline}
}

// abandon refuses a pending claim. It is never confirmed after that, so that the
// request is certainly not run.
func (c *Claims) abandon(now core.Instant, s *shard, cl *claim) Output {
	if cl.reread {
		if out := c.resend(now, s, cl, true); out != nil {
			c.drop(now, s, cl)
			return out
		}
	}
	c.drop(now, s, cl)
	refusal := core.NewRefusal(core.CodeStoreUnavailable, "the store did not confirm the idempotency key in time")
	refusal.RetryAfter = time.Second
	return RequestRefused{ID: cl.id, Refusal: refusal}
}

// drop ends a pending claim and takes it back if a write has held it. The caller
// compacts the shard.
func (c *Claims) drop(now core.Instant, s *shard, cl *claim) {
	cl.pending = false
	c.pending--
	c.forget(cl)
	if cl.sent {
		c.change(now, s, change{key: cl.key, nonce: cl.nonce, remove: true})
	}
}

// compact removes the claims that are no longer pending.
func (s *shard) compact() {
	s.pending = slices.DeleteFunc(s.pending, func(cl *claim) bool { return !cl.pending })
	s.refuseAt = core.Never
	for _, cl := range s.pending {
		s.refuseAt = min(s.refuseAt, cl.refuseAt)
	}
}

// expire gives up on an answer that did not come and refuses the claims whose
// deadline is near.
func (c *Claims) expire(now core.Instant, s *shard) []Output {
	var outs []Output
	if (s.write != nil || s.reading) && now >= s.calledAt.Add(2*c.p.StoreTimeout) {
		outs = append(outs, c.OnWriteFailed(now, s.index, ReplyLost)...)
		outs = append(outs, c.OnReadFailed(now, s.index)...)
	}
	if now >= s.refuseAt {
		outs = append(outs, c.abandonPending(now, s, now)...)
	}
	return outs
}

// abandonPending refuses the pending claims whose refuseAt is not after until.
func (c *Claims) abandonPending(now core.Instant, s *shard, until core.Instant) []Output {
	var outs []Output
	for _, cl := range s.pending {
		if cl.refuseAt <= until {
			outs = append(outs, c.abandon(now, s, cl))
		}
	}
	s.compact()
	return outs
}
