package rollout

import (
	"slices"

	"github.com/rhubarbsill/rhubarbsill/pkg/config"
	"github.com/rhubarbsill/rhubarbsill/pkg/core"
)

// fetcher fetches the missing pieces of one version. Every missing piece is in
// missing, and its hash is in exactly one of the lists.
type fetcher struct {
	p         Params
	missing   map[config.Hash]*fetchState
	ready     []config.Hash // to be fetched next
	active    []config.Hash // being fetched
	waiting   []config.Hash // until retryAt, after a failure of the store
	suspended []config.Hash // after MaxStoreAttempts failures of the store
	// resumeAt is the earliest instant at which suspended pieces are retried.
	resumeAt core.Instant
}

// fetchState is the state of a missing piece. A node lists leaves, so its arrival
// can add missing pieces.
type fetchState struct {
	isNode        bool
	from          Source       // the source asked last
	deadline      core.Instant // of the fetch in progress
	retryAt       core.Instant // while waiting
	peerAttempts  int          // peers asked since the last failure of the store
	storeAttempts int          // failures of the store
	// storeDeadline is the deadline of a store fetch in progress, 0 without one. The
	// store fetch continues while a peer, asked at hedgeAt, may reply sooner.
	storeDeadline core.Instant
	hedgeAt       core.Instant
}

// missingPiece names a piece that is to be fetched.
type missingPiece struct {
	hash   config.Hash
	isNode bool
}

func newFetcher(p Params) fetcher {
	return fetcher{p: p, missing: map[config.Hash]*fetchState{}}
}

func (f *fetcher) isMissing(hash config.Hash) bool { return f.missing[hash] != nil }

func (f *fetcher) isComplete() bool { return len(f.missing) == 0 }

func (f *fetcher) isFrom(hash config.Hash, from Source) bool {
	return slices.Contains(f.active, hash) && f.missing[hash].from == from
}

// replace sets the pieces to fetch. Pieces that were already missing keep their
// state.
func (f *fetcher) replace(list []missingPiece) {
	old := f.missing
	f.missing = make(map[config.Hash]*fetchState, len(list))
	for _, m := range list {
		if state := old[m.hash]; state != nil {
			f.missing[m.hash] = state
		}
	}
	unwanted := func(hash config.Hash) bool { return f.missing[hash] == nil }
	f.ready = slices.DeleteFunc(f.ready, unwanted)
	f.active = slices.DeleteFunc(f.active, unwanted)
	f.waiting = slices.DeleteFunc(f.waiting, unwanted)
	f.suspended = slices.DeleteFunc(f.suspended, unwanted)
	f.add(list)
}

// add appends the pieces that are not missing yet.
func (f *fetcher) add(list []missingPiece) {
	for _, m := range list {
		if f.missing[m.hash] != nil {
			continue
		}
		f.missing[m.hash] = &fetchState{isNode: m.isNode}
		f.ready = append(f.ready, m.hash)
	}
}

// remove removes a piece that has arrived and reports whether it is a node.
func (f *fetcher) remove(hash config.Hash) (isNode bool) {
	isNode = f.missing[hash].isNode
	delete(f.missing, hash)
	for _, list := range []*[]config.Hash{&f.active, &f.ready, &f.waiting, &f.suspended} {
		if i := slices.Index(*list, hash); i >= 0 {
			*list = slices.Delete(*list, i, i+1)
			return isNode
		}
	}
	return isNode
}

// recordFailure ends the fetch of a piece. After a failure of a peer, the next source
// is tried immediately. After a failure of the store, the piece is retried with
// exponential backoff, or suspended after MaxStoreAttempts.
func (f *fetcher) recordFailure(now core.Instant, hash config.Hash) {
	i := slices.Index(f.active, hash)
	if i < 0 {
		return
	}
	p := f.missing[hash]
	if !p.from.IsStore() && now < p.storeDeadline {
		p.from = Store
		p.deadline = p.storeDeadline
		p.hedgeAt = now.Add(f.p.HedgeDelay)
		return
	}
	f.active = slices.Delete(f.active, i, i+1)
	if p.storeDeadline == 0 {
		f.ready = slices.Insert(f.ready, 0, hash)
		return
	}
	p.storeDeadline = 0
	p.peerAttempts = 0
	p.storeAttempts++
	if p.storeAttempts >= f.p.MaxStoreAttempts {
		f.resumeAt = max(f.resumeAt, now.Add(f.p.RetryMax))
		f.suspended = append(f.suspended, hash)
		return
	}
	p.retryAt = now.Add(backoff(f.p, p.storeAttempts))
	f.waiting = append(f.waiting, hash)
}

