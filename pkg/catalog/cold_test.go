package catalog

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/rhubarbsill/rhubarbsill/pkg/core"
)

// Guards against a re-placement and a fetch by all peers each time that a cold engine writes its entry,
// and against a cold time that is missed because it is taken for the rest of an earlier one.
func TestOnlyANewColdTimeIsAChange(t *testing.T) {
	entry := func(coldFor time.Duration) Upstream { return Upstream{ID: "a", Born: 1, ColdFor: coldFor} }
	restarted := entry(8500 * time.Millisecond)
	restarted.Born = 2
	leaving := entry(8500 * time.Millisecond)
	leaving.Leaving = true
	for _, c := range []struct {
		name   string
		entry  Upstream
		change bool
	}{
		{"goes on", entry(8800 * time.Millisecond), false},
		{"read late", entry(9500 * time.Millisecond), false},
		{"cold again", entry(20 * time.Second), true},
		{"warm early", entry(0), true},
		{"other process", restarted, true},
		{"leaves", leaving, true},
	} {
		for _, listed := range []bool{false, true} {
			t.Run(c.name, func(t *testing.T) {
				is := is.New(t)
				cat := New()
				cat.Replace(0, at(1), []Upstream{entry(10 * time.Second)})
				now := 1200 * core.Instant(time.Millisecond)
				if listed {
					is.Equal(cat.Replace(now, at(2), []Upstream{c.entry}), c.change)
				} else {
					is.Equal(cat.Apply(now, at(2), []Change{{ID: "a", Upstream: &c.entry}}), c.change)
				}
				revision, _ := cat.Revision()
				is.Equal(revision == at(2), c.change)
				is.Equal(cat.ConfirmedRevision(), at(2))
				now = now.Add(time.Second)
				remaining := cat.WithColdTimes(now, cat.Upstreams())[0].ColdFor
				is.Equal(remaining, max(0, c.entry.ColdFor-time.Second))
				refreshed := cat.TakeRefreshed(now)
				is.Equal(len(refreshed) > 0, !c.change)
				is.Equal(len(cat.TakeRefreshed(now)), 0)
			})
		}
	}
}

// Guards against a cold time that grows in small steps of which no peer hears.
func TestSmallExtensionsOfAColdTimeAddUp(t *testing.T) {
	is := is.New(t)
	cat := New()
	cat.Replace(0, at(1), []Upstream{{ID: "a", ColdFor: 10 * time.Second}})
	changes := 0
	for i := range 10 {
		now := core.Instant(i+1) * second
		up := Upstream{ID: "a", ColdFor: 10*time.Second - time.Duration(i+1)*300*time.Millisecond}
		if cat.Apply(now, at(uint64(i+2)), []Change{{ID: "a", Upstream: &up}}) {
			changes++
		}
	}
	is.True(changes >= 4)
}

// Guards against an Upstream that counts as warm too early because its cold time goes on at the reader, and
// against one that is lost in an outage which only the reader has noticed.
func TestForwardedChangesKeepColdTimesAndGrace(t *testing.T) {
	is := is.New(t)
	cat := New()
	cat.Replace(0, at(1), []Upstream{{ID: "a"}, {ID: "gone"}, {ID: "lost"}})
	cold := Upstream{ID: "a", ColdFor: 10 * time.Second}
	is.True(cat.ApplyForwarded(second, at(3), []Change{{ID: "a", Upstream: &cold}, {ID: "lost"}}, 2*second))
	is.True(cat.ApplyForwarded(second, at(4), []Change{{ID: "gone"}}, 0))
	is.Equal(cat.WithColdTimes(second, cat.Upstreams()), []Upstream{{ID: "a", ColdFor: 12 * time.Second}, {ID: "lost"}})
	is.True(!cat.Apply(second, at(5), []Change{{ID: "a", Upstream: &cold}})) // an own read states nothing new
	is.Equal(cat.WithColdTimes(second, cat.Upstreams())[0].ColdFor, 10*time.Second)
	cat.Confirm(at(9))
	is.True(!cat.Apply(second, at(8), []Change{{ID: "lost"}})) // known already
	is.True(cat.Tick(4 * second))
	is.Equal(len(cat.Upstreams()), 1)
}
