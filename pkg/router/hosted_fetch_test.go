package router

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/rhubarbsill/rhubarbsill/pkg/core"
	"github.com/rhubarbsill/rhubarbsill/pkg/fleet"
)

// Guards against an Instance that keeps an old state because the store rejects only
// its calls.
func TestHostedFetchesFromAPeerThatIsAhead(t *testing.T) {
	is := is.New(t)
	r := newHostedHarness(t)
	peer := fleet.Member{Ref: core.InstanceRef{ID: "peer", Incarnation: 1}, PeerAddr: "peer:1", DataCentre: "a", Region: "r"}
	heartbeat := PeerMessageReceived{From: peer.Ref, Message: Message{Hosted: &HostedHeartbeat{Member: peer, ConfigAt: configAt(99), UpstreamsAt: StateStamp{Revision: storeRevision(10)}}}}
	r.step(heartbeat)
	wantNoEffect[FetchState](r) // the watch of the store may still deliver it
	r.advance(stateFetchDelay)
	is.Equal(wantEffect[FetchState](r), FetchState{Kind: StateConfig, From: "peer", Addr: "peer:1"})
	r.step(heartbeat)
	wantNoEffect[FetchState](r) // one at a time
	r.step(StateFetchEnded{Kind: StateConfig, From: "peer"})
	r.step(RoutingReceived{Routing: hostedRouting(99), Revision: storeRevision(99), From: "peer"})
	wantEffect[RoutingActivated](r)
	r.step(heartbeat)
	r.advance(stateFetchDelay)
	wantNoEffect[FetchState](r)
}

// Guards against an Instance that stays behind because the peers of its DataCentre are
// behind as well.
func TestHostedFetchesAlthoughOtherPeersAreBehind(t *testing.T) {
	r := newHostedHarness(t)
	report := func(id core.InstanceID, revision int) PeerMessageReceived {
		peer := fleet.Member{Ref: core.InstanceRef{ID: id, Incarnation: 1}, PeerAddr: string(id) + ":1", DataCentre: "a", Region: "r"}
		return PeerMessageReceived{From: peer.Ref, Message: Message{Hosted: &HostedHeartbeat{Member: peer, ConfigAt: configAt(revision), UpstreamsAt: StateStamp{Revision: storeRevision(10)}}}}
	}
	for range 20 {
		r.step(report("ahead", 99))
		r.advance(50 * time.Millisecond)
		r.step(report("behind", 10))
		for _, effect := range r.advance(50 * time.Millisecond) {
			if e, found := effect.(FetchState); found {
				is.New(t).Equal(e, FetchState{Kind: StateConfig, From: "ahead", Addr: "ahead:1"})
				return
			}
		}
	}
	t.Fatal("no fetch within 2 s")
}

// Guards against a delay that begins anew with each failed fetch: the peer that was asked is
// frozen, and others have the new state as well.
func TestHostedFetchesFromAnotherPeerAfterAFailure(t *testing.T) {
	is := is.New(t)
	r := newHostedHarness(t)
	report := func(id core.InstanceID) {
		peer := fleet.Member{Ref: core.InstanceRef{ID: id, Incarnation: 1}, PeerAddr: string(id) + ":1", DataCentre: "a", Region: "r"}
		r.step(PeerMessageReceived{From: peer.Ref, Message: Message{Hosted: &HostedHeartbeat{Member: peer, ConfigAt: configAt(99), UpstreamsAt: StateStamp{Revision: storeRevision(10)}}}})
	}
	report("one")
	report("two")
	r.advance(stateFetchDelay)
	first := wantEffect[FetchState](r).From
	r.step(StateFetchEnded{Kind: StateConfig, From: first})
	second := wantEffect[FetchState](r).From
	is.True(second != first)
	r.step(StateFetchEnded{Kind: StateConfig, From: second})
	wantNoEffect[FetchState](r) // neither has answered
	report(first)
	r.advance(200 * time.Millisecond)
	is.Equal(wantEffect[FetchState](r).From, first) // it is back
}

// Guards against an Instance that waits for a frozen peer until the fetch times out, and
// against one that asks all peers at once.
func TestHostedFetchesFromASecondPeerWhileTheFirstIsSlow(t *testing.T) {
	is := is.New(t)
	r := newHostedHarness(t)
	for _, id := range []core.InstanceID{"one", "two", "three"} {
		peer := fleet.Member{Ref: core.InstanceRef{ID: id, Incarnation: 1}, PeerAddr: string(id) + ":1", DataCentre: "a", Region: "r"}
		r.step(PeerMessageReceived{From: peer.Ref, Message: Message{Hosted: &HostedHeartbeat{Member: peer, ConfigAt: configAt(99), UpstreamsAt: StateStamp{Revision: storeRevision(10)}}}})
	}
	r.advance(stateFetchDelay)
	fetches := 1
	first := wantEffect[FetchState](r).From
	for _, effect := range r.advance(2 * stateFetchHedgeDelay) {
		if e, found := effect.(FetchState); found {
			fetches++
			is.True(e.From != first)
		}
	}
	is.Equal(fetches, maxStateFetches)
}

