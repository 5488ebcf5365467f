package bed

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	"github.com/rhubarbsill/rhubarbsill/platform/wire"
)

// Client is a client with one kept channel to an instance.
type Client struct {
	Name string

	site *Site
	http *http.Client
	addr string
}

var lastRequest atomic.Int64

// NewClient returns a client of the instance at an address. It opens its channel with its first
// request.
func (s *Site) NewClient(name, addr string) *Client {
	transport := &http.Transport{MaxConnsPerHost: 1, MaxIdleConnsPerHost: 1, DisableCompression: true}
	return &Client{Name: name, site: s, http: &http.Client{Transport: transport}, addr: addr}
}

// Call is one request of a client, that is one attempt with its own id.
type Call struct {
	Method string
	// Path is the target as it stands on the request line.
	Path string
	Key  string
	Body string
	// Tokens is empty for a plain request.
	Tokens   string
	Deadline time.Duration
}

// Answer is what the client has got.
type Answer struct {
	ID     string
	SentAt time.Time
	Took   time.Duration
	Status int
	Header http.Header
	Body   string
	// Err is set when the channel ended without a complete answer.
	Err error
}

// Signed reports whether the answer bears an engine's signature.
func (a Answer) Signed() bool { return a.Header.Get(wire.HeaderSignature) != "" }

// String describes the answer in the record.
func (a Answer) String() string {
	if a.Err != nil {
		return fmt.Sprintf("no complete answer after %s: status %d, %d bytes, %v", a.Took.Round(time.Millisecond), a.Status, len(a.Body), a.Err)
	}
	text := fmt.Sprintf("status %d after %s, signed %t", a.Status, a.Took.Round(time.Millisecond), a.Signed())
	if !a.Signed() {
		text += ", " + strings.TrimSpace(a.Body)
	}
	return text
}

// Do sends a request and reads the answer.
func (c *Client) Do(call Call) Answer {
	a := c.newAnswer(call)
	response, err := c.send(context.Background(), call, a.ID)
	if err != nil {
		a.Err = err
	} else {
		a.Status, a.Header = response.StatusCode, response.Header
		var text []byte
		text, a.Err = io.ReadAll(response.Body)
		a.Body = string(text)
		response.Body.Close()
	}
	a.Took = time.Since(a.SentAt)
	c.site.Record.Line("%s: %s ends: %s", c.Name, a.ID, a)
	return a
}

func (c *Client) newAnswer(call Call) Answer {
	a := Answer{ID: fmt.Sprintf("r%05d", lastRequest.Add(1)), SentAt: time.Now(), Header: http.Header{}}
	c.site.Record.Line("%s: sends %s %s %s to %s", c.Name, a.ID, call.Method, call.Path, c.addr)
	return a
}

// send sends a request once.
func (c *Client) send(ctx context.Context, call Call, id string) (*http.Response, error) {
	var body io.Reader
	if call.Body != "" {
		body = strings.NewReader(call.Body)
	}
	request, err := http.NewRequestWithContext(ctx, call.Method, "http://"+c.addr+call.Path, body)
	if err != nil {
		return nil, err
	}
	request.GetBody = nil // net/http must not send it again
	request.Host = Host
	request.Header.Set(wire.HeaderRequestID, id)
	request.Header.Set(wire.HeaderDeadlineMS, fmt.Sprint(call.Deadline.Milliseconds()))
	if call.Key != "" {
		request.Header.Set(wire.HeaderAuth, "Bearer "+call.Key)
	}
	if call.Tokens != "" {
		request.Header.Set(wire.HeaderModel, Model)
		request.Header.Set(wire.HeaderTokens, call.Tokens)
	}
	return c.http.Do(request)
}
