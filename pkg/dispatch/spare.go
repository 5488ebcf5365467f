package dispatch

import (
	"time"

	"github.com/rhubarbsill/rhubarbsill/pkg/catalog"
	"github.com/rhubarbsill/rhubarbsill/pkg/core"
	"github.com/rhubarbsill/rhubarbsill/pkg/locality"
)

const (
	// spareLoad is the load of a service, as a part of what its Upstreams take, above which it has no
	// spare capacity. The rest is for what arrives within the time in which loads become known.
	spareLoad = 0.7
	// sparePrefillBacklog is the queued prefill work above which there is none.
	sparePrefillBacklog = 200 * time.Millisecond
)

// HasSpareCapacity reports whether a request of a service could run now without taking the place of one
// that waits or arrives soon. It says so for requests that are served only from idle capacity.
func (d *Dispatcher) HasSpareCapacity(now core.Instant, service core.ServiceName, isModelRequest bool, regions locality.Set) bool {
	if q := d.queues[service]; q != nil && q.Len() > 0 {
		return false
	}
	size := d.engines[service]
	used, total := 0, 0
	backlog, hasPrefill := time.Duration(0), false
	for _, up := range d.byService[service] {
		if !up.usable(now) || up.cold.IsCold(now) || !regions.Allows(up.region) {
			continue
		}
		switch {
		case !isModelRequest:
			used += up.own.Requests + up.peer.Requests
			total += max(1, up.Slots)
		case up.Stage == catalog.StageDecode:
			used += up.own.Tokens + up.peer.Tokens
			total += size.MemoryTokens
		case up.Stage == catalog.StagePrefill:
			queued := d.prefillTimeAt(up, &job{}, boundedPace(up))
			if !hasPrefill || queued < backlog {
				backlog, hasPrefill = queued, true
			}
		}
	}
	return float64(used) < spareLoad*float64(total) && backlog <= sparePrefillBacklog
}
