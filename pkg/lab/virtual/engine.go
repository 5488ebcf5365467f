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

// EngineOptions are the speeds and sizes of the engines. Zero values take the
// defaults.
type EngineOptions struct {
	PerPromptToken  time.Duration // default 50 µs
	PerOutputToken  time.Duration // default 20 ms
	PerBatchMember  time.Duration // added to a step for each request, default 200 µs
	KeptFor         time.Duration // of a prefill result, default 800 ms
	KVBytesPerToken int64         // default 100,000
	CacheBlocks     int           // of a prefill engine, default 400
	ReportLag       time.Duration // default 200 ms
	EventLag        time.Duration // of cache events, default 300 ms
	EventGap        int           // every n-th cache event is lost, default 10
	PlainWork       time.Duration // default 5 ms
	Downtime        time.Duration // after a crash, default 2 s
	LoadTime        time.Duration // from an order until new weights are served, default 5 s
	RoleTime        time.Duration // from an order until only the role has changed, default 100 ms
}

func (o EngineOptions) withDefaults() EngineOptions {
	setDefault(&o.PerPromptToken, 50*time.Microsecond)
	setDefault(&o.PerOutputToken, 20*time.Millisecond)
	setDefault(&o.PerBatchMember, 200*time.Microsecond)
	setDefault(&o.KeptFor, 800*time.Millisecond)
	setDefault(&o.KVBytesPerToken, 100_000)
	setDefault(&o.CacheBlocks, 400)
	setDefault(&o.ReportLag, 200*time.Millisecond)
	setDefault(&o.EventLag, 300*time.Millisecond)
	setDefault(&o.EventGap, 10)
	setDefault(&o.PlainWork, 5*time.Millisecond)
	setDefault(&o.Downtime, 2*time.Second)
	setDefault(&o.LoadTime, 5*time.Second)
	setDefault(&o.RoleTime, 100*time.Millisecond)
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
	sim *World
	up  config.Upstream

	generation uint64
	downUntil  time.Duration
	// stalled holds back transfers and tokens, as a network fault would.
	stalled bool
	// serving is nil for an engine without a desired state at the start.
	serving      *servingState
	acceptedWork int

	// A prefill engine works on one prompt at a time.
	freeAt        time.Duration
	kvExpiresAt   map[core.AttemptID]time.Duration // end of retention
	cachedBlocks  []uint64                         // least recently used first
	cacheEvents   []placement.CacheEvent
	firstEventSeq uint64 // sequence number of events[0]
	eventTimes    []time.Duration

	// A decode engine runs several attempts.
	running     map[core.AttemptID]*decodeAttempt
	loadHistory []loadSample
}

