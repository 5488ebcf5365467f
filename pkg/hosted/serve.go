package hosted

import (
	"context"
	"crypto/sha256"
	"errors"
	"net/http"
	"strings"
	"time"

	"go.uber.org/zap"

	"github.com/rhubarbsill/rhubarbsill/pkg/admission"
	"github.com/rhubarbsill/rhubarbsill/pkg/config"
	"github.com/rhubarbsill/rhubarbsill/pkg/core"
	"github.com/rhubarbsill/rhubarbsill/pkg/router"
	"github.com/rhubarbsill/rhubarbsill/pkg/telemetry"
)

const (
	// defaultBodyBytes bounds a request body until a configuration is active.
	defaultBodyBytes = 4 << 20
	// defaultRequestTimeout is the timeout of a request that states none. A body must arrive within the
	// timeout of its request, at most in this time.
	defaultRequestTimeout = time.Minute
	// addressQueryTimeout bounds the wait for the event loop's reply to an address
	// query.
	addressQueryTimeout = 800 * time.Millisecond
)

// serveCaller handles a caller's request.
func (d *Daemon) serveCaller(w http.ResponseWriter, r *http.Request) {
	arrivedAt := d.now()
	rw := newResponseWriter(w, d.adapter.Callers.RequestIDHeader(), d.leaving.Load).forRequest(r)
	inbound, refusal := d.adapter.Callers.Decode(r)
	rw.id = inbound.ID
	var target requestTarget
	if refusal == nil {
		refusal = d.checkHeaderSize(r)
	}
	if refusal == nil {
		target, refusal = parseTarget(r)
	}
	if refusal == nil {
		refusal = d.checkStatedSize(r)
	}
	if refusal == nil {
		deadline := arrivedAt.Add(inbound.timeout())
		rw.callerConn.setAnswerBy(time.Now().Add(deadline.Sub(d.now())))
		if d.isRefusedByHeader(r, inbound, target) {
			d.serveInbound(rw, r, inbound, target, nil, deadline)
			return
		}
		var body []byte
		if body, refusal = d.readBody(rw, r, inbound.timeout()); refusal == nil {
			d.serveInbound(rw, r, inbound, target, body, deadline)
			return
		}
	}
	rw.limitUnreadBody()
	telemetry.ComponentLogger(d.log, "callers").Warn("request rejected", zap.String("request", string(inbound.ID)),
		zap.String("host", r.Host), zap.String("path", r.URL.Path), zap.String("reason", refusal.Error()))
	rw.refuse(refusal)
}

// checkHeaderSize refuses a request whose header is larger than the configuration allows.
func (d *Daemon) checkHeaderSize(r *http.Request) *core.Refusal {
	routing := d.routing.Load()
	if routing == nil || routing.Limits.HeaderBytes <= 0 {
		return nil
	}
	const separators = len(": \r\n")
	size := len(r.Method) + len(r.RequestURI) + len("  HTTP/1.1\r\n") + len("Host") + len(r.Host) + separators
	for name, values := range r.Header {
		for _, value := range values {
			size += len(name) + len(value) + separators
		}
	}
	if size > routing.Limits.HeaderBytes {
		return core.NewRefusal(core.CodeHeaderTooLarge, "the header is larger than the configuration allows")
	}
	return nil
}

// timeout returns the time for which the caller of a request waits.
func (in CallerRequest) timeout() time.Duration {
	if in.Timeout <= 0 {
		return defaultRequestTimeout
	}
	return in.Timeout
}

// bodyLimit returns the largest body that the configuration allows.
func (d *Daemon) bodyLimit() int64 {
	if routing := d.routing.Load(); routing != nil && routing.Limits.BodyBytes > 0 {
		return routing.Limits.BodyBytes
	}
	return defaultBodyBytes
}

var refusalTooLarge = core.NewRefusal(core.CodeTooLarge, "the body is larger than the configuration allows")

// checkStatedSize refuses a body whose stated length is over the limit, before it is read.
func (d *Daemon) checkStatedSize(r *http.Request) *core.Refusal {
	if r.ContentLength > d.bodyLimit() {
		return refusalTooLarge
	}
	return nil
}

