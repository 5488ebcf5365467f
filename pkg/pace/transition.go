package pace

import (
	"fmt"
	"slices"
	"time"

	"github.com/rhubarbsill/rhubarbsill/pkg/core"
)

const (
	// An Upstream has turned slow when its pace was above slowPace for settleTime, and usual again
	// when it was below usualPace for as long. Shorter periods are not reported.
	slowPace   = 1.5
	usualPace  = 1.3
	settleTime = 2 * time.Second
	// checkInterval is the time between two checks.
	checkInterval = time.Second
	// maxTransitionsPerCheck bounds the reports of one check. A whole service that turns slow would
	// fill the log otherwise.
	maxTransitionsPerCheck = 3
)

// transition is the part of an estimate that reports to the log.
type transition struct {
	slow bool
	// otherSince is the instant since which the pace contradicts slow, 0 if it does not.
	otherSince core.Instant
}

type transitionLog struct {
	nextCheckAt core.Instant
}

// Transition says that an Upstream has turned slow or is usual again.
type Transition struct {
	Upstream core.UpstreamID
	Slow     bool
	Detail   string
}

// Transitions returns the Upstreams that have turned slow or usual since the last call, at most a few
// each second, and the number of those that are left out.
func (r *Registry) Transitions(now core.Instant) (list []Transition, leftOut int) {
	if r == nil || now < r.log.nextCheckAt {
		return nil, 0
	}
	r.log.nextCheckAt = now.Add(checkInterval)
	var turned []core.UpstreamID
	for id, e := range r.upstreams {
		pace := 1.0
		if r.informed[id] != nil {
			pace = e.pace(now)
		}
		contradicts := pace > slowPace
		if e.slow {
			contradicts = pace < usualPace
		}
		switch {
		case !contradicts:
			e.otherSince = 0
		case e.otherSince == 0:
			e.otherSince = now
		case now.Sub(e.otherSince) >= settleTime:
			e.slow, e.otherSince = !e.slow, 0
			turned = append(turned, id)
		}
	}
	slices.Sort(turned)
	for i, id := range turned {
		if i == maxTransitionsPerCheck {
			return list, len(turned) - i
		}
		e := r.upstreams[id]
		detail := fmt.Sprintf("service=%s stage=%s %s", e.Service, e.Stage, r.Describe(now, id))
		list = append(list, Transition{Upstream: id, Slow: e.slow, Detail: detail})
	}
	return list, 0
}