// resumeSuspended retries the suspended pieces, at most once per RetryMax, as a
// confirmation arrives with every heartbeat of every peer.
func (f *fetcher) resumeSuspended(now core.Instant) {
	if len(f.suspended) == 0 || now < f.resumeAt {
		return
	}
	f.resumeAt = now.Add(f.p.RetryMax)
	for _, hash := range f.suspended {
		f.missing[hash].storeAttempts = 0
		f.ready = append(f.ready, hash)
	}
	f.suspended = nil
}

// run fails the fetches whose deadline has passed and starts those that are due.
func (f *fetcher) run(now core.Instant, peers *peerSet, v core.Version, outs []Output) []Output {
	for _, hash := range slices.Clone(f.active) {
		if now >= f.missing[hash].deadline {
			f.recordFailure(now, hash)
		}
	}
	outs = f.hedge(now, peers, v, outs)
	f.waiting = slices.DeleteFunc(f.waiting, func(hash config.Hash) bool {
		due := now >= f.missing[hash].retryAt
		if due {
			f.ready = append(f.ready, hash)
		}
		return due
	})
	return f.start(now, peers, v, outs)
}

// hedge asks a peer for each piece that the store has not delivered within
// HedgeDelay. A peer that lacked the piece before may have it now, and waiting for an
// unreachable store would take the whole CallTimeout.
func (f *fetcher) hedge(now core.Instant, peers *peerSet, v core.Version, outs []Output) []Output {
	for _, hash := range f.active {
		p := f.missing[hash]
		if !p.from.IsStore() || now < p.hedgeAt {
			continue
		}
		p.hedgeAt = now.Add(f.p.HedgeDelay)
		from, found := peers.choose(now, v, Store, f.p.Random)
		if !found {
			continue
		}
		p.from = from
		p.deadline = p.storeDeadline
		outs = append(outs, FetchPiece{hash, from})
	}
	return outs
}

func (f *fetcher) start(now core.Instant, peers *peerSet, v core.Version, outs []Output) []Output {
	fromStore := f.storeFetchCount()
	for len(f.ready) > 0 && len(f.active) < f.p.MaxFetches {
		hash := f.ready[0]
		p := f.missing[hash]
		from := f.chooseSource(now, p, peers, v)
		if from.IsStore() {
			if fromStore >= f.p.MaxStoreFetches {
				break
			}
			fromStore++
			p.storeDeadline = now.Add(f.p.CallTimeout)
			p.hedgeAt = now.Add(f.p.HedgeDelay)
		}
		p.from = from
		p.deadline = now.Add(f.p.CallTimeout)
		f.ready = f.ready[1:]
		f.active = append(f.active, hash)
		outs = append(outs, FetchPiece{hash, from})
	}
	return outs
}

// chooseSource chooses a peer for the first MaxPeerAttempts fetches of a piece, then
// the store. Without a suitable peer it chooses the store.
func (f *fetcher) chooseSource(now core.Instant, p *fetchState, peers *peerSet, v core.Version) Source {
	if p.peerAttempts < f.p.MaxPeerAttempts {
		if from, ok := peers.choose(now, v, p.from, f.p.Random); ok {
			p.peerAttempts++
			return from
		}
	}
	return Store
}

func (f *fetcher) storeFetchCount() int {
	n := 0
	for _, hash := range f.active {
		if f.missing[hash].storeDeadline != 0 {
			n++
		}
	}
	return n
}

func (f *fetcher) nextWake() core.Instant {
	next := core.Never
	for _, hash := range f.active {
		p := f.missing[hash]
		next = min(next, p.deadline)
		if p.from.IsStore() {
			next = min(next, p.hedgeAt)
		}
	}
	for _, hash := range f.waiting {
		next = min(next, f.missing[hash].retryAt)
	}
	return next
}
