package server

import (
	"encoding/json"
	"net/http"
	"time"

	"github.com/rhubarbsill/rhubarbsill/pkg/core"
	"github.com/rhubarbsill/rhubarbsill/pkg/peer"
	"github.com/rhubarbsill/rhubarbsill/pkg/router"
	"github.com/rhubarbsill/rhubarbsill/pkg/timeline"
)

// Status is the body of /status.
type Status struct {
	router.View
	Usage
	// LatestKnownVersion is the highest configuration version known to the Instance.
	LatestKnownVersion core.Version `json:"version_seen"`
	// ConfirmedMS is the time in milliseconds since the store was last known to
	// hold LatestKnownVersion.
	ConfirmedMS int64 `json:"confirmed_ms_ago"`
	// FailingUpstreams do not report their load to this Instance.
	FailingUpstreams []core.UpstreamID `json:"upstreams_failing"`
	// Queued is the number of requests that wait for an Upstream, by service.
	Queued map[core.ServiceName]int `json:"requests_queued"`
	// LateEvents counts responses that were dropped because their attempt had
	// ended.
	LateEvents  uint64     `json:"late_answers_dropped"`
	Peers       peer.Stats `json:"peer_traffic"`
	Connections int64      `json:"caller_connections"`
}

// statusHandler serves the status page, the metrics and the timeline.
func (s *Server) statusHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /status", s.serveStatus)
	mux.HandleFunc("GET /timeline", s.serveTimeline)
	mux.Handle("GET /metrics", s.metrics.Handler())
	mux.HandleFunc("GET /healthz", s.serveHealth)
	return mux
}

func (s *Server) serveStatus(w http.ResponseWriter, _ *http.Request) {
	view := s.view.Load()
	if view == nil {
		http.Error(w, "the event loop has not run yet", http.StatusServiceUnavailable)
		return
	}
	status := Status{
		View:               *view,
		LatestKnownVersion: view.Root.Version,
		ConfirmedMS:        s.clock.now().Sub(view.ConfirmedAt).Milliseconds(),
		Peers:              s.peers.Stats(),
		Connections:        s.connections.Load(),
	}
	if usage := s.usage.Load(); usage != nil {
		status.Usage = *usage
	}
	if failing := s.failingUpstreams.Load(); failing != nil {
		status.FailingUpstreams = *failing
	}
	if counters := s.counters.Load(); counters != nil {
		status.Queued = counters.Queued
		status.LateEvents = counters.LateEvents
	}
	writeJSON(w, status)
}

// serveTimeline returns the events of this Instance that match the query
// parameters request, account, upstream and since (RFC 3339).
func (s *Server) serveTimeline(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	filter := timeline.Filter{
		Request:  core.RequestID(query.Get("request")),
		Account:  core.AccountID(query.Get("account")),
		Upstream: core.UpstreamID(query.Get("upstream")),
	}
	if since := query.Get("since"); since != "" {
		from, err := time.Parse(time.RFC3339Nano, since)
		if err != nil {
			http.Error(w, "since must be an RFC 3339 time", http.StatusBadRequest)
			return
		}
		filter.From = from
	}
	writeJSON(w, s.timelineEvents.Select(limitFilter(filter)))
}

func writeJSON(w http.ResponseWriter, body any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(body)
}
