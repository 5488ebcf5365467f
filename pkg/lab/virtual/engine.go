package virtual

import (
	"cmp"
	"slices"
	"time"

	"github.com/rhubarbsill/rhubarbsill/pkg/attempts"
	"github.com/rhubarbsill/rhubarbsill/pkg/config"
	"github.com/rhubarbsill/rhubarbsill/pkg/core"
	"github.com/rhubarbsill/rhubarbsill/pkg/orders"
	"github.com/rhubarbsill/rhubarbsill/pkg/placement"
	"github.com/rhubarbsill/rhubarbsill/pkg/router"
)

// EngineOptions are the speeds and sizes of the engines. A zero value selects the
// default.
type EngineOptions struct {
	PerPromptToken    time.Duration // default 50 µs
	PerOutputToken    time.Duration // default 20 ms
	PerBatchMember    time.Duration // added to a decode step for each request in the batch, default 200 µs
	KVRetention       time.Duration // retention of a prefill result, default 800 ms
	KVBytesPerToken   int64         // default 100,000
	CacheBlocks       int           // of a prefill engine, default 400
	ReportLag         time.Duration // age of the load in a report, default 200 ms
	EventLag          time.Duration // delay of cache events, default 300 ms
	EventLossInterval int           // one cache event in EventLossInterval is lost, default 10
	PlainServiceTime  time.Duration // processing time of a plain request, default 5 ms
	Downtime          time.Duration // after a crash, default 2 s
	LoadTime          time.Duration // from an order until new weights are served, default 5 s
	RoleChangeTime    time.Duration // from an order that changes only the role until it is served, default 100 ms
}

func (o EngineOptions) withDefaults() EngineOptions {
	setDefault(&o.PerPromptToken, 50*time.Microsecond)
	setDefault(&o.PerOutputToken, 20*time.Millisecond)
	setDefault(&o.PerBatchMember, 200*time.Microsecond)
	setDefault(&o.KVRetention, 800*time.Millisecond)
	setDefault(&o.KVBytesPerToken, 100_000)
	setDefault(&o.CacheBlocks, 400)
	setDefault(&o.ReportLag, 200*time.Millisecond)
	setDefault(&o.EventLag, 300*time.Millisecond)
	setDefault(&o.EventLossInterval, 10)
	setDefault(&o.PlainServiceTime, 5*time.Millisecond)
	setDefault(&o.Downtime, 2*time.Second)
	setDefault(&o.LoadTime, 5*time.Second)
	setDefault(&o.RoleChangeTime, 100*time.Millisecond)
	return o
}

func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}

// engine is a model of one Upstream: a prefill engine, a decode engine or a
// plain service.
type engine struct {
	sim *Simulation
	up  config.Upstream

	generation uint64
	downUntil  time.Duration
	// stalled delays transfers and tokens, as a network fault would.
	stalled bool
	// serving is nil for an engine that starts without a desired state.
	serving      *servingState
	acceptedWork int // number of prefills and decodes

	// A prefill engine computes one prompt at a time.
	freeAt        time.Duration
	kvExpiresAt   map[core.AttemptID]time.Duration // end of retention of prefill results
	cachedBlocks  []uint64                         // least recently used first
	cacheEvents   []placement.CacheEvent
	firstEventSeq uint64          // sequence number of cacheEvents[0]
	eventTimes    []time.Duration // when each of cacheEvents happened

	// A decode engine runs one attempt in each slot.
	running     map[core.AttemptID]*decodeAttempt
	loadHistory []loadSample
}

// decodeAttempt is an attempt with a slot at a decode engine.
type decodeAttempt struct {
	attempt     core.AttemptID
	reader      *Instance
	readerEpoch int // processEpoch of the reader
	request     core.RequestID
	baseTokens  int // tokens that the caller received from earlier attempts
	maxTokens   int // tokens to generate
	generated   int
	// delivered is the part of generated that was sent to the reader.
	delivered      int
	startedAt      time.Duration // start of generation, 0 during the transfer
	gaps           []time.Duration
	firstTokenSent bool
	ended          bool
}

