package capacity

import (
	"runtime"

	"github.com/rhubarbsill/rhubarbsill/pkg/lab/virtual"
)

// Memory returns the heap in bytes that one idle Router adds to a simulation,
// including its Snapshot and the configuration pieces that it keeps for peers. It
// ignores o.Instances.
func Memory(o Options) (int64, error) {
	heap := func(instances int) (int64, error) {
		opts := o
		opts.Instances = instances
		w := virtual.New(deploymentOptions(opts))
		if err := waitUntilServing(w); err != nil {
			return 0, err
		}
		runtime.GC()
		runtime.GC()
		var stats runtime.MemStats
		runtime.ReadMemStats(&stats)
		runtime.KeepAlive(w)
		return int64(stats.HeapAlloc), nil
	}
	few, err := heap(1)
	if err != nil {
		return 0, err
	}
	many, err := heap(5)
	return (many - few) / 4, err
}
