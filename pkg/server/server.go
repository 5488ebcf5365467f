// Package server is the daemon of an entry Instance: it turns I/O into events
// of a router.Router and applies the effects that the Router returns.
//
// One goroutine, the event loop, owns the Router. Requests, store calls, peer
// messages and calls to Upstreams run on their own goroutines and post events to
// the loop.
package server

import (
	"context"
	"crypto/rand"
	"encoding/binary"
	"errors"
	"fmt"
	mathrand "math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/rhubarbsill/rhubarbsill/pkg/config"
	"github.com/rhubarbsill/rhubarbsill/pkg/core"
	"github.com/rhubarbsill/rhubarbsill/pkg/membership"
	"github.com/rhubarbsill/rhubarbsill/pkg/peer"
	"github.com/rhubarbsill/rhubarbsill/pkg/platform"
	"github.com/rhubarbsill/rhubarbsill/pkg/resume"
	"github.com/rhubarbsill/rhubarbsill/pkg/router"
	"github.com/rhubarbsill/rhubarbsill/pkg/telemetry"
	"github.com/rhubarbsill/rhubarbsill/pkg/timeline"
	"github.com/rhubarbsill/rhubarbsill/pkg/upstream"
)

const (
	// eventQueueSize is the capacity of the event loop's queue.
	eventQueueSize = 4096
	// maxStall is the longest time between two iterations of the event loop
	// after which leases and loans still count as valid. The shortest of them is
	// a loan of 2 s, of which a borrower uses the fraction 0.98.
	maxStall = 1500 * time.Millisecond
	// maxLoopInterval bounds the time between two iterations of an idle loop, so
	// that a longer interval indicates a stall.
	maxLoopInterval = 250 * time.Millisecond
	// viewInterval is the minimum time between two updates of the published view.
	viewInterval = 100 * time.Millisecond
	// maxPlatformCalls bounds the concurrent calls to the platform.
	maxPlatformCalls = 64
	// timelineCapacity is the number of timeline events that an Instance keeps.
	timelineCapacity = 20_000
)

// Server is one entry Instance.
type Server struct {
	settings Settings
	log      *zap.Logger
	clock    clock
	router   *router.Router
	events   chan router.Event
	requests *activeRequests

	platform       platform.Client
	peers          *peer.Transport[Envelope]
	metrics        *telemetry.Metrics
	timelineClock  *timeline.Clock
	timelineEvents *timeline.RingBuffer
	pieces         *pieceCache

	upstreams atomic.Pointer[upstream.Client]
	sealer    atomic.Pointer[resume.Sealer]
	snapshot  atomic.Pointer[config.Snapshot]
	view      atomic.Pointer[router.View]
	// nextViewAt, credential and operatorLog belong to the event loop.
	nextViewAt  core.Instant
	credential  string
	operatorLog *operatorLog

	counters         atomic.Pointer[router.Counters]
	failingUpstreams atomic.Pointer[[]core.UpstreamID]
	usage            atomic.Pointer[Usage]
	// controlTime is the time in nanoseconds that the event loop spent on events
	// that belong to no request.
	controlTime   atomic.Int64
	platformBytes byteCounter

	addressQueries sync.Map // query ID -> chan router.Addresses
	lastQueryID    atomic.Uint64
	connections    atomic.Int64
	self           core.InstanceRef
	incarnation    atomic.Uint64

	callerListener net.Listener
	statusListener net.Listener
	drained        chan struct{}
	loopDone       chan struct{}
	background     sync.WaitGroup
}

