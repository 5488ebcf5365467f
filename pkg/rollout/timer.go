package rollout

import (
	"bytes"
	"time"

	"github.com/rhubarbsill/rhubarbsill/pkg/config"
	"github.com/rhubarbsill/rhubarbsill/pkg/core"
)

// rootTimer decides when to read the root. One read of the store and one of a
// peer may be under way, so that a slow store does not hold up a version that a
// peer has.
type rootTimer struct {
	p   Params
	due core.Instant
	// wait is the time from a confirmation to the next read. It is drawn once for
	// each own read: a new draw for every confirmation of every peer moved all
	// Instances to the longest wait, where they read at the same time.
	wait  time.Duration
	store call
	peer  call
	// lastOwn is the instant of the last answer of the store; ownRead is false
	// before the first.
	lastOwn  core.Instant
	ownRead  bool
	failures int
	// retryAt is the earliest instant of a read after a failure of the store.
	retryAt core.Instant
}

// call is a read that may be under way.
type call struct {
	active   bool
	from     Source
	deadline core.Instant
}

func sameRoot(a, b config.Root) bool { return bytes.Equal(a.Encode(), b.Encode()) }

// answered ends the read of a source.
func (t *rootTimer) answered(now core.Instant, from Source) {
	if !from.IsStore() {
		t.endPeer(from)
		return
	}
	t.store.active = false
	t.failures = 0
	t.lastOwn, t.ownRead = now, true
	t.wait = t.p.ReadInterval + time.Duration(t.p.Random.Int64N(int64(t.p.ReadJitter)+1))
	t.due = now.Add(t.wait)
}

func (t *rootTimer) endPeer(from Source) {
	if t.peer.from == from {
		t.peer.active = false
	}
}

// confirmed puts off the next read after a confirmation that was made at the
// given instant, but not beyond MaxStoreReadInterval after the last own read.
func (t *rootTimer) confirmed(at core.Instant) {
	t.due = max(t.due, at.Add(t.wait))
	if t.ownRead {
		t.due = min(t.due, t.lastOwn.Add(t.p.MaxStoreReadInterval))
	}
}

// failed ends the read of a source and plans a retry with the store.
func (t *rootTimer) failed(now core.Instant, from Source) {
	if !from.IsStore() {
		t.endPeer(from)
		t.hasten(now)
		return
	}
	if !t.store.active {
		return
	}
	t.store.active = false
	t.failures++
	t.retryAt = now.Add(backoff(t.p, t.failures))
	t.due = t.retryAt
}

// hasten brings the next read of the store forward, because a peer has announced
// a version that it did not deliver. The wait after a failure of the store stays.
func (t *rootTimer) hasten(now core.Instant) {
	t.due = max(t.retryAt, min(t.due, now.Add(jitter(t.p, t.p.RetryMin))))
}

// backoff returns a wait that doubles with each failure.
func backoff(p Params, failures int) time.Duration {
	wait := p.RetryMin
	for i := 1; i < failures && wait < p.RetryMax; i++ {
		wait *= 2
	}
	return jitter(p, min(wait, p.RetryMax))
}

// jitter returns a random part of d of at least one half.
func jitter(p Params, d time.Duration) time.Duration {
	return d/2 + time.Duration(p.Random.Int64N(int64(d)/2+1))
}

// readFromPeer starts a read of a peer unless one is under way.
func (t *rootTimer) readFromPeer(now core.Instant, peer core.InstanceRef, outs []Output) []Output {
	if t.peer.active {
		return outs
	}
	from := Source{Peer: peer}
	t.peer = call{active: true, from: from, deadline: now.Add(t.p.CallTimeout)}
	return append(outs, ReadRoot{from})
}

func (t *rootTimer) run(now core.Instant, outs []Output) []Output {
	if t.peer.active && now >= t.peer.deadline {
		t.failed(now, t.peer.from)
	}
	if t.store.active && now >= t.store.deadline {
		t.failed(now, Store)
	}
	if t.store.active || now < t.due {
		return outs
	}
	t.store = call{active: true, from: Store, deadline: now.Add(t.p.CallTimeout)}
	return append(outs, ReadRoot{Store})
}

func (t *rootTimer) nextWake() core.Instant {
	next := t.due
	if t.store.active {
		next = t.store.deadline
	}
	if t.peer.active {
		next = core.Earliest(next, t.peer.deadline)
	}
	return next
}
