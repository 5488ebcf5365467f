package limits

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/rhubarbsill/rhubarbsill/pkg/core"
)

// step is one operation on a bucket in the reference model.
type step struct {
	at     core.Instant
	amount Units // charged, or lent
	lend   bool
}

// replayModel runs the steps on a model without remainders and headroom minima, in
// which each charge has its final amount. It returns the level at the end.
func replayModel(a Account, steps []step, end core.Instant, term time.Duration) Units {
	full := Units(a.Burst) * UnitsPerToken
	level := Units(0)
	lastRefill := core.Instant(0)
	type loanEnd struct {
		at     core.Instant
		amount Units
	}
	var loans []loanEnd
	refill := func(to core.Instant) {
		lent := Units(0)
		for _, l := range loans {
			lent += l.amount
		}
		exact := float64(to-lastRefill) * float64(a.Rate) * refillNumerator / refillDenominator
		level = min(full-lent, level+Units(exact)+1)
		lastRefill = to
	}
	advance := func(to core.Instant) {
		for len(loans) > 0 && loans[0].at <= to {
			refill(loans[0].at)
			loans = loans[1:]
		}
		refill(to)
	}
	for _, s := range steps {
		advance(s.at)
		level -= s.amount
		if s.lend {
			loans = append(loans, loanEnd{s.at.Add(term), s.amount})
		}
	}
	advance(end)
	return level
}

// Guards against settlements that create tokens: after any charges, loans and
// refunds, the level is not higher than if every charge had had its final amount.
func TestRefundsNeverCreateTokens(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a := Account{ID: "a", Rate: rapid.Int64Range(1, 200).Draw(t, "rate"), Burst: rapid.Int64Range(1, 400).Draw(t, "burst")}
		b := newBucket(0, a)
		b.share = share{parts: 1}
		now := core.Instant(0)
		var steps []step
		type openCharge struct {
			seq   uint64
			index int
		}
		var charges []openCharge
		const term = time.Second
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.Int64Range(0, 2e9).Draw(t, "wait")))
			b.advance(now)
			amount := Units(rapid.Int64Range(0, int64(b.available())).Draw(t, "amount"))
			switch rapid.IntRange(0, 3).Draw(t, "kind") {
			case 0, 1:
				charges = append(charges, openCharge{b.charge(amount), len(steps)})
				steps = append(steps, step{at: now, amount: amount})
			case 2:
				b.lend(amount, now.Add(term))
				steps = append(steps, step{now, amount, true})
			case 3:
				if len(charges) == 0 {
					continue
				}
				i := rapid.IntRange(0, len(charges)-1).Draw(t, "charge")
				c := charges[i]
				charges = append(charges[:i], charges[i+1:]...)
				refund := Units(rapid.Int64Range(0, int64(steps[c.index].amount)).Draw(t, "back"))
				b.refund(c.seq, refund)
				steps[c.index].amount -= refund
			}
			// The model rounds each refill up by one unit.
			slack := Units(2*len(steps) + 2)
			if want := replayModel(a, steps, now, term); b.level > want+slack {
				t.Fatalf("level %d, the model has %d after %d steps", b.level, want, len(steps))
			}
			if b.headroom() < 0 {
				t.Fatalf("level %d, lent %d over capacity", b.level, b.lent)
			}
		}
	})
}

// Guards against rounding that creates tokens: many small refills add no more than
// one large one, and the shares of a home set add up to no more than the burst.
func TestRoundingNeverCreatesTokens(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rate := rapid.Int64Range(1, MaxTokens).Draw(t, "rate")
		k := rapid.IntRange(1, 3).Draw(t, "k")
		var sum Units
		var carry uint64
		var total time.Duration
		for range rapid.IntRange(1, 50).Draw(t, "refills") {
			elapsed := time.Duration(rapid.Int64Range(0, 1000).Draw(t, "elapsed"))
			total += elapsed
			var amount Units
			amount, carry = refillAmount(elapsed, rate, k, carry)
			sum += amount
		}
		if once, _ := refillAmount(total, rate, k, 0); sum != once {
			t.Fatalf("small refills give %d, one refill %d", sum, once)
		}
		burst := Units(rapid.Int64Range(0, MaxTokens).Draw(t, "burst")) * UnitsPerToken
		var parts Units
		for rank := range k {
			parts += share{k, rank}.capacity(burst)
		}
		if parts != burst {
			t.Fatalf("parts add up to %d of %d", parts, burst)
		}
	})
}

// Guards against an overflow that gives few or negative tokens after a long idle time.
func TestRefillSaturates(t *testing.T) {
	is := is.New(t)
	amount, _ := refillAmount(1<<62, MaxTokens, 1, 0)
	is.Equal(amount, Units(1<<63-1))
}
