package platform

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/rhubarbsill/rhubarbsill/pkg/httphead"
)

// maxReplyBytes bounds a reply. A list of 50,000 objects is smaller.
const maxReplyBytes = 8 << 20

// Options are the settings of the HTTP client. Zero values select the defaults.
type Options struct {
	// CallTimeout bounds each call except Watch. Default 2 s.
	CallTimeout time.Duration
	// WatchWait is how long the platform keeps a watch open. A watch without a reply
	// is cancelled CallTimeout later. Default DefaultWatchWait.
	WatchWait time.Duration
	// MaxPending bounds the pending calls and, separately, the pending watches. A
	// call above the limit fails immediately with ErrUnavailable. Default 64.
	MaxPending int
	// Transport is the HTTP transport. Default: a new http.Transport.
	Transport http.RoundTripper
}

func (o Options) withDefaults() Options {
	if o.CallTimeout <= 0 {
		o.CallTimeout = 2 * time.Second
	}
	if o.WatchWait <= 0 {
		o.WatchWait = DefaultWatchWait
	}
	if o.MaxPending <= 0 {
		o.MaxPending = 64
	}
	if o.Transport == nil {
		o.Transport = &http.Transport{
			MaxIdleConnsPerHost: o.MaxPending,
			IdleConnTimeout:     time.Minute,
		}
	}
	return o
}

type httpClient struct {
	baseURL        *url.URL
	baseURLErr     error
	opts           Options
	http           http.Client
	callSemaphore  chan struct{}
	watchSemaphore chan struct{}
}

// NewHTTP returns a client of the platform at baseURL.
func NewHTTP(baseURL string, opts Options) Client { return newHTTP(baseURL, opts) }

// NewRegistrar returns a client that changes the list of Instances.
func NewRegistrar(baseURL string, opts Options) Registrar { return newHTTP(baseURL, opts) }

func newHTTP(baseURL string, opts Options) *httpClient {
	opts = opts.withDefaults()
	base, err := url.Parse(strings.TrimSuffix(baseURL, "/"))
	return &httpClient{
		baseURL:    base,
		baseURLErr: err,
		opts:       opts,
		http: http.Client{
			Transport:     httphead.Transport(opts.Transport),
			CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
		},
		callSemaphore:  make(chan struct{}, opts.MaxPending),
		watchSemaphore: make(chan struct{}, opts.MaxPending),
	}
}

// call describes one HTTP request.
type call struct {
	method    string
	path      string
	query     url.Values
	header    http.Header
	body      []byte
	timeout   time.Duration
	semaphore chan struct{}
}

// reply is a complete HTTP response.
type reply struct {
	status  int
	version uint64
	body    []byte
}

func (c *httpClient) Get(ctx context.Context, name string) (Object, error) {
	if err := CheckName(name); err != nil {
		return Object{}, err
	}
	r, err := c.do(ctx, call{method: http.MethodGet, path: "/v1/objects/" + name})
	if err != nil {
		return Object{}, fmt.Errorf("get object %q: %w", name, err)
	}
	return Object{Name: name, Version: r.version, Value: r.body}, nil
}

func (c *httpClient) Put(ctx context.Context, name string, value []byte, expected uint64) (uint64, error) {
	if err := CheckName(name); err != nil {
		return 0, err
	}
	if len(value) > MaxValueBytes {
		return 0, fmt.Errorf("put object %q: %d bytes: %w", name, len(value), ErrTooLarge)
	}
	header := http.Header{}
	if expected == 0 {
		header.Set("If-None-Match", "*")
	} else {
		header.Set("If-Match", formatETag(expected))
	}
	r, err := c.do(ctx, call{method: http.MethodPut, path: "/v1/objects/" + name, header: header, body: value})
	if err != nil {
		return 0, fmt.Errorf("put object %q: %w", name, err)
	}
	return r.version, nil
}

func (c *httpClient) Delete(ctx context.Context, name string, expected uint64) error {
	if err := CheckName(name); err != nil {
		return err
	}
	header := http.Header{"If-Match": {formatETag(expected)}}
	_, err := c.do(ctx, call{method: http.MethodDelete, path: "/v1/objects/" + name, header: header})
	if err != nil {
		return fmt.Errorf("delete object %q: %w", name, err)
	}
	return nil
}

func (c *httpClient) List(ctx context.Context, prefix string) ([]ObjectInfo, error) {
	query := url.Values{"prefix": {prefix}}
	var infos []ObjectInfo
	if err := c.getJSON(ctx, "/v1/objects", query, &infos); err != nil {
		return nil, fmt.Errorf("list objects %q: %w", prefix, err)
	}
	return infos, nil
}

func (c *httpClient) Watch(ctx context.Context, name string, after uint64) (Object, error) {
	r, err := c.do(ctx, call{
		method: http.MethodGet,
		path:   "/v1/watch",
		query: url.Values{
			"name":    {name},
			"after":   {strconv.FormatUint(after, 10)},
			"wait_ms": {strconv.FormatInt(c.opts.WatchWait.Milliseconds(), 10)},
		},
		timeout:   c.opts.WatchWait + c.opts.CallTimeout,
		semaphore: c.watchSemaphore,
	})
	if err != nil {
		return Object{}, fmt.Errorf("watch object %q: %w", name, err)
	}
	return Object{Name: name, Version: r.version, Value: r.body}, nil
}

