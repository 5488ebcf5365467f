package dispatch

import (
	"slices"
	"strings"

	"github.com/rhubarbsill/rhubarbsill/pkg/core"
)

// SetEvacuated replaces the DataCentres to whose Upstreams nothing more is to be sent. Requests in
// progress there go on.
func (d *Dispatcher) SetEvacuated(now core.Instant, dataCentres []core.DataCentreName) []Output {
	d.evacuated = make(map[core.DataCentreName]bool, len(dataCentres))
	for _, dc := range dataCentres {
		d.evacuated[dc] = true
	}
	for _, up := range d.upstreams {
		up.evacuated = d.evacuated[up.DataCentre]
	}
	return d.placeQueue(now)
}

// refusalIfEvacuated returns the refusal of a job if every Upstream that runs it leaves or is in an
// evacuated DataCentre, and at least one is. Retries are refused as well: an evacuation lasts until
// its operator ends it, mostly for longer than callers wait.
func (d *Dispatcher) refusalIfEvacuated(j *job) *core.Refusal {
	var dataCentres []string
	for _, up := range d.byService[j.Service] {
		switch {
		case !up.runs(j.IsModelRequest):
		case up.evacuated:
			dataCentres = append(dataCentres, string(up.DataCentre))
		case !up.leaves():
			return nil
		}
	}
	if len(dataCentres) == 0 {
		return nil
	}
	slices.Sort(dataCentres)
	refusal := core.NewRefusal(core.CodeNoUpstream,
		"all Upstreams of the service are in evacuated data centres: "+strings.Join(slices.Compact(dataCentres), ", "))
	refusal.RetryAfter = d.retryAfter()
	return refusal
}
