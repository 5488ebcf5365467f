package virtual

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/rhubarbsill/rhubarbsill/pkg/attempts"
	"github.com/rhubarbsill/rhubarbsill/pkg/core"
	"github.com/rhubarbsill/rhubarbsill/pkg/membership"
	"github.com/rhubarbsill/rhubarbsill/pkg/router"
)

// pauseThreshold is the gap after which the daemon reports a pause to its Router.
const pauseThreshold = 1500 * time.Millisecond

// Instance is one entry Instance of a World.
type Instance struct {
	sim    *World
	opts   InstanceOptions
	router *router.Router
	ref    core.InstanceRef

	dead    bool
	removed bool // from the platform's list
	leaving bool
	// Drained is set when a graceful shutdown has ended.
	Drained       bool
	pausedUntil   time.Duration
	lastStepAt    time.Duration
	pendingEvents []router.Event // arrived during a pause
	wakeAt        time.Duration
	processEpoch  int // counts restarts, so that timers of earlier runs do nothing
	startedAt     time.Duration

	// Records counts timeline events by part and kind.
	Records map[string]int
	// Observations holds what the metrics would get.
	Observations []router.Observation
}

func (w *World) addInstance(opts InstanceOptions) {
	if opts.ClockRate == 0 {
		opts.ClockRate = 1
	}
	i := &Instance{sim: w, opts: opts, Records: map[string]int{}}
	w.instances = append(w.instances, i)
	w.byID[opts.ID] = i
	i.start(1)
}

// Instances returns the Instances in the order of the options.
func (w *World) Instances() []*Instance { return w.instances }

// Instance returns the Instance with the id.
func (w *World) Instance(id core.InstanceID) *Instance { return w.byID[id] }

func (i *Instance) start(incarnation core.Incarnation) {
	w := i.sim
	i.processEpoch++
	i.dead = false
	i.Drained = false
	i.leaving = false
	i.pendingEvents = nil
	i.pausedUntil = 0
	i.startedAt = w.now
	i.lastStepAt = w.now
	i.ref = core.InstanceRef{ID: i.opts.ID, Incarnation: incarnation}
	seed := rand.New(rand.NewPCG(w.opts.Seed, uint64(incarnation)^xxhash.Sum64String(string(i.opts.ID))))
	params := router.Params{
		Self: membership.Member{
			Ref:        i.ref,
			DataCentre: i.opts.DataCentre,
			Region:     w.regions[i.opts.DataCentre],
			PeerAddr:   string(i.opts.ID),
			CallerAddr: string(i.opts.ID),
		},
		StoreRegion: w.opts.Document.StoreRegion,
		Environment: "production",
		Rand:        seed,
		NonceSource: randomReader{rand.New(rand.NewPCG(seed.Uint64(), 7))},
	}
	if w.opts.Adjust != nil {
		w.opts.Adjust(&params)
	}
	i.router = router.New(params)
	i.wakeAt = w.now
	i.scheduleWake(i.processEpoch, w.now)
}

type randomReader struct{ *rand.Rand }

// Read fills p with pseudo-random bytes.
func (r randomReader) Read(p []byte) (int, error) {
	for i := range p {
		p[i] = byte(r.Uint32())
	}
	return len(p), nil
}

// localNow returns the reading of the Instance's clock.
func (i *Instance) localNow() core.Instant {
	return core.Instant(float64(i.sim.now-i.startedAt)*i.opts.ClockRate) + 1
}

func (i *Instance) virtualTime(t core.Instant) time.Duration {
	if t == core.Never {
		return 1 << 62
	}
	return i.startedAt + time.Duration(float64(t)/i.opts.ClockRate) + 1
}

func (i *Instance) scheduleWake(run int, at time.Duration) {
	i.sim.after(at-i.sim.now, func() {
		if i.processEpoch == run && !i.dead && i.wakeAt <= i.sim.now {
			i.deliver(router.Tick{})
		}
	})
}

// deliver gives an event to the Router, or keeps it while the process is paused.
func (i *Instance) deliver(event router.Event) {
	if i.dead {
		return
	}
	if i.sim.now < i.pausedUntil {
		i.pendingEvents = append(i.pendingEvents, event)
		return
	}
	if i.sim.now-i.lastStepAt > pauseThreshold {
		i.lastStepAt = i.sim.now
		i.ref.Incarnation++
		i.step(router.ProcessPaused{Incarnation: i.ref.Incarnation})
	}
	i.lastStepAt = i.sim.now
	i.step(event)
}

