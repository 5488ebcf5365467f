// Package telemetry holds the metrics and the logger of an Instance. Metrics are
// recorded with OpenTelemetry and exposed to Prometheus.
package telemetry

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"go.opentelemetry.io/otel/attribute"
	exporter "go.opentelemetry.io/otel/exporters/prometheus"
	"go.opentelemetry.io/otel/metric"
	sdk "go.opentelemetry.io/otel/sdk/metric"

	"github.com/rhubarbsill/rhubarbsill/pkg/core"
)

// Options configures Metrics. Zero values select the defaults.
type Options struct {
	// Window is the duration of the sliding window in which the worst-served
	// account is determined. Default 1 minute.
	Window time.Duration
	// MinRequests is the number of requests within the window below which an
	// account is ignored. Default 5.
	MinRequests int
	// MaxAccounts bounds the accounts that the window tracks. Default 30000, which
	// is above the 27,000 accounts that a deployment is designed for.
	MaxAccounts int
	// Now returns the time with a monotonic reading. Default time.Now.
	Now func() time.Time
}

// CompletedRequest describes a request whose response is complete.
type CompletedRequest struct {
	Service           core.ServiceName
	Account           core.AccountID
	TimeToFirstToken  time.Duration
	InterTokenLatency time.Duration
	Tokens            int64 // 0 where they are not counted
	// TimeToFirstTokenTarget and InterTokenLatencyTarget are the targets of the
	// service; 0 means that there is none.
	TimeToFirstTokenTarget  time.Duration
	InterTokenLatencyTarget time.Duration
	// Plain is true for the response of a plain service: Duration, the time to its
	// end, replaces TimeToFirstToken.
	Plain    bool
	Duration time.Duration
	// LongestPause is the longest time between two parts of a stream whose tokens
	// are not counted.
	LongestPause time.Duration
	PauseTarget  time.Duration // 0 means that there is none
	// Failed is true if the Upstream responded with a failure.
	Failed bool
}

// WithinTargets reports whether the request succeeded within its latency targets.
func (r CompletedRequest) WithinTargets() bool {
	latency := r.TimeToFirstToken
	if r.Plain {
		latency = r.Duration
	}
	return !r.Failed && within(latency, r.TimeToFirstTokenTarget) && within(r.InterTokenLatency, r.InterTokenLatencyTarget) && within(r.LongestPause, r.PauseTarget)
}

func within(d, target time.Duration) bool { return target == 0 || d <= target }

// Direction is the direction of control traffic.
type Direction string

// The directions of control traffic.
const (
	Sent     Direction = "sent"
	Received Direction = "received"
)

// maxSeries bounds the series of one instrument, since callers may send unknown
// service names. 35 services with 29 refusal codes have 1,015 series.
const maxSeries = 1500

// Metrics holds the instruments, which are created once. No label contains an
// account or a request; services, models and codes come from the configuration.
type Metrics struct {
	provider *sdk.MeterProvider
	handler  http.Handler
	accounts *window

	responses          metric.Int64Counter
	goodput            metric.Int64Counter
	goodputTokens      metric.Int64Counter
	timeToFirstToken   metric.Float64Histogram
	interTokenLatency  metric.Float64Histogram
	wastedPrefill      metric.Int64Counter
	refusals           metric.Int64Counter
	refusalsWithinRate metric.Int64Counter
	controlCPU         metric.Float64Counter
	processCPU         metric.Float64Counter
	controlBytes       metric.Int64Counter
	lateResponses      metric.Int64Counter
	queueLength        metric.Int64Gauge

	responseTime       metric.Float64Histogram
	longestPause       metric.Float64Histogram
	callerDisconnects  metric.Int64Counter
	upstreamFailures   metric.Int64Counter
	retries            metric.Int64Counter
	announcements      metric.Int64Counter
	queueByUrgency     metric.Int64Gauge
	queueRefusals      metric.Int64Counter
	quotaPart          metric.Int64Gauge
	sharesTakenOver    metric.Int64Gauge
	coldUpstreams      metric.Int64Gauge
	coldRequests       metric.Int64Counter
	paceSpread         metric.Int64Gauge
	slowUpstreams      metric.Int64Gauge
	heldTokens         metric.Int64Counter
	heldRequests       metric.Int64Counter
	heldPrefixes       metric.Int64Gauge
	reachableInstances metric.Int64Gauge
	notNamed           metric.Int64Gauge
	delayedHeartbeats  metric.Int64Counter
	configVersion      metric.Int64Gauge
	storeWatchFailing  metric.Int64Gauge
	extraTokens        metric.Int64Counter
	evacuatedRequests  metric.Int64Gauge
	evacuationAge      metric.Float64Gauge
	storeCalls         metric.Int64Counter
	confirmationAge    metric.Float64Gauge
	forwardedChanges   metric.Int64Counter

	admission   metric.Int64Counter
	heldBytes   metric.Int64Gauge
	connections metric.Int64Gauge
}

