package router

import (
	"strconv"
	"time"

	"github.com/rhubarbsill/rhubarbsill/pkg/core"
	"github.com/rhubarbsill/rhubarbsill/pkg/fleet"
)

// delayedLogInterval is the shortest time between two log lines about delayed heartbeats, and
// between two about empty address responses. Both come in bursts.
const delayedLogInterval = time.Second

// delayedHeartbeatLog bounds the log lines about delayed heartbeats.
type delayedHeartbeatLog struct {
	at     core.Instant // the last line
	logged int64        // the count in it
}

// logDelayedHeartbeats logs that heartbeats were ignored because they were made long ago.
func (h *hosted) logDelayedHeartbeats(now core.Instant, from core.InstanceRef) {
	count := h.fleet.LivenessCounts(now).DelayedHeartbeats
	if count == h.delayedLog.logged || h.delayedLog.at != 0 && now.Sub(h.delayedLog.at) < delayedLogInterval {
		return
	}
	h.recordEvent(now, "fleet", "delayed heartbeats ignored", "last="+from.String()+" count="+strconv.FormatInt(count-h.delayedLog.logged, 10))
	h.delayedLog = delayedHeartbeatLog{at: now, logged: count}
}

// logEmptyAnswer logs that an address query was answered without addresses.
func (h *hosted) logEmptyAnswer(now core.Instant, e CallerAddressesRequested, query fleet.AddressQuery) {
	if h.emptyAnswerLogAt != 0 && now.Sub(h.emptyAnswerLogAt) < delayedLogInterval {
		return
	}
	h.emptyAnswerLogAt = now
	h.recordEvent(now, "directory", "no instance", "region="+string(query.Region)+" data_centre="+string(query.DataCentre)+
		" allowed=["+query.Allowed.String()+"] fallback=["+query.Fallback.String()+"] host="+strconv.QuoteToASCII(e.Host[:min(len(e.Host), 80)]))
}
