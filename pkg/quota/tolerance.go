package quota

import (
	"time"

	"github.com/rhubarbsill/rhubarbsill/pkg/core"
)

// Tolerance is what the platform allows beyond the allowances. In any Window, an account may use its
// allowance of the window (Rate x Window + Burst) x (1 + Overage) + Slack tokens.
//
// AdmitWithinTolerance uses Part of it on purpose, for requests that the bucket refuses while engines are
// idle. The rest covers what Instances admit before they hear of each other. With tokens admitted
// by the bucket as "regular" and the others as "extra", it keeps to this rule: in any window,
//
//	extra <= Burst - (level of the bucket at the begin of the window) + Part x tolerance
//
// The bucket admits at most Rate x Window + that level in the window, so that both together stay below
// Rate x Window + Burst + Part x tolerance. As the begin of the window is not known when a request is
// admitted, the highest level of the last window counts.
type Tolerance struct {
	Window  time.Duration
	Overage float64
	Slack   float64
	// Part is the part that may be used, from 0 for none to 1.
	Part float64
}

const (
	// windowMargin is added to the window: a request reaches its engine some time after it was
	// admitted, when it has waited and its prompt was read.
	windowMargin = 1500 * time.Millisecond
	// slotLength is the resolution of the window.
	slotLength = 500 * time.Millisecond
	// toleranceLag is the time until peers know of an admission in a fleet whose quota updates are at
	// their limit for a moment.
	toleranceLag = 2 * reportLag
)

// usageWindow holds, for each slot of the last window, the highest level of an account's bucket and the
// extra tokens that the fleet has admitted.
type usageWindow struct {
	slots []usageSlot // ring, by number; nil for an account whose level was never low
	since core.Instant
}

type usageSlot struct {
	number   int64
	maxLevel float64
	extra    int64
}

// slot returns the slot of an instant. A slot that was used for an earlier time starts empty.
func (w *usageWindow) slot(now core.Instant, length int) *usageSlot {
	if len(w.slots) != length {
		w.slots, w.since = make([]usageSlot, length), now
	}
	number := int64(now) / int64(slotLength)
	s := &w.slots[number%int64(length)]
	if s.number != number {
		*s = usageSlot{number: number}
	}
	return s
}

// sum returns the highest level and the extra tokens of the window that ends now.
func (w *usageWindow) sum(now core.Instant) (maxLevel float64, extra int64) {
	first := int64(now)/int64(slotLength) - int64(len(w.slots)) + 1
	for _, s := range w.slots {
		if s.number >= first {
			maxLevel = max(maxLevel, s.maxLevel)
			extra += s.extra
		}
	}
	return maxLevel, extra
}

// SetTolerance sets what AdmitWithinTolerance may use. Windows are complete a window later.
func (q *Quota[K]) SetTolerance(now core.Instant, t Tolerance) {
	q.tolerance = t
	q.restartWindows(now)
}

func (t Tolerance) window() time.Duration { return t.Window + windowMargin }

func (t Tolerance) numSlots() int { return int(t.window()/slotLength) + 1 }

// restartWindows begins new windows, because what others have admitted until now may not be known.
func (q *Quota[K]) restartWindows(now core.Instant) {
	q.windowsFrom = max(q.windowsFrom, now.Add(q.tolerance.window()))
}

// recordLevel records the level of an account for its window. Most accounts are far inside their rate and
// need no window: 27,000 would take 13 MB.
func (q *Quota[K]) recordLevel(now core.Instant, a *account) {
	if q.tolerance.Part <= 0 || a.limit.Rate == 0 || a.window.slots == nil && a.level >= urgentLevelFraction*float64(a.limit.Burst) {
		return
	}
	s := a.window.slot(now, q.tolerance.numSlots())
	s.maxLevel = max(s.maxLevel, a.level)
}

// recordExtra records extra tokens that this Instance or a peer has admitted. They are not taken back:
// a refund counts when the tokens leave the window.
func (q *Quota[K]) recordExtra(now core.Instant, a *account, tokens int64) {
	if q.tolerance.Part > 0 && tokens > 0 {
		a.window.slot(now, q.tolerance.numSlots()).extra += tokens
	}
}

// AdmitWithinTolerance follows an Admit that has refused a request. It reports whether the request is
// admitted beyond the allowance of its account, within the part of the tolerance that may be used. An
// Instance that may not know what others admit admits nothing.
func (q *Quota[K]) AdmitWithinTolerance(now core.Instant, id K, tokens int64) bool {
	a, t := q.accounts[id], q.tolerance
	if t.Part <= 0 || a == nil || a.limit.Rate == 0 || q.silentPeers > 0 || q.claim.at(now) < 1 ||
		now < q.windowsFrom || now < a.limitedAt.Add(t.window()) {
		return false
	}
	q.refill(now, id, a)
	available := q.availableBeyond(now, a)
	expected := a.recentDemand * (toleranceLag.Seconds() / demandTimeConstant.Seconds())
	if available < float64(tokens) || q.rand.Float64()*expected > available {
		return false
	}
	a.extra += tokens
	q.recordExtra(now, a, tokens)
	return true
}

// availableBeyond returns the extra tokens that may be admitted now.
func (q *Quota[K]) availableBeyond(now core.Instant, a *account) float64 {
	t := q.tolerance
	allowance := float64(a.limit.Rate)*t.Window.Seconds() + float64(a.limit.Burst)
	maxLevel, used := a.window.sum(now)
	if a.window.slots == nil || now < a.window.since.Add(t.window()) {
		maxLevel = float64(a.limit.Burst) // the levels before are not known
	}
	overdrawn := min(0, a.level) // small requests and the last one before the level was below zero
	return float64(a.limit.Burst) - maxLevel + overdrawn + t.Part*(t.Overage*allowance+t.Slack) - float64(used)
}
