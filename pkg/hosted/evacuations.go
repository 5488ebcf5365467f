package hosted

import (
	"context"
	"errors"

	"github.com/rhubarbsill/rhubarbsill/pkg/evacuation"
	"github.com/rhubarbsill/rhubarbsill/pkg/router"
)

// readEvacuations makes one call of the store and posts its result. The Router decides when the next
// one is due, so there is one at a time.
func (d *Daemon) readEvacuations(ctx context.Context, call evacuation.Call) {
	callCtx, cancel := d.watches.start(ctx, call.After.Era, call.Timeout)
	result, err := d.callForEvacuations(callCtx, call)
	isEnded := context.Cause(callCtx) == errWatchEnded
	cancel()
	switch {
	case err == nil:
		d.evacuationHealth.recordSuccess()
		d.post(router.EvacuationsRead{Result: result})
	case ctx.Err() != nil:
	case errors.Is(err, ErrCompacted) || isEnded:
		d.post(router.EvacuationsCallFailed{HistoryLost: true})
	case d.evacuationHealth.recordFailureAndWait(ctx, err):
		d.post(router.EvacuationsCallFailed{})
	}
}

// errUnknownKind replaces ErrNotFound, after which a call is repeated sooner: nobody is about to create
// a kind.
var errUnknownKind = errors.New("the store does not know the kind")

func (d *Daemon) callForEvacuations(ctx context.Context, call evacuation.Call) (evacuation.Result, error) {
	var result evacuation.Result
	var err error
	if call.Watch {
		result.Changes, result.At, err = d.adapter.Store.WatchEvacuations(ctx, call.After, call.Wait)
	} else {
		result.Listed, result.At, err = d.adapter.Store.ListEvacuations(ctx)
	}
	if errors.Is(err, ErrNotFound) {
		err = errUnknownKind
	}
	return result, err
}

// recordEvacuationGauges sets the metrics of evacuations, to 0 for those that have ended.
func (d *Daemon) recordEvacuationGauges(gauges *router.EvacuationGauges) {
	if gauges == nil {
		return
	}
	d.metrics.SetEvacuationAge(gauges.Age)
	for dc := range d.evacuatedBefore {
		if _, found := gauges.Requests[dc]; !found {
			d.metrics.SetEvacuatedRequests(dc, 0)
		}
	}
	for dc, n := range gauges.Requests {
		d.metrics.SetEvacuatedRequests(dc, n)
	}
	d.evacuatedBefore = gauges.Requests
}
