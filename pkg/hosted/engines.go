package hosted

import (
	"context"
	"errors"
	"net/http"
	"time"

	"go.uber.org/zap"

	"github.com/rhubarbsill/rhubarbsill/pkg/announce"
	"github.com/rhubarbsill/rhubarbsill/pkg/attempts"
	"github.com/rhubarbsill/rhubarbsill/pkg/core"
	"github.com/rhubarbsill/rhubarbsill/pkg/router"
	"github.com/rhubarbsill/rhubarbsill/pkg/telemetry"
	"github.com/rhubarbsill/rhubarbsill/pkg/upstream"
)

const (
	// holdTimeout bounds the acquisition of a hold. An engine responds within
	// milliseconds; a round trip between regions takes 60 ms.
	holdTimeout = 400 * time.Millisecond
	// releaseTimeout bounds the release of a hold or a KV cache, either of which
	// expires soon anyway.
	releaseTimeout = 500 * time.Millisecond
	// maxResponseBytes bounds the body of a buffered response.
	maxResponseBytes = 8 << 20
)

// onUpstreamAnswer reports what an answer states about its Upstream.
func (d *Daemon) onUpstreamAnswer(from announce.Source, a announce.Announcement) {
	d.post(router.UpstreamAnswered{Source: from, Announcement: a})
}

func (d *Daemon) acquireHold(ctx context.Context, e router.AcquireHold) {
	holdCtx, cancel := context.WithTimeout(ctx, holdTimeout)
	defer cancel()
	hold, err := d.adapter.Upstreams.AcquireHold(holdCtx, e.Upstream, e.Addr, e.Tokens, e.Term)
	reply := router.HoldResult{Request: e.Request, Attempt: e.Attempt, Upstream: e.Upstream, Addr: e.Addr, Hold: hold}
	switch {
	case err == nil:
		reply.Outcome = router.HoldGranted
	case errors.Is(err, ErrFull):
		reply.Outcome = router.HoldFull
	case errors.Is(err, ErrAddressReassigned):
		reply.Outcome = router.HoldAddressReassigned
	default:
		reply.Outcome = router.HoldUnreachable
		d.logFailure("hold not acquired", e.Request, e.Upstream, err)
	}
	d.post(reply)
}

func (d *Daemon) releaseHold(ctx context.Context, e router.ReleaseHold) {
	releaseCtx, cancel := context.WithTimeout(ctx, releaseTimeout)
	defer cancel()
	if err := d.adapter.Upstreams.ReleaseHold(releaseCtx, e.Upstream, e.Addr, e.Hold); err != nil {
		d.logFailure("hold not released", "", e.Upstream, err)
	}
}

func (d *Daemon) releaseKV(ctx context.Context, e router.ReleaseKV) {
	releaseCtx, cancel := context.WithTimeout(ctx, releaseTimeout)
	defer cancel()
	if err := d.adapter.Upstreams.ReleaseKV(releaseCtx, e.Upstream, e.Addr, e.KV); err != nil {
		d.logFailure("KV cache not released", "", e.Upstream, err)
	}
}

func (d *Daemon) logFailure(message string, id core.RequestID, up core.UpstreamID, err error) {
	telemetry.ComponentLogger(d.log, "upstream").Warn(message,
		zap.String("request", string(id)), zap.String("upstream", string(up)), zap.Error(err))
}

// upstreamRequest returns the request to send to one Upstream, which is not sent from
// notAfter on.
func (d *Daemon) upstreamRequest(active *activeRequest, up core.UpstreamID, addr string, account core.AccountID, notAfter, deadline core.Instant) UpstreamRequest {
	req := active.template
	req.Upstream, req.Addr, req.Account = up, addr, account
	req.TimeLeft = func() time.Duration {
		now := d.now()
		if now >= notAfter {
			return 0
		}
		return deadline.Sub(now)
	}
	return req
}

// reportExpired fails an attempt that must no longer be sent. It reports whether it did.
func (d *Daemon) reportExpired(active *activeRequest, attempt core.AttemptID, req UpstreamRequest) bool {
	if req.TimeLeft() > 0 {
		return false
	}
	d.post(router.AttemptFailed{Request: active.id, Attempt: attempt, Failure: attempts.Failure{Kind: attempts.FailExpired, Upstream: req.Upstream}})
	return true
}

