package dispatch

import (
	"github.com/rhubarbsill/rhubarbsill/pkg/core"
	"github.com/rhubarbsill/rhubarbsill/pkg/locality"
)

// Allows reports whether a set of regions allows an Upstream. An Upstream that is no longer
// registered, or whose DataCentre has no known region, is allowed only without a restriction.
func (d *Dispatcher) Allows(regions locality.Set, id core.UpstreamID) bool {
	if up := d.upstreams[id]; up != nil {
		return regions.Allows(up.region)
	}
	return !regions.Restricted()
}

// SetRegions replaces the regions of a job after a change of the configuration. PlaceAgain applies
// them to the waiting jobs.
func (d *Dispatcher) SetRegions(id core.RequestID, regions locality.Set) {
	if j := d.jobs[id]; j != nil {
		j.Regions = regions
	}
}

// PlaceAgain places the waiting jobs by conditions that have changed, and refuses those that can't
// be placed any more.
func (d *Dispatcher) PlaceAgain(now core.Instant) []Output { return d.placeQueue(now) }

// refusalByRegion returns the refusal of a job for which no Upstream is left in its regions, nil for
// others. Retries are refused too: they must not wait for an Upstream that the configuration
// excludes. Before the first list of Upstreams, jobs wait.
func (d *Dispatcher) refusalByRegion(j *job) *core.Refusal {
	if !j.Regions.Restricted() || !d.listed {
		return nil
	}
	for _, up := range d.byService[j.Service] {
		if up.runs(j.IsModelRequest) && !up.leaves() && j.Regions.Allows(up.region) {
			return nil
		}
	}
	refusal := core.NewRefusal(core.CodeNoUpstream, "no Upstream of the service is available in the allowed regions: "+j.Regions.String())
	refusal.RetryAfter = d.retryAfter()
	return refusal
}
