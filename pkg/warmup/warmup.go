// Package warmup keeps the fleet below the rate that a cold Upstream can take. An Upstream that has
// just started, or has become cold again, states for how long it stays cold. It is pure: every call
// passes the current instant.
//
// The limit of a cold Upstream is Rate x Params.Overage + Params.Slack requests in any second, of all
// Instances together. There are no messages: each Instance decides from the members that it knows.
//
//   - The budget of an Upstream is half of its limit, and at most its rate.
//   - The senders of an Upstream are the members of highest hash of member and Upstream, as many as
//     the budget has requests, or all members if there are fewer.
//   - Each sender has an equal number of places. A request takes one, and a place is free again
//     ReuseTime after its last request. A hold and its run share a place. In any second a place
//     therefore covers one request, or two at a decode engine, for which the budget is halved.
//
// So the senders of one view of the fleet send at most the budget in any second, whatever their
// clocks show: only durations are measured, and ReuseTime allows for a clock that is 2% fast.
//
// Views may differ. Let C be the members that are in all of them. A sender has fewer members of
// higher hash than there are senders, in its own view and hence in C. The senders of all views
// together are therefore those of C, and members outside C that precede some of these: if a part p
// of the members is not in all views, 1/(1-p) times as many on average. Half of the limit is left for
// that, for Instances that do not know yet that the Upstream is cold, and for the runs of holds that an
// engine granted before: it has as many as its slots and memory allow, and each runs once. Members leave a view only
// when the complete list of the store lacks them and no heartbeats of them arrive, never because they
// are silent, so a partition changes no view. A member is hashed by its ID, so that a restart changes
// none either. An Instance that has just started has no free places for ReuseTime, in which the last
// requests of its predecessor count, and waits for settleTime until it knows the others.
package warmup

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/rhubarbsill/rhubarbsill/pkg/catalog"
	"github.com/rhubarbsill/rhubarbsill/pkg/core"
)

// Params define the limit of a cold Upstream. The zero value selects the defaults.
type Params struct {
	// Overage is the multiple of the rate that the Upstream may get in a second, and Slack the
	// number of requests in addition.
	Overage float64
	Slack   float64
}

// The limit that platforms use unless their settings state another one.
const (
	DefaultOverage = 1.5
	DefaultSlack   = 5
)

const (
	// views is the number of differing views of the fleet for which the limit has room.
	views = 2
	// window is the time in which the requests to an Upstream are counted.
	window = time.Second
	// ReuseTime is the time after which a place is used again: 2% more than the window, because a clock
	// may be fast and transit times vary.
	ReuseTime = window + window/50
	// requestsOfRun is the number of requests of a place at a decode engine: the hold, and the run or
	// the release of the hold.
	requestsOfRun = 2
	// earlyViews is the number of differing views of the fleet for which the limit has room beside the
	// runs of holds that were granted before the cold time: a quarter of the members in not all views.
	earlyViews = 4.0 / 3
	// holdTime bounds the time from the request for a hold to the run that uses it.
	holdTime = 2 * time.Second
	// settleTime is the time from the start of an Instance until it uses its places. In a fleet that
	// starts as a whole, the others register and send heartbeats in that time.
	settleTime = 3 * time.Second
	// joinTime is the time over which the Instances that are no senders return to an Upstream that is
	// warm again, each at its own instant. Otherwise all would find it empty at the same time and send
	// it what waits.
	joinTime = time.Second
	// MaxColdTime bounds the stated time. A longer one counts as this.
	MaxColdTime = 10 * time.Minute
	// maxNamed bounds the Upstreams in a log line.
	maxNamed = 4
)

// Registry holds the cold Upstreams that one Instance knows of. It is not safe for concurrent use.
type Registry struct {
	params    Params
	self      core.InstanceID
	selfHash  uint64
	startedAt core.Instant
	// members holds the hash of each known Instance but this one.
	members map[core.InstanceID]uint64
	// complete is set once the members of the store were listed.
	complete bool
	rates    map[core.ServiceName]float64
	cold     map[core.UpstreamID]*Upstream
	sent     int
	deferred int
	early    int
}

