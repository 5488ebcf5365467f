package hosted

import (
	"context"
	"errors"
	"math"
	mathrand "math/rand/v2"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/rhubarbsill/rhubarbsill/pkg/core"
	"github.com/rhubarbsill/rhubarbsill/pkg/follow"
	"github.com/rhubarbsill/rhubarbsill/pkg/router"
	"github.com/rhubarbsill/rhubarbsill/pkg/telemetry"
)

const (
	// watchInterval is the mean time between the ends of two watches in a small fleet.
	// An unresponsive watch is detected when it ends, and heartbeats then announce the
	// change to the Instances whose watches are unresponsive too. Half of the 3 s in
	// which a configuration must become active is left for that.
	watchInterval = 300 * time.Millisecond
	// minWatchPeriod and maxWatchPeriod bound the period of the watches of one Instance.
	minWatchPeriod = 1200 * time.Millisecond
	maxWatchPeriod = 10 * time.Second
	// minWatchWait is the shortest wait of a watch.
	minWatchWait = 200 * time.Millisecond
	// watchMargin is the time beyond its wait after which a watch counts as
	// unresponsive.
	watchMargin = 350 * time.Millisecond
	// readTimeout bounds a read or write of the store.
	readTimeout = 800 * time.Millisecond
	// slowReadTimeout replaces readTimeout after a failed call: the store may be slow
	// rather than unavailable.
	slowReadTimeout = 2500 * time.Millisecond
	// minReadInterval is the shortest time between two full reads: a tenth of the time
	// in which a configuration must become active.
	minReadInterval = 300 * time.Millisecond
	// changeBatchDelay is the delay before the next watch after a change. Changes come
	// in bursts (at a start, a release or several promotions in a row), and each store
	// call is billed. It is a twelfth of the time in which a change must become active.
	changeBatchDelay = 250 * time.Millisecond
	// initialBackoff and maxBackoff bound the delay after a failed call of the store.
	initialBackoff = 60 * time.Millisecond
	maxBackoff     = 800 * time.Millisecond
)

// storeHealth tracks the store calls of one synchronisation loop. It logs when the
// store becomes unavailable and when it is available again.
type storeHealth struct {
	daemon      *Daemon
	resource    string
	failedCalls int
	backoff     time.Duration
	// lastRead is the time of the last full read, successful or not.
	lastRead time.Time
	// lastReply is the time of the last successful call, zero before the first.
	lastReply time.Time
}

func (d *Daemon) newStoreHealth(resource string) *storeHealth {
	return &storeHealth{daemon: d, resource: resource}
}

// recordFailureAndWait records a failed call and waits for the backoff. It reports
// false when ctx has ended.
func (h *storeHealth) recordFailureAndWait(ctx context.Context, err error) bool {
	if ctx.Err() != nil {
		return false
	}
	if errors.Is(err, ErrNotFound) {
		return sleep(ctx, minReadInterval) // the operator has not created the object yet
	}
	h.failedCalls++
	if h.failedCalls == 1 {
		telemetry.ComponentLogger(h.daemon.log, "store").Warn("lost", zap.String("what", h.resource),
			zap.Bool("unanswered", errors.Is(err, context.DeadlineExceeded)), zap.Duration("since_reply", h.sinceReply()), zap.Error(err))
		h.daemon.metrics.SetStoreWatchFailing(h.resource, true)
	}
	h.daemon.post(router.StoreCallFailed{})
	h.backoff = min(max(initialBackoff, 2*h.backoff), maxBackoff)
	return sleep(ctx, h.backoff/2+time.Duration(mathrand.Int64N(int64(h.backoff))))
}

// sinceReply returns the time since the last successful call, 0 before the first.
func (h *storeHealth) sinceReply() time.Duration {
	if h.lastReply.IsZero() {
		return 0
	}
	return time.Since(h.lastReply)
}

// recordSuccess records a successful call and resets the backoff.
func (h *storeHealth) recordSuccess() {
	if h.failedCalls > 0 {
		telemetry.ComponentLogger(h.daemon.log, "store").Info("regained", zap.String("what", h.resource),
			zap.Int("failed_calls", h.failedCalls), zap.Duration("since_reply", h.sinceReply()))
		h.daemon.metrics.SetStoreWatchFailing(h.resource, false)
	}
	h.lastReply = time.Now()
	h.failedCalls = 0
	h.backoff = 0
}

