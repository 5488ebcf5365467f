package catalog

import (
	"time"

	"github.com/rhubarbsill/rhubarbsill/pkg/core"
)

// coldTolerance is the difference in the end of a cold time up to which an entry states nothing new. A
// cold engine writes its entry every 1.2 s, and each read is delayed differently.
const coldTolerance = time.Second

// forwardedColdMargin is added to the cold times that a peer has forwarded. Peers forward only what is
// new, so the entry may have moved by coldTolerance at the peer, and by as much again at the peer that
// forwards the next change.
const forwardedColdMargin = 2 * coldTolerance

// coldTimes holds the ends of the cold times that the entries state. Entries of Upstreams that were
// never cold are not in it.
type coldTimes struct {
	until map[core.UpstreamID]core.Instant
	// published holds the ends at the last change that was reported. Differences are counted from
	// these, so that many small ones add up.
	published map[core.UpstreamID]core.Instant
	refreshed []core.UpstreamID
}

func newColdTimes() coldTimes {
	return coldTimes{until: map[core.UpstreamID]core.Instant{}, published: map[core.UpstreamID]core.Instant{}}
}

func (t *coldTimes) set(now core.Instant, up Upstream) {
	if _, known := t.until[up.ID]; known || up.ColdFor > 0 {
		t.until[up.ID] = now.Add(up.ColdFor)
	}
}

func (t *coldTimes) publish(now core.Instant, up Upstream) {
	t.set(now, up)
	if until, known := t.until[up.ID]; known {
		t.published[up.ID] = until
	}
}

func (t *coldTimes) remove(id core.UpstreamID) {
	delete(t.until, id)
	delete(t.published, id)
}

// isRefresh reports whether an entry states nothing new: it is equal to the known one but for the
// remaining cold time, and that differs by the time that has passed.
func (c *Catalog) isRefresh(now core.Instant, up Upstream) bool {
	known, found := c.entries[up.ID]
	known.ColdFor = up.ColdFor
	if !found || known != up {
		return false
	}
	expected := max(0, c.cold.published[up.ID].Sub(now))
	return (max(0, up.ColdFor) - expected).Abs() <= coldTolerance
}

// refreshesOnly reports whether no change states anything new, and takes over their cold times if so.
func (c *Catalog) refreshesOnly(now core.Instant, changes []Change) bool {
	list := make([]Upstream, 0, len(changes))
	for _, change := range changes {
		if change.Upstream == nil || !c.isPlainEntry(change.ID) || !c.isRefresh(now, *change.Upstream) {
			return false
		}
		if change.Upstream.ColdFor == 0 && c.entries[change.ID].ColdFor == 0 {
			return false // not about a cold time
		}
		list = append(list, *change.Upstream)
	}
	c.refresh(now, list)
	return true
}

// isPlainEntry reports whether an entry is neither about to be removed nor that of an Upstream that
// has departed.
func (c *Catalog) isPlainEntry(id core.UpstreamID) bool {
	_, removed := c.removeAt[id]
	_, departed := c.departed[id]
	return !removed && !departed
}

// refresh takes over the cold times of entries that state nothing else.
func (c *Catalog) refresh(now core.Instant, list []Upstream) {
	for _, up := range list {
		if up.ColdFor == 0 && c.entries[up.ID].ColdFor == 0 {
			continue
		}
		c.entries[up.ID] = up
		c.cold.set(now, up)
		c.cold.refreshed = append(c.cold.refreshed, up.ID)
	}
}

// TakeRefreshed returns the entries whose cold time was stated anew, without any other change, since
// the last call. ColdFor is the remaining time.
func (c *Catalog) TakeRefreshed(now core.Instant) []Upstream {
	var list []Upstream
	for _, id := range c.cold.refreshed {
		if up, found := c.entries[id]; found {
			list = append(list, up)
		}
	}
	c.cold.refreshed = c.cold.refreshed[:0]
	return c.WithColdTimes(now, list)
}

// WithColdTimes sets ColdFor of entries to the remaining time, and returns them.
func (c *Catalog) WithColdTimes(now core.Instant, list []Upstream) []Upstream {
	for i := range list {
		list[i].ColdFor = 0
		if until, known := c.cold.until[list[i].ID]; known {
			list[i].ColdFor = max(0, until.Sub(now))
		}
	}
	return list
}
