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

// pauseThreshold is the time without a step after which the daemon reports a pause
// of the process to its Router.
const pauseThreshold = 1500 * time.Millisecond

// Instance is an entry Instance of the simulation.
type Instance struct {
	sim    *Simulation
	opts   InstanceOptions
	router *router.Router
	ref    core.InstanceRef

	dead    bool
	removed bool // from the platform's list of Instances
	leaving bool
	// Drained is set when a graceful shutdown is complete.
	Drained       bool
	pausedUntil   time.Duration
	lastStepAt    time.Duration
	pendingEvents []router.Event // arrived during a pause
	wakeAt        time.Duration
	processEpoch  int // counts process starts and ends; timers of an earlier epoch do nothing
	startedAt     time.Duration

	// EventCounts counts timeline events by "component.kind".
	EventCounts map[string]int
	// Observations holds the observations for the metrics.
	Observations []router.Observation
}

func (w *Simulation) addInstance(opts InstanceOptions) {
	if opts.ClockRate == 0 {
		opts.ClockRate = 1
	}
	i := &Instance{sim: w, opts: opts, EventCounts: map[string]int{}}
	w.instances = append(w.instances, i)
	w.byID[opts.ID] = i
	i.start(1)
}

// Instances returns the Instances in the order of the options.
func (w *Simulation) Instances() []*Instance { return w.instances }

// Instance returns the Instance with the id, or nil.
func (w *Simulation) Instance(id core.InstanceID) *Instance { return w.byID[id] }

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

// localNow returns the current reading of the Instance's clock.
func (i *Instance) localNow() core.Instant {
	return core.Instant(float64(i.sim.now-i.startedAt)*i.opts.ClockRate) + 1
}

// virtualTime converts a reading of the Instance's clock to virtual time.
func (i *Instance) virtualTime(t core.Instant) time.Duration {
	if t == core.Never {
		return 1 << 62
	}
	return i.startedAt + time.Duration(float64(t)/i.opts.ClockRate) + 1
}

func (i *Instance) scheduleWake(epoch int, at time.Duration) {
	i.sim.after(at-i.sim.now, func() {
		if i.processEpoch == epoch && !i.dead && i.wakeAt <= i.sim.now {
			i.deliver(router.Tick{})
		}
	})
}

// deliver passes an event to the Router, or queues it while the process is paused.
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
		if i.sim.opts.OnEffect != nil {
			i.sim.opts.OnEffect(i.ref, effect)
		}
		i.perform(effect)
	}
	wake := max(i.sim.now, min(i.virtualTime(i.router.NextWake()), i.sim.now+250*time.Millisecond))
	if i.wakeAt <= i.sim.now || wake < i.wakeAt {
		i.wakeAt = wake
		i.scheduleWake(i.processEpoch, wake)
	}
}

// stepRouter steps the Router and reports the elapsed time to Options.OnStep.
func (i *Instance) stepRouter(event router.Event) []router.Effect {
	if i.sim.opts.OnStep == nil {
		return i.router.Step(i.localNow(), event)
	}
	startedAt := time.Now()
	effects := i.router.Step(i.localNow(), event)
	i.sim.opts.OnStep(i.ref, event, time.Since(startedAt))
	return effects
}

// Kill ends the process immediately. The Instance stays on the platform's list
// until Remove.
func (i *Instance) Kill() {
	i.dead = true
	i.processEpoch++
	i.sim.loseConnections(i)
}

// Remove removes the Instance from the platform's list.
func (i *Instance) Remove() {
	i.removed = true
	i.sim.publishList()
}

// Restart ends the process and starts it as a new incarnation.
func (i *Instance) Restart() {
	i.Kill()
	i.removed = false
	i.start(i.ref.Incarnation + 1)
	i.sim.publishList()
}

