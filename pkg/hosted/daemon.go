package hosted

import (
	"context"
	"crypto/rand"
	"crypto/sha256"
	"encoding/binary"
	"errors"
	"fmt"
	mathrand "math/rand/v2"
	"net"
	"net/http"
	"runtime/debug"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/rhubarbsill/rhubarbsill/pkg/ackwatch"
	"github.com/rhubarbsill/rhubarbsill/pkg/admission"
	"github.com/rhubarbsill/rhubarbsill/pkg/boottime"
	"github.com/rhubarbsill/rhubarbsill/pkg/catalog"
	"github.com/rhubarbsill/rhubarbsill/pkg/config"
	"github.com/rhubarbsill/rhubarbsill/pkg/core"
	"github.com/rhubarbsill/rhubarbsill/pkg/dispatch"
	"github.com/rhubarbsill/rhubarbsill/pkg/fleet"
	"github.com/rhubarbsill/rhubarbsill/pkg/follow"
	"github.com/rhubarbsill/rhubarbsill/pkg/peer"
	"github.com/rhubarbsill/rhubarbsill/pkg/promptcache"
	"github.com/rhubarbsill/rhubarbsill/pkg/retry"
	"github.com/rhubarbsill/rhubarbsill/pkg/router"
	"github.com/rhubarbsill/rhubarbsill/pkg/telemetry"
	"github.com/rhubarbsill/rhubarbsill/pkg/timeline"
	"github.com/rhubarbsill/rhubarbsill/pkg/upstream"
	"github.com/rhubarbsill/rhubarbsill/pkg/warmup"
)

const (
	// eventQueueSize bounds the events that wait for the event loop.
	eventQueueSize = 4096
	// maxLoopWait bounds the time between two iterations of the event loop, so that
	// a pause of the process is detected.
	maxLoopWait = 500 * time.Millisecond
	// pauseThreshold is the time between two iterations of the event loop from which
	// the process counts as paused, whether it was stopped or its machine suspended.
	pauseThreshold = 2 * time.Second
	// timelineSize is the number of recorded events that an Instance keeps: a few
	// minutes at 20 requests per second.
	timelineSize = 4_000
	// gaugeInterval is the shortest time between two reads of the gauges. Metrics are
	// scraped every few seconds.
	gaugeInterval = 250 * time.Millisecond
	// idleCloseInterval is the interval at which expired idle connections are closed.
	idleCloseInterval = time.Second
	// maxHeaderBytes bounds the header of a caller's request, whatever the configuration allows: it
	// is read before the route is known.
	maxHeaderBytes = 256 << 10
	// headerTimeout bounds the time in which a caller must send the header.
	headerTimeout = 10 * time.Second
	// idleTimeout is above the idle time that configurations allow callers. The caller
	// closes an idle connection first, so no request is sent on a connection that
	// this side is closing.
	idleTimeout = 2 * time.Minute
)

// Daemon is one hosted Instance.
type Daemon struct {
	settings Settings
	adapter  Adapter
	log      *zap.Logger
	start    time.Time
	bootTime func() time.Duration
	startAt  time.Duration // boot time at the start
	router   *router.Router
	events   chan router.Event
	requests *activeRequests
	peers    *peer.Transport[envelope]
	metrics  *telemetry.Metrics
	timeline *timeline.RingBuffer
	clock    *timeline.Clock

	routing       atomic.Pointer[config.Routing]
	shareKnown    atomic.Bool // or the wait for the share of the quotas is over
	config        atomic.Pointer[heldConfig]
	upstreams     atomic.Pointer[upstreamList]
	leaving       atomic.Bool
	liveInstances atomic.Int64 // including this one
	extraTokens   int64        // last recorded
	follower      atomic.Bool  // others of the Region follow the store closely
	watches       activeWatches
	lastGaugeRead time.Time // only used by the event loop
	// delayedHeartbeats is what the metrics have counted, only used by the event loop.
	delayedHeartbeats int64
	lastCold          warmup.Summary
	lastHeldPrompts   promptcache.Stats
	lastQueue         map[int]router.UrgencyGauges
	addressQueries    sync.Map // query ID -> chan router.CallerAddresses
	lastQueryID       atomic.Uint64
	writingMember     atomic.Bool
	// evacuationHealth is used by one call of the store at a time. evacuatedBefore is only used by the
	// event loop.
	evacuationHealth *storeHealth
	evacuatedBefore  map[core.DataCentreName]int
	// storeCalls delivers the calls of the store that are due, nil unless followers rely on readers.
	// lastFollow is what the metrics have counted, only used by the event loop.
	storeCalls map[router.StateKind]chan follow.Call
	lastFollow *router.FollowGauges

	drained   chan struct{}
	loopEnded chan struct{}
	// buffers bounds the memory of the responses that are read as a whole, or event by event.
	buffers *upstream.Buffers
	gate    *gate
	chunks  chunkPool
	// slowWrites counts the whole answers that are being written.
	slowWrites atomic.Int64
	background sync.WaitGroup
}

