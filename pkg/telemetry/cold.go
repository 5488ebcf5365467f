package telemetry

import (
	"context"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"
)

// SetColdUpstreams records the number of cold Upstreams, and of those to which this Instance may send.
func (m *Metrics) SetColdUpstreams(cold, sending int) {
	for use, n := range map[string]int{"sending": sending, "other": cold - sending} {
		m.coldUpstreams.Record(context.Background(), int64(n), metric.WithAttributes(attribute.String("use", use)))
	}
}

// AddColdRequests records requests that were sent to cold Upstreams, those that were deferred, and the
// last requests of holds granted before the cold time. The latter count as sent too.
func (m *Metrics) AddColdRequests(sent, deferred, early int) {
	for outcome, n := range map[string]int{"sent": sent, "deferred": deferred, "early": early} {
		if n > 0 {
			m.coldRequests.Add(context.Background(), int64(n), metric.WithAttributes(attribute.String("outcome", outcome)))
		}
	}
}