// Pause stops the process for d. Pending events and effects are handled after the
// pause.
func (i *Instance) Pause(d time.Duration) {
	i.pausedUntil = i.sim.now + d
	epoch := i.processEpoch
	i.sim.after(d, func() {
		if i.processEpoch != epoch {
			return
		}
		pending := i.pendingEvents
		i.pendingEvents = nil
		i.deliver(router.Tick{})
		for _, event := range pending {
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

// Alive reports whether the process is running.
func (i *Instance) Alive() bool { return !i.dead }

// deliverAfter delivers an event after d, unless the process has ended or been
// restarted by then.
func (i *Instance) deliverAfter(d time.Duration, event router.Event) {
	epoch := i.processEpoch
	i.sim.after(d, func() {
		if i.processEpoch == epoch {
			i.deliver(event)
		}
	})
}

// perform applies an effect. During a pause it is deferred to the end of the pause,
// when it may have expired.
func (i *Instance) perform(effect router.Effect) {
	w := i.sim
	if w.now < i.pausedUntil {
		epoch := i.processEpoch
		w.after(i.pausedUntil-w.now, func() {
			if i.processEpoch == epoch {
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
		i.EventCounts[e.Event.Component+"."+e.Event.Kind]++
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

// checkDeadline reports whether an effect may still be applied. If not, it reports
// the expiry to the Router.
func (i *Instance) checkDeadline(effect router.Effect, notAfter core.Instant) bool {
	if i.localNow() < notAfter {
		return true
	}
	i.deliverAfter(0, router.EffectExpired{Effect: effect})
	return false
}

// runAt calls run at t of the Instance's clock, immediately if t has passed.
func (i *Instance) runAt(t core.Instant, run func()) {
	if t <= i.localNow() {
		run()
		return
	}
	epoch := i.processEpoch
	i.sim.after(i.virtualTime(t)-i.sim.now, func() {
		if i.processEpoch == epoch && !i.dead {
			run()
		}
	})
}

func (i *Instance) failAttempt(d time.Duration, id core.AttemptID, up core.UpstreamID, kind attempts.FailureKind, sent bool) {
	i.deliverAfter(d, router.AttemptFailed{Attempt: id, Failure: attempts.Failure{Kind: kind, Upstream: up, MaybeSent: sent}})
}

func (w *Simulation) sendPeer(from *Instance, e router.SendPeerMessage) {
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

// fetchFromPeer simulates a bulk call to a peer. It delivers the event that reply
// returns for the peer, or failed if that is nil or the peer is unreachable.
func (w *Simulation) fetchFromPeer(from *Instance, id core.InstanceID, reply func(*Instance) router.Event, failed router.Event) {
	to := w.byID[id]
	delay := w.latency(from.opts.DataCentre, to.opts.DataCentre)
	reachable := !w.isPartitioned(string(from.opts.ID), string(id)) && !w.isPartitioned(string(id), string(from.opts.ID))
	if to.dead || !reachable {
		from.deliverAfter(2*time.Second, failed)
		return
	}
	epoch := from.processEpoch
	w.after(delay, func() {
		if event := reply(to); event != nil && from.processEpoch == epoch {
			from.deliverAfter(delay, event)
		} else if from.processEpoch == epoch {
			from.deliverAfter(delay, failed)
		}
	})
}

func (w *Simulation) fetchRoot(from *Instance, e router.FetchRoot) {
	requestedAt := from.localNow()
	w.fetchFromPeer(from, e.From.ID, func(to *Instance) router.Event {
		view := to.View()
		if view.Root.Version == 0 {
			return nil
		}
		age := to.localNow().Sub(view.ConfirmedAt) + from.localNow().Sub(requestedAt) + 10*time.Millisecond
		return router.RootReceived{From: e.From, Root: view.Root, Age: age + 2*w.opts.OtherRegion}
	}, router.RootFetchFailed{From: e.From})
}

func (w *Simulation) fetchPiece(from *Instance, e router.FetchPiece) {
	w.fetchFromPeer(from, e.From.ID, func(to *Instance) router.Event {
		body, found := to.router.Piece(e.Hash)
		if !found {
			return nil
		}
		return router.PieceReceived{Hash: e.Hash, Body: body}
	}, router.PieceFetchFailed{From: e.From, Hash: e.Hash})
}

func (w *Simulation) listInstances(from *Instance) {
	if w.store.down || w.isPartitioned(string(from.opts.ID), StoreName) {
		return
	}
	list := w.instanceList
	from.deliverAfter(2*w.store.latency(from), router.InstancesListed{List: list})
}
