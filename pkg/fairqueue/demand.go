package fairqueue

import (
	"math"
	"time"

	"github.com/rhubarbsill/rhubarbsill/pkg/core"
)

const (
	// demandMemory is the time constant of the demand of an account. At two requests a second, a
	// demand at the usual rate looks like farAbove times that once in some thousand requests.
	demandMemory = 5 * time.Second
	// An account is far above its share if its demand for its weight is farAbove times that of all
	// others together.
	farAbove = 2.0
	// demandSumInterval is the time after which the sum over all accounts is computed again. A placement
	// becomes possible about as often.
	demandSumInterval = 20 * time.Millisecond
	// minDemand is the part of a request below which a demand is forgotten.
	minDemand = 0.02
)

// Demand estimates which accounts ask for far more than their share. Its zero value has seen no requests.
type Demand struct {
	accounts map[core.AccountID]*AccountDemand
	sums     uint64 // number of the current sum, from 1
	sumAt    core.Instant
	cost     float64 // of all accounts at sumAt
	weight   float64
}

// AccountDemand is the demand of one account.
type AccountDemand struct {
	weight   float64 // 0 while unknown
	cost     float64 // decaying
	requests float64 // decaying
	at       core.Instant
	farAbove bool   // by the sum judgedBy
	judgedBy uint64 // 0 for none
}

// decay returns the factor by which a demand has fallen at now.
func (a *AccountDemand) decay(now core.Instant) float64 {
	return math.Exp(-now.Sub(a.at).Seconds() / demandMemory.Seconds())
}

// Count adds a request. One without a valid weight has that of the account's last request.
func (d *Demand) Count(now core.Instant, account core.AccountID, weight float64, cost int64) {
	a := d.Of(now, account)
	factor := a.decay(now)
	a.cost, a.requests, a.at = a.cost*factor+float64(max(cost, 1)), a.requests*factor+1, now
	if isValid(weight) {
		a.weight = weight
	}
}

// Of returns the demand of an account.
func (d *Demand) Of(now core.Instant, account core.AccountID) *AccountDemand {
	a := d.accounts[account]
	if a == nil {
		if d.accounts == nil {
			d.accounts = map[core.AccountID]*AccountDemand{}
		}
		a = &AccountDemand{at: now}
		d.accounts[account] = a
	}
	return a
}

// IsFarAbove reports whether an account asks for far more than its share of what all ask for. An account
// that is alone does not, nor one whose weight is unknown, because its share is. The result is at most
// demandSumInterval old, because it is needed for each waiting request in each round.
func (d *Demand) IsFarAbove(now core.Instant, a *AccountDemand) bool {
	d.sum(now)
	if a.judgedBy != d.sums {
		cost := a.cost * a.decay(now)
		othersCost, othersWeight := d.cost-cost, d.weight-a.weight
		a.farAbove = a.weight > 0 && othersCost > 0 && othersWeight > 0 && cost/a.weight > farAbove*othersCost/othersWeight
		a.judgedBy = d.sums
	}
	return a.farAbove
}

func (d *Demand) sum(now core.Instant) {
	if d.sums > 0 && now.Sub(d.sumAt) < demandSumInterval {
		return
	}
	d.sums++
	d.sumAt, d.cost, d.weight = now, 0, 0
	for id, a := range d.accounts {
		factor := a.decay(now)
		if a.requests*factor < minDemand {
			delete(d.accounts, id)
			continue
		}
		if a.weight > 0 {
			d.cost += a.cost * factor
			d.weight += a.weight
		}
	}
}
