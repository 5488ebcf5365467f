package hosted

import (
	"context"
	"encoding/json"
	"errors"
	mathrand "math/rand/v2"
	"time"

	"github.com/joomcode/errorx"
	"go.uber.org/zap"

	"github.com/rhubarbsill/rhubarbsill/pkg/core"
	"github.com/rhubarbsill/rhubarbsill/pkg/fleet"
	"github.com/rhubarbsill/rhubarbsill/pkg/router"
	"github.com/rhubarbsill/rhubarbsill/pkg/telemetry"
)

const (
	// meanWatchWait is the time after which the watch of a lone Instance ends without a
	// change. A watch that has fallen silent is found this long after its last
	// answer, which leaves half of the 3 s in which a configuration has to be in
	// force. In a fleet each watch waits longer, and at random: the first that ends
	// finds what the others miss, and their heartbeats tell them.
	meanWatchWait = 1200 * time.Millisecond
	// watchFleetSize is the number of Instances whose watches together are as fresh as
	// that of a lone one.
	watchFleetSize = 4
	// maxWatchWait bounds the wait in a large fleet.
	maxWatchWait = 10 * time.Second
	// watchMargin is the time beyond its wait after which a watch counts as silent.
	watchMargin = 350 * time.Millisecond
	// readTimeout bounds a read or write of the store.
	readTimeout = 800 * time.Millisecond
	// slowReadTimeout bounds a read after a first one ran into its time limit.
	slowReadTimeout = 2500 * time.Millisecond
	// minReadInterval is the shortest time between two whole reads, a tenth of the time in
	// which a configuration has to be in force.
	minReadInterval = 300 * time.Millisecond
	// changeBatchDelay is the pause after a watch with changes. Changes come in series, at a
	// start, a release or a storm of configurations, and each call is paid for. It is
	// a twelfth of the time in which a change has to be in force.
	changeBatchDelay = 250 * time.Millisecond
	// initialBackoff and maxBackoff bound the pause after a failed call of the store.
	initialBackoff = 60 * time.Millisecond
	maxBackoff   = 800 * time.Millisecond
)

// storeHealth follows the health of the calls of one loop, with a log line for
// each loss and return of the store.
type storeHealth struct {
	daemon  *Daemon
	resource    string
	failedCalls int
	backoff   time.Duration
	// lastRead is the time of the last whole read, of whatever outcome.
	lastRead time.Time
}

func (d *Daemon) newStoreHealth(what string) *storeHealth {
	return &storeHealth{daemon: d, resource: what}
}

// recordFailureAndWait notes a recordFailureAndWait call and waits. It reports false when ctx has ended.
func (l *storeHealth) recordFailureAndWait(ctx context.Context, err error) bool {
	if ctx.Err() != nil {
		return false
	}
	if errors.Is(err, ErrNotFound) {
		return sleep(ctx, minReadInterval) // the operator has not written it yet
	}
	l.failedCalls++
	if l.failedCalls == 1 {
		telemetry.ComponentLogger(l.daemon.log, "store").Warn("lost", zap.String("what", l.resource), zap.Error(err))
		l.daemon.metrics.SetStoreWatchFailing(l.resource, true)
	}
	l.daemon.post(router.StoreCallFailed{})
	l.backoff = min(max(initialBackoff, 2*l.backoff), maxBackoff)
	return sleep(ctx, l.backoff/2+time.Duration(mathrand.Int64N(int64(l.backoff))))
}

func (l *storeHealth) recordSuccess() {
	if l.failedCalls > 0 {
		telemetry.ComponentLogger(l.daemon.log, "store").Info("regained", zap.String("what", l.resource), zap.Int("failed_calls", l.failedCalls))
		l.daemon.metrics.SetStoreWatchFailing(l.resource, false)
	}
	l.failedCalls = 0
	l.backoff = 0
}

// waitForReadInterval waits before a whole read that follows another closely: the store may drop
// its history again and again.
func (l *storeHealth) waitForReadInterval(ctx context.Context) {
	if since := time.Since(l.lastRead); since < minReadInterval {
		sleep(ctx, minReadInterval-since)
	}
	l.lastRead = time.Now()
}

