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

// maxMarks bounds the low points that a bucket remembers for settlements. When
// there are more, the oldest two are merged, which can only reduce a refund.
const maxMarks = 8

// bucket is this Instance's part of one account. Its tokens, reservations and
// loans together never exceed capacity:
//
//	level + reserved + lent <= share.capacity(burst)
type bucket struct {
	limit Account
	burst Units
	share share
	home  []core.InstanceID // under the latest roster

	level     Units // negative after a share shrank below what was lent or reserved
	at        core.Instant
	remainder uint64 // of the last refill's division
	reserved  Units  // set aside for requests that wait for a loan
	lent      Units
	loans     []lentLoan // in order of their end

	borrowed []*borrowed // in order of their end
	waiting  int         // requests that wait for a loan
	usedAt   core.Instant

	charges uint64 // number of charges so far
	marks   []mark
}

// lentLoan holds the lender's capacity down until its end.
type lentLoan struct {
	until  core.Instant
	amount Units
}

// borrowed is a loan on the borrower's side. It is not refilled, and it takes
// nothing back once it has ended.
type borrowed struct {
	until core.Instant
	level Units
}

// mark is a low point of the room below the capacity, noted after the charge
// number seq. A refund of an earlier charge must fit below all later marks:
// what exceeds them would have overflowed if the charge had been right at first.
type mark struct {
	seq  uint64
	room Units
}

func newBucket(now core.Instant, a Account) *bucket {
	return &bucket{limit: a, burst: Units(a.Burst) * UnitsPerToken, at: now, usedAt: now}
}

// room returns how much the bucket can take before it is full.
func (b *bucket) room() Units {
	return b.share.capacity(b.burst) - b.lent - b.reserved - b.level
}

// touch refills the bucket and ends loans up to now.
func (b *bucket) touch(now core.Instant) {
	ended := 0
	for _, loan := range b.loans {
		if loan.until > now {
			break
		}
		b.refill(loan.until)
		b.note()
		b.lent -= loan.amount
		ended++
	}
	b.loans = trim(b.loans, ended)
	b.refill(now)
	ended = 0
	for _, loan := range b.borrowed {
		if loan.until > now {
			break
		}
		ended++
	}
	b.borrowed = trim(b.borrowed, ended)
}

// trim drops the first n elements and releases the memory of an empty slice.
func trim[T any](list []T, n int) []T {
	switch {
	case n == 0:
		return list
	case n == len(list):
		return nil
	}
	return append(list[:0], list[n:]...)
}

func (b *bucket) refill(now core.Instant) {
	if now <= b.at {
		return
	}
	elapsed := now.Sub(b.at)
	b.at = now
	room := b.room()
	if room <= 0 || b.share.k == 0 {
		b.remainder = 0
		return
	}
	amount, remainder := refillAmount(elapsed, b.limit.Rate, b.share.k, b.remainder)
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
	b.note()
	b.share = s
	b.clamp()
}

func (b *bucket) setLimit(a Account) {
	b.note()
	b.limit = a
	b.burst = Units(a.Burst) * UnitsPerToken
	b.clamp()
}

func (b *bucket) clamp() {
	b.remainder = 0
	if excess := -b.room(); excess > 0 {
		b.level -= excess
	}
	b.note()
}

// note remembers the present room as a low point. It is called before the room grows.
func (b *bucket) note() {
	room := b.room()
	for len(b.marks) > 0 && b.marks[len(b.marks)-1].room >= room {
		b.marks = b.marks[:len(b.marks)-1]
	}
	if len(b.marks) == maxMarks {
		b.marks[1].room = min(b.marks[0].room, b.marks[1].room)
		b.marks = append(b.marks[:0], b.marks[1:]...)
	}
	b.marks = append(b.marks, mark{b.charges, room})
}

// charge takes units from the level and returns the number of the charge.
func (b *bucket) charge(amount Units) uint64 {
	b.note()
	b.level -= amount
	b.charges++
	return b.charges
}

// refund gives back up to amount of the charge number seq: what would still be
// in the bucket if it had not been charged.
func (b *bucket) refund(seq uint64, amount Units) {
	fits := min(amount, b.room())
	for i := range b.marks {
		m := &b.marks[i]
		if m.seq < seq {
			continue
		}
		fits = min(fits, m.room)
		m.room = max(0, m.room-amount)
	}
	b.level += max(0, fits)
}

// blockedFor returns how long loans leave no room to refill.
func (b *bucket) blockedFor(now core.Instant) time.Duration {
	room := b.room()
	if room > 0 {
		return 0
	}
	for _, loan := range b.loans {
		room += loan.amount
		if room > 0 {
			return loan.until.Sub(now)
		}
	}
	return 0
}

// available returns what can be spent or lent from the entitlement.
func (b *bucket) available() Units { return max(0, b.level) }

// borrowedLevel returns what is left in loans that run at now.
func (b *bucket) borrowedLevel() Units {
	var sum Units
	for _, loan := range b.borrowed {
		sum += loan.level
	}
	return sum
}

// lend takes a loan from the level and holds the capacity down until its end.
func (b *bucket) lend(amount Units, until core.Instant) {
	b.level -= amount
	b.lent += amount
	b.loans = append(b.loans, lentLoan{until, amount})
}

// idle reports whether dropping the bucket loses nothing: it is empty of loans
// and as full as a new one would be.
func (b *bucket) idle() bool {
	if b.lent != 0 || b.reserved != 0 || b.waiting != 0 || len(b.borrowed) != 0 {
		return false
	}
	return b.room() <= 0
}