type loadSample struct {
	at           time.Duration
	usedSlots    int
	queuedTokens int64 // prompt tokens
	attempts     []core.AttemptID
	serves       *orders.Report
}

func newEngine(w *Simulation, up config.Upstream) *engine {
	return &engine{
		sim:         w,
		up:          up,
		generation:  1,
		serving:     newServingState(up),
		kvExpiresAt: map[core.AttemptID]time.Duration{},
		running:     map[core.AttemptID]*decodeAttempt{},
	}
}

func (e *engine) down() bool { return e.sim.now < e.downUntil }

// Crash makes an Upstream lose its attempts and caches and stay down for
// EngineOptions.Downtime. It does nothing if the Upstream is down.
func (w *Simulation) Crash(id core.UpstreamID) {
	e := w.engines[id]
	if e.down() {
		return
	}
	e.generation++
	e.downUntil = w.now + w.opts.Engine.Downtime
	for _, d := range e.sortedAttempts() {
		w.failDecode(e, d, attempts.FailCrashed)
	}
	clear(e.running)
	clear(e.kvExpiresAt)
	e.cachedBlocks = nil
	e.freeAt = 0
	e.serving.restart()
	e.recordLoad()
}

// SetStalled starts or ends a stall of all transfers and tokens of an Upstream.
func (w *Simulation) SetStalled(id core.UpstreamID, stalled bool) { w.engines[id].stalled = stalled }

// Upstreams returns the ids of all Upstreams.
func (w *Simulation) Upstreams() []core.UpstreamID { return w.upstreamIDs }

// ActiveAttempts returns the attempts that hold memory at an Upstream.
func (w *Simulation) ActiveAttempts(id core.UpstreamID) []core.AttemptID {
	var held []core.AttemptID
	for _, d := range w.engines[id].sortedAttempts() {
		held = append(held, d.attempt)
	}
	return held
}

// ActiveRequests returns the requests that hold memory at an Upstream.
func (w *Simulation) ActiveRequests(id core.UpstreamID) []*Request {
	var requests []*Request
	for _, d := range w.engines[id].sortedAttempts() {
		requests = append(requests, w.Requests[d.request])
	}
	return requests
}

// sortedAttempts returns the running attempts in an order that does not depend on
// map iteration.
func (e *engine) sortedAttempts() []*decodeAttempt {
	list := make([]*decodeAttempt, 0, len(e.running))
	for _, d := range e.running {
		list = append(list, d)
	}
	slices.SortFunc(list, func(a, b *decodeAttempt) int {
		return cmp.Or(cmp.Compare(a.attempt.Owner.ID, b.attempt.Owner.ID),
			cmp.Compare(a.attempt.Owner.Incarnation, b.attempt.Owner.Incarnation),
			cmp.Compare(a.attempt.Seq, b.attempt.Seq))
	})
	return list
}

// recordLoad samples the current load. Reports return a sample of ReportLag ago.
func (e *engine) recordLoad() {
	entry := loadSample{at: e.sim.now, usedSlots: len(e.running)}
	if e.freeAt > e.sim.now {
		entry.queuedTokens = int64((e.freeAt - e.sim.now) / e.sim.opts.Engine.PerPromptToken)
	}
	if e.serving != nil {
		entry.serves = &orders.Report{Serves: e.serving.current, Loading: e.serving.loading}
	}
	for _, d := range e.sortedAttempts() {
		entry.attempts = append(entry.attempts, d.attempt)
	}
	e.loadHistory = append(e.loadHistory, entry)
	lag := e.sim.opts.Engine.ReportLag
	for len(e.loadHistory) > 1 && e.loadHistory[1].at <= e.sim.now-lag {
		e.loadHistory = e.loadHistory[1:]
	}
}

