package timeline

import (
	"cmp"
	"slices"
	"strings"
	"sync"
	"time"
	"unicode/utf8"

	"github.com/rhubarbsill/rhubarbsill/pkg/core"
)

// Event is one entry of the timeline.
type Event struct {
	Stamp
	// Component is the component that recorded the event, as in the log prefix.
	Component string          `json:"part"`
	Kind      string          `json:"kind"`
	Request   core.RequestID  `json:"request,omitempty"`
	Account   core.AccountID  `json:"account,omitempty"`
	Upstream  core.UpstreamID `json:"upstream,omitempty"`
	Detail    string          `json:"detail,omitempty"`
}

// MaxDetailBytes is the size, in bytes, to which the detail of an event is truncated. It
// bounds the memory of a RingBuffer together with the number of events.
const MaxDetailBytes = 512

// RingBuffer stores the most recent events of one process. It is safe for concurrent use.
type RingBuffer struct {
	mu     sync.Mutex
	events []Event
	next   int // index of the oldest event when the buffer is full
	total  uint64
}

// NewRingBuffer returns a buffer for size events, at least one.
func NewRingBuffer(size int) *RingBuffer { return &RingBuffer{events: make([]Event, 0, max(1, size))} }

// Add adds an event. It overwrites the oldest one when the buffer is full.
func (r *RingBuffer) Add(e Event) {
	e.Detail = truncate(e.Detail, MaxDetailBytes)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.total++
	if len(r.events) < cap(r.events) {
		r.events = append(r.events, e)
		return
	}
	r.events[r.next] = e
	r.next = (r.next + 1) % len(r.events)
}

// OverwrittenCount returns the number of events that have been overwritten.
func (r *RingBuffer) OverwrittenCount() uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.total - uint64(len(r.events))
}

// Select returns the events that match, ordered by timestamp. If the filter has a
// limit, it returns the latest ones.
func (r *RingBuffer) Select(f Filter) []Event {
	r.mu.Lock()
	matches := make([]Event, 0)
	for i := range r.events {
		e := &r.events[(r.next+i)%len(r.events)]
		if f.Match(*e) {
			matches = append(matches, *e)
		}
	}
	r.mu.Unlock()
	return f.applyLimit(Merge([][]Event{matches}))
}

func truncate(text string, limit int) string {
	if len(text) <= limit {
		return text
	}
	for limit > 0 && !utf8.RuneStart(text[limit]) {
		limit--
	}
	return text[:limit]
}

// Filter selects events. A zero field matches all events.
type Filter struct {
	Request  core.RequestID
	Account  core.AccountID
	Upstream core.UpstreamID
	// From is inclusive, To exclusive.
	From, To time.Time
	// Limit is the largest number of events to return, 0 for all.
	Limit int
}

// Match reports whether the filter selects the event.
func (f Filter) Match(e Event) bool {
	if f.Request != "" && f.Request != e.Request {
		return false
	}
	if f.Account != "" && f.Account != e.Account {
		return false
	}
	if f.Upstream != "" && f.Upstream != e.Upstream {
		return false
	}
	if !f.From.IsZero() && e.Time().Before(f.From) {
		return false
	}
	return f.To.IsZero() || e.Time().Before(f.To)
}

func (f Filter) applyLimit(events []Event) []Event {
	if f.Limit > 0 && len(events) > f.Limit {
		return events[len(events)-f.Limit:]
	}
	return events
}

// Merge returns the events of several processes in one order, without duplicates: a
// process that responds late may be queried twice.
func Merge(lists [][]Event) []Event {
	merged := slices.Concat(lists...)
	slices.SortFunc(merged, compareEvents)
	return slices.Compact(merged)
}

func compareEvents(a, b Event) int {
	return cmp.Or(
		a.Compare(b.Stamp),
		strings.Compare(a.Component, b.Component),
		strings.Compare(a.Kind, b.Kind),
		cmp.Compare(a.Request, b.Request),
		cmp.Compare(a.Account, b.Account),
		cmp.Compare(a.Upstream, b.Upstream),
		strings.Compare(a.Detail, b.Detail),
	)
}
