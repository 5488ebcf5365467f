package router

import (
	"slices"

	"github.com/rhubarbsill/rhubarbsill/pkg/attempts"
	"github.com/rhubarbsill/rhubarbsill/pkg/config"
	"github.com/rhubarbsill/rhubarbsill/pkg/core"
	"github.com/rhubarbsill/rhubarbsill/pkg/timeline"
)

// failExpiredAttempt fails an attempt that was not sent before its NotAfter.
func (r *Router) failExpiredAttempt(now core.Instant, id core.AttemptID, up core.UpstreamID) {
	failure := attempts.Failure{Kind: attempts.FailExpired, Upstream: up}
	r.applyAttempts(now, r.attempts.OnFailed(now, id, failure))
}

// record adds an event of a request to the timeline. The daemon sets the time of
// the event.
func (r *Router) record(now core.Instant, component, kind string, rs *requestState, detail string) {
	r.recordWithUpstream(now, component, kind, rs, "", detail)
}

func (r *Router) recordWithUpstream(_ core.Instant, component, kind string, rs *requestState, up core.UpstreamID, detail string) {
	r.emit(Record{Event: timeline.Event{
		Component: component,
		Kind:      kind,
		Request:   rs.request.ID,
		Account:   rs.accountID(),
		Upstream:  up,
		Detail:    detail,
	}})
}

func (r *Router) recordEvent(_ core.Instant, component, kind, detail string) {
	r.emit(Record{Event: timeline.Event{Component: component, Kind: kind, Detail: detail}})
}

func (r *Router) recordUpstreamEvent(_ core.Instant, component, kind string, up core.UpstreamID, detail string) {
	r.emit(Record{Event: timeline.Event{Component: component, Kind: kind, Upstream: up, Detail: detail}})
}

// observe emits the observation of a finished request for the metrics.
func (r *Router) observe(rs *requestState, code core.Code, tokens int) {
	o := Observation{
		Account:      rs.accountID(),
		Service:      rs.service.Name,
		Code:         code,
		OutputTokens: tokens,
		WithinRate:   code != "" && code != core.CodeOverRate && code != core.CodeOverBurst,
	}
	if rs.route == nil && code == "" {
		o.FirstToken = rs.firstTokenAt.Sub(rs.arrivedAt)
		o.BetweenTokens = rs.completion.BetweenTokens
		o.Targets = rs.service.Targets
	}
	if code != "" {
		o.WastedPrefillTokens = rs.tokensPrefilled
	}
	r.emit(Observe{Observation: o})
}

// View is the status page's view of a Router.
type View struct {
	Instance      core.InstanceRef   `json:"instance"`
	Version       core.Version       `json:"version_in_force"`
	KeyMode       string             `json:"keys_mode"`
	Epoch         core.Epoch         `json:"roster_epoch"`
	RosterSettled bool               `json:"roster_settled"`
	Members       []core.InstanceRef `json:"members"`
	Requests      int                `json:"requests_running"`
	Upstreams     []core.UpstreamID  `json:"upstreams_polled"`
	Leaving       bool               `json:"leaving"`
	StopReason    string             `json:"stopped,omitempty"`
	Orders        []OrdersView       `json:"orders,omitempty"`

	// Root is the root of the highest version seen, and ConfirmedAt the latest
	// instant at which the store is known to have contained it. Both are served
	// to peers.
	Root        config.Root  `json:"-"`
	ConfirmedAt core.Instant `json:"-"`
}

// View returns the state at the instant now.
func (r *Router) View(now core.Instant) View {
	roster := r.membership.Roster()
	view := View{
		Instance:      r.self.Ref,
		KeyMode:       string(r.keys.Mode(now)),
		Epoch:         roster.Epoch,
		RosterSettled: roster.HandoverComplete,
		Requests:      len(r.requests),
		Upstreams:     slices.Clone(r.polls.upstreams),
		Leaving:       r.leaving,
		StopReason:    r.stopReason,
		Orders:        r.ordersView(now),
	}
	_, age := r.keys.LatestConfirmation(now)
	view.Root = r.rollout.Root()
	view.ConfirmedAt = now.Add(-age)
	if r.snapshot != nil {
		view.Version = r.snapshot.Version()
	}
	for _, member := range roster.Members {
		view.Members = append(view.Members, member.Ref)
	}
	return view
}

// Piece returns a piece of the configuration, for a peer that requests it.
func (r *Router) Piece(hash config.Hash) ([]byte, bool) { return r.rollout.Piece(hash) }
