package telemetry

import (
	"sync"
	"time"

	"github.com/rhubarbsill/rhubarbsill/pkg/core"
)

// windowSlices is the number of slices of the window; the oldest slice is dropped
// when a new one starts.
const windowSlices = 6

// window counts the requests of each account in a sliding window of time.
type window struct {
	sliceDuration time.Duration
	minRequests   int
	maxAccounts   int
	now           func() time.Time

	mu           sync.Mutex
	start        time.Time
	currentSlice int64
	accounts     map[core.AccountID]*[windowSlices]sliceCounts
}

type sliceCounts struct {
	sliceIndex        int64
	metTargets, total int
}

func newWindow(opts Options) *window {
	w := &window{
		sliceDuration: opts.Window / windowSlices,
		minRequests:   opts.MinRequests,
		maxAccounts:   opts.MaxAccounts,
		now:           opts.Now,
		accounts:      make(map[core.AccountID]*[windowSlices]sliceCounts),
	}
	if w.sliceDuration <= 0 {
		w.sliceDuration = time.Minute / windowSlices
	}
	if w.minRequests <= 0 {
		w.minRequests = 5
	}
	if w.maxAccounts <= 0 {
		w.maxAccounts = 30000
	}
	if w.now == nil {
		w.now = time.Now
	}
	w.start = w.now()
	return w
}

// add counts one request. New accounts are ignored while maxAccounts are tracked.
func (w *window) add(account core.AccountID, metTargets bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.advance()
	slices, ok := w.accounts[account]
	if !ok {
		if len(w.accounts) >= w.maxAccounts {
			return
		}
		slices = new([windowSlices]sliceCounts)
		w.accounts[account] = slices
	}
	s := &slices[w.currentSlice%windowSlices]
	if s.sliceIndex != w.currentSlice {
		*s = sliceCounts{sliceIndex: w.currentSlice}
	}
	s.total++
	if metTargets {
		s.metTargets++
	}
}

// advance moves to the current slice and removes accounts without requests in the
// window.
func (w *window) advance() {
	current := int64(w.now().Sub(w.start) / w.sliceDuration)
	if current == w.currentSlice {
		return
	}
	w.currentSlice = current
	for account, slices := range w.accounts {
		if w.sum(slices).total == 0 {
			delete(w.accounts, account)
		}
	}
}

func (w *window) sum(slices *[windowSlices]sliceCounts) sliceCounts {
	var sum sliceCounts
	for _, s := range slices {
		if s.sliceIndex > w.currentSlice-windowSlices {
			sum.metTargets += s.metTargets
			sum.total += s.total
		}
	}
	return sum
}

// lowestShare returns the lowest share of requests that met their targets of any
// account, 1 when no account has minRequests.
func (w *window) lowestShare() float64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.advance()
	lowest := 1.0
	for _, slices := range w.accounts {
		sum := w.sum(slices)
		if sum.total >= w.minRequests {
			lowest = min(lowest, float64(sum.metTargets)/float64(sum.total))
		}
	}
	return lowest
}