// New creates the instruments and the Prometheus exporter.
func New(opts Options) (*Metrics, error) {
	registry := prometheus.NewRegistry()
	reader, err := exporter.New(exporter.WithRegisterer(registry), exporter.WithNamespace("rhubarbsill"), exporter.WithoutScopeInfo())
	if err != nil {
		return nil, fmt.Errorf("prometheus exporter: %w", err)
	}
	m := &Metrics{
		provider: sdk.NewMeterProvider(sdk.WithReader(reader), sdk.WithCardinalityLimit(maxSeries)),
		handler:  promhttp.HandlerFor(registry, promhttp.HandlerOpts{}),
		accounts: newWindow(opts),
	}
	if err := m.createInstruments(m.provider.Meter("github.com/rhubarbsill/rhubarbsill")); err != nil {
		return nil, fmt.Errorf("create instruments: %w", err)
	}
	return m, nil
}

func (m *Metrics) createInstruments(meter metric.Meter) error {
	b := builder{meter: meter}
	m.responses = b.counter("answers", "{request}", "Requests with a complete answer.")
	m.goodput = b.counter("goodput", "{request}", "Requests answered within both latency targets.")
	m.goodputTokens = b.counter("goodput_tokens", "{token}", "Output tokens of requests answered within both latency targets.")
	m.timeToFirstToken = b.histogram("first_token", "Time from arrival to the first token.", 0.05, 0.1, 0.2, 0.5, 1, 1.5, 1.9, 2.5, 5, 10)
	m.interTokenLatency = b.histogram("between_tokens", "Mean time between the tokens of an answer.", 0.005, 0.01, 0.02, 0.03, 0.037, 0.05, 0.1, 0.5, 1)
	m.wastedPrefill = b.counter("wasted_prefill", "{token}", "Prompt tokens prefilled for an attempt that gave no complete answer.")
	m.refusals = b.counter("refusals", "{request}", "Refused requests by code.")
	m.refusalsWithinRate = b.counter("refusals_inside_rate", "{request}", "Requests refused although inside the rate of their account.")
	m.controlCPU = b.secondsCounter("control_cpu", "Time of the event loop spent on events that belong to no request.")
	m.processCPU = b.secondsCounter("process_cpu", "Processor time of the whole process.")
	m.controlBytes = b.counter("control", "By", "Bytes of traffic with peers and the platform by direction.")
	m.lateResponses = b.counter("late_answers_dropped", "{answer}", "Answers that arrived after their attempt had ended.")
	m.admission = b.counter("clients_limited", "{event}", "Connections and requests refused or closed because bytes or descriptors are short, by listener and kind.")
	m.heldBytes = b.gauge("held", "By", "Bytes held for connections of all listeners.")
	m.connections = b.gauge("connections", "{connection}", "Open connections of all listeners.")
	m.queueLength = b.gauge("queue_length", "{request}", "Requests that wait for an engine.")
	m.responseTime = b.histogram("answer_time", "Time from arrival to the end of the answer of a plain service.", 0.005, 0.01, 0.025, 0.05, 0.1, 0.2, 0.3, 0.5, 1, 2, 5, 10)
	m.longestPause = b.histogram("longest_pause", "Longest pause of a stream.", 0.05, 0.1, 0.2, 0.3, 0.5, 1, 2, 5)
	m.callerDisconnects = b.counter("callers_gone", "{request}", "Requests whose caller left before the end of the answer.")
	m.upstreamFailures = b.counter("upstream_failures", "{call}", "Failed calls to upstreams by kind.")
	m.retries = b.counter("resends", "{request}", "Requests sent to another upstream after a failed call.")
	m.announcements = b.counter("upstream_announcements", "{announcement}", "New announcements of upstreams about themselves by kind.")
	m.queueByUrgency = b.gauge("queue_length_by_urgency", "{request}", "Requests that wait for an upstream, by urgency.")
	m.queueRefusals = b.counter("queue_refusals", "{request}", "Requests that could not be placed in time, by urgency.")
	m.quotaPart = b.gauge("quota_part_percent", "1", "Part of all quotas that this instance and the peers it hears may use, in percent.")
	m.sharesTakenOver = b.gauge("shares_taken_over", "{instance}", "Lost instances whose shares of the quotas are used by the others.")
	m.coldUpstreams = b.gauge("cold_upstreams", "{upstream}", "Upstreams that are cold; those to which this instance may send, and the others.")
	m.coldRequests = b.counter("cold_requests", "{request}", "Requests to cold upstreams: sent, and deferred at each cold upstream that a request passed by.")
	m.paceSpread = b.gauge("upstream_pace", "%", "Estimated duration of work at the fastest and the slowest upstream of a service and stage, 100 for the usual.")
	m.slowUpstreams = b.gauge("upstreams_slow", "{upstream}", "Upstreams of a service and stage that have turned slow.")
	m.heldTokens = b.counter("held_prompt_tokens", "{token}", "Prompt tokens that the chosen prefill engine was expected to hold, and those of them that the time of the prefill showed as found or refuted.")
	m.heldRequests = b.counter("held_prompt_requests", "{request}", "Prefills sent to an engine that was expected to hold a part of the prompt.")
	m.heldPrefixes = b.gauge("held_prompt_prefixes", "{prefix}", "Prefixes of prompts that prefill engines are known to have got from this instance.")
	m.reachableInstances = b.gauge("instances_heard", "{instance}", "Instances that are heard, this one included.")
	m.notNamed = b.gauge("instances_not_named", "{instance}", "Heard instances that address responses leave out, because it is not known that they are alive.")
	m.delayedHeartbeats = b.counter("delayed_heartbeats", "{heartbeat}", "Heartbeats that were ignored because they were made long ago.")
	m.configVersion = b.gauge("config_version", "{version}", "Configuration version in force, 0 for none.")
	m.extraTokens = b.counter("quota_tolerated_tokens", "{token}", "Tokens admitted beyond the rates of accounts, within the tolerance of the platform.")
	m.evacuatedRequests = b.gauge("evacuated_requests", "{request}", "Own requests that still run at an evacuated data centre.")
	m.evacuationAge = b.secondsGauge("evacuations_age", "Time since the list of evacuations was confirmed by the store, -1 before.")
	m.storeCalls = b.counter("store_calls", "{call}", "Calls of the store for the configuration and the upstreams by reason, if followers rely on readers.")
	m.confirmationAge = b.secondsGauge("store_confirmation_age", "Time since the configuration or the upstreams are known to have been complete in the store, -1 before.")
	m.forwardedChanges = b.counter("forwarded_changes", "{message}", "Messages with changes of the upstreams between instances by outcome.")
	m.storeWatchFailing = b.gauge("store_lost", "{watch}", "1 while a watch of the store fails.")
	b.observableGauge("worst_account_service", "1", "Share of requests answered within both targets, of the account with the lowest share in the window. 1 when no account has enough requests.", m.accounts.lowestShare)
	return b.err
}