// upstreamList is the current list of Upstreams, which peers may fetch.
type upstreamList struct {
	Revision  core.StoreRevision `json:"store_revision"`
	Upstreams []catalog.Upstream `json:"upstreams"`
	// at is the instant from which the cold times count.
	at core.Instant
}

// envelope is a peer message with the hybrid logical timestamp of its sender.
type envelope struct {
	Stamp   timeline.Stamp
	Message router.Message
}

// New returns a Daemon that is not serving yet; see Run.
func New(settings Settings, adapter Adapter, log *zap.Logger) (*Daemon, error) {
	metrics, err := telemetry.New(telemetry.Options{})
	if err != nil {
		return nil, fmt.Errorf("metrics: %w", err)
	}
	ref := core.InstanceRef{ID: settings.Instance, Incarnation: core.Incarnation(time.Now().UnixMilli())}
	d := &Daemon{
		settings:  settings,
		adapter:   adapter,
		log:       log,
		start:     time.Now(),
		bootTime:  boottime.Now,
		startAt:   boottime.Now(),
		events:    make(chan router.Event, eventQueueSize),
		requests:  newActiveRequests(),
		metrics:   metrics,
		timeline:  timeline.NewRingBuffer(timelineSize),
		clock:     timeline.NewClock(string(settings.Instance), time.Now),
		drained:   make(chan struct{}),
		loopEnded: make(chan struct{}),

		buffers: upstream.NewBuffers(),
	}
	limits := settings.admissionLimits()
	d.gate = newGate(limits, d.now, metrics, log)
	d.chunks.limit = int(limits.LargeBytes / chunkBytes)
	d.peers = peer.NewTransport(ref, peer.Options{
		Secret:       fleetSecret(settings),
		CallTimeout:  peerTimeout,
		FetchHandler: d.servePeer,
		Control:      upstream.LimitSocketBuffers,
		Log:          telemetry.ComponentLogger(log, "peer"),
	}, d.handlePeerMessages)
	adapter.Upstreams.ObserveAnswers(d.now, d.onUpstreamAnswer)
	member := fleet.Member{
		Ref: ref, DataCentre: settings.DataCentre, Region: settings.Region,
		CallerAddr: settings.CallerAddr, PeerAddr: settings.PeerAddr,
	}
	followConfigBound, followUpstreamsBound := settings.followBounds()
	d.router = router.New(router.Params{
		Rand:        mathrand.New(mathrand.NewPCG(randomUint64(), randomUint64())),
		NonceSource: rand.Reader,
		Hosted: &router.HostedParams{
			Member:   member,
			Fleet:    fleet.Params{ContactTime: settings.contactTime(), TakeOver: settings.takesOverShares()},
			Dispatch: dispatch.Params{Regions: settings.DataCentres},
			Retry: retry.Params{
				Ratio: settings.RetryRatio, Allowance: settings.RetryAllowance, Window: secondsToDuration(settings.RetryWindowSeconds),
			},
			Warmup:      warmup.Params{Overage: settings.ColdOverage, Slack: settings.ColdSlack},
			GracePeriod: settings.gracePeriod(),
			AddressTTL:  settings.addressTTL(),

			EvacuationBound:      settings.evacuationBound(),
			QuotaTolerance:       settings.quotaTolerance(),
			IgnoreHeldPrompts:    !settings.WeighHeldPrompts,
			FollowConfigBound:    followConfigBound,
			FollowUpstreamsBound: followUpstreamsBound,
		},
	})
	d.evacuationHealth = d.newStoreHealth("evacuations")
	if settings.FollowReaders {
		d.storeCalls = map[router.StateKind]chan follow.Call{
			router.StateConfig: make(chan follow.Call, 1), router.StateUpstreams: make(chan follow.Call, 1),
		}
	}
	return d, nil
}

