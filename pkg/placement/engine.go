package placement

import (
	"slices"
	"time"

	"github.com/rhubarbsill/rhubarbsill/pkg/core"
)

const (
	// adjustmentTTL is the age at which a load adjustment expires. Reports are less
	// delayed than that.
	adjustmentTTL = 5 * time.Second
	// maxAdjustments bounds the load adjustments of one engine.
	maxAdjustments = 256
	// defaultSlotTime is the assumed slot time of a new service.
	defaultSlotTime = 5 * time.Second
	// minBackoff and maxBackoff bound the time for which a failed Upstream gets no work.
	// The time doubles with each failure and ends early with a newer report.
	minBackoff = 500 * time.Millisecond
	maxBackoff = 8 * time.Second
)

// dataCentreState is a DataCentre with its link.
type dataCentreState struct {
	DataCentre
	link backlog // bytes
}

// loadAdjustment is a change of load that the last report may not contain.
type loadAdjustment struct {
	id     core.RequestID // empty for a placement by a peer
	at     core.Instant   // when the change takes effect at the engine
	tokens float64
	slots  int
}

// engine is the state of one Upstream.
type engine struct {
	Upstream
	service *service
	dc      *dataCentreState
	removed bool

	report         LoadReport
	hasReport      bool
	adjustments    []loadAdjustment
	slotAdjustment int     // sum of the slots of the adjustments
	prefillBacklog backlog // prefill tokens
	outstanding    int     // requests placed by this Instance

	fullUntil       core.Instant // from a denied reservation
	unusableUntil   core.Instant // no work before this instant
	failedAt        core.Instant
	backoff         time.Duration
	prefillRate     estimate // prefill tokens per second
	kvSizes         map[core.ModelName]*kvSize
	skipAdjustments bool // see Params.NoLoadAdjustment
	hints           prefixHints
	ledger          *ledger
	holder          core.InstanceID
	holderVersion   int // membersVersion for which holder was computed
}

func (e *engine) usable(now core.Instant) bool {
	return !e.removed && !e.Leaving && !e.report.Leaving && now >= e.unusableUntil
}

func (e *engine) slots() int {
	if e.hasReport && e.report.Slots > 0 {
		return e.report.Slots
	}
	return e.Slots
}

// usedSlots returns the adjusted number of used slots.
func (e *engine) usedSlots() int {
	if !e.hasReport {
		return max(e.outstanding, e.slotAdjustment)
	}
	return max(0, e.report.UsedSlots+e.report.QueuedRequests+e.slotAdjustment)
}

// slotDelay estimates the time until a slot is free.
func (e *engine) slotDelay(now core.Instant) time.Duration {
	var fullFor time.Duration
	if now < e.fullUntil {
		fullFor = e.fullUntil.Sub(now)
	}
	slots := e.slots()
	excess := e.usedSlots() - slots + 1
	if slots == 0 || excess <= 0 {
		return fullFor
	}
	// With n slots and a mean slot time of h, one ends every h/n.
	estimate := e.service.meanSlotTime * time.Duration(excess) / time.Duration(slots)
	return max(fullFor, estimate)
}

// adjustLoad records a change of load that the next report may not contain.
func (e *engine) adjustLoad(now core.Instant, a loadAdjustment) {
	if e.skipAdjustments {
		return
	}
	e.expireAdjustments(now)
	if len(e.adjustments) == maxAdjustments {
		e.slotAdjustment -= e.adjustments[0].slots
		e.adjustments = slices.Delete(e.adjustments, 0, 1)
	}
	e.adjustments = append(e.adjustments, a)
	e.slotAdjustment += a.slots
	e.prefillBacklog.add(now, a.tokens)
}

func (e *engine) expireAdjustments(now core.Instant) {
	oldest := now.Add(-adjustmentTTL)
	if !e.hasReport || len(e.adjustments) == 0 || e.adjustments[0].at >= oldest {
		return
	}
	e.dropAdjustmentsUntil(oldest)
}

// dropAdjustmentsUntil removes the adjustments that took effect at or before t.
func (e *engine) dropAdjustmentsUntil(t core.Instant) {
	kept := e.adjustments[:0]
	e.slotAdjustment = 0
	for _, a := range e.adjustments {
		if a.at > t {
			kept = append(kept, a)
			e.slotAdjustment += a.slots
		}
	}
	e.adjustments = kept
}

