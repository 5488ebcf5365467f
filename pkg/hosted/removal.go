package hosted

import (
	"context"
	"sync"

	"go.uber.org/zap"

	"github.com/rhubarbsill/rhubarbsill/pkg/fleet"
	"github.com/rhubarbsill/rhubarbsill/pkg/telemetry"
)

// parallelRemovals bounds the calls of the store at the same time while the entries of many lost
// Instances are removed.
const parallelRemovals = 8

// removeMembers marks the entries of lost Instances or removes them, and lists the members then. What
// fails is tried again later, since the entry is still listed.
func (d *Daemon) removeMembers(ctx context.Context, removals []fleet.Removal) {
	work := make(chan fleet.Removal)
	var workers sync.WaitGroup
	for range min(parallelRemovals, len(removals)) {
		workers.Go(func() {
			for removal := range work {
				d.removeMember(ctx, removal)
			}
		})
	}
	for _, removal := range removals {
		work <- removal
	}
	close(work)
	workers.Wait()
	d.listMembers(ctx)
}

// giveUpShare marks the own entry as left at a stop, so that the next incarnation does not inherit a
// share which the others use from then on. It does not block, and closes the channel that it returns.
func (d *Daemon) giveUpShare(ctx context.Context) <-chan struct{} {
	done := make(chan struct{})
	go func() {
		defer close(done)
		if d.settings.takesOverShares() {
			d.removeMember(ctx, fleet.Removal{Ref: d.router.HostedMember().Ref, Left: true})
		}
	}()
	return done
}

func (d *Daemon) removeMember(ctx context.Context, removal fleet.Removal) {
	removeCtx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	if err := d.adapter.Store.RemoveMember(removeCtx, removal); err != nil {
		telemetry.ComponentLogger(d.log, "fleet").Warn("could not remove the entry of an instance", zap.Stringer("instance", removal.Ref), zap.Error(err))
	}
}