// Handler serves the metrics in Prometheus text format.
func (m *Metrics) Handler() http.Handler { return m.handler }

// Close stops the meter provider.
func (m *Metrics) Close(ctx context.Context) error { return m.provider.Shutdown(ctx) }

// RecordCompletion records a request whose response is complete.
func (m *Metrics) RecordCompletion(r CompletedRequest) {
	ctx := context.Background()
	service := metric.WithAttributes(serviceLabel(r.Service))
	m.responses.Add(ctx, 1, service)
	switch {
	case r.Plain:
		m.responseTime.Record(ctx, r.Duration.Seconds(), service)
	case r.Tokens > 0:
		m.timeToFirstToken.Record(ctx, r.TimeToFirstToken.Seconds(), service)
		m.interTokenLatency.Record(ctx, r.InterTokenLatency.Seconds(), service)
	default:
		m.timeToFirstToken.Record(ctx, r.TimeToFirstToken.Seconds(), service)
		m.longestPause.Record(ctx, r.LongestPause.Seconds(), service)
	}
	metTargets := r.WithinTargets()
	if metTargets {
		m.goodput.Add(ctx, 1, service)
		m.goodputTokens.Add(ctx, r.Tokens, service)
	}
	m.accounts.add(r.Account, metTargets)
}

// RecordRefusal records a refused request. withinRate is true if the account was
// within its rate limit; the request then counts as one that missed its targets.
func (m *Metrics) RecordRefusal(service core.ServiceName, account core.AccountID, code core.Code, withinRate bool) {
	ctx := context.Background()
	m.refusals.Add(ctx, 1, metric.WithAttributes(serviceLabel(service), attribute.String("code", string(code))))
	if !withinRate {
		return
	}
	m.refusalsWithinRate.Add(ctx, 1, metric.WithAttributes(serviceLabel(service)))
	m.accounts.add(account, false)
}

