package follow

import (
	"maps"
	"slices"
	"time"

	"github.com/rhubarbsill/rhubarbsill/pkg/catalog"
	"github.com/rhubarbsill/rhubarbsill/pkg/core"
)

const (
	// maxHistory bounds the changes that an Instance keeps for peers: some seconds of a busy release,
	// 100 KB.
	maxHistory = 512
	// MaxPushed bounds the changes in one message to about 14 KB: up to 100 engines may turn cold at the
	// same time. A peer that lacks more of them fetches the list.
	MaxPushed = 128
)

// History holds the latest changes of the Upstreams, for peers that lack them. It is not safe for
// concurrent use.
type History struct {
	// start is the revision after which it has all changes.
	start   core.StoreRevision
	batches []batch
	changes int
}

// batch holds the changes up to a revision.
type batch struct {
	upTo    core.StoreRevision
	changes []catalog.Change
	at      core.Instant // the cold times count from here
	// graceUntil is the end of the time in which removals are suspected to be of a store outage.
	graceUntil core.Instant
}

// Reset drops all changes. Those after start are added from now on.
func (l *History) Reset(start core.StoreRevision) { *l = History{start: start} }

// Add adds the changes up to a revision. There are no others since the last ones.
func (l *History) Add(now core.Instant, upTo core.StoreRevision, changes []catalog.Change, graceUntil core.Instant) {
	l.batches = append(l.batches, batch{upTo: upTo, changes: changes, at: now, graceUntil: graceUntil})
	l.changes += len(changes)
	for l.changes > maxHistory {
		l.start = l.batches[0].upTo
		l.changes -= len(l.batches[0].changes)
		l.batches = l.batches[1:]
	}
}

// Push is the message with which an Instance sends changes of the Upstreams to a peer of its Region.
type Push struct {
	// The changes are complete after revision After and up to UpTo, both of the era Era.
	Era     uint64
	After   uint64
	UpTo    uint64
	Changes []catalog.Change
	// GraceMS is the time for which removals may be of a store outage. See catalog.RemovalGrace.
	GraceMS int64
}

// Pull is the message with which an Instance asks a peer for the changes after a revision.
type Pull struct {
	Era   uint64
	After uint64
}

// Since returns the changes after a revision, only the last one of each Upstream. It returns false if it
// does not have them all, and if they are too many for a message.
func (l *History) Since(now core.Instant, after core.StoreRevision) (Push, bool) {
	if after.Era != l.start.Era || after.Before(l.start) {
		return Push{}, false
	}
	push := Push{Era: after.Era, After: after.Number, UpTo: after.Number}
	last := map[core.UpstreamID]catalog.Change{}
	for _, b := range l.batches {
		if !after.Before(b.upTo) {
			continue
		}
		push.UpTo = b.upTo.Number
		push.GraceMS = max(push.GraceMS, b.graceUntil.Sub(now).Milliseconds())
		for _, change := range b.changes {
			if change.Upstream != nil {
				up := *change.Upstream
				up.ColdFor = max(0, up.ColdFor-now.Sub(b.at))
				change.Upstream = &up
			}
			last[change.ID] = change
		}
	}
	if len(last) > MaxPushed {
		return Push{}, false
	}
	for _, id := range slices.Sorted(maps.Keys(last)) {
		push.Changes = append(push.Changes, last[id])
	}
	return push, push.UpTo > push.After
}

// SizeOf returns the approximate size of a Push in bytes.
func SizeOf(p Push) int { return pushBytes + changeBytes*len(p.Changes) }

const (
	// pushBytes is the size of a Push without changes in its envelope, changeBytes that of a change.
	pushBytes   = 120
	changeBytes = 110
)

// Budget bounds the bytes that a reader pushes without being asked. Its peers ask for what it does not
// push.
type Budget struct{ paidUntil core.Instant }

const (
	// budgetRate is the mean number of bytes a second. It is a fifth of what an Instance may send.
	budgetRate = 2000.0
	// budgetBurst is the time by which the budget may be overdrawn: a change to the followers of a Region
	// of 200 Instances is 12 KB for each of its readers.
	budgetBurst = 8 * time.Second
)

// Take reports whether bytes may be sent now, and counts them if so.
func (b *Budget) Take(now core.Instant, bytes int) bool {
	if b.paidUntil.Sub(now) > budgetBurst {
		return false
	}
	b.paidUntil = max(b.paidUntil, now).Add(time.Duration(float64(bytes) / budgetRate * float64(time.Second)))
	return true
}
