package placement

import (
	"slices"
	"time"

	"github.com/rhubarbsill/rhubarbsill/pkg/core"
)

// chooseBaseline picks a pair like a load balancer that knows only which engines are
// usable (StrategyRoundRobin) and their last reports (StrategyLeastLoaded). It neither
// waits for slots nor refuses early.
func (p *Placer) chooseBaseline(now core.Instant, j *job) choice {
	for _, region := range j.pool.decode.regions {
		c := choice{
			decision:      decisionPlace,
			decode:        p.pickBaseline(now, j, j.pool.decode.byRegion[region]),
			prefill:       p.pickBaseline(now, j, j.pool.prefill.byRegion[region]),
			prefillTokens: float64(j.PromptTokens),
		}
		if c.decode != nil && c.prefill != nil {
			return c
		}
	}
	return choice{decision: decisionWait}
}

func (p *Placer) pickBaseline(now core.Instant, j *job, list []*engine) *engine {
	var best *engine
	for i := range list {
		e := list[(i+p.roundRobinIndex)%len(list)]
		if !e.usable(now) || slices.Contains(j.deniedEngines, e) || slices.Contains(j.AvoidUpstreams, e.ID) {
			continue
		}
		if best == nil || p.params.Strategy == StrategyLeastLoaded && e.reportedLoad() < best.reportedLoad() {
			best = e
		}
		if p.params.Strategy == StrategyRoundRobin {
			break
		}
	}
	p.roundRobinIndex++
	return best
}

// reportedLoad is the number of queued prefill tokens for a prefill engine and the
// fraction of used slots for a decode engine.
func (e *engine) reportedLoad() float64 {
	return float64(e.report.QueuedTokens) + float64(e.report.UsedSlots+e.report.QueuedRequests)/float64(max(1, e.slots()))
}

// placeWithoutReservation starts a job without a reservation.
func (p *Placer) placeWithoutReservation(now core.Instant, j *job, c choice) []Output {
	j.decode = c.decode
	c.slotDelay = 0
	return p.place(now, j, c, noReservationTerm)
}

// noReservationTerm replaces the term of a reservation in placements without one.
const noReservationTerm = 10 * time.Second
