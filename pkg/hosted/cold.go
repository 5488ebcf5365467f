package hosted

import (
	"time"

	"github.com/rhubarbsill/rhubarbsill/pkg/catalog"
	"github.com/rhubarbsill/rhubarbsill/pkg/core"
	"github.com/rhubarbsill/rhubarbsill/pkg/warmup"
)

// agedAt returns the list for a peer that fetches it now: the cold times are what remains of them.
func (l *upstreamList) agedAt(now core.Instant) *upstreamList {
	aged := &upstreamList{Revision: l.Revision, Upstreams: make([]catalog.Upstream, len(l.Upstreams)), at: now}
	for i, up := range l.Upstreams {
		up.ColdFor = max(0, up.ColdFor-now.Sub(l.at))
		aged.Upstreams[i] = up
	}
	return aged
}

// coldBatchDelay replaces changeBatchDelay after changes that only say how cold times go on. Each cold
// engine writes its entry every 1.2 s, which ends the watches of all Instances, and each watch is billed.
const coldBatchDelay = time.Second

// coldEntries holds the entries of cold Upstreams that a watch has delivered.
type coldEntries map[core.UpstreamID]catalog.Upstream

// batchDelay returns the delay before the next watch after changes.
func (c coldEntries) batchDelay(changes []catalog.Change) time.Duration {
	delay := coldBatchDelay
	for _, change := range changes {
		known, cold := c[change.ID]
		if change.Upstream == nil || change.Upstream.ColdFor == 0 {
			delete(c, change.ID)
			delay = changeBatchDelay
			continue
		}
		c[change.ID] = *change.Upstream
		elapsed := known.ColdFor - change.Upstream.ColdFor
		if known.ColdFor = change.Upstream.ColdFor; !cold || known != *change.Upstream || elapsed < 0 {
			delay = changeBatchDelay
		}
	}
	return delay
}

// setColdGauges records the cold Upstreams and the requests to them since the last call.
func (d *Daemon) setColdGauges(s warmup.Summary) {
	d.metrics.SetColdUpstreams(s.Cold, s.Sending)
	d.metrics.AddColdRequests(s.Sent-d.lastCold.Sent, s.Deferred-d.lastCold.Deferred, s.Early-d.lastCold.Early)
	d.lastCold = s
}
