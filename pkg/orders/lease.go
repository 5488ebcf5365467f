package orders

import (
	"encoding/json"
	"slices"

	"github.com/rhubarbsill/rhubarbsill/pkg/core"
)

// advanceLease starts the next call of the store if it is due. At most one is in
// progress.
func (c *Controller) advanceLease(now core.Instant) []Output {
	if c.readInFlight || c.writeInFlight != nil || now < c.nextStoreCallAt {
		return nil
	}
	if c.resigning && c.holds(now) && !c.noOrderMayExecute(now) {
		// The next holder acquires a released lease immediately. An order of this
		// Instance that may still be executed could then follow its orders.
		return nil
	}
	c.storeCallStartedAt = now
	if !c.leaseKnown || c.mustReadLease || !c.mayWrite(now) {
		c.readInFlight = true
		return []Output{ReadLease{}}
	}
	lease := Lease{Holder: c.self, Config: max(c.configVersion, c.lease.Config)}
	if c.holds(now) {
		lease.Fence = c.fence
		lease.Released = c.resigning
	}
	nonce, err := newNonce(c.p.Random)
	if err != nil {
		c.nextStoreCallAt = now.Add(c.p.RetryInterval)
		return nil
	}
	lease.Nonce = nonce
	value, err := json.Marshal(lease)
	if err != nil {
		c.nextStoreCallAt = now.Add(c.p.RetryInterval)
		return nil
	}
	c.writeInFlight = &leaseWrite{base: c.leaseVersion, lease: lease, sentAt: now}
	if lease.Released {
		// No order may follow, whatever the outcome of the write.
		c.fence = 0
	}
	return []Output{WriteLease{Base: c.leaseVersion, Value: value}}
}

// noOrderMayExecute reports whether no order that this Instance has sent can still be
// executed. Otherwise it delays the next call of the store until that is so or the
// term has ended.
func (c *Controller) noOrderMayExecute(now core.Instant) bool {
	until := max(now, c.mayExecuteUntil)
	for _, u := range c.upstreams {
		until = max(until, u.mayExecuteUntil)
	}
	c.nextStoreCallAt = min(until, c.termEnd)
	return until <= now
}

// mayWrite reports whether this Instance may write the lease: it holds the lease, or
// the lease is free and this Instance is neither resigning nor at an older
// configuration than the lease. A lease is free when it does not exist, was released,
// names this Instance, or has certainly expired.
func (c *Controller) mayWrite(now core.Instant) bool {
	switch {
	case c.holds(now):
		return true
	case c.resigning || c.configVersion < c.lease.Config:
		return false
	case c.leaseVersion == 0 || c.lease.Released || c.lease.Holder == c.self:
		return true
	}
	return now >= c.leaseSeenAt.Add(c.p.Term*candidatePercent/100)
}

// OnLeaseWritten handles the success of a WriteLease.
func (c *Controller) OnLeaseWritten(now core.Instant, version uint64) []Output {
	if c.writeInFlight == nil || version <= c.writeInFlight.base {
		return nil
	}
	w := *c.writeInFlight
	c.writeInFlight = nil
	if c.hasUnknownOutcome {
		// The reply may belong to an earlier write on the same base.
		c.addUnresolvedWrite(w)
		c.mustReadLease = true
		c.nextStoreCallAt = now
		return c.advance(now)
	}
	c.applyWrite(now, w, version)
	return c.advance(now)
}

// OnLeaseWriteFailed handles the failure of a WriteLease. After any failure the write
// may have taken effect; only a read of a later version resolves its outcome.
func (c *Controller) OnLeaseWriteFailed(now core.Instant, why Failure) []Output {
	if c.writeInFlight == nil {
		return nil
	}
	c.addUnresolvedWrite(*c.writeInFlight)
	c.hasUnknownOutcome = true
	c.unknownOutcomeBase = max(c.unknownOutcomeBase, c.writeInFlight.base)
	c.writeInFlight = nil
	c.mustReadLease = true
	c.nextStoreCallAt = now
	if why != Conflict {
		c.nextStoreCallAt = now.Add(c.p.RetryInterval)
	}
	return c.advance(now)
}

