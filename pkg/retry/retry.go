// Package retry bounds the retries to each service. All Instances share the budget of a
// service without messages: every Instance may retry a fraction of its own requests, and
// has its share of a fixed allowance in addition. So the sum stays within the budget
// without an exchange of counts.
package retry

import (
	"time"

	"github.com/rhubarbsill/rhubarbsill/pkg/core"
)

// Params define the budget of each service, over the whole fleet.
type Params struct {
	// Ratio is the number of retries allowed per request.
	Ratio float64
	// Allowance is the number of retries allowed in a window in addition to the ratio.
	Allowance float64
	// Window is the length of the sliding window.
	Window time.Duration
	// UsableFraction is the fraction of the budget that is used. The rest covers requests
	// that are counted in neighbouring windows. 0 selects DefaultUsableFraction.
	UsableFraction float64
}

// DefaultUsableFraction leaves a quarter of the budget unused, because the budget counts
// the requests of whole windows and a burst of failures may fall at their edges.
const DefaultUsableFraction = 0.75

// Budget holds the retry budgets of one Instance. It is not safe for concurrent use.
type Budget struct {
	params    Params
	instances int
	services  map[core.ServiceName]*window
}

// window counts the requests and retries of the last Params.Window, in slices of time.
type window struct {
	requests     [windowSlices]float64
	retries      [windowSlices]float64
	currentSlice int64 // number of the current slice
}

// windowSlices is the number of slices that are kept. It is one more than a window has, so
// that a retry is counted until it has certainly left the window.
const windowSlices = 11

// New returns the budgets of a single Instance.
func New(p Params) *Budget {
	if p.UsableFraction == 0 {
		p.UsableFraction = DefaultUsableFraction
	}
	return &Budget{params: p, instances: 1, services: map[core.ServiceName]*window{}}
}

// SetInstances sets the number of Instances that share the budget.
func (b *Budget) SetInstances(n int) { b.instances = max(1, n) }

// CountRequest counts a request of a service.
func (b *Budget) CountRequest(now core.Instant, service core.ServiceName) {
	w := b.windowAt(now, service)
	w.requests[w.index()]++
}

// Allow reports whether one more retry to a service is allowed, and counts it if so.
func (b *Budget) Allow(now core.Instant, service core.ServiceName) bool {
	w := b.windowAt(now, service)
	if sum(w.retries[:])+1 > b.limit(w) {
		return false
	}
	w.retries[w.index()]++
	return true
}

// CountRetry counts a retry that was sent without Allow.
func (b *Budget) CountRetry(now core.Instant, service core.ServiceName) {
	w := b.windowAt(now, service)
	w.retries[w.index()]++
}

func (b *Budget) limit(w *window) float64 {
	allowance := b.params.Allowance / float64(b.instances)
	return b.params.UsableFraction * (b.params.Ratio*sum(w.requests[:]) + allowance)
}

// windowAt returns the window of a service, advanced to now.
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
