package dispatch

import (
	"time"

	"github.com/rhubarbsill/rhubarbsill/pkg/core"
)

// placementRate follows how fast the waiting jobs of a service find places.
type placementRate struct {
	// meanInterval is the mean time between two placements, 0 for unknown.
	meanInterval  time.Duration
	lastPlacement core.Instant
}

// intervalSmoothingFactor is the weight of a new interval in the mean. It follows a burst
// within a few placements.
const intervalSmoothingFactor = 0.2

func (d *Dispatcher) placementRateOf(service core.ServiceName) *placementRate {
	p := d.placementRates[service]
	if p == nil {
		p = &placementRate{}
		d.placementRates[service] = p
	}
	return p
}

// onQueued notes that a job has to wait. The first one begins a busy time.
func (p *placementRate) onQueued(now core.Instant, first bool) {
	if first {
		p.lastPlacement = now
	}
}

// onPlaced notes that a job was onPlaced. One that did not wait says nothing of the
// time that waiting takes.
func (p *placementRate) onPlaced(now core.Instant, waited bool) {
	if !waited {
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

// expectedWait is the expected time until a job with others ahead of it is placed.
func (p *placementRate) expectedWait(ahead int) time.Duration {
	return time.Duration(ahead) * p.meanInterval
}