// peerTimeout bounds a call to a peer. A round trip between regions takes 60 ms.
const peerTimeout = time.Second

// fleetSecret returns the same secret at all Instances that share a store. The
// platform provides no secret, and keeps everybody else from the peer addresses.
func fleetSecret(s Settings) []byte {
	sum := sha256.Sum256([]byte("rhubarbsill fleet at " + s.StoreAddr))
	return sum[:]
}

func randomUint64() uint64 {
	var b [8]byte
	_, _ = rand.Read(b[:]) // documented to never fail
	return binary.LittleEndian.Uint64(b[:])
}

// now returns the time since the start, with the time for which the machine was suspended.
func (d *Daemon) now() core.Instant { return core.Instant(d.bootTime() - d.startAt) }

// Run serves until ctx ends, then shuts down gracefully.
func (d *Daemon) Run(ctx context.Context) error {
	if err := d.peers.Listen(d.settings.peerListenAddr()); err != nil {
		return fmt.Errorf("peer listener: %w", err)
	}
	servers := []classServer{
		{d.server(d.settings.CallerAddr, http.HandlerFunc(d.serveCaller)), admission.Callers},
		{d.smallServer(d.settings.ReadyAddr, http.HandlerFunc(d.serveReady)), admission.Ready},
		{d.smallServer(d.settings.DirectoryAddr, http.HandlerFunc(d.serveAddresses)), admission.Directory},
	}
	if d.settings.MetricsAddr != "" {
		servers = append(servers, classServer{d.smallServer(d.settings.MetricsAddr, d.bufferedMetrics()), admission.Metrics})
	}
	if d.settings.MemoryMB > 0 {
		debug.SetMemoryLimit(d.settings.memoryBytes() * runtimeMemoryPercent / 100)
	}
	serveCtx, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	d.background.Go(func() { d.loop(serveCtx) })
	d.background.Go(func() { d.syncRouting(serveCtx, mathrand.Float64()) })
	d.background.Go(func() { d.syncUpstreams(serveCtx, mathrand.Float64()) })
	d.background.Go(func() { d.registerMember(serveCtx) })
	d.background.Go(func() { d.closeIdleConnections(serveCtx) })
	d.background.Go(func() { d.returnMemory(serveCtx) })
	failed := make(chan error, len(servers))
	for _, server := range servers {
		listener, err := listen(server.Addr)
		if err != nil {
			return err
		}
		admitted := gateListener{Listener: listener, gate: d.gate, class: server.class, headerLimit: d.headerLimit(server.class)}
		go func() {
			if err := server.Serve(admitted); !errors.Is(err, http.ErrServerClosed) {
				failed <- err
			}
		}()
	}
	telemetry.ComponentLogger(d.log, "server").Info("started", zap.String("instance", string(d.settings.Instance)),
		zap.String("callers", d.settings.CallerAddr), zap.String("store", d.settings.StoreAddr))
	var err error
	var shareGivenUp <-chan struct{}
	select {
	case err = <-failed:
	case <-ctx.Done():
		stopAt := time.Now().Add(d.settings.gracePeriod() - time.Second)
		d.post(router.ShutdownRequested{})
		<-d.drained
		shareGivenUp = d.giveUpShare(serveCtx)
		for d.slowWrites.Load() > 0 && time.Now().Before(stopAt) && sleep(serveCtx, slowWritePoll) {
			continue
		}
	}
	d.drainResponses(servers)
	if shareGivenUp != nil {
		<-shareGivenUp
	}
	telemetry.ComponentLogger(d.log, "server").Info("stopped", zap.Error(err))
	stop()
	d.peers.Close()
	return err
}

