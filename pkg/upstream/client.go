// Package upstream is the HTTP client of engines and plain services. It builds
// requests from an allow list of headers plus the Instance's own credential, ends
// requests that make no progress, and reports whether a failed request can have
// reached the Upstream.
package upstream

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/textproto"
	"net/url"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rhubarbsill/rhubarbsill/pkg/httphead"
)

// Options are the settings of a Client. Zero values select the defaults.
type Options struct {
	// Credential is the Instance's own credential, sent as a bearer token.
	Credential string
	// ConnectTimeout bounds the dial. Default 1 s.
	ConnectTimeout time.Duration
	// WriteTimeout bounds each write to a connection. Default 2 s.
	WriteTimeout time.Duration
	// ProgressTimeout is the longest time without a byte of progress: while sending,
	// while waiting for the response, and while reading it. Default 2 s.
	ProgressTimeout time.Duration
	// PlainProgressTimeout replaces ProgressTimeout for calls to plain services, which send
	// nothing while they work. Default 30 s.
	PlainProgressTimeout time.Duration
	// ConnsPerHost bounds the connections to one Upstream for requests, and also those for reads
	// of its state. Default 64.
	ConnsPerHost int
	// MaxResponseBytes bounds the body of a response that isn't a stream, in bytes. Default
	// 8 MiB.
	MaxResponseBytes int64
	// MaxEventBytes bounds one event of a stream, in bytes. Default 64 KiB.
	MaxEventBytes int
}

func (o Options) withDefaults() Options {
	o.ConnectTimeout = orDefault(o.ConnectTimeout, time.Second)
	o.WriteTimeout = orDefault(o.WriteTimeout, 2*time.Second)
	o.ProgressTimeout = orDefault(o.ProgressTimeout, 2*time.Second)
	o.PlainProgressTimeout = orDefault(o.PlainProgressTimeout, 30*time.Second)
	o.ConnsPerHost = orDefault(o.ConnsPerHost, 64)
	o.MaxResponseBytes = orDefault(o.MaxResponseBytes, 8<<20)
	o.MaxEventBytes = orDefault(o.MaxEventBytes, 64<<10)
	return o
}

func orDefault[T int | int64 | time.Duration](value, fallback T) T {
	if value > 0 {
		return value
	}
	return fallback
}

// Client calls Upstreams. It is safe for concurrent use.
type Client struct {
	opts    Options
	buffers *Buffers

	mu    sync.Mutex
	hosts map[string]*hostTransports
}

// hostTransports are the transports of one host.
type hostTransports struct {
	// single uses each connection for one request: nothing in a response names its request, so on a
	// used connection a second copy of an earlier response would be taken for it.
	single *http.Transport
	// kept reuses connections. It is for the reads of the engine protocol only, whose responses lag
	// behind anyway.
	kept *http.Transport
}

// New returns a client.
func New(opts Options) *Client {
	return &Client{opts: opts.withDefaults(), buffers: NewBuffers(), hosts: make(map[string]*hostTransports)}
}

// transports returns the transports of a host. Each host has its own, so that the idle
// connections to an unresponsive Upstream can be closed without those to others.
func (c *Client) transports(scheme, host string) *hostTransports {
	c.mu.Lock()
	defer c.mu.Unlock()
	if t, ok := c.hosts[host]; ok {
		return t
	}
	t := &hostTransports{single: c.newTransport(), kept: c.newTransport()}
	t.single.DisableKeepAlives = true
	if scheme == "http" { // with TLS, the bytes of a connection are no heads
		t.single.DialContext = c.dialSingle
	}
	c.hosts[host] = t
	return t
}

func (c *Client) newTransport() *http.Transport {
	return &http.Transport{
		DialContext:            c.dial,
		MaxConnsPerHost:        c.opts.ConnsPerHost,
		MaxIdleConnsPerHost:    c.opts.ConnsPerHost,
		IdleConnTimeout:        time.Minute,
		TLSHandshakeTimeout:    c.opts.ConnectTimeout,
		DisableCompression:     true,
		MaxResponseHeaderBytes: 64 << 10,
	}
}