func (w *Simulation) pollLoad(i *Instance, q router.PollLoad) {
	e := w.engines[q.Upstream]
	delay := w.latency(i.opts.DataCentre, e.up.DataCentre)
	name, up := string(i.opts.ID), string(q.Upstream)
	if w.isPartitioned(name, up) || w.isPartitioned(up, name) {
		i.deliverAfter(2*time.Second, router.LoadPollFailed{Upstream: q.Upstream})
		return
	}
	requestedAt := i.localNow()
	epoch := i.processEpoch
	w.after(delay, func() {
		if i.processEpoch != epoch {
			return
		}
		if e.down() {
			i.deliverAfter(delay, router.LoadPollFailed{Upstream: q.Upstream})
			return
		}
		e.recordLoad()
		load := e.loadHistory[0]
		i.deliverAfter(delay, router.LoadReported{Upstream: q.Upstream, Report: placement.LoadReport{
			Slots: e.up.Slots, UsedSlots: load.usedSlots, QueuedTokens: load.queuedTokens, Attempts: load.attempts,
			ObservedAt: requestedAt.Add(-w.opts.Engine.ReportLag), Generation: e.generation,
		}, Serves: load.serves})
		if q.IncludeCacheEvents {
			i.deliverAfter(delay, e.cacheReport(q.CacheAfter))
		}
	})
}

// cacheReport returns the cache events from sequence number after on that are at
// least EventLag old, without those that EventLossInterval drops.
func (e *engine) cacheReport(after uint64) router.CacheReported {
	opts := e.sim.opts.Engine
	reported := router.CacheReported{Upstream: e.up.ID, Next: after}
	for n, event := range e.cacheEvents {
		seq := e.firstEventSeq + uint64(n)
		if seq < after || e.eventTimes[n] > e.sim.now-opts.EventLag {
			continue
		}
		reported.Next = seq + 1
		if opts.EventLossInterval > 0 && seq%uint64(opts.EventLossInterval) == uint64(opts.EventLossInterval)-1 {
			continue
		}
		reported.Events = append(reported.Events, placement.CacheEvents{FirstSeq: seq, Events: []placement.CacheEvent{event}})
	}
	return reported
}

// maxCacheEvents bounds the cache events that an engine stores.
const maxCacheEvents = 2000

func (e *engine) addCacheEvent(event placement.CacheEvent) {
	e.cacheEvents = append(e.cacheEvents, event)
	e.eventTimes = append(e.eventTimes, e.sim.now)
	if len(e.cacheEvents) > maxCacheEvents {
		e.cacheEvents = e.cacheEvents[1:]
		e.eventTimes = e.eventTimes[1:]
		e.firstEventSeq++
	}
}

// cachePrompt returns how many leading blocks of the prompt are cached, and caches
// all of its blocks.
func (e *engine) cachePrompt(prefix []uint64) int {
	hits := 0
	for _, block := range prefix {
		at := slices.Index(e.cachedBlocks, block)
		if at >= 0 {
			e.cachedBlocks = slices.Delete(e.cachedBlocks, at, at+1)
		} else {
			e.addCacheEvent(placement.CacheEvent{BlockHash: block, Stored: true})
		}
		if at >= 0 && hits == slices.Index(prefix, block) {
			hits++
		}
		e.cachedBlocks = append(e.cachedBlocks, block)
	}
	for len(e.cachedBlocks) > e.sim.opts.Engine.CacheBlocks {
		e.addCacheEvent(placement.CacheEvent{BlockHash: e.cachedBlocks[0]})
		e.cachedBlocks = e.cachedBlocks[1:]
	}
	return hits
}

