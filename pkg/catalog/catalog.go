// Package catalog holds the Upstreams that a platform has registered, as of one
// revision of the platform's store. It is pure: instants come with each call.
//
// Entries that vanish while the store is disturbed stay usable for a grace
// period, because the platform drops the entries of live Upstreams in an outage
// and restores them after it.
package catalog

import (
	"cmp"
	"slices"
	"time"

	"github.com/rhubarbsill/rhubarbsill/pkg/core"
)

// Stage is the part of a model request that an Upstream serves.
type Stage string

// The stages. Plain services have none.
const (
	StagePlain   Stage = ""
	StagePrefill Stage = "prefill"
	StageDecode  Stage = "decode"
)

// Upstream is one registered Upstream.
type Upstream struct {
	ID         core.UpstreamID
	Service    core.ServiceName
	Addr       string
	DataCentre core.DataCentreName
	Stage      Stage
	Slots      int
	// Leaving Upstreams get no new work.
	Leaving bool
	// Born is the Unix millisecond of the start of the Upstream, 0 for unknown.
	Born int64
}

// SameRun reports whether two entries describe the same run of an Upstream.
func (u Upstream) SameRun(other Upstream) bool {
	return u.ID == other.ID && u.Born == other.Born && u.Addr == other.Addr
}

// RemovalGrace is the time for which an entry that vanished during a disturbance
// of the store stays usable. The platform restores the entries of live Upstreams
// within about two seconds of the store's return.
const RemovalGrace = 2 * time.Second

// Change is one change of an entry.
type Change struct {
	ID core.UpstreamID
	// Upstream is nil when the entry was removed or names no Upstream.
	Upstream *Upstream
}

// Catalog is the state. The zero value is empty.
type Catalog struct {
	revision    uint64
	initialized bool
	entries     map[core.UpstreamID]Upstream
	// removeAt holds the instant at which an entry that is no longer listed ends.
	removeAt   map[core.UpstreamID]core.Instant
	graceUntil core.Instant // the grace applies until then
}

// New returns an empty Catalog.
func New() *Catalog {
	return &Catalog{entries: map[core.UpstreamID]Upstream{}, removeAt: map[core.UpstreamID]core.Instant{}}
}

// Revision returns the revision that the entries are of. It reports false before
// the first list.
func (c *Catalog) Revision() (uint64, bool) { return c.revision, c.initialized }

// OnStoreError notes that the store failed a call. Removals count as doubtful until
// the grace period after it has passed.
func (c *Catalog) OnStoreError(now core.Instant) { c.graceUntil = now.Add(RemovalGrace) }

// Replace takes in a whole list. It returns false for a list that is older than
// what is known.
func (c *Catalog) Replace(now core.Instant, revision uint64, list []Upstream) bool {
	if c.initialized && revision < c.revision {
		return false
	}
	c.initialized = true
	c.revision = revision
	listed := make(map[core.UpstreamID]bool, len(list))
	for _, up := range list {
		listed[up.ID] = true
		c.put(up)
	}
	for id := range c.entries {
		if !listed[id] {
			c.remove(now, id)
		}
	}
	return true
}

// Apply takes in the changes up to a revision. Without changes the revision stays,
// so that Instances whose entries are the same compare as equal.
func (c *Catalog) Apply(now core.Instant, revision uint64, changes []Change) bool {
	if !c.initialized || revision < c.revision || len(changes) == 0 {
		return false
	}
	c.revision = revision
	for _, change := range changes {
		if change.Upstream == nil {
			c.remove(now, change.ID)
			continue
		}
		c.put(*change.Upstream)
	}
	return true
}

func (c *Catalog) put(up Upstream) {
	c.entries[up.ID] = up
	delete(c.removeAt, up.ID)
}

func (c *Catalog) remove(now core.Instant, id core.UpstreamID) {
	entry, known := c.entries[id]
	if !known {
		return
	}
	if entry.Leaving || now >= c.graceUntil {
		delete(c.entries, id)
		delete(c.removeAt, id)
		return
	}
	if _, waiting := c.removeAt[id]; !waiting {
		c.removeAt[id] = now.Add(RemovalGrace)
	}
}

// Tick removes the entries whose grace period has ended. It reports whether any
// was removed.
func (c *Catalog) Tick(now core.Instant) bool {
	removed := false
	for id, until := range c.removeAt {
		if now >= until {
			delete(c.removeAt, id)
			delete(c.entries, id)
			removed = true
		}
	}
	return removed
}

// NextWake returns the instant at which Tick is due.
func (c *Catalog) NextWake() core.Instant {
	next := core.Never
	for _, until := range c.removeAt {
		next = min(next, until)
	}
	return next
}

// Upstreams returns all entries, sorted by ID.
func (c *Catalog) Upstreams() []Upstream {
	all := make([]Upstream, 0, len(c.entries))
	for _, up := range c.entries {
		all = append(all, up)
	}
	slices.SortFunc(all, func(a, b Upstream) int { return cmp.Compare(a.ID, b.ID) })
	return all
}

// Get finds an entry.
func (c *Catalog) Get(id core.UpstreamID) (Upstream, bool) {
	up, found := c.entries[id]
	return up, found
}
