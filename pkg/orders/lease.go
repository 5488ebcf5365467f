package orders

import (
	"encoding/json"
	"slices"

	"github.com/rhubarbsill/rhubarbsill/pkg/core"
)

// advanceLease starts the next call of the store. Only one is in progress.
func (c *Controller) advanceLease(now core.Instant) []Output {
	if c.readInFlight || c.writeInFlight != nil || now < c.nextStoreCallAt {
		return nil
	}
	if c.resigning && c.holds(now) && !c.noOrderInFlight(now) {
		// The successor takes a released lease at once. An order that may still be
		// executed would then follow its orders.
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
		// No order may follow, whatever becomes of the write.
		c.fence = 0
	}
	return []Output{WriteLease{Base: c.leaseVersion, Value: value}}
}

// noOrderInFlight reports whether no order that this Instance has sent may be executed
// any more. If not, it looks again later.
func (c *Controller) noOrderInFlight(now core.Instant) bool {
	until := max(now, c.mayExecuteUntil)
	for _, u := range c.upstreams {
		until = max(until, u.mayExecuteUntil)
	}
	c.nextStoreCallAt = min(until, c.termEnd)
	return until <= now
}

// mayWrite reports whether the lease is the own one or certainly over.
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
		// The answer may belong to an earlier write on the same base.
		c.addUnresolvedWrite(w)
		c.mustReadLease = true
		c.nextStoreCallAt = now
		return c.advance(now)
	}
	c.applyWrite(now, w, version)
	return c.advance(now)
}

// OnLeaseWriteFailed handles the failure of a WriteLease. After any failure the
// write may have taken effect, which only a read of a later version settles.
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

// maxUnresolvedWrites bounds the own writes of which the outcome is unknown. A write
// that is forgotten is taken for another Instance's.
const maxUnresolvedWrites = 8

func (c *Controller) addUnresolvedWrite(w leaseWrite) {
	c.unresolvedWrites = append(c.unresolvedWrites, w)
	if len(c.unresolvedWrites) > maxUnresolvedWrites {
		c.unresolvedWrites = slices.Delete(c.unresolvedWrites, 0, 1)
	}
}

// OnLeaseRead handles the answer to a ReadLease. An older version than one seen
// before is a stale read.
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

// recordLease notes a newer version of the lease.
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
	// Another Instance has written, so that the own term is over.
	c.fence = 0
}

// resolveWrites notes that the store rejects the writes on older bases from now on. A
// write on the present base may be repeated: the store accepts only one of them.
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

// applyWrite notes that an own write took effect. The term counts from its sending.
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
