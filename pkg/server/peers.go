package server

import (
	"encoding/json"

	"github.com/joomcode/errorx"

	"github.com/rhubarbsill/rhubarbsill/pkg/config"
	"github.com/rhubarbsill/rhubarbsill/pkg/core"
	"github.com/rhubarbsill/rhubarbsill/pkg/router"
	"github.com/rhubarbsill/rhubarbsill/pkg/timeline"
)

// Envelope is a message to a peer with the timestamp of its sender, so that the
// timeline orders the receipt after the sending.
type Envelope struct {
	Stamp   timeline.Stamp
	Message router.Message
}

// Names of the fetch requests between peers.
const (
	fetchRootName     = "root"
	fetchPieceName    = "piece"
	fetchTimelineName = "timeline"
)

// maxTimelineEvents bounds the events of one timeline response.
const maxTimelineEvents = 5_000

func (s *Server) sendPeer(e router.SendPeerMessage) {
	if left := e.NotAfter.Sub(s.clock.now()); left > 0 {
		s.peers.SendWithin(e.To, e.Addr, Envelope{Stamp: s.timelineClock.Now(), Message: e.Message}, left)
	}
}

func (s *Server) deliver(from core.InstanceRef, batch []Envelope) {
	for _, envelope := range batch {
		s.timelineClock.Observe(envelope.Stamp)
		s.post(router.PeerMessageReceived{From: from, Message: envelope.Message})
	}
}

// servePeer handles the fetch requests of peers.
func (s *Server) servePeer(from core.InstanceRef, name string, request []byte) ([]byte, error) {
	switch name {
	case fetchRootName:
		return s.serveRoot()
	case fetchPieceName:
		var hash config.Hash
		if len(request) != len(hash) {
			return nil, errorx.IllegalArgument.New("piece hash has %d bytes, want %d", len(request), len(hash))
		}
		copy(hash[:], request)
		body, found := s.pieces.get(hash)
		if !found {
			return nil, errorx.IllegalState.New("piece %s is not held here", hash)
		}
		return body, nil
	case fetchTimelineName:
		var filter timeline.Filter
		if err := json.Unmarshal(request, &filter); err != nil {
			return nil, errorx.IllegalArgument.Wrap(err, "timeline filter")
		}
		return json.Marshal(s.timelineEvents.Select(limitFilter(filter)))
	default:
		return nil, errorx.IllegalArgument.New("peer %s asked for %q, which is not known", from, name)
	}
}

func (s *Server) serveRoot() ([]byte, error) {
	view := s.view.Load()
	if view == nil || view.Root.Version == 0 {
		return nil, errorx.IllegalState.New("no configuration root is held here")
	}
	age := s.clock.now().Sub(view.ConfirmedAt)
	return json.Marshal(rootResponse{Root: view.Root, AgeMS: age.Milliseconds() + 1})
}

func limitFilter(f timeline.Filter) timeline.Filter {
	if f.Limit <= 0 || f.Limit > maxTimelineEvents {
		f.Limit = maxTimelineEvents
	}
	return f
}
