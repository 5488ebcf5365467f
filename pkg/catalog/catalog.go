// Package catalog holds the Upstreams that a platform has registered, as of one
// revision of the platform's store. It is pure: every call passes the current instant.
//
// Entries that are removed around a store outage stay usable for a grace period, because
// the platform drops the entries of live Upstreams in an outage and restores them after
// it.
package catalog

import (
	"cmp"
	"slices"
	"time"

	"github.com/rhubarbsill/rhubarbsill/pkg/core"
)

// Stage is the stage of a model request that an Upstream serves.
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
	// Leaving is set when the Upstream accepts no new requests.
	Leaving bool
	// Born is the start of the Upstream's process in Unix milliseconds, 0 for unknown.
	Born int64
	// ColdFor is the time for which the Upstream stays cold, 0 for a warm one. It counts from the
	// instant at which the entry was read; see Catalog.WithColdTimes.
	ColdFor time.Duration `json:",omitempty"`
}

// SameProcess reports whether two entries describe the same process of an Upstream.
func (u Upstream) SameProcess(other Upstream) bool {
	return u.ID == other.ID && u.Born == other.Born && u.Addr == other.Addr
}

// RemovalGrace is the time for which an entry that was removed around a store outage
// stays usable. The platform restores the entries of live Upstreams within about two
// seconds after the outage.
const RemovalGrace = 2 * time.Second

// Change is one change of an entry.
type Change struct {
	ID core.UpstreamID
	// Upstream is nil when the entry was removed or names no Upstream.
	Upstream *Upstream
}

// Catalog holds the registered Upstreams. Create it with New.
type Catalog struct {
	revision    core.StoreRevision // of the last change of the entries
	confirmed   core.StoreRevision // of the last list
	initialized bool
	entries     map[core.UpstreamID]Upstream
	// removeAt holds the end of the grace period of entries that are no longer listed.
	removeAt   map[core.UpstreamID]core.Instant
	graceUntil core.Instant // removals before this instant get a grace period
	departed   map[core.UpstreamID]departure
	cold       coldTimes
}

// New returns an empty Catalog.
func New() *Catalog {
	return &Catalog{
		entries: map[core.UpstreamID]Upstream{}, removeAt: map[core.UpstreamID]core.Instant{},
		departed: map[core.UpstreamID]departure{}, cold: newColdTimes(),
	}
}

// Revision returns the revision of the entries, and false before the first list.
func (c *Catalog) Revision() (core.StoreRevision, bool) { return c.revision, c.initialized }

// ConfirmedRevision returns the revision up to which the entries are known to be complete.
// It is above Revision when a later list had the same entries.
func (c *Catalog) ConfirmedRevision() core.StoreRevision { return c.revision.Latest(c.confirmed) }

// OnStoreError records that a call of the store failed. Entries that are removed within
// RemovalGrace after it are kept for a grace period.
func (c *Catalog) OnStoreError(now core.Instant) { c.graceUntil = now.Add(RemovalGrace) }

// GraceUntil returns the end of the time in which removals get a grace period.
func (c *Catalog) GraceUntil() core.Instant { return c.graceUntil }

// Confirm records that there are no changes up to a revision other than those that were applied.
func (c *Catalog) Confirm(revision core.StoreRevision) {
	if c.initialized && revision.Era == c.revision.Era {
		c.confirmed = c.confirmed.Latest(revision)
	}
}

// ApplyWithGrace applies changes like Apply. Removals before graceUntil get a grace period too: a call of a
// peer has failed.
func (c *Catalog) ApplyWithGrace(now core.Instant, revision core.StoreRevision, changes []Change, graceUntil core.Instant) bool {
	own := c.graceUntil
	c.graceUntil = max(own, min(graceUntil, now.Add(RemovalGrace)))
	applied := c.Apply(now, revision, changes)
	c.graceUntil = own
	return applied
}

// ApplyForwarded applies changes that a peer has read from the store, like ApplyWithGrace.
func (c *Catalog) ApplyForwarded(now core.Instant, revision core.StoreRevision, changes []Change, graceUntil core.Instant) bool {
	applied := c.ApplyWithGrace(now, revision, changes, graceUntil)
	for _, change := range changes {
		if until, known := c.cold.until[change.ID]; known && change.Upstream != nil && change.Upstream.ColdFor > 0 {
			c.cold.until[change.ID] = until.Add(forwardedColdMargin)
		}
	}
	return applied
}

