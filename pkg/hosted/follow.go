package hosted

import (
	"context"
	"time"

	"github.com/rhubarbsill/rhubarbsill/pkg/core"
	"github.com/rhubarbsill/rhubarbsill/pkg/follow"
	"github.com/rhubarbsill/rhubarbsill/pkg/router"
)

// nextStoreCall waits until the next call of the store for a kind is due. It returns false when ctx has
// ended. If followers do not rely on readers, a call is always due, and the caller decides on it.
// canWatch is set if the caller has a revision from which to watch, lost if the store did not have the
// changes after the last one.
func (d *Daemon) nextStoreCall(ctx context.Context, kind router.StateKind, canWatch, lost bool) (follow.Call, bool) {
	if d.storeCalls == nil {
		return follow.Call{List: !canWatch}, ctx.Err() == nil
	}
	d.post(router.StoreCallReady{Kind: kind, CanWatch: canWatch, Lost: lost})
	select {
	case call := <-d.storeCalls[kind]:
		return call, true
	case <-ctx.Done():
		return follow.Call{}, false
	}
}

// mayWatch reports whether a call is a watch from its own revision.
func mayWatch(call follow.Call) bool { return !call.List && call.After.Number > 0 }

// boundWait returns the wait of a watch, which is usual unless the call has a shorter one.
func boundWait(call follow.Call, usual time.Duration) time.Duration {
	switch {
	case call.Wait > 0:
		return call.Wait
	case call.MaxWait > 0:
		return min(usual, call.MaxWait)
	}
	return usual
}

// watchMargin returns the time beyond its wait after which a watch counts as unresponsive. The watch of a
// follower may follow a failed one, and the store may be slow rather than unavailable.
func (d *Daemon) watchMargin(health *storeHealth) time.Duration {
	if d.storeCalls != nil && health.failedCalls > 0 {
		return slowReadTimeout
	}
	return watchMargin
}

// postWatched posts what the answer to a watch confirms: the instant of its end if it has ended at its
// wait, else that of its begin.
func (d *Daemon) postWatched(kind router.StateKind, at core.StoreRevision, startedAt core.Instant, wait time.Duration, changed bool) {
	if d.storeCalls == nil {
		return
	}
	confirmedAt := startedAt
	if !changed && d.now().Sub(startedAt) >= wait {
		confirmedAt = startedAt.Add(wait)
	}
	d.post(router.StoreWatched{Kind: kind, At: at, ConfirmedAt: confirmedAt})
}

// recordFollowGauges sets the metrics of what followers rely on.
func (d *Daemon) recordFollowGauges(gauges *router.FollowGauges) {
	if gauges == nil {
		return
	}
	var before router.FollowCounts
	calls := map[router.StateKind]map[follow.Reason]int64{}
	if d.lastFollow != nil {
		before, calls = d.lastFollow.Counts, d.lastFollow.Calls
	}
	for kind, age := range gauges.Ages {
		d.metrics.SetConfirmationAge(string(kind), age)
		for reason, n := range gauges.Calls[kind] {
			d.metrics.AddStoreCalls(string(kind), string(reason), n-calls[kind][reason])
		}
	}
	for outcome, n := range map[string]int64{
		"pushed":   gauges.Counts.Pushed - before.Pushed,
		"answered": gauges.Counts.Answered - before.Answered,
		"deferred": gauges.Counts.Deferred - before.Deferred,
		"applied":  gauges.Counts.Applied - before.Applied,
		"known":    gauges.Counts.Known - before.Known,
		"refused":  gauges.Counts.Refused - before.Refused,
		"pulled":   gauges.Counts.Pulls - before.Pulls,
	} {
		d.metrics.AddForwardedChanges(outcome, n)
	}
	d.lastFollow = gauges
}
