package hosted

import (
	"context"
	"errors"
	"io"
	"net/http"
	"os"
	"time"

	"go.uber.org/zap"

	"github.com/rhubarbsill/rhubarbsill/pkg/attempts"
	"github.com/rhubarbsill/rhubarbsill/pkg/core"
	"github.com/rhubarbsill/rhubarbsill/pkg/router"
	"github.com/rhubarbsill/rhubarbsill/pkg/telemetry"
	"github.com/rhubarbsill/rhubarbsill/pkg/upstream"
)

const (
	// holdTimeout bounds a question for a place. An engine answers within
	// milliseconds; the round trip between regions takes 60 ms.
	holdTimeout = 400 * time.Millisecond
	// releaseTimeout bounds the release of a place or a KV cache, which ends by itself
	// soon after.
	releaseTimeout = 500 * time.Millisecond
	// maxResponseBytes bounds the answer of a plain service.
	maxResponseBytes = 8 << 20
	// relayBufferSize is the size of one read of a stream.
	relayBufferSize = 8 << 10
)

func (d *Daemon) acquireHold(ctx context.Context, e router.AcquireHold) {
	ask, cancel := context.WithTimeout(ctx, holdTimeout)
	defer cancel()
	hold, err := d.adapter.Upstreams.TakeHold(ask, e.Upstream, e.Addr, e.Tokens, e.Term)
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
		d.logFailure("hold failed", e.Request, e.Upstream, err)
	}
	d.post(reply)
}

func (d *Daemon) releaseHold(ctx context.Context, e router.ReleaseHold) {
	drop, cancel := context.WithTimeout(ctx, releaseTimeout)
	defer cancel()
	if err := d.adapter.Upstreams.DropHold(drop, e.Upstream, e.Addr, e.Hold); err != nil {
		d.logFailure("place not released", "", e.Upstream, err)
	}
}

func (d *Daemon) releaseKV(ctx context.Context, e router.ReleaseKV) {
	drop, cancel := context.WithTimeout(ctx, releaseTimeout)
	defer cancel()
	if err := d.adapter.Upstreams.DropKV(drop, e.Upstream, e.Addr, e.KV); err != nil {
		d.logFailure("kv cache not released", "", e.Upstream, err)
	}
}

func (d *Daemon) logFailure(what string, id core.RequestID, up core.UpstreamID, err error) {
	telemetry.ComponentLogger(d.log, "upstream").Warn(what,
		zap.String("request", string(id)), zap.String("upstream", string(up)), zap.Error(err))
}

// upstreamRequest returns the request as one Upstream gets it. It reports false when no
// time is left.
func (d *Daemon) upstreamRequest(c *activeRequest, up core.UpstreamID, addr string, account core.AccountID, deadline core.Instant) (UpstreamRequest, bool) {
	f := c.template
	f.Upstream, f.Addr, f.Account = up, addr, account
	f.Deadline = d.start.Add(time.Duration(deadline))
	return f, time.Now().Before(f.Deadline)
}

func (d *Daemon) prefill(ctx context.Context, c *activeRequest, e router.StartPrefill) {
	f, ok := d.upstreamRequest(c, e.Upstream, e.URL, e.Account, e.Deadline)
	if !ok {
		return // the router ends the request at its deadline
	}
	attempt, cancel := c.startAttempt(ctx, e.Attempt)
	defer cancel()
	f.HeaderTimeout = e.ResponseTimeout
	kv, err := d.adapter.Upstreams.Prefill(attempt, f)
	if err != nil {
		d.attemptFailed(attempt, c, e.Attempt, e.Upstream, err)
		return
	}
	d.post(router.PrefillDone{Request: c.id, Attempt: e.Attempt, Upstream: e.Upstream, Addr: e.URL, KV: kv})
}

// attemptFailed reports a failed call. A call that the router has cancelled, or
// whose caller has gone, is not reported.
func (d *Daemon) attemptFailed(ctx context.Context, c *activeRequest, id core.AttemptID, up core.UpstreamID, err error) {
	if ctx.Err() != nil {
		return
	}
	failure := attempts.Failure{Kind: attempts.FailProtocolError, Upstream: up, MaybeSent: true}
	var callError *upstream.Error
	switch {
	case errors.Is(err, ErrAddressReassigned):
		failure.Kind, failure.ConfirmedNotRun = attempts.FailConnect, true
	case errors.Is(err, ErrRejected):
		failure.Kind, failure.ConfirmedNotRun = attempts.FailFull, true
	case errors.As(err, &callError):
		failure.Kind, failure.MaybeSent = failureKind(callError), callError.Sent
	}
	d.logFailure("call failed", c.id, up, err)
	d.post(router.AttemptFailed{Request: c.id, Attempt: id, Failure: failure})
}

func failureKind(err *upstream.Error) attempts.FailureKind {
	switch err.Kind {
	case upstream.ConnectFailed:
		return attempts.FailConnect
	case upstream.Stalled:
		return attempts.FailStalled
	case upstream.Crashed, upstream.Canceled:
		return attempts.FailCrashed
	}
	return attempts.FailProtocolError
}

