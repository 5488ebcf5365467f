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
	world *World
	up    config.Upstream

	generation uint64
	downUntil  time.Duration
	// stalled holds back transfers and tokens, as a network fault would.
	stalled bool
	// duty is nil for an engine without a desired state at the start.
	duty   *duty
	worked int

	// A prefill engine works on one prompt at a time.
	freeAt time.Duration
	kv     map[core.AttemptID]time.Duration // end of retention
	cache  []uint64                         // least recently used first
	events []placement.CacheEvent
	first  uint64 // sequence number of events[0]
	known  []time.Duration

	// A decode engine runs several attempts.
	running map[core.AttemptID]*decoding
	history []loadAt
}

// decoding is an attempt that holds a slot of a decode engine.
type decoding struct {
	attempt core.AttemptID
	reader  *Instance
	run     int // of the reader
	request core.RequestID
	base    int // tokens that the caller has from earlier attempts
	max     int // tokens to generate
	made    int
	// delivered is the part of made that the reader has.
	delivered int
	began     time.Duration // of generation, 0 during the transfer
	gaps      []time.Duration
	notified  bool
	ended     bool
}

type loadAt struct {
	at       time.Duration
	used     int
	queued   int64 // prompt tokens
	attempts []core.AttemptID
	serves   *orders.Report
}

func newEngine(w *World, up config.Upstream) *engine {
	return &engine{
		world:      w,
		up:         up,
		generation: 1,
		duty:       newDuty(up),
		kv:         map[core.AttemptID]time.Duration{},
		running:    map[core.AttemptID]*decoding{},
	}
}

func (e *engine) down() bool { return e.world.now < e.downUntil }

// Crash makes an Upstream lose everything that it holds. It is down for a while.
func (w *World) Crash(id core.UpstreamID) {
	e := w.engines[id]
	if e.down() {
		return
	}
	e.generation++
	e.downUntil = w.now + w.opts.Engine.Downtime
	for _, d := range e.sorted() {
		w.failDecoding(e, d, attempts.FailCrashed)
	}
	clear(e.running)
	clear(e.kv)
	e.cache = nil
	e.freeAt = 0
	e.duty.restart()
	e.note()
}

// Stall holds back all transfers and tokens of an Upstream.
func (w *World) Stall(id core.UpstreamID, stalled bool) { w.engines[id].stalled = stalled }

// Upstreams returns the ids of all Upstreams.
func (w *World) Upstreams() []core.UpstreamID { return w.order }

// Held returns the attempts that hold memory of an Upstream now.
func (w *World) Held(id core.UpstreamID) []core.AttemptID {
	var held []core.AttemptID
	for _, d := range w.engines[id].sorted() {
		held = append(held, d.attempt)
	}
	return held
}

// Holding returns the requests for which an Upstream holds memory now.
func (w *World) Holding(id core.UpstreamID) []*Request {
	var requests []*Request
	for _, d := range w.engines[id].sorted() {
		requests = append(requests, w.Requests[d.request])
	}
	return requests
}

func (e *engine) sorted() []*decoding {
	list := make([]*decoding, 0, len(e.running))
	for _, d := range e.running {
		list = append(list, d)
	}
	slices.SortFunc(list, func(a, b *decoding) int {
		return cmp.Or(cmp.Compare(a.attempt.Owner.ID, b.attempt.Owner.ID),
			cmp.Compare(a.attempt.Owner.Incarnation, b.attempt.Owner.Incarnation),
			cmp.Compare(a.attempt.Seq, b.attempt.Seq))
	})
	return list
}

// note keeps the load for reports, which lag behind.
func (e *engine) note() {
	entry := loadAt{at: e.world.now, used: len(e.running)}
	if e.freeAt > e.world.now {
		entry.queued = int64((e.freeAt - e.world.now) / e.world.opts.Engine.PerPromptToken)
	}
	if e.duty != nil {
		entry.serves = &orders.Report{Serves: e.duty.serves, Loading: e.duty.loading}
	}
	for _, d := range e.sorted() {
		entry.attempts = append(entry.attempts, d.attempt)
	}
	e.history = append(e.history, entry)
	lag := e.world.opts.Engine.ReportLag
	for len(e.history) > 1 && e.history[1].at <= e.world.now-lag {
		e.history = e.history[1:]
	}
}