func (d *Daemon) prefill(ctx context.Context, active *activeRequest, e router.StartPrefill) {
	req := d.upstreamRequest(active, e.Upstream, e.URL, e.Account, e.NotAfter, e.Deadline)
	if d.reportExpired(active, e.Attempt, req) {
		return
	}
	attemptCtx, cancel := active.startAttempt(ctx, e.Attempt)
	defer cancel()
	req.HeaderTimeout = e.ResponseTimeout
	req.Urgency = e.Urgency
	kv, err := d.adapter.Upstreams.Prefill(attemptCtx, req)
	if err != nil {
		d.attemptFailed(attemptCtx, active, e.Attempt, e.Upstream, err)
		return
	}
	d.post(router.PrefillDone{Request: active.id, Attempt: e.Attempt, Upstream: e.Upstream, Addr: e.URL, KV: kv})
}

// attemptFailed reports a failed attempt to the router, unless the router cancelled
// the attempt or the caller has disconnected.
func (d *Daemon) attemptFailed(ctx context.Context, active *activeRequest, id core.AttemptID, up core.UpstreamID, err error) {
	if ctx.Err() != nil {
		return
	}
	failure := attempts.Failure{Kind: attempts.FailProtocolError, Upstream: up, MaybeSent: true}
	var callError *upstream.Error
	switch {
	case errors.Is(err, upstream.ErrUnread), errors.Is(err, errNoBytes):
		failure.Kind = attempts.FailUnread
	case errors.Is(err, ErrAddressReassigned):
		failure.Kind, failure.ConfirmedNotRun = attempts.FailConnect, true
	case errors.Is(err, ErrRejected):
		failure.Kind, failure.ConfirmedNotRun = attempts.FailFull, true
	case errors.As(err, &callError):
		failure.Kind, failure.MaybeSent = failureKind(callError), callError.Sent
	}
	d.logFailure("call failed", active.id, up, err)
	d.post(router.AttemptFailed{Request: active.id, Attempt: id, Failure: failure})
}

func failureKind(err *upstream.Error) attempts.FailureKind {
	switch err.Kind {
	case upstream.ConnectFailed:
		return attempts.FailConnect
	case upstream.Stalled:
		return attempts.FailStalled
	case upstream.Expired:
		return attempts.FailExpired
	case upstream.Crashed, upstream.Canceled:
		return attempts.FailCrashed
	}
	return attempts.FailProtocolError
}

// sendRequest sends a request to a decode engine or a plain service. It returns nil
// when the attempt failed, which it has reported then.
func (d *Daemon) sendRequest(ctx context.Context, active *activeRequest, attempt core.AttemptID, req UpstreamRequest) *UpstreamResponse {
	response, err := d.adapter.Upstreams.Run(ctx, req)
	if err != nil {
		d.attemptFailed(ctx, active, attempt, req.Upstream, err)
		return nil
	}
	if response.AddressReassigned || response.NotExecuted {
		response.Close()
		failure := attempts.Failure{Kind: attempts.FailFull, Upstream: req.Upstream, MaybeSent: true, ConfirmedNotRun: true}
		switch {
		case response.AddressReassigned:
			failure.Kind = attempts.FailConnect
		case req.KV != "":
			failure.Kind = attempts.FailKVGone
		}
		d.post(router.AttemptFailed{Request: active.id, Attempt: attempt, Failure: failure})
		return nil
	}
	if response.Status < 300 && !response.Signed {
		response.Close()
		d.attemptFailed(ctx, active, attempt, req.Upstream, errUnsigned)
		return nil
	}
	return response
}

var errUnsigned = &upstream.Error{Kind: upstream.Crashed, Sent: true, Err: errors.New("the response is not signed by the upstream")}

// upstreamRun is an attempt at a decode engine or a plain service.
type upstreamRun struct {
	attempt  core.AttemptID
	upstream core.UpstreamID
	url      string
	// streaming, resumable and eventTimeout are as in router.StartDecode.
	streaming    bool
	resumable    bool
	eventTimeout time.Duration
	stallTimeout time.Duration
	// isFailure reports whether an answer with a status fails the attempt, which may be retried.
	isFailure func(status int) bool
}

func (d *Daemon) callPlain(ctx context.Context, active *activeRequest, e router.StartCall) {
	req := d.upstreamRequest(active, e.Upstream, e.URL, e.Account, e.NotAfter, e.Deadline)
	d.run(ctx, active, req, upstreamRun{
		attempt: e.Attempt, upstream: e.Upstream, url: e.URL,
		streaming: e.Streaming, resumable: e.Resumable, eventTimeout: e.EventTimeout, stallTimeout: e.StallTimeout,
		isFailure: func(status int) bool { return status >= http.StatusInternalServerError && e.Idempotent },
	})
}

