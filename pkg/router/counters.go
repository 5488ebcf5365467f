package router

import "github.com/rhubarbsill/rhubarbsill/pkg/core"

// Counters are values of a Router that the metrics report.
type Counters struct {
	// LateEvents counts the events from Upstreams since the start that were
	// ignored because their attempt had ended.
	LateEvents uint64
	// Queued is the current number of requests that wait for an Upstream.
	Queued map[core.ServiceName]int
}

// Counters returns the current values. It takes time proportional to the number
// of requests, so it should not be called for each event.
func (r *Router) Counters() Counters {
	counters := Counters{
		LateEvents: r.attempts.Stats().LateEvents,
		Queued:     map[core.ServiceName]int{},
	}
	for _, rs := range r.requests {
		if rs.queued {
			counters.Queued[rs.service.Name]++
		}
	}
	return counters
}