func (i *Instance) step(event router.Event) {
	for _, effect := range i.stepRouter(event) {
		if i.sim.opts.Effect != nil {
			i.sim.opts.Effect(i.ref, effect)
		}
		i.perform(effect)
	}
	wake := max(i.sim.now, min(i.virtualTime(i.router.NextWake()), i.sim.now+250*time.Millisecond))
	if i.wakeAt <= i.sim.now || wake < i.wakeAt {
		i.wakeAt = wake
		i.scheduleWake(i.processEpoch, wake)
	}
}

// stepRouter measures the step when the World's options ask for it.
func (i *Instance) stepRouter(event router.Event) []router.Effect {
	if i.sim.opts.Stepped == nil {
		return i.router.Step(i.localNow(), event)
	}
	began := time.Now()
	effects := i.router.Step(i.localNow(), event)
	i.sim.opts.Stepped(i.ref, event, time.Since(began))
	return effects
}

// Kill ends the process at once. Remove also takes it off the platform's list.
func (i *Instance) Kill() {
	i.dead = true
	i.processEpoch++
	i.sim.loseConnections(i)
}

// Remove takes the Instance off the platform's list.
func (i *Instance) Remove() {
	i.removed = true
	i.sim.publishList()
}

// Restart starts the process again as a new incarnation.
func (i *Instance) Restart() {
	i.Kill()
	i.removed = false
	i.start(i.ref.Incarnation + 1)
	i.sim.publishList()
}

// Pause stops the process for a while. Effects that it has decided on but not
// carried out are carried out afterwards.
func (i *Instance) Pause(d time.Duration) {
	i.pausedUntil = i.sim.now + d
	run := i.processEpoch
	i.sim.after(d, func() {
		if i.processEpoch != run {
			return
		}
		waiting := i.pendingEvents
		i.pendingEvents = nil
		i.deliver(router.Tick{})
		for _, event := range waiting {
			i.deliver(event)
		}
	})
}

// Shutdown begins a graceful shutdown.
func (i *Instance) Shutdown() {
	i.leaving = true
	i.sim.publishList()
	i.deliver(router.ShutdownRequested{})
}

// View returns the state of the Router.
func (i *Instance) View() router.View { return i.router.View(i.localNow()) }

// Alive reports whether the process runs.
func (i *Instance) Alive() bool { return !i.dead }

// deliverAfter delivers an event after a time, unless the process has been restarted.
func (i *Instance) deliverAfter(d time.Duration, event router.Event) {
	run := i.processEpoch
	i.sim.after(d, func() {
		if i.processEpoch == run {
			i.deliver(event)
		}
	})
}

// perform carries out an effect. An effect decided before a pause is carried
// out after it, if it is still allowed then.
func (i *Instance) perform(effect router.Effect) {
	w := i.sim
	if w.now < i.pausedUntil {
		run := i.processEpoch
		w.after(i.pausedUntil-w.now, func() {
			if i.processEpoch == run {
				i.perform(effect)
			}
		})
		return
	}
	switch e := effect.(type) {
	case router.Refuse:
		w.deliverRefusal(e)
	case router.Replay:
		w.deliverReplay(e)
	case router.Complete:
		w.deliverCompletion(e.Request)
	case router.StartPrefill:
		i.runAt(e.At, func() {
			if i.checkDeadline(e, e.NotAfter) {
				w.startPrefill(i, e)
			}
		})
	case router.StartDecode:
		i.runAt(e.At, func() {
			if i.checkDeadline(e, e.NotAfter) {
				w.startDecode(i, e)
			}
		})
	case router.StartCall:
		if i.checkDeadline(e, e.NotAfter) {
			w.startCall(i, e)
		}
	case router.StartResume:
		if i.checkDeadline(e, e.NotAfter) {
			w.startResume(i, e)
		}
	case router.Cancel:
		w.cancel(i, e)
	case router.StoreGet:
		w.store.get(i, e)
	case router.StorePut:
		if i.checkDeadline(e, e.NotAfter) {
			w.store.put(i, e)
		}
	case router.FetchRoot:
		w.fetchRoot(i, e)
	case router.FetchPiece:
		w.fetchPiece(i, e)
	case router.ListInstances:
		w.listInstances(i)
	case router.PollLoad:
		w.pollLoad(i, e)
	case router.SendOrder:
		if i.checkDeadline(e, e.NotAfter) {
			w.sendOrder(i, e)
		}
	case router.SendPeerMessage:
		w.sendPeer(i, e)
	case router.Drained:
		i.Drained = true
	case router.Record:
		w.checkAccount(e.Event)
		i.Records[e.Event.Component+"."+e.Event.Kind]++
		i.trace("%s.%s request=%s upstream=%s %s", e.Event.Component, e.Event.Kind, e.Event.Request, e.Event.Upstream, e.Event.Detail)
	case router.Observe:
		i.Observations = append(i.Observations, e.Observation)
	case router.Addresses:
		w.onAddresses(e)
	}
}

