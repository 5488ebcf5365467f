package router

import (
	"maps"
	"slices"
	"time"

	"github.com/rhubarbsill/rhubarbsill/pkg/core"
	"github.com/rhubarbsill/rhubarbsill/pkg/fleet"
)

const (
	// stateFetchDelay is the time for which a peer must have a newer state before it is
	// fetched. Usually the watch of the store delivers the change before that.
	stateFetchDelay = 400 * time.Millisecond
	// stateFetchHedgeDelay is the time after which a second peer is asked, while the first
	// one has not answered.
	stateFetchHedgeDelay = 300 * time.Millisecond
	// maxStateFetches bounds the concurrent fetches of one state. A configuration has up to
	// a megabyte.
	maxStateFetches = 2
)

// stateFetch tracks a state that is newer at peers than at this Instance.
type stateFetch struct {
	// reported is the newer state that was reported first, at behindSince.
	reported    StateStamp
	behindSince core.Instant
	// candidates have reported a newer state and have not been asked since.
	candidates map[core.InstanceID]fleet.Member
	// running holds the peers that are being asked, the last one since askedAt.
	running map[core.InstanceID]bool
	askedAt core.Instant
	// noticed is set if a reader has announced the state: no watch delivers it sooner.
	noticed bool
}

// StateNotice is the message with which a reader of a Region announces to the other Instances of
// that Region that it has read a newer configuration.
type StateNotice struct {
	Member   fleet.Member
	ConfigAt StateStamp
}

// announceConfig sends the notice of a configuration that was just read from the store.
func (h *hosted) announceConfig(now core.Instant) {
	self := h.fleet.Self()
	if !h.fleet.IsReader() {
		return
	}
	notice := &StateNotice{Member: self, ConfigAt: h.ownState(StateConfig)}
	for _, m := range h.fleet.LivePeers() {
		if m.Region == self.Region {
			h.emit(SendPeerMessage{To: m.Ref.ID, Addr: m.PeerAddr, Message: Message{State: notice}, NotAfter: now.Add(peerMessageTTL)})
		}
	}
}

// onStateNotice fetches an announced configuration. A reader waits for its own watch first.
func (h *hosted) onStateNotice(now core.Instant, from core.InstanceRef, notice *StateNotice) {
	if notice.Member.Ref != from || !h.fleet.IsLive(from) {
		return
	}
	h.observeEra(now, notice.ConfigAt.Revision)
	h.notePeerState(now, notice.Member, StateConfig, notice.ConfigAt)
	if f := h.fetches[StateConfig]; f != nil && !h.fleet.IsReader() {
		f.noticed = true
		h.fetchOverdueStates(now)
	}
}

// notePeerState records that a peer has a newer state than this Instance.
func (h *hosted) notePeerState(now core.Instant, peer fleet.Member, kind StateKind, reported StateStamp) {
	own := h.ownState(kind)
	if !own.Before(reported) {
		return
	}
	f := h.fetches[kind]
	if f == nil {
		f = &stateFetch{
			reported: reported, behindSince: now,
			candidates: map[core.InstanceID]fleet.Member{}, running: map[core.InstanceID]bool{},
		}
		h.fetches[kind] = f
		if kind != StateUpstreams || !h.follows() { // there, each change shows in heartbeats first
			h.recordEvent(now, "fleet", "behind on "+string(kind), "peer="+peer.Ref.String()+
				" theirs="+reported.String()+" own="+own.String())
		}
	}
	if !f.running[peer.Ref.ID] {
		f.candidates[peer.Ref.ID] = peer
	}
}

// fetchOverdueStates fetches the states that peers have had in a newer form for
// stateFetchDelay: its watch of the store is unresponsive, or the store rejects only
// its calls. Peers that are behind as well do not matter.
func (h *hosted) fetchOverdueStates(now core.Instant) {
	for _, kind := range []StateKind{StateConfig, StateUpstreams} {
		f := h.fetches[kind]
		if f == nil {
			continue
		}
		if !h.ownState(kind).Before(f.reported) {
			delete(h.fetches, kind)
			continue
		}
		if f.noticed || now.Sub(f.behindSince) >= h.stateFetchDelay(kind) {
			h.fetchState(now, kind, f)
		}
	}
}

// stateFetchDelay returns the time for which peers must have a newer state before it is fetched.
func (h *hosted) stateFetchDelay(kind StateKind) time.Duration {
	if kind == StateUpstreams && h.follows() {
		return followFetchDelay
	}
	return stateFetchDelay
}

// fetchState asks the next candidate for a state, unless enough peers are being asked.
func (h *hosted) fetchState(now core.Instant, kind StateKind, f *stateFetch) {
	if len(f.running) >= maxStateFetches || len(f.running) > 0 && now.Sub(f.askedAt) < stateFetchHedgeDelay {
		return
	}
	peer, found := h.nearestCandidate(f)
	if !found {
		return
	}
	delete(f.candidates, peer.Ref.ID)
	f.running[peer.Ref.ID] = true
	f.askedAt = now
	h.recordEvent(now, "fleet", "fetch "+string(kind), "from="+peer.Ref.String()+" behind_for="+now.Sub(f.behindSince).String()+
		" theirs="+f.reported.String()+" own="+h.ownState(kind).String())
	h.emit(FetchState{Kind: kind, From: peer.Ref.ID, Addr: peer.PeerAddr})
}

// nearestCandidate returns a live candidate at random: one of the own DataCentre if there is
// one, else of the own Region. A state is large, and links between Regions are slow.
func (h *hosted) nearestCandidate(f *stateFetch) (fleet.Member, bool) {
	self := h.fleet.Self()
	var local, regional, remote []fleet.Member
	for _, id := range slices.Sorted(maps.Keys(f.candidates)) {
		peer := f.candidates[id]
		switch {
		case !h.fleet.IsLive(peer.Ref):
			delete(f.candidates, id)
		case peer.DataCentre == self.DataCentre:
			local = append(local, peer)
		case peer.Region == self.Region:
			regional = append(regional, peer)
		default:
			remote = append(remote, peer)
		}
	}
	for _, peers := range [][]fleet.Member{local, regional, remote} {
		if len(peers) > 0 {
			return peers[h.Router.params.Rand.IntN(len(peers))], true
		}
	}
	return fleet.Member{}, false
}

// onStateFetchEnded asks another peer if the state is still older than what was reported.
func (h *hosted) onStateFetchEnded(now core.Instant, e StateFetchEnded) {
	f := h.fetches[e.Kind]
	if f == nil || !f.running[e.From] {
		return
	}
	delete(f.running, e.From)
	h.recordEvent(now, "fleet", "fetch of "+string(e.Kind)+" ended", "from="+string(e.From)+
		" own="+h.ownState(e.Kind).String())
	h.fetchOverdueStates(now)
}

// ownState returns up to what this Instance has a state.
func (h *hosted) ownState(kind StateKind) StateStamp {
	if kind == StateConfig {
		return StateStamp{Version: h.activeVersion(), Revision: h.configRevision}
	}
	return StateStamp{Revision: h.catalog.ConfirmedRevision()}
}
