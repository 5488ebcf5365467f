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

// pauseLimit is the gap after which the daemon reports a pause to its Router.
const pauseLimit = 1500 * time.Millisecond

// Instance is one entry Instance of a World.
type Instance struct {
	world  *World
	opts   InstanceOptions
	router *router.Router
	ref    core.InstanceRef

	dead    bool
	removed bool // from the platform's list
	leaving bool
	// Drained is set when a graceful shutdown has ended.
	Drained     bool
	pausedUntil time.Duration
	lastTurn    time.Duration
	waiting     []router.Event // arrived during a pause
	wakeAt      time.Duration
	run         int // counts restarts, so that timers of earlier runs do nothing
	startedAt   time.Duration

	// Records counts timeline events by part and kind.
	Records map[string]int
	// Observations holds what the metrics would get.
	Observations []router.Observation
}

func (w *World) addInstance(opts InstanceOptions) {
	if opts.ClockRate == 0 {
		opts.ClockRate = 1
	}
	i := &Instance{world: w, opts: opts, Records: map[string]int{}}
	w.instances = append(w.instances, i)
	w.byID[opts.ID] = i
	i.start(1)
}

// Instances returns the Instances in the order of the options.
func (w *World) Instances() []*Instance { return w.instances }

// Instance returns the Instance with the id.
func (w *World) Instance(id core.InstanceID) *Instance { return w.byID[id] }

func (i *Instance) start(incarnation core.Incarnation) {
	w := i.world
	i.run++
	i.dead = false
	i.Drained = false
	i.leaving = false
	i.waiting = nil
	i.pausedUntil = 0
	i.startedAt = w.now
	i.lastTurn = w.now
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
	i.scheduleWake(i.run, w.now)
}

type randomReader struct{ *rand.Rand }

// Read fills p with pseudo-random bytes.
func (r randomReader) Read(p []byte) (int, error) {
	for i := range p {
		p[i] = byte(r.Uint32())
	}
	return len(p), nil
}

// local returns the reading of the Instance's clock.
func (i *Instance) local() core.Instant {
	return core.Instant(float64(i.world.now-i.startedAt)*i.opts.ClockRate) + 1
}

func (i *Instance) global(t core.Instant) time.Duration {
	if t == core.Never {
		return 1 << 62
	}
	return i.startedAt + time.Duration(float64(t)/i.opts.ClockRate) + 1
}

func (i *Instance) scheduleWake(run int, at time.Duration) {
	i.world.after(at-i.world.now, func() {
		if i.run == run && !i.dead && i.wakeAt <= i.world.now {
			i.deliver(router.Tick{})
		}
	})
}

// deliver gives an event to the Router, or keeps it while the process is paused.
func (i *Instance) deliver(event router.Event) {
	if i.dead {
		return
	}
	if i.world.now < i.pausedUntil {
		i.waiting = append(i.waiting, event)
		return
	}
	if i.world.now-i.lastTurn > pauseLimit {
		i.lastTurn = i.world.now
		i.ref.Incarnation++
		i.step(router.ProcessPaused{Incarnation: i.ref.Incarnation})
	}
	i.lastTurn = i.world.now
	i.step(event)
}

func (i *Instance) step(event router.Event) {
	for _, effect := range i.runStep(event) {
		if i.world.opts.Effect != nil {
			i.world.opts.Effect(i.ref, effect)
		}
		i.perform(effect)
	}
	wake := max(i.world.now, min(i.global(i.router.NextWake()), i.world.now+250*time.Millisecond))
	if i.wakeAt <= i.world.now || wake < i.wakeAt {
		i.wakeAt = wake
		i.scheduleWake(i.run, wake)
	}
}

// runStep measures the step when the World's options ask for it.
func (i *Instance) runStep(event router.Event) []router.Effect {
	if i.world.opts.Stepped == nil {
		return i.router.Step(i.local(), event)
	}
	began := time.Now()
	effects := i.router.Step(i.local(), event)
	i.world.opts.Stepped(i.ref, event, time.Since(began))
	return effects
}

// Kill ends the process at once. Remove also takes it off the platform's list.
func (i *Instance) Kill() {
	i.dead = true
	i.run++
	i.world.lostConnections(i)
}

// Remove takes the Instance off the platform's list.
func (i *Instance) Remove() {
	i.removed = true
	i.world.publishList()
}

// Restart starts the process again as a new incarnation.
func (i *Instance) Restart() {
	i.Kill()
	i.removed = false
	i.start(i.ref.Incarnation + 1)
	i.world.publishList()
}

// Pause stops the process for a while. Effects that it has decided on but not
// carried out are carried out afterwards.
func (i *Instance) Pause(d time.Duration) {
	i.pausedUntil = i.world.now + d
	run := i.run
	i.world.after(d, func() {
		if i.run != run {
			return
		}
		waiting := i.waiting
		i.waiting = nil
		i.deliver(router.Tick{})
		for _, event := range waiting {
			i.deliver(event)
		}
	})
}

// Shutdown begins a graceful shutdown.
func (i *Instance) Shutdown() {
	i.leaving = true
	i.world.publishList()
	i.deliver(router.ShutdownRequested{})
}

