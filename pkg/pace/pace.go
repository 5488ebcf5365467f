// Package pace estimates for each Upstream how long work takes there relative to what is usual for
// its service and stage: 1 is usual, 2 takes twice as long. It is pure: every call passes the current
// instant.
//
// There are two sources. Durations that answers show are compared with the median of the Upstreams
// that do the same work; they are accurate on average and late. The figure that an Upstream states
// itself is up to date and may be false. A stated figure counts while it is fresh and within a
// bound of the measured one. Both decay, so that an Upstream that gets no requests because of its
// estimate is tried again. A wrong estimate costs time.
package pace

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"time"

	"github.com/rhubarbsill/rhubarbsill/pkg/catalog"
	"github.com/rhubarbsill/rhubarbsill/pkg/core"
)

// Load is what one answer states about the load of its Upstream.
type Load struct {
	// Stated is set when the answer states a load. The other fields are 0 otherwise.
	Stated  bool
	Running int
	Waiting int
	// Places is the number of requests that the Upstream runs at a time.
	Places int
	// Pace is the stated duration of work relative to the usual, 0 if the answer does not state it.
	Pace float64
}

// Group is what an Upstream is compared with: the others that do the same work.
type Group struct {
	Service core.ServiceName
	Stage   catalog.Stage
}

const (
	// measuredHalfLife is the time in which a measured duration loses half of its weight.
	// In the largest fleet, an Instance sees an answer of one engine about every 30 s, which is too
	// few for an estimate; in the small ones, it sees several a second.
	measuredHalfLife = 10 * time.Second
	// priorWeight is the weight of the assumption that an Upstream is usual, in durations.
	priorWeight = 2.0
	// maxWeight bounds the weight of all earlier durations, so that a change shows within about
	// as many answers.
	maxWeight = 8.0
	// minComparedWeight is the weight from which an Upstream counts in the median.
	minComparedWeight = 0.5
	// baselineInterval is the shortest time between two computations of a median.
	baselineInterval = 500 * time.Millisecond
	// settledDurations is the number of durations in a group before which the median is computed with
	// each of them and bounds none: the first one may be far from the usual.
	settledDurations = 32
	// maxDurationFactor bounds what one duration counts, relative to the median.
	maxDurationFactor = 8.0

	// A stated figure counts in full for statedFresh, and then loses half of its weight every
	// statedHalfLife. Plain replicas are slow for periods of about 600 ms.
	statedFresh    = 250 * time.Millisecond
	statedHalfLife = 500 * time.Millisecond
	// An Upstream that stated a slow pace is suspect for suspectTime.
	suspectTime = 3 * time.Second
	// A stated figure outside of these bounds counts as the bound. The lower one limits what an
	// Upstream can draw by a false figure.
	minStated = 0.7
	maxStated = 8.0
	// maxStatedStep bounds how far one figure moves the stated pace, as a factor.
	maxStatedStep = 2.0
	// A stated figure moves the estimate at most by these factors from the measured pace, once that
	// is known from knownWeight durations.
	maxStatedSlower = 5.0
	maxStatedFaster = 2.0
	knownWeight     = 2.0

	// errorMargin is the factor within which an estimate counts as usual. Estimates beyond it are
	// rounded to powers of resolution, so that Upstreams of about the same pace are equal and not
	// all Instances prefer the same one.
	errorMargin = 1.2
	resolution  = 1.25
)

var (
	logErrorMargin = math.Log(errorMargin)
	logResolution  = math.Log(resolution)
)

// Registry holds the estimates of one Instance. It is not safe for concurrent use. A nil Registry
// takes all Upstreams as usual.
type Registry struct {
	upstreams map[core.UpstreamID]*estimate
	groups    map[Group]*group
	// informed holds the Upstreams of which something is known.
	informed map[core.UpstreamID]*estimate
	log      transitionLog
}

// estimate is what is known of one process of an Upstream.
type estimate struct {
	catalog.Upstream
	group *group
	since core.Instant // when it was registered here first

	// sum and weight are those of the logarithms of the durations as of measuredAt.
	sum        float64
	weight     float64
	measuredAt core.Instant

	stated   float64 // logarithm
	statedAt core.Instant
	hasState bool

	transition
}

// group is what the Upstreams of a service and stage have in common.
type group struct {
	// baseline is the median of the mean logarithms of the durations of the members.
	baseline    float64
	hasBaseline bool
	computedAt  core.Instant
	observed    int // durations, up to settledDurations
	members     []*estimate
}

// New returns a Registry without Upstreams.
func New() *Registry {
	return &Registry{upstreams: map[core.UpstreamID]*estimate{}, groups: map[Group]*group{}, informed: map[core.UpstreamID]*estimate{}}
}

