package hosted

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against memory that stays with the process after a load, because returns that did not help
// before it, or during it, put the next one off.
func TestMemoryIsReturnedSoonAfterALoad(t *testing.T) {
	const mb = 1 << 20
	const wait = 8 // seconds, as in the tests of misbehaving clients
	for name, idle := range map[string]int64{"idle below the threshold": 20 * mb, "idle above the threshold": 30 * mb} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			m := memoryReturn{machine: 112 * mb, budget: 40 * mb, last: time.Unix(0, 0)}
			second := 0
			// run checks once a second for a time. A return leaves what is live.
			run := func(seconds int, kept, live, used int64) (after int64, returns int) {
				for range seconds {
					second++
					now := time.Unix(int64(second), 0)
					if m.isDue(now, kept, used) {
						kept = live
						returns++
						m.onReturned(now, kept, used)
					}
				}
				return kept, returns
			}
			_, returns := run(300, idle, idle, 0)
			is.True(returns <= 10) // each costs a garbage collection
			for range 3 {
				kept, _ := run(2, 76*mb, 70*mb, 8*mb) // clients that hold little of the budget
				kept, _ = run(1, kept, 70*mb, 4*mb)   // some have left
				kept, _ = run(wait-1, kept, idle, 0)
				is.Equal(kept, idle)
			}
		})
	}
}
