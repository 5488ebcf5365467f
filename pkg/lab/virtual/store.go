package virtual

import (
	"time"

	"github.com/rhubarbsill/rhubarbsill/pkg/config"
	"github.com/rhubarbsill/rhubarbsill/pkg/core"
	"github.com/rhubarbsill/rhubarbsill/pkg/router"
)

// storeTimeout is the time after which a call without a reply fails.
const storeTimeout = 2 * time.Second

// store is a model of the platform's object store.
type store struct {
	sim     *Simulation
	objects map[string]*object
	dc      core.DataCentreName

	down          bool
	extraLatency  time.Duration
	lostReplyRate float64 // probability that the reply to a write is lost
	staleReadRate float64 // probability that a read returns the previous version
	reads         int64
	writes        int64
}

type object struct {
	version  uint64
	value    []byte
	previous []byte
}

func newStore(w *Simulation) *store {
	s := &store{sim: w, objects: map[string]*object{}}
	for _, dc := range w.opts.Document.DataCentres {
		if dc.Region == w.opts.Document.StoreRegion {
			s.dc = dc.Name
			break
		}
	}
	return s
}

func (s *store) latency(i *Instance) time.Duration {
	return s.sim.latency(i.opts.DataCentre, s.dc) + s.extraLatency + 2*time.Millisecond
}

// unreachable reports whether a call does not reach the store and whether its reply
// does not reach the Instance.
func (s *store) unreachable(i *Instance) (requestLost, replyLost bool) {
	name := string(i.opts.ID)
	return s.down || s.sim.isPartitioned(name, StoreName), s.sim.isPartitioned(StoreName, name)
}

func (s *store) get(i *Instance, e router.StoreGet) {
	requestedAt := i.localNow()
	s.reads++
	requestLost, replyLost := s.unreachable(i)
	if requestLost || replyLost {
		i.deliverAfter(storeTimeout, router.StoreReplied{Op: e.Op, RequestedAt: requestedAt, Failure: router.StoreUnavailable})
		return
	}
	delay := s.latency(i)
	s.sim.after(delay, func() {
		reply := router.StoreReplied{Op: e.Op, RequestedAt: requestedAt}
		o := s.objects[e.Name]
		switch {
		case o == nil:
			reply.Failure = router.StoreNotFound
		case o.previous != nil && s.sim.rand.Float64() < s.staleReadRate:
			reply.Version, reply.Value = o.version-1, o.previous
		default:
			reply.Version, reply.Value = o.version, o.value
		}
		i.trace("store get %s version=%d %s", e.Name, reply.Version, reply.Failure)
		i.deliverAfter(delay, reply)
	})
}

func (s *store) put(i *Instance, e router.StorePut) {
	requestedAt := i.localNow()
	s.writes++
	requestLost, replyLost := s.unreachable(i)
	if requestLost {
		i.deliverAfter(storeTimeout, router.StoreReplied{Op: e.Op, RequestedAt: requestedAt, Failure: router.StoreUnavailable})
		return
	}
	delay := s.latency(i)
	s.sim.after(delay, func() {
		reply := router.StoreReplied{Op: e.Op, RequestedAt: requestedAt}
		reply.Version, reply.Failure = s.write(e.Name, e.Base, e.Value)
		i.trace("store put %s base=%d version=%d %s", e.Name, e.Base, reply.Version, reply.Failure)
		if replyLost || s.sim.rand.Float64() < s.lostReplyRate {
			unknown := router.StoreReplied{Op: e.Op, RequestedAt: requestedAt, Failure: router.StoreOutcomeUnknown}
			i.deliverAfter(storeTimeout, unknown)
			return
		}
		i.deliverAfter(delay, reply)
	})
}

func (s *store) write(name string, base uint64, value []byte) (uint64, router.StoreFailure) {
	o := s.objects[name]
	if o == nil {
		o = &object{}
	}
	if o.version != base {
		return 0, router.StoreConflict
	}
	o.previous = o.value
	o.value = value
	o.version++
	s.objects[name] = o
	return o.version, ""
}

// SetStoreDown starts or ends an outage of the store.
func (w *Simulation) SetStoreDown(down bool) { w.store.down = down }

// SetStoreLatency sets an extra latency of the store, added once in each direction of a
// call.
func (w *Simulation) SetStoreLatency(d time.Duration) { w.store.extraLatency = d }

// SetStoreFaults sets the probabilities of lost replies to writes and of stale reads.
func (w *Simulation) SetStoreFaults(lostReplyRate, staleReadRate float64) {
	w.store.lostReplyRate = lostReplyRate
	w.store.staleReadRate = staleReadRate
}

// StoreCalls returns the number of reads and writes so far.
func (w *Simulation) StoreCalls() (reads, writes int64) { return w.store.reads, w.store.writes }

// Promote writes a document to the store as the next version, as an operator does.
// It also works while the Instances cannot reach the store.
func (w *Simulation) Promote(doc *config.Document) core.Version {
	name := router.RootObject("production")
	var previous config.Root
	var previousDoc *config.Document
	base := uint64(0)
	if o := w.store.objects[name]; o != nil {
		base = o.version
		previous = must(config.ParseRoot(o.value))
		previousDoc = must(config.Assemble(previous, w.piece))
	}
	root, pieces := config.NextVersion(previous, previousDoc, doc)
	for _, hash := range config.SortedHashes(pieces) {
		w.store.write(router.PieceObject(hash), 0, pieces[hash])
	}
	w.store.write(name, base, root.Encode())
	return root.Version
}

func (w *Simulation) piece(hash config.Hash) ([]byte, bool) {
	o := w.store.objects[router.PieceObject(hash)]
	if o == nil {
		return nil, false
	}
	return o.value, true
}

func must[T any](value T, err error) T {
	if err != nil {
		panic(err) // the simulation wrote these bytes itself
	}
	return value
}
