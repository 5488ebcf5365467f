package catalog

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/rhubarbsill/rhubarbsill/pkg/core"
)

const second = core.Instant(time.Second)

// at returns a revision of the store's first era.
func at(number uint64) core.StoreRevision { return core.StoreRevision{Number: number} }

func listed(c *Catalog) []core.UpstreamID {
	var ids []core.UpstreamID
	for _, up := range c.Upstreams() {
		ids = append(ids, up.ID)
	}
	return ids
}

// Guards against requests to Upstreams that were removed, and against the loss of those
// whose entries only expired during a store outage.
func TestEntriesThatLapseInADisturbanceStayForAWhile(t *testing.T) {
	is := is.New(t)
	c := New()
	c.Replace(0, at(1), []Upstream{{ID: "a"}, {ID: "b"}, {ID: "leaving", Leaving: true}})
	c.OnStoreError(second)
	c.Replace(second, at(2), []Upstream{{ID: "a"}})
	is.Equal(listed(c), []core.UpstreamID{"a", "b"}) // the entry of b may only have expired
	is.True(!c.Tick(2 * second))
	is.True(c.Tick(4 * second))
	is.Equal(listed(c), []core.UpstreamID{"a"})

	c.Replace(5*second, at(3), []Upstream{{ID: "a"}, {ID: "b"}})
	c.Replace(20*second, at(4), []Upstream{{ID: "a"}})
	is.Equal(listed(c), []core.UpstreamID{"a"}) // without a store outage b was removed
}

// Guards against a stale list or stale changes that restore an Upstream which was removed.
func TestOlderRevisionsAreIgnored(t *testing.T) {
	is := is.New(t)
	c := New()
	is.True(!c.Apply(0, at(5), []Change{{ID: "x", Upstream: &Upstream{ID: "x"}}})) // no list yet
	c.Replace(0, at(5), []Upstream{{ID: "a"}, {ID: "b"}})
	c.Apply(0, at(7), []Change{{ID: "a"}})
	is.True(!c.Replace(0, at(6), []Upstream{{ID: "a"}, {ID: "b"}}))
	is.True(!c.Apply(0, at(6), []Change{{ID: "a", Upstream: &Upstream{ID: "a"}}}))
	is.Equal(listed(c), []core.UpstreamID{"b"})
}

// Guards against Instances that fetch equal lists from each other without end: each list
// of the store would have another revision.
func TestListWithoutChangesKeepsTheRevision(t *testing.T) {
	is := is.New(t)
	c := New()
	is.True(c.Replace(0, at(5), []Upstream{{ID: "a"}, {ID: "b"}}))
	is.True(!c.Replace(0, at(9), []Upstream{{ID: "b"}, {ID: "a"}}))
	revision, _ := c.Revision()
	is.Equal(revision, at(5))
	is.Equal(c.ConfirmedRevision(), at(9))
	is.True(!c.Replace(0, at(8), []Upstream{{ID: "a"}})) // older than the equal list
	is.True(!c.Apply(0, at(8), []Change{{ID: "a"}}))
	is.True(c.Replace(0, at(9), []Upstream{{ID: "b"}, {ID: "a", Leaving: true}}))
	revision, _ = c.Revision()
	is.Equal(revision, at(9))
}

// Guards against state of a previous process that is kept for a new one under the same ID.
func TestNewProcessUnderAnOldID(t *testing.T) {
	is := is.New(t)
	old := Upstream{ID: "a", Addr: "1:1", Born: 10}
	is.True(old.SameProcess(Upstream{ID: "a", Addr: "1:1", Born: 10, Leaving: true}))
	is.True(!old.SameProcess(Upstream{ID: "a", Addr: "1:1", Born: 11}))
}

// Guards against a list of Upstreams that stays as it was before the store came back from an older
// copy, because the store assigns lower numbers since then.
func TestLowerNumberOfALaterEraIsNewer(t *testing.T) {
	is := is.New(t)
	c := New()
	c.Replace(0, core.StoreRevision{Era: 1, Number: 500}, []Upstream{{ID: "a"}})
	is.True(c.Replace(0, core.StoreRevision{Era: 2, Number: 200}, []Upstream{{ID: "a"}, {ID: "b"}}))
	is.True(c.Apply(0, core.StoreRevision{Era: 2, Number: 201}, []Change{{ID: "c", Upstream: &Upstream{ID: "c"}}}))
	is.Equal(listed(c), []core.UpstreamID{"a", "b", "c"})
	is.True(!c.Replace(0, core.StoreRevision{Era: 1, Number: 501}, []Upstream{{ID: "d"}})) // from a peer that is behind
	is.True(!c.Apply(0, core.StoreRevision{Era: 1, Number: 502}, []Change{{ID: "a"}}))
	is.Equal(listed(c), []core.UpstreamID{"a", "b", "c"})
}

