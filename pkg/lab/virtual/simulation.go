// Package virtual simulates several Routers in virtual time with models of the
// object store, the engines and the callers. Tests use it to inject failures,
// measurements use it to compare policies. A run is determined by its seed.
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

// Options configures a Simulation.
type Options struct {
	Seed      uint64
	Document  *config.Document
	Instances []InstanceOptions
	// SameDataCentre, SameRegion and OtherRegion are one-way latencies.
	SameDataCentre, SameRegion, OtherRegion time.Duration
	// ToCaller is the one-way latency between a caller and an Instance.
	ToCaller time.Duration
	Engine   EngineOptions
	// Trace, if set, is called for every timeline event and every store call.
	Trace func(at time.Duration, instance core.InstanceRef, text string)
	// OnEffect, if set, is called for every effect of every Router.
	OnEffect func(instance core.InstanceRef, effect router.Effect)
	// OnStep, if set, is called with the elapsed real time of every step of a Router.
	OnStep func(instance core.InstanceRef, event router.Event, elapsed time.Duration)
	// Adjust, if set, changes the parameters of each Router before it starts.
	Adjust func(*router.Params)
}

// InstanceOptions describes an entry Instance.
type InstanceOptions struct {
	ID         core.InstanceID
	DataCentre core.DataCentreName
	// ClockRate is the speed of the Instance's clock relative to virtual time, 1 if
	// zero.
	ClockRate float64
}

// Simulation is a simulation of Routers, engines, callers and the object store.
type Simulation struct {
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

	// Requests holds every request that a caller has sent.
	Requests map[core.RequestID]*Request
	// Sequence holds the same requests in the order of sending.
	Sequence []*Request
	// Messages counts the messages between Instances.
	Messages int64
	// Executed holds the accepted orders in the order of acceptance.
	Executed []ExecutedOrder
	// PeakLoads is the largest number of engines that loaded weights at the same time.
	PeakLoads int
	// Misplaced counts the attempts at an engine that served another model or role.
	Misplaced     int
	orderDelay    func(core.UpstreamID) time.Duration
	lastRequestID int
}

// New returns a simulation at virtual time 0 whose Instances have started.
func New(opts Options) *Simulation {
	opts.Engine = opts.Engine.withDefaults()
	w := &Simulation{
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

// after calls run when d of virtual time has passed.
func (w *Simulation) after(d time.Duration, run func()) {
	w.queue.Add(w.now+max(0, d), run)
}

// Now returns the virtual time since the start.
func (w *Simulation) Now() time.Duration { return w.now }

// At calls run at virtual time t, or at the current time if t has passed.
func (w *Simulation) At(t time.Duration, run func()) { w.after(t-w.now, run) }

// RunUntil processes all events up to virtual time t.
func (w *Simulation) RunUntil(t time.Duration) {
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

// latency returns the one-way latency between two DataCentres, with up to 20% of
// random jitter.
func (w *Simulation) latency(a, b core.DataCentreName) time.Duration {
	base := w.opts.OtherRegion
	switch {
	case a == b:
		base = w.opts.SameDataCentre
	case w.regions[a] == w.regions[b]:
		base = w.opts.SameRegion
	}
	return base + time.Duration(w.rand.Int64N(int64(base/5)+1))
}

// StoreName is the name of the store in PartitionOneWay and Partition. Instances and
// Upstreams go by their ids.
const StoreName = "store"

// PartitionOneWay drops messages in one direction until Heal. The parties are ids of Instances
// and Upstreams, or StoreName.
func (w *Simulation) PartitionOneWay(from, to string) { w.partitions[[2]string{from, to}] = true }

// Partition drops messages between two parties in both directions.
func (w *Simulation) Partition(a, b string) {
	w.PartitionOneWay(a, b)
	w.PartitionOneWay(b, a)
}

// PartitionRegion partitions a region from all others. The store belongs to the region of
// Document.StoreRegion.
func (w *Simulation) PartitionRegion(region core.RegionName) {
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
			w.Partition(a, b)
		}
	}
}

// Heal ends all partitions.
func (w *Simulation) Heal() { clear(w.partitions) }

func (w *Simulation) isPartitioned(from, to string) bool { return w.partitions[[2]string{from, to}] }

// SetLoss sets the probability that a message between Instances is lost.
func (w *Simulation) SetLoss(p float64) { w.messageLoss = p }

// listLag is the delay until a change appears in the platform's list of Instances.
const listLag = time.Second

func (w *Simulation) publishList() {
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