func (d *Daemon) decode(ctx context.Context, active *activeRequest, e router.StartDecode) {
	req := d.upstreamRequest(active, e.Upstream, e.URL, e.Account, e.NotAfter, e.Deadline)
	req.Hold, req.KVSource, req.KV, req.Urgency = e.Hold, e.SourceURL, e.KV, e.Urgency
	d.run(ctx, active, req, upstreamRun{
		attempt: e.Attempt, upstream: e.Upstream, url: e.URL,
		streaming: e.Streaming, resumable: e.Resumable, eventTimeout: e.EventTimeout, stallTimeout: e.StallTimeout,
		isFailure: func(status int) bool { return status >= http.StatusMultipleChoices },
	})
}

// run sends a request and passes its answer on. Whether that is a stream of events follows from the
// route and from the answer; a service of engines may also answer with one body.
func (d *Daemon) run(ctx context.Context, active *activeRequest, req UpstreamRequest, run upstreamRun) {
	if d.reportExpired(active, run.attempt, req) {
		return
	}
	if active.response.started && !active.resumable() {
		d.attemptFailed(ctx, active, run.attempt, run.upstream, &upstream.Error{Kind: upstream.Expired, URL: run.url, Err: errNotResumable})
		return
	}
	// The route may allow less time than the caller waits.
	active.response.callerConn.setAnswerBy(time.Now().Add(req.TimeLeft()))
	attemptCtx, cancel := active.startAttempt(ctx, run.attempt)
	defer cancel()
	req.HeaderTimeout = run.eventTimeout
	stall := d.watchForStall(active.id, run.attempt, run.stallTimeout)
	defer stall.stop()
	response := d.sendRequest(attemptCtx, active, run.attempt, req)
	if response == nil {
		return
	}
	stall.endRead()
	if run.streaming && response.Status == http.StatusOK {
		defer response.Close()
		d.relay(attemptCtx, active, run, response, stall)
		return
	}
	d.passOnWhole(attemptCtx, active, run, response, stall)
}

// passOnWhole reads an answer that is not a stream and passes it on. An answer that fails the attempt
// is kept for the caller, unless part of a stream was already sent.
func (d *Daemon) passOnWhole(ctx context.Context, active *activeRequest, run upstreamRun, response *UpstreamResponse, stall *stallWatch) {
	conn := active.response.callerConn
	body, err := d.readResponseBody(ctx, response, conn, stall)
	if err == nil && active.response.started && !run.isFailure(response.Status) {
		err = errNotAStream
	}
	if err != nil {
		d.attemptFailed(ctx, active, run.attempt, run.upstream, &upstream.Error{Kind: upstream.Crashed, Sent: true, URL: run.url, Err: err})
		return
	}
	buffered := &bufferedResponse{status: response.Status, header: response.Header, body: body}
	if run.isFailure(buffered.status) {
		if !active.response.started {
			active.failureResponse = buffered
		}
		d.post(router.AttemptFailed{Request: active.id, Attempt: run.attempt, Failure: attempts.Failure{Kind: attempts.FailProtocolError, Upstream: run.upstream, MaybeSent: true}})
		return
	}
	// The request is not sent again, so only the answer is held for a caller that reads slowly.
	conn.release(len(active.template.Body))
	active.template.Body = nil
	d.sendWhole(active, run, buffered, response.UntilClose)
}

// slowReadTime is the time after which the place at an Upstream is given to another request although the
// caller has not taken all of its answer. Otherwise callers that don't read would take all places.
const slowReadTime = 250 * time.Millisecond

// sendWhole writes a whole answer. The router learns that it is complete when it is written, or after
// slowReadTime.
func (d *Daemon) sendWhole(active *activeRequest, run upstreamRun, buffered *bufferedResponse, untilClose bool) {
	completed := router.ResponseCompleted{Request: active.id, Attempt: run.attempt, Status: buffered.status, UntilClose: untilClose}
	early := time.AfterFunc(slowReadTime, func() { d.post(completed) })
	defer early.Stop() // the write may panic
	d.slowWrites.Add(1)
	defer d.slowWrites.Add(-1)
	active.response.sendBuffered(buffered)
	active.completed = true
	if early.Stop() {
		d.post(completed)
	}
}

// readResponseBody reads and closes a buffered response. Its bytes are held for the caller's connection
// until the caller has read it.
func (d *Daemon) readResponseBody(ctx context.Context, response *UpstreamResponse, conn *callerConn, stall *stallWatch) ([]byte, error) {
	defer response.Close()
	return d.buffers.ReadAllWithin(ctx, stall.reader(response), maxResponseBytes, func(n int) error { return conn.reserve(ctx, n) })
}
