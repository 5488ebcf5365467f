package hostedsim

import (
	"time"

	"github.com/rhubarbsill/rhubarbsill/pkg/catalog"
	"github.com/rhubarbsill/rhubarbsill/pkg/config"
	"github.com/rhubarbsill/rhubarbsill/pkg/core"
	"github.com/rhubarbsill/rhubarbsill/pkg/warmup"
)

const (
	// coldEntryInterval is the time between two entries of a cold Upstream.
	coldEntryInterval = 1200 * time.Millisecond
	// coldNotice is the time from the first entry of a cold time from which on requests count. Until
	// then some were sent by Instances that had not read it.
	coldNotice = time.Second
)

// coldUpstream is an Upstream that is cold.
type coldUpstream struct {
	since    core.Instant
	until    core.Instant
	arrivals []core.Instant
}

// withColdRate sets the rate of cold Upstreams of all services.
func withColdRate(r config.Routing, perSecond float64) config.Routing {
	for i := range r.Services {
		r.Services[i].ColdRate, r.Services[i].ColdTime = perSecond, 30*time.Second
	}
	return r
}

// startCold makes an Upstream cold for a time. It writes its remaining time to its entry.
func (w *Simulation) startCold(id core.UpstreamID, duration time.Duration) {
	cold := &coldUpstream{since: w.now, until: w.now.Add(duration)}
	w.cold[id] = cold
	var write func()
	write = func() {
		if w.cold[id] != cold {
			return
		}
		if w.now < cold.until {
			w.after(min(coldEntryInterval, cold.until.Sub(w.now)), write)
		} else {
			delete(w.cold, id)
		}
		w.publish()
	}
	write()
}

// setColdTimes sets the remaining cold times in a list that is read now.
func (w *Simulation) setColdTimes(list []catalog.Upstream) {
	for i, up := range list {
		if cold := w.cold[up.ID]; cold != nil {
			list[i].ColdFor = cold.until.Sub(w.now)
		}
	}
}

// checkCold checks a request of any kind that arrives at an Upstream.
func (w *Simulation) checkCold(id core.UpstreamID) {
	cold := w.cold[id]
	if cold == nil || w.now.Sub(cold.since) < coldNotice {
		return
	}
	cold.arrivals = append(cold.arrivals, w.now)
	for w.now.Sub(cold.arrivals[0]) >= time.Second {
		cold.arrivals = cold.arrivals[1:]
	}
	allowed := warmup.Params{Overage: warmup.DefaultOverage, Slack: warmup.DefaultSlack}.Limit(w.x.ColdPerSecond)
	use := float64(len(cold.arrivals)) / allowed
	if use > 1 && w.result.PeakColdUse <= 1 {
		w.result.addViolation("%s: cold for %s and got %d in a second, allowed are %.0f", id, w.now.Sub(cold.since), len(cold.arrivals), allowed)
	}
	w.result.PeakColdUse = max(w.result.PeakColdUse, use)
}
