package limits

import (
	"math/bits"
	"time"

	"github.com/rhubarbsill/rhubarbsill/pkg/core"
)

// A bucket refills at 100/101 of its part of the rate, as its clock may be 1% fast.
const (
	refillNumerator   = 100
	refillDenominator = 101
)

// maxMinima bounds the low points that a bucket remembers for settlements. When
// there are more, the oldest two are merged, which can only reduce a refund.
const maxMinima = 8

// bucket is this Instance's part of one account. Its tokens, reservations and
// loans together never exceed capacity:
//
//	level + reserved + lent <= share.capacity(burst)
type bucket struct {
	limit   Account
	burst   Units
	share   share
	homeSet []core.InstanceID // under the latest roster

	level      Units // negative after a share shrank below what was lent or reserved
	lastRefill core.Instant
	remainder  uint64 // of the last refill's division
	reserved   Units  // set aside for requests that wait for a loan
	lent       Units
	lentLoans  []lentLoan // in order of their end

	borrowedLoans []*borrowedLoan // in order of their end
	waiting       int             // requests that wait for a loan
	usedAt        core.Instant

	chargeCount uint64 // number of charges so far
	minima      []headroomMinimum
}

// lentLoan holds the lender's capacity down until its end.
type lentLoan struct {
	expiresAt core.Instant
	amount    Units
}

// borrowedLoan is a loan on the borrower's side. It is not refilled, and it takes
// nothing back once it has ended.
type borrowedLoan struct {
	expiresAt core.Instant
	level     Units
}

// headroomMinimum is a low point of the room below the capacity, noted after the charge
// number seq. A refund of an earlier charge must fit below all later marks:
// what exceeds them would have overflowed if the charge had been right at first.
type headroomMinimum struct {
	chargeSeq uint64
	headroom  Units
}

func newBucket(now core.Instant, a Account) *bucket {
	return &bucket{limit: a, burst: Units(a.Burst) * UnitsPerToken, lastRefill: now, usedAt: now}
}

// headroom returns how much the bucket can take before it is full.
func (b *bucket) headroom() Units {
	return b.share.capacity(b.burst) - b.lent - b.reserved - b.level
}

// advance refills the bucket and ends loans up to now.
func (b *bucket) advance(now core.Instant) {
	ended := 0
	for _, loan := range b.lentLoans {
		if loan.expiresAt > now {
			break
		}
		b.refill(loan.expiresAt)
		b.recordMinimum()
		b.lent -= loan.amount
		ended++
	}
	b.lentLoans = dropFirst(b.lentLoans, ended)
	b.refill(now)
	ended = 0
	for _, loan := range b.borrowedLoans {
		if loan.expiresAt > now {
			break
		}
		ended++
	}
	b.borrowedLoans = dropFirst(b.borrowedLoans, ended)
}

// dropFirst drops the first n elements and releases the memory of an empty slice.
func dropFirst[T any](list []T, n int) []T {
	switch {
	case n == 0:
		return list
	case n == len(list):
		return nil
	}
	return append(list[:0], list[n:]...)
}

func (b *bucket) refill(now core.Instant) {
	if now <= b.lastRefill {
		return
	}
	elapsed := now.Sub(b.lastRefill)
	b.lastRefill = now
	room := b.headroom()
	if room <= 0 || b.share.parts == 0 {
		b.remainder = 0
		return
	}
	amount, remainder := refillAmount(elapsed, b.limit.Rate, b.share.parts, b.remainder)
	if amount >= room {
		b.level += room
		b.remainder = 0
		return
	}
	b.level += amount
	b.remainder = remainder
}

// refillAmount returns the refill of a k-th part in the time, rounded down, and
// the remainder to carry over. It saturates at the largest Units.
func refillAmount(elapsed time.Duration, rate int64, k int, carry uint64) (Units, uint64) {
	const largest = Units(1<<63 - 1)
	divisor := uint64(k) * refillDenominator
	hi, lo := bits.Mul64(uint64(elapsed), uint64(rate)*refillNumerator)
	lo, overflow := bits.Add64(lo, carry, 0)
	hi += overflow
	if hi >= divisor {
		return largest, 0
	}
	quotient, remainder := bits.Div64(hi, lo, divisor)
	if quotient > uint64(largest) {
		return largest, 0
	}
	return Units(quotient), remainder
}

// setShare changes the share. What no longer fits is lost; a share that grows
// brings no tokens.
func (b *bucket) setShare(s share) {
	if s == b.share {
		return
	}
	b.recordMinimum()
	b.share = s
	b.clamp()
}

func (b *bucket) setLimit(a Account) {
	b.recordMinimum()
	b.limit = a
	b.burst = Units(a.Burst) * UnitsPerToken
	b.clamp()
}

func (b *bucket) clamp() {
	b.remainder = 0
	if excess := -b.headroom(); excess > 0 {
		b.level -= excess
	}
	b.recordMinimum()
}

// recordMinimum remembers the present room as a low point. It is called before the room grows.
func (b *bucket) recordMinimum() {
	room := b.headroom()
	for len(b.minima) > 0 && b.minima[len(b.minima)-1].headroom >= room {
		b.minima = b.minima[:len(b.minima)-1]
	}
	if len(b.minima) == maxMinima {
		b.minima[1].headroom = min(b.minima[0].headroom, b.minima[1].headroom)
		b.minima = append(b.minima[:0], b.minima[1:]...)
	}
	b.minima = append(b.minima, headroomMinimum{b.chargeCount, room})
}

// charge takes units from the level and returns the number of the charge.
func (b *bucket) charge(amount Units) uint64 {
	b.recordMinimum()
	b.level -= amount
	b.chargeCount++
	return b.chargeCount
}

// refund gives back up to amount of the charge number seq: what would still be
// in the bucket if it had not been charged.
func (b *bucket) refund(seq uint64, amount Units) {
	fits := min(amount, b.headroom())
	for i := range b.minima {
		m := &b.minima[i]
		if m.chargeSeq < seq {
			continue
		}
		fits = min(fits, m.headroom)
		m.headroom = max(0, m.headroom-amount)
	}
	b.level += max(0, fits)
}

// blockedFor returns how long loans leave no room to refill.
func (b *bucket) blockedFor(now core.Instant) time.Duration {
	room := b.headroom()
	if room > 0 {
		return 0
	}
	for _, loan := range b.lentLoans {
		room += loan.amount
		if room > 0 {
			return loan.expiresAt.Sub(now)
		}
	}
	return 0
}

// available returns what can be spent or lent from the entitlement.
func (b *bucket) available() Units { return max(0, b.level) }

// borrowedLevel returns what is left in loans that run at now.
func (b *bucket) borrowedLevel() Units {
	var sum Units
	for _, loan := range b.borrowedLoans {
		sum += loan.level
	}
	return sum
}

// lend takes a loan from the level and holds the capacity down until its end.
func (b *bucket) lend(amount Units, until core.Instant) {
	b.level -= amount
	b.lent += amount
	b.lentLoans = append(b.lentLoans, lentLoan{until, amount})
}

// idle reports whether dropping the bucket loses nothing: it is empty of loans
// and as full as a new one would be.
func (b *bucket) idle() bool {
	if b.lent != 0 || b.reserved != 0 || b.waiting != 0 || len(b.borrowedLoans) != 0 {
		return false
	}
	return b.headroom() <= 0
}