func (w *Simulation) startPrefill(i *Instance, q router.StartPrefill) {
	e := w.engines[q.Upstream]
	request := w.Requests[q.Request]
	delay := w.latency(i.opts.DataCentre, e.up.DataCentre)
	if w.isPartitioned(string(i.opts.ID), string(q.Upstream)) {
		i.failAttempt(2*time.Second, q.Attempt, q.Upstream, attempts.FailStalled, true)
		return
	}
	i.deliverAfter(0, router.AttemptSent{Attempt: q.Attempt})
	request.recordSent(w.now, q.Upstream)
	generation, sentAt := e.generation, w.now
	w.after(delay, func() {
		if e.down() {
			i.failAttempt(delay, q.Attempt, q.Upstream, attempts.FailConnect, false)
			return
		}
		if request.Options.Kills {
			w.crashOnRequest(e, request)
			i.failAttempt(delay, q.Attempt, q.Upstream, attempts.FailCrashed, true)
			return
		}
		w.countWork(e, config.RolePrefill, request.Options.Model)
		cached := e.cachePrompt(request.prefix) * core.BlockTokens
		tokens := max(1, request.Options.PromptTokens+request.Tokens-cached)
		request.Prefilled += tokens
		request.LastPrefill = tokens
		work := time.Duration(tokens) * w.opts.Engine.PerPromptToken
		e.freeAt = max(e.freeAt, w.now) + work
		e.recordLoad()
		w.after(e.freeAt-w.now, func() {
			if e.generation != generation {
				i.failAttempt(delay, q.Attempt, q.Upstream, attempts.FailCrashed, true)
				return
			}
			e.kvExpiresAt[q.Attempt] = w.now + w.opts.Engine.KVRetention
			e.recordLoad()
			if w.isPartitioned(string(q.Upstream), string(i.opts.ID)) {
				return
			}
			i.deliverAfter(delay, router.PrefillDone{
				Attempt: q.Attempt, KV: q.Attempt.String(), CachedTokens: cached, Duration: w.now + delay - sentAt,
				Bytes: int64(request.Options.PromptTokens) * w.opts.Engine.KVBytesPerToken,
			})
		})
	})
}

// crashOnRequest crashes an engine that has received a request with Kills set.
func (w *Simulation) crashOnRequest(e *engine, request *Request) {
	request.Killed = append(request.Killed, e.up.ID)
	w.Crash(e.up.ID)
}

func (w *Simulation) engineByURL(url string) *engine {
	for _, id := range w.upstreamIDs {
		if w.engines[id].up.URL == url {
			return w.engines[id]
		}
	}
	return nil
}

func (w *Simulation) startDecode(i *Instance, q router.StartDecode) {
	e := w.engines[q.Upstream]
	request := w.Requests[q.Request]
	total := min(q.MaxOutputTokens, request.Options.OutputTokens)
	if request.Tokens >= total {
		i.deliverAfter(0, router.ResponseCompleted{Attempt: q.Attempt, Tokens: request.Tokens})
		return
	}
	source := w.engineByURL(q.SourceURL)
	delay := w.latency(i.opts.DataCentre, e.up.DataCentre)
	if w.isPartitioned(string(i.opts.ID), string(q.Upstream)) {
		i.failAttempt(2*time.Second, q.Attempt, q.Upstream, attempts.FailStalled, true)
		return
	}
	request.Arrivals = append(request.Arrivals, Arrival{At: w.now, Upstream: q.Upstream})
	epoch := i.processEpoch
	w.after(delay, func() {
		switch {
		case e.down():
			i.failAttempt(delay, q.Attempt, q.Upstream, attempts.FailConnect, true)
			return
		case len(e.running) >= e.up.Slots:
			i.failAttempt(delay, q.Attempt, q.Upstream, attempts.FailFull, true)
			return
		case source == nil || source.kvExpiresAt[q.Attempt] < w.now:
			i.failAttempt(delay, q.Attempt, q.Upstream, attempts.FailKVGone, true)
			return
		}
		w.countWork(e, config.RoleDecode, request.Options.Model)
		base := request.Tokens
		d := &decodeAttempt{attempt: q.Attempt, reader: i, readerEpoch: epoch, request: q.Request, baseTokens: base, maxTokens: max(1, total-base)}
		e.running[q.Attempt] = d
		e.recordLoad()
		w.startTransfer(e, source, d)
	})
}