// drainResponses waits until the handlers have written their last responses: the
// router learns that an Upstream has completed a response before the caller has
// received all of it.
func (d *Daemon) drainResponses(servers []classServer) {
	ctx, cancel := context.WithTimeout(context.Background(), drainTimeout)
	defer cancel()
	for _, server := range servers {
		if err := server.Shutdown(ctx); err != nil {
			telemetry.ComponentLogger(d.log, "server").Warn("responses aborted at shutdown", zap.String("addr", server.Addr), zap.Error(err))
			_ = server.Close() // its listener is closed already
		}
	}
}

// slowWritePoll is the interval at which a stop checks whether answers are still being written to callers
// that read slowly. The router counts them as complete.
const slowWritePoll = 20 * time.Millisecond

// drainTimeout bounds the writing of the last responses. It is shorter than the time
// that the router leaves before the end of the grace period.
const drainTimeout = 300 * time.Millisecond

// runtimeMemoryPercent is the share of the machine's memory that the Go runtime may use. Garbage is
// collected more often near it, which costs processor time and only then. The rest is the program text
// (15 MB) and what the kernel holds for connections.
const runtimeMemoryPercent = 60

// classServer is a server with the class of its connections.
type classServer struct {
	*http.Server
	class admission.Class
}

// maxSmallHeaderBytes bounds the header section of requests to other listeners than that of callers.
const maxSmallHeaderBytes = 16 << 10

// headerLimit returns the largest header section of a class.
func (d *Daemon) headerLimit(class admission.Class) func() int {
	if class != admission.Callers {
		return func() int { return maxSmallHeaderBytes }
	}
	return func() int {
		if routing := d.routing.Load(); routing != nil && routing.Limits.HeaderBytes > 0 {
			return min(routing.Limits.HeaderBytes, maxHeaderBytes)
		}
		return maxHeaderBytes
	}
}

// smallServer returns a server whose requests have no body that is used.
func (d *Daemon) smallServer(addr string, handler http.Handler) *http.Server {
	server := d.server(addr, handler)
	server.ReadTimeout = headerTimeout
	return server
}

// trackPhase keeps a connection from being closed for others while its request runs.
func trackPhase(handler http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c := connOf(r.Context())
		if c != nil {
			c.inHeader.Store(false)
		}
		c.setPhase(admission.Running)
		defer c.setPhase(admission.Receiving) // net/http reads the rest of the body
		handler.ServeHTTP(w, r)
	})
}

func (d *Daemon) server(addr string, handler http.Handler) *http.Server {
	return &http.Server{
		Addr: addr, Handler: trackPhase(handler), MaxHeaderBytes: maxHeaderBytes,
		ConnState: func(conn net.Conn, state http.ConnState) {
			if c, ok := conn.(*callerConn); ok {
				c.onState(state)
			}
		},
		ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, ConnContext: withConn,
		DisableGeneralOptionsHandler: true, // only an Upstream answers with success
	}
}

// Keep-alive probes and time limit of caller connections. An unresponsive connection is
// closed within 8 s. A caller that responds and reads slowly has the time of its request.
const (
	keepAliveIdle       = 4 * time.Second
	keepAliveInterval   = 2 * time.Second
	keepAliveCount      = 2
	unresponsiveTimeout = 6 * time.Second
)

func listen(addr string) (net.Listener, error) {
	lc := net.ListenConfig{
		Control:         upstream.LimitSocketBuffers, // accepted connections have the buffers of the listener
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveCount},
	}
	listener, err := lc.Listen(context.Background(), "tcp", addr)
	if err != nil {
		return nil, fmt.Errorf("listen: %w", err)
	}
	return ackwatch.Listener{Listener: listener, Limit: unresponsiveTimeout}, nil
}

