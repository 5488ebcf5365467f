package dispatch

import (
	"time"

	"github.com/rhubarbsill/rhubarbsill/pkg/core"
)

// placementRate estimates how fast the waiting jobs of a service are placed.
type placementRate struct {
	// meanInterval is the moving average of the time between two placements, 0 while it
	// is unknown.
	meanInterval  time.Duration
	lastPlacement core.Instant
}

// intervalSmoothingFactor is the weight of a new interval in the moving average, which
// has to adapt to a burst within a few placements.
const intervalSmoothingFactor = 0.2

func (d *Dispatcher) placementRateOf(service core.ServiceName) *placementRate {
	p := d.placementRates[service]
	if p == nil {
		p = &placementRate{}
		d.placementRates[service] = p
	}
	return p
}

// onQueued records that a job has to wait. The interval to the next placement is counted
// from the first job of an empty queue.
func (p *placementRate) onQueued(now core.Instant, first bool) {
	if first {
		p.lastPlacement = now
	}
}

// onPlaced records that a job was placed. Jobs that did not wait are ignored, since they
// carry no information about the speed of the queue.
func (p *placementRate) onPlaced(now core.Instant, hasWaited bool) {
	if !hasWaited {
		return
	}
	interval := now.Sub(p.lastPlacement)
	p.lastPlacement = now
	if p.meanInterval == 0 {
		p.meanInterval = interval
		return
	}
	p.meanInterval += time.Duration(intervalSmoothingFactor * float64(interval-p.meanInterval))
}

// expectedWait returns the expected time until a job with the given number of jobs ahead
// of it is placed.
func (p *placementRate) expectedWait(ahead int) time.Duration {
	return time.Duration(ahead) * p.meanInterval
}
