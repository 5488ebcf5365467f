package placement

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/rhubarbsill/rhubarbsill/pkg/core"
)

const (
	// maxReserveAttempts bounds the engines at which a job requests a slot before it is
	// queued again.
	maxReserveAttempts = 3
	// holderBackoff is the time for which the engines of a ledger holder get no work after
	// it didn't reply.
	holderBackoff = time.Second
	// maxFullBackoff bounds the time for which an engine is excluded after a denial.
	maxFullBackoff = 500 * time.Millisecond
	// maxSlotTimeFactor bounds the expected slot time as a multiple of the mean, because
	// most requests stop before their maximum output.
	maxSlotTimeFactor = 4
)

// SetMembers replaces the Instances that may hold slot ledgers. Unused reservations
// are registered at the new holders of their ledgers.
func (p *Placer) SetMembers(now core.Instant, members []Member) []Output {
	p.members = slices.Clone(members)
	slices.SortFunc(p.members, func(a, b Member) int { return compareStrings(a.Ref.ID, b.Ref.ID) })
	p.membersVersion++
	clear(p.holderRetryAt)
	return append(p.announceToNewHolders(now), p.dispatchPools(now, p.pools)...)
}

// holderOf returns the Instance that holds the ledger of e: an Instance of its
// DataCentre, else one of its region, else any.
func (p *Placer) holderOf(e *engine) core.InstanceID {
	if e.holder != "" && e.holderVersion == p.membersVersion {
		return e.holder
	}
	best := p.self.ID
	bestRank, bestHash := 0, uint64(0)
	for _, m := range p.members {
		rank := 1
		if m.DataCentre == e.DataCentre {
			rank = 3
		} else if p.lookupDataCentre(m.DataCentre).Region == e.dc.Region {
			rank = 2
		}
		hash := xxhash.Sum64String(string(m.Ref.ID) + "\n" + string(e.ID))
		if rank > bestRank || (rank == bestRank && hash > bestHash) {
			best, bestRank, bestHash = m.Ref.ID, rank, hash
		}
	}
	e.holder = best
	e.holderVersion = p.membersVersion
	return best
}

// HoldsLedger reports whether this Instance holds the slot ledger of the Upstream and
// must therefore read the attempts in its load reports.
func (p *Placer) HoldsLedger(up core.UpstreamID) bool {
	e := p.engines[up]
	return e != nil && e.Role == RoleDecode && p.holderOf(e) == p.self.ID
}

func (p *Placer) holderUnreachable(now core.Instant, e *engine) bool {
	return len(p.holderRetryAt) > 0 && now < p.holderRetryAt[p.holderOf(e)]
}

// announceToNewHolders registers the reservations that may not appear in a report yet at
// the new holders of their ledgers.
func (p *Placer) announceToNewHolders(now core.Instant) []Output {
	var outputs []Output
	for _, j := range p.sortedJobs() {
		if j.state != jobPlaced || j.prefill == nil || j.nonce == 0 || j.reservedUntil <= now || j.decode.removed {
			continue
		}
		holder := p.holderOf(j.decode)
		if holder == j.holder {
			continue
		}
		j.holder = holder
		q := p.newReserveRequest(j, choice{decode: j.decode})
		q.Announce = true
		if holder == p.self.ID {
			p.OnReserve(now, p.self, q)
			continue
		}
		outputs = append(outputs, SendReserveRequest{To: holder, Request: q})
	}
	return outputs
}

func (p *Placer) newReserveRequest(j *job, c choice) ReserveRequest {
	s := j.pool.service
	slotTime := s.meanSlotTime
	if s.Targets.InterTokenLatency > 0 {
		slotTime = min(time.Duration(float64(j.MaxOutputTokens)*s.slotTimePerToken(s.Targets.InterTokenLatency)), maxSlotTimeFactor*s.meanSlotTime)
	}
	return ReserveRequest{
		Nonce:    j.nonce,
		ID:       j.ID,
		Upstream: c.decode.ID,
		Within:   c.queueDelay + c.prefillTime + slotWaitTolerance,
		Hold:     slotTime + c.queueDelay + c.prefillTime + c.transferTime,
	}
}