// View returns the state of the Router.
func (i *Instance) View() router.View { return i.router.View(i.local()) }

// Alive reports whether the process runs.
func (i *Instance) Alive() bool { return !i.dead }

// later delivers an event after a time, unless the process has been restarted.
func (i *Instance) later(d time.Duration, event router.Event) {
	run := i.run
	i.world.after(d, func() {
		if i.run == run {
			i.deliver(event)
		}
	})
}

// perform carries out an effect. An effect decided before a pause is carried
// out after it, if it is still allowed then.
func (i *Instance) perform(effect router.Effect) {
	w := i.world
	if w.now < i.pausedUntil {
		run := i.run
		w.after(i.pausedUntil-w.now, func() {
			if i.run == run {
				i.perform(effect)
			}
		})
		return
	}
	switch e := effect.(type) {
	case router.Refuse:
		w.refused(e)
	case router.Replay:
		w.replayed(e)
	case router.Complete:
		w.completed(e.Request)
	case router.StartPrefill:
		i.at(e.At, func() {
			if i.allowed(e, e.NotAfter) {
				w.startPrefill(i, e)
			}
		})
	case router.StartDecode:
		i.at(e.At, func() {
			if i.allowed(e, e.NotAfter) {
				w.startDecode(i, e)
			}
		})
	case router.StartCall:
		if i.allowed(e, e.NotAfter) {
			w.startCall(i, e)
		}
	case router.StartResume:
		if i.allowed(e, e.NotAfter) {
			w.startResume(i, e)
		}
	case router.Cancel:
		w.cancel(i, e)
	case router.StoreGet:
		w.store.get(i, e)
	case router.StorePut:
		if i.allowed(e, e.NotAfter) {
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
		if i.allowed(e, e.NotAfter) {
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
		w.addressesAnswered(e)
	}
}

func (i *Instance) trace(format string, args ...any) {
	if i.world.opts.Trace != nil {
		i.world.opts.Trace(i.world.now, i.ref, fmt.Sprintf(format, args...))
	}
}

func (i *Instance) allowed(effect router.Effect, notAfter core.Instant) bool {
	if i.local() < notAfter {
		return true
	}
	i.later(0, router.EffectExpired{Effect: effect})
	return false
}

func (i *Instance) at(t core.Instant, run func()) {
	if t <= i.local() {
		run()
		return
	}
	n := i.run
	i.world.after(i.global(t)-i.world.now, func() {
		if i.run == n && !i.dead {
			run()
		}
	})
}

func (i *Instance) failed(d time.Duration, id core.AttemptID, up core.UpstreamID, kind attempts.FailureKind, sent bool) {
	i.later(d, router.AttemptFailed{Attempt: id, Failure: attempts.Failure{Kind: kind, Upstream: up, MaybeSent: sent}})
}

func (w *World) sendPeer(from *Instance, e router.SendPeerMessage) {
	to := w.byID[e.To]
	if to == nil || from.local() >= e.NotAfter {
		return
	}
	w.Messages++
	if w.isCut(string(from.opts.ID), string(e.To)) || w.rand.Float64() < w.loss {
		return
	}
	ref := from.ref
	w.after(w.latency(from.opts.DataCentre, to.opts.DataCentre), func() {
		to.deliver(router.PeerMessageReceived{From: ref, Message: e.Message})
	})
}

// askPeer answers a bulk call of one Instance with what another one holds.
func (w *World) askPeer(from *Instance, id core.InstanceID, answer func(*Instance) router.Event, failed router.Event) {
	to := w.byID[id]
	there := w.latency(from.opts.DataCentre, to.opts.DataCentre)
	reachable := !w.isCut(string(from.opts.ID), string(id)) && !w.isCut(string(id), string(from.opts.ID))
	if to.dead || !reachable {
		from.later(2*time.Second, failed)
		return
	}
	run := from.run
	w.after(there, func() {
		if event := answer(to); event != nil && from.run == run {
			from.later(there, event)
		} else if from.run == run {
			from.later(there, failed)
		}
	})
}

func (w *World) fetchRoot(from *Instance, e router.FetchRoot) {
	asked := from.local()
	w.askPeer(from, e.From.ID, func(to *Instance) router.Event {
		view := to.View()
		if view.Root.Version == 0 {
			return nil
		}
		age := to.local().Sub(view.ConfirmedAt) + from.local().Sub(asked) + 10*time.Millisecond
		return router.RootReceived{From: e.From, Root: view.Root, Age: age + 2*w.opts.OtherRegion}
	}, router.RootFetchFailed{From: e.From})
}

func (w *World) fetchPiece(from *Instance, e router.FetchPiece) {
	w.askPeer(from, e.From.ID, func(to *Instance) router.Event {
		body, found := to.router.Piece(e.Hash)
		if !found {
			return nil
		}
		return router.PieceReceived{Hash: e.Hash, Body: body}
	}, router.PieceFetchFailed{From: e.From, Hash: e.Hash})
}

func (w *World) listInstances(from *Instance) {
	if w.store.down || w.isCut(string(from.opts.ID), StoreName) {
		return
	}
	list := w.listed
	from.later(2*w.store.latency(from), router.InstancesListed{List: list})
}
