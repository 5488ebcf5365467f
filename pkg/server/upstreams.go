package server

import (
	"context"
	"errors"
	"io"
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/rhubarbsill/rhubarbsill/pkg/attempts"
	"github.com/rhubarbsill/rhubarbsill/pkg/core"
	"github.com/rhubarbsill/rhubarbsill/pkg/placement"
	"github.com/rhubarbsill/rhubarbsill/pkg/resume"
	"github.com/rhubarbsill/rhubarbsill/pkg/router"
	"github.com/rhubarbsill/rhubarbsill/pkg/telemetry"
	"github.com/rhubarbsill/rhubarbsill/pkg/upstream"
)

// tokensPerProgressEvent is the number of tokens between two progress events of a
// stream. The Router is not notified of every token.
const tokensPerProgressEvent = 32

// dispatchToHandler sends an effect to the handler that writes to the caller. When
// the request has ended or its queue is full, the attempt fails as not sent.
func (s *Server) dispatchToHandler(id core.RequestID, effect router.Effect, attempt core.AttemptID, up core.UpstreamID) {
	if !s.requests.post(id, effect) {
		s.failUnsent(attempt, up, attempts.FailExpired)
	}
}

func (s *Server) failUnsent(attempt core.AttemptID, up core.UpstreamID, kind attempts.FailureKind) {
	go s.post(router.AttemptFailed{Attempt: attempt, Failure: attempts.Failure{Kind: kind, Upstream: up}})
}

func (s *Server) prefill(ctx context.Context, e router.StartPrefill) {
	active := s.requests.get(e.Request)
	if active == nil {
		s.failUnsent(e.Attempt, e.Upstream, attempts.FailExpired)
		return
	}
	ctx, cancel := active.startAttempt(ctx, e.Attempt)
	defer cancel()
	if wait := s.clock.until(e.At); wait > 0 {
		sleep(ctx, wait)
	}
	if ctx.Err() != nil {
		return
	}
	if s.clock.now() >= e.NotAfter {
		s.post(router.EffectExpired{Effect: e})
		return
	}
	emitted, tokens := active.snapshotProgress(e.Attempt)
	if active.isComplete() {
		s.post(router.PrefillDone{Attempt: e.Attempt}) // decode then completes the request without a call
		return
	}
	s.post(router.AttemptSent{Attempt: e.Attempt})
	sent := time.Now()
	response, err := s.upstreams.Load().Prefill(ctx, e.URL, upstream.PrefillRequest{
		Attempt:      e.Attempt.String(),
		Model:        active.model,
		Prompt:       active.prompt,
		PromptTokens: upstream.EstimateTokens(active.prompt) + tokens,
		Emitted:      emitted,
		Priority:     e.Priority,
	})
	if err != nil {
		s.reportAttemptFailure(ctx, e.Attempt, e.Upstream, err)
		return
	}
	s.post(router.PrefillDone{
		Attempt: e.Attempt, KV: string(response.KV), CachedTokens: response.CachedTokens, Bytes: response.Bytes, Duration: time.Since(sent),
	})
}

// reportAttemptFailure reports a failed call to an Upstream, unless the Router has
// cancelled the attempt.
func (s *Server) reportAttemptFailure(ctx context.Context, id core.AttemptID, up core.UpstreamID, err error) {
	if ctx.Err() != nil {
		return
	}
	failure := attempts.Failure{Kind: attempts.FailProtocolError, Upstream: up, MaybeSent: true}
	var upstreamError *upstream.Error
	if errors.As(err, &upstreamError) {
		failure.MaybeSent = upstreamError.Sent
		failure.Kind = failureKind(upstreamError)
	}
	telemetry.ComponentLogger(s.log, "attempts").Warn("attempt failed",
		zap.String("attempt", id.String()), zap.String("upstream", string(up)), zap.Error(err))
	s.post(router.AttemptFailed{Attempt: id, Failure: failure})
}

func failureKind(err *upstream.Error) attempts.FailureKind {
	switch err.Kind {
	case upstream.ConnectFailed:
		return attempts.FailConnect
	case upstream.Full, upstream.Refused:
		return attempts.FailFull
	case upstream.Crashed, upstream.Canceled:
		return attempts.FailCrashed
	case upstream.Stalled:
		return attempts.FailStalled
	case upstream.KVGone:
		return attempts.FailKVGone
	default:
		return attempts.FailProtocolError
	}
}