// AddWastedPrefill records prompt tokens of discarded prefill work.
func (m *Metrics) AddWastedPrefill(service core.ServiceName, tokens int64) {
	m.wastedPrefill.Add(context.Background(), tokens, metric.WithAttributes(serviceLabel(service)))
}

// AddControlCPU records time that the event loop spent on events that belong to no
// request.
func (m *Metrics) AddControlCPU(d time.Duration) {
	m.controlCPU.Add(context.Background(), d.Seconds())
}

// AddControlBytes records bytes of traffic with peers and the platform.
func (m *Metrics) AddControlBytes(direction Direction, n int64) {
	m.controlBytes.Add(context.Background(), n, metric.WithAttributes(attribute.String("direction", string(direction))))
}

// AddProcessCPU records processor time of the whole process.
func (m *Metrics) AddProcessCPU(d time.Duration) {
	m.processCPU.Add(context.Background(), d.Seconds())
}

// AddLateResponses records responses that were dropped because their attempt had
// ended. They have no service label, since the attempt is no longer known.
func (m *Metrics) AddLateResponses(n int64) {
	m.lateResponses.Add(context.Background(), n)
}

// SetQueueLength records the number of requests that wait for an engine.
func (m *Metrics) SetQueueLength(service core.ServiceName, n int) {
	m.queueLength.Record(context.Background(), int64(n), metric.WithAttributes(serviceLabel(service)))
}

// SetQueueOfUrgency records the number of requests with an urgency that wait for an Upstream, and adds
// those that were refused.
func (m *Metrics) SetQueueOfUrgency(urgency, waiting, refused int) {
	label := metric.WithAttributes(attribute.Int("urgency", urgency))
	m.queueByUrgency.Record(context.Background(), int64(waiting), label)
	if refused > 0 {
		m.queueRefusals.Add(context.Background(), int64(refused), label)
	}
}

