package harness3

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	"github.com/rhubarbsill/rhubarbsill/platform/wire"
)

// Names in the configuration of the sites here.
const (
	Host          = "site.example"
	Key           = "key-of-the-tenant"
	StreamPath    = "/draft/"   // a stream that may run only once
	ResumePath    = "/redraft/" // a stream that may be resumed
	UnsafePath    = "/order/"
	SafePath      = "/view/"
	ModelService  = "models"
	PlainService  = "orders"
	streamTimeout = 14_000
	plainTimeout  = 4_000
)

// Config returns the configuration of a small site with one tenant without a limit.
func Config(version uint64) wire.Config {
	route := func(name, prefix, kind, service string, resumable bool, attempts int, timeout float64) wire.Route {
		return wire.Route{
			Name: name, Host: Host, Prefix: prefix, Kind: kind, TimeoutMS: timeout, TargetMS: 900, EventIntervalTargetMS: 300,
			Service: service, MaxAttempts: attempts, Resumable: resumable, Priority: 1,
		}
	}
	return wire.Config{
		Version: version,
		Routes: []wire.Route{
			route("draft", StreamPath, wire.RouteStreaming, ModelService, false, 1, streamTimeout),
			route("redraft", ResumePath, wire.RouteStreaming, ModelService, true, 2, streamTimeout),
			route("order", UnsafePath, wire.RouteUnsafe, PlainService, false, 1, plainTimeout),
			route("view", SafePath, wire.RouteSafe, PlainService, false, 2, plainTimeout),
		},
		Services: []wire.Service{
			{Name: ModelService, HealthPath: "/healthz", MaxConnections: 370, Engine: &wire.Engine{Slots: 64, KVTokens: 76_562, TokensPerEvent: 50, HandleTTLSeconds: 0.5, MaxHoldMS: 2000}},
			{Name: PlainService, HealthPath: "/healthz", MaxConnections: 110},
		},
		Limits:  wire.Limits{HeaderBytes: 16 << 10, BodyBytes: 4 << 20, HeaderTimeoutMS: 3000, IdleTimeoutMS: 15_000},
		Tenants: []wire.Tenant{{Name: "tenant", Keys: []string{Key}, DefaultCostTokens: 200, Unit: wire.UnitTokens}},
	}
}

// Client sends requests and records what comes back.
type Client struct {
	record *Record
	http   *http.Client
	last   atomic.Int64
	name   string
}

// NewClient returns a client that keeps its channels.
func NewClient(record *Record, name string) *Client {
	return &Client{record: record, name: name, http: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64, IdleConnTimeout: 10 * time.Second, DisableCompression: true}}}
}

// Answer is what a client has got.
type Answer struct {
	ID     string
	Status int
	Header http.Header
	Body   string
	Err    error
}

// Request is a request to send.
type Request struct {
	Method, Path string
	Body         []byte
	Deadline     time.Duration
	// Prompt and Output are the token counts of a model request, and Prefix its parts.
	Prompt, Output int
	Prefix         string
}

// NextID returns the id of the next request.
func (c *Client) NextID() string { return fmt.Sprintf("%s-%d", c.name, c.last.Add(1)) }

// Do sends a request to an instance and waits for the whole answer.
func (c *Client) Do(i *Instance, q Request) Answer {
	id := c.NextID()
	r, err := http.NewRequest(q.Method, "http://"+i.Front+q.Path, bytes.NewReader(q.Body))
	if err != nil {
		return Answer{ID: id, Err: err}
	}
	r.Host = Host
	r.Header.Set(wire.HeaderRequestID, id)
	r.Header.Set(wire.HeaderAuth, "Bearer "+Key)
	r.Header.Set(wire.HeaderDeadlineMS, fmt.Sprint(q.Deadline.Milliseconds()))
	if q.Prompt > 0 {
		r.Header.Set(wire.HeaderModel, "m")
		r.Header.Set(wire.HeaderTokens, fmt.Sprintf("%d,%d", q.Prompt, q.Output))
		r.Header.Set(wire.HeaderPrefix, q.Prefix)
	}
	c.record.Add("client: sends %s %s %s to %s", id, q.Method, q.Path, i.Name)
	client := *c.http
	client.Timeout = q.Deadline
	answer := Answer{ID: id}
	response, err := client.Do(r)
	if err != nil {
		answer.Err = err
		c.record.Add("client: %s ends without an answer: %v", id, err)
		return answer
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	answer.Status, answer.Header, answer.Body, answer.Err = response.StatusCode, response.Header, string(body), err
	text := ""
	if answer.Status != http.StatusOK {
		text = " " + strings.TrimSpace(answer.Body)
	}
	c.record.Add("client: %s gets %d, %d bytes, cut: %t, from the engine: %t%s", id, answer.Status, len(body), err != nil, answer.Signed(), text)
	return answer
}

// Signed reports whether an answer has the signature of an engine.
func (a Answer) Signed() bool { return a.Header.Get(wire.HeaderSignature) != "" }

// IsWhole reports whether a stream consists of the events 1 to n.
func (a Answer) IsWhole(n int) bool {
	return a.Err == nil && a.Status == http.StatusOK && strings.Count(a.Body, "\n\n") == n && strings.Contains(a.Body, fmt.Sprintf("id: %d\n", n))
}