// timeout is longer once a call has failed: the store may be slow, not away.
func (l *storeHealth) timeout() time.Duration {
	if l.failedCalls > 0 {
		return slowReadTimeout
	}
	return readTimeout
}

// syncRouting reads the configuration and then waits for its changes.
func (d *Daemon) syncRouting(ctx context.Context) {
	link := d.newStoreHealth("config")
	for ctx.Err() == nil {
		link.waitForReadInterval(ctx)
		read, cancel := context.WithTimeout(ctx, link.timeout())
		object, revision, err := d.adapter.Store.ReadRouting(read)
		cancel()
		if err != nil {
			link.recordFailureAndWait(ctx, err)
			continue
		}
		link.recordSuccess()
		d.storeRouting(object, "")
		d.watchRouting(ctx, link, revision)
	}
}

func (d *Daemon) watchRouting(ctx context.Context, link *storeHealth, after uint64) {
	for ctx.Err() == nil {
		wait := d.drawWatchWait()
		watch, cancel := context.WithTimeout(ctx, wait+watchMargin)
		object, at, err := d.adapter.Store.WatchRouting(watch, after, wait)
		cancel()
		switch {
		case errors.Is(err, ErrCompacted):
			return
		case err != nil:
			link.recordFailureAndWait(ctx, err)
			return
		}
		link.recordSuccess()
		after = max(after, at)
		if object != nil {
			d.storeRouting(*object, "")
			sleep(ctx, changeBatchDelay)
		}
	}
}

// drawWatchWait draws the wait of one watch, from half to one and a half of its mean.
func (d *Daemon) drawWatchWait() time.Duration {
	mean := meanWatchWait * time.Duration(max(watchFleetSize, d.liveInstances.Load())) / watchFleetSize
	return min(maxWatchWait, mean/2+time.Duration(mathrand.Int64N(int64(mean))))
}

func (d *Daemon) storeRouting(object RoutingObject, from core.InstanceID) {
	held := d.rawConfig.Load()
	if held == nil || object.Revision > held.Revision {
		d.rawConfig.Store(&object)
	}
	d.post(router.RoutingReceived{Routing: object.Routing, Revision: object.Revision, From: from})
}

// syncUpstreams reads the registered Upstreams and then waits for changes.
func (d *Daemon) syncUpstreams(ctx context.Context) {
	link := d.newStoreHealth("upstreams")
	for ctx.Err() == nil {
		link.waitForReadInterval(ctx)
		read, cancel := context.WithTimeout(ctx, link.timeout())
		list, skipped, revision, err := d.adapter.Store.ListUpstreams(read)
		cancel()
		if err != nil {
			link.recordFailureAndWait(ctx, err)
			continue
		}
		link.recordSuccess()
		d.logSkipped(skipped)
		d.post(router.UpstreamsListed{Revision: revision, Upstreams: list})
		d.watchUpstreams(ctx, link, revision)
	}
}

func (d *Daemon) watchUpstreams(ctx context.Context, link *storeHealth, after uint64) {
	for ctx.Err() == nil {
		wait := d.drawWatchWait()
		watch, cancel := context.WithTimeout(ctx, wait+watchMargin)
		changes, skipped, at, err := d.adapter.Store.WatchUpstreams(watch, after, wait)
		cancel()
		switch {
		case errors.Is(err, ErrCompacted):
			return
		case err != nil:
			link.recordFailureAndWait(ctx, err)
			return
		}
		link.recordSuccess()
		d.logSkipped(skipped)
		after = max(after, at)
		if len(changes) > 0 {
			d.post(router.UpstreamsChanged{Revision: after, Changes: changes})
			sleep(ctx, changeBatchDelay)
		}
	}
}

func (d *Daemon) logSkipped(skipped []SkippedEntry) {
	for _, entry := range skipped {
		telemetry.ComponentLogger(d.log, "catalog").Warn("entry names no upstream", zap.String("name", entry.Name), zap.Error(entry.Reason))
	}
}

