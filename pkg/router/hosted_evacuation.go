package router

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/rhubarbsill/rhubarbsill/pkg/attempts"
	"github.com/rhubarbsill/rhubarbsill/pkg/catalog"
	"github.com/rhubarbsill/rhubarbsill/pkg/core"
	"github.com/rhubarbsill/rhubarbsill/pkg/evacuation"
)

// EvacuationsRead is the answer of the store to a ReadEvacuations.
type EvacuationsRead struct{ Result evacuation.Result }

// EvacuationsCallFailed reports that a ReadEvacuations failed. It is sent after the wait that follows a
// failed call.
type EvacuationsCallFailed struct {
	// HistoryLost is set if the store answered that it does not have the changes, or if the call was
	// ended early.
	HistoryLost bool
}

// ReadEvacuations makes one call of the store. An EvacuationsRead or EvacuationsCallFailed follows.
type ReadEvacuations struct{ Call evacuation.Call }

func (EvacuationsRead) event()       {}
func (EvacuationsCallFailed) event() {}
func (ReadEvacuations) effect()      {}

const (
	// evacuationWaitTimeout bounds the time for which the first requests wait for the evacuations: the
	// store may be down.
	evacuationWaitTimeout = time.Second
	// evacuationLogInterval is the shortest time between two lines on the requests that still run in
	// evacuated data centres.
	evacuationLogInterval = time.Second
)

// evacuationWait holds the requests that have arrived before the evacuations were known.
type evacuationWait struct {
	until    core.Instant // core.Never before the first configuration
	requests []Request
}

// evacuationLog limits the lines on running requests.
type evacuationLog struct {
	nextAt  core.Instant
	running int // last logged
}

func (h *hosted) isEvacuated(up catalog.Upstream) bool { return h.evacuations.InForce(up.DataCentre) }

// tickEvacuations ends what is due and starts the next call of the store.
func (h *hosted) tickEvacuations(now core.Instant) {
	if !h.evacuations.Enabled() {
		return
	}
	h.applyEvacuations(now, h.evacuations.Tick(now))
	h.callForEvacuations(now)
	h.logEvacuatedRequests(now)
}

func (h *hosted) callForEvacuations(now core.Instant) {
	if h.evacuations.Enabled() && !h.drained {
		if call, due := h.evacuations.NextCall(now, h.fleet.IsReader()); due {
			h.emit(ReadEvacuations{Call: call})
		}
	}
}

func (h *hosted) onEvacuationsRead(now core.Instant, e EvacuationsRead) {
	h.observeEra(now, e.Result.At)
	h.applyEvacuations(now, h.evacuations.OnRead(now, e.Result))
	h.callForEvacuations(now)
}

func (h *hosted) onEvacuationsCallFailed(now core.Instant, e EvacuationsCallFailed) {
	if e.HistoryLost {
		h.evacuations.OnHistoryLost(now)
	} else {
		h.evacuations.OnCallFailed(now)
	}
	h.callForEvacuations(now)
}

func (h *hosted) onPeerEvacuations(now core.Instant, from core.InstanceRef, report *evacuation.Report) {
	h.applyEvacuations(now, h.evacuations.OnReport(now, from, report))
}

func (h *hosted) observeEvacuationEra(now core.Instant, era uint64) {
	h.applyEvacuations(now, h.evacuations.ObserveEra(now, era))
}

// applyEvacuations logs changes and puts them in force. It also admits the requests that have waited
// for the first list.
func (h *hosted) applyEvacuations(now core.Instant, events []evacuation.Event) {
	for _, event := range events {
		source := "store"
		if event.From != "" {
			source = "peer " + string(event.From)
		}
		detail := fmt.Sprintf("data_centre=%s revision=%s from=%s", event.DataCentre, event.At, source)
		if event.Kind == evacuation.EventBegan {
			age := event.Age
			if event.From == "" {
				age = event.Unconfirmed
			}
			detail += fmt.Sprintf(" age=%s unconfirmed=%s late=%t", event.Age, event.Unconfirmed, age > h.params.EvacuationBound)
		}
		h.recordEvent(now, "evacuation", string(event.Kind), detail)
	}
	if len(events) > 0 {
		h.applyDispatch(now, h.dispatch.SetEvacuated(now, h.evacuations.DataCentres()))
	}
	if len(h.evacuationWait.requests) > 0 && (h.evacuations.Known() || now >= h.evacuationWait.until) {
		h.endEvacuationWait(now)
	}
}

