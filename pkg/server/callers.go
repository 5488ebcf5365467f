package server

import (
	"context"
	"crypto/sha256"
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/google/uuid"
	"github.com/kataras/iris/v12"
	iriscontext "github.com/kataras/iris/v12/context"

	"github.com/rhubarbsill/rhubarbsill/pkg/ackwatch"
	"github.com/rhubarbsill/rhubarbsill/pkg/core"
	"github.com/rhubarbsill/rhubarbsill/pkg/keys"
	"github.com/rhubarbsill/rhubarbsill/pkg/router"
	"github.com/rhubarbsill/rhubarbsill/pkg/upstream"
)

const (
	// TCP keep-alive probes close an unresponsive idle connection after 11 s.
	keepAliveIdle     = 5 * time.Second
	keepAliveInterval = 2 * time.Second
	keepAliveCount    = 3
	// unresponsiveTimeout is the time after which a connection to a caller that
	// acknowledges nothing is closed. Writes alone do not detect it, since the
	// kernel buffers many small tokens.
	unresponsiveTimeout = 8 * time.Second
	// streamKeepAliveInterval is the time between two SSE comments on a stream
	// while no attempt relays tokens.
	streamKeepAliveInterval = 3 * time.Second
)

// listenCallers opens a listener whose connections are closed within seconds
// when the caller's host stops responding.
func listenCallers(addr string) (net.Listener, error) {
	lc := net.ListenConfig{KeepAliveConfig: net.KeepAliveConfig{
		Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveCount,
	}}
	listener, err := lc.Listen(context.Background(), "tcp", addr)
	if err != nil {
		return nil, err
	}
	return ackwatch.Listener{Listener: listener, Limit: unresponsiveTimeout}, nil
}

// callerServer builds the HTTP server for callers.
func (s *Server) callerServer() (*http.Server, error) {
	app := iris.New()
	app.Logger().SetLevel("disable")
	app.Configure(iris.WithoutPathCorrection, iris.WithoutStartupLog, iris.WithoutInterruptHandler)
	completions := s.handler(func(w http.ResponseWriter, r *http.Request) { s.serveCompletion(w, r, false) })
	chat := s.handler(func(w http.ResponseWriter, r *http.Request) { s.serveCompletion(w, r, true) })
	app.Post("/v1/completions", completions)
	app.Post("/v1/chat/completions", chat)
	app.Get("/v1/addresses", s.handler(s.serveAddresses))
	app.Get("/healthz", s.handler(s.serveHealth))
	plain := s.handler(s.servePlain)
	app.Any("/", plain)
	app.Any("/{path:path}", plain)
	if err := app.Build(); err != nil {
		return nil, err
	}
	limits := s.settings.Callers
	return &http.Server{
		Handler:           app,
		ReadHeaderTimeout: time.Duration(limits.HeaderSeconds) * time.Second,
		IdleTimeout:       2 * time.Minute,
		MaxHeaderBytes:    limits.MaxHeaderBytes,
		ConnState:         s.countConnections,
	}, nil
}

// handler adapts a net/http handler and limits the caller connections. Naive
// returns the writer of net/http, which http.ResponseController needs to set
// deadlines.
func (s *Server) handler(serve http.HandlerFunc) iris.Handler {
	return func(ctx iris.Context) {
		w := ctx.ResponseWriter().Naive()
		// Without this, iris writes a second header after the handler returns.
		ctx.ResponseWriter().SetWritten(iriscontext.StatusCodeWritten)
		if s.connections.Load() > int64(s.settings.Callers.MaxConnections) {
			refusal := core.NewRefusal(core.CodeTooManyConnections, "this instance has too many connections")
			refusal.RetryAfter = time.Second
			w.Header().Set("Connection", "close")
			s.newResponseWriter(w, "").writeRefusal(refusal)
			return
		}
		serve(w, ctx.Request())
	}
}

func (s *Server) countConnections(_ net.Conn, state http.ConnState) {
	switch state {
	case http.StateNew:
		s.connections.Add(1)
	case http.StateClosed, http.StateHijacked:
		s.connections.Add(-1)
	}
}