// relay streams the response of an attempt to the caller. It runs on the goroutine
// of the request's handler until the stream has ended, the attempt is cancelled or
// the caller has disconnected.
type relay struct {
	server         *Server
	active         *activeRequest
	response       *responseWriter
	request        core.RequestID
	attempt        core.AttemptID
	upstream       core.UpstreamID
	interTokenGaps []time.Duration
	lastTokenAt    time.Time
	relayedTokens  int // by this attempt
}

func (s *Server) decode(ctx context.Context, active *activeRequest, rw *responseWriter, e router.StartDecode) error {
	ctx, cancel := active.startAttempt(ctx, e.Attempt)
	defer cancel()
	if wait := s.clock.until(e.At); wait > 0 {
		sleep(ctx, wait)
	}
	if ctx.Err() != nil {
		return nil
	}
	if s.clock.now() >= e.NotAfter {
		s.post(router.EffectExpired{Effect: e})
		return nil
	}
	active.relayMu.Lock()
	defer active.relayMu.Unlock()
	offset := active.startOffset(e.Attempt)
	if active.isComplete() {
		s.post(router.ResponseCompleted{Attempt: e.Attempt, Tokens: offset})
		return nil
	}
	stream, err := s.upstreams.Load().Decode(ctx, e.URL, upstream.DecodeRequest{
		Attempt:   e.Attempt.String(),
		Source:    e.SourceURL,
		KV:        upstream.KVHandle(e.KV),
		MaxTokens: e.MaxOutputTokens,
		Offset:    offset,
		Priority:  e.Priority,
	})
	if err != nil {
		s.reportAttemptFailure(ctx, e.Attempt, e.Upstream, err)
		return nil
	}
	r := &relay{server: s, active: active, response: rw, request: e.Request, attempt: e.Attempt, upstream: e.Upstream}
	return r.run(ctx, stream)
}

func (s *Server) resume(ctx context.Context, active *activeRequest, rw *responseWriter, e router.StartResume) error {
	ctx, cancel := active.startAttempt(ctx, e.Attempt)
	defer cancel()
	if s.clock.now() >= e.NotAfter {
		s.post(router.EffectExpired{Effect: e})
		return nil
	}
	active.setOffset(e.Offset)
	stream, err := s.upstreams.Load().ResumeAs(ctx, e.URL, e.EngineAttempt.String(), e.Attempt.String(), e.Offset)
	if err != nil {
		s.reportAttemptFailure(ctx, e.Attempt, e.Upstream, err)
		return nil
	}
	r := &relay{server: s, active: active, response: rw, request: e.Request, attempt: e.Attempt, upstream: e.Upstream}
	return r.run(ctx, stream)
}

// run relays the stream. It returns an error only when a write to the caller has
// failed; a failure of the Upstream is reported to the Router.
func (r *relay) run(ctx context.Context, stream upstream.TokenStream) error {
	defer stream.Close()
	stop := context.AfterFunc(ctx, func() { stream.Close() })
	defer stop()
	for {
		token, err := stream.Next()
		if errors.Is(err, io.EOF) {
			r.finish()
			return nil
		}
		if err != nil {
			_, tokens := r.active.delivered()
			r.server.post(router.Progress{Attempt: r.attempt, Tokens: tokens})
			r.server.reportAttemptFailure(ctx, r.attempt, r.upstream, err)
			return nil
		}
		if ctx.Err() != nil {
			return nil
		}
		if err := r.relayToken(token); err != nil {
			return err
		}
	}
}

func (r *relay) relayToken(token upstream.Token) error {
	now := time.Now()
	if r.relayedTokens > 0 {
		r.interTokenGaps = append(r.interTokenGaps, now.Sub(r.lastTokenAt))
	}
	r.lastTokenAt = now
	if err := r.response.writeToken(token, r.eventID(token.Index+1)); err != nil {
		return err
	}
	r.active.appendToken(token)
	r.relayedTokens++
	_, tokens := r.active.delivered()
	if r.relayedTokens == 1 {
		r.server.post(router.FirstToken{Attempt: r.attempt})
	}
	if r.relayedTokens%tokensPerProgressEvent == 0 {
		r.server.post(router.Progress{Attempt: r.attempt, Tokens: tokens})
	}
	return nil
}

// eventID returns the sealed SSE event id of a stream position, with which the
// caller can resume at any Instance. It is empty for a response that is not
// streamed and without resume keys.
func (r *relay) eventID(next int) string {
	sealer := r.server.sealer.Load()
	if sealer == nil || !r.response.stream {
		return ""
	}
	return sealer.Seal(resume.Position{
		Account:  r.active.account,
		Request:  r.request,
		Upstream: r.upstream,
		Attempt:  r.attempt,
		Offset:   next,
	})
}