// SetUpstreams replaces the registered Upstreams. One that is still the same process keeps its
// estimate; the estimate of another process says nothing about it.
func (r *Registry) SetUpstreams(now core.Instant, list []catalog.Upstream) {
	if r == nil {
		return
	}
	known, informed := r.upstreams, r.informed
	r.upstreams = make(map[core.UpstreamID]*estimate, len(list))
	r.informed = map[core.UpstreamID]*estimate{}
	for _, g := range r.groups {
		g.members = g.members[:0]
	}
	for _, up := range list {
		e := known[up.ID]
		if e == nil || !e.SameProcess(up) || e.Service != up.Service || e.Stage != up.Stage {
			e = &estimate{since: now}
		}
		e.Upstream, e.group = up, r.groupOf(Group{up.Service, up.Stage})
		e.group.members = append(e.group.members, e)
		r.upstreams[up.ID] = e
		if informed[up.ID] == e {
			r.informed[up.ID] = e
		}
	}
	for key, g := range r.groups {
		if len(g.members) == 0 {
			delete(r.groups, key)
		}
	}
}

func (r *Registry) groupOf(key Group) *group {
	g := r.groups[key]
	if g == nil {
		g = &group{}
		r.groups[key] = g
	}
	return g
}

// ObserveDuration takes over how long work took at an Upstream, in seconds for each unit of work,
// from a request that was sent at sentAt. weight is at most 1, and lower for a duration that says
// less about the Upstream, because other work was ahead of it.
func (r *Registry) ObserveDuration(now core.Instant, id core.UpstreamID, sentAt core.Instant, seconds, weight float64) {
	if r == nil {
		return
	}
	e := r.upstreams[id]
	if e == nil || sentAt < e.since || !(seconds > 0) || math.IsInf(seconds, 1) || !(weight > 0) {
		return
	}
	weight = min(weight, 1)
	value := math.Log(seconds)
	if e.group.observed >= settledDurations {
		bound := math.Log(maxDurationFactor)
		value = e.group.baseline + min(max(value-e.group.baseline, -bound), bound)
	}
	decay := halvings(now.Sub(e.measuredAt), measuredHalfLife)
	e.sum, e.weight = e.sum*decay+value*weight, e.weight*decay+weight
	if e.weight > maxWeight {
		e.sum, e.weight = e.sum*maxWeight/e.weight, maxWeight
	}
	e.measuredAt = now
	r.informed[id] = e
	e.group.update(now)
}

// ObserveLoad takes over what an answer to a request that was sent at sentAt states about the
// Upstream at an address. It reports false if the answer is that of another process.
func (r *Registry) ObserveLoad(now core.Instant, id core.UpstreamID, addr string, sentAt core.Instant, load Load) bool {
	if r == nil || !load.Stated {
		return false
	}
	e := r.upstreams[id]
	if e == nil || e.Addr != addr || sentAt < e.since {
		return false
	}
	if load.Pace > 0 {
		value := math.Log(min(max(load.Pace, minStated), maxStated))
		before := 0.0
		if e.hasState {
			before = e.stated * e.statedWeight(now)
		}
		step := math.Log(maxStatedStep)
		e.stated, e.statedAt, e.hasState = before+min(max(value-before, -step), step), now, true
		r.informed[id] = e
	}
	return true
}

// update computes the median of the members. It is the usual of the group.
func (g *group) update(now core.Instant) {
	g.observed = min(g.observed+1, settledDurations)
	if g.observed == settledDurations && now.Sub(g.computedAt) < baselineInterval {
		return
	}
	means := make([]float64, 0, len(g.members))
	for _, e := range g.members {
		if e.weightAt(now) >= minComparedWeight {
			means = append(means, e.sum/e.weight)
		}
	}
	if len(means) == 0 {
		return
	}
	slices.Sort(means)
	middle := len(means) / 2
	g.baseline = (means[middle] + means[(len(means)-1)/2]) / 2
	g.hasBaseline, g.computedAt = true, now
}

// halvings returns the part that is left of a weight after a time.
func halvings(age, halfLife time.Duration) float64 {
	if age <= 0 {
		return 1
	}
	return math.Exp2(-age.Seconds() / halfLife.Seconds())
}

func (e *estimate) weightAt(now core.Instant) float64 {
	return e.weight * halvings(now.Sub(e.measuredAt), measuredHalfLife)
}

func (e *estimate) statedWeight(now core.Instant) float64 {
	return halvings(now.Sub(e.statedAt)-statedFresh, statedHalfLife)
}

