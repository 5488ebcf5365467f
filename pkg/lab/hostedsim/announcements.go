package hostedsim

import (
	"time"

	"github.com/rhubarbsill/rhubarbsill/pkg/announce"
	"github.com/rhubarbsill/rhubarbsill/pkg/core"
	"github.com/rhubarbsill/rhubarbsill/pkg/pace"
	"github.com/rhubarbsill/rhubarbsill/pkg/router"
	"github.com/rhubarbsill/rhubarbsill/pkg/throttle"
)

const (
	// leavingNotice is the time after its answer to an Instance from which on a leaving Upstream
	// must get no requests that callers send to that Instance later, as the users' platform
	// defines it.
	leavingNotice = 3 * time.Second
	// An Upstream that asks for a backoff may get backoffTolerance requests from an Instance
	// between backoffNotice after its answer and the end of the time.
	backoffNotice    = 500 * time.Millisecond
	backoffTolerance = 2
)

// leaving is an Upstream that announces in its answers that it leaves.
type leaving struct {
	// told is the instant of the first answer that reached each Instance.
	told map[core.InstanceRef]core.Instant
}

// backingOff is an Upstream that refuses all requests and asks for a backoff.
type backingOff struct {
	backoff time.Duration
	windows map[core.InstanceRef][]*backoffWindow
}

// backoffWindow is the time in which an Upstream wants no requests from an Instance because of one
// answer.
type backoffWindow struct {
	from, to core.Instant
	arrivals int
}

// answer is what the Upstream announces in one answer.
type answer struct {
	load    pace.Load
	limit   *announcedLimit
	leaving *leaving
	backoff time.Duration
}

// answerOf returns what an Upstream announces in an answer that it sends now.
func (w *Simulation) answerOf(id core.UpstreamID) answer {
	return answer{load: w.loadOf(id), limit: w.limits[id], leaving: w.leaving[id]}
}

// refusalTo returns the answer of an Upstream that refuses a request of an Instance now.
func (w *Simulation) refusalTo(id core.UpstreamID, inst *instance) answer {
	a := w.answerOf(id)
	if turning := w.backingOff[id]; turning != nil && turning.backoff > 0 {
		a.backoff = turning.backoff
		ref := inst.member.Ref
		turning.windows[ref] = append(turning.windows[ref], &backoffWindow{from: w.now.Add(backoffNotice), to: w.now.Add(turning.backoff)})
	}
	return a
}

// rejects reports whether an Upstream refuses all requests.
func (w *Simulation) rejects(id core.UpstreamID) bool {
	turning := w.backingOff[id]
	return turning != nil && turning.backoff > 0
}

// announceLeaving makes an Upstream announce that it leaves. It starts anew after a time.
func (w *Simulation) announceLeaving(id core.UpstreamID, duration time.Duration) {
	leaving := &leaving{told: map[core.InstanceRef]core.Instant{}}
	w.leaving[id] = leaving
	w.after(duration, func() {
		if w.leaving[id] != leaving {
			return // it has crashed meanwhile
		}
		if e := w.engines[id]; e != nil {
			e.crash()
			e.restart()
			return
		}
		w.plain[id].generation++
		w.endLifetime(id)
		w.publish()
	})
}

// endLifetime forgets what an Upstream has announced, since its process has ended.
func (w *Simulation) endLifetime(id core.UpstreamID) {
	delete(w.leaving, id)
	delete(w.backingOff, id)
}

// startBackoff makes an Upstream refuse all requests for a time and ask for a backoff.
func (w *Simulation) startBackoff(id core.UpstreamID, backoff, duration time.Duration) {
	turning := &backingOff{backoff: backoff, windows: map[core.InstanceRef][]*backoffWindow{}}
	w.backingOff[id] = turning
	w.after(duration, func() { turning.backoff = 0 }) // the windows last
}

// checkAnnouncements checks a request of any kind that arrives at an Upstream. sentAt is the instant
// at which the caller sent its request, 0 for the release of a hold or of a KV cache.
func (w *Simulation) checkAnnouncements(id core.UpstreamID, inst *instance, sentAt core.Instant) {
	if leaving := w.leaving[id]; leaving != nil && sentAt != 0 {
		if told, known := leaving.told[inst.member.Ref]; known && sentAt.Sub(told) > leavingNotice {
			w.result.addViolation("%s got a request from %s that was sent %s after it said that it leaves", id, inst.member.Ref, sentAt.Sub(told))
		}
	}
	turning := w.backingOff[id]
	if turning == nil {
		return
	}
	for _, window := range turning.windows[inst.member.Ref] {
		paused := inst.pausedUntil > window.from.Add(-backoffNotice)
		if w.now < window.from || w.now >= window.to || paused {
			continue
		}
		if window.arrivals++; window.arrivals == backoffTolerance+1 {
			w.result.addViolation("%s got %d requests from %s while it wanted none", id, window.arrivals, inst.member.Ref)
		}
	}
}

// deliverAnswer reports to an Instance what an answer that has just arrived announces.
func (w *Simulation) deliverAnswer(inst *instance, id core.UpstreamID, sentAt core.Instant, a answer, statesRate bool) {
	announcement := announce.Announcement{StatesRate: statesRate || a.limit != nil, Backoff: a.backoff, Load: a.load}
	if a.limit != nil {
		announcement.Rate = throttle.Announcement{Limited: true, RequestsPerSecond: a.limit.perSecond}
		w.noteTold(a.limit.told, inst)
	}
	if a.leaving != nil {
		announcement.Leaving = true
		w.noteTold(a.leaving.told, inst)
	}
	if !announcement.IsEmpty() {
		w.step(inst, router.UpstreamAnswered{
			Source: announce.Source{Upstream: id, Addr: string(id), SentAt: sentAt}, Announcement: announcement,
		})
	}
}

// noteTold records the instant at which an Instance reads an answer for the first time.
func (w *Simulation) noteTold(told map[core.InstanceRef]core.Instant, inst *instance) {
	if _, known := told[inst.member.Ref]; !known && inst.alive {
		told[inst.member.Ref] = max(w.now, inst.pausedUntil)
	}
}