func (r *relay) finish() {
	_, tokens := r.active.delivered()
	r.server.post(router.ResponseCompleted{Attempt: r.attempt, Tokens: tokens, BetweenTokens: percentile95(r.interTokenGaps)})
}

func percentile95(gaps []time.Duration) time.Duration {
	if len(gaps) == 0 {
		return 0
	}
	slices.Sort(gaps)
	return gaps[len(gaps)*95/100]
}

// sendPlainRequest sends a plain request to its Upstream. It continues when the
// caller disconnects: the outcome of a request with a claim has to be recorded.
func (s *Server) sendPlainRequest(ctx context.Context, e router.StartCall) {
	active := s.requests.get(e.Request)
	if active == nil {
		s.failUnsent(e.Attempt, e.Upstream, attempts.FailExpired)
		return
	}
	ctx, cancel := active.startAttempt(ctx, e.Attempt)
	defer cancel()
	if s.clock.now() >= e.NotAfter {
		s.post(router.EffectExpired{Effect: e})
		return
	}
	s.post(router.AttemptSent{Attempt: e.Attempt})
	response, err := s.upstreams.Load().Call(ctx, e.URL, active.plain)
	if err != nil {
		s.reportAttemptFailure(ctx, e.Attempt, e.Upstream, err)
		return
	}
	active.setResponse(&response)
	s.post(router.ResponseCompleted{Attempt: e.Attempt, Status: response.Status})
}

// cancelAttempt releases what an engine holds for an attempt. The Router repeats
// the effect until it is confirmed.
func (s *Server) cancelAttempt(ctx context.Context, e router.Cancel) {
	if e.URL == "" {
		s.post(router.CancelConfirmed{Attempt: e.Attempt, Upstream: e.Upstream})
		return
	}
	if err := s.upstreams.Load().Cancel(ctx, e.URL, e.Attempt.String()); err != nil {
		telemetry.ComponentLogger(s.log, "attempts").Debug("cancel failed",
			zap.String("attempt", e.Attempt.String()), zap.Error(err))
		return
	}
	s.post(router.CancelConfirmed{Attempt: e.Attempt, Upstream: e.Upstream})
}

// pollLoad queries the load of an engine and the cache events of a prefill engine.
func (s *Server) pollLoad(ctx context.Context, e router.PollLoad) {
	requestedAt := s.clock.now()
	client := s.upstreams.Load()
	report, err := client.Load(ctx, e.URL)
	if err != nil {
		s.post(router.LoadPollFailed{Upstream: e.Upstream})
		return
	}
	s.post(router.LoadReported{Upstream: e.Upstream, Report: s.toLoadReport(requestedAt, report), Serves: toServingReport(report)})
	if !e.IncludeCacheEvents {
		return
	}
	events, err := client.CacheEvents(ctx, e.URL, e.CacheAfter)
	if err != nil {
		return
	}
	s.post(router.CacheReported{Upstream: e.Upstream, Events: toCacheEvents(events), Next: events.Next})
}

func (s *Server) toLoadReport(requestedAt core.Instant, report upstream.LoadReport) placement.LoadReport {
	age := max(0, time.Since(time.UnixMilli(report.AsOfMS)))
	load := placement.LoadReport{
		Slots:          report.Slots,
		UsedSlots:      report.Used,
		QueuedRequests: report.Queued,
		QueuedTokens:   report.QueuedTokens,
		ObservedAt:     requestedAt.Add(-min(age, maxReportAge)),
		Generation:     report.Generation,
	}
	for _, text := range report.Attempts {
		if id, err := core.ParseAttemptID(text); err == nil {
			load.Attempts = append(load.Attempts, id)
		}
	}
	return load
}

// maxReportAge bounds the computed age of a load report, since the wall clock of
// the engine may be wrong.
const maxReportAge = 2 * time.Second

// toCacheEvents groups events with consecutive sequence numbers.
func toCacheEvents(events upstream.CacheEvents) []placement.CacheEvents {
	var batches []placement.CacheEvents
	for _, event := range events.Events {
		entry := placement.CacheEvent{BlockHash: event.Block, Stored: !event.Evicted}
		last := len(batches) - 1
		if last >= 0 && batches[last].FirstSeq+uint64(len(batches[last].Events)) == event.Seq {
			batches[last].Events = append(batches[last].Events, entry)
			continue
		}
		batches = append(batches, placement.CacheEvents{FirstSeq: event.Seq, Events: []placement.CacheEvent{entry}})
	}
	return batches
}
