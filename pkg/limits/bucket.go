package limits

import (
	"math/bits"
	"time"

	"github.com/rhubarbsill/rhubarbsill/pkg/core"
)

// A bucket refills at 100/101 of its share of the rate, so that it does not exceed
// the share when its clock is 1% fast.
const (
	refillNumerator   = 100
	refillDenominator = 101
)

// maxMinima bounds the headroom minima that a bucket records for settlements. When
// there are more, the oldest two are merged, which can only reduce a refund.
const maxMinima = 8

// bucket is this Instance's share of one account. Its tokens, reservations and
// loans together never exceed capacity:
//
//	level + reserved + lent <= share.capacity(burst)
type bucket struct {
	limit   Account
	burst   Units
	share   share
	homeSet []core.InstanceID // under the latest roster

	level      Units // negative after use beyond a charge, or when the share shrank below what is lent and reserved
	lastRefill core.Instant
	remainder  uint64 // of the division in the last refill
	reserved   Units  // for requests that wait for a loan
	lent       Units
	lentLoans  []lentLoan // by expiry

	borrowedLoans []*borrowedLoan // by expiry
	waiting       int             // requests that wait for a loan
	usedAt        core.Instant

	chargeCount uint64 // number of charges so far
	minima      []headroomMinimum
}

// lentLoan reduces the lender's capacity until it expires.
type lentLoan struct {
	expiresAt core.Instant
	amount    Units
}

// borrowedLoan is a loan on the borrower's side. It is not refilled, and refunds
// to it are lost once it has expired.
type borrowedLoan struct {
	expiresAt core.Instant
	level     Units
}

// headroomMinimum is a minimum of the headroom, recorded when the last charge was
// chargeSeq. A refund of a charge is limited by all minima since then: if the final
// amount had been charged at first, anything above them would have overflowed the
// bucket.
type headroomMinimum struct {
	chargeSeq uint64
	headroom  Units
}

func newBucket(now core.Instant, a Account) *bucket {
	return &bucket{limit: a, burst: Units(a.Burst) * UnitsPerToken, lastRefill: now, usedAt: now}
}

// headroom returns how much can be added before the bucket is full.
func (b *bucket) headroom() Units {
	return b.share.capacity(b.burst) - b.lent - b.reserved - b.level
}

// advance refills the bucket and expires loans up to now.
func (b *bucket) advance(now core.Instant) {
	expired := 0
	for _, loan := range b.lentLoans {
		if loan.expiresAt > now {
			break
		}
		b.refill(loan.expiresAt)
		b.recordMinimum()
		b.lent -= loan.amount
		expired++
	}
	b.lentLoans = dropFirst(b.lentLoans, expired)
	b.refill(now)
	expired = 0
	for _, loan := range b.borrowedLoans {
		if loan.expiresAt > now {
			break
		}
		expired++
	}
	b.borrowedLoans = dropFirst(b.borrowedLoans, expired)
}

// dropFirst removes the first n elements. It returns nil when none are left, which
// frees the array.
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
	headroom := b.headroom()
	if headroom <= 0 || b.share.parts == 0 {
		b.remainder = 0
		return
	}
	amount, remainder := refillAmount(elapsed, b.limit.Rate, b.share.parts, b.remainder)
	if amount >= headroom {
		b.level += headroom
		b.remainder = 0
		return
	}
	b.level += amount
	b.remainder = remainder
}

// refillAmount returns the refill of one of the given number of parts of the rate in
// the elapsed time, rounded down, and the remainder for the next call. It saturates
// at the largest Units.
func refillAmount(elapsed time.Duration, rate int64, parts int, carry uint64) (Units, uint64) {
	const maxUnits = Units(1<<63 - 1)
	divisor := uint64(parts) * refillDenominator
	hi, lo := bits.Mul64(uint64(elapsed), uint64(rate)*refillNumerator)
	lo, overflow := bits.Add64(lo, carry, 0)
	hi += overflow
	if hi >= divisor {
		return maxUnits, 0
	}
	quotient, remainder := bits.Div64(hi, lo, divisor)
	if quotient > uint64(maxUnits) {
		return maxUnits, 0
	}
	return Units(quotient), remainder
}

// setShare changes the share. Tokens that no longer fit are lost; a larger share
// adds no tokens.
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

// clamp reduces the level to the capacity after a change of share or limit.
func (b *bucket) clamp() {
	b.remainder = 0
	if excess := -b.headroom(); excess > 0 {
		b.level -= excess
	}
	b.recordMinimum()
}

// recordMinimum records the current headroom as a minimum. It must be called before
// the headroom grows.
func (b *bucket) recordMinimum() {
	headroom := b.headroom()
	for len(b.minima) > 0 && b.minima[len(b.minima)-1].headroom >= headroom {
		b.minima = b.minima[:len(b.minima)-1]
	}
	if len(b.minima) == maxMinima {
		b.minima[1].headroom = min(b.minima[0].headroom, b.minima[1].headroom)
		b.minima = append(b.minima[:0], b.minima[1:]...)
	}
	b.minima = append(b.minima, headroomMinimum{b.chargeCount, headroom})
}

// charge deducts amount from the level and returns the sequence number of the charge.
func (b *bucket) charge(amount Units) uint64 {
	b.recordMinimum()
	b.level -= amount
	b.chargeCount++
	return b.chargeCount
}

// refund returns up to amount of the charge seq to the level: what would still be in
// the bucket if it had not been charged.
func (b *bucket) refund(seq uint64, amount Units) {
	refundable := min(amount, b.headroom())
	for i := range b.minima {
		minimum := &b.minima[i]
		if minimum.chargeSeq < seq {
			continue
		}
		refundable = min(refundable, minimum.headroom)
		minimum.headroom = max(0, minimum.headroom-amount)
	}
	b.level += max(0, refundable)
}

// blockedFor returns how long lent loans leave no headroom to refill.
func (b *bucket) blockedFor(now core.Instant) time.Duration {
	headroom := b.headroom()
	if headroom > 0 {
		return 0
	}
	for _, loan := range b.lentLoans {
		headroom += loan.amount
		if headroom > 0 {
			return loan.expiresAt.Sub(now)
		}
	}
	return 0
}

// available returns what can be spent or lent from the entitlement.
func (b *bucket) available() Units { return max(0, b.level) }

// borrowedLevel returns what is left in the borrowed loans. Call advance first,
// which removes expired ones.
func (b *bucket) borrowedLevel() Units {
	var sum Units
	for _, loan := range b.borrowedLoans {
		sum += loan.level
	}
	return sum
}

// lend deducts a loan from the level and reduces the capacity until the given instant.
func (b *bucket) lend(amount Units, until core.Instant) {
	b.level -= amount
	b.lent += amount
	b.lentLoans = append(b.lentLoans, lentLoan{until, amount})
}

// idle reports whether the bucket can be dropped without loss: it has no loans and
// reservations, and is as full as a new one would be.
func (b *bucket) idle() bool {
	if b.lent != 0 || b.reserved != 0 || b.waiting != 0 || len(b.borrowedLoans) != 0 {
		return false
	}
	return b.headroom() <= 0
}
