package router

import (
	"time"

	"github.com/rhubarbsill/rhubarbsill/pkg/core"
)

// lateWaitFraction is the part of the time left to a late caller for which its request may wait. A
// caller that is refused then has time for another attempt.
const lateWaitFraction = 0.5

// placeLateUntil returns the instant until which a model request whose latency target had passed when
// it arrived may be placed, 0 for other requests. Such a caller was refused before: it states less time
// than the route allows, by more than the target. The time of a usual run is left after that instant.
func (h *hosted) placeLateUntil(rs *requestState) core.Instant {
	hr := rs.hosted
	timeLeft := rs.request.Deadline.Sub(rs.arrivedAt)
	isRetry := hr.deliveries+hr.undelivered > 0
	if hr.service.Engine == nil || isRetry || timeLeft >= hr.route.Timeout-hr.route.LatencyTarget {
		return 0
	}
	wait := min(timeLeft-h.durations.longest(hr.service.Name), time.Duration(lateWaitFraction*float64(timeLeft)))
	return rs.arrivedAt.Add(max(wait, 0))
}