// waitForReadInterval waits until minReadInterval has passed since the last full read.
// Without it, a store that compacts its history repeatedly would cause full reads
// without a pause.
func (h *storeHealth) waitForReadInterval(ctx context.Context) {
	if since := time.Since(h.lastRead); since < minReadInterval {
		sleep(ctx, minReadInterval-since)
	}
	h.lastRead = time.Now()
}

// timeout returns the time limit of the next call: slowReadTimeout after a failed one.
func (h *storeHealth) timeout() time.Duration {
	if h.failedCalls > 0 {
		return slowReadTimeout
	}
	return readTimeout
}

// syncRouting reads the configuration, then watches it for changes. phase is that of
// watchWait.
func (d *Daemon) syncRouting(ctx context.Context, phase float64) {
	health := d.newStoreHealth("config")
	lost := false
	for ctx.Err() == nil {
		if call, due := d.nextStoreCall(ctx, router.StateConfig, false, lost); !due {
			return
		} else if mayWatch(call) {
			lost = d.watchRouting(ctx, health, call.After, phase, &call)
			continue
		}
		health.waitForReadInterval(ctx)
		readCtx, cancel := context.WithTimeout(ctx, health.timeout())
		readAt := d.now()
		object, revision, err := d.adapter.Store.ReadRouting(readCtx)
		cancel()
		if err != nil {
			health.recordFailureAndWait(ctx, err)
			continue
		}
		health.recordSuccess()
		d.post(router.RoutingReceived{Routing: object.Routing, Revision: object.Revision, Raw: object.Raw, ReadAt: readAt, At: revision})
		lost = d.watchRouting(ctx, health, revision, phase, nil)
	}
}

// watchRouting watches the configuration from a revision on. The first watch is call, if that is set. It
// reports whether a list is needed because the store does not have all changes.
func (d *Daemon) watchRouting(ctx context.Context, health *storeHealth, after core.StoreRevision, phase float64, call *follow.Call) (lost bool) {
	for ctx.Err() == nil {
		if call == nil {
			next, due := d.nextStoreCall(ctx, router.StateConfig, true, false)
			if !due || next.List {
				return false
			}
			call, after = &next, after.Latest(next.After)
		}
		wait := boundWait(*call, watchWait(time.Since(d.start), watchPeriod(d.liveInstances.Load()), phase))
		call = nil
		startedAt := d.now()
		watchCtx, cancel := d.watches.start(ctx, after.Era, wait+d.watchMargin(health))
		object, at, err := d.adapter.Store.WatchRouting(watchCtx, after, wait)
		cancel()
		switch {
		case errors.Is(err, ErrCompacted), err != nil && context.Cause(watchCtx) == errWatchEnded:
			return true
		case err != nil:
			health.recordFailureAndWait(ctx, err)
			return false
		}
		health.recordSuccess()
		if at.Era != after.Era {
			return true // the store does not have all changes since the revision after
		}
		after = after.Latest(at)
		if object != nil {
			d.postRouting(*object, "", 0)
		}
		d.postWatched(router.StateConfig, after, startedAt, wait, object != nil)
		if object != nil {
			d.pauseConfigWatch(ctx, object.Revision)
			after = after.Latest(d.configFromPeer(after.Era))
		}
	}
	return false
}

// followerPauseFraction is the part of the time for a configuration to be in force for which a
// follower relies on the readers of its Region. The rest is for its own watch, if they tell it of
// nothing.
const followerPauseFraction = 0.5

// pauseConfigWatch waits after the configuration of a revision until the next watch may begin. A large
// one may take a second to each Instance of another Region, so followers leave the next ones to peers,
// which compress them, for as long as these keep sending some.
func (d *Daemon) pauseConfigWatch(ctx context.Context, newest core.StoreRevision) {
	if !d.follower.Load() || d.storeCalls != nil {
		sleep(ctx, changeBatchDelay)
		return
	}
	pause := max(changeBatchDelay, time.Duration(followerPauseFraction*float64(d.settings.configApplyTime())))
	for sleep(ctx, pause) {
		held := d.configFromPeer(newest.Era)
		if !newest.Before(held) {
			return
		}
		newest = held
	}
}