// decodeAttempt is an attempt that holds a slot of a decode engine.
type decodeAttempt struct {
	attempt     core.AttemptID
	reader      *Instance
	readerEpoch int // of the reader
	request     core.RequestID
	baseTokens  int // tokens that the caller has from earlier attempts
	maxTokens   int // tokens to generate
	generated   int
	// delivered is the part of made that the reader has.
	delivered      int
	startedAt      time.Duration // of generation, 0 during the transfer
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

func newEngine(w *World, up config.Upstream) *engine {
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

// Crash makes an Upstream lose everything that it holds. It is down for a while.
func (w *World) Crash(id core.UpstreamID) {
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

// Stall holds back all transfers and tokens of an Upstream.
func (w *World) Stall(id core.UpstreamID, stalled bool) { w.engines[id].stalled = stalled }

// Upstreams returns the ids of all Upstreams.
func (w *World) Upstreams() []core.UpstreamID { return w.upstreamIDs }

// Held returns the attempts that hold memory of an Upstream now.
func (w *World) Held(id core.UpstreamID) []core.AttemptID {
	var held []core.AttemptID
	for _, d := range w.engines[id].sortedAttempts() {
		held = append(held, d.attempt)
	}
	return held
}

// Holding returns the requests for which an Upstream holds memory now.
func (w *World) Holding(id core.UpstreamID) []*Request {
	var requests []*Request
	for _, d := range w.engines[id].sortedAttempts() {
		requests = append(requests, w.Requests[d.request])
	}
	return requests
}

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

// recordLoad keeps the load for reports, which lag behind.
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

func (w *World) pollLoad(i *Instance, q router.PollLoad) {
	e := w.engines[q.Upstream]
	there := w.latency(i.opts.DataCentre, e.up.DataCentre)
	name, up := string(i.opts.ID), string(q.Upstream)
	if w.isPartitioned(name, up) || w.isPartitioned(up, name) {
		i.deliverAfter(2*time.Second, router.LoadPollFailed{Upstream: q.Upstream})
		return
	}
	asked := i.localNow()
	run := i.processEpoch
	w.after(there, func() {
		if i.processEpoch != run {
			return
		}
		if e.down() {
			i.deliverAfter(there, router.LoadPollFailed{Upstream: q.Upstream})
			return
		}
		e.recordLoad()
		load := e.loadHistory[0]
		i.deliverAfter(there, router.LoadReported{Upstream: q.Upstream, Report: placement.LoadReport{
			Slots: e.up.Slots, UsedSlots: load.usedSlots, QueuedTokens: load.queuedTokens, Attempts: load.attempts,
			ObservedAt: asked.Add(-w.opts.Engine.ReportLag), Generation: e.generation,
		}, Serves: load.serves})
		if q.IncludeCacheEvents {
			i.deliverAfter(there, e.cacheReport(q.CacheAfter))
		}
	})
}

// cacheReport returns the cache events that are old enough to be published.
// Every n-th one is lost.
func (e *engine) cacheReport(after uint64) router.CacheReported {
	opts := e.sim.opts.Engine
	reported := router.CacheReported{Upstream: e.up.ID, Next: after}
	for n, event := range e.cacheEvents {
		seq := e.firstEventSeq + uint64(n)
		if seq < after || e.eventTimes[n] > e.sim.now-opts.EventLag {
			continue
		}
		reported.Next = seq + 1
		if opts.EventGap > 0 && seq%uint64(opts.EventGap) == uint64(opts.EventGap)-1 {
			continue
		}
		reported.Events = append(reported.Events, placement.CacheEvents{FirstSeq: seq, Events: []placement.CacheEvent{event}})
	}
	return reported
}

// maxCacheEvents bounds the cache events that an engine remembers.
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

// cachePrompt returns how many leading blocks of the prompt are cached, and caches all.
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

func (w *World) startPrefill(i *Instance, q router.StartPrefill) {
	e := w.engines[q.Upstream]
	request := w.Requests[q.Request]
	there := w.latency(i.opts.DataCentre, e.up.DataCentre)
	if w.isPartitioned(string(i.opts.ID), string(q.Upstream)) {
		i.failAttempt(2*time.Second, q.Attempt, q.Upstream, attempts.FailStalled, true)
		return
	}
	i.deliverAfter(0, router.AttemptSent{Attempt: q.Attempt})
	request.recordSent(w.now, q.Upstream)
	generation, sent := e.generation, w.now
	w.after(there, func() {
		if e.down() {
			i.failAttempt(there, q.Attempt, q.Upstream, attempts.FailConnect, false)
			return
		}
		if request.Options.Kills {
			w.crashOnRequest(e, request)
			i.failAttempt(there, q.Attempt, q.Upstream, attempts.FailCrashed, true)
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
				i.failAttempt(there, q.Attempt, q.Upstream, attempts.FailCrashed, true)
				return
			}
			e.kvExpiresAt[q.Attempt] = w.now + w.opts.Engine.KeptFor
			e.recordLoad()
			if w.isPartitioned(string(q.Upstream), string(i.opts.ID)) {
				return
			}
			i.deliverAfter(there, router.PrefillDone{
				Attempt: q.Attempt, KV: q.Attempt.String(), CachedTokens: cached, Duration: w.now + there - sent,
				Bytes: int64(request.Options.PromptTokens) * w.opts.Engine.KVBytesPerToken,
			})
		})
	})
}

// crashOnRequest crashes the engine that works on a request of death.
func (w *World) crashOnRequest(e *engine, request *Request) {
	request.Killed = append(request.Killed, e.up.ID)
	w.Crash(e.up.ID)
}

func (w *World) engineByURL(url string) *engine {
	for _, id := range w.upstreamIDs {
		if w.engines[id].up.URL == url {
			return w.engines[id]
		}
	}
	return nil
}

func (w *World) startDecode(i *Instance, q router.StartDecode) {
	e := w.engines[q.Upstream]
	request := w.Requests[q.Request]
	total := min(q.MaxOutputTokens, request.Options.OutputTokens)
	if request.Tokens >= total {
		i.deliverAfter(0, router.ResponseCompleted{Attempt: q.Attempt, Tokens: request.Tokens})
		return
	}
	source := w.engineByURL(q.SourceURL)
	there := w.latency(i.opts.DataCentre, e.up.DataCentre)
	if w.isPartitioned(string(i.opts.ID), string(q.Upstream)) {
		i.failAttempt(2*time.Second, q.Attempt, q.Upstream, attempts.FailStalled, true)
		return
	}
	request.Arrivals = append(request.Arrivals, Arrival{At: w.now, Upstream: q.Upstream})
	run := i.processEpoch
	w.after(there, func() {
		switch {
		case e.down():
			i.failAttempt(there, q.Attempt, q.Upstream, attempts.FailConnect, true)
			return
		case len(e.running) >= e.up.Slots:
			i.failAttempt(there, q.Attempt, q.Upstream, attempts.FailFull, true)
			return
		case source == nil || source.kvExpiresAt[q.Attempt] < w.now:
			i.failAttempt(there, q.Attempt, q.Upstream, attempts.FailKVGone, true)
			return
		}
		w.countWork(e, config.RoleDecode, request.Options.Model)
		base := request.Tokens
		d := &decodeAttempt{attempt: q.Attempt, reader: i, readerEpoch: run, request: q.Request, baseTokens: base, maxTokens: max(1, total-base)}
		e.running[q.Attempt] = d
		e.recordLoad()
		w.startTransfer(e, source, d)
	})
}

// startTransfer moves the KV cache over the links of both data centres, behind the
// transfers that they already carry.
func (w *World) startTransfer(e, source *engine, d *decodeAttempt) {
	request := w.Requests[d.request]
	bytes := int64(request.Options.PromptTokens+d.baseTokens) * w.opts.Engine.KVBytesPerToken
	took := time.Duration(float64(bytes) / w.linkBytesPerSecond(e.up.DataCentre) * float64(time.Second))
	from, to := source.up.DataCentre, e.up.DataCentre
	free := max(w.now, w.linkFreeAt[from], w.linkFreeAt[to]) + took
	w.linkFreeAt[from], w.linkFreeAt[to] = free, free
	w.after(free-w.now, func() { w.finishTransfer(e, source, d) })
}

const stallPollInterval = 100 * time.Millisecond

func (w *World) finishTransfer(e, source *engine, d *decodeAttempt) {
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

func (w *World) linkBytesPerSecond(name core.DataCentreName) float64 {
	for _, dc := range w.opts.Document.DataCentres {
		if dc.Name == name && dc.LinkMbps > 0 {
			return float64(dc.LinkMbps) * 1e6 / 8
		}
	}
	return 1e12
}

func (w *World) decodeStepTime(e *engine) time.Duration {
	o := w.opts.Engine
	return o.PerOutputToken + time.Duration(len(e.running))*o.PerBatchMember
}

// tokensPerEvent is the number of tokens that the model generates in one event. The
// first token has an event of its own.
const tokensPerEvent = 16

// generateTokens generates the next tokens of an attempt. The engine generates whether
// or not somebody reads.
func (w *World) generateTokens(e *engine, d *decodeAttempt) {
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

// relayTokens passes generated tokens on to the reader and its caller. A connection
// that was cut delivers what it held back, in order, when it is healed.
func (w *World) relayTokens(e *engine, d *decodeAttempt) {
	i := d.reader
	if i == nil || i.dead || i.processEpoch != d.readerEpoch || w.isPartitioned(string(e.up.ID), string(i.opts.ID)) {
		return
	}
	back := w.latency(e.up.DataCentre, i.opts.DataCentre)
	request := w.Requests[d.request]
	total := d.baseTokens + d.generated
	if !request.Done {
		request.receiveTokens(w.now+back, d.attempt, d.baseTokens+d.delivered, total)
	}
	d.delivered = d.generated
	if !d.firstTokenSent {
		d.firstTokenSent = true
		i.deliverAfter(back, router.FirstToken{Attempt: d.attempt})
	}
	if d.generated >= d.maxTokens {
		i.deliverAfter(back, router.ResponseCompleted{Attempt: d.attempt, Tokens: total, BetweenTokens: percentile95(d.gaps)})
		return
	}
	i.deliverAfter(back, router.Progress{Attempt: d.attempt, Tokens: total})
}

func percentile95(gaps []time.Duration) time.Duration {
	if len(gaps) == 0 {
		return 0
	}
	sorted := slices.Clone(gaps)
	slices.Sort(sorted)
	return sorted[len(sorted)*95/100]
}

func (w *World) failDecode(e *engine, d *decodeAttempt, kind attempts.FailureKind) {
	if d.reader == nil || d.reader.processEpoch != d.readerEpoch {
		return
	}
	back := w.latency(e.up.DataCentre, d.reader.opts.DataCentre)
	d.reader.deliverAfter(back, router.Progress{Attempt: d.attempt, Tokens: d.baseTokens + d.generated})
	d.reader.failAttempt(back, d.attempt, e.up.ID, kind, true)
}

func (w *World) startResume(i *Instance, q router.StartResume) {
	e := w.engines[q.Upstream]
	there := w.latency(i.opts.DataCentre, e.up.DataCentre)
	run := i.processEpoch
	w.after(there, func() {
		d := e.running[q.EngineAttempt]
		if e.down() || d == nil {
			i.failAttempt(there, q.Attempt, q.Upstream, attempts.FailProtocolError, true)
			return
		}
		delete(e.running, q.EngineAttempt)
		moved := *d
		moved.attempt, moved.reader, moved.readerEpoch, moved.request, moved.firstTokenSent = q.Attempt, i, run, q.Request, false
		moved.delivered = moved.generated
		e.running[q.Attempt] = &moved
		if d.reader != nil && d.reader != i && d.reader.processEpoch == d.readerEpoch {
			w.failDecode(e, d, attempts.FailProtocolError)
		}
		request := w.Requests[q.Request]
		request.receiveTokens(w.now+there, q.Attempt, q.Offset, moved.baseTokens+moved.generated)
		w.after(w.decodeStepTime(e), func() { w.generateTokens(e, &moved) })
	})
}

func (w *World) cancel(i *Instance, q router.Cancel) {
	e := w.engines[q.Upstream]
	name, up := string(i.opts.ID), string(q.Upstream)
	if e == nil || w.isPartitioned(name, up) {
		return
	}
	there := w.latency(i.opts.DataCentre, e.up.DataCentre)
	w.after(there, func() {
		if e.down() {
			return
		}
		delete(e.kvExpiresAt, q.Attempt)
		if e.running[q.Attempt] != nil {
			delete(e.running, q.Attempt)
			e.recordLoad()
		}
		if !w.isPartitioned(up, name) {
			i.deliverAfter(there, router.CancelConfirmed{Attempt: q.Attempt, Upstream: q.Upstream})
		}
	})
}

func (w *World) startCall(i *Instance, q router.StartCall) {
	e := w.engines[q.Upstream]
	request := w.Requests[q.Request]
	there := w.latency(i.opts.DataCentre, e.up.DataCentre)
	name, up := string(i.opts.ID), string(q.Upstream)
	if w.isPartitioned(name, up) {
		i.failAttempt(2*time.Second, q.Attempt, q.Upstream, attempts.FailStalled, true)
		return
	}
	i.deliverAfter(0, router.AttemptSent{Attempt: q.Attempt})
	request.recordSent(w.now, q.Upstream)
	generation := e.generation
	w.after(there+w.opts.Engine.PlainWork, func() {
		if e.down() {
			i.failAttempt(there, q.Attempt, q.Upstream, attempts.FailConnect, false)
			return
		}
		if e.generation != generation {
			i.failAttempt(there, q.Attempt, q.Upstream, attempts.FailCrashed, true)
			return
		}
		w.countExecution(request)
		if w.isPartitioned(up, name) {
			i.failAttempt(30*time.Second, q.Attempt, q.Upstream, attempts.FailStalled, true)
			return
		}
		i.deliverAfter(there, router.ResponseCompleted{Attempt: q.Attempt, Status: 200})
	})
}