// RecordCallerDisconnect records a request whose caller disconnected before the end
// of the response.
func (m *Metrics) RecordCallerDisconnect(service core.ServiceName) {
	m.callerDisconnects.Add(context.Background(), 1, metric.WithAttributes(serviceLabel(service)))
}

// RecordUpstreamFailure records a failed call to an Upstream.
func (m *Metrics) RecordUpstreamFailure(service core.ServiceName, kind string) {
	m.upstreamFailures.Add(context.Background(), 1, metric.WithAttributes(serviceLabel(service), attribute.String("kind", kind)))
}

// RecordRetry records a request that was retried at another Upstream.
func (m *Metrics) RecordRetry(service core.ServiceName) {
	m.retries.Add(context.Background(), 1, metric.WithAttributes(serviceLabel(service)))
}

// AddUpstreamAnnouncement records that an Upstream has announced something new about itself.
func (m *Metrics) AddUpstreamAnnouncement(kind string) {
	m.announcements.Add(context.Background(), 1, metric.WithAttributes(attribute.String("kind", kind)))
}

// SetPaceSpread records how long work takes at the fastest and the slowest Upstream of a service and
// stage relative to the usual, and how many have turned slow.
func (m *Metrics) SetPaceSpread(service core.ServiceName, stage string, fastest, slowest float64, slow int) {
	group := []attribute.KeyValue{serviceLabel(service), attribute.String("stage", stage)}
	for bound, pace := range map[string]float64{"fastest": fastest, "slowest": slowest} {
		labels := append([]attribute.KeyValue{attribute.String("bound", bound)}, group...)
		m.paceSpread.Record(context.Background(), int64(100*pace+0.5), metric.WithAttributes(labels...))
	}
	m.slowUpstreams.Record(context.Background(), int64(slow), metric.WithAttributes(group...))
}

// AddHeldPrompts records prompt tokens that engines were expected to hold, and the requests with such tokens.
func (m *Metrics) AddHeldPrompts(expected, found, refuted, requests int64) {
	for result, tokens := range map[string]int64{"expected": expected, "found": found, "refuted": refuted} {
		m.heldTokens.Add(context.Background(), tokens, metric.WithAttributes(attribute.String("result", result)))
	}
	m.heldRequests.Add(context.Background(), requests)
}

// SetHeldPrefixes records the number of prefixes that engines are known to have got.
func (m *Metrics) SetHeldPrefixes(n int) { m.heldPrefixes.Record(context.Background(), int64(n)) }

// AddAdmission records that a connection or a request was limited.
func (m *Metrics) AddAdmission(listener, kind string) {
	m.admission.Add(context.Background(), 1, metric.WithAttributes(attribute.String("listener", listener), attribute.String("kind", kind)))
}

// SetHeld records what is held for connections, and their number.
func (m *Metrics) SetHeld(bytes int64, conns int) {
	m.heldBytes.Record(context.Background(), bytes)
	m.connections.Record(context.Background(), int64(conns))
}

// SetReachableInstances records the number of live Instances, this one included.
func (m *Metrics) SetReachableInstances(n int) {
	m.reachableInstances.Record(context.Background(), int64(n))
}

// SetLiveness records the number of Instances that address responses leave out, and counts ignored
// heartbeats.
func (m *Metrics) SetLiveness(notNamed int, delayedHeartbeats int64) {
	m.notNamed.Record(context.Background(), int64(notNamed))
	m.delayedHeartbeats.Add(context.Background(), delayedHeartbeats)
}

// SetConfigVersion records the active configuration version, 0 for none.
func (m *Metrics) SetConfigVersion(v core.Version) {
	m.configVersion.Record(context.Background(), int64(v))
}