func (s *Server) newResponseWriter(w http.ResponseWriter, id core.RequestID) *responseWriter {
	return &responseWriter{
		w:            w,
		controller:   http.NewResponseController(w),
		id:           id,
		writeTimeout: s.settings.Callers.writeTimeout(),
		created:      time.Now().Unix(),
	}
}

// parseDeadline returns the deadline of a request: the caller's Request-Timeout
// header, in seconds, bounded by the limit of the settings.
func (s *Server) parseDeadline(r *http.Request) (core.Instant, *core.Refusal) {
	limit := s.settings.Callers.requestTimeout()
	if text := r.Header.Get("Request-Timeout"); text != "" {
		seconds, err := strconv.ParseFloat(text, 64)
		if err != nil || !(seconds > 0) {
			return 0, malformedRefusal("header Request-Timeout is %q, want seconds above 0", text)
		}
		limit = min(limit, time.Duration(min(seconds, limit.Seconds())*float64(time.Second)))
	}
	return s.clock.now().Add(limit), nil
}

func newRequestID() core.RequestID {
	id, err := uuid.NewV7()
	if err != nil {
		panic(err) // crypto/rand does not fail
	}
	return core.RequestID(id.String())
}

// readBody reads a request body within its limits of size and time.
func (s *Server) readBody(rw *responseWriter, r *http.Request) ([]byte, *core.Refusal) {
	limits := s.settings.Callers
	_ = rw.controller.SetReadDeadline(time.Now().Add(time.Duration(limits.BodySeconds) * time.Second))
	body, err := io.ReadAll(http.MaxBytesReader(rw.w, r.Body, limits.MaxBodyBytes))
	_ = rw.controller.SetReadDeadline(time.Time{})
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return nil, core.NewRefusal(core.CodeTooLarge, "the body is larger than this instance accepts")
	case err != nil:
		return nil, malformedRefusal("the body could not be read: %v", err)
	}
	return body, nil
}

// parseCredential reads the key from the Authorization header. Without the header
// both results are nil.
func parseCredential(r *http.Request) (*keys.Credential, *core.Refusal) {
	values := r.Header.Values("Authorization")
	if len(values) == 0 {
		return nil, nil
	}
	scheme, text, found := strings.Cut(values[0], " ")
	if len(values) > 1 || !found || !strings.EqualFold(scheme, "Bearer") {
		return nil, core.NewRefusal(core.CodeMalformedKey, "the Authorization header must be one \"Bearer KEY\"")
	}
	credential, refusal := keys.ParseKey(strings.TrimSpace(text))
	if refusal != nil {
		return nil, refusal
	}
	return &credential, nil
}

// rejectLeakedKey refuses a request whose key also appears in texts, which are
// sent to an Upstream.
func rejectLeakedKey(credential *keys.Credential, texts ...[]byte) *core.Refusal {
	if credential == nil {
		return nil
	}
	for _, text := range texts {
		if credential.Secret.ContainedIn(text) {
			return core.NewRefusal(core.CodeKeyInRequest, "the key must stand only in the Authorization header")
		}
	}
	return nil
}

func (s *Server) serveCompletion(w http.ResponseWriter, r *http.Request, chat bool) {
	rw := s.newResponseWriter(w, newRequestID())
	request, active, refusal := s.readCompletion(rw, r, chat)
	if refusal != nil {
		rw.writeRefusal(refusal)
		return
	}
	rw.chat = chat
	s.serve(r.Context(), rw, active, request)
}