// isRefusedByHeader reports whether the router will refuse a request for its route or its key, as far as
// the configuration of this moment tells. The body is then not read. The router decides: it may wait for
// a newer configuration.
func (d *Daemon) isRefusedByHeader(r *http.Request, inbound CallerRequest, target requestTarget) bool {
	routing := d.routing.Load()
	if routing == nil || r.ContentLength == 0 {
		return false
	}
	route, found := routing.Route(r.Host, target.path)
	if !found {
		return true
	}
	if route.Public || !routing.NeedsKeys {
		return false
	}
	_, found = routing.AccountOfKey(config.DigestKey(inbound.Key))
	return !found
}

// readBody reads the body into memory that grows as it arrives, not to the stated length.
func (d *Daemon) readBody(rw *responseWriter, r *http.Request, timeout time.Duration) ([]byte, *core.Refusal) {
	rw.callerConn.setPhase(admission.Receiving)
	defer rw.callerConn.setPhase(admission.Running)
	limit := d.bodyLimit()
	largest := limit
	if r.ContentLength >= 0 {
		largest = min(limit, r.ContentLength)
	}
	_ = rw.control.SetReadDeadline(time.Now().Add(min(timeout, defaultRequestTimeout)))
	reader := bodyReader{
		chunks: &d.chunks, reserve: func(n int) error { return rw.callerConn.reserve(r.Context(), n) }, release: rw.callerConn.release,
	}
	body, err := reader.readAll(http.MaxBytesReader(rw.w, r.Body, limit), int(largest))
	_ = rw.control.SetReadDeadline(time.Time{})
	if err != nil {
		// net/http keeps the connection open for 0.5 s after a refusal. Others wait for these bytes.
		rw.callerConn.releaseAll()
	}
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return nil, refusalTooLarge
	case errors.Is(err, errNoBytes):
		rw.w.Header().Set("Connection", "close")
		return nil, core.NewRefusal(core.CodeNoCapacity, err.Error())
	case err != nil:
		return nil, core.NewRefusal(core.CodeMalformed, "the body could not be read: "+err.Error())
	}
	return body, nil
}

func (d *Daemon) serveInbound(rw *responseWriter, r *http.Request, inbound CallerRequest, target requestTarget, body []byte, deadline core.Instant) {
	active := &activeRequest{id: inbound.ID, effects: make(chan router.Effect, effectQueueSize), response: rw}
	active.template = UpstreamRequest{
		ID: inbound.ID, Method: r.Method, Target: target.full, Host: r.Host, Header: inbound.ForwardHeader, Body: body,
		LastEventID: inbound.LastEventID,
	}
	if body == nil && r.ContentLength != 0 {
		active.readBody = func() ([]byte, *core.Refusal) { return d.readBody(rw, r, inbound.timeout()) }
	}
	if !d.requests.add(active) {
		rw.refuse(core.NewRefusal(core.CodeNoCapacity, "a request with this id is in progress"))
		return
	}
	defer d.requests.remove(active.id)
	d.post(router.RequestArrived{Request: d.routerRequest(r, inbound, target, body, deadline)})
	disconnected := r.Context().Done()
	for {
		select {
		case effect := <-active.effects:
			if d.executeForRequest(r.Context(), active, effect) {
				return
			}
		case <-disconnected:
			disconnected = nil
			d.post(router.CallerDisconnected{Request: active.id})
		case <-d.loopEnded:
			rw.abort()
		}
	}
}

func (d *Daemon) routerRequest(r *http.Request, inbound CallerRequest, target requestTarget, body []byte, deadline core.Instant) router.Request {
	request := router.Request{
		ID:              inbound.ID,
		Model:           inbound.Model,
		Method:          r.Method,
		Path:            target.path,
		Host:            r.Host,
		PromptTokens:    inbound.PromptTokens,
		MaxOutputTokens: inbound.MaxOutputTokens,
		HasTokenCounts:  inbound.HasTokenCounts,
		ExpectedOutput:  inbound.ExpectedOutput,
		SharedParts:     inbound.SharedParts,
		PromptParts:     inbound.PromptParts,
		Deadline:        deadline,
	}
	if inbound.Key != "" {
		digest := config.DigestKey(inbound.Key)
		request.Key = &digest
	}
	hash := sha256.New()
	for _, part := range [][]byte{[]byte(r.Method), []byte(target.full), []byte(inbound.Key), body} {
		_, _ = hash.Write(part) // documented to never fail
		_, _ = hash.Write([]byte{0})
	}
	copy(request.Fingerprint[:], hash.Sum(nil))
	return request
}