func (c *Client) dial(ctx context.Context, network, addr string) (net.Conn, error) {
	dialer := net.Dialer{Timeout: c.opts.ConnectTimeout}
	conn, err := dialer.DialContext(ctx, network, addr)
	if err != nil {
		return nil, err
	}
	return &trackedConn{Conn: conn, writeTimeout: c.opts.WriteTimeout}, nil
}

// dialSingle dials a connection for one request.
func (c *Client) dialSingle(ctx context.Context, network, addr string) (net.Conn, error) {
	conn, err := c.dial(ctx, network, addr)
	if err != nil {
		return nil, err
	}
	tracked := conn.(*trackedConn)
	tracked.Conn = &httphead.Conn{Conn: tracked.Conn}
	return tracked, nil
}

// RemoveUpstream removes the transports of an Upstream that has left and closes its
// idle connections. Requests in progress continue.
func (c *Client) RemoveUpstream(baseURL string) {
	u, err := url.Parse(baseURL)
	if err != nil {
		return
	}
	c.mu.Lock()
	t, ok := c.hosts[u.Host]
	delete(c.hosts, u.Host)
	c.mu.Unlock()
	if ok {
		t.kept.CloseIdleConnections()
	}
}

// Close closes all idle connections.
func (c *Client) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, t := range c.hosts {
		t.kept.CloseIdleConnections()
	}
}

// call is one request in progress.
type call struct {
	client          *Client
	url             string
	ctx             context.Context
	cancel          context.CancelCauseFunc
	progressTimeout time.Duration
	watchdog        *time.Timer
	sends           sendTracker
	// connected is set once the request has a connection.
	connected atomic.Bool
	// writeResult holds the result of writing the request.
	writeResult chan error
	transports  *hostTransports
	response    *http.Response
}

// singleUseBody hides the type of a body from net/http. If net/http can rewind the
// body, it retries a request with an Idempotency-Key header on its own, even after
// bytes were sent.
type singleUseBody struct {
	reader    io.Reader
	progress  func()
	permitted func() bool
}

// Read is called right before net/http writes the body. Without it, the Upstream has an
// incomplete request, which it does not execute.
func (b *singleUseBody) Read(p []byte) (int, error) {
	if !b.permitted() {
		return 0, ErrNotPermitted
	}
	b.progress()
	return b.reader.Read(p)
}

// ErrNotPermitted means that the body of a request was not sent because its permission had
// ended.
var ErrNotPermitted = errors.New("the permission to send the request has ended")

type permissionKey struct{}

// WithPermission returns a context whose request is not completed when permitted returns false
// right before its body is written: connecting may take long, and the process may be paused
// meanwhile. It has no effect on a request without a body.
func WithPermission(ctx context.Context, permitted func() bool) context.Context {
	return context.WithValue(ctx, permissionKey{}, permitted)
}

func permissionOf(ctx context.Context) func() bool {
	if permitted, ok := ctx.Value(permissionKey{}).(func() bool); ok {
		return permitted
	}
	return func() bool { return true }
}

func (b *singleUseBody) Close() error { return nil }

// start sends a request and waits for the header of the response. A GET without a body is a read of
// the engine protocol: it may use a kept connection, and net/http itself retries it when that
// connection ends before the response.
func (c *Client) start(ctx context.Context, method string, u *url.URL, header http.Header, body []byte, progressTimeout time.Duration) (*call, error) {
	safeURL := url.URL{Scheme: u.Scheme, Host: u.Host, Path: u.Path}
	cl := &call{client: c, url: safeURL.String(), progressTimeout: progressTimeout, transports: c.transports(u.Scheme, u.Host), writeResult: make(chan error, 1)}
	cl.ctx, cl.cancel = context.WithCancelCause(ctx)
	cl.watchdog = time.AfterFunc(progressTimeout, cl.expire)
	traceCtx := httptrace.WithClientTrace(cl.ctx, &httptrace.ClientTrace{
		GotConn:        cl.gotConn,
		Got1xxResponse: func(int, textproto.MIMEHeader) error { cl.progress(); return nil },
		WroteRequest:   cl.wroteRequest,
	})
	var content io.Reader = &singleUseBody{reader: bytes.NewReader(body), progress: cl.progress, permitted: permissionOf(ctx)}
	if body == nil {
		content = http.NoBody
	}
	request, err := http.NewRequestWithContext(traceCtx, method, u.String(), content)
	if err != nil {
		cl.close()
		return nil, &Error{Kind: Refused, URL: cl.url, Code: CodeMalformed, Err: err}
	}
	request.ContentLength = int64(len(body))
	request.Header = header
	request.Header.Set("User-Agent", "rhubarbsill")
	if c.opts.Credential != "" {
		request.Header.Set("Authorization", "Bearer "+c.opts.Credential)
	}
	transport := cl.transports.single
	if body == nil && method == http.MethodGet {
		transport = cl.transports.kept
	}
	cl.response, err = httphead.Transport(transport).RoundTrip(request)
	if err != nil {
		failure := cl.classifyError(err)
		cl.close()
		return nil, failure
	}
	cl.progress()
	return cl, nil
}

