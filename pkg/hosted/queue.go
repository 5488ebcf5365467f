package hosted

import "github.com/rhubarbsill/rhubarbsill/pkg/router"

// setQueueByUrgency records the waiting requests, and those refused since the last call. An urgency of
// which none waits any more is recorded as 0.
func (d *Daemon) setQueueByUrgency(queue map[int]router.UrgencyGauges) {
	for urgency, last := range d.lastQueue {
		if _, found := queue[urgency]; !found {
			queue[urgency] = router.UrgencyGauges{Refused: last.Refused}
		}
	}
	for urgency, now := range queue {
		d.metrics.SetQueueOfUrgency(urgency, now.Waiting, now.Refused-d.lastQueue[urgency].Refused)
	}
	d.lastQueue = queue
}