// startTransfer moves the KV cache over the links of both DataCentres, queued
// behind the transfers that they already carry.
func (w *Simulation) startTransfer(e, source *engine, d *decodeAttempt) {
	request := w.Requests[d.request]
	bytes := int64(request.Options.PromptTokens+d.baseTokens) * w.opts.Engine.KVBytesPerToken
	duration := time.Duration(float64(bytes) / w.linkBytesPerSecond(e.up.DataCentre) * float64(time.Second))
	from, to := source.up.DataCentre, e.up.DataCentre
	free := max(w.now, w.linkFreeAt[from], w.linkFreeAt[to]) + duration
	w.linkFreeAt[from], w.linkFreeAt[to] = free, free
	w.after(free-w.now, func() { w.finishTransfer(e, source, d) })
}

const stallPollInterval = 100 * time.Millisecond

// finishTransfer starts the generation of tokens, as soon as neither engine is
// stalled.
func (w *Simulation) finishTransfer(e, source *engine, d *decodeAttempt) {
	if e.running[d.attempt] != d {
		return
	}
	if e.stalled || source.stalled {
		w.after(stallPollInterval, func() { w.finishTransfer(e, source, d) })
		return
	}
	delete(source.kvExpiresAt, d.attempt)
	d.startedAt = w.now
	w.after(w.decodeStepTime(e), func() { w.generateTokens(e, d) })
}

// linkBytesPerSecond returns a practically unlimited rate for a DataCentre without
// LinkMbps.
func (w *Simulation) linkBytesPerSecond(name core.DataCentreName) float64 {
	for _, dc := range w.opts.Document.DataCentres {
		if dc.Name == name && dc.LinkMbps > 0 {
			return float64(dc.LinkMbps) * 1e6 / 8
		}
	}
	return 1e12
}

func (w *Simulation) decodeStepTime(e *engine) time.Duration {
	o := w.opts.Engine
	return o.PerOutputToken + time.Duration(len(e.running))*o.PerBatchMember
}

// tokensPerEvent is the number of tokens that one event of the simulation
// generates. The first token has an event of its own.
const tokensPerEvent = 16

// generateTokens generates the next tokens of an attempt, whether or not a reader
// is connected.
func (w *Simulation) generateTokens(e *engine, d *decodeAttempt) {
	if e.running[d.attempt] != d || d.ended {
		return
	}
	if e.stalled {
		w.after(stallPollInterval, func() { w.generateTokens(e, d) })
		return
	}
	n := 1
	if d.generated > 0 {
		n = min(tokensPerEvent, d.maxTokens-d.generated)
	}
	d.generated += n
	w.relayTokens(e, d)
	if d.generated >= d.maxTokens {
		d.ended = true
		delete(e.running, d.attempt)
		e.recordLoad()
		return
	}
	step := w.decodeStepTime(e)
	d.gaps = append(d.gaps, step)
	w.after(step*time.Duration(min(tokensPerEvent, d.maxTokens-d.generated)), func() { w.generateTokens(e, d) })
}

// relayTokens sends the generated tokens to the reader and its caller. A connection
// delivers what a partition held back, in order, after the partition.
func (w *Simulation) relayTokens(e *engine, d *decodeAttempt) {
	i := d.reader
	if i == nil || i.dead || i.processEpoch != d.readerEpoch || w.isPartitioned(string(e.up.ID), string(i.opts.ID)) {
		return
	}
	delay := w.latency(e.up.DataCentre, i.opts.DataCentre)
	request := w.Requests[d.request]
	total := d.baseTokens + d.generated
	if !request.Done {
		request.receiveTokens(w.now+delay, d.attempt, d.baseTokens+d.delivered, total)
	}
	d.delivered = d.generated
	if !d.firstTokenSent {
		d.firstTokenSent = true
		i.deliverAfter(delay, router.FirstToken{Attempt: d.attempt})
	}
	if d.generated >= d.maxTokens {
		i.deliverAfter(delay, router.ResponseCompleted{Attempt: d.attempt, Tokens: total, BetweenTokens: percentile95(d.gaps)})
		return
	}
	i.deliverAfter(delay, router.Progress{Attempt: d.attempt, Tokens: total})
}

