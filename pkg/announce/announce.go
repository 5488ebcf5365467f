// Package announce keeps what Upstreams announce about themselves in their answers: the rate that
// they take from the fleet, that they leave, and a backoff, which is a time for which they want no
// requests from this Instance. As far as the Upstream itself is concerned, it is the one place that
// says whether an Upstream may be used. It is pure: every call passes the current instant.
//
// An announcement belongs to one lifetime of an Upstream. Leaving holds for the rest of the
// lifetime, a backoff until its end, and a rate until an answer that would state one and does not;
// package throttle keeps the rates.
package announce

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/rhubarbsill/rhubarbsill/pkg/catalog"
	"github.com/rhubarbsill/rhubarbsill/pkg/core"
	"github.com/rhubarbsill/rhubarbsill/pkg/pace"
	"github.com/rhubarbsill/rhubarbsill/pkg/throttle"
)

// Announcement is what one answer states about its Upstream.
type Announcement struct {
	// StatesRate is set when the answer states a limit, or would state one if there were any.
	StatesRate bool
	Rate       throttle.Announcement
	// Leaving is set when the Upstream leaves.
	Leaving bool
	// Backoff is the time for which the Upstream wants no requests from this Instance, 0 for
	// none.
	Backoff time.Duration
	// ColdFor is the time for which the Upstream stays cold, 0 for none stated.
	ColdFor time.Duration
	// Load is the load of the Upstream. Package pace keeps what follows from it.
	Load pace.Load
	// Invalid lists the statements that could not be read.
	Invalid []Invalid
}

// Invalid is a statement that could not be read.
type Invalid struct {
	// Cause names the statement and what is wrong with it. There are few of them.
	Cause string
	// Value is the text of the statement.
	Value string
}

// IsEmpty reports whether the answer states nothing.
func (a Announcement) IsEmpty() bool {
	return !a.StatesRate && !a.Leaving && a.Backoff == 0 && a.ColdFor == 0 && !a.Load.Stated && len(a.Invalid) == 0
}

// Source is the Upstream of an answer.
type Source struct {
	Upstream core.UpstreamID
	Addr     string
	// SentAt is the instant before the request was sent.
	SentAt core.Instant
}

const (
	// MaxBackoff bounds a backoff. A longer one counts as this.
	MaxBackoff = 10 * time.Minute
	// reservationGrace is the time after an answer for which an Upstream that wants no requests
	// still gets those for which it has reserved a place. Requests that were sent before the answer
	// arrive until then too.
	reservationGrace = 250 * time.Millisecond
	// Each Instance lengthens a backoff at random by up to backoffJitter times, at most by
	// maxBackoffJitter.
	backoffJitter    = 0.1
	maxBackoffJitter = 500 * time.Millisecond
	// rampUpInterval is the time between two requests to an Upstream just after its backoff, for as
	// long as the backoff was, at most maxRampUpTime.
	rampUpInterval = 50 * time.Millisecond
	maxRampUpTime  = 500 * time.Millisecond
	// missingTTL is the time for which an Upstream that is not registered is remembered.
	missingTTL = time.Minute
	// leavingNotice is the time for which peers are told that an Upstream leaves. In the largest
	// fleet a peer gets a heartbeat in six seconds.
	leavingNotice = 12 * time.Second
	// maxLeavingReports bounds the Upstreams in one report. One takes about 40 bytes.
	maxLeavingReports = 4
	// maxLoggedValue bounds the text of a value in a log line, in characters.
	maxLoggedValue = 80
)

// Registry holds the announcements that one Instance knows of. It is not safe for concurrent
// use.
type Registry struct {
	// Rates keeps the fleet within the announced rates.
	Rates *throttle.Limiter

	rand      *rand.Rand
	upstreams map[core.UpstreamID]*lifetime
	// unavailable holds the Upstreams that leave or have wanted no requests lately.
	unavailable map[core.UpstreamID]*lifetime
}

// lifetime is one process of an Upstream.
type lifetime struct {
	catalog.Upstream
	since        core.Instant // when it was registered here first
	missingSince core.Instant // 0 while it is registered

	leavingSince core.Instant // 0 unless it has announced that it leaves

	// It wants no requests from rejectedAt to backoffUntil.
	rejectedAt   core.Instant
	backoffUntil core.Instant
	// From backoffUntil to rampUpUntil its requests are spaced. The next one may be sent at
	// nextRampUpAt.
	rampUpUntil  core.Instant
	nextRampUpAt core.Instant

	invalid map[string]bool // causes that have been reported
}

// New returns a Registry without Upstreams.
func New(self core.InstanceRef, r *rand.Rand) *Registry {
	return &Registry{
		Rates: throttle.New(self, r), rand: r,
		upstreams: map[core.UpstreamID]*lifetime{}, unavailable: map[core.UpstreamID]*lifetime{},
	}
}

