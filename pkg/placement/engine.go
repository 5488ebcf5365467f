package placement

import (
	"slices"
	"time"

	"github.com/rhubarbsill/rhubarbsill/pkg/core"
)

const (
	// correctionAge is the age after which a placement no longer corrects the
	// load of an engine. Reports lag by less.
	correctionAge = 5 * time.Second
	// maxCorrections bounds the corrections of one engine.
	maxCorrections = 256
	// defaultHold is the assumed time for which a slot is used.
	defaultHold = 5 * time.Second
	// firstBackoff and lastBackoff bound the time for which a failed Upstream
	// gets no work. It doubles with each failure and ends with a newer report.
	firstBackoff = 500 * time.Millisecond
	lastBackoff  = 8 * time.Second
)

// site is a DataCentre with its link.
type site struct {
	DataCentre
	link fluid // bytes
}

// correction is a change of load that a report may not contain yet.
type correction struct {
	id     core.RequestID // empty for a placement of a peer
	at     core.Instant   // the time at which the engine sees the change
	tokens float64
	slots  int
}

// engine is the state of one Upstream.
type engine struct {
	Upstream
	service *service
	site    *site
	removed bool

	report      LoadReport
	reported    bool
	corrections []correction
	slotChange  int   // sum of the slots of the corrections
	work        fluid // prefill tokens
	outstanding int   // own placed requests

	fullUntil    core.Instant // learned from a denied reservation
	unusable     core.Instant // no work before this instant
	failedAt     core.Instant
	backoff      time.Duration
	speed        learned // prefill tokens per second
	sizes        map[core.ModelName]*size
	uncorrected  bool // see Params.NoLoadCorrection
	hints        hints
	ledger       *ledger
	holder       core.InstanceID
	holderRoster int // members generation for which holder was computed
}

func (e *engine) usable(now core.Instant) bool {
	return !e.removed && !e.Leaving && !e.report.Leaving && now >= e.unusable
}

func (e *engine) slots() int {
	if e.reported && e.report.Slots > 0 {
		return e.report.Slots
	}
	return e.Slots
}

// used returns the corrected number of used slots.
func (e *engine) used() int {
	if !e.reported {
		return max(e.outstanding, e.slotChange)
	}
	return max(0, e.report.UsedSlots+e.report.QueuedRequests+e.slotChange)
}

// freeIn estimates the time until a slot is free.
func (e *engine) freeIn(now core.Instant) time.Duration {
	var learned time.Duration
	if now < e.fullUntil {
		learned = e.fullUntil.Sub(now)
	}
	slots := e.slots()
	excess := e.used() - slots + 1
	if slots == 0 || excess <= 0 {
		return learned
	}
	// With n slots in use for a mean time of h each, one ends every h/n.
	estimate := e.service.hold * time.Duration(excess) / time.Duration(slots)
	return max(learned, estimate)
}

// correct notes a change of load that the next report may not contain.
func (e *engine) correct(now core.Instant, c correction) {
	if e.uncorrected {
		return
	}
	e.expireCorrections(now)
	if len(e.corrections) == maxCorrections {
		e.slotChange -= e.corrections[0].slots
		e.corrections = slices.Delete(e.corrections, 0, 1)
	}
	e.corrections = append(e.corrections, c)
	e.slotChange += c.slots
	e.work.add(now, c.tokens)
}

func (e *engine) expireCorrections(now core.Instant) {
	oldest := now.Add(-correctionAge)
	if !e.reported || len(e.corrections) == 0 || e.corrections[0].at >= oldest {
		return
	}
	e.keepCorrections(oldest)
}

// keepCorrections drops the corrections that took effect at or before t.
func (e *engine) keepCorrections(t core.Instant) {
	kept := e.corrections[:0]
	e.slotChange = 0
	for _, c := range e.corrections {
		if c.at > t {
			kept = append(kept, c)
			e.slotChange += c.slots
		}
	}
	e.corrections = kept
}

// undo takes back the corrections of a request that no report contains yet.
func (e *engine) undo(now core.Instant, id core.RequestID) {
	kept := e.corrections[:0]
	for _, c := range e.corrections {
		if c.id != id {
			kept = append(kept, c)
			continue
		}
		e.slotChange -= c.slots
		e.work.add(now, -c.tokens)
	}
	e.corrections = kept
}

// release undoes the slot of a placed request.
func (e *engine) release(now core.Instant, id core.RequestID) {
	e.outstanding--
	for i, c := range e.corrections {
		if c.id == id && c.slots > 0 {
			e.slotChange -= c.slots
			e.corrections = slices.Delete(e.corrections, i, i+1)
			return
		}
	}
	e.correct(now, correction{id: id, at: now, slots: -1})
}

// OnLoadReport takes in the load report of an Upstream, read here or forwarded by a
// peer. A report that is older than the last one is ignored.
func (p *Placer) OnLoadReport(now core.Instant, up core.UpstreamID, r LoadReport) []Output {
	e := p.engines[up]
	if e == nil || (e.reported && r.ObservedAt <= e.report.ObservedAt) {
		return nil
	}
	if e.ledger != nil {
		e.ledger.onReport(e.report.Generation, r)
	}
	if e.reported && r.Generation != e.report.Generation {
		p.forgetLearned(now, e)
	}
	e.report = r
	e.reported = true
	if r.ObservedAt > e.failedAt {
		e.unusable = 0
		e.backoff = 0
	}
	e.fullUntil = 0
	e.keepCorrections(r.ObservedAt)
	e.work.amount = float64(r.QueuedTokens)
	e.work.at = r.ObservedAt
	for _, c := range e.corrections {
		e.work.amount += c.tokens
	}
	return p.pump(now, e.service.poolsOf(e))
}

// OnUpstreamFailed keeps new work from an Upstream that has just failed, until a
// newer report arrives or the back-off ends.
func (p *Placer) OnUpstreamFailed(now core.Instant, up core.UpstreamID) {
	e := p.engines[up]
	if e == nil {
		return
	}
	e.backoff = min(max(2*e.backoff, firstBackoff), lastBackoff)
	e.unusable = now.Add(e.backoff)
	e.failedAt = now
	p.index.forget(e)
}

// DrainLoadDeltas returns the placements since the last call, for the peers of the
// DataCentre.
func (p *Placer) DrainLoadDeltas() []LoadDelta {
	var taken []LoadDelta
	for _, placed := range p.unshared {
		taken = append(taken, *placed)
	}
	clear(p.unshared)
	slices.SortFunc(taken, func(a, b LoadDelta) int { return compareStrings(a.Upstream, b.Upstream) })
	return taken
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

// OnPeerLoadDeltas takes in what a peer has placed, age ago.
func (p *Placer) OnPeerLoadDeltas(now core.Instant, age time.Duration, placed []LoadDelta) {
	for _, one := range placed {
		e := p.engines[one.Upstream]
		if e == nil {
			continue
		}
		e.site.link.add(now, float64(one.LinkBytes))
		at := now.Add(-age)
		if e.reported && at <= e.report.ObservedAt {
			continue
		}
		e.correct(now, correction{at: at, tokens: float64(one.Tokens), slots: one.Slots})
	}
}

// share notes a placement for the peers.
func (p *Placer) share(e *engine, tokens float64, slots int, linkBytes float64) {
	placed := p.unshared[e.ID]
	if placed == nil {
		placed = &LoadDelta{Upstream: e.ID}
		p.unshared[e.ID] = placed
	}
	placed.Tokens += int64(tokens)
	placed.Slots += slots
	placed.LinkBytes += int64(linkBytes)
}