func (i *Instance) trace(format string, args ...any) {
	if i.sim.opts.Trace != nil {
		i.sim.opts.Trace(i.sim.now, i.ref, fmt.Sprintf(format, args...))
	}
}

func (i *Instance) checkDeadline(effect router.Effect, notAfter core.Instant) bool {
	if i.localNow() < notAfter {
		return true
	}
	i.deliverAfter(0, router.EffectExpired{Effect: effect})
	return false
}

func (i *Instance) runAt(t core.Instant, run func()) {
	if t <= i.localNow() {
		run()
		return
	}
	n := i.processEpoch
	i.sim.after(i.virtualTime(t)-i.sim.now, func() {
		if i.processEpoch == n && !i.dead {
			run()
		}
	})
}

func (i *Instance) failAttempt(d time.Duration, id core.AttemptID, up core.UpstreamID, kind attempts.FailureKind, sent bool) {
	i.deliverAfter(d, router.AttemptFailed{Attempt: id, Failure: attempts.Failure{Kind: kind, Upstream: up, MaybeSent: sent}})
}

func (w *World) sendPeer(from *Instance, e router.SendPeerMessage) {
	to := w.byID[e.To]
	if to == nil || from.localNow() >= e.NotAfter {
		return
	}
	w.Messages++
	if w.isPartitioned(string(from.opts.ID), string(e.To)) || w.rand.Float64() < w.messageLoss {
		return
	}
	ref := from.ref
	w.after(w.latency(from.opts.DataCentre, to.opts.DataCentre), func() {
		to.deliver(router.PeerMessageReceived{From: ref, Message: e.Message})
	})
}

// fetchFromPeer answers a bulk call of one Instance with what another one holds.
func (w *World) fetchFromPeer(from *Instance, id core.InstanceID, answer func(*Instance) router.Event, failed router.Event) {
	to := w.byID[id]
	there := w.latency(from.opts.DataCentre, to.opts.DataCentre)
	reachable := !w.isPartitioned(string(from.opts.ID), string(id)) && !w.isPartitioned(string(id), string(from.opts.ID))
	if to.dead || !reachable {
		from.deliverAfter(2*time.Second, failed)
		return
	}
	run := from.processEpoch
	w.after(there, func() {
		if event := answer(to); event != nil && from.processEpoch == run {
			from.deliverAfter(there, event)
		} else if from.processEpoch == run {
			from.deliverAfter(there, failed)
		}
	})
}

func (w *World) fetchRoot(from *Instance, e router.FetchRoot) {
	asked := from.localNow()
	w.fetchFromPeer(from, e.From.ID, func(to *Instance) router.Event {
		view := to.View()
		if view.Root.Version == 0 {
			return nil
		}
		age := to.localNow().Sub(view.ConfirmedAt) + from.localNow().Sub(asked) + 10*time.Millisecond
		return router.RootReceived{From: e.From, Root: view.Root, Age: age + 2*w.opts.OtherRegion}
	}, router.RootFetchFailed{From: e.From})
}

func (w *World) fetchPiece(from *Instance, e router.FetchPiece) {
	w.fetchFromPeer(from, e.From.ID, func(to *Instance) router.Event {
		body, found := to.router.Piece(e.Hash)
		if !found {
			return nil
		}
		return router.PieceReceived{Hash: e.Hash, Body: body}
	}, router.PieceFetchFailed{From: e.From, Hash: e.Hash})
}

func (w *World) listInstances(from *Instance) {
	if w.store.down || w.isPartitioned(string(from.opts.ID), StoreName) {
		return
	}
	list := w.instanceList
	from.deliverAfter(2*w.store.latency(from), router.InstancesListed{List: list})
}