// Replace applies a complete list. It returns false when the list is older than the
// entries or equal to them. An equal list of the same era leaves the revision, like Apply
// without changes.
func (c *Catalog) Replace(now core.Instant, revision core.StoreRevision, list []Upstream) bool {
	if c.initialized && revision.Before(c.ConfirmedRevision()) {
		return false
	}
	c.confirmed = c.confirmed.Latest(revision)
	if c.initialized && revision.Era == c.revision.Era && c.equals(now, list) {
		c.refresh(now, list)
		return false
	}
	c.initialized = true
	c.revision = revision
	listed := make(map[core.UpstreamID]bool, len(list))
	for _, up := range list {
		listed[up.ID] = true
		c.put(now, up, false)
	}
	for id := range c.entries {
		if !listed[id] {
			c.remove(now, id)
		}
	}
	return true
}

// equals reports whether the entries are those of a list, without pending removals.
func (c *Catalog) equals(now core.Instant, list []Upstream) bool {
	if len(list) != len(c.entries) || len(c.removeAt) > 0 {
		return false
	}
	for _, up := range list {
		if !c.isRefresh(now, up) {
			return false
		}
	}
	return true
}

// Apply applies the changes up to a revision. It returns false and changes nothing before
// the first list, for an older revision and without changes. In the last case the revision
// stays, so that Instances with the same entries have the same revision. It also returns false and
// leaves the revision if Upstreams only state how their cold time goes on.
func (c *Catalog) Apply(now core.Instant, revision core.StoreRevision, changes []Change) bool {
	if !c.initialized || revision.Before(c.ConfirmedRevision()) || len(changes) == 0 {
		return false
	}
	if revision.Era == c.revision.Era && c.refreshesOnly(now, changes) {
		c.confirmed = c.confirmed.Latest(revision)
		return false
	}
	c.revision = revision
	for _, change := range changes {
		if change.Upstream == nil {
			c.remove(now, change.ID)
			continue
		}
		c.put(now, *change.Upstream, true)
	}
	return true
}

// put sets an entry. changed is set for a change, rather than an entry of a list.
func (c *Catalog) put(now core.Instant, up Upstream, changed bool) {
	c.entries[up.ID] = up
	c.cold.publish(now, up)
	delete(c.removeAt, up.ID)
	if up.Leaving {
		c.recordDeparture(now, c.revision.Era, up)
	} else {
		c.checkDeparture(now, c.revision.Era, up, changed)
	}
}

func (c *Catalog) remove(now core.Instant, id core.UpstreamID) {
	entry, known := c.entries[id]
	if !known {
		return
	}
	if entry.Leaving || c.hasDeparted(entry) || now >= c.graceUntil {
		c.recordDeparture(now, c.revision.Era, entry)
		delete(c.entries, id)
		delete(c.removeAt, id)
		c.cold.remove(id)
		return
	}
	if _, pending := c.removeAt[id]; !pending {
		c.removeAt[id] = now.Add(RemovalGrace)
	}
}

// Tick removes the entries whose grace period has ended, and uses those again that are listed
// although an earlier era of the store had removed them. It reports whether there were any.
func (c *Catalog) Tick(now core.Instant) bool {
	removed := c.expireDepartures(now)
	for id, until := range c.removeAt {
		if now >= until {
			delete(c.removeAt, id)
			delete(c.entries, id)
			c.cold.remove(id)
			removed = true
		}
	}
	return removed
}

// NextWake returns the instant at which Tick is due, core.Never when no removal is pending.
func (c *Catalog) NextWake() core.Instant {
	next := core.Never
	for _, until := range c.removeAt {
		next = min(next, until)
	}
	for _, d := range c.departed {
		next = min(next, c.restoredUntil(d))
	}
	return next
}

// Upstreams returns all entries, sorted by ID. One that has left in an earlier era of the store is
// leaving, whatever its entry says.
func (c *Catalog) Upstreams() []Upstream {
	all := c.sortedEntries()
	for i, up := range all {
		all[i].Leaving = up.Leaving || c.hasDeparted(up)
	}
	return all
}

func (c *Catalog) sortedEntries() []Upstream {
	all := make([]Upstream, 0, len(c.entries))
	for _, up := range c.entries {
		all = append(all, up)
	}
	slices.SortFunc(all, func(a, b Upstream) int { return cmp.Compare(a.ID, b.ID) })
	return all
}

// Registered returns the entries that the store lists, as they are, sorted by ID. Those that are
// kept for a grace period are not among them.
func (c *Catalog) Registered() []Upstream {
	return slices.DeleteFunc(c.sortedEntries(), func(up Upstream) bool {
		_, removed := c.removeAt[up.ID]
		return removed
	})
}

// Get returns the entry of an Upstream, and whether there is one.
func (c *Catalog) Get(id core.UpstreamID) (Upstream, bool) {
	up, found := c.entries[id]
	return up, found
}
