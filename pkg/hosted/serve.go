package hosted

import (
	"context"
	"crypto/sha256"
	"errors"
	"io"
	"net/http"
	"strings"
	"time"

	"go.uber.org/zap"

	"github.com/rhubarbsill/rhubarbsill/pkg/config"
	"github.com/rhubarbsill/rhubarbsill/pkg/core"
	"github.com/rhubarbsill/rhubarbsill/pkg/router"
	"github.com/rhubarbsill/rhubarbsill/pkg/telemetry"
)

const (
	// defaultBodyBytes bounds a body before a configuration is in force.
	defaultBodyBytes = 4 << 20
	// bodyTimeout bounds the time in which a caller sends a body.
	bodyTimeout = 10 * time.Second
	// defaultRequestTimeout is the time limit of a request that states none.
	defaultRequestTimeout = time.Minute
	// addressQueryTimeout bounds the answer of the event loop to an address question.
	addressQueryTimeout = 800 * time.Millisecond
)

// serveCaller serves one request of a caller.
func (d *Daemon) serveCaller(w http.ResponseWriter, r *http.Request) {
	a := newResponseWriter(w, d.adapter.Callers.RequestIDHeader(), d.leaving.Load)
	inbound, refusal := d.adapter.Callers.Decode(r)
	a.id = inbound.ID
	if refusal == nil {
		var body []byte
		if body, refusal = d.readBody(a, r); refusal == nil {
			d.serveInbound(a, r, inbound, body)
			return
		}
	}
	telemetry.ComponentLogger(d.log, "callers").Warn("request not taken", zap.String("request", string(inbound.ID)),
		zap.String("host", r.Host), zap.String("path", r.URL.Path), zap.String("reason", refusal.Error()))
	a.refuse(refusal)
}

func (d *Daemon) readBody(a *responseWriter, r *http.Request) ([]byte, *core.Refusal) {
	limit := int64(defaultBodyBytes)
	if routing := d.routing.Load(); routing != nil && routing.Limits.BodyBytes > 0 {
		limit = routing.Limits.BodyBytes
	}
	_ = a.control.SetReadDeadline(time.Now().Add(bodyTimeout))
	body, err := io.ReadAll(http.MaxBytesReader(a.w, r.Body, limit))
	_ = a.control.SetReadDeadline(time.Time{})
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return nil, core.NewRefusal(core.CodeTooLarge, "the body is larger than the configuration allows")
	case err != nil:
		return nil, core.NewRefusal(core.CodeMalformed, "the body could not be read: "+err.Error())
	}
	return body, nil
}

func (d *Daemon) serveInbound(a *responseWriter, r *http.Request, inbound CallerRequest, body []byte) {
	c := &activeRequest{id: inbound.ID, effects: make(chan router.Effect, effectQueueSize), response: a}
	c.template = UpstreamRequest{
		ID: inbound.ID, Method: r.Method, Target: r.RequestURI, Host: r.Host, Header: inbound.ForwardHeader, Body: body,
	}
	if !d.requests.add(c) {
		a.refuse(core.NewRefusal(core.CodeNoCapacity, "a request with this id is in progress"))
		return
	}
	defer d.requests.remove(c.id)
	d.post(router.RequestArrived{Request: d.routerRequest(r, inbound, body)})
	gone := r.Context().Done()
	for {
		select {
		case effect := <-c.effects:
			if d.executeForRequest(r.Context(), c, effect) {
				return
			}
		case <-gone:
			gone = nil
			d.post(router.CallerDisconnected{Request: c.id})
		case <-d.loopEnded:
			panic(http.ErrAbortHandler)
		}
	}
}

func (d *Daemon) routerRequest(r *http.Request, inbound CallerRequest, body []byte) router.Request {
	patience := inbound.Timeout
	if patience <= 0 {
		patience = defaultRequestTimeout
	}
	request := router.Request{
		ID:              inbound.ID,
		Model:           inbound.Model,
		Method:          r.Method,
		Path:            r.URL.Path,
		Host:            r.Host,
		PromptTokens:    inbound.PromptTokens,
		MaxOutputTokens: inbound.MaxOutputTokens,
		HasTokenCounts:  inbound.HasTokenCounts,
		ExpectedOutput:  inbound.ExpectedOutput,
		Deadline:        d.now().Add(patience),
	}
	if inbound.Key != "" {
		digest := config.DigestKey(inbound.Key)
		request.Key = &digest
	}
	hash := sha256.New()
	for _, part := range []string{r.Method, r.RequestURI, inbound.Key, string(body)} {
		_, _ = hash.Write([]byte(part)) // never fails, by its documentation
		_, _ = hash.Write([]byte{0})
	}
	copy(request.Fingerprint[:], hash.Sum(nil))
	return request
}

// executeForRequest carries out an effect of a request. It reports true when the request
// has ended.
func (d *Daemon) executeForRequest(ctx context.Context, c *activeRequest, effect router.Effect) bool {
	switch e := effect.(type) {
	case router.StartPrefill:
		d.prefill(ctx, c, e)
	case router.StartDecode:
		d.decode(ctx, c, e)
	case router.StartCall:
		d.callPlain(ctx, c, e)
	case router.Refuse:
		c.response.refuse(e.Refusal)
		return true
	case router.RelayFailure:
		c.response.sendBuffered(c.failureResponse)
		return true
	case router.Complete:
		return true
	case router.RequestAbandoned:
		panic(http.ErrAbortHandler)
	}
	return false
}

// serveReady tells the platform whether callers should be sent here.
func (d *Daemon) serveReady(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path != d.adapter.Callers.ReadyPath() {
		http.NotFound(w, r)
		return
	}
	if d.leaving.Load() || d.routing.Load() == nil {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

// serveAddresses tells a caller which Instances to use.
func (d *Daemon) serveAddresses(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path != d.adapter.Callers.AddressesPath() {
		http.NotFound(w, r)
		return
	}
	question, refusal := d.adapter.Callers.DecodeAddresses(r)
	if refusal != nil {
		newResponseWriter(w, "", d.leaving.Load).refuse(refusal)
		return
	}
	reply := make(chan router.CallerAddresses, 1)
	number := d.lastQueryID.Add(1)
	d.addressQueries.Store(number, reply)
	defer d.addressQueries.Delete(number)
	d.post(router.CallerAddressesRequested{QueryID: number, Region: question.Region, DataCentre: question.DataCentre, Limit: question.Limit})
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
		telemetry.ComponentLogger(d.log, "directory").Error("answer not encoded", zap.Error(err))
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(body) // the caller has gone
}

// hopByHop are the headers that concern one connection only.
var hopByHop = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// StripHopByHop removes the headers that concern one connection only.
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