// maxUnresolvedWrites bounds the recorded writes of this Instance whose outcome is
// unknown. A write that is no longer recorded counts as another Instance's.
const maxUnresolvedWrites = 8

func (c *Controller) addUnresolvedWrite(w leaseWrite) {
	c.unresolvedWrites = append(c.unresolvedWrites, w)
	if len(c.unresolvedWrites) > maxUnresolvedWrites {
		c.unresolvedWrites = slices.Delete(c.unresolvedWrites, 0, 1)
	}
}

// OnLeaseRead handles the result of a ReadLease. A version older than the last one
// seen is a stale read and ignored.
func (c *Controller) OnLeaseRead(now core.Instant, value []byte, version uint64, found bool) []Output {
	if !c.readInFlight {
		return nil
	}
	c.readInFlight = false
	c.nextStoreCallAt = now.Add(c.p.PollInterval)
	if !found {
		version = 0
	}
	c.mustReadLease = false
	if version < c.leaseVersion {
		return c.advance(now)
	}
	if version > c.leaseVersion || !c.leaseKnown {
		lease := Lease{}
		if found {
			var err error
			if lease, err = decodeLease(value); err != nil {
				return c.advance(now)
			}
		}
		c.recordLease(now, lease, version)
	}
	c.resolveWrites(now)
	return c.advance(now)
}

// OnLeaseReadFailed handles the failure of a ReadLease.
func (c *Controller) OnLeaseReadFailed(now core.Instant) []Output {
	if !c.readInFlight {
		return nil
	}
	c.readInFlight = false
	c.nextStoreCallAt = now.Add(c.p.RetryInterval)
	return c.advance(now)
}

// recordLease records a newer version of the lease, which this or another Instance
// wrote.
func (c *Controller) recordLease(now core.Instant, lease Lease, version uint64) {
	at := slices.IndexFunc(c.unresolvedWrites, func(w leaseWrite) bool { return w.lease.Nonce == lease.Nonce })
	if at >= 0 && version != 0 {
		c.applyWrite(now, c.unresolvedWrites[at], version)
		return
	}
	c.leaseKnown = true
	c.leaseVersion = version
	c.lease = lease
	c.leaseSeenAt = now
	// Another Instance has written the lease, so this Instance's term has ended.
	c.fence = 0
}

// resolveWrites discards the writes on older versions, which the store rejects from now
// on. A write on the current version may be retried, as the store accepts only one of
// them.
func (c *Controller) resolveWrites(now core.Instant) {
	c.unresolvedWrites = slices.DeleteFunc(c.unresolvedWrites, func(w leaseWrite) bool { return w.base < c.leaseVersion })
	if c.leaseVersion > c.unknownOutcomeBase {
		c.hasUnknownOutcome = false
	}
	switch {
	case !c.mayWrite(now):
	case c.hasUnknownOutcome:
		c.nextStoreCallAt = now.Add(c.p.RetryInterval)
	case !c.holds(now):
		c.nextStoreCallAt = now
	}
}

// applyWrite records that a write of this Instance took effect. The term counts from
// the sending of the write.
func (c *Controller) applyWrite(now core.Instant, w leaseWrite, version uint64) {
	c.leaseKnown = true
	c.leaseVersion = version
	c.lease = w.lease
	c.leaseSeenAt = now
	c.nextStoreCallAt = now.Add(c.p.Term / 3)
	if w.lease.Holder != c.self || w.lease.Released {
		c.fence = 0
		return
	}
	c.fence = w.lease.Fence
	if c.fence == 0 {
		c.heldSince = now
		c.fence = core.FencingToken(version)
	}
	c.termEnd = w.sentAt.Add(c.p.Term * holderPercent / 100)
	if c.termEnd <= now {
		c.fence = 0
		c.nextStoreCallAt = now
	}
}
