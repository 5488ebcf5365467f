package placement

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/rhubarbsill/rhubarbsill/pkg/core"
)

const (
	// maxTries bounds the engines that are asked before a job waits again.
	maxTries = 3
	// holderBackoff is the time for which the engines of a ledger holder that
	// didn't answer get no work.
	holderBackoff = time.Second
	// maxLearnedFull bounds the time for which a denial keeps an engine out.
	maxLearnedFull = 500 * time.Millisecond
	// maxHoldFactor bounds the expected use of a slot in mean uses, because most
	// requests stop before their greatest output.
	maxHoldFactor = 4
)

// SetMembers replaces the Instances that may hold slot ledgers. Unused
// reservations are announced to the new holders of their ledgers.
func (p *Placer) SetMembers(now core.Instant, members []Member) []Output {
	p.members = slices.Clone(members)
	slices.SortFunc(p.members, func(a, b Member) int { return compareStrings(a.Ref.ID, b.Ref.ID) })
	p.rosterGeneration++
	clear(p.holderDown)
	return append(p.announceMoved(now), p.pump(now, p.pools)...)
}

// holderOf returns the Instance that holds the ledger of e: an Instance of its
// DataCentre, else of its region, else any.
func (p *Placer) holderOf(e *engine) core.InstanceID {
	if e.holder != "" && e.holderRoster == p.rosterGeneration {
		return e.holder
	}
	best := p.self.ID
	bestRank, bestHash := 0, uint64(0)
	for _, m := range p.members {
		rank := 1
		if m.DataCentre == e.DataCentre {
			rank = 3
		} else if p.site(m.DataCentre).Region == e.site.Region {
			rank = 2
		}
		hash := xxhash.Sum64String(string(m.Ref.ID) + "\n" + string(e.ID))
		if rank > bestRank || (rank == bestRank && hash > bestHash) {
			best, bestRank, bestHash = m.Ref.ID, rank, hash
		}
	}
	e.holder = best
	e.holderRoster = p.rosterGeneration
	return best
}

// HoldsLedger reports whether this Instance holds the slot ledger of the Upstream,
// and so has to read the attempts that it reports.
func (p *Placer) HoldsLedger(up core.UpstreamID) bool {
	e := p.engines[up]
	return e != nil && e.Role == RoleDecode && p.holderOf(e) == p.self.ID
}

func (p *Placer) holderUnreachable(now core.Instant, e *engine) bool {
	return len(p.holderDown) > 0 && now < p.holderDown[p.holderOf(e)]
}

// announceMoved tells new ledger holders of the reservations that no report shows
// yet.
func (p *Placer) announceMoved(now core.Instant) []Output {
	var outputs []Output
	for _, j := range p.sortedJobs() {
		if j.state != jobPlaced || j.prefill == nil || j.nonce == 0 || j.until <= now || j.decode.removed {
			continue
		}
		holder := p.holderOf(j.decode)
		if holder == j.holder {
			continue
		}
		j.holder = holder
		q := p.reserveRequest(j, choice{decode: j.decode})
		q.Announce = true
		if holder == p.self.ID {
			p.OnReserve(now, p.self, q)
			continue
		}
		outputs = append(outputs, SendReserveRequest{To: holder, Request: q})
	}
	return outputs
}

func (p *Placer) reserveRequest(j *job, c choice) ReserveRequest {
	s := j.pool.service
	hold := s.hold
	if s.Targets.InterTokenLatency > 0 {
		hold = min(time.Duration(float64(j.MaxOutputTokens)*s.perToken(s.Targets.InterTokenLatency)), maxHoldFactor*s.hold)
	}
	return ReserveRequest{
		Nonce:    j.nonce,
		ID:       j.ID,
		Upstream: c.decode.ID,
		Within:   c.queue + c.prefillTime + reserveSlack,
		Hold:     hold + c.queue + c.prefillTime + c.transfer,
	}
}

