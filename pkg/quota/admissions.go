package quota

import (
	"time"

	"github.com/rhubarbsill/rhubarbsill/pkg/core"
)

const (
	// historyLength entries that are at least historyInterval apart reach back for longer than
	// a peer is late before it counts as silent.
	historyLength   = 16
	historyInterval = 250 * time.Millisecond
)

// admissions remembers what an Instance had admitted of an account at recent instants.
type admissions struct {
	entries [historyLength]usageMark
	count   int // entries recorded so far
}

type usageMark struct {
	at     core.Instant
	tokens int64 // admitted before at, since the start of the Instance
}

// record adds the tokens admitted before now.
func (h *admissions) record(now core.Instant, admitted int64) {
	if h.count > 0 && now.Sub(h.entries[(h.count-1)%historyLength].at) < historyInterval {
		return
	}
	h.entries[h.count%historyLength] = usageMark{at: now, tokens: admitted}
	h.count++
}

// admittedSince returns at least the tokens that were admitted from an instant until now. If that
// is further back than the history, they may have been all that the rate allows.
func (h *admissions) admittedSince(now, since core.Instant, admitted, rate int64) float64 {
	for i := h.count - 1; i >= max(0, h.count-historyLength); i-- {
		if entry := h.entries[i%historyLength]; entry.at <= since {
			return float64(admitted - entry.tokens)
		}
	}
	if h.count <= historyLength {
		return float64(admitted) // the history is complete
	}
	oldest := h.entries[h.count%historyLength]
	return max(float64(admitted-oldest.tokens), now.Sub(since).Seconds()*float64(rate))
}
