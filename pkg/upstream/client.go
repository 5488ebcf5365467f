// Package upstream is the client of engines and plain services over HTTP. It
// builds requests from an allow list of headers plus the Instance's own
// credential, puts a deadline on every step of progress, and says truthfully
// whether a failed request can have reached the Upstream.
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
	// while waiting for the answer, and between bytes of it. Default 2 s.
	ProgressTimeout time.Duration
	// PlainProgressTimeout replaces ProgressTimeout for calls to plain services, which send
	// nothing while they work. Default 30 s.
	PlainProgressTimeout time.Duration
	// ConnsPerHost bounds the connections to one Upstream. Default 64.
	ConnsPerHost int
	// MaxReply bounds the body of an answer that isn't a stream. Default 8 MiB.
	MaxReply int64
	// MaxEvent bounds one event of a stream. Default 64 KiB.
	MaxEvent int
}

func (o Options) withDefaults() Options {
	o.ConnectTimeout = orDefault(o.ConnectTimeout, time.Second)
	o.WriteTimeout = orDefault(o.WriteTimeout, 2*time.Second)
	o.ProgressTimeout = orDefault(o.ProgressTimeout, 2*time.Second)
	o.PlainProgressTimeout = orDefault(o.PlainProgressTimeout, 30*time.Second)
	o.ConnsPerHost = orDefault(o.ConnsPerHost, 64)
	o.MaxReply = orDefault(o.MaxReply, 8<<20)
	o.MaxEvent = orDefault(o.MaxEvent, 64<<10)
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
	opts Options

	mu    sync.Mutex
	hosts map[string]*http.Transport
}

// New returns a client.
func New(opts Options) *Client {
	return &Client{opts: opts.withDefaults(), hosts: make(map[string]*http.Transport)}
}

// transport returns the connections to one host. Each host has a transport of
// its own so that a silent Upstream loses its idle connections and no other does.
func (c *Client) transport(host string) *http.Transport {
	c.mu.Lock()
	defer c.mu.Unlock()
	if t, ok := c.hosts[host]; ok {
		return t
	}
	t := &http.Transport{
		DialContext:            c.dial,
		MaxConnsPerHost:        c.opts.ConnsPerHost,
		MaxIdleConnsPerHost:    c.opts.ConnsPerHost,
		IdleConnTimeout:        time.Minute,
		TLSHandshakeTimeout:    c.opts.ConnectTimeout,
		DisableCompression:     true,
		MaxResponseHeaderBytes: 64 << 10,
	}
	c.hosts[host] = t
	return t
}

func (c *Client) dial(ctx context.Context, network, addr string) (net.Conn, error) {
	dialer := net.Dialer{Timeout: c.opts.ConnectTimeout}
	conn, err := dialer.DialContext(ctx, network, addr)
	if err != nil {
		return nil, err
	}
	return &trackedConn{Conn: conn, writeTimeout: c.opts.WriteTimeout}, nil
}

// RemoveUpstream closes the idle connections to an Upstream that has left and drops its
// entry. Running calls continue.
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
		t.CloseIdleConnections()
	}
}

// Close closes all idle connections.
func (c *Client) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, t := range c.hosts {
		t.CloseIdleConnections()
	}
}

// call is one request in progress.
type call struct {
	client   *Client
	url      string
	ctx      context.Context
	cancel   context.CancelCauseFunc
	progressTimeout  time.Duration
	watchdog *time.Timer
	sends    sendTracker
	// connected is set when the request was given a connection.
	connected atomic.Bool
	transport      *http.Transport
	response  *http.Response
}

// singleUseBody hides the type of a body from net/http. A body that net/http can
// rewind lets it repeat a request with an Idempotency-Key header on its own, even
// after bytes were sent.
type singleUseBody struct {
	reader   io.Reader
	progress func()
}

func (b *singleUseBody) Read(p []byte) (int, error) {
	b.progress()
	return b.reader.Read(p)
}

func (b *singleUseBody) Close() error { return nil }

// start sends a request and waits for the header of the answer. When an idle
// connection had ended and nothing was sent, it tries once more on a new one:
// net/http doesn't, because it can't rewind the body.
func (c *Client) start(ctx context.Context, method string, u *url.URL, header http.Header, body []byte, silence time.Duration) (*call, error) {
	k, failure := c.startOnce(ctx, method, u, header, body, silence)
	if failure == nil {
		return k, nil
	}
	if failure.Kind == ConnectFailed && !failure.Sent && k.sends.reused() {
		k.transport.CloseIdleConnections()
		if k, failure = c.startOnce(ctx, method, u, header, body, silence); failure == nil {
			return k, nil
		}
	}
	return nil, failure
}