// logPace returns the logarithm of the estimate.
func (e *estimate) logPace(now core.Instant) float64 {
	measured, weight := 0.0, e.weightAt(now)
	if weight > 0 && e.group.hasBaseline {
		bound := math.Log(maxDurationFactor)
		relative := min(max(e.sum/e.weight-e.group.baseline, -bound), bound)
		measured = relative * weight / (weight + priorWeight)
	}
	if !e.hasState {
		return measured
	}
	stated := e.stated
	if weight >= knownWeight {
		stated = min(max(stated, measured-math.Log(maxStatedFaster)), measured+math.Log(maxStatedSlower))
	}
	share := e.statedWeight(now)
	return share*stated + (1-share)*measured
}

// Pace returns how long work takes at an Upstream relative to the usual. Estimates within the
// error margin are equal.
func (r *Registry) Pace(now core.Instant, id core.UpstreamID) float64 {
	if r == nil {
		return 1
	}
	if e := r.informed[id]; e != nil {
		return e.pace(now)
	}
	return 1
}

func (e *estimate) pace(now core.Instant) float64 { return rounded(e.logPace(now)) }

func rounded(logPace float64) float64 {
	if math.Abs(logPace) < logErrorMargin {
		return 1
	}
	return math.Exp(logResolution * math.Round(logPace/logResolution))
}

// suspected returns the last stated pace without its decay if it is recent, else the pace.
func (e *estimate) suspected(now core.Instant) float64 {
	if !e.hasState || now.Sub(e.statedAt) >= suspectTime {
		return e.pace(now)
	}
	return max(rounded(e.stated), e.pace(now))
}

// Suspected returns the pace by which an Upstream should get a request while another one is there that
// will show whether it is still slow. It is the last stated pace, which Pace lets decay so that the
// Upstream is tried again: a slow answer takes long, and many requests would follow the first.
func (r *Registry) Suspected(now core.Instant, id core.UpstreamID) float64 {
	if r == nil {
		return 1
	}
	if e := r.informed[id]; e != nil {
		return e.suspected(now)
	}
	return 1
}

// Informed calls visit with Pace and Suspected of each Upstream of which something is known, in no
// order.
func (r *Registry) Informed(now core.Instant, visit func(id core.UpstreamID, pace, suspected float64)) {
	if r == nil {
		return
	}
	for id, e := range r.informed {
		if e.weightAt(now) < forgottenWeight && (!e.hasState || e.statedWeight(now) < forgottenWeight) {
			delete(r.informed, id)
			visit(id, 1, 1)
			continue
		}
		visit(id, e.pace(now), e.suspected(now))
	}
}

// forgottenWeight is the weight below which nothing is known of an Upstream.
const forgottenWeight = 0.02

// Usual returns the usual duration of a unit of work of a group, 0 if it is not known.
func (r *Registry) Usual(key Group) time.Duration {
	if r == nil || r.groups[key] == nil || !r.groups[key].hasBaseline {
		return 0
	}
	return time.Duration(math.Exp(r.groups[key].baseline) * float64(time.Second))
}

// Spread is how different the Upstreams of a group are.
type Spread struct {
	Group
	Slowest float64
	Fastest float64
	// Slow counts the Upstreams that have turned slow.
	Slow int
}

// Spreads returns the spread of each group, sorted. Upstreams of which nothing is known are usual.
func (r *Registry) Spreads(now core.Instant) []Spread {
	if r == nil {
		return nil
	}
	var spreads []Spread
	for key, g := range r.groups {
		s := Spread{Group: key, Slowest: 1, Fastest: 1}
		for i, e := range g.members {
			pace := 1.0
			if r.informed[e.ID] != nil {
				pace = e.pace(now)
			}
			if i == 0 {
				s.Slowest, s.Fastest = pace, pace
			}
			s.Slowest, s.Fastest = max(s.Slowest, pace), min(s.Fastest, pace)
			if e.slow {
				s.Slow++
			}
		}
		spreads = append(spreads, s)
	}
	slices.SortFunc(spreads, func(a, b Spread) int {
		return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.Stage, b.Stage))
	})
	return spreads
}

// Describe describes the estimate of an Upstream, for the log.
func (r *Registry) Describe(now core.Instant, id core.UpstreamID) string {
	e := r.upstreams[id]
	if e == nil {
		return ""
	}
	stated := "none"
	if e.hasState {
		stated = fmt.Sprintf("%.2f stated_age=%s", math.Exp(e.stated), now.Sub(e.statedAt).Round(time.Millisecond))
	}
	return fmt.Sprintf("pace=%.2f measured_weight=%.1f stated=%s", math.Exp(e.logPace(now)), e.weightAt(now), stated)
}