// configFromPeer returns the revision of the active configuration if it is of the era, so that a
// watch does not deliver again what a peer has sent.
func (d *Daemon) configFromPeer(era uint64) core.StoreRevision {
	if held := d.config.Load(); held != nil && held.Revision.Era == era {
		return held.Revision
	}
	return core.StoreRevision{Era: era}
}

// watchPeriod returns the time between the ends of two watches of one Instance. It grows
// with the fleet, so that the ends of all watches are watchInterval apart on average.
func watchPeriod(liveInstances int64) time.Duration {
	return min(maxWatchPeriod, max(minWatchPeriod, time.Duration(liveInstances)*watchInterval))
}

// watchWait returns the wait of a watch that begins when the process has run for elapsed,
// so that it ends at a fixed phase of the period. The phase is a fraction that each
// Instance draws at random. A change makes all watches of a fleet begin together; due to
// the phases they still end at different times.
func watchWait(elapsed, period time.Duration, phase float64) time.Duration {
	wait := period - (elapsed+time.Duration(phase*float64(period)))%period
	if wait < minWatchWait {
		wait += period
	}
	return wait
}

// activeWatches are the watches of the store in progress.
type activeWatches struct {
	mu   sync.Mutex
	ends map[context.Context]activeWatch
}

type activeWatch struct {
	end context.CancelCauseFunc
	// era is that of the revision from which it watches.
	era uint64
}

var errWatchEnded = errors.New("the watch was ended early")

// start returns the context of a watch from a revision of an era.
func (w *activeWatches) start(ctx context.Context, era uint64, timeout time.Duration) (context.Context, func()) {
	timeoutCtx, cancel := context.WithTimeout(ctx, timeout)
	watchCtx, end := context.WithCancelCause(timeoutCtx)
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.ends == nil {
		w.ends = map[context.Context]activeWatch{}
	}
	w.ends[watchCtx] = activeWatch{end: end, era: era}
	return watchCtx, func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		delete(w.ends, watchCtx)
		end(nil)
		cancel()
	}
}

// endAll ends all watches, so that a full read follows each of them.
func (w *activeWatches) endAll() { w.endBefore(math.MaxUint64) }

// endBefore ends the watches from revisions of earlier eras of the store.
func (w *activeWatches) endBefore(era uint64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, watch := range w.ends {
		if watch.era < era {
			watch.end(errWatchEnded)
		}
	}
}

// setLiveInstances records the number of live Instances. When most of them are lost, the
// waits of the current watches are too long: they were chosen for the number before.
func (d *Daemon) setLiveInstances(n int64) {
	if before := d.liveInstances.Swap(n); watchPeriod(n) <= watchPeriod(before)/2 {
		d.watches.endAll()
	}
}

func (d *Daemon) postRouting(object RoutingObject, from core.InstanceID, readAt core.Instant) {
	d.post(router.RoutingReceived{Routing: object.Routing, Revision: object.Revision, Raw: object.Raw, From: from, ReadAt: readAt})
}

// syncUpstreams reads the registered Upstreams, then watches them for changes. phase is
// that of watchWait.
func (d *Daemon) syncUpstreams(ctx context.Context, phase float64) {
	health := d.newStoreHealth("upstreams")
	lost := false
	for ctx.Err() == nil {
		if call, due := d.nextStoreCall(ctx, router.StateUpstreams, false, lost); !due {
			return
		} else if mayWatch(call) {
			lost = d.watchUpstreams(ctx, health, call.After, phase, &call)
			continue
		}
		health.waitForReadInterval(ctx)
		readCtx, cancel := context.WithTimeout(ctx, health.timeout())
		readAt := d.now()
		list, skipped, revision, err := d.adapter.Store.ListUpstreams(readCtx)
		cancel()
		if err != nil {
			health.recordFailureAndWait(ctx, err)
			continue
		}
		health.recordSuccess()
		d.logSkipped(skipped)
		d.post(router.UpstreamsListed{Revision: revision, Upstreams: list, ReadAt: readAt})
		lost = d.watchUpstreams(ctx, health, revision, phase, nil)
	}
}

