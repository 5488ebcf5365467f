package orders

import (
	"encoding/json"
	"slices"

	"github.com/rhubarbsill/rhubarbsill/pkg/core"
)

// advanceLease starts the next call of the store. Only one is in progress.
func (o *Controller) advanceLease(now core.Instant) []Output {
	if o.reading || o.writing != nil || now < o.callAt {
		return nil
	}
	if o.resigning && o.holds(now) && !o.settled(now) {
		// The successor takes a released lease at once. An order that may still be
		// executed would then follow its orders.
		return nil
	}
	o.startedAt = now
	if !o.known || o.mustRead || !o.mayWrite(now) {
		o.reading = true
		return []Output{ReadLease{}}
	}
	lease := Lease{Holder: o.self, Config: max(o.config, o.lease.Config)}
	if o.holds(now) {
		lease.Fence = o.fence
		lease.Released = o.resigning
	}
	nonce, err := newNonce(o.p.Random)
	if err != nil {
		o.callAt = now.Add(o.p.RetryInterval)
		return nil
	}
	lease.Nonce = nonce
	value, err := json.Marshal(lease)
	if err != nil {
		o.callAt = now.Add(o.p.RetryInterval)
		return nil
	}
	o.writing = &leaseWrite{base: o.version, lease: lease, at: now}
	if lease.Released {
		// No order may follow, whatever becomes of the write.
		o.fence = 0
	}
	return []Output{WriteLease{Base: o.version, Value: value}}
}

// settled reports whether no order that this Instance has sent may be executed
// any more. If not, it looks again later.
func (o *Controller) settled(now core.Instant) bool {
	until := max(now, o.runsUntil)
	for _, u := range o.upstreams {
		until = max(until, u.runsUntil)
	}
	o.callAt = min(until, o.termEnd)
	return until <= now
}

// mayWrite reports whether the lease is the own one or certainly over.
func (o *Controller) mayWrite(now core.Instant) bool {
	switch {
	case o.holds(now):
		return true
	case o.resigning || o.config < o.lease.Config:
		return false
	case o.version == 0 || o.lease.Released || o.lease.Holder == o.self:
		return true
	}
	return now >= o.seenAt.Add(o.p.Term*candidatePercent/100)
}

// OnLeaseWritten handles the success of a WriteLease.
func (o *Controller) OnLeaseWritten(now core.Instant, version uint64) []Output {
	if o.writing == nil || version <= o.writing.base {
		return nil
	}
	w := *o.writing
	o.writing = nil
	if o.unsettled {
		// The answer may belong to an earlier write on the same base.
		o.remember(w)
		o.mustRead = true
		o.callAt = now
		return o.advance(now)
	}
	o.adopt(now, w, version)
	return o.advance(now)
}

// OnLeaseWriteFailed handles the failure of a WriteLease. After any failure the
// write may have taken effect, which only a read of a later version settles.
func (o *Controller) OnLeaseWriteFailed(now core.Instant, why Failure) []Output {
	if o.writing == nil {
		return nil
	}
	o.remember(*o.writing)
	o.unsettled = true
	o.unsettledBase = max(o.unsettledBase, o.writing.base)
	o.writing = nil
	o.mustRead = true
	o.callAt = now
	if why != Conflict {
		o.callAt = now.Add(o.p.RetryInterval)
	}
	return o.advance(now)
}

// maxRemembered bounds the own writes of which the outcome is unknown. A write
// that is forgotten is taken for another Instance's.
const maxRemembered = 8

func (o *Controller) remember(w leaseWrite) {
	o.sent = append(o.sent, w)
	if len(o.sent) > maxRemembered {
		o.sent = slices.Delete(o.sent, 0, 1)
	}
}

// OnLeaseRead handles the answer to a ReadLease. An older version than one seen
// before is a stale read.
func (o *Controller) OnLeaseRead(now core.Instant, value []byte, version uint64, found bool) []Output {
	if !o.reading {
		return nil
	}
	o.reading = false
	o.callAt = now.Add(o.p.PollInterval)
	if !found {
		version = 0
	}
	o.mustRead = false
	if version < o.version {
		return o.advance(now)
	}
	if version > o.version || !o.known {
		lease := Lease{}
		if found {
			var err error
			if lease, err = decodeLease(value); err != nil {
				return o.advance(now)
			}
		}
		o.observe(now, lease, version)
	}
	o.settle(now)
	return o.advance(now)
}

// OnLeaseReadFailed handles the failure of a ReadLease.
func (o *Controller) OnLeaseReadFailed(now core.Instant) []Output {
	if !o.reading {
		return nil
	}
	o.reading = false
	o.callAt = now.Add(o.p.RetryInterval)
	return o.advance(now)
}

// observe notes a newer version of the lease.
func (o *Controller) observe(now core.Instant, lease Lease, version uint64) {
	at := slices.IndexFunc(o.sent, func(w leaseWrite) bool { return w.lease.Nonce == lease.Nonce })
	if at >= 0 && version != 0 {
		o.adopt(now, o.sent[at], version)
		return
	}
	o.known = true
	o.version = version
	o.lease = lease
	o.seenAt = now
	// Another Instance has written, so that the own term is over.
	o.fence = 0
}

// settle notes that the store rejects the writes on older bases from now on. A
// write on the present base may be repeated: the store accepts only one of them.
func (o *Controller) settle(now core.Instant) {
	o.sent = slices.DeleteFunc(o.sent, func(w leaseWrite) bool { return w.base < o.version })
	if o.version > o.unsettledBase {
		o.unsettled = false
	}
	switch {
	case !o.mayWrite(now):
	case o.unsettled:
		o.callAt = now.Add(o.p.RetryInterval)
	case !o.holds(now):
		o.callAt = now
	}
}

// adopt notes that an own write took effect. The term counts from its sending.
func (o *Controller) adopt(now core.Instant, w leaseWrite, version uint64) {
	o.known = true
	o.version = version
	o.lease = w.lease
	o.seenAt = now
	o.callAt = now.Add(o.p.Term / 3)
	if w.lease.Holder != o.self || w.lease.Released {
		o.fence = 0
		return
	}
	o.fence = w.lease.Fence
	if o.fence == 0 {
		o.heldSince = now
		o.fence = core.FencingToken(version)
	}
	o.termEnd = w.at.Add(o.p.Term * holderPercent / 100)
	if o.termEnd <= now {
		o.fence = 0
		o.callAt = now
	}
}