// executeForRequest executes an effect on the goroutine of its request. It reports
// true when the request has ended.
func (d *Daemon) executeForRequest(ctx context.Context, active *activeRequest, effect router.Effect) bool {
	if active.completed {
		switch effect.(type) {
		case router.StartPrefill, router.StartDecode, router.StartCall:
			return false // decided before the router knew that the response is complete
		}
		return true
	}
	switch effect.(type) {
	case router.StartPrefill, router.StartDecode, router.StartCall:
		if refusal := active.readUnreadBody(); refusal != nil {
			d.post(router.CallerDisconnected{Request: active.id})
			active.response.limitUnreadBody()
			active.response.refuse(refusal)
			return true
		}
	case router.Refuse:
		if active.readBody != nil {
			active.response.limitUnreadBody()
		}
	}
	switch e := effect.(type) {
	case router.StartPrefill:
		d.prefill(ctx, active, e)
	case router.StartDecode:
		d.decode(ctx, active, e)
	case router.StartCall:
		d.callPlain(ctx, active, e)
	case router.Refuse:
		active.response.refuse(e.Refusal)
		return true
	case router.RelayFailure:
		active.response.sendBuffered(active.failureResponse)
		return true
	case router.Complete:
		return true
	case router.RequestAbandoned:
		active.response.abort()
	}
	return false
}

// serveReady reports to the platform whether it should send callers to this Instance.
func (d *Daemon) serveReady(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path != d.adapter.Callers.ReadyPath() {
		http.NotFound(w, r)
		return
	}
	if d.leaving.Load() || d.routing.Load() == nil || d.settings.takesOverShares() && !d.shareKnown.Load() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

// serveAddresses responds with the addresses of the Instances that a caller should
// use.
func (d *Daemon) serveAddresses(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path != d.adapter.Callers.AddressesPath() {
		http.NotFound(w, r)
		return
	}
	query, refusal := d.adapter.Callers.DecodeAddresses(r)
	if refusal != nil {
		newResponseWriter(w, "", d.leaving.Load).refuse(refusal)
		return
	}
	reply := make(chan router.CallerAddresses, 1)
	queryID := d.lastQueryID.Add(1)
	d.addressQueries.Store(queryID, reply)
	defer d.addressQueries.Delete(queryID)
	d.post(router.CallerAddressesRequested{QueryID: queryID, Host: query.Host, Region: query.Region, DataCentre: query.DataCentre, Limit: query.Limit})
	timer := time.NewTimer(addressQueryTimeout)
	defer timer.Stop()
	select {
	case e := <-reply:
		d.writeAddresses(w, e)
	case <-timer.C:
		w.WriteHeader(http.StatusServiceUnavailable)
	case <-r.Context().Done():
	}
}

func (d *Daemon) writeAddresses(w http.ResponseWriter, e router.CallerAddresses) {
	if len(e.Addresses) == 0 {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	body, err := d.adapter.Callers.EncodeAddresses(e.Addresses, e.TTL)
	if err != nil {
		telemetry.ComponentLogger(d.log, "directory").Error("could not encode the address list", zap.Error(err))
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(body) // fails only when the caller has disconnected
}

// hopByHop lists the hop-by-hop headers besides those that Connection names.
var hopByHop = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// StripHopByHop removes the hop-by-hop headers, including those that Connection names.
func StripHopByHop(header http.Header) {
	for _, value := range header.Values("Connection") {
		for name := range strings.SplitSeq(value, ",") {
			header.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopByHop {
		header.Del(name)
	}
}