func (w *World) pollLoad(i *Instance, q router.PollLoad) {
	e := w.engines[q.Upstream]
	there := w.latency(i.opts.DataCentre, e.up.DataCentre)
	name, up := string(i.opts.ID), string(q.Upstream)
	if w.isCut(name, up) || w.isCut(up, name) {
		i.later(2*time.Second, router.LoadPollFailed{Upstream: q.Upstream})
		return
	}
	asked := i.local()
	run := i.run
	w.after(there, func() {
		if i.run != run {
			return
		}
		if e.down() {
			i.later(there, router.LoadPollFailed{Upstream: q.Upstream})
			return
		}
		e.note()
		load := e.history[0]
		i.later(there, router.LoadReported{Upstream: q.Upstream, Report: placement.LoadReport{
			Slots: e.up.Slots, UsedSlots: load.used, QueuedTokens: load.queued, Attempts: load.attempts,
			ObservedAt: asked.Add(-w.opts.Engine.ReportLag), Generation: e.generation,
		}, Serves: load.serves})
		if q.IncludeCacheEvents {
			i.later(there, e.eventsAfter(q.CacheAfter))
		}
	})
}

// eventsAfter returns the cache events that are old enough to be published.
// Every n-th one is lost.
func (e *engine) eventsAfter(after uint64) router.CacheReported {
	opts := e.world.opts.Engine
	reported := router.CacheReported{Upstream: e.up.ID, Next: after}
	for n, event := range e.events {
		seq := e.first + uint64(n)
		if seq < after || e.known[n] > e.world.now-opts.EventLag {
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

// maxEvents bounds the cache events that an engine remembers.
const maxEvents = 2000

func (e *engine) publish(event placement.CacheEvent) {
	e.events = append(e.events, event)
	e.known = append(e.known, e.world.now)
	if len(e.events) > maxEvents {
		e.events = e.events[1:]
		e.known = e.known[1:]
		e.first++
	}
}

// touch returns how many leading blocks of the prompt are cached, and caches all.
func (e *engine) touch(prefix []uint64) int {
	hits := 0
	for _, block := range prefix {
		at := slices.Index(e.cache, block)
		if at >= 0 {
			e.cache = slices.Delete(e.cache, at, at+1)
		} else {
			e.publish(placement.CacheEvent{BlockHash: block, Stored: true})
		}
		if at >= 0 && hits == slices.Index(prefix, block) {
			hits++
		}
		e.cache = append(e.cache, block)
	}
	for len(e.cache) > e.world.opts.Engine.CacheBlocks {
		e.publish(placement.CacheEvent{BlockHash: e.cache[0]})
		e.cache = e.cache[1:]
	}
	return hits
}

func (w *World) startPrefill(i *Instance, q router.StartPrefill) {
	e := w.engines[q.Upstream]
	request := w.Requests[q.Request]
	there := w.latency(i.opts.DataCentre, e.up.DataCentre)
	if w.isCut(string(i.opts.ID), string(q.Upstream)) {
		i.failed(2*time.Second, q.Attempt, q.Upstream, attempts.FailStalled, true)
		return
	}
	i.later(0, router.AttemptSent{Attempt: q.Attempt})
	request.reached(w.now, q.Upstream)
	generation, sent := e.generation, w.now
	w.after(there, func() {
		if e.down() {
			i.failed(there, q.Attempt, q.Upstream, attempts.FailConnect, false)
			return
		}
		if request.Options.Kills {
			w.killed(e, request)
			i.failed(there, q.Attempt, q.Upstream, attempts.FailCrashed, true)
			return
		}
		w.checkDuty(e, config.RolePrefill, request.Options.Model)
		cached := e.touch(request.prefix) * core.BlockTokens
		tokens := max(1, request.Options.PromptTokens+request.Tokens-cached)
		request.Prefilled += tokens
		request.LastPrefill = tokens
		work := time.Duration(tokens) * w.opts.Engine.PerPromptToken
		e.freeAt = max(e.freeAt, w.now) + work
		e.note()
		w.after(e.freeAt-w.now, func() {
			if e.generation != generation {
				i.failed(there, q.Attempt, q.Upstream, attempts.FailCrashed, true)
				return
			}
			e.kv[q.Attempt] = w.now + w.opts.Engine.KeptFor
			e.note()
			if w.isCut(string(q.Upstream), string(i.opts.ID)) {
				return
			}
			i.later(there, router.PrefillDone{
				Attempt: q.Attempt, KV: q.Attempt.String(), CachedTokens: cached, Duration: w.now + there - sent,
				Bytes: int64(request.Options.PromptTokens) * w.opts.Engine.KVBytesPerToken,
			})
		})
	})
}

// killed crashes the engine that works on a request of death.
func (w *World) killed(e *engine, request *Request) {
	request.Killed = append(request.Killed, e.up.ID)
	w.Crash(e.up.ID)
}

func (w *World) upstreamByURL(url string) *engine {
	for _, id := range w.order {
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
		i.later(0, router.ResponseCompleted{Attempt: q.Attempt, Tokens: request.Tokens})
		return
	}
	source := w.upstreamByURL(q.SourceURL)
	there := w.latency(i.opts.DataCentre, e.up.DataCentre)
	if w.isCut(string(i.opts.ID), string(q.Upstream)) {
		i.failed(2*time.Second, q.Attempt, q.Upstream, attempts.FailStalled, true)
		return
	}
	request.Arrivals = append(request.Arrivals, Arrival{At: w.now, Upstream: q.Upstream})
	run := i.run
	w.after(there, func() {
		switch {
		case e.down():
			i.failed(there, q.Attempt, q.Upstream, attempts.FailConnect, true)
			return
		case len(e.running) >= e.up.Slots:
			i.failed(there, q.Attempt, q.Upstream, attempts.FailFull, true)
			return
		case source == nil || source.kv[q.Attempt] < w.now:
			i.failed(there, q.Attempt, q.Upstream, attempts.FailKVGone, true)
			return
		}
		w.checkDuty(e, config.RoleDecode, request.Options.Model)
		base := request.Tokens
		d := &decoding{attempt: q.Attempt, reader: i, run: run, request: q.Request, base: base, max: max(1, total-base)}
		e.running[q.Attempt] = d
		e.note()
		w.transfer(e, source, d)
	})
}

// transfer moves the KV cache over the links of both data centres, behind the
// transfers that they already carry.
func (w *World) transfer(e, source *engine, d *decoding) {
	request := w.Requests[d.request]
	bytes := int64(request.Options.PromptTokens+d.base) * w.opts.Engine.KVBytesPerToken
	took := time.Duration(float64(bytes) / w.linkRate(e.up.DataCentre) * float64(time.Second))
	from, to := source.up.DataCentre, e.up.DataCentre
	free := max(w.now, w.linkFree[from], w.linkFree[to]) + took
	w.linkFree[from], w.linkFree[to] = free, free
	w.after(free-w.now, func() { w.transferred(e, source, d) })
}

const stallCheck = 100 * time.Millisecond

func (w *World) transferred(e, source *engine, d *decoding) {
	if e.running[d.attempt] != d {
		return
	}
	if e.stalled || source.stalled {
		w.after(stallCheck, func() { w.transferred(e, source, d) })
		return
	}
	delete(source.kv, d.attempt)
	d.began = w.now
	w.after(w.stepTime(e), func() { w.token(e, d) })
}

func (w *World) linkRate(name core.DataCentreName) float64 {
	for _, dc := range w.opts.Document.DataCentres {
		if dc.Name == name && dc.LinkMbps > 0 {
			return float64(dc.LinkMbps) * 1e6 / 8
		}
	}
	return 1e12
}

func (w *World) stepTime(e *engine) time.Duration {
	o := w.opts.Engine
	return o.PerOutputToken + time.Duration(len(e.running))*o.PerBatchMember
}

// tokenRun is the number of tokens that the model generates in one event. The
// first token has an event of its own.
const tokenRun = 16

// token generates the next tokens of an attempt. The engine generates whether
// or not somebody reads.
func (w *World) token(e *engine, d *decoding) {
	if e.running[d.attempt] != d || d.ended {
		return
	}
	if e.stalled {
		w.after(stallCheck, func() { w.token(e, d) })
		return
	}
	n := 1
	if d.made > 0 {
		n = min(tokenRun, d.max-d.made)
	}
	d.made += n
	w.relay(e, d)
	if d.made >= d.max {
		d.ended = true
		delete(e.running, d.attempt)
		e.note()
		return
	}
	step := w.stepTime(e)
	d.gaps = append(d.gaps, step)
	w.after(step*time.Duration(min(tokenRun, d.max-d.made)), func() { w.token(e, d) })
}

// relay passes generated tokens on to the reader and its caller. A connection
// that was cut delivers what it held back, in order, when it is healed.
func (w *World) relay(e *engine, d *decoding) {
	i := d.reader
	if i == nil || i.dead || i.run != d.run || w.isCut(string(e.up.ID), string(i.opts.ID)) {
		return
	}
	back := w.latency(e.up.DataCentre, i.opts.DataCentre)
	request := w.Requests[d.request]
	total := d.base + d.made
	if !request.Done {
		request.got(w.now+back, d.attempt, d.base+d.delivered, total)
	}
	d.delivered = d.made
	if !d.notified {
		d.notified = true
		i.later(back, router.FirstToken{Attempt: d.attempt})
	}
	if d.made >= d.max {
		i.later(back, router.ResponseCompleted{Attempt: d.attempt, Tokens: total, BetweenTokens: percentile95(d.gaps)})
		return
	}
	i.later(back, router.Progress{Attempt: d.attempt, Tokens: total})
}

func percentile95(gaps []time.Duration) time.Duration {
	if len(gaps) == 0 {
		return 0
	}
	sorted := slices.Clone(gaps)
	slices.Sort(sorted)
	return sorted[len(sorted)*95/100]
}

func (w *World) failDecoding(e *engine, d *decoding, kind attempts.FailureKind) {
	if d.reader == nil || d.reader.run != d.run {
		return
	}
	back := w.latency(e.up.DataCentre, d.reader.opts.DataCentre)
	d.reader.later(back, router.Progress{Attempt: d.attempt, Tokens: d.base + d.made})
	d.reader.failed(back, d.attempt, e.up.ID, kind, true)
}

func (w *World) startResume(i *Instance, q router.StartResume) {
	e := w.engines[q.Upstream]
	there := w.latency(i.opts.DataCentre, e.up.DataCentre)
	run := i.run
	w.after(there, func() {
		d := e.running[q.EngineAttempt]
		if e.down() || d == nil {
			i.failed(there, q.Attempt, q.Upstream, attempts.FailProtocolError, true)
			return
		}
		delete(e.running, q.EngineAttempt)
		moved := *d
		moved.attempt, moved.reader, moved.run, moved.request, moved.notified = q.Attempt, i, run, q.Request, false
		moved.delivered = moved.made
		e.running[q.Attempt] = &moved
		if d.reader != nil && d.reader != i && d.reader.run == d.run {
			w.failDecoding(e, d, attempts.FailProtocolError)
		}
		request := w.Requests[q.Request]
		request.got(w.now+there, q.Attempt, q.Offset, moved.base+moved.made)
		w.after(w.stepTime(e), func() { w.token(e, &moved) })
	})
}

func (w *World) cancel(i *Instance, q router.Cancel) {
	e := w.engines[q.Upstream]
	name, up := string(i.opts.ID), string(q.Upstream)
	if e == nil || w.isCut(name, up) {
		return
	}
	there := w.latency(i.opts.DataCentre, e.up.DataCentre)
	w.after(there, func() {
		if e.down() {
			return
		}
		delete(e.kv, q.Attempt)
		if e.running[q.Attempt] != nil {
			delete(e.running, q.Attempt)
			e.note()
		}
		if !w.isCut(up, name) {
			i.later(there, router.CancelConfirmed{Attempt: q.Attempt, Upstream: q.Upstream})
		}
	})
}

func (w *World) startCall(i *Instance, q router.StartCall) {
	e := w.engines[q.Upstream]
	request := w.Requests[q.Request]
	there := w.latency(i.opts.DataCentre, e.up.DataCentre)
	name, up := string(i.opts.ID), string(q.Upstream)
	if w.isCut(name, up) {
		i.failed(2*time.Second, q.Attempt, q.Upstream, attempts.FailStalled, true)
		return
	}
	i.later(0, router.AttemptSent{Attempt: q.Attempt})
	request.reached(w.now, q.Upstream)
	generation := e.generation
	w.after(there+w.opts.Engine.PlainWork, func() {
		if e.down() {
			i.failed(there, q.Attempt, q.Upstream, attempts.FailConnect, false)
			return
		}
		if e.generation != generation {
			i.failed(there, q.Attempt, q.Upstream, attempts.FailCrashed, true)
			return
		}
		w.executed(request)
		if w.isCut(up, name) {
			i.failed(30*time.Second, q.Attempt, q.Upstream, attempts.FailStalled, true)
			return
		}
		i.later(there, router.ResponseCompleted{Attempt: q.Attempt, Status: 200})
	})
}