// startOnce sends a request once. With a nil body, net/http repeats a GET by itself
// when a reused connection ends before the answer; that is wanted for the queries
// of the engine protocol only.
func (c *Client) startOnce(ctx context.Context, method string, u *url.URL, header http.Header, body []byte, silence time.Duration) (*call, *Error) {
	named := url.URL{Scheme: u.Scheme, Host: u.Host, Path: u.Path}
	k := &call{client: c, url: named.String(), progressTimeout: silence, transport: c.transport(u.Host)}
	k.ctx, k.cancel = context.WithCancelCause(ctx)
	k.watchdog = time.AfterFunc(silence, k.expire)
	traced := httptrace.WithClientTrace(k.ctx, &httptrace.ClientTrace{
		GotConn:        k.gotConn,
		Got1xxResponse: func(int, textproto.MIMEHeader) error { k.progress(); return nil },
	})
	var content io.Reader = &singleUseBody{reader: bytes.NewReader(body), progress: k.progress}
	if body == nil {
		content = http.NoBody
	}
	request, err := http.NewRequestWithContext(traced, method, u.String(), content)
	if err != nil {
		k.close()
		return k, &Error{Kind: Refused, URL: k.url, Code: CodeMalformed, Err: err}
	}
	request.ContentLength = int64(len(body))
	request.Header = header
	request.Header.Set("User-Agent", "rhubarbsill")
	if c.opts.Credential != "" {
		request.Header.Set("Authorization", "Bearer "+c.opts.Credential)
	}
	k.response, err = k.transport.RoundTrip(request)
	if err != nil {
		failure := k.classifyError(err)
		k.close()
		return k, failure
	}
	k.progress()
	return k, nil
}

// gotConn notes the connection of the request.
func (k *call) gotConn(info httptrace.GotConnInfo) {
	k.sends.gotConn(info)
	k.connected.Store(true)
	k.progress()
}

// expire ends a call without progress. A call that still waits for a connection
// says nothing about the Upstream: all connections may be in use.
func (k *call) expire() {
	if k.connected.Load() {
		k.cancel(errStalled)
		return
	}
	k.cancel(errNoConnection)
}

// progress postpones the silence deadline.
func (k *call) progress() {
	if k.watchdog.Stop() {
		k.watchdog.Reset(k.progressTimeout)
	}
}

// Read reads from the body of the answer and counts as progress.
func (k *call) Read(p []byte) (int, error) {
	n, err := k.response.Body.Read(p)
	if n > 0 {
		k.progress()
	}
	return n, err
}

// close releases the connection. A body that hasn't been read to its close closes it.
func (k *call) close() {
	k.watchdog.Stop()
	k.cancel(context.Canceled)
	if k.response != nil {
		k.response.Body.Close()
	}
}

// classifyError turns an error of net/http into an *Error.
func (k *call) classifyError(err error) *Error {
	failure := &Error{Kind: Crashed, URL: k.url, Err: err, Sent: true}
	if k.response == nil {
		failure.Sent = k.sends.sent()
	}
	var netErr net.Error
	switch {
	case errors.Is(context.Cause(k.ctx), errStalled):
		failure.Kind, failure.Err = Stalled, errStalled
	case errors.Is(context.Cause(k.ctx), errNoConnection):
		failure.Kind, failure.Err = ConnectFailed, errNoConnection
	case k.ctx.Err() != nil:
		failure.Kind, failure.Err = Canceled, context.Cause(k.ctx)
	case !failure.Sent:
		failure.Kind = ConnectFailed
	case errors.As(err, &netErr) && netErr.Timeout():
		failure.Kind = Stalled
	}
	if failure.Kind == Stalled {
		// The other idle connections to a silent Upstream are likely silent too.
		k.transport.CloseIdleConnections()
	}
	return failure
}

// readAll reads the whole answer, up to the size limit.
func (k *call) readAll() ([]byte, error) {
	limit := k.client.opts.MaxReply
	body, err := io.ReadAll(io.LimitReader(k, limit+1))
	if err != nil {
		return nil, k.classifyError(err)
	}
	if int64(len(body)) > limit {
		return nil, &Error{Kind: ProtocolError, Sent: true, URL: k.url, HTTPStatus: k.response.StatusCode, Err: fmt.Errorf("answer is larger than %d bytes", limit)}
	}
	return body, nil
}