// post sends an event to the event loop, and drops it when the loop has ended.
func (d *Daemon) post(event router.Event) {
	select {
	case d.events <- event:
	case <-d.loopEnded:
	}
}

// loop runs the event loop, the only goroutine that calls Step of the Router.
func (d *Daemon) loop(ctx context.Context) {
	defer close(d.loopEnded)
	timer := time.NewTimer(0)
	defer timer.Stop()
	last := d.now()
	for {
		var event router.Event
		select {
		case <-ctx.Done():
			return
		case event = <-d.events:
		case <-timer.C:
			event = router.Tick{}
		}
		now := d.now()
		if now.Sub(last) > pauseThreshold {
			d.step(ctx, router.ProcessPaused{})
		}
		last = now
		d.step(ctx, event)
		if d.router.NextWake() <= d.now() {
			d.step(ctx, router.Tick{})
		}
		wait := d.router.NextWake().Sub(d.now())
		timer.Reset(min(maxLoopWait, max(time.Millisecond, wait)))
	}
}

func (d *Daemon) step(ctx context.Context, event router.Event) {
	for _, effect := range d.router.Step(d.now(), event) {
		d.execute(ctx, effect)
	}
	if _, tick := event.(router.Tick); tick && time.Since(d.lastGaugeRead) >= gaugeInterval {
		d.lastGaugeRead = time.Now()
		gauges := d.router.HostedGauges(d.now())
		d.setLiveInstances(int64(gauges.LiveInstances))
		d.follower.Store(!gauges.Reader)
		d.metrics.SetReachableInstances(gauges.LiveInstances)
		d.metrics.SetConfigVersion(gauges.Version)
		d.metrics.SetLiveness(gauges.Liveness.NotNamed, gauges.Liveness.DelayedHeartbeats-d.delayedHeartbeats)
		d.delayedHeartbeats = gauges.Liveness.DelayedHeartbeats
		d.setColdGauges(gauges.Cold)
		d.metrics.SetShares(gauges.QuotaPart, gauges.SharesTakenOver)
		for service, n := range gauges.Queued {
			d.metrics.SetQueueLength(service, n)
		}
		d.setQueueByUrgency(gauges.QueueByUrgency)
		d.recordEvacuationGauges(gauges.Evacuations)
		d.metrics.AddExtraTokens(gauges.ExtraTokens - d.extraTokens)
		d.extraTokens = gauges.ExtraTokens
		d.setHeldPrompts(gauges.HeldPrompts)
		d.recordFollowGauges(gauges.Follow)
		for _, s := range gauges.Paces {
			d.metrics.SetPaceSpread(s.Service, string(s.Stage), s.Fastest, s.Slowest, s.Slow)
		}
	}
}

// setHeldPrompts records what was expected of held prompts since the last call.
func (d *Daemon) setHeldPrompts(s promptcache.Stats) {
	last := d.lastHeldPrompts
	d.metrics.AddHeldPrompts(s.Expected-last.Expected, s.Found-last.Found, s.Refuted-last.Refuted, s.Requests-last.Requests)
	d.metrics.SetHeldPrefixes(s.Entries)
	d.lastHeldPrompts = s
}

