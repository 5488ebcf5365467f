package rollout

import (
	"bytes"
	"time"

	"github.com/rhubarbsill/rhubarbsill/pkg/config"
	"github.com/rhubarbsill/rhubarbsill/pkg/core"
)

// rootTimer decides when to read the root. One read of the store and one of a peer
// may be in progress at the same time, so that a slow store does not delay a version
// that a peer has.
type rootTimer struct {
	p     Params
	dueAt core.Instant // of the next read of the store
	// readDelay is the time from a confirmation to the next read of the store. It is
	// drawn once per read: with a new draw for every confirmation of every peer, all
	// Instances reached the longest delay and read at the same time.
	readDelay time.Duration
	storeRead rootRead
	peerRead  rootRead
	// lastStoreRead is the instant of the store's last reply; hasStoreRead is false
	// before the first one.
	lastStoreRead core.Instant
	hasStoreRead  bool
	failures      int
	// retryAt is the earliest instant of a read after a failure of the store.
	retryAt core.Instant
}

// rootRead is a read of the root, in progress if active.
type rootRead struct {
	active   bool
	from     Source
	deadline core.Instant
}

func sameRoot(a, b config.Root) bool { return bytes.Equal(a.Encode(), b.Encode()) }

// recordReply ends the read from a source. After a reply of the store it schedules the
// next read.
func (t *rootTimer) recordReply(now core.Instant, from Source) {
	if !from.IsStore() {
		t.endPeerRead(from)
		return
	}
	t.storeRead.active = false
	t.failures = 0
	t.lastStoreRead, t.hasStoreRead = now, true
	t.readDelay = t.p.ReadInterval + time.Duration(t.p.Random.Int64N(int64(t.p.ReadJitter)+1))
	t.dueAt = now.Add(t.readDelay)
}

func (t *rootTimer) endPeerRead(from Source) {
	if t.peerRead.from == from {
		t.peerRead.active = false
	}
}

// postponeAfterConfirmation postpones the next read of the store after a confirmation
// that was made at the given instant, but not beyond MaxStoreReadInterval after the
// store's last reply.
func (t *rootTimer) postponeAfterConfirmation(at core.Instant) {
	t.dueAt = max(t.dueAt, at.Add(t.readDelay))
	if t.hasStoreRead {
		t.dueAt = min(t.dueAt, t.lastStoreRead.Add(t.p.MaxStoreReadInterval))
	}
}

// recordFailure ends the read from a source and schedules a retry from the store.
func (t *rootTimer) recordFailure(now core.Instant, from Source) {
	if !from.IsStore() {
		t.endPeerRead(from)
		t.scheduleEarlier(now)
		return
	}
	if !t.storeRead.active {
		return
	}
	t.storeRead.active = false
	t.failures++
	t.retryAt = now.Add(backoff(t.p, t.failures))
	t.dueAt = t.retryAt
}

// scheduleEarlier brings the next read of the store forward, because a peer has
// announced a version that it did not deliver. The backoff after a failure of the
// store still applies.
func (t *rootTimer) scheduleEarlier(now core.Instant) {
	t.dueAt = max(t.retryAt, min(t.dueAt, now.Add(jitter(t.p, t.p.RetryMin))))
}

// backoff returns a delay with jitter that doubles with each failure, from RetryMin up
// to RetryMax.
func backoff(p Params, failures int) time.Duration {
	delay := p.RetryMin
	for i := 1; i < failures && delay < p.RetryMax; i++ {
		delay *= 2
	}
	return jitter(p, min(delay, p.RetryMax))
}

// jitter returns a random duration from d/2 to d.
func jitter(p Params, d time.Duration) time.Duration {
	return d/2 + time.Duration(p.Random.Int64N(int64(d)/2+1))
}

// readFromPeer starts a read from a peer unless one is in progress.
func (t *rootTimer) readFromPeer(now core.Instant, peer core.InstanceRef, outs []Output) []Output {
	if t.peerRead.active {
		return outs
	}
	from := Source{Peer: peer}
	t.peerRead = rootRead{active: true, from: from, deadline: now.Add(t.p.CallTimeout)}
	return append(outs, ReadRoot{from})
}

func (t *rootTimer) run(now core.Instant, outs []Output) []Output {
	if t.peerRead.active && now >= t.peerRead.deadline {
		t.recordFailure(now, t.peerRead.from)
	}
	if t.storeRead.active && now >= t.storeRead.deadline {
		t.recordFailure(now, Store)
	}
	if t.storeRead.active || now < t.dueAt {
		return outs
	}
	t.storeRead = rootRead{active: true, from: Store, deadline: now.Add(t.p.CallTimeout)}
	return append(outs, ReadRoot{Store})
}

func (t *rootTimer) nextWake() core.Instant {
	next := t.dueAt
	if t.storeRead.active {
		next = t.storeRead.deadline
	}
	if t.peerRead.active {
		next = core.Earliest(next, t.peerRead.deadline)
	}
	return next
}