// SetUpstreams replaces the registered Upstreams. One that is still the same process keeps what
// it has announced.
func (r *Registry) SetUpstreams(now core.Instant, list []catalog.Upstream) {
	registered := make(map[core.UpstreamID]bool, len(list))
	for _, up := range list {
		registered[up.ID] = true
		known := r.upstreams[up.ID]
		restarted := known != nil && known.missingSince != 0 && up.Born == 0
		if known == nil || restarted || !known.SameProcess(up) {
			known = &lifetime{since: now}
			r.upstreams[up.ID] = known
			delete(r.unavailable, up.ID)
		}
		known.Upstream, known.missingSince = up, 0
	}
	for id, up := range r.upstreams {
		switch {
		case registered[id]:
		case up.missingSince == 0:
			up.missingSince = now
		case now.Sub(up.missingSince) > missingTTL:
			delete(r.upstreams, id)
			delete(r.unavailable, id)
		}
	}
	r.Rates.Retain(now, func(id core.UpstreamID) bool { return registered[id] })
}

// Event is a change that an announcement makes, for the log and the metrics.
type Event struct {
	Kind   EventKind
	Detail string
	// Repeated is set when an event for the same cause and lifetime was returned before. It is
	// counted and not logged.
	Repeated bool
}

// EventKind is the kind of an Event.
type EventKind string

// The kinds of events.
const (
	EventRate    EventKind = "announced"
	EventLeaving EventKind = "leaving"
	EventBackoff EventKind = "stay away"
	EventInvalid EventKind = "invalid announcement"
)

// Observe processes what an answer announces. One of another lifetime announces nothing.
func (r *Registry) Observe(now core.Instant, from Source, a Announcement) []Event {
	up := r.upstreams[from.Upstream]
	if up == nil || up.Addr != from.Addr || from.SentAt < up.since {
		return nil
	}
	var events []Event
	for _, invalid := range a.Invalid {
		detail := fmt.Sprintf("cause=%q value=%.*q", invalid.Cause, maxLoggedValue, invalid.Value)
		events = append(events, Event{Kind: EventInvalid, Detail: detail, Repeated: up.invalid[invalid.Cause]})
		if up.invalid == nil {
			up.invalid = map[string]bool{}
		}
		up.invalid[invalid.Cause] = true
	}
	if a.StatesRate && r.Rates.Observe(now, up.ID, a.Rate) {
		events = append(events, Event{Kind: EventRate, Detail: r.RateDetail(up.ID, "")})
	}
	if a.Leaving && up.leavingSince == 0 {
		r.setLeaving(now, up)
		events = append(events, Event{Kind: EventLeaving, Detail: "from="})
	}
	if a.Backoff > 0 && r.startBackoff(now, up, min(a.Backoff, MaxBackoff)) {
		events = append(events, Event{Kind: EventBackoff, Detail: fmt.Sprintf("for=%s until=%s", a.Backoff, up.backoffUntil.Sub(now))})
	}
	return events
}

func (r *Registry) setLeaving(now core.Instant, up *lifetime) {
	up.leavingSince = now
	r.unavailable[up.ID] = up
}

// startBackoff records a backoff. It reports whether it ends later than the one known.
func (r *Registry) startBackoff(now core.Instant, up *lifetime, backoff time.Duration) bool {
	if now >= up.backoffUntil {
		up.rejectedAt = now
	}
	if now.Add(backoff) <= up.backoffUntil {
		return false
	}
	spread := min(maxBackoffJitter.Seconds(), backoffJitter*backoff.Seconds())
	up.backoffUntil = now.Add(backoff + time.Duration(r.rand.Float64()*spread*float64(time.Second)))
	up.nextRampUpAt = up.backoffUntil
	up.rampUpUntil = up.backoffUntil.Add(min(maxRampUpTime, backoff))
	r.unavailable[up.ID] = up
	return true
}

// RateDetail describes the rate that an Upstream announced last, for the log. from is the peer that
// has reported it, empty for none.
func (r *Registry) RateDetail(id core.UpstreamID, from core.InstanceID) string {
	rate := "none"
	if a := r.Rates.Announcement(id); a.Limited {
		rate = fmt.Sprint(a.RequestsPerSecond)
	}
	return "requests_per_second=" + rate + " from=" + string(from)
}

// Availability is what an Upstream announces of its use.
type Availability struct {
	Leaving bool
	// BackoffUntil is the instant before which the Upstream wants no requests.
	BackoffUntil core.Instant
}

// Availability returns what an Upstream announces of its use.
func (r *Registry) Availability(id core.UpstreamID) Availability {
	up := r.upstreams[id]
	if up == nil {
		return Availability{}
	}
	return Availability{Leaving: up.leavingSince != 0, BackoffUntil: up.backoffUntil}
}