// gotConn records the connection of the request.
func (cl *call) gotConn(info httptrace.GotConnInfo) {
	cl.sends.gotConn(info)
	cl.connected.Store(true)
	cl.progress()
}

// wroteRequest records the result of writing the request. net/http calls it again when it
// repeats a request on another connection; the first result does not matter then.
func (cl *call) wroteRequest(info httptrace.WroteRequestInfo) {
	select {
	case <-cl.writeResult:
	default:
	}
	cl.writeResult <- info.Err
}

// writeResultTimeout bounds the wait for the result of a write that has ended or is about to: net/http
// closes a connection at the end of a body without a length.
const writeResultTimeout = 100 * time.Millisecond

// awaitRequestWritten reports whether the request was written completely. It waits for at most
// writeResultTimeout until that is known.
func (cl *call) awaitRequestWritten() bool {
	timer := time.NewTimer(writeResultTimeout)
	defer timer.Stop()
	select {
	case err := <-cl.writeResult:
		return err == nil
	case <-timer.C:
		return false
	}
}

// expire ends a call without progress. A call that is still waiting for a connection
// is not a sign of an unresponsive Upstream: all connections may be in use.
func (cl *call) expire() {
	if cl.connected.Load() {
		cl.cancel(errStalled)
		return
	}
	cl.cancel(errNoConnection)
}

// progress resets the progress timeout.
func (cl *call) progress() {
	if cl.watchdog.Stop() {
		cl.watchdog.Reset(cl.progressTimeout)
	}
}

// Read reads from the body of the response. A read of at least one byte counts
// as progress.
func (cl *call) Read(p []byte) (int, error) {
	n, err := cl.response.Body.Read(p)
	if n > 0 {
		cl.progress()
	}
	return n, err
}

// close releases the connection, and closes it unless the body was read to its end.
func (cl *call) close() {
	cl.watchdog.Stop()
	cl.cancel(context.Canceled)
	if cl.response != nil {
		cl.response.Body.Close()
	}
}

// classifyError converts an error of net/http to an *Error.
func (cl *call) classifyError(err error) *Error {
	failure := &Error{Kind: Crashed, URL: cl.url, Err: err, Sent: true}
	if cl.response == nil {
		failure.Sent = cl.sends.sent()
	}
	var netErr net.Error
	switch {
	case errors.Is(context.Cause(cl.ctx), errStalled):
		failure.Kind, failure.Err = Stalled, errStalled
	case errors.Is(context.Cause(cl.ctx), errNoConnection):
		failure.Kind, failure.Err = ConnectFailed, errNoConnection
	case cl.ctx.Err() != nil:
		failure.Kind, failure.Err = Canceled, context.Cause(cl.ctx)
	case !failure.Sent:
		failure.Kind = ConnectFailed
	case errors.As(err, &netErr) && netErr.Timeout():
		failure.Kind = Stalled
	}
	if failure.Kind == Stalled {
		// The other idle connections to an unresponsive Upstream are likely to be
		// unresponsive too.
		cl.transports.kept.CloseIdleConnections()
	}
	return failure
}

