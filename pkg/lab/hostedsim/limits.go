package hostedsim

import (
	"time"

	"github.com/rhubarbsill/rhubarbsill/pkg/core"
)

const (
	// limitWindow, limitFactor and limitSlack define how much an Upstream that announces a
	// limit may get, as the users' platform does: in each window at most limitFactor times
	// the limit and limitSlack requests.
	limitWindow = 4 * time.Second
	limitFactor = 1.5
	limitSlack  = 5
	// limitContact is the time after the first announcement from which on windows count,
	// and limitNotice the time after its own first answer from which on the requests of an
	// Instance count.
	limitContact = 4 * time.Second
	limitNotice  = 500 * time.Millisecond
)

// announcedLimit is the limit that one Upstream announces in its answers.
type announcedLimit struct {
	perSecond float64
	since     core.Instant
	// told is the instant of the first answer to each Instance.
	told     map[core.InstanceRef]core.Instant
	arrivals []core.Instant
	peak     float64 // largest use of a window, as a share of what is allowed
}

// allowed returns the requests that the Upstream may get in a window.
func (l *announcedLimit) allowed() float64 {
	return limitFactor*l.perSecond*limitWindow.Seconds() + limitSlack
}

// announceLimit makes an Upstream announce a limit for a time.
func (w *Simulation) announceLimit(id core.UpstreamID, perSecond float64, duration time.Duration) {
	limit := &announcedLimit{perSecond: perSecond, since: w.now, told: map[core.InstanceRef]core.Instant{}}
	w.limits[id] = limit
	w.after(duration, func() {
		if w.limits[id] == limit {
			delete(w.limits, id)
		}
	})
}

// recordArrival counts a request of any kind at an Upstream and checks it against what the
// Upstream has announced. sentAt is the instant at which the caller sent its request, 0 for the
// release of a hold or of a KV cache.
func (w *Simulation) recordArrival(id core.UpstreamID, inst *instance, sentAt core.Instant) {
	w.result.Arrivals[id] = append(w.result.Arrivals[id], w.now)
	w.checkAnnouncements(id, inst, sentAt)
	w.checkLimit(id, inst)
	w.checkCold(id)
}

// checkLimit checks a request of an Instance that was told the limit of an Upstream, unless the
// Instance has just continued after a pause.
func (w *Simulation) checkLimit(id core.UpstreamID, inst *instance) {
	limit := w.limits[id]
	if limit == nil {
		return
	}
	told, known := limit.told[inst.member.Ref]
	paused := inst.pausedUntil > 0 && w.now.Sub(inst.pausedUntil) < limitContact
	if !known || w.now.Sub(told) < limitNotice || paused {
		return
	}
	limit.arrivals = append(limit.arrivals, w.now)
	for w.now.Sub(limit.arrivals[0]) > limitWindow {
		limit.arrivals = limit.arrivals[1:]
	}
	if w.now.Sub(limit.since) < limitContact {
		return
	}
	use := float64(len(limit.arrivals)) / limit.allowed()
	if use > 1 && limit.peak <= 1 {
		w.result.addViolation("%s: announced %.2f requests a second and got %d in %s, allowed are %.0f",
			id, limit.perSecond, len(limit.arrivals), limitWindow, limit.allowed())
	}
	limit.peak = max(limit.peak, use)
	w.result.PeakLimitUse = max(w.result.PeakLimitUse, use)
}