func (s *Server) readCompletion(rw *responseWriter, r *http.Request, chat bool) (router.Request, *activeRequest, *core.Refusal) {
	credential, refusal := parseCredential(r)
	if refusal != nil {
		return router.Request{}, nil, refusal
	}
	body, refusal := s.readBody(rw, r)
	if refusal != nil {
		return router.Request{}, nil, refusal
	}
	parsed, refusal := parseCompletion(body, chat)
	if refusal != nil {
		return router.Request{}, nil, refusal
	}
	if refusal := rejectLeakedKey(credential, []byte(parsed.prompt), []byte(parsed.model)); refusal != nil {
		return router.Request{}, nil, refusal
	}
	rw.model = string(parsed.model)
	rw.stream = parsed.stream
	active := newActiveRequest(rw.id)
	active.model = string(parsed.model)
	active.prompt = parsed.prompt
	request := s.newRequest(rw.id, credential, body)
	if request.Deadline, refusal = s.parseDeadline(r); refusal != nil {
		return router.Request{}, nil, refusal
	}
	request.Model = parsed.model
	request.PromptTokens = upstream.EstimateTokens(parsed.prompt)
	request.MaxOutputTokens = int(parsed.maxTokens)
	request.Prefix = upstream.PrefixHashes(active.model, parsed.prompt)
	if credential != nil {
		active.account = credential.Account
	}
	if id := r.Header.Get("Last-Event-ID"); id != "" {
		if request.Resume, refusal = s.openResume(active.account, id); refusal != nil {
			return router.Request{}, nil, refusal
		}
	}
	return request, active, nil
}

func (s *Server) openResume(account core.AccountID, id string) (*router.ResumePosition, *core.Refusal) {
	sealer := s.sealer.Load()
	if sealer == nil {
		return nil, core.NewRefusal(core.CodeResumeInvalid, "this instance can't resume answers")
	}
	position, err := sealer.Open(account, id)
	if err != nil {
		return nil, core.NewRefusal(core.CodeResumeInvalid, "the event id does not belong to an answer of this account")
	}
	return &router.ResumePosition{
		Account:  position.Account,
		Request:  position.Request,
		Attempt:  position.Attempt,
		Upstream: position.Upstream,
		Offset:   position.Offset,
	}, nil
}

func (s *Server) newRequest(id core.RequestID, credential *keys.Credential, body []byte) router.Request {
	request := router.Request{
		ID:         id,
		Credential: credential,
		BodyDigest: sha256.Sum256(body),
		WallTime:   time.Now(),
	}
	hash := sha256.New()
	if credential != nil {
		hash.Write([]byte(credential.Account))
	}
	hash.Write([]byte{0})
	hash.Write(request.BodyDigest[:])
	copy(request.Fingerprint[:], hash.Sum(nil))
	return request
}

// servePlain routes a plain request, with method and body unchanged.
func (s *Server) servePlain(w http.ResponseWriter, r *http.Request) {
	rw := s.newResponseWriter(w, newRequestID())
	credential, refusal := parseCredential(r)
	if refusal == nil {
		refusal = rejectLeakedKey(credential, []byte(r.URL.RequestURI()))
	}
	var body []byte
	if refusal == nil {
		body, refusal = s.readBody(rw, r)
	}
	if refusal == nil {
		refusal = rejectLeakedKey(credential, body, headerText(upstream.FilterHeader(r.Header)))
	}
	var deadline core.Instant
	if refusal == nil {
		deadline, refusal = s.parseDeadline(r)
	}
	if refusal != nil {
		rw.writeRefusal(refusal)
		return
	}
	active := newActiveRequest(rw.id)
	active.plain = upstream.PlainRequest{Method: r.Method, Path: r.URL.RequestURI(), Header: r.Header, Body: body}
	request := s.newRequest(rw.id, credential, append([]byte(r.Method+" "+r.URL.RequestURI()+"\n"), body...))
	request.Deadline = deadline
	request.Method = r.Method
	request.Path = r.URL.EscapedPath()
	request.IdempotencyKey = r.Header.Get("Idempotency-Key")
	if credential != nil {
		active.account = credential.Account
	}
	s.serve(r.Context(), rw, active, request)
}

func headerText(header http.Header) []byte {
	var text []byte
	for name, values := range header {
		text = append(text, name...)
		for _, value := range values {
			text = append(text, '\n')
			text = append(text, value...)
		}
	}
	return text
}