func percentile95(gaps []time.Duration) time.Duration {
	if len(gaps) == 0 {
		return 0
	}
	sorted := slices.Clone(gaps)
	slices.Sort(sorted)
	return sorted[len(sorted)*95/100]
}

func (w *Simulation) failDecode(e *engine, d *decodeAttempt, kind attempts.FailureKind) {
	if d.reader == nil || d.reader.processEpoch != d.readerEpoch {
		return
	}
	delay := w.latency(e.up.DataCentre, d.reader.opts.DataCentre)
	d.reader.deliverAfter(delay, router.Progress{Attempt: d.attempt, Tokens: d.baseTokens + d.generated})
	d.reader.failAttempt(delay, d.attempt, e.up.ID, kind, true)
}

func (w *Simulation) startResume(i *Instance, q router.StartResume) {
	e := w.engines[q.Upstream]
	delay := w.latency(i.opts.DataCentre, e.up.DataCentre)
	epoch := i.processEpoch
	w.after(delay, func() {
		d := e.running[q.EngineAttempt]
		if e.down() || d == nil {
			i.failAttempt(delay, q.Attempt, q.Upstream, attempts.FailProtocolError, true)
			return
		}
		delete(e.running, q.EngineAttempt)
		resumed := *d
		resumed.attempt, resumed.reader, resumed.readerEpoch, resumed.request, resumed.firstTokenSent = q.Attempt, i, epoch, q.Request, false
		resumed.delivered = resumed.generated
		e.running[q.Attempt] = &resumed
		if d.reader != nil && d.reader != i && d.reader.processEpoch == d.readerEpoch {
			w.failDecode(e, d, attempts.FailProtocolError)
		}
		request := w.Requests[q.Request]
		request.receiveTokens(w.now+delay, q.Attempt, q.Offset, resumed.baseTokens+resumed.generated)
		w.after(w.decodeStepTime(e), func() { w.generateTokens(e, &resumed) })
	})
}

func (w *Simulation) cancel(i *Instance, q router.Cancel) {
	e := w.engines[q.Upstream]
	name, up := string(i.opts.ID), string(q.Upstream)
	if e == nil || w.isPartitioned(name, up) {
		return
	}
	delay := w.latency(i.opts.DataCentre, e.up.DataCentre)
	w.after(delay, func() {
		if e.down() {
			return
		}
		delete(e.kvExpiresAt, q.Attempt)
		if e.running[q.Attempt] != nil {
			delete(e.running, q.Attempt)
			e.recordLoad()
		}
		if !w.isPartitioned(up, name) {
			i.deliverAfter(delay, router.CancelConfirmed{Attempt: q.Attempt, Upstream: q.Upstream})
		}
	})
}

func (w *Simulation) startCall(i *Instance, q router.StartCall) {
	e := w.engines[q.Upstream]
	request := w.Requests[q.Request]
	delay := w.latency(i.opts.DataCentre, e.up.DataCentre)
	name, up := string(i.opts.ID), string(q.Upstream)
	if w.isPartitioned(name, up) {
		i.failAttempt(2*time.Second, q.Attempt, q.Upstream, attempts.FailStalled, true)
		return
	}
	i.deliverAfter(0, router.AttemptSent{Attempt: q.Attempt})
	request.recordSent(w.now, q.Upstream)
	generation := e.generation
	w.after(delay+w.opts.Engine.PlainServiceTime, func() {
		if e.down() {
			i.failAttempt(delay, q.Attempt, q.Upstream, attempts.FailConnect, false)
			return
		}
		if e.generation != generation {
			i.failAttempt(delay, q.Attempt, q.Upstream, attempts.FailCrashed, true)
			return
		}
		w.countExecution(request)
		if w.isPartitioned(up, name) {
			i.failAttempt(30*time.Second, q.Attempt, q.Upstream, attempts.FailStalled, true)
			return
		}
		i.deliverAfter(delay, router.ResponseCompleted{Attempt: q.Attempt, Status: 200})
	})
}