// Guards against requests to Upstreams that leave or were removed, because the store has come back
// from a copy in which they are ready.
func TestDepartureOutlivesAnEra(t *testing.T) {
	is := is.New(t)
	ready := func(id core.UpstreamID) Upstream { return Upstream{ID: id, Addr: "1:1", Born: 7} }
	leaving := ready("leaving")
	leaving.Leaving = true
	usable := func(c *Catalog) []core.UpstreamID {
		var ids []core.UpstreamID
		for _, up := range c.Upstreams() {
			if !up.Leaving {
				ids = append(ids, up.ID)
			}
		}
		return ids
	}
	all := []Upstream{ready("kept"), ready("leaving"), ready("removed")}
	newCatalog := func() *Catalog {
		c := New()
		c.Replace(second, core.StoreRevision{Era: 1, Number: 50}, all)
		c.Apply(second, core.StoreRevision{Era: 1, Number: 52}, []Change{{ID: "leaving", Upstream: &leaving}, {ID: "removed"}})
		is.Equal(usable(c), []core.UpstreamID{"kept"})
		c.OnStoreError(2 * second)
		c.Replace(3*second, core.StoreRevision{Era: 2, Number: 49}, all)
		is.Equal(usable(c), []core.UpstreamID{"kept"})
		is.Equal(c.Registered(), all) // peers get what the store says
		return c
	}

	c := newCatalog()
	is.Equal(c.NextWake(), (3 * second).Add(restoredEntryTimeout))
	is.True(!c.Tick(7 * second))
	is.True(c.Tick(c.NextWake()))
	is.Equal(usable(c), []core.UpstreamID{"kept", "removed"}) // its entry has not expired: it is alive

	c = newCatalog()
	alive, back := ready("removed"), ready("leaving")
	alive.Slots = 9
	c.Apply(4*second, core.StoreRevision{Era: 2, Number: 55}, []Change{{ID: "removed", Upstream: &alive}, {ID: "leaving", Upstream: &back}})
	is.Equal(usable(c), []core.UpstreamID{"kept", "removed"}) // it has written its entry again

	c = newCatalog()
	restarted := Upstream{ID: "leaving", Addr: "1:1", Born: 8}
	c.Apply(4*second, core.StoreRevision{Era: 2, Number: 55}, []Change{{ID: "leaving", Upstream: &restarted}})
	is.Equal(usable(c), []core.UpstreamID{"kept", "leaving"}) // another process
}

// Guards against an Upstream that is not used any more after its entry has expired and come back.
func TestEntryThatReturnsInTheSameEraIsUsed(t *testing.T) {
	is := is.New(t)
	c := New()
	up := Upstream{ID: "a", Addr: "1:1", Born: 7}
	c.Replace(0, at(5), []Upstream{up})
	c.Apply(second, at(6), []Change{{ID: "a"}})
	c.Apply(2*second, at(7), []Change{{ID: "a", Upstream: &up}})
	is.True(!c.Upstreams()[0].Leaving)
	c.Apply(3*second, at(8), []Change{{ID: "a"}})
	c.Replace(4*second, at(9), []Upstream{up})
	is.True(!c.Upstreams()[0].Leaving)
}

// Guards against a peer that keeps an Upstream which only a lost list had: the Instances that have
// read the list of the new era, and found what they had before, do not show that they are ahead.
func TestEqualListOfALaterEraHasItsRevision(t *testing.T) {
	is := is.New(t)
	c := New()
	c.Replace(0, core.StoreRevision{Era: 1, Number: 500}, []Upstream{{ID: "a"}})
	is.True(c.Replace(0, core.StoreRevision{Era: 2, Number: 480}, []Upstream{{ID: "a"}}))
	revision, _ := c.Revision()
	is.Equal(revision, core.StoreRevision{Era: 2, Number: 480})
	is.True(!c.Replace(0, core.StoreRevision{Era: 2, Number: 490}, []Upstream{{ID: "a"}}))
	revision, _ = c.Revision()
	is.Equal(revision, core.StoreRevision{Era: 2, Number: 480})
}
