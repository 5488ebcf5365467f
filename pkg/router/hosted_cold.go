package router

import (
	"fmt"
	"math"
	"strings"
	"time"

	"github.com/rhubarbsill/rhubarbsill/pkg/announce"
	"github.com/rhubarbsill/rhubarbsill/pkg/catalog"
	"github.com/rhubarbsill/rhubarbsill/pkg/config"
	"github.com/rhubarbsill/rhubarbsill/pkg/core"
	"github.com/rhubarbsill/rhubarbsill/pkg/warmup"
)

// coldRates returns the rate of the cold Upstreams of each service that may be cold.
func coldRates(routing *config.Routing) map[core.ServiceName]float64 {
	rates := map[core.ServiceName]float64{}
	for _, service := range routing.Services {
		if service.ColdRate > 0 && service.ColdTime > 0 {
			rates[service.Name] = service.ColdRate
		}
	}
	return rates
}

// setColdRates applies a new configuration to the cold Upstreams.
func (h *hosted) setColdRates(now core.Instant, routing *config.Routing) {
	h.warmup.SetRates(coldRates(routing))
	list := h.catalog.WithColdTimes(now, h.catalog.Upstreams())
	h.warmup.SetUpstreams(now, list)
	for _, up := range list {
		h.dispatch.OnCold(up.ID)
	}
}

// setColdMembers takes over the members of the complete list, and those that are heard although the
// store has lost their entries.
func (h *hosted) setColdMembers(e MembersListed) {
	if !e.Complete {
		return
	}
	ids := make([]core.InstanceID, 0, len(e.Members))
	for _, member := range e.Members {
		ids = append(ids, member.Ref.ID)
	}
	for _, member := range h.fleet.Peers() {
		ids = append(ids, member.Ref.ID)
	}
	h.warmup.SetMembers(ids)
}

// refreshCold applies the cold times of entries that have changed in nothing else. A cold engine writes
// its entry every 1.2 s, so this places no request anew and logs nothing.
func (h *hosted) refreshCold(now core.Instant) {
	for _, up := range h.catalog.TakeRefreshed(now) {
		h.warmup.Update(now, up)
		h.dispatch.OnCold(up.ID)
	}
}

// onColdStatement processes an answer that states for how long its Upstream stays cold.
func (h *hosted) onColdStatement(now core.Instant, from announce.Source, remaining time.Duration) {
	entry, found := h.catalog.Get(from.Upstream)
	if !found || entry.Addr != from.Addr || remaining <= 0 {
		return
	}
	entry.ColdFor = remaining
	if h.warmup.Update(now, entry) {
		h.dispatch.OnCold(entry.ID)
		h.recordUpstreamEvent(now, "warmup", "stated cold", entry.ID, h.warmup.Describe(now, entry.ID))
	}
}

// mayUseHold reports whether the run of a request may be sent to the Upstream that has granted its hold.
func (h *hosted) mayUseHold(now core.Instant, rs *requestState) bool {
	return h.mayEndHold(now, rs.hosted.upstream.ID, rs)
}

// mayEndHold reports whether the last request for the hold of a request may be sent: its run or its
// release. rs is nil if the request has ended.
func (h *hosted) mayEndHold(now core.Instant, up core.UpstreamID, rs *requestState) bool {
	if !h.announcements.MayUseReservation(now, up) {
		return false
	}
	if rs == nil {
		return !h.warmup.IsCold(now, up)
	}
	return h.warmup.AllowRun(now, up, rs.request.ID, h.maxUnusedHolds(rs))
}

// maxUnusedHolds returns the number of unused holds, of at least the size of that of a request, that
// its engine can have at a time. A process that started later has none of them.
func (h *hosted) maxUnusedHolds(rs *requestState) int {
	hr := rs.hosted
	current, found := h.catalog.Get(hr.upstream.ID)
	engine := hr.service.Engine
	if !found || !current.SameProcess(hr.upstream) || engine == nil || engine.Slots <= 0 {
		return math.MaxInt
	}
	most := max(engine.Slots, hr.upstream.Slots)
	if tokens := hr.holdTokens; tokens > 0 && engine.KVCacheTokens > 0 {
		most = min(most, engine.KVCacheTokens/tokens)
	}
	return most
}

// mayRelease reports whether an Upstream may be told that a KV cache is not used. It expires soon, and a
// cold Upstream has no requests to spare for it.
func (h *hosted) mayRelease(now core.Instant, up core.UpstreamID) bool {
	return h.announcements.MayUseReservation(now, up) && !h.warmup.IsCold(now, up)
}

// describeUnused describes what an Upstream states about itself, for the log.
func (h *hosted) describeUnused(now core.Instant, up core.UpstreamID) string {
	return strings.TrimSpace(h.announcements.Describe(now, up) + " " + h.warmup.Describe(now, up))
}

const (
	// coldLogInterval is the time between two counts of the cold Upstreams, and so the shortest one
	// between two log lines. coldLogPeriod is that between two lines without a change of their number.
	coldLogInterval = time.Second
	coldLogPeriod   = 10 * time.Second
)

// coldLog is what was logged last on cold Upstreams.
type coldLog struct {
	countedAt core.Instant
	at        core.Instant
	cold      int
}

// logCold logs the cold Upstreams: when their number changes and from time to time.
func (h *hosted) logCold(now core.Instant) {
	if now.Sub(h.coldLog.countedAt) < coldLogInterval {
		return
	}
	h.coldLog.countedAt = now
	s := h.warmup.Summary(now)
	if s.Cold == h.coldLog.cold && (s.Cold == 0 || now.Sub(h.coldLog.at) < coldLogPeriod) {
		return
	}
	h.coldLog.at, h.coldLog.cold = now, s.Cold
	h.recordEvent(now, "warmup", "cold upstreams", fmt.Sprintf("count=%d sending=%d sent=%d deferred=%d early=%d longest=[%s]",
		s.Cold, s.Sending, s.Sent, s.Deferred, s.Early, strings.Join(h.warmup.DescribeColdest(now), "; ")))
}

// withColdTimes returns the entries with their remaining cold time.
func (h *hosted) withColdTimes(now core.Instant, list []catalog.Upstream) []catalog.Upstream {
	return h.catalog.WithColdTimes(now, list)
}

func newWarmup(p *HostedParams) *warmup.Registry {
	p.Dispatch.Warmup = warmup.New(p.StartedAt, p.Member.Ref.ID, p.Warmup)
	return p.Dispatch.Warmup
}