// watchUpstreams watches the Upstreams from a revision on. The first watch is call, if that is set. It
// reports whether a list is needed because the store does not have all changes.
func (d *Daemon) watchUpstreams(ctx context.Context, health *storeHealth, after core.StoreRevision, phase float64, call *follow.Call) (lost bool) {
	cold := coldEntries{}
	for ctx.Err() == nil {
		if call == nil {
			next, due := d.nextStoreCall(ctx, router.StateUpstreams, true, false)
			if !due || next.List {
				return false
			}
			call, after = &next, after.Latest(next.After)
		}
		wait := boundWait(*call, watchWait(time.Since(d.start), watchPeriod(d.liveInstances.Load()), phase))
		call = nil
		startedAt := d.now()
		watchCtx, cancel := d.watches.start(ctx, after.Era, wait+d.watchMargin(health))
		changes, skipped, at, err := d.adapter.Store.WatchUpstreams(watchCtx, after, wait)
		cancel()
		switch {
		case errors.Is(err, ErrCompacted), err != nil && context.Cause(watchCtx) == errWatchEnded:
			return true
		case err != nil:
			health.recordFailureAndWait(ctx, err)
			return false
		}
		health.recordSuccess()
		if at.Era != after.Era {
			return true // the store does not have all changes since the revision after
		}
		d.logSkipped(skipped)
		before := after
		after = after.Latest(at)
		if len(changes) > 0 {
			d.post(router.UpstreamsChanged{Revision: after, After: before, Changes: changes})
		}
		d.postWatched(router.StateUpstreams, after, startedAt, wait, len(changes) > 0)
		if len(changes) > 0 {
			sleep(ctx, cold.batchDelay(changes))
		}
	}
	return false
}

func (d *Daemon) logSkipped(skipped []SkippedEntry) {
	for _, entry := range skipped {
		telemetry.ComponentLogger(d.log, "catalog").Warn("skipped an invalid upstream entry", zap.String("name", entry.Name), zap.Error(entry.Reason))
	}
}

// registerMember fetches the members from the seeds and writes the description of this Instance.
func (d *Daemon) registerMember(ctx context.Context) {
	for _, seed := range d.settings.Seeds {
		if seed != d.settings.PeerAddr {
			go d.fetchState(ctx, router.FetchState{Kind: stateMembers, Addr: seed})
		}
	}
	d.writeMember(ctx, false)
}

// writeMember writes the description of this Instance, with retries until the store accepts it, and
// only then lists the others. Of two Instances that register at the same time, the one that writes
// last finds the other. joined is set if the Instance has its share: that holds for the first attempt
// only, because a failed one may take effect late.
func (d *Daemon) writeMember(ctx context.Context, joined bool) {
	if !d.writingMember.CompareAndSwap(false, true) {
		return
	}
	written := d.putMember(ctx, joined)
	d.writingMember.Store(false) // the list may ask for another write
	if written {
		d.listMembers(ctx)
	}
}

// putMember writes the description of this Instance. It reports false when ctx has ended.
func (d *Daemon) putMember(ctx context.Context, joined bool) bool {
	health := d.newStoreHealth("members")
	for ctx.Err() == nil {
		writeCtx, cancel := context.WithTimeout(ctx, health.timeout())
		err := d.adapter.Store.PutMember(writeCtx, d.router.HostedMember(), joined)
		cancel()
		joined = false
		if err != nil {
			health.recordFailureAndWait(ctx, err)
			continue
		}
		health.recordSuccess()
		return true
	}
	return false
}

func (d *Daemon) listMembers(ctx context.Context) {
	readCtx, cancel := context.WithTimeout(ctx, slowReadTimeout)
	defer cancel()
	readAt := d.now()
	list, skipped, err := d.adapter.Store.ListMembers(readCtx)
	if err != nil {
		telemetry.ComponentLogger(d.log, "store").Warn("could not list members", zap.Error(err))
		return
	}
	for _, entry := range skipped {
		telemetry.ComponentLogger(d.log, "fleet").Warn("skipped an invalid entry of an instance", zap.String("name", entry.Name), zap.Error(entry.Reason))
	}
	d.post(router.MembersListed{Members: list.Members, Marks: list.Marks, Era: list.Era, Complete: true, ReadAt: readAt})
}

// stateMembers is fetched from seeds only.
const stateMembers router.StateKind = "members"

// handlePeerMessages posts the messages of a peer to the event loop.
func (d *Daemon) handlePeerMessages(from core.InstanceRef, batch []envelope) {
	for _, e := range batch {
		d.clock.Observe(e.Stamp)
		d.post(router.PeerMessageReceived{From: from, Message: e.Message})
	}
}
