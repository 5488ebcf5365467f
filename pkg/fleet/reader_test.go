package fleet

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/rhubarbsill/rhubarbsill/pkg/core"
)

// Guards against a Region without a reader, against Instances that disagree on who reads, and
// against readers that stay in that role although they are silent.
func TestEachRegionHasReaders(t *testing.T) {
	for _, n := range []int{1, 8, 95, 330} {
		is := is.New(t)
		var members []Member
		for i := range n {
			members = append(members, member(i, "dc", core.RegionName(fmt.Sprintf("r%d", i%2))))
		}
		now := core.Instant(time.Hour)
		readers := func(lost map[int]bool) map[int]bool {
			found := map[int]bool{}
			for i := range members {
				if lost[i] {
					continue
				}
				f := New(members[i], Params{})
				for k, m := range members {
					if k != i && !lost[k] {
						f.OnHeartbeat(now, m, State{Serving: true})
					}
				}
				if f.IsReader() {
					found[i] = true
				}
			}
			return found
		}
		first := readers(nil)
		is.Equal(len(first), min((n+1)/2, readersPerRegion)+min(n/2, readersPerRegion))
		if n > 4*readersPerRegion {
			second := readers(first) // all readers are lost
			is.Equal(len(second), 2*readersPerRegion)
		}
	}
}
