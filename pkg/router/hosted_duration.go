package router

import (
	"time"

	"github.com/rhubarbsill/rhubarbsill/pkg/core"
)

// durationWindow is the time for which the duration of a request is remembered at least. It is
// forgotten after twice that time.
const durationWindow = 30 * time.Second

// longestDurations holds the longest duration of recent requests for each service.
type longestDurations struct {
	current, previous map[core.ServiceName]time.Duration
	windowEnd         core.Instant
}

// record adds the duration of a request.
func (l *longestDurations) record(now core.Instant, service core.ServiceName, duration time.Duration) {
	if now >= l.windowEnd {
		l.previous, l.current = l.current, map[core.ServiceName]time.Duration{}
		if now >= l.windowEnd.Add(durationWindow) {
			l.previous = nil
		}
		l.windowEnd = now.Add(durationWindow)
	}
	l.current[service] = max(l.current[service], duration)
}

// longest returns the longest duration of a service, 0 if none is known.
func (l *longestDurations) longest(service core.ServiceName) time.Duration {
	return max(l.current[service], l.previous[service])
}