// registerMember writes the description of this Instance until the store has taken it,
// then lists the others. The last of two Instances to write finds the other.
func (d *Daemon) registerMember(ctx context.Context) {
	link := d.newStoreHealth("members")
	for _, seed := range d.settings.Seeds {
		if seed != d.settings.PeerAddr {
			go d.fetchState(ctx, router.FetchState{Kind: stateMembers, Addr: seed})
		}
	}
	for ctx.Err() == nil {
		write, cancel := context.WithTimeout(ctx, link.timeout())
		err := d.adapter.Store.PutMember(write, d.router.HostedMember())
		cancel()
		if err != nil {
			link.recordFailureAndWait(ctx, err)
			continue
		}
		link.recordSuccess()
		d.listMembers(ctx)
		return
	}
}

func (d *Daemon) listMembers(ctx context.Context) {
	read, cancel := context.WithTimeout(ctx, slowReadTimeout)
	defer cancel()
	members, err := d.adapter.Store.ListMembers(read)
	if err != nil {
		telemetry.ComponentLogger(d.log, "store").Warn("members not read", zap.Error(err))
		return
	}
	d.post(router.MembersListed{Members: members})
}

// stateMembers is asked of seeds only.
const stateMembers router.StateKind = "members"

// handlePeerMessages takes in the messages of a peer.
func (d *Daemon) handlePeerMessages(from core.InstanceRef, batch []envelope) {
	for _, e := range batch {
		d.clock.Observe(e.Stamp)
		d.post(router.PeerMessageReceived{From: from, Message: e.Message})
	}
}

// peerConfig is the configuration as one Instance gives it to another.
type peerConfig struct {
	Revision uint64 `json:"revision"`
	Raw      []byte `json:"raw"`
}

// servePeer answers what peers fetch.
func (d *Daemon) servePeer(_ core.InstanceRef, name string, _ []byte) ([]byte, error) {
	switch router.StateKind(name) {
	case router.StateConfig:
		held := d.rawConfig.Load()
		if held == nil {
			return nil, errorx.IllegalState.New("no configuration is held here")
		}
		return json.Marshal(peerConfig{Revision: held.Revision, Raw: held.Raw})
	case router.StateUpstreams:
		held := d.upstreams.Load()
		if held == nil {
			return nil, errorx.IllegalState.New("no list of upstreams is held here")
		}
		return json.Marshal(held)
	case stateMembers:
		return json.Marshal([]fleet.Member{d.router.HostedMember()})
	}
	return nil, errorx.IllegalArgument.New("%q is not known", name)
}

// fetchState asks a peer for a state and posts what it answers.
func (d *Daemon) fetchState(ctx context.Context, e router.FetchState) {
	defer d.post(router.StateFetchEnded{Kind: e.Kind})
	fetch, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	body, err := d.peers.Fetch(fetch, e.Addr, string(e.Kind), nil)
	if err == nil {
		err = d.applyState(e, body)
	}
	if err != nil {
		telemetry.ComponentLogger(d.log, "fleet").Warn("state not fetched",
			zap.String("kind", string(e.Kind)), zap.String("from", string(e.From)), zap.String("addr", e.Addr), zap.Error(err))
	}
}

func (d *Daemon) applyState(e router.FetchState, body []byte) error {
	switch e.Kind {
	case router.StateConfig:
		var got peerConfig
		if err := json.Unmarshal(body, &got); err != nil {
			return err
		}
		routing, err := d.adapter.Store.DecodeRouting(got.Raw)
		if err != nil {
			return err
		}
		d.storeRouting(RoutingObject{Routing: routing, Revision: got.Revision, Raw: got.Raw}, e.From)
	case router.StateUpstreams:
		var got upstreamList
		if err := json.Unmarshal(body, &got); err != nil {
			return err
		}
		d.post(router.UpstreamsListed{Revision: got.Revision, Upstreams: got.Upstreams, From: e.From})
	case stateMembers:
		var got []fleet.Member
		if err := json.Unmarshal(body, &got); err != nil {
			return err
		}
		d.post(router.MembersListed{Members: got})
	}
	return nil
}