// Guards against a large state that crosses a slow link although a near peer has it.
func TestHostedFetchesFromANearPeer(t *testing.T) {
	is := is.New(t)
	r := newHostedHarness(t)
	for _, peer := range []fleet.Member{{DataCentre: "z", Region: "far"}, {DataCentre: "b", Region: "r"}, {DataCentre: "a", Region: "r"}} {
		peer.Ref = core.InstanceRef{ID: core.InstanceID("in-" + peer.DataCentre), Incarnation: 1}
		r.step(PeerMessageReceived{From: peer.Ref, Message: Message{Hosted: &HostedHeartbeat{Member: peer, ConfigAt: configAt(99), UpstreamsAt: StateStamp{Revision: storeRevision(10)}}}})
	}
	r.advance(stateFetchDelay)
	for _, from := range []core.InstanceID{"in-a", "in-b", "in-z"} {
		is.Equal(wantEffect[FetchState](r).From, from)
		r.step(StateFetchEnded{Kind: StateConfig, From: from})
	}
}

// Guards against an Instance that keeps an older version, or asks for one, because the store has
// come back from an older copy: revisions do not tell which version is newer.
func TestHostedNewerVersionCountsWhateverItsRevision(t *testing.T) {
	is := is.New(t)
	r := newHostedHarness(t)
	revision := func(era, number uint64) core.StoreRevision { return core.StoreRevision{Era: era, Number: number} }
	report := func(version core.Version, at core.StoreRevision) {
		peer := fleet.Member{Ref: core.InstanceRef{ID: "peer", Incarnation: 1}, PeerAddr: "peer:1", DataCentre: "a", Region: "r"}
		r.step(PeerMessageReceived{From: peer.Ref, Message: Message{Hosted: &HostedHeartbeat{
			Member: peer, ConfigAt: StateStamp{Version: version, Revision: at}, UpstreamsAt: StateStamp{Revision: storeRevision(10)},
		}}})
		r.advance(2 * stateFetchDelay)
	}
	r.step(RoutingReceived{Routing: hostedRouting(5), Revision: revision(1, 500), Raw: []byte("5")})
	r.step(RoutingReceived{Routing: hostedRouting(4), Revision: revision(2, 300), Raw: []byte("4")})
	wantNoEffect[RoutingActivated](r)
	report(4, revision(2, 300))
	wantNoEffect[FetchState](r)
	r.step(RoutingReceived{Routing: hostedRouting(5), Revision: revision(2, 310), Raw: []byte("5")})
	is.Equal(wantEffect[RoutingActivated](r).Revision, revision(2, 310)) // written again

	behind := newHostedHarness(t)
	behind.step(RoutingReceived{Routing: hostedRouting(4), Revision: revision(2, 300)})
	r = behind
	report(5, revision(1, 500))
	is.Equal(wantEffect[FetchState](r).Kind, StateConfig)
}

// Guards against a new era that an Instance takes a state without a revision for, and against one
// that it misses: it has to read everything again.
func TestHostedNoticesANewEra(t *testing.T) {
	r := newHostedHarness(t) // era 0
	peer := fleet.Member{Ref: core.InstanceRef{ID: "peer", Incarnation: 1}, PeerAddr: "peer:1", DataCentre: "a", Region: "r"}
	report := func(revision core.StoreRevision) {
		r.step(PeerMessageReceived{From: peer.Ref, Message: Message{Hosted: &HostedHeartbeat{Member: peer, UpstreamsAt: StateStamp{Revision: revision}}}})
	}
	report(core.StoreRevision{Era: 7})
	wantNoEffect[StoreEraBegan](r)
	report(core.StoreRevision{Era: 2, Number: 5})
	is.New(t).Equal(wantEffect[StoreEraBegan](r), StoreEraBegan{Era: 2})
	r.step(UpstreamsListed{Revision: core.StoreRevision{Era: 2, Number: 6}, Upstreams: r.upstreams})
	wantNoEffect[StoreEraBegan](r)
	r.step(UpstreamsChanged{Revision: core.StoreRevision{Era: 3, Number: 4}})
	is.New(t).Equal(wantEffect[StoreEraBegan](r), StoreEraBegan{Era: 3})
}