// readAll reads the complete body, up to the size limit.
func (cl *call) readAll() ([]byte, error) {
	body, err := cl.client.buffers.ReadAll(cl.ctx, cl, int(cl.client.opts.MaxResponseBytes))
	switch {
	case errors.Is(err, ErrTooLarge):
		return nil, &Error{Kind: ProtocolError, Sent: true, URL: cl.url, HTTPStatus: cl.response.StatusCode, Err: err}
	case err != nil:
		return nil, cl.classifyError(err)
	}
	untilClose := cl.response.ContentLength < 0 && len(cl.response.TransferEncoding) == 0
	if untilClose && !cl.awaitRequestWritten() {
		return nil, cl.classifyError(io.ErrUnexpectedEOF) // see Response.Read
	}
	return body, nil
}

// statusError returns the error for a response whose status isn't 200. It reads the
// error body.
func (cl *call) statusError() error {
	status := cl.response.StatusCode
	body, err := cl.readAll()
	if err != nil {
		return err
	}
	var text ErrorBody
	failure := &Error{Kind: ProtocolError, Sent: true, URL: cl.url, HTTPStatus: status}
	if json.Unmarshal(body, &text) == nil {
		failure.Code = text.Error.Code
	}
	failure.Err = fmt.Errorf("HTTP status %d %s", status, text.Error.Message)
	switch {
	case failure.Code == CodeFull:
		failure.Kind = Full
	case failure.Code == CodeKVGone:
		failure.Kind = KVGone
	case failure.Code == CodeCanceled, failure.Code == CodeSuperseded:
		failure.Kind = Canceled
	case failure.Code != "" && status < 500, status == http.StatusTooManyRequests, status == http.StatusServiceUnavailable:
		failure.Kind = Refused
	}
	return failure
}

// exchangeJSON sends a JSON request to an engine and decodes the JSON response.
func (c *Client) exchangeJSON(ctx context.Context, method, baseURL, path string, query url.Values, request, reply any) error {
	cl, err := c.startEngine(ctx, method, baseURL, path, query, request)
	if err != nil {
		return err
	}
	defer cl.close()
	if cl.response.StatusCode != http.StatusOK {
		return cl.statusError()
	}
	body, err := cl.readAll()
	if err != nil {
		return err
	}
	if err := json.Unmarshal(body, reply); err != nil {
		return &Error{Kind: ProtocolError, Sent: true, URL: cl.url, HTTPStatus: http.StatusOK, Err: err}
	}
	return nil
}

func (c *Client) startEngine(ctx context.Context, method, baseURL, path string, query url.Values, request any) (*call, error) {
	u, err := url.Parse(baseURL)
	if err != nil {
		return nil, &Error{Kind: ConnectFailed, URL: baseURL, Err: err}
	}
	u = u.JoinPath("/", path)
	u.RawQuery = query.Encode()
	var body []byte
	header := make(http.Header)
	if request != nil {
		if body, err = json.Marshal(request); err != nil {
			return nil, &Error{Kind: ConnectFailed, URL: baseURL, Err: err}
		}
		header.Set("Content-Type", "application/json")
	}
	return c.start(ctx, method, u, header, body, c.opts.ProgressTimeout)
}

// Prefill computes the KV cache of a prompt at a prefill engine. The engine sends 102
// responses while it computes, which count as progress.
func (c *Client) Prefill(ctx context.Context, baseURL string, q PrefillRequest) (PrefillResponse, error) {
	var reply PrefillResponse
	err := c.exchangeJSON(ctx, http.MethodPost, baseURL, PathPrefill, nil, q, &reply)
	return reply, err
}

// Decode starts an attempt at a decode engine.
func (c *Client) Decode(ctx context.Context, baseURL string, q DecodeRequest) (TokenStream, error) {
	return c.openStream(ctx, baseURL, PathDecode, q, q.Offset)
}

// Resume reads a running attempt from offset on and disconnects its earlier consumer.
// Generation 0 lets the engine choose the next one.
func (c *Client) Resume(ctx context.Context, baseURL, attempt string, offset int, generation uint64) (TokenStream, error) {
	path := PathAttempts + "/" + url.PathEscape(attempt) + "/resume"
	return c.openStream(ctx, baseURL, path, ResumeRequest{Offset: offset, Generation: generation}, offset)
}