// undoAdjustments reverts the adjustments of a request that no report contains yet.
func (e *engine) undoAdjustments(now core.Instant, id core.RequestID) {
	kept := e.adjustments[:0]
	for _, a := range e.adjustments {
		if a.id != id {
			kept = append(kept, a)
			continue
		}
		e.slotAdjustment -= a.slots
		e.prefillBacklog.add(now, -a.tokens)
	}
	e.adjustments = kept
}

// releaseSlot reverts the slot adjustment of a placed request. If that has already been
// removed, the release becomes an adjustment.
func (e *engine) releaseSlot(now core.Instant, id core.RequestID) {
	e.outstanding--
	for i, a := range e.adjustments {
		if a.id == id && a.slots > 0 {
			e.slotAdjustment -= a.slots
			e.adjustments = slices.Delete(e.adjustments, i, i+1)
			return
		}
	}
	e.adjustLoad(now, loadAdjustment{id: id, at: now, slots: -1})
}

// OnLoadReport handles the load report of an Upstream, which this Instance has read or a
// peer has forwarded. A report that is not newer than the last one is ignored.
func (p *Placer) OnLoadReport(now core.Instant, up core.UpstreamID, r LoadReport) []Output {
	e := p.engines[up]
	if e == nil || (e.hasReport && r.ObservedAt <= e.report.ObservedAt) {
		return nil
	}
	if e.ledger != nil {
		e.ledger.onReport(e.report.Generation, r)
	}
	if e.hasReport && r.Generation != e.report.Generation {
		p.resetEstimates(now, e)
	}
	e.report = r
	e.hasReport = true
	if r.ObservedAt > e.failedAt {
		e.unusableUntil = 0
		e.backoff = 0
	}
	e.fullUntil = 0
	e.dropAdjustmentsUntil(r.ObservedAt)
	e.prefillBacklog.amount = float64(r.QueuedTokens)
	e.prefillBacklog.updatedAt = r.ObservedAt
	for _, a := range e.adjustments {
		e.prefillBacklog.amount += a.tokens
	}
	return p.dispatchPools(now, e.service.poolsOf(e))
}

// OnUpstreamFailed excludes an Upstream that has just failed until a newer report arrives
// or the back-off ends, and removes its prefix hints.
func (p *Placer) OnUpstreamFailed(now core.Instant, up core.UpstreamID) {
	e := p.engines[up]
	if e == nil {
		return
	}
	e.backoff = min(max(2*e.backoff, minBackoff), maxBackoff)
	e.unusableUntil = now.Add(e.backoff)
	e.failedAt = now
	p.prefixIndex.removeEngine(e)
}

// DrainLoadDeltas returns the placements since the last call, to be sent to the peers of
// the DataCentre. The result is sorted by Upstream.
func (p *Placer) DrainLoadDeltas() []LoadDelta {
	var deltas []LoadDelta
	for _, delta := range p.pendingDeltas {
		deltas = append(deltas, *delta)
	}
	clear(p.pendingDeltas)
	slices.SortFunc(deltas, func(a, b LoadDelta) int { return compareStrings(a.Upstream, b.Upstream) })
	return deltas
}

func compareStrings[T ~string](a, b T) int {
	switch {
	case a < b:
		return -1
	case a > b:
		return 1
	}
	return 0
}

// OnPeerLoadDeltas handles the placements of a peer, which are age old.
func (p *Placer) OnPeerLoadDeltas(now core.Instant, age time.Duration, deltas []LoadDelta) {
	for _, delta := range deltas {
		e := p.engines[delta.Upstream]
		if e == nil {
			continue
		}
		e.dc.link.add(now, float64(delta.LinkBytes))
		at := now.Add(-age)
		if e.hasReport && at <= e.report.ObservedAt {
			continue
		}
		e.adjustLoad(now, loadAdjustment{at: at, tokens: float64(delta.Tokens), slots: delta.Slots})
	}
}

// recordDelta records a placement to be sent to the peers.
func (p *Placer) recordDelta(e *engine, tokens float64, slots int, linkBytes float64) {
	delta := p.pendingDeltas[e.ID]
	if delta == nil {
		delta = &LoadDelta{Upstream: e.ID}
		p.pendingDeltas[e.ID] = delta
	}
	delta.Tokens += int64(tokens)
	delta.Slots += slots
	delta.LinkBytes += int64(linkBytes)
}
