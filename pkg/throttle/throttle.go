// Package throttle keeps the fleet within the rates that Upstreams announce in their
// answers. An announcement is the number of requests per second that an Upstream takes from
// all Instances together; it holds until an answer without one.
//
// Instances share the newest announcement and what each of them has sent in heartbeats, and
// follow one bucket for each Upstream with package quota. A silent peer keeps an even share.
// Every request counts: retries, holds, prefills and releases as well as first attempts.
package throttle

import (
	"math/rand/v2"
	"time"

	"github.com/rhubarbsill/rhubarbsill/pkg/core"
	"github.com/rhubarbsill/rhubarbsill/pkg/quota"
)

// Announcement is what an answer states about the rate of its Upstream. The zero value
// states that there is no limit.
type Announcement struct {
	Limited           bool
	RequestsPerSecond float64
}

// Report is what an Instance tells its peers about one Upstream.
type Report struct {
	Announcement Announcement
	// Age is the time since the answer that made the announcement.
	Age time.Duration
	// Usage is what the Instance has sent, in units of tokensPerRequest.
	Usage quota.Report
}

const (
	// tokensPerRequest is the charge for one request. It gives limits of fractions of a
	// request per second a precision of a thousandth.
	tokensPerRequest = 1000
	// minRequestsPerSecond is the rate at which an Upstream that takes less is still used,
	// since only an answer shows that its limit has ended.
	minRequestsPerSecond = 0.25
	// minReportLag is the time until peers know of a request in a small fleet.
	minReportLag = 250 * time.Millisecond
	// updatesPerSecond is the number of peers to which an Instance reports in a second.
	updatesPerSecond = 200
	// maxBurst bounds the requests that may be sent at once, as a time at the limit: an
	// Upstream notices an excess over a window of about four seconds.
	maxBurst = 1250 * time.Millisecond
	// burstLags is the burst as a multiple of the report lag, at the limit. The level of the
	// bucket varies by about a lag while requests are admitted by chance.
	burstLags = 3
	// tolerance is the number of requests above a second at its limit that an Upstream may
	// get when demand begins at all Instances before they have heard of each other.
	tolerance = 4
	// endedNotice is the time for which the end of a limit is reported to peers.
	endedNotice = 30 * time.Second
	// missingTTL is the time for which an Upstream that is not registered is remembered.
	missingTTL = time.Minute
)

// Limiter holds the announced limits at one Instance. It is not safe for concurrent use.
type Limiter struct {
	budget    *quota.Quota[core.UpstreamID]
	upstreams map[core.UpstreamID]*upstream
	instances int
	// changed holds the Upstreams whose answers have announced something new since the last
	// report.
	changed map[core.UpstreamID]bool
}

// upstream is an Upstream that announces a limit or did so before.
type upstream struct {
	announcement Announcement
	observedAt   core.Instant
	endedAt      core.Instant // of the last limit
	missingSince core.Instant // 0 while it is registered
}

// New returns a Limiter without limits.
func New(self core.InstanceRef, r *rand.Rand) *Limiter {
	return &Limiter{
		budget:    quota.New[core.UpstreamID](self, r),
		upstreams: map[core.UpstreamID]*upstream{},
		instances: 1,
		changed:   map[core.UpstreamID]bool{},
	}
}

// SetInstances sets the number of Instances that may send requests.
func (l *Limiter) SetInstances(now core.Instant, n int) {
	if n == l.instances {
		return
	}
	l.instances = n
	for id, up := range l.upstreams {
		l.setLimit(now, id, up.announcement)
	}
}

// Observe processes what an answer of an Upstream announces. It reports whether that is new.
func (l *Limiter) Observe(now core.Instant, id core.UpstreamID, a Announcement) bool {
	if !l.observe(now, now, id, a) {
		return false
	}
	l.changed[id] = true
	return true
}

func (l *Limiter) observe(now, observedAt core.Instant, id core.UpstreamID, a Announcement) bool {
	up := l.upstreams[id]
	if up == nil {
		if !a.Limited {
			return false
		}
		up = &upstream{}
		l.upstreams[id] = up
	} else if observedAt <= up.observedAt {
		return false
	}
	up.observedAt = observedAt
	if a == up.announcement {
		return false
	}
	if up.announcement.Limited && !a.Limited {
		up.endedAt = now
	}
	up.announcement = a
	l.setLimit(now, id, a)
	return true
}

func (l *Limiter) setLimit(now core.Instant, id core.UpstreamID, a Announcement) {
	if !a.Limited {
		l.budget.Clear(now, id)
		return
	}
	rate := max(a.RequestsPerSecond, minRequestsPerSecond)
	burst := max(1, rate*min(maxBurst, burstLags*l.reportLag()).Seconds())
	l.budget.SetLimit(now, id, quota.Limit{Rate: int64(rate * tokensPerRequest), Burst: int64(burst * tokensPerRequest)})
}

