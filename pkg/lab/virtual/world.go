// Package virtual runs several Routers in virtual time against small models of
// the object store, the engines and the callers. Tests use it to bring about
// failures, measurements use it to compare policies. One seed gives one run.
package virtual

import (
	"math/rand/v2"
	"time"

	"github.com/rhubarbsill/rhubarbsill/pkg/config"
	"github.com/rhubarbsill/rhubarbsill/pkg/core"
	"github.com/rhubarbsill/rhubarbsill/pkg/membership"
	"github.com/rhubarbsill/rhubarbsill/pkg/router"
	"github.com/rhubarbsill/rhubarbsill/pkg/schedule"
)

// Options describe a World.
type Options struct {
	Seed      uint64
	Document  *config.Document
	Instances []InstanceOptions
	// SameDataCentre, SameRegion and OtherRegion are one-way latencies.
	SameDataCentre, SameRegion, OtherRegion time.Duration
	// ToCaller is the one-way latency between a caller and an Instance.
	ToCaller time.Duration
	Engine   EngineOptions
	// Trace sees every timeline event and every store call, when set.
	Trace func(at time.Duration, instance core.InstanceRef, what string)
	// Effect sees every effect of every Router, when set.
	Effect func(instance core.InstanceRef, effect router.Effect)
	// Stepped sees the elapsed time of every step of the Routers, when set.
	Stepped func(instance core.InstanceRef, event router.Event, took time.Duration)
	// Adjust changes the settings of each Router before it starts.
	Adjust func(*router.Params)
}

// InstanceOptions describe one entry Instance.
type InstanceOptions struct {
	ID         core.InstanceID
	DataCentre core.DataCentreName
	// ClockRate is the rate of its clock, 1 by default.
	ClockRate float64
}

// World is a set of Routers and what surrounds them.
type World struct {
	opts    Options
	rand    *rand.Rand
	now     time.Duration
	queue   schedule.Queue[time.Duration, func()]
	regions map[core.DataCentreName]core.RegionName

	instances    []*Instance
	byID         map[core.InstanceID]*Instance
	store        *store
	engines      map[core.UpstreamID]*engine
	upstreamIDs  []core.UpstreamID
	partitions   map[[2]string]bool
	linkFreeAt   map[core.DataCentreName]time.Duration // end of the last transfer
	messageLoss  float64                               // probability that a message between Instances is lost
	instanceList []membership.ListEntry
	secrets      map[core.AccountID]string

	// Requests holds every request that a caller has sent, by identifier.
	Requests map[core.RequestID]*Request
	// Sequence holds them in the order of sending.
	Sequence []*Request
	// Messages and Bytes count the messages between Instances.
	Messages int64
	// Executed holds the orders that engines have accepted, in this order.
	Executed []Executed
	// PeakLoads is the largest number of engines that loaded weights at a time.
	PeakLoads int
	// Misplaced counts the requests at an engine of another model or role.
	Misplaced     int
	orderDelay    func(core.UpstreamID) time.Duration
	lastRequestID int
}

// New returns a World whose Instances have started.
func New(opts Options) *World {
	opts.Engine = opts.Engine.withDefaults()
	w := &World{
		opts:       opts,
		rand:       rand.New(rand.NewPCG(opts.Seed, 0x5eed)),
		regions:    map[core.DataCentreName]core.RegionName{},
		byID:       map[core.InstanceID]*Instance{},
		engines:    map[core.UpstreamID]*engine{},
		partitions: map[[2]string]bool{},
		linkFreeAt: map[core.DataCentreName]time.Duration{},
		secrets:    map[core.AccountID]string{},
		Requests:   map[core.RequestID]*Request{},
	}
	for _, dc := range opts.Document.DataCentres {
		w.regions[dc.Name] = dc.Region
	}
	w.generateKeys(opts.Document)
	w.store = newStore(w)
	w.Promote(opts.Document)
	for _, service := range opts.Document.Services {
		for _, up := range service.Upstreams {
			w.engines[up.ID] = newEngine(w, up)
			w.upstreamIDs = append(w.upstreamIDs, up.ID)
		}
	}
	for _, instance := range opts.Instances {
		w.addInstance(instance)
	}
	w.publishList()
	return w
}

// after runs a function d later.
func (w *World) after(d time.Duration, run func()) {
	w.queue.Add(w.now+max(0, d), run)
}

// Now returns the virtual time since the start.
func (w *World) Now() time.Duration { return w.now }

// At runs a function at a virtual time.
func (w *World) At(t time.Duration, run func()) { w.after(t-w.now, run) }

// RunUntil runs everything that happens until the virtual time t.
func (w *World) RunUntil(t time.Duration) {
	for {
		run, at, due := w.queue.PopDue(t)
		if !due {
			break
		}
		w.now = at
		run()
	}
	w.now = t
}

// latency returns the one-way latency between two data centres.
func (w *World) latency(a, b core.DataCentreName) time.Duration {
	base := w.opts.OtherRegion
	switch {
	case a == b:
		base = w.opts.SameDataCentre
	case w.regions[a] == w.regions[b]:
		base = w.opts.SameRegion
	}
	return base + time.Duration(w.rand.Int64N(int64(base/5)+1))
}

// Names of parts of the World in Cut, beside the ids of Instances and Upstreams.
const StoreName = "store"

// Cut stops messages from one part to another. Heal lets them pass again.
func (w *World) Cut(from, to string) { w.partitions[[2]string{from, to}] = true }

// CutBoth stops messages between two parts in both directions.
func (w *World) CutBoth(a, b string) {
	w.Cut(a, b)
	w.Cut(b, a)
}

// CutRegion separates a region from all others and from a store that is not in
// it.
func (w *World) CutRegion(region core.RegionName) {
	var inside, outside []string
	add := func(name string, in bool) {
		if in {
			inside = append(inside, name)
		} else {
			outside = append(outside, name)
		}
	}
	for _, i := range w.instances {
		add(string(i.opts.ID), w.regions[i.opts.DataCentre] == region)
	}
	for _, id := range w.upstreamIDs {
		add(string(id), w.regions[w.engines[id].up.DataCentre] == region)
	}
	add(StoreName, w.opts.Document.StoreRegion == region)
	for _, a := range inside {
		for _, b := range outside {
			w.CutBoth(a, b)
		}
	}
}

// Heal removes every cut.
func (w *World) Heal() { clear(w.partitions) }

func (w *World) isPartitioned(from, to string) bool { return w.partitions[[2]string{from, to}] }

// SetLoss sets the probability that a message between Instances is lost.
func (w *World) SetLoss(p float64) { w.messageLoss = p }

// listLag is the lag of the platform's list.
const listLag = time.Second

func (w *World) publishList() {
	var list []membership.ListEntry
	for _, i := range w.instances {
		if i.removed {
			continue
		}
		state := membership.Live
		if i.leaving {
			state = membership.Leaving
		}
		list = append(list, membership.ListEntry{
			ID: i.opts.ID, PeerAddr: string(i.opts.ID), CallerAddr: string(i.opts.ID),
			DataCentre: i.opts.DataCentre, Region: w.regions[i.opts.DataCentre], State: state,
		})
	}
	lag := listLag
	if w.now == 0 {
		lag = 0
	}
	w.after(lag, func() { w.instanceList = list })
}
