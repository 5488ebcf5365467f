package router

import "github.com/rhubarbsill/rhubarbsill/pkg/core"

// Counters are figures of a Router for the metrics.
type Counters struct {
	// LateAnswers counts the events of Upstreams that were dropped because their
	// attempt had ended, since the start.
	LateAnswers uint64
	// Queued is the number of requests that wait for an Upstream now.
	Queued map[core.ServiceName]int
}

// Counters returns the present figures. Its cost grows with the number of
// requests, so it is not meant to be called for each event.
func (r *Router) Counters() Counters {
	counters := Counters{
		LateAnswers: r.attempts.Stats().LateEvents,
		Queued:      map[core.ServiceName]int{},
	}
	for _, rs := range r.requests {
		if rs.queued {
			counters.Queued[rs.service.Name]++
		}
	}
	return counters
}
