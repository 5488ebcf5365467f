package dispatch

import (
	"time"

	"github.com/rhubarbsill/rhubarbsill/pkg/core"
)

// pace follows how fast the waiting jobs of a service find places.
type pace struct {
	// interval is the mean time between two placements, 0 for unknown.
	interval time.Duration
	last     core.Instant
}

// paceWeight is the weight of a new interval in the mean. It follows a burst
// within a few placements.
const paceWeight = 0.2

func (d *Dispatcher) paceOf(service core.ServiceName) *pace {
	p := d.pace[service]
	if p == nil {
		p = &pace{}
		d.pace[service] = p
	}
	return p
}

// queued notes that a job has to wait. The first one begins a busy time.
func (p *pace) queued(now core.Instant, first bool) {
	if first {
		p.last = now
	}
}

// placed notes that a job was placed. One that did not wait says nothing of the
// time that waiting takes.
func (p *pace) placed(now core.Instant, waited bool) {
	if !waited {
		return
	}
	interval := now.Sub(p.last)
	p.last = now
	if p.interval == 0 {
		p.interval = interval
		return
	}
	p.interval += time.Duration(paceWeight * float64(interval-p.interval))
}

// wait is the expected time until a job with others ahead of it is placed.
func (p *pace) wait(ahead int) time.Duration {
	return time.Duration(ahead) * p.interval
}
