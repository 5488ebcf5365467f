package catalog

import (
	"time"

	"github.com/rhubarbsill/rhubarbsill/pkg/core"
)

const (
	// restoredEntryTimeout is the time for which an entry is not used that was removed in an
	// earlier era of the store and is listed again. The entry of a process that has ended
	// expires sooner.
	restoredEntryTimeout = 5 * time.Second
	// departureTTL is the time for which an Upstream is remembered whose entry was removed.
	departureTTL = time.Minute
)

// departure is what an earlier era of the store has said about a process: that it leaves, or that
// its entry was removed. An older copy of the store does not have that.
type departure struct {
	process Upstream
	era     uint64
	at      core.Instant
	// leaving is set if the process has announced that it leaves. It never takes that back.
	leaving bool
	// restoredAt is the instant at which an entry that was removed was listed again, 0 before.
	restoredAt core.Instant
}

// recordDeparture records that a process leaves or that its entry was removed. A process of unknown
// start can't be distinguished from a later one.
func (c *Catalog) recordDeparture(now core.Instant, era uint64, up Upstream) {
	if up.Born == 0 {
		return
	}
	known, found := c.departed[up.ID]
	c.departed[up.ID] = departure{
		process: up, era: era, at: now, leaving: up.Leaving || found && known.leaving && known.process.SameProcess(up),
	}
}

// checkDeparture compares an entry, which is not leaving, with the departure of its Upstream.
// changed is set for an entry that was written in this era, rather than listed.
func (c *Catalog) checkDeparture(now core.Instant, era uint64, up Upstream, changed bool) {
	d, found := c.departed[up.ID]
	switch {
	case !found:
	case !d.process.SameProcess(up), d.era == era, changed && !d.leaving:
		delete(c.departed, up.ID)
	case d.restoredAt == 0:
		d.restoredAt = now
		c.departed[up.ID] = d
	}
}

// hasDeparted reports whether the process of an entry is not to be used although its entry says
// nothing of that.
func (c *Catalog) hasDeparted(up Upstream) bool {
	d, found := c.departed[up.ID]
	return found && d.process.SameProcess(up)
}

// restoredUntil returns the instant from which a listed entry is used again, core.Never for none.
func (c *Catalog) restoredUntil(d departure) core.Instant {
	if _, listed := c.entries[d.process.ID]; !listed || d.leaving || d.restoredAt == 0 {
		return core.Never
	}
	return d.restoredAt.Add(restoredEntryTimeout)
}

// expireDepartures forgets departures. It reports whether an entry is used again.
func (c *Catalog) expireDepartures(now core.Instant) bool {
	used := false
	for id, d := range c.departed {
		_, listed := c.entries[id]
		switch {
		case now >= c.restoredUntil(d):
			delete(c.departed, id)
			used = true
		case !listed && now.Sub(d.at) >= departureTTL:
			delete(c.departed, id)
		}
	}
	return used
}
