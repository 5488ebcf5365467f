package telemetry

import (
	"sync"
	"time"

	"github.com/rhubarbsill/rhubarbsill/pkg/core"
)

// windowSlices is the number of parts of the window; the oldest part is dropped
// when a new one begins.
const windowSlices = 6

// window counts the requests of each account over the last few slices of time.
type window struct {
	slice       time.Duration
	minRequests int
	maxAccounts int
	now         func() time.Time

	mu       sync.Mutex
	start    time.Time
	current  int64
	accounts map[core.AccountID]*[windowSlices]served
}

type served struct {
	slice       int64
	good, total int
}

func newWindow(opts Options) *window {
	w := &window{
		slice:       opts.Window / windowSlices,
		minRequests: opts.MinRequests,
		maxAccounts: opts.MaxAccounts,
		now:         opts.Now,
		accounts:    make(map[core.AccountID]*[windowSlices]served),
	}
	if w.slice <= 0 {
		w.slice = time.Minute / windowSlices
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

// add counts one request. An account beyond the bound is not followed.
func (w *window) add(account core.AccountID, good bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.advance()
	slices, ok := w.accounts[account]
	if !ok {
		if len(w.accounts) >= w.maxAccounts {
			return
		}
		slices = new([windowSlices]served)
		w.accounts[account] = slices
	}
	s := &slices[w.current%windowSlices]
	if s.slice != w.current {
		*s = served{slice: w.current}
	}
	s.total++
	if good {
		s.good++
	}
}

// advance moves to the slice of the present time and forgets accounts that had no
// request within the window.
func (w *window) advance() {
	current := int64(w.now().Sub(w.start) / w.slice)
	if current == w.current {
		return
	}
	w.current = current
	for account, slices := range w.accounts {
		if w.sum(slices).total == 0 {
			delete(w.accounts, account)
		}
	}
}

func (w *window) sum(slices *[windowSlices]served) served {
	var sum served
	for _, s := range slices {
		if s.slice > w.current-windowSlices {
			sum.good += s.good
			sum.total += s.total
		}
	}
	return sum
}

// worst returns the lowest share of good requests of any account, 1 without one.
func (w *window) worst() float64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.advance()
	worst := 1.0
	for _, slices := range w.accounts {
		sum := w.sum(slices)
		if sum.total >= w.minRequests {
			worst = min(worst, float64(sum.good)/float64(sum.total))
		}
	}
	return worst
}