// reserve asks the ledger holder of the chosen decode engine for a slot.
func (p *Placer) reserve(now core.Instant, j *job, c choice) []Output {
	p.nonce++
	j.nonce = p.nonce
	j.state = jobReserving
	j.decode = c.decode
	j.holder = p.holderOf(c.decode)
	j.tries++
	p.book(now, j, c)
	q := p.reserveRequest(j, c)
	if j.holder == p.self.ID {
		return p.onReply(now, j, p.OnReserve(now, p.self, q))
	}
	p.after(timer{at: now.Add(p.params.ReserveTimeout), id: j.ID, seq: j.seq, nonce: j.nonce})
	return []Output{SendReserveRequest{To: j.holder, Request: q}}
}

// OnReserveReply takes in the answer of a ledger holder. A grant that is no longer
// wanted is released.
func (p *Placer) OnReserveReply(now core.Instant, r ReserveReply) []Output {
	j := p.jobs[r.ID]
	if j != nil && j.nonce == r.Nonce {
		delete(p.holderDown, j.holder)
		if j.state == jobReserving {
			return p.onReply(now, j, r)
		}
		return nil // a repeated reply to a reservation in use
	}
	e := p.engines[r.Upstream]
	if !r.Granted || e == nil {
		return nil
	}
	return p.sendRelease(now, p.holderOf(e), ReleaseNotice{Nonce: r.Nonce, Upstream: r.Upstream})
}

// book counts a job whose reservation is asked for as load, so that the next jobs
// don't choose the same engines before the reply.
func (p *Placer) book(now core.Instant, j *job, c choice) {
	j.booked = c.prefill
	c.prefill.correct(now, correction{id: j.ID, at: now, tokens: c.tokens})
	c.decode.correct(now, correction{id: j.ID, at: now, slots: 1})
}

func (p *Placer) unbook(now core.Instant, j *job) {
	if j.booked == nil {
		return
	}
	j.booked.undo(now, j.ID)
	j.decode.undo(now, j.ID)
	j.booked = nil
}

func (p *Placer) onReply(now core.Instant, j *job, r ReserveReply) []Output {
	e := j.decode
	p.unbook(now, j)
	if !r.Granted {
		e.fullUntil = now.Add(min(max(r.FreeIn, p.params.RetryInterval), maxLearnedFull))
		return p.tryAnother(now, j)
	}
	if e.usable(now) {
		c := p.choosePrefill(now, j, e, r.FreeIn, 1)
		if c.prefill != nil {
			return p.place(now, j, c, r.Term)
		}
	}
	outputs := p.endReservation(now, j)
	return append(outputs, p.tryAnother(now, j)...)
}

// tryAnother looks for another decode engine, or puts the job back to the front
// of its account's queue.
func (p *Placer) tryAnother(now core.Instant, j *job) []Output {
	j.denied = append(j.denied, j.decode)
	j.nonce = 0
	if j.tries < maxTries {
		if c := p.choose(now, j); c.verdict == verdictPlace {
			return p.reserve(now, j, c)
		}
	}
	j.state = jobQueued
	j.denied = nil
	j.tries = 0
	j.pool.queue.putBack(j)
	j.pool.nextTry = min(j.pool.nextTry, now.Add(p.params.RetryInterval))
	p.after(timer{at: j.giveUp, id: j.ID, seq: j.seq})
	return nil
}

func (p *Placer) onReserveTimeout(now core.Instant, j *job, nonce uint64) []Output {
	if j.state != jobReserving || j.nonce != nonce {
		return nil
	}
	p.unbook(now, j)
	p.holderDown[j.holder] = now.Add(holderBackoff)
	outputs := p.endReservation(now, j)
	return append(outputs, p.tryAnother(now, j)...)
}

// endReservation tells the ledger holder that the slot is no longer wanted. A lost
// notice delays the slot until the reservation ends by itself or the engine's
// report shows that the attempt has ended.
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