// New opens the listeners, so that their ports are known, and returns a Server
// that serves once Run is called.
func New(settings Settings, log *zap.Logger) (*Server, error) {
	incarnation := core.Incarnation(time.Now().UnixMilli())
	s := &Server{
		settings:       settings,
		log:            log,
		clock:          newClock(),
		events:         make(chan router.Event, eventQueueSize),
		requests:       newActiveRequests(),
		self:           core.InstanceRef{ID: settings.Instance, Incarnation: incarnation},
		timelineEvents: timeline.NewRingBuffer(timelineCapacity),
		timelineClock:  timeline.NewClock(string(settings.Instance), time.Now),
		pieces:         newPieceCache(),
		drained:        make(chan struct{}),
		operatorLog:    newOperatorLog(log),

		loopDone: make(chan struct{}),
	}
	s.incarnation.Store(uint64(incarnation))
	var err error
	if s.metrics, err = telemetry.New(telemetry.Options{}); err != nil {
		return nil, fmt.Errorf("metrics: %w", err)
	}
	s.platform = platform.NewHTTP(settings.Platform, platform.Options{
		MaxPending: maxPlatformCalls,
		Transport:  s.platformBytes.transport(maxPlatformCalls),
	})
	s.setUpstreamClient("")
	if err := s.listen(); err != nil {
		return nil, err
	}
	s.router = router.New(router.Params{
		Self: membership.Member{
			Ref:        s.self,
			DataCentre: settings.DataCentre,
			Region:     settings.Region,
			PeerAddr:   s.peers.Addr(),
			CallerAddr: s.callerListener.Addr().String(),
		},
		StoreRegion: settings.StoreRegion,
		Environment: settings.Environment,
		Rand:        mathrand.New(mathrand.NewPCG(randomUint64(), randomUint64())),
		NonceSource: rand.Reader,
	})
	return s, nil
}

func randomUint64() uint64 {
	var b [8]byte
	_, _ = rand.Read(b[:]) // documented never to return an error
	return binary.LittleEndian.Uint64(b[:])
}

func (s *Server) listen() error {
	s.peers = peer.NewTransport(s.self, peer.Options{
		Secret:       []byte(s.settings.FleetSecret.Reveal()),
		FetchHandler: s.servePeer,
		Log:          telemetry.ComponentLogger(s.log, "peer"),
	}, s.deliver)
	if err := s.peers.Listen(s.settings.PeerAddr); err != nil {
		return fmt.Errorf("peer listener: %w", err)
	}
	var err error
	if s.callerListener, err = listenCallers(s.settings.CallerAddr); err != nil {
		return fmt.Errorf("caller listener: %w", err)
	}
	if s.statusListener, err = net.Listen("tcp", s.settings.StatusAddr); err != nil {
		return fmt.Errorf("status listener: %w", err)
	}
	return nil
}

// ListenAddresses holds the listen addresses of an Instance. rhubarbsilld prints
// it as one line of JSON when its ports are open.
type ListenAddresses struct {
	Instance   core.InstanceID `json:"instance"`
	CallerAddr string          `json:"caller_addr"`
	PeerAddr   string          `json:"peer_addr"`
	StatusAddr string          `json:"status_addr"`
}

// ListenAddresses returns the addresses of the open listeners.
func (s *Server) ListenAddresses() ListenAddresses {
	return ListenAddresses{
		Instance:   s.self.ID,
		CallerAddr: s.callerListener.Addr().String(),
		PeerAddr:   s.peers.Addr(),
		StatusAddr: s.statusListener.Addr().String(),
	}
}

// Run serves until ctx is done or the Router has drained, then shuts down
// gracefully: the Instance is removed from address responses, and Run waits until
// callers have stopped using it and every request has finished. drainLimit
// bounds the wait. If a listener fails, Run returns its error immediately.
func (s *Server) Run(ctx context.Context, drainLimit time.Duration) error {
	callers, err := s.callerServer()
	if err != nil {
		return err
	}
	status := &http.Server{Handler: s.statusHandler(), ReadHeaderTimeout: 5 * time.Second}
	failed := make(chan error, 2)
	serve := func(server *http.Server, listener net.Listener) {
		if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			failed <- err
		}
	}
	go serve(callers, s.callerListener)
	go serve(status, s.statusListener)
	serveCtx, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	s.start(serveCtx)
	telemetry.ComponentLogger(s.log, "server").Info("serving callers",
		zap.String("addr", s.callerListener.Addr().String()), zap.String("instance", s.self.String()))

	select {
	case err = <-failed:
	case <-ctx.Done():
		s.post(router.ShutdownRequested{})
		err = s.drain(callers, drainLimit)
	case <-s.drained:
		err = s.drain(callers, drainLimit)
	}
	stop()
	_ = status.Close()
	s.peers.Close()
	s.background.Wait()
	return err
}

func (s *Server) start(ctx context.Context) {
	s.background.Go(func() { s.loop(ctx) })
	s.background.Go(func() { s.runSampler(ctx) })
	s.background.Go(func() { s.watchRoot(ctx) })
	s.background.Go(func() { s.publishStatus(ctx) })
}