// ResumeAs is Resume for a new owner of the attempt, which the engine lists as
// newAttempt from then on.
func (c *Client) ResumeAs(ctx context.Context, baseURL, attempt, newAttempt string, offset int) (TokenStream, error) {
	path := PathAttempts + "/" + url.PathEscape(attempt) + "/resume"
	return c.openStream(ctx, baseURL, path, ResumeRequest{Offset: offset, NewAttempt: newAttempt}, offset)
}

func (c *Client) openStream(ctx context.Context, baseURL, path string, request any, offset int) (TokenStream, error) {
	cl, err := c.startEngine(ctx, http.MethodPost, baseURL, path, nil, request)
	if err != nil {
		return nil, err
	}
	if cl.response.StatusCode != http.StatusOK {
		defer cl.close()
		return nil, cl.statusError()
	}
	generation, _ := strconv.ParseUint(cl.response.Header.Get(HeaderGeneration), 10, 64)
	return &stream{call: cl, generation: generation, nextIndex: offset, events: newEventReader(cl, c.opts.MaxEventBytes)}, nil
}

// Cancel ends an attempt and frees its memory. It succeeds when the engine
// doesn't know the attempt.
func (c *Client) Cancel(ctx context.Context, baseURL, attempt string) error {
	var reply struct{}
	path := PathAttempts + "/" + url.PathEscape(attempt) + "/cancel"
	err := c.exchangeJSON(ctx, http.MethodPost, baseURL, path, nil, nil, &reply)
	var failure *Error
	if errors.As(err, &failure) && failure.Code == CodeUnknownAttempt {
		return nil
	}
	return err
}

// Attempts returns the identifiers of the attempts that use memory of the engine.
func (c *Client) Attempts(ctx context.Context, baseURL string) ([]string, error) {
	var reply []string
	err := c.exchangeJSON(ctx, http.MethodGet, baseURL, PathAttempts, nil, nil, &reply)
	return reply, err
}

// Load returns the engine's load report, which lags behind its load.
func (c *Client) Load(ctx context.Context, baseURL string) (LoadReport, error) {
	var reply LoadReport
	err := c.exchangeJSON(ctx, http.MethodGet, baseURL, PathLoad, nil, nil, &reply)
	return reply, err
}

// CacheEvents returns the published cache events after a sequence number.
func (c *Client) CacheEvents(ctx context.Context, baseURL string, after uint64) (CacheEvents, error) {
	var reply CacheEvents
	query := url.Values{"after": {strconv.FormatUint(after, 10)}}
	err := c.exchangeJSON(ctx, http.MethodGet, baseURL, PathCacheEvents, query, nil, &reply)
	return reply, err
}

// Order sends an order with its fencing token.
func (c *Client) Order(ctx context.Context, baseURL string, q OrderRequest) error {
	var reply struct{}
	return c.exchangeJSON(ctx, http.MethodPost, baseURL, PathOrders, nil, q, &reply)
}

// Call sends a request to a plain service and reads the complete response. Status 503
// is returned as an error, any other as a response.
func (c *Client) Call(ctx context.Context, baseURL string, q PlainRequest) (PlainResponse, error) {
	base, err := url.Parse(baseURL)
	if err != nil {
		return PlainResponse{}, &Error{Kind: ConnectFailed, URL: baseURL, Err: err}
	}
	u, err := joinPath(base, q.Path)
	if err != nil {
		return PlainResponse{}, &Error{Kind: Refused, URL: baseURL, Code: CodeMalformed, Err: err}
	}
	// A body that isn't nil keeps net/http from retrying the request; see start.
	body := q.Body
	if body == nil {
		body = []byte{}
	}
	cl, err := c.start(ctx, q.Method, u, copyAllowed(q.Header, requestHeaders), body, c.opts.PlainProgressTimeout)
	if err != nil {
		return PlainResponse{}, err
	}
	defer cl.close()
	if cl.response.StatusCode == http.StatusServiceUnavailable {
		return PlainResponse{}, cl.statusError()
	}
	responseBody, err := cl.readAll()
	if err != nil {
		return PlainResponse{}, err
	}
	return PlainResponse{Status: cl.response.StatusCode, Header: copyAllowed(cl.response.Header, responseHeaders), Body: responseBody}, nil
}