// execute executes one effect without blocking.
func (d *Daemon) execute(ctx context.Context, effect router.Effect) {
	switch e := effect.(type) {
	case router.Refuse:
		d.requests.enqueue(e.Request, e)
	case router.RelayFailure:
		d.requests.enqueue(e.Request, e)
	case router.Complete:
		d.requests.enqueue(e.Request, e)
	case router.RequestAbandoned:
		d.requests.enqueue(e.Request, e)
	case router.StartPrefill:
		d.requests.enqueue(e.Request, e)
	case router.StartDecode:
		d.requests.enqueue(e.Request, e)
	case router.StartCall:
		d.requests.enqueue(e.Request, e)
	case router.Cancel:
		d.requests.cancelAttempt(e.Request, e.Attempt)
	case router.AcquireHold:
		go d.acquireHold(ctx, e)
	case router.ReleaseHold:
		go d.releaseHold(ctx, e)
	case router.ReleaseKV:
		go d.releaseKV(ctx, e)
	case router.CallerAddresses:
		if query, found := d.addressQueries.LoadAndDelete(e.QueryID); found {
			query.(chan router.CallerAddresses) <- e
		}
	case router.ListMembers:
		go d.listMembers(ctx)
	case router.RegisterMember:
		go d.writeMember(ctx, e.Joined)
	case router.ReadEvacuations:
		go d.readEvacuations(ctx, e.Call)
	case router.StoreCallDue:
		d.storeCalls[e.Kind] <- e.Call // there is one for each StoreCallReady
	case router.RemoveMembers:
		go d.removeMembers(ctx, e.Removals)
	case router.FetchState:
		go d.fetchState(ctx, e)
	case router.SendPeerMessage:
		if left := e.NotAfter.Sub(d.now()); left > 0 {
			d.peers.SendWithin(e.To, e.Addr, envelope{Stamp: d.clock.Now(), Message: e.Message}, left)
		}
	case router.RoutingActivated:
		d.routing.Store(e.Routing)
		d.config.Store(newHeldConfig(RoutingObject{Routing: e.Routing, Revision: e.Revision, Raw: e.Raw}))
	case router.ShareKnown:
		d.shareKnown.Store(true)
	case router.UpstreamsUpdated:
		d.upstreams.Store(&upstreamList{Revision: e.Revision, Upstreams: e.Upstreams, at: e.At})
	case router.RefreshState:
		d.watches.endAll()
	case router.StoreEraBegan:
		d.watches.endBefore(e.Era)
	case router.ShutdownStarted:
		d.leaving.Store(true)
	case router.Drained:
		close(d.drained)
	case router.Record:
		d.record(e.Event)
	case router.Observe:
		d.observe(e.Observation)
	}
}

func (d *Daemon) record(event timeline.Event) {
	event.Stamp = d.clock.Now()
	d.timeline.Add(event)
	d.log.Info(event.Component+": "+event.Kind,
		zap.String("request", string(event.Request)),
		zap.String("account", string(event.Account)),
		zap.String("upstream", string(event.Upstream)),
		zap.String("detail", event.Detail))
}

func (d *Daemon) observe(o router.Observation) {
	if o.WastedPrefillTokens > 0 {
		d.metrics.AddWastedPrefill(o.Service, int64(o.WastedPrefillTokens))
	}
	outcome := o.Hosted
	switch {
	case o.CallerDisconnected:
		d.metrics.RecordCallerDisconnect(o.Service)
	case o.Code != "":
		d.metrics.RecordRefusal(o.Service, o.Account, o.Code, o.WithinRate)
	case outcome.Failure != "":
		d.metrics.RecordUpstreamFailure(o.Service, string(outcome.Failure))
	case outcome.Announced != "":
		d.metrics.AddUpstreamAnnouncement(string(outcome.Announced))
	case outcome.Retried:
		d.metrics.RecordRetry(o.Service)
	default:
		d.metrics.RecordCompletion(telemetry.CompletedRequest{
			Service: o.Service, Account: o.Account, Failed: outcome.Status >= http.StatusInternalServerError,
			Plain: outcome.Plain, Duration: outcome.Duration, TimeToFirstToken: o.FirstToken, TimeToFirstTokenTarget: outcome.Target,
			LongestPause: outcome.LongestPause, PauseTarget: outcome.PauseTarget,
		})
	}
}

func (d *Daemon) closeIdleConnections(ctx context.Context) {
	for sleep(ctx, idleCloseInterval) {
		d.adapter.Upstreams.CloseIdleConnections()
	}
}

// sleep waits. It reports false when ctx ended first.
func sleep(ctx context.Context, wait time.Duration) bool {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}