// SetStoreWatchFailing records whether the named watch of the store fails.
func (m *Metrics) SetStoreWatchFailing(watch string, failing bool) {
	value := int64(0)
	if failing {
		value = 1
	}
	m.storeWatchFailing.Record(context.Background(), value, metric.WithAttributes(attribute.String("what", watch)))
}

// AddExtraTokens counts tokens that were admitted beyond the rates of accounts.
func (m *Metrics) AddExtraTokens(n int64) { m.extraTokens.Add(context.Background(), n) }

// SetEvacuatedRequests records the own requests that run at an evacuated data centre.
func (m *Metrics) SetEvacuatedRequests(dc core.DataCentreName, n int) {
	m.evacuatedRequests.Record(context.Background(), int64(n), metric.WithAttributes(attribute.String("data_centre", string(dc))))
}

// SetEvacuationAge records the time since the list of evacuations was confirmed, negative before the
// first confirmation.
func (m *Metrics) SetEvacuationAge(age time.Duration) {
	m.evacuationAge.Record(context.Background(), max(-1, age.Seconds()))
}

// SetConfirmationAge records the time since a kind of state was confirmed, negative before the first
// confirmation.
func (m *Metrics) SetConfirmationAge(kind string, age time.Duration) {
	m.confirmationAge.Record(context.Background(), max(-1, age.Seconds()), metric.WithAttributes(attribute.String("what", kind)))
}

// AddStoreCalls counts calls of the store for a kind of state.
func (m *Metrics) AddStoreCalls(kind, reason string, n int64) {
	m.storeCalls.Add(context.Background(), n, metric.WithAttributes(attribute.String("what", kind), attribute.String("reason", reason)))
}

// AddForwardedChanges counts messages with changes of the Upstreams.
func (m *Metrics) AddForwardedChanges(outcome string, n int64) {
	m.forwardedChanges.Add(context.Background(), n, metric.WithAttributes(attribute.String("outcome", outcome)))
}

func serviceLabel(name core.ServiceName) attribute.KeyValue {
	return attribute.String("service", string(name))
}

// builder creates instruments and records the first error.
type builder struct {
	meter metric.Meter
	err   error
}

func (b *builder) counter(name, unit, text string) metric.Int64Counter {
	c, err := b.meter.Int64Counter(name, metric.WithUnit(unit), metric.WithDescription(text))
	b.recordError(err)
	return c
}

func (b *builder) secondsCounter(name, text string) metric.Float64Counter {
	c, err := b.meter.Float64Counter(name, metric.WithUnit("s"), metric.WithDescription(text))
	b.recordError(err)
	return c
}

func (b *builder) histogram(name, text string, bounds ...float64) metric.Float64Histogram {
	h, err := b.meter.Float64Histogram(name, metric.WithUnit("s"), metric.WithDescription(text), metric.WithExplicitBucketBoundaries(bounds...))
	b.recordError(err)
	return h
}

func (b *builder) gauge(name, unit, text string) metric.Int64Gauge {
	g, err := b.meter.Int64Gauge(name, metric.WithUnit(unit), metric.WithDescription(text))
	b.recordError(err)
	return g
}

func (b *builder) secondsGauge(name, text string) metric.Float64Gauge {
	g, err := b.meter.Float64Gauge(name, metric.WithUnit("s"), metric.WithDescription(text))
	b.recordError(err)
	return g
}

func (b *builder) observableGauge(name, unit, text string, read func() float64) {
	_, err := b.meter.Float64ObservableGauge(name, metric.WithUnit(unit), metric.WithDescription(text),
		metric.WithFloat64Callback(func(_ context.Context, o metric.Float64Observer) error {
			o.Observe(read())
			return nil
		}))
	b.recordError(err)
}

func (b *builder) recordError(err error) {
	if b.err == nil {
		b.err = err
	}
}