// Upstream is a cold Upstream, or one that was cold until a moment ago.
type Upstream struct {
	registry *Registry
	id       core.UpstreamID
	hash     uint64
	service  core.ServiceName
	isDecode bool

	since core.Instant
	until core.Instant
	born  int64 // of the process that stated until
	// limitedUntil is the end of the time in which this Instance uses only its places, 0 if it uses the
	// Upstream like others. Each Instance draws another one by hash, within joinTime after until.
	limitedUntil core.Instant
	// ahead is the number of members whose hash precedes that of this Instance. isSender is set if it
	// is below the number of senders.
	ahead    int
	isSender bool
	places   []place
	reuse    time.Duration
	sent     int
	deferred int
}

// place is used by one request, or by a hold and its run.
type place struct {
	freeAt core.Instant
	holder core.RequestID // of a hold whose run was not sent yet
}

// New returns a Registry without cold Upstreams. An Instance that has just started passes the current
// instant.
func New(now core.Instant, self core.InstanceID, p Params) *Registry {
	if p == (Params{}) {
		p = Params{Overage: DefaultOverage, Slack: DefaultSlack}
	}
	return &Registry{
		params: p, self: self, selfHash: memberHash(self), startedAt: now,
		members: map[core.InstanceID]uint64{}, rates: map[core.ServiceName]float64{}, cold: map[core.UpstreamID]*Upstream{},
	}
}

func memberHash(id core.InstanceID) uint64 { return xxhash.Sum64String("cold member\n" + string(id)) }

