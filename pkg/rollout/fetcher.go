package rollout

import (
	"slices"

	"github.com/rhubarbsill/rhubarbsill/pkg/config"
	"github.com/rhubarbsill/rhubarbsill/pkg/core"
)

// fetcher gets the missing pieces of one version. Every missing piece is in
// wanted, and its hash is in one of the lists.
type fetcher struct {
	p       Params
	wanted  map[config.Hash]*piece
	ready   []config.Hash // to ask for next
	active  []config.Hash // under way
	waiting []config.Hash // between two rounds
	parked  []config.Hash // out of rounds
	// unparkAt is the earliest instant at which parked pieces start over.
	unparkAt core.Instant
}

// piece is a missing piece. A node lists leaves, so its arrival adds pieces.
type piece struct {
	isNode   bool
	from     Source       // asked last
	deadline core.Instant // of the fetch under way
	retryAt  core.Instant // while waiting
	peers    int          // peers asked in this round
	rounds   int          // failures of the store
	// storeUntil is the end of a store fetch under way, 0 without one. It goes on
	// while a peer is asked at hedgeAt, whose answer may come sooner.
	storeUntil core.Instant
	hedgeAt    core.Instant
}

// missing names a piece that is not there.
type missing struct {
	hash   config.Hash
	isNode bool
}

func newFetcher(p Params) fetcher {
	return fetcher{p: p, wanted: map[config.Hash]*piece{}}
}

func (f *fetcher) wants(hash config.Hash) bool { return f.wanted[hash] != nil }

func (f *fetcher) done() bool { return len(f.wanted) == 0 }

func (f *fetcher) isFrom(hash config.Hash, from Source) bool {
	return slices.Contains(f.active, hash) && f.wanted[hash].from == from
}

// replace makes the list the pieces to get. Those under way or waiting stay so.
func (f *fetcher) replace(list []missing) {
	old := f.wanted
	f.wanted = make(map[config.Hash]*piece, len(list))
	for _, m := range list {
		if kept := old[m.hash]; kept != nil {
			f.wanted[m.hash] = kept
		}
	}
	unwanted := func(hash config.Hash) bool { return f.wanted[hash] == nil }
	f.ready = slices.DeleteFunc(f.ready, unwanted)
	f.active = slices.DeleteFunc(f.active, unwanted)
	f.waiting = slices.DeleteFunc(f.waiting, unwanted)
	f.parked = slices.DeleteFunc(f.parked, unwanted)
	f.add(list)
}

// add appends pieces that are not wanted yet.
func (f *fetcher) add(list []missing) {
	for _, m := range list {
		if f.wanted[m.hash] != nil {
			continue
		}
		f.wanted[m.hash] = &piece{isNode: m.isNode}
		f.ready = append(f.ready, m.hash)
	}
}

// arrived removes a piece and reports whether it is a node.
func (f *fetcher) arrived(hash config.Hash) (isNode bool) {
	isNode = f.wanted[hash].isNode
	delete(f.wanted, hash)
	for _, list := range []*[]config.Hash{&f.active, &f.ready, &f.waiting, &f.parked} {
		if i := slices.Index(*list, hash); i >= 0 {
			*list = slices.Delete(*list, i, i+1)
			return isNode
		}
	}
	return isNode
}

// failed ends the fetch of a piece. After a peer, another source follows at once;
// after the store, a new round follows with a growing wait, or none.
func (f *fetcher) failed(now core.Instant, hash config.Hash) {
	i := slices.Index(f.active, hash)
	if i < 0 {
		return
	}
	p := f.wanted[hash]
	if !p.from.IsStore() && now < p.storeUntil {
		p.from = Store
		p.deadline = p.storeUntil
		p.hedgeAt = now.Add(f.p.HedgeDelay)
		return
	}
	f.active = slices.Delete(f.active, i, i+1)
	if p.storeUntil == 0 {
		f.ready = slices.Insert(f.ready, 0, hash)
		return
	}
	p.storeUntil = 0
	p.peers = 0
	p.rounds++
	if p.rounds >= f.p.MaxStoreAttempts {
		f.unparkAt = max(f.unparkAt, now.Add(f.p.RetryMax))
		f.parked = append(f.parked, hash)
		return
	}
	p.retryAt = now.Add(backoff(f.p, p.rounds))
	f.waiting = append(f.waiting, hash)
}

// unpark starts over with the pieces that are out of rounds, at most once in
// RetryMax: a confirmation arrives with every heartbeat of every peer.
func (f *fetcher) unpark(now core.Instant) {
	if len(f.parked) == 0 || now < f.unparkAt {
		return
	}
	f.unparkAt = now.Add(f.p.RetryMax)
	for _, hash := range f.parked {
		f.wanted[hash].rounds = 0
		f.ready = append(f.ready, hash)
	}
	f.parked = nil
}

// run ends overdue fetches and starts new ones.
func (f *fetcher) run(now core.Instant, peers *peerSet, v core.Version, outs []Output) []Output {
	for _, hash := range slices.Clone(f.active) {
		if now >= f.wanted[hash].deadline {
			f.failed(now, hash)
		}
	}
	outs = f.hedge(now, peers, v, outs)
	f.waiting = slices.DeleteFunc(f.waiting, func(hash config.Hash) bool {
		due := now >= f.wanted[hash].retryAt
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
		p := f.wanted[hash]
		if !p.from.IsStore() || now < p.hedgeAt {
			continue
		}
		p.hedgeAt = now.Add(f.p.HedgeDelay)
		from, found := peers.choose(now, v, Store, f.p.Random)
		if !found {
			continue
		}
		p.from = from
		p.deadline = p.storeUntil
		outs = append(outs, FetchPiece{hash, from})
	}
	return outs
}

func (f *fetcher) start(now core.Instant, peers *peerSet, v core.Version, outs []Output) []Output {
	fromStore := f.storeFetches()
	for len(f.ready) > 0 && len(f.active) < f.p.MaxFetches {
		hash := f.ready[0]
		p := f.wanted[hash]
		from := f.source(now, p, peers, v)
		if from.IsStore() {
			if fromStore >= f.p.MaxStoreFetches {
				break
			}
			fromStore++
			p.storeUntil = now.Add(f.p.CallTimeout)
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

// source chooses a peer while the piece has tries with peers left, then the store.
func (f *fetcher) source(now core.Instant, p *piece, peers *peerSet, v core.Version) Source {
	if p.peers < f.p.MaxPeerAttempts {
		if from, ok := peers.choose(now, v, p.from, f.p.Random); ok {
			p.peers++
			return from
		}
	}
	return Store
}

func (f *fetcher) storeFetches() int {
	n := 0
	for _, hash := range f.active {
		if f.wanted[hash].storeUntil != 0 {
			n++
		}
	}
	return n
}

func (f *fetcher) nextWake() core.Instant {
	next := core.Never
	for _, hash := range f.active {
		p := f.wanted[hash]
		next = min(next, p.deadline)
		if p.from.IsStore() {
			next = min(next, p.hedgeAt)
		}
	}
	for _, hash := range f.waiting {
		next = min(next, f.wanted[hash].retryAt)
	}
	return next
}