// sendRequest sends a request to an Upstream that is to serve it.
func (d *Daemon) sendRequest(ctx context.Context, c *activeRequest, attempt core.AttemptID, f UpstreamRequest) *UpstreamResponse {
	answered, err := d.adapter.Upstreams.Run(ctx, f)
	if err != nil {
		d.attemptFailed(ctx, c, attempt, f.Upstream, err)
		return nil
	}
	if answered.AddressReassigned || answered.NotExecuted {
		answered.Close()
		failure := attempts.Failure{Kind: attempts.FailFull, Upstream: f.Upstream, MaybeSent: true, ConfirmedNotRun: true}
		switch {
		case answered.AddressReassigned:
			failure.Kind = attempts.FailConnect
		case f.KV != "":
			failure.Kind = attempts.FailKVGone
		}
		d.post(router.AttemptFailed{Request: c.id, Attempt: attempt, Failure: failure})
		return nil
	}
	if answered.Status < 300 && !answered.Signed {
		answered.Close()
		d.attemptFailed(ctx, c, attempt, f.Upstream, errUnsigned)
		return nil
	}
	return answered
}

var errUnsigned = &upstream.Error{Kind: upstream.Crashed, Sent: true, Err: errors.New("the answer bears no signature of the upstream")}

func (d *Daemon) callPlain(ctx context.Context, c *activeRequest, e router.StartCall) {
	f, ok := d.upstreamRequest(c, e.Upstream, e.URL, e.Account, e.Deadline)
	if !ok {
		return // the router ends the request at its deadline
	}
	attempt, cancel := c.startAttempt(ctx, e.Attempt)
	defer cancel()
	f.HeaderTimeout = e.ResponseTimeout
	answered := d.sendRequest(attempt, c, e.Attempt, f)
	if answered == nil {
		return
	}
	body, err := answered.ReadAll(maxResponseBytes)
	if err != nil {
		d.attemptFailed(attempt, c, e.Attempt, e.Upstream, &upstream.Error{Kind: upstream.Crashed, Sent: true, URL: e.URL, Err: err})
		return
	}
	kept := &bufferedResponse{status: answered.Status, header: answered.Header, body: body}
	if kept.status >= http.StatusInternalServerError && e.Idempotent {
		c.failureResponse = kept
		d.post(router.AttemptFailed{Request: c.id, Attempt: e.Attempt, Failure: attempts.Failure{Kind: attempts.FailProtocolError, Upstream: e.Upstream, MaybeSent: true}})
		return
	}
	c.response.sendBuffered(kept)
	d.post(router.ResponseCompleted{Request: c.id, Attempt: e.Attempt, Status: kept.status})
}

func (d *Daemon) decode(ctx context.Context, c *activeRequest, e router.StartDecode) {
	f, ok := d.upstreamRequest(c, e.Upstream, e.URL, e.Account, e.Deadline)
	if !ok {
		return // the router ends the request at its deadline
	}
	attempt, cancel := c.startAttempt(ctx, e.Attempt)
	defer cancel()
	f.Hold, f.KVSource, f.KV = e.Hold, e.SourceURL, e.KV
	f.LastEventID = c.template.LastEventID
	f.HeaderTimeout = e.EventTimeout
	answered := d.sendRequest(attempt, c, e.Attempt, f)
	if answered == nil {
		return
	}
	defer answered.Close()
	if answered.Status >= 300 {
		d.handleErrorResponse(attempt, c, e, answered)
		return
	}
	if !c.response.started {
		c.response.start(answered.Status, answered.Header, -1)
	}
	d.relay(attempt, c, e, answered)
}

// handleErrorResponse passes on what an engine has answered instead of a stream.
func (d *Daemon) handleErrorResponse(ctx context.Context, c *activeRequest, e router.StartDecode, answered *UpstreamResponse) {
	body, err := answered.ReadAll(maxResponseBytes)
	if err != nil {
		d.attemptFailed(ctx, c, e.Attempt, e.Upstream, &upstream.Error{Kind: upstream.Crashed, Sent: true, URL: e.URL, Err: err})
		return
	}
	if !c.response.started {
		c.failureResponse = &bufferedResponse{status: answered.Status, header: answered.Header, body: body}
	}
	d.post(router.AttemptFailed{Request: c.id, Attempt: e.Attempt, Failure: attempts.Failure{Kind: attempts.FailProtocolError, Upstream: e.Upstream, MaybeSent: true}})
}

// relay passes the events of a stream on. Where the stream may go on at another
// Upstream, only whole events are passed on.
func (d *Daemon) relay(ctx context.Context, c *activeRequest, e router.StartDecode, answered *UpstreamResponse) {
	var events eventSplitter
	buffer := make([]byte, relayBufferSize)
	first := true
	var last time.Time
	var longestPause time.Duration
	for {
		answered.SetReadDeadline(time.Now().Add(e.EventTimeout))
		n, err := answered.Read(buffer)
		part := buffer[:n]
		if e.Resumable {
			part = events.add(part, func(event []byte) {
				if id := d.adapter.Upstreams.EventID(event); id != "" {
					c.template.LastEventID = id
				}
			})
		}
		if len(part) > 0 {
			arrived := time.Now()
			if first {
				first = false
				d.post(router.FirstToken{Request: c.id, Attempt: e.Attempt})
			} else {
				longestPause = max(longestPause, arrived.Sub(last))
			}
			last = arrived
			if failure := c.response.sendPart(part); failure != nil {
				d.post(router.CallerDisconnected{Request: c.id})
				return
			}
		}
		if err == io.EOF && events.empty() {
			d.post(router.ResponseCompleted{Request: c.id, Attempt: e.Attempt, Status: answered.Status, LongestPause: longestPause})
			return
		}
		if err != nil {
			kind := upstream.Crashed
			if errors.Is(err, os.ErrDeadlineExceeded) {
				kind = upstream.Stalled
			}
			d.attemptFailed(ctx, c, e.Attempt, e.Upstream, &upstream.Error{Kind: kind, Sent: true, URL: e.URL, Err: err})
			return
		}
	}
}