// serve handles one request until its response is written or its caller has
// disconnected.
func (s *Server) serve(ctx context.Context, rw *responseWriter, active *activeRequest, request router.Request) {
	s.requests.add(active)
	s.post(router.RequestArrived{Request: request})
	keepAlives := time.NewTicker(streamKeepAliveInterval)
	defer keepAlives.Stop()
	for {
		select {
		case <-ctx.Done():
			s.handleDisconnect(active)
			return
		case <-keepAlives.C:
			if rw.writeKeepAlive() != nil {
				s.handleDisconnect(active)
				return
			}
		case effect := <-active.effects:
			done, err := s.handleEffect(ctx, rw, active, request, effect)
			if err != nil {
				s.handleDisconnect(active)
				return
			}
			if done {
				s.requests.remove(active.id)
				return
			}
		}
	}
}

// handleDisconnect reports to the Router that the caller has disconnected. The
// request stays registered until the Router has ended it or the request timeout
// has passed: a plain request with a claim continues without its caller.
func (s *Server) handleDisconnect(active *activeRequest) {
	s.post(router.CallerDisconnected{Request: active.id})
	timeout := time.NewTimer(s.settings.Callers.requestTimeout())
	go func() {
		defer timeout.Stop()
		defer s.requests.remove(active.id)
		for {
			select {
			case effect := <-active.effects:
				if isFinal(effect) {
					return
				}
			case <-timeout.C:
				return
			}
		}
	}()
}

// isFinal reports whether an effect ends its request.
func isFinal(effect router.Effect) bool {
	switch effect.(type) {
	case router.Refuse, router.Replay, router.Complete, router.RequestAbandoned:
		return true
	}
	return false
}

func (s *Server) handleEffect(ctx context.Context, rw *responseWriter, active *activeRequest, request router.Request, effect router.Effect) (done bool, err error) {
	switch e := effect.(type) {
	case router.StartDecode:
		return false, s.decode(ctx, active, rw, e)
	case router.StartResume:
		return false, s.resume(ctx, active, rw, e)
	case router.Refuse:
		rw.writeRefusal(e.Refusal)
	case router.Replay:
		rw.writeReplay(e.Outcome)
	case router.Complete:
		if response := active.plainResponse(); response != nil {
			rw.writePlainResponse(response)
		} else {
			rw.finish(request.PromptTokens)
		}
	}
	return isFinal(effect), nil
}

func (s *Server) serveHealth(w http.ResponseWriter, _ *http.Request) {
	view := s.view.Load()
	if view == nil || view.Version == 0 || view.Leaving {
		w.WriteHeader(http.StatusServiceUnavailable)
		_, _ = io.WriteString(w, "not ready\n")
		return
	}
	_, _ = io.WriteString(w, "ok\n")
}

// AddressResponse is the body of /v1/addresses.
type AddressResponse struct {
	// Addresses lists entry Instances as IP:port in order of preference.
	Addresses []string `json:"addresses"`
	// TTLSeconds is how long the caller may use the addresses.
	TTLSeconds float64 `json:"keep_seconds"`
}

func (s *Server) serveAddresses(w http.ResponseWriter, r *http.Request) {
	rw := s.newResponseWriter(w, newRequestID())
	credential, refusal := parseCredential(r)
	if refusal != nil {
		rw.writeRefusal(refusal)
		return
	}
	queryID := s.lastQueryID.Add(1)
	results := make(chan router.Addresses, 1)
	s.addressQueries.Store(queryID, results)
	defer s.addressQueries.Delete(queryID)
	s.post(router.AddressesRequested{QueryID: queryID, Credential: credential})
	select {
	case <-r.Context().Done():
	case result := <-results:
		addresses := result.Addresses.CallerAddrs
		if addresses == nil {
			addresses = []string{}
		}
		rw.writeJSON(http.StatusOK, AddressResponse{Addresses: addresses, TTLSeconds: result.Addresses.TTL.Seconds()})
	}
}

func (s *Server) deliverAddresses(e router.Addresses) {
	if results, pending := s.addressQueries.LoadAndDelete(e.QueryID); pending {
		results.(chan router.Addresses) <- e
	}
}