// reserve requests a slot from the ledger holder of the chosen decode engine.
func (p *Placer) reserve(now core.Instant, j *job, c choice) []Output {
	p.nonce++
	j.nonce = p.nonce
	j.state = jobReserving
	j.decode = c.decode
	j.holder = p.holderOf(c.decode)
	j.reserveAttempts++
	p.addTentativeLoad(now, j, c)
	q := p.newReserveRequest(j, c)
	if j.holder == p.self.ID {
		return p.applyReply(now, j, p.OnReserve(now, p.self, q))
	}
	p.addTimer(timer{at: now.Add(p.params.ReserveTimeout), id: j.ID, seq: j.seq, nonce: j.nonce})
	return []Output{SendReserveRequest{To: j.holder, Request: q}}
}

// OnReserveReply handles the reply of a ledger holder. A grant that is no longer needed
// is released.
func (p *Placer) OnReserveReply(now core.Instant, r ReserveReply) []Output {
	j := p.jobs[r.ID]
	if j != nil && j.nonce == r.Nonce {
		delete(p.holderRetryAt, j.holder)
		if j.state == jobReserving {
			return p.applyReply(now, j, r)
		}
		return nil // a duplicate reply for a reservation in use
	}
	e := p.engines[r.Upstream]
	if !r.Granted || e == nil {
		return nil
	}
	return p.sendRelease(now, p.holderOf(e), ReleaseNotice{Nonce: r.Nonce, Upstream: r.Upstream})
}

// addTentativeLoad adds the load of a job while its reservation request is pending, so
// that the next jobs don't choose the same engines before the reply arrives.
func (p *Placer) addTentativeLoad(now core.Instant, j *job, c choice) {
	j.tentativePrefill = c.prefill
	c.prefill.adjustLoad(now, loadAdjustment{id: j.ID, at: now, tokens: c.prefillTokens})
	c.decode.adjustLoad(now, loadAdjustment{id: j.ID, at: now, slots: 1})
}

func (p *Placer) removeTentativeLoad(now core.Instant, j *job) {
	if j.tentativePrefill == nil {
		return
	}
	j.tentativePrefill.undoAdjustments(now, j.ID)
	j.decode.undoAdjustments(now, j.ID)
	j.tentativePrefill = nil
}

func (p *Placer) applyReply(now core.Instant, j *job, r ReserveReply) []Output {
	e := j.decode
	p.removeTentativeLoad(now, j)
	if !r.Granted {
		e.fullUntil = now.Add(min(max(r.FreeIn, p.params.RetryInterval), maxFullBackoff))
		return p.retryOtherEngine(now, j)
	}
	if e.usable(now) {
		c := p.choosePrefill(now, j, e, r.FreeIn, 1)
		if c.prefill != nil {
			return p.place(now, j, c, r.Term)
		}
	}
	outputs := p.endReservation(now, j)
	return append(outputs, p.retryOtherEngine(now, j)...)
}

// retryOtherEngine requests a slot of another decode engine, or puts the job back to the
// front of its account's queue.
func (p *Placer) retryOtherEngine(now core.Instant, j *job) []Output {
	j.deniedEngines = append(j.deniedEngines, j.decode)
	j.nonce = 0
	if j.reserveAttempts < maxReserveAttempts {
		if c := p.choose(now, j); c.decision == decisionPlace {
			return p.reserve(now, j, c)
		}
	}
	j.state = jobQueued
	j.deniedEngines = nil
	j.reserveAttempts = 0
	j.pool.queue.putBack(j)
	j.pool.retryAt = min(j.pool.retryAt, now.Add(p.params.RetryInterval))
	p.addTimer(timer{at: j.expiresAt, id: j.ID, seq: j.seq})
	return nil
}

func (p *Placer) onReserveTimeout(now core.Instant, j *job, nonce uint64) []Output {
	if j.state != jobReserving || j.nonce != nonce {
		return nil
	}
	p.removeTentativeLoad(now, j)
	p.holderRetryAt[j.holder] = now.Add(holderBackoff)
	outputs := p.endReservation(now, j)
	return append(outputs, p.retryOtherEngine(now, j)...)
}

// endReservation releases the slot at the ledger holder. If the notice is lost, the slot
// stays in use until the reservation expires or the engine no longer reports the attempt.
func (p *Placer) endReservation(now core.Instant, j *job) []Output {
	if j.nonce == 0 || j.decode.removed {
		return nil
	}
	return p.sendRelease(now, j.holder, ReleaseNotice{Nonce: j.nonce, Upstream: j.decode.ID})
}

func (p *Placer) sendRelease(now core.Instant, to core.InstanceID, n ReleaseNotice) []Output {
	if to == p.self.ID {
		return p.OnReleaseNotice(now, p.self, n)
	}
	return []Output{SendReleaseNotice{To: to, Notice: n}}
}