// reportLag returns the time until all peers know of a request.
func (l *Limiter) reportLag() time.Duration {
	updates := time.Duration(float64(l.instances) / updatesPerSecond * float64(time.Second))
	return max(minReportLag, updates+100*time.Millisecond)
}

// Limited reports whether an Upstream announces a limit.
func (l *Limiter) Limited(id core.UpstreamID) bool {
	up := l.upstreams[id]
	return up != nil && up.announcement.Limited
}

// Allow reports whether a number of requests may be sent to an Upstream now, and counts
// them if so. Otherwise it returns the time after which they may be.
func (l *Limiter) Allow(now core.Instant, id core.UpstreamID, requests int) (bool, time.Duration) {
	if !l.Limited(id) {
		return true, 0
	}
	limit := l.budget.Limit(id)
	// All Instances may begin to send at the same time.
	unheard := float64(limit.Burst) * float64(l.instances) / (float64(limit.Rate)/tokensPerRequest + tolerance)
	return l.budget.AdmitUniform(now, id, int64(requests)*tokensPerRequest, quota.Uniform{ReportLag: l.reportLag(), MinDemand: unheard})
}

// Charge counts requests that are sent in any case.
func (l *Limiter) Charge(now core.Instant, id core.UpstreamID, requests int) {
	if l.Limited(id) {
		l.budget.Charge(now, id, int64(requests)*tokensPerRequest)
	}
}

// Return gives back requests that were allowed and not sent.
func (l *Limiter) Return(now core.Instant, id core.UpstreamID, requests int) {
	if l.Limited(id) {
		l.budget.Refund(now, id, int64(requests)*tokensPerRequest)
	}
}

// Retain removes the Upstreams that have not been registered for a while.
func (l *Limiter) Retain(now core.Instant, registered func(core.UpstreamID) bool) {
	for id, up := range l.upstreams {
		switch {
		case registered(id):
			up.missingSince = 0
		case up.missingSince == 0:
			up.missingSince = now
		case now.Sub(up.missingSince) > missingTTL:
			delete(l.upstreams, id)
		}
	}
	l.budget.Retain(func(id core.UpstreamID) bool { return l.upstreams[id] != nil })
}

// Reports returns the reports on all limits, and on those that have ended lately.
func (l *Limiter) Reports(now core.Instant) map[core.UpstreamID]Report {
	usage := l.budget.Reports(now)
	reports := map[core.UpstreamID]Report{}
	for id, up := range l.upstreams {
		if up.announcement.Limited || now.Sub(up.endedAt) < endedNotice {
			reports[id] = l.report(now, up, usage[id])
		}
	}
	return reports
}

func (l *Limiter) report(now core.Instant, up *upstream, usage quota.Report) Report {
	return Report{Announcement: up.announcement, Age: now.Sub(up.observedAt), Usage: usage}
}

// HasUrgentReports reports whether TakeUrgentReports would return any.
func (l *Limiter) HasUrgentReports(now core.Instant) bool {
	return len(l.changed) > 0 || l.budget.HasUrgentReports(now)
}

// TakeUrgentReports returns the reports that peers should get before the next heartbeat:
// those on changed limits and on Upstreams that are used near their limit.
func (l *Limiter) TakeUrgentReports(now core.Instant) map[core.UpstreamID]Report {
	urgent := l.budget.TakeUrgentReports(now)
	usage := l.budget.Reports(now)
	reports := map[core.UpstreamID]Report{}
	for id, up := range l.upstreams {
		if _, used := urgent[id]; used || l.changed[id] {
			reports[id] = l.report(now, up, usage[id])
		}
	}
	clear(l.changed)
	return reports
}

// OnPeerReports processes the reports of a peer. It returns the Upstreams whose
// announcement is new.
func (l *Limiter) OnPeerReports(now core.Instant, ref core.InstanceRef, reports map[core.UpstreamID]Report) []core.UpstreamID {
	var news []core.UpstreamID
	usage := map[core.UpstreamID]quota.Report{}
	for id, report := range reports {
		if l.observe(now, now.Add(-report.Age), id, report.Announcement) {
			news = append(news, id)
		}
		if report.Announcement.Limited {
			usage[id] = report.Usage
		}
	}
	l.budget.OnPeerReports(now, ref, usage)
	return news
}

// Announcement returns what an Upstream announced last.
func (l *Limiter) Announcement(id core.UpstreamID) Announcement {
	if up := l.upstreams[id]; up != nil {
		return up.announcement
	}
	return Announcement{}
}

// OnPeerSilent reserves an even share for a peer whose heartbeats have stopped; since is the
// instant of the last one.
func (l *Limiter) OnPeerSilent(now, since core.Instant, id core.InstanceID) {
	l.budget.OnPeerSilent(now, since, id)
}

// OnPeerTerminated removes a peer that is known to have terminated.
func (l *Limiter) OnPeerTerminated(now core.Instant, id core.InstanceID) {
	l.budget.OnPeerTerminated(now, id)
}

// OnPaused discards what accumulated while the process did not run, since peers have used it.
func (l *Limiter) OnPaused(now core.Instant) { l.budget.Empty(now) }