func (s *Server) drain(callers *http.Server, limit time.Duration) error {
	timer := time.NewTimer(limit)
	defer timer.Stop()
	select {
	case <-s.drained:
	case <-timer.C:
		telemetry.ComponentLogger(s.log, "server").Warn("drain limit reached with requests running")
	}
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	return callers.Shutdown(ctx)
}

// post sends an event to the event loop. It blocks while the queue is full and
// drops the event when the loop has ended.
func (s *Server) post(event router.Event) {
	select {
	case s.events <- event:
	case <-s.loopDone:
	}
}

// loop is the event loop. No other goroutine may use the Router.
func (s *Server) loop(ctx context.Context) {
	defer close(s.loopDone)
	timer := time.NewTimer(0)
	defer timer.Stop()
	stalls := stallDetector{maxStall: maxStall, lastCheck: s.clock.now()}
	for {
		var event router.Event
		select {
		case <-ctx.Done():
			return
		case event = <-s.events:
		case <-timer.C:
			event = router.Tick{}
		}
		if stalls.check(s.clock.now()) {
			s.handleStall(ctx)
		}
		s.handleEvent(ctx, event)
		if wake := s.router.NextWake(); wake <= s.clock.now() {
			s.handleEvent(ctx, router.Tick{})
		}
		s.refreshView()
		timer.Reset(min(maxLoopInterval, max(time.Millisecond, s.clock.until(s.router.NextWake()))))
	}
}

// refreshView publishes the state for the status page and for peers, at most
// once per viewInterval: copying the roster costs more than handling an event.
func (s *Server) refreshView() {
	now := s.clock.now()
	if now < s.nextViewAt {
		return
	}
	s.nextViewAt = now.Add(viewInterval)
	view := s.router.View(now)
	s.view.Store(&view)
	counters := s.router.Counters()
	s.counters.Store(&counters)
	failing := s.operatorLog.failingUpstreams()
	s.failingUpstreams.Store(&failing)
	s.operatorLog.observeView(view)
}

func (s *Server) handleEvent(ctx context.Context, event router.Event) {
	start := time.Now()
	s.operatorLog.observeEvent(event)
	for _, effect := range s.router.Step(s.clock.now(), event) {
		s.applyEffect(ctx, effect)
	}
	if isControl(event) {
		s.controlTime.Add(int64(time.Since(start)))
	}
}

func (s *Server) handleStall(ctx context.Context) {
	incarnation := core.Incarnation(time.Now().UnixMilli())
	s.incarnation.Store(uint64(incarnation))
	s.peers.SetIncarnation(incarnation)
	telemetry.ComponentLogger(s.log, "server").Warn("process was paused, continuing as a new incarnation",
		zap.Uint64("incarnation", uint64(incarnation)))
	s.handleEvent(ctx, router.ProcessPaused{Incarnation: incarnation})
}

// applyEffect starts or applies one effect. It does not block: effects that may
// block run on their own goroutines.
func (s *Server) applyEffect(ctx context.Context, effect router.Effect) {
	switch e := effect.(type) {
	case router.Refuse:
		s.requests.post(e.Request, e)
	case router.Replay:
		s.requests.post(e.Request, e)
	case router.Complete:
		s.requests.post(e.Request, e)
	case router.RequestAbandoned:
		s.requests.post(e.Request, e)
	case router.StartPrefill:
		go s.prefill(ctx, e)
	case router.StartDecode:
		s.dispatchToHandler(e.Request, e, e.Attempt, e.Upstream)
	case router.StartResume:
		s.dispatchToHandler(e.Request, e, e.Attempt, e.Upstream)
	case router.StartCall:
		go s.sendPlainRequest(ctx, e)
	case router.Cancel:
		// Stop the stream before the next effect is applied: the attempt that
		// replaces this one must not write to the caller at the same time.
		s.requests.cancelAttempt(e.Request, e.Attempt)
		go s.cancelAttempt(ctx, e)
	case router.Addresses:
		s.deliverAddresses(e)
	case router.StoreGet:
		go s.storeGet(ctx, e)
	case router.StorePut:
		go s.storePut(ctx, e)
	case router.FetchRoot:
		go s.fetchRoot(ctx, e)
	case router.FetchPiece:
		go s.fetchPiece(ctx, e)
	case router.ListInstances:
		go s.listInstances(ctx)
	case router.PollLoad:
		go s.pollLoad(ctx, e)
	case router.SendOrder:
		go s.sendOrder(ctx, e)
	case router.SendPeerMessage:
		s.sendPeer(e)
	case router.ConfigActivated:
		s.activateSnapshot(e.Snapshot)
	case router.StopServing:
		telemetry.ComponentLogger(s.log, "membership").Warn("stopped serving", zap.String("reason", e.Reason))
	case router.Drained:
		close(s.drained)
	case router.Record:
		s.recordEvent(e.Event)
	case router.Observe:
		s.recordObservation(e.Observation)
	}
}

