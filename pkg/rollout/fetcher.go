package rollout

import (
	"slices"

	"github.com/rhubarbsill/rhubarbsill/pkg/config"
	"github.com/rhubarbsill/rhubarbsill/pkg/core"
)

// fetcher gets the missing pieces of one version. Every missing piece is in
// wanted, and its hash is in one of the lists.
type fetcher struct {
	p         Params
	missing   map[config.Hash]*fetchState
	ready     []config.Hash // to ask for next
	active    []config.Hash // under way
	waiting   []config.Hash // between two rounds
	suspended []config.Hash // out of rounds
	// resumeAt is the earliest instant at which parked pieces start over.
	resumeAt core.Instant
}

// fetchState is a missing fetchState. A node lists leaves, so its arrival adds pieces.
type fetchState struct {
	isNode        bool
	from          Source       // asked last
	deadline      core.Instant // of the fetch under way
	retryAt       core.Instant // while waiting
	peerAttempts  int          // peers asked in this round
	storeAttempts int          // failures of the store
	// storeDeadline is the end of a store fetch under way, 0 without one. It goes on
	// while a peer is asked at hedgeAt, whose answer may come sooner.
	storeDeadline core.Instant
	hedgeAt       core.Instant
}

// missingPiece names a piece that is not there.
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

// replace makes the list the pieces to get. Those under way or waiting stay so.
func (f *fetcher) replace(list []missingPiece) {
	old := f.missing
	f.missing = make(map[config.Hash]*fetchState, len(list))
	for _, m := range list {
		if kept := old[m.hash]; kept != nil {
			f.missing[m.hash] = kept
		}
	}
	unwanted := func(hash config.Hash) bool { return f.missing[hash] == nil }
	f.ready = slices.DeleteFunc(f.ready, unwanted)
	f.active = slices.DeleteFunc(f.active, unwanted)
	f.waiting = slices.DeleteFunc(f.waiting, unwanted)
	f.suspended = slices.DeleteFunc(f.suspended, unwanted)
	f.add(list)
}

// add appends pieces that are not wanted yet.
func (f *fetcher) add(list []missingPiece) {
	for _, m := range list {
		if f.missing[m.hash] != nil {
			continue
		}
		f.missing[m.hash] = &fetchState{isNode: m.isNode}
		f.ready = append(f.ready, m.hash)
	}
}

// remove removes a piece and reports whether it is a node.
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

// recordFailure ends the fetch of a piece. After a peer, another source follows at once;
// after the store, a new round follows with a growing wait, or none.
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

// resumeSuspended starts over with the pieces that are out of rounds, at most once in
// RetryMax: a confirmation arrives with every heartbeat of every peer.
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

// run ends overdue fetches and starts new ones.
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

// hedge asks a peer for each piece that the store has not answered for a while.
// The peer that was asked first may just have lacked the piece, and a cut store
// path would cost the whole CallTimeout.
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

// chooseSource chooses a peer while the piece has tries with peers left, then the store.
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
