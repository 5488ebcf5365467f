package placement

import (
	"time"

	"github.com/rhubarbsill/rhubarbsill/pkg/core"
)

// backlog is an amount of work that drains at a constant rate: the tokens queued at a
// prefill engine, or the bytes queued on a link.
type backlog struct {
	rate      float64 // units per second, 0 for unlimited
	amount    float64 // remaining units at updatedAt
	updatedAt core.Instant
}

// remaining returns the remaining amount at t.
func (f *backlog) remaining(t core.Instant) float64 {
	if t <= f.updatedAt {
		return f.amount
	}
	return max(0, f.amount-f.rate*t.Sub(f.updatedAt).Seconds())
}

// add adds amount, which may be negative, at t. The sum is never below 0.
func (f *backlog) add(t core.Instant, amount float64) {
	if t > f.updatedAt {
		f.amount = f.remaining(t)
		f.updatedAt = t
	}
	f.amount = max(0, f.amount+amount)
}

// setRate changes the rate at t.
func (f *backlog) setRate(t core.Instant, rate float64) {
	f.add(t, 0)
	f.rate = rate
}

// delay returns the time from t until the remaining work and then amount are done.
func (f *backlog) delay(t core.Instant, amount float64) time.Duration {
	if f.rate == 0 {
		return 0
	}
	return seconds((f.remaining(t) + amount) / f.rate)
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