func (s *Server) recordEvent(event timeline.Event) {
	event.Stamp = s.timelineClock.Now()
	s.timelineEvents.Add(event)
	s.operatorLog.logTimelineEvent(event)
	s.log.Debug(event.Component+": "+event.Kind,
		zap.String("request", string(event.Request)),
		zap.String("account", string(event.Account)),
		zap.String("upstream", string(event.Upstream)),
		zap.String("detail", event.Detail))
}

func (s *Server) recordObservation(o router.Observation) {
	if o.WastedPrefillTokens > 0 {
		s.metrics.AddWastedPrefill(o.Service, int64(o.WastedPrefillTokens))
	}
	if o.CallerDisconnected {
		return
	}
	if o.Code != "" {
		s.metrics.RecordRefusal(o.Service, o.Account, o.Code, o.WithinRate)
		return
	}
	s.metrics.RecordCompletion(telemetry.CompletedRequest{
		Service:                 o.Service,
		Account:                 o.Account,
		TimeToFirstToken:        o.FirstToken,
		InterTokenLatency:       o.BetweenTokens,
		Tokens:                  int64(o.OutputTokens),
		TimeToFirstTokenTarget:  time.Duration(o.Targets.FirstTokenMS) * time.Millisecond,
		InterTokenLatencyTarget: time.Duration(o.Targets.BetweenTokensMS) * time.Millisecond,
	})
}

// activateSnapshot applies the parts of a configuration that the daemon itself
// uses: the credential for Upstreams and the keys that seal SSE event ids.
func (s *Server) activateSnapshot(snapshot *config.Snapshot) {
	log := telemetry.ComponentLogger(s.log, "rollout")
	log.Info("configuration in force", zap.Uint64("version", uint64(snapshot.Version())))
	s.closeRemovedUpstreams(s.snapshot.Swap(snapshot), snapshot)
	root := snapshot.Root()
	credential, found := s.settings.Secrets[root.UpstreamCredential]
	if !found {
		log.Error("settings lack the upstream credential", zap.String("name", root.UpstreamCredential))
	}
	s.setUpstreamClient(credential.Reveal())
	var keys []resume.Key
	for _, key := range root.ResumeKeys {
		secret, found := s.settings.Secrets[key.Secret]
		if !found {
			log.Error("settings lack a resume key", zap.String("name", key.Secret))
			continue
		}
		keys = append(keys, resume.Key{ID: key.ID, Secret: []byte(secret.Reveal())})
	}
	sealer, err := resume.New(keys)
	if err != nil {
		log.Error("answers can't be resumed", zap.Error(err))
	}
	s.sealer.Store(sealer)
}

// setUpstreamClient replaces the client when the credential has changed. Calls in
// progress finish on the previous client.
func (s *Server) setUpstreamClient(credential string) {
	if s.upstreams.Load() != nil && credential == s.credential {
		return
	}
	s.credential = credential
	s.upstreams.Store(upstream.New(upstream.Options{Credential: credential}))
}

// closeRemovedUpstreams closes the idle connections to Upstreams that are not in
// the next configuration.
func (s *Server) closeRemovedUpstreams(previous, next *config.Snapshot) {
	if previous == nil {
		return
	}
	for _, service := range previous.Services() {
		for _, up := range service.Upstreams {
			if _, _, found := next.Upstream(up.ID); !found {
				s.upstreams.Load().RemoveUpstream(up.URL)
			}
		}
	}
}