// replaceEvacuatedDecode places a request on another decode engine if the one that has granted its
// hold is in an evacuated data centre. It reports whether it did, or has ended the request.
func (h *hosted) replaceEvacuatedDecode(now core.Instant, rs *requestState) bool {
	if !h.isEvacuated(rs.hosted.upstream) {
		return false
	}
	up := rs.hosted.upstream
	h.recordWithUpstream(now, "dispatch", "hold given up", rs, up.ID, "evacuated data_centre="+string(up.DataCentre))
	h.releaseUnusedHold(now, rs)
	rs.hosted.stage = stageRun
	failure := attempts.Failure{Kind: attempts.FailFull, Upstream: up.ID, ConfirmedNotRun: true}
	if !h.allowRetry(now, rs, failure) {
		refusal := refusalWithRetryAfter(core.CodeNoUpstream, "the data centre of the Upstream is evacuated: "+string(up.DataCentre), h.retryAfter(now, rs))
		h.refuseHosted(now, rs, refusal)
		return true
	}
	h.retryElsewhere(now, rs, failure)
	return true
}

// beginEvacuationWait is called before a configuration takes effect.
func (h *hosted) beginEvacuationWait(now core.Instant) {
	if h.evacuations.Enabled() && h.routing == nil {
		h.evacuationWait.until = now.Add(evacuationWaitTimeout)
	}
}

// awaitEvacuations reports whether a request has to wait until the evacuations are known.
func (h *hosted) awaitEvacuations(now core.Instant, q Request) bool {
	if !h.evacuations.Enabled() || h.routing == nil || h.evacuations.Known() || now >= h.evacuationWait.until {
		return false
	}
	h.evacuationWait.requests = append(h.evacuationWait.requests, q)
	return true
}

// endEvacuationWait admits the requests that have waited for the evacuations.
func (h *hosted) endEvacuationWait(now core.Instant) {
	requests := h.evacuationWait.requests
	h.evacuationWait = evacuationWait{until: min(now, h.evacuationWait.until)}
	if !h.evacuations.Known() && len(requests) > 0 {
		h.recordEvent(now, "evacuation", "serving without a list", fmt.Sprintf("waited=%s requests=%d", evacuationWaitTimeout, len(requests)))
	}
	for _, q := range requests {
		h.onRequestArrived(now, q)
	}
}

// abandonEvacuationWait removes a request that waits for the evacuations and whose caller has
// disconnected.
func (h *hosted) abandonEvacuationWait(id core.RequestID) {
	before := len(h.evacuationWait.requests)
	h.evacuationWait.requests = slices.DeleteFunc(h.evacuationWait.requests, func(q Request) bool { return q.ID == id })
	if len(h.evacuationWait.requests) < before {
		h.emit(RequestAbandoned{Request: id})
	}
}

// evacuatedRequests counts the requests that still run at Upstreams of each evacuated data centre.
func (h *hosted) evacuatedRequests() map[core.DataCentreName]int {
	dataCentres := h.evacuations.DataCentres()
	if len(dataCentres) == 0 {
		return nil
	}
	running := make(map[core.DataCentreName]int, len(dataCentres))
	for _, dc := range dataCentres {
		running[dc] = 0
	}
	for _, rs := range h.requests {
		dc := rs.hosted.upstream.DataCentre
		switch rs.hosted.stage {
		case stageRun:
		case stagePrefill:
			dc = rs.hosted.prefillEngine.DataCentre
		default:
			continue
		}
		if _, found := running[dc]; found {
			running[dc]++
		}
	}
	return running
}

func (h *hosted) logEvacuatedRequests(now core.Instant) {
	log := &h.evacuationLog
	if now < log.nextAt {
		return
	}
	running, total, detail := h.evacuatedRequests(), 0, ""
	for _, dc := range slices.Sorted(maps.Keys(running)) {
		total += running[dc]
		detail += fmt.Sprintf("%s=%d ", dc, running[dc])
	}
	if len(running) > 0 {
		log.nextAt = now.Add(evacuationLogInterval)
	}
	if total > 0 || log.running > 0 && len(running) > 0 {
		h.recordEvent(now, "evacuation", "requests still run", fmt.Sprintf("%stotal=%d", detail, total))
	}
	log.running = total
}

// EvacuationGauges are current values of the evacuations.
type EvacuationGauges struct {
	// Requests counts the own requests that run at each evacuated data centre.
	Requests map[core.DataCentreName]int
	// Age is the time since the list is known to have been complete in the store, -1 before the first
	// confirmation.
	Age time.Duration
}

func (h *hosted) evacuationGauges(now core.Instant) *EvacuationGauges {
	if !h.evacuations.Enabled() {
		return nil
	}
	gauges := &EvacuationGauges{Requests: h.evacuatedRequests(), Age: -1}
	if age, confirmed := h.evacuations.Age(now); confirmed {
		gauges.Age = age
	}
	return gauges
}
