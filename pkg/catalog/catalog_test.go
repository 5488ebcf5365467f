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