// MayUseReservation reports whether an Upstream may get a request for which it has reserved a place,
// or one that gives a place back.
func (r *Registry) MayUseReservation(now core.Instant, id core.UpstreamID) bool {
	up := r.upstreams[id]
	return up == nil || now >= up.backoffUntil || now < up.rejectedAt.Add(reservationGrace)
}

// isRampingUp reports whether requests to an Upstream are spaced, because it wanted none until
// just now.
func (up *lifetime) isRampingUp(now core.Instant) bool {
	return now < up.rampUpUntil
}

// Limited reports whether an Upstream takes requests at a limited rate.
func (r *Registry) Limited(now core.Instant, id core.UpstreamID) bool {
	up := r.upstreams[id]
	return r.Rates.Limited(id) || up != nil && up.isRampingUp(now)
}

// Allow reports whether a number of requests may be sent to an Upstream now, and counts them if
// so. Otherwise it returns the time after which they may be.
func (r *Registry) Allow(now core.Instant, id core.UpstreamID, requests int) (bool, time.Duration) {
	up := r.upstreams[id]
	rampingUp := up != nil && up.isRampingUp(now)
	if rampingUp && now < up.nextRampUpAt {
		return false, up.nextRampUpAt.Sub(now)
	}
	allowed, wait := r.Rates.Allow(now, id, requests)
	if allowed && rampingUp {
		up.nextRampUpAt = now.Add(rampUpInterval)
	}
	return allowed, wait
}

// RampUpDelay returns the longest time from the end of a backoff until a request is sent that has a
// number of requests ahead of it.
func RampUpDelay(ahead int) time.Duration {
	return min(time.Duration(ahead)*rampUpInterval, maxRampUpTime)
}

// Return gives back requests that were allowed and not sent.
func (r *Registry) Return(now core.Instant, id core.UpstreamID, requests int) {
	r.Rates.Return(now, id, requests)
}

// Process identifies a lifetime of an Upstream to peers.
type Process struct {
	Addr string
	Born int64
}

// LeavingReports returns the Upstreams that have announced last that they leave, without those of
// which the store says so.
func (r *Registry) LeavingReports(now core.Instant) map[core.UpstreamID]Process {
	var leaving []core.UpstreamID
	for id, up := range r.unavailable {
		if up.leavingSince != 0 && !up.Leaving && now.Sub(up.leavingSince) <= leavingNotice {
			leaving = append(leaving, id)
		}
	}
	if len(leaving) == 0 {
		return nil
	}
	slices.SortFunc(leaving, func(a, b core.UpstreamID) int {
		newest := cmp.Compare(r.upstreams[b].leavingSince, r.upstreams[a].leavingSince)
		return cmp.Or(newest, cmp.Compare(a, b))
	})
	reports := map[core.UpstreamID]Process{}
	for _, id := range leaving[:min(len(leaving), maxLeavingReports)] {
		reports[id] = Process{Addr: r.upstreams[id].Addr, Born: r.upstreams[id].Born}
	}
	return reports
}

// OnPeerLeavingReports processes the reports of a peer. It returns the Upstreams of which they
// are news.
func (r *Registry) OnPeerLeavingReports(now core.Instant, reports map[core.UpstreamID]Process) []core.UpstreamID {
	var news []core.UpstreamID
	for id, process := range reports {
		up := r.upstreams[id]
		if up == nil || up.leavingSince != 0 || up.Addr != process.Addr || up.Born != process.Born {
			continue
		}
		r.setLeaving(now, up)
		news = append(news, id)
	}
	slices.Sort(news)
	return news
}

// Describe returns why an Upstream is not used and how old that is, "" if it may be.
func (r *Registry) Describe(now core.Instant, id core.UpstreamID) string {
	up := r.upstreams[id]
	switch {
	case up == nil:
		return ""
	case up.leavingSince != 0:
		return fmt.Sprintf("%s leaving age=%s", id, now.Sub(up.leavingSince))
	case now < up.backoffUntil:
		return fmt.Sprintf("%s stays away until=%s age=%s", id, up.backoffUntil.Sub(now), now.Sub(up.rejectedAt))
	}
	return ""
}

// DescribeService describes up to limit Upstreams of a service that are not used.
func (r *Registry) DescribeService(now core.Instant, service core.ServiceName, limit int) []string {
	var found []string
	for id, up := range r.unavailable {
		if up.leavingSince == 0 && now >= up.rampUpUntil {
			delete(r.unavailable, id)
			continue
		}
		if text := r.Describe(now, id); up.Service == service && text != "" {
			found = append(found, text)
		}
	}
	slices.Sort(found)
	return found[:min(len(found), limit)]
}