// statusError reads the body of an answer whose status isn't 200.
func (k *call) statusError() error {
	status := k.response.StatusCode
	body, err := k.readAll()
	if err != nil {
		return err
	}
	var text ErrorBody
	failure := &Error{Kind: ProtocolError, Sent: true, URL: k.url, HTTPStatus: status}
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

// exchangeJSON sends a JSON request to an engine and reads the JSON answer.
func (c *Client) exchangeJSON(ctx context.Context, method, baseURL, path string, query url.Values, request, reply any) error {
	k, err := c.startEngine(ctx, method, baseURL, path, query, request)
	if err != nil {
		return err
	}
	defer k.close()
	if k.response.StatusCode != http.StatusOK {
		return k.statusError()
	}
	body, err := k.readAll()
	if err != nil {
		return err
	}
	if err := json.Unmarshal(body, reply); err != nil {
		return &Error{Kind: ProtocolError, Sent: true, URL: k.url, HTTPStatus: http.StatusOK, Err: err}
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

// Prefill computes the KV cache of a prompt at a prefill engine. The engine sends
// 102 responses while it works, which count as progress.
func (c *Client) Prefill(ctx context.Context, baseURL string, q PrefillRequest) (PrefillReply, error) {
	var reply PrefillReply
	err := c.exchangeJSON(ctx, http.MethodPost, baseURL, PathPrefill, nil, q, &reply)
	return reply, err
}

// Decode starts an attempt at a decode engine.
func (c *Client) Decode(ctx context.Context, baseURL string, q DecodeRequest) (TokenStream, error) {
	return c.openStream(ctx, baseURL, PathDecode, q, q.Offset)
}

// Resume continues to read a running attempt from offset on and disconnects its
// earlier reader. Generation 0 asks the engine for the next one.
func (c *Client) Resume(ctx context.Context, baseURL, attempt string, offset int, generation uint64) (TokenStream, error) {
	path := PathAttempts + "/" + url.PathEscape(attempt) + "/resume"
	return c.openStream(ctx, baseURL, path, ResumeRequest{Offset: offset, Generation: generation}, offset)
}

// ResumeAs is Resume by a new owner: the engine lists the attempt under newAttempt
// from then on.
func (c *Client) ResumeAs(ctx context.Context, baseURL, attempt, newAttempt string, offset int) (TokenStream, error) {
	path := PathAttempts + "/" + url.PathEscape(attempt) + "/resume"
	return c.openStream(ctx, baseURL, path, ResumeRequest{Offset: offset, NewAttempt: newAttempt}, offset)
}

func (c *Client) openStream(ctx context.Context, baseURL, path string, request any, offset int) (TokenStream, error) {
	k, err := c.startEngine(ctx, http.MethodPost, baseURL, path, nil, request)
	if err != nil {
		return nil, err
	}
	if k.response.StatusCode != http.StatusOK {
		defer k.close()
		return nil, k.statusError()
	}
	generation, _ := strconv.ParseUint(k.response.Header.Get(HeaderGeneration), 10, 64)
	return &stream{call: k, generation: generation, nextIndex: offset, events: newEventReader(k, c.opts.MaxEvent)}, nil
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

// Attempts returns the identifiers of the attempts that hold memory now.
func (c *Client) Attempts(ctx context.Context, baseURL string) ([]string, error) {
	var reply []string
	err := c.exchangeJSON(ctx, http.MethodGet, baseURL, PathAttempts, nil, nil, &reply)
	return reply, err
}

// Load returns the engine's lagging report of its load.
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

// Order sends an order with its fencing number.
func (c *Client) Order(ctx context.Context, baseURL string, q OrderRequest) error {
	var reply struct{}
	return c.exchangeJSON(ctx, http.MethodPost, baseURL, PathOrders, nil, q, &reply)
}

// Call sends a request to a plain service and reads the whole answer. Every
// status but 503 is an answer.
func (c *Client) Call(ctx context.Context, baseURL string, q PlainRequest) (PlainReply, error) {
	base, err := url.Parse(baseURL)
	if err != nil {
		return PlainReply{}, &Error{Kind: ConnectFailed, URL: baseURL, Err: err}
	}
	u, err := joinPath(base, q.Path)
	if err != nil {
		return PlainReply{}, &Error{Kind: Refused, URL: baseURL, Code: CodeMalformed, Err: err}
	}
	// A body that isn't nil keeps net/http from repeating the call, see startOnce.
	body := q.Body
	if body == nil {
		body = []byte{}
	}
	k, err := c.start(ctx, q.Method, u, copyAllowed(q.Header, requestHeaders), body, c.opts.PlainProgressTimeout)
	if err != nil {
		return PlainReply{}, err
	}
	defer k.close()
	if k.response.StatusCode == http.StatusServiceUnavailable {
		return PlainReply{}, k.statusError()
	}
	answer, err := k.readAll()
	if err != nil {
		return PlainReply{}, err
	}
	return PlainReply{Status: k.response.StatusCode, Header: copyAllowed(k.response.Header, responseHeaders), Body: answer}, nil
}
