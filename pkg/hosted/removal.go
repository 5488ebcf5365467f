package hosted

import (
	"context"
	"sync"

	"go.uber.org/zap"

	"github.com/rhubarbsill/rhubarbsill/pkg/core"
	"github.com/rhubarbsill/rhubarbsill/pkg/telemetry"
)

// parallelRemovals bounds the calls of the store at the same time while the entries of many lost
// Instances are removed.
const parallelRemovals = 8

// removeMembers removes the entries of lost Instances and lists the members then. An entry that
// could not be removed is still listed, and is removed later.
func (d *Daemon) removeMembers(ctx context.Context, refs []core.InstanceRef) {
	work := make(chan core.InstanceRef)
	var workers sync.WaitGroup
	for range min(parallelRemovals, len(refs)) {
		workers.Go(func() {
			for ref := range work {
				d.removeMember(ctx, ref)
			}
		})
	}
	for _, ref := range refs {
		work <- ref
	}
	close(work)
	workers.Wait()
	d.listMembers(ctx)
}

func (d *Daemon) removeMember(ctx context.Context, ref core.InstanceRef) {
	removeCtx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	if err := d.adapter.Store.RemoveMember(removeCtx, ref); err != nil {
		telemetry.ComponentLogger(d.log, "fleet").Warn("could not remove the entry of an instance", zap.Stringer("instance", ref), zap.Error(err))
	}
}