// rank returns the hash that orders the members at an Upstream. It is the finalizer of SplitMix64.
func rank(upstream, member uint64) uint64 {
	x := upstream ^ member
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

// Limit returns the number of requests that a cold Upstream of a rate may get in a second.
func (p Params) Limit(rate float64) float64 { return rate*p.Overage + p.Slack }

// SetMembers replaces the known Instances by those that the store lists or that are heard.
func (r *Registry) SetMembers(ids []core.InstanceID) {
	known := make(map[core.InstanceID]bool, len(ids))
	for _, id := range ids {
		known[id] = true
		r.AddMember(id)
	}
	for id, hash := range r.members {
		if known[id] {
			continue
		}
		delete(r.members, id)
		for _, up := range r.cold {
			up.countMember(hash, -1)
		}
	}
	r.complete = true
	r.resize()
}

// AddMember adds an Instance that is heard.
func (r *Registry) AddMember(id core.InstanceID) {
	if _, known := r.members[id]; known || id == r.self {
		return
	}
	hash := memberHash(id)
	r.members[id] = hash
	for _, up := range r.cold {
		up.countMember(hash, 1)
		up.resize()
	}
}

func (u *Upstream) countMember(hash uint64, n int) {
	if rank(u.hash, hash) > rank(u.hash, u.registry.selfHash) {
		u.ahead += n
	}
}

// SetRates sets the requests per second that a cold Upstream of each service takes. Those of other
// services are never cold.
func (r *Registry) SetRates(rates map[core.ServiceName]float64) {
	r.rates = rates
	r.resize()
}

func (r *Registry) resize() {
	for _, up := range r.cold {
		up.resize()
	}
}

// share returns the number of places of each sender, and the number of senders.
func (r *Registry) share(rate float64, isDecode bool) (places, senders int) {
	requests := 1.0
	if isDecode {
		requests = requestsOfRun
	}
	budget := min(r.params.Limit(rate)/views, rate) / requests
	senders = max(1, min(len(r.members)+1, int(budget)))
	return max(1, int(budget/float64(senders))), senders
}

// resize adapts what follows from the rate, from the members and from the cold time.
func (u *Upstream) resize() {
	rate := u.registry.rates[u.service]
	u.isSender, u.limitedUntil = false, 0
	if rate <= 0 {
		return
	}
	fraction := float64(rank(^u.hash, u.registry.selfHash)>>11) / (1 << 53)
	u.limitedUntil = u.until.Add(time.Duration(fraction * float64(joinTime)))
	places, senders := u.registry.share(rate, u.isDecode)
	u.isSender = u.registry.complete && u.ahead < senders
	u.reuse = ReuseTime
	if requests := u.requestsOfPlace(); rate < requests { // a single place would exceed the rate
		u.reuse = time.Duration(requests / rate * float64(ReuseTime))
	}
	for len(u.places) < places {
		u.places = append(u.places, place{freeAt: u.registry.startedAt.Add(u.reuse)})
	}
	if len(u.places) > places {
		// The places that are free last stay, so that what was sent stays counted.
		slices.SortFunc(u.places, func(a, b place) int { return cmp.Compare(b.freeAt, a.freeAt) })
		u.places = u.places[:places]
	}
}

func (u *Upstream) requestsOfPlace() float64 {
	if u.isDecode {
		return requestsOfRun
	}
	return 1
}

// SetUpstreams replaces the registered Upstreams; ColdFor is the remaining time now. An Upstream that
// is no longer registered keeps its places for as long as they are in use, since it may come back.
func (r *Registry) SetUpstreams(now core.Instant, list []catalog.Upstream) {
	for _, up := range list {
		r.Update(now, up)
	}
	for id, up := range r.cold {
		if !up.IsCold(now) && !up.inUse(now) {
			delete(r.cold, id)
		}
	}
}

// Update takes over the remaining time of one Upstream from its entry. It reports whether the Upstream
// was not known to be cold. An entry shortens the time only if it is that of a later process: it may
// have been written before the time was stated, or may come from an older copy of the store. An
// Upstream that is warm earlier than it has stated loses some traffic meanwhile.
func (r *Registry) Update(now core.Instant, entry catalog.Upstream) bool {
	known := r.cold[entry.ID]
	if entry.ColdFor <= 0 && known == nil || r.rates[entry.Service] <= 0 {
		return false
	}
	until := now.Add(min(entry.ColdFor, MaxColdTime))
	wasCold := known != nil && now < known.until
	if known == nil || until > known.until || entry.Born > known.born {
		r.set(now, entry, until)
	}
	return !wasCold && now < until
}

func (r *Registry) set(now core.Instant, entry catalog.Upstream, until core.Instant) {
	up := r.cold[entry.ID]
	if up == nil {
		up = &Upstream{registry: r, id: entry.ID, hash: xxhash.Sum64String("cold upstream\n" + string(entry.ID))}
		for _, hash := range r.members {
			up.countMember(hash, 1)
		}
		r.cold[entry.ID] = up
	}
	if now >= up.until {
		up.since, up.sent, up.deferred = now, 0, 0
	}
	up.service, up.isDecode = entry.Service, entry.Stage == catalog.StageDecode
	up.until, up.born = until, max(up.born, entry.Born)
	up.resize()
}

// State returns what is known of a cold Upstream, nil for one that was never cold.
func (r *Registry) State(id core.UpstreamID) *Upstream { return r.cold[id] }

// IsCold reports whether an Upstream is cold, or was so until a moment ago.
func (r *Registry) IsCold(now core.Instant, id core.UpstreamID) bool { return r.cold[id].IsCold(now) }

// IsCold reports whether requests to the Upstream are limited. It is safe to call on nil.
func (u *Upstream) IsCold(now core.Instant) bool { return u != nil && now < u.limitedUntil }

func (u *Upstream) inUse(now core.Instant) bool {
	return slices.ContainsFunc(u.places, func(p place) bool { return now < p.freeAt })
}

// Wait returns the time until this Instance may send the Upstream a request, 0 if it may now. It is
// safe to call on nil.
func (u *Upstream) Wait(now core.Instant) time.Duration {
	if !u.IsCold(now) {
		return 0
	}
	warm := u.limitedUntil
	if !u.isSender {
		return warm.Sub(now)
	}
	first := warm
	for _, p := range u.places {
		first = min(first, p.freeAt)
	}
	first = max(first, min(warm, u.registry.startedAt.Add(settleTime)))
	return max(0, first.Sub(now))
}

// AppendWaits appends the expected time until each place of this Instance is free, or until the
// Upstream is warm if that is sooner. The run that ends the use of a place is expected soon.
func (u *Upstream) AppendWaits(now core.Instant, waits []time.Duration) []time.Duration {
	warm := max(0, u.limitedUntil.Sub(now))
	if !u.isSender {
		return append(waits, warm)
	}
	for _, p := range u.places {
		wait := max(0, p.freeAt.Sub(now))
		if p.holder != "" {
			wait = min(wait, u.reuse)
		}
		waits = append(waits, min(warm, wait))
	}
	return waits
}

// Take counts a request that is sent now. The place of a hold stays taken until OnRun or Return, or
// until the hold has expired. It is safe to call on nil.
func (u *Upstream) Take(now core.Instant, id core.RequestID) {
	if !u.IsCold(now) {
		return
	}
	u.countSent()
	free := slices.IndexFunc(u.places, func(p place) bool { return now >= p.freeAt })
	if free < 0 {
		return
	}
	u.places[free] = place{freeAt: now.Add(u.reuse)}
	if u.isDecode {
		u.places[free] = place{freeAt: now.Add(holdTime + u.reuse), holder: id}
	}
}

func (u *Upstream) countSent() {
	u.sent++
	u.registry.sent++
}

// Return ends the use of the place of a hold that was refused. It is safe to call on nil.
func (u *Upstream) Return(now core.Instant, id core.RequestID) {
	if p := u.placeOf(id); p != nil {
		*p = place{freeAt: min(p.freeAt, now.Add(u.reuse))}
	}
}

func (u *Upstream) placeOf(id core.RequestID) *place {
	if u == nil {
		return nil
	}
	for i := range u.places {
		if u.places[i].holder == id && id != "" {
			return &u.places[i]
		}
	}
	return nil
}

// Defer counts a request that was not sent to the Upstream because of its limit.
func (u *Upstream) Defer() {
	u.deferred++
	u.registry.deferred++
}

// AllowRun reports whether the last request of a hold may be sent now, its run or its release, and
// counts it if so. A hold that was granted while the Upstream was warm has no place. The engine has at
// most atMost unused holds of at least its size, each with one last request; where the limit has room
// for these beside the places, they may be sent. Otherwise such a request needs a free place.
func (r *Registry) AllowRun(now core.Instant, up core.UpstreamID, id core.RequestID, atMost int) bool {
	u := r.cold[up]
	switch {
	case !u.IsCold(now):
		return true
	case u.placeOf(id) != nil:
		u.countSent()
		u.Return(now, id) // the run is the last request of the place
	case atMost <= u.earlyRoom():
		u.countSent()
		r.early++
	case u.Wait(now) > 0:
		u.Defer()
		return false
	default:
		u.Take(now, id)
		u.Return(now, id)
	}
	return true
}

// earlyRoom returns the number of requests in a second for which the limit has room beside those that
// the places cover.
func (u *Upstream) earlyRoom() int {
	rate := u.registry.rates[u.service]
	places, senders := u.registry.share(rate, u.isDecode)
	covered := float64(places*senders) * u.requestsOfPlace()
	return int(u.registry.params.Limit(rate) - covered*earlyViews)
}

// Summary counts the cold Upstreams, for logs and metrics.
type Summary struct {
	// Cold is the number of cold Upstreams, Sending that of those to which this Instance may send.
	Cold    int
	Sending int
	// Sent and Deferred count the requests to cold Upstreams since the start of the Instance. A
	// request counts as deferred at each cold Upstream that it passed by when it arrived.
	Sent     int
	Deferred int
	// Early counts the runs and releases, among those sent, of holds granted before the cold time.
	Early int
}

// Summary returns the counts of cold Upstreams.
func (r *Registry) Summary(now core.Instant) Summary {
	s := Summary{Sent: r.sent, Deferred: r.deferred, Early: r.early}
	for _, up := range r.cold {
		if now < up.until && r.rates[up.service] > 0 {
			s.Cold++
			if up.isSender {
				s.Sending++
			}
		}
	}
	return s
}

// DescribeColdest describes the Upstreams with the longest remaining time, for the log.
func (r *Registry) DescribeColdest(now core.Instant) []string {
	var cold []*Upstream
	for _, up := range r.cold {
		if now < up.until {
			cold = append(cold, up)
		}
	}
	slices.SortFunc(cold, func(a, b *Upstream) int { return cmp.Or(cmp.Compare(b.until, a.until), cmp.Compare(a.id, b.id)) })
	var described []string
	for _, up := range cold[:min(maxNamed, len(cold))] {
		described = append(described, up.describe(now))
	}
	return described
}

// DescribeService describes up to limit cold Upstreams of a service, for the log.
func (r *Registry) DescribeService(now core.Instant, service core.ServiceName, limit int) []string {
	var described []string
	for _, up := range r.cold {
		if len(described) < limit && up.service == service && up.IsCold(now) {
			described = append(described, up.describe(now))
		}
	}
	slices.Sort(described)
	return described
}

// Describe describes an Upstream for the log, empty if it is warm.
func (r *Registry) Describe(now core.Instant, id core.UpstreamID) string {
	if up := r.cold[id]; up.IsCold(now) {
		return up.describe(now)
	}
	return ""
}

func (u *Upstream) describe(now core.Instant) string {
	return fmt.Sprintf("%s is cold for=%s remaining=%s sender=%t sent=%d deferred=%d",
		u.id, now.Sub(u.since), max(0, u.until.Sub(now)), u.isSender, u.sent, u.deferred)
}
