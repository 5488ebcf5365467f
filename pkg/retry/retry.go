// Package retry bounds the resends to each service. All Instances share the
// budget of a service without messages: every Instance may resend a share of its
// own requests plus its part of a fixed allowance, so the sum stays within the
// budget whatever the Instances know of each other.
package retry

import (
	"time"

	"github.com/rhubarbsill/rhubarbsill/pkg/core"
)

// Params are the bounds of the fleet.
type Params struct {
	// Ratio is the number of resends allowed per request.
	Ratio float64
	// Allowance is the number of resends allowed in a window beside the ratio.
	Allowance float64
	// Window is the length of the sliding window.
	Window time.Duration
	// UsableFraction is the part of the budget that is used, to cover requests that are
	// counted in neighbouring windows.
	UsableFraction float64
}

// DefaultUsableFraction leaves a quarter of the budget unused: the budget counts the
// requests of whole windows, and a burst of failures falls at their edges.
const DefaultUsableFraction = 0.75

// Budget holds the budgets of one Instance.
type Budget struct {
	params    Params
	instances int
	services  map[core.ServiceName]*window
}

// window counts the last Window in slices.
type window struct {
	requests     [windowSlices]float64
	retries      [windowSlices]float64
	currentSlice int64 // number of the current slice
}

// windowSlices is the number of windowSlices of a window. One more than the window is kept
// in view, so that a resend leaves the count only after it has left the window.
const windowSlices = 11

// New returns the budgets of an Instance in a fleet of one.
func New(p Params) *Budget {
	if p.UsableFraction == 0 {
		p.UsableFraction = DefaultUsableFraction
	}
	return &Budget{params: p, instances: 1, services: map[core.ServiceName]*window{}}
}

// SetInstances tells how many Instances share the budget.
func (b *Budget) SetInstances(n int) { b.instances = max(1, n) }

// CountRequest counts a request of a service.
func (b *Budget) CountRequest(now core.Instant, service core.ServiceName) {
	w := b.windowAt(now, service)
	w.requests[w.index()]++
}

// Allow asks for one resend to a service and counts it when it is allowed.
func (b *Budget) Allow(now core.Instant, service core.ServiceName) bool {
	w := b.windowAt(now, service)
	if sum(w.retries[:])+1 > b.limit(w) {
		return false
	}
	w.retries[w.index()]++
	return true
}

// CountRetry counts a resend that has happened whether it was allowed or not.
func (b *Budget) CountRetry(now core.Instant, service core.ServiceName) {
	w := b.windowAt(now, service)
	w.retries[w.index()]++
}

func (b *Budget) limit(w *window) float64 {
	allowance := b.params.Allowance / float64(b.instances)
	return b.params.UsableFraction * (b.params.Ratio*sum(w.requests[:]) + allowance)
}

// windowAt returns the window of a service, moved on to now.
func (b *Budget) windowAt(now core.Instant, service core.ServiceName) *window {
	w := b.services[service]
	if w == nil {
		w = &window{}
		b.services[service] = w
	}
	number := int64(now) / int64(b.params.Window/(windowSlices-1))
	for w.currentSlice < number {
		if number-w.currentSlice > windowSlices {
			w.currentSlice = number - windowSlices
		}
		w.currentSlice++
		w.requests[w.index()] = 0
		w.retries[w.index()] = 0
	}
	return w
}

func (w *window) index() int { return int(w.currentSlice % windowSlices) }

func sum(values []float64) float64 {
	total := 0.0
	for _, v := range values {
		total += v
	}
	return total
}
