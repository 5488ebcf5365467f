package placement

import (
	"slices"
	"time"

	"github.com/rhubarbsill/rhubarbsill/pkg/core"
)

// chooseBaseline picks a pair as a load balancer does that knows only which
// engines are usable (StrategyRoundRobin) and what they last reported
// (StrategyLeastLoaded). It neither waits nor refuses early.
func (p *Placer) chooseBaseline(now core.Instant, j *job) choice {
	for _, region := range j.pool.decode.regions {
		c := choice{
			verdict: verdictPlace,
			decode:  p.baseline(now, j, j.pool.decode.byRegion[region]),
			prefill: p.baseline(now, j, j.pool.prefill.byRegion[region]),
			tokens:  float64(j.PromptTokens),
		}
		if c.decode != nil && c.prefill != nil {
			return c
		}
	}
	return choice{verdict: verdictWait}
}

func (p *Placer) baseline(now core.Instant, j *job, list []*engine) *engine {
	var best *engine
	for i := range list {
		e := list[(i+p.turn)%len(list)]
		if !e.usable(now) || slices.Contains(j.denied, e) || slices.Contains(j.AvoidUpstreams, e.ID) {
			continue
		}
		if best == nil || p.params.Strategy == StrategyLeastLoaded && e.reportedLoad() < best.reportedLoad() {
			best = e
		}
		if p.params.Strategy == StrategyRoundRobin {
			break
		}
	}
	p.turn++
	return best
}

// reportedLoad is the queued prefill tokens or the share of used slots, whichever
// the engine has.
func (e *engine) reportedLoad() float64 {
	return float64(e.report.QueuedTokens) + float64(e.report.UsedSlots+e.report.QueuedRequests)/float64(max(1, e.slots()))
}

// placeUnreserved starts a job without a reservation.
func (p *Placer) placeUnreserved(now core.Instant, j *job, c choice) []Output {
	j.decode = c.decode
	c.freeIn = 0
	return p.place(now, j, c, unreservedTerm)
}

// unreservedTerm stands for the term of a reservation that doesn't exist.
const unreservedTerm = 10 * time.Second