func (c *httpClient) Instances(ctx context.Context) ([]Instance, error) {
	var list []Instance
	if err := c.getJSON(ctx, "/v1/instances", nil, &list); err != nil {
		return nil, fmt.Errorf("list instances: %w", err)
	}
	return list, nil
}

func (c *httpClient) PutInstance(ctx context.Context, instance Instance) error {
	body, err := json.Marshal(instance)
	if err != nil {
		return fmt.Errorf("encode instance %q: %w", instance.ID, err)
	}
	_, err = c.do(ctx, call{method: http.MethodPut, path: "/v1/instances/" + instance.ID, body: body})
	if err != nil {
		return fmt.Errorf("put instance %q: %w", instance.ID, err)
	}
	return nil
}

func (c *httpClient) DeleteInstance(ctx context.Context, id string) error {
	_, err := c.do(ctx, call{method: http.MethodDelete, path: "/v1/instances/" + id})
	if err != nil {
		return fmt.Errorf("delete instance %q: %w", id, err)
	}
	return nil
}

func (c *httpClient) getJSON(ctx context.Context, path string, query url.Values, into any) error {
	r, err := c.do(ctx, call{method: http.MethodGet, path: path, query: query})
	if err != nil {
		return err
	}
	if err := json.Unmarshal(r.body, into); err != nil {
		return fmt.Errorf("%w: malformed reply: %w", ErrUnavailable, err)
	}
	return nil
}

// do makes one call. A failure before a connection was obtained means that the call
// had no effect; a write that fails later may have taken effect.
func (c *httpClient) do(ctx context.Context, q call) (reply, error) {
	if c.baseURLErr != nil {
		return reply{}, fmt.Errorf("%w: %w", ErrInvalid, c.baseURLErr)
	}
	if q.semaphore == nil {
		q.semaphore = c.callSemaphore
	}
	select {
	case q.semaphore <- struct{}{}:
		defer func() { <-q.semaphore }()
	default:
		return reply{}, fmt.Errorf("%w: %d calls are pending", ErrUnavailable, cap(q.semaphore))
	}
	if q.timeout == 0 {
		q.timeout = c.opts.CallTimeout
	}
	ctx, cancel := context.WithTimeout(ctx, q.timeout)
	defer cancel()
	var connected atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { connected.Store(true) },
	})
	r, err := c.roundTrip(ctx, q)
	if err == nil {
		return r, r.statusError(q.method)
	}
	if connected.Load() && q.method != http.MethodGet {
		return reply{}, fmt.Errorf("%w: %w", ErrOutcomeUnknown, err)
	}
	return reply{}, fmt.Errorf("%w: %w", ErrUnavailable, err)
}

func (c *httpClient) roundTrip(ctx context.Context, q call) (reply, error) {
	target := *c.baseURL
	target.Path += q.path
	target.RawQuery = q.query.Encode()
	request, err := http.NewRequestWithContext(ctx, q.method, target.String(), bytes.NewReader(q.body))
	if err != nil {
		return reply{}, err
	}
	for name, values := range q.header {
		request.Header[name] = values
	}
	response, err := c.http.Do(request)
	if err != nil {
		return reply{}, err
	}
	defer response.Body.Close()
	body, err := io.ReadAll(io.LimitReader(response.Body, maxReplyBytes+1))
	if err != nil {
		return reply{}, err
	}
	if len(body) > maxReplyBytes {
		return reply{}, fmt.Errorf("reply is larger than %d bytes", maxReplyBytes)
	}
	version, err := parseETag(response.Header.Get("ETag"))
	if err != nil {
		return reply{}, err
	}
	return reply{status: response.StatusCode, version: version, body: body}, nil
}

// statusError returns the error for the HTTP status, nil for success.
func (r reply) statusError(method string) error {
	switch r.status {
	case http.StatusOK, http.StatusCreated, http.StatusNoContent:
		return nil
	case http.StatusNotModified:
		return ErrNotModified
	case http.StatusNotFound:
		return ErrNotFound
	case http.StatusPreconditionFailed:
		return ConflictError{Current: r.version}
	case http.StatusRequestEntityTooLarge:
		return ErrTooLarge
	case http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return fmt.Errorf("%w: status %d", ErrUnavailable, r.status)
	}
	if r.status < http.StatusInternalServerError {
		return fmt.Errorf("%w: status %d", ErrInvalid, r.status)
	}
	if method == http.MethodGet {
		return fmt.Errorf("%w: status %d", ErrUnavailable, r.status)
	}
	return fmt.Errorf("%w: status %d", ErrOutcomeUnknown, r.status)
}

// formatETag returns the entity tag of a version.
func formatETag(version uint64) string { return `"` + strconv.FormatUint(version, 10) + `"` }

// parseETag returns the version in an entity tag, 0 for an empty tag.
func parseETag(tag string) (uint64, error) {
	if tag == "" {
		return 0, nil
	}
	version, err := strconv.ParseUint(strings.Trim(tag, `"`), 10, 64)
	if err != nil {
		return 0, fmt.Errorf("entity tag %q is not a version", tag)
	}
	return version, nil
}
