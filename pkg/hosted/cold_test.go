package hosted

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/rhubarbsill/rhubarbsill/pkg/catalog"
	"github.com/rhubarbsill/rhubarbsill/pkg/core"
)

// Guards against a billed watch of every Instance for each entry that cold engines write while their
// cold time goes on, and against other changes that are noticed late because of that.
func TestWatchPausesOnlyWhileColdTimesGoOn(t *testing.T) {
	is := is.New(t)
	cold := coldEntries{}
	delay := func(up catalog.Upstream) time.Duration {
		return cold.batchDelay([]catalog.Change{{ID: up.ID, Upstream: &up}})
	}
	entry := catalog.Upstream{ID: "a", Born: 1, ColdFor: 10 * time.Second}
	is.Equal(delay(entry), changeBatchDelay)
	entry.ColdFor = 8800 * time.Millisecond
	is.Equal(delay(entry), coldBatchDelay)
	is.Equal(cold.batchDelay([]catalog.Change{{ID: "a", Upstream: &entry}, {ID: "b"}}), changeBatchDelay)
	entry.ColdFor = 20 * time.Second // cold again
	is.Equal(delay(entry), changeBatchDelay)
	entry.ColdFor, entry.Leaving = 19*time.Second, true
	is.Equal(delay(entry), changeBatchDelay)
	entry.ColdFor = 0
	is.Equal(delay(entry), changeBatchDelay)
}

// Guards against a cold time that begins anew at each Instance to which a list is passed on.
func TestListForPeersHasTheRemainingColdTimes(t *testing.T) {
	is := is.New(t)
	list := &upstreamList{Upstreams: []catalog.Upstream{{ID: "a", ColdFor: 10 * time.Second}, {ID: "b", ColdFor: time.Second}, {ID: "c"}}}
	list.at = core.Instant(time.Minute)
	aged := list.agedAt(list.at.Add(4 * time.Second))
	is.Equal(aged.Upstreams[0].ColdFor, 6*time.Second)
	is.Equal(aged.Upstreams[1].ColdFor, time.Duration(0))
	is.Equal(aged.Upstreams[2], list.Upstreams[2])
	is.Equal(list.Upstreams[0].ColdFor, 10*time.Second)
}
