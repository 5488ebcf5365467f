package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	"github.com/rhubarbsill/rhubarbsill/platform/standin"
	"github.com/rhubarbsill/rhubarbsill/platform/wire"
)

var lastRequest atomic.Int64

// newRequest returns a request with an id that no other attempt has.
func newRequest(method, path, body string, timeout time.Duration) *http.Request {
	r, err := http.NewRequest(method, "http://"+standin.Host+path, strings.NewReader(body))
	if err != nil {
		panic(err) // the arguments are constants
	}
	r.Header.Set(wire.HeaderRequestID, fmt.Sprintf("request-%d", lastRequest.Add(1)))
	r.Header.Set(wire.HeaderDeadlineMS, fmt.Sprint(timeout.Milliseconds()))
	r.Header.Set(wire.HeaderAuth, "Bearer "+key)
	return r
}

// channel is a kept connection of a caller.
type channel struct {
	conn   net.Conn
	reader *bufio.Reader
	used   int // answers received
}

func dial(addr string) (*channel, error) {
	conn, err := net.DialTimeout("tcp", addr, time.Second)
	if err != nil {
		return nil, err
	}
	return &channel{conn: conn, reader: bufio.NewReader(conn)}, nil
}

// do sends a request and reads its whole answer. An error means that the channel has ended.
func (c *channel) do(r *http.Request) (status int, body []byte, err error) {
	if err := r.Write(c.conn); err != nil {
		return 0, nil, err
	}
	response, err := http.ReadResponse(c.reader, r)
	if err != nil {
		return 0, nil, err
	}
	body, err = io.ReadAll(response.Body)
	if err == nil {
		c.used++
		if response.Close {
			_ = c.conn.Close()
		}
	}
	return response.StatusCode, body, err
}

// callTimeout is the time limit of the callers of plain requests.
const callTimeout = 8 * time.Second

// tally counts what callers have seen.
type tally struct{ sent, served, refused, cut atomic.Int64 }

// callOver sends plain requests over one kept channel after the other until ctx ends. onCut is called for a
// channel that had answered before and ends without an answer.
func callOver(ctx context.Context, addr string, t *tally, onCut func(id string, err error)) {
	var c *channel
	for ctx.Err() == nil {
		if c == nil {
			var err error
			if c, err = dial(addr); err != nil {
				time.Sleep(100 * time.Millisecond)
				continue
			}
		}
		r := newRequest(http.MethodPost, standin.NonIdempotentPath+"x", "commission", callTimeout)
		t.sent.Add(1)
		kept := c.used > 0
		status, _, err := c.do(r)
		switch {
		case err != nil && kept && ctx.Err() == nil:
			t.cut.Add(1)
			onCut(r.Header.Get(wire.HeaderRequestID), err)
		case err != nil:
		case status == http.StatusOK:
			t.served.Add(1)
		default:
			t.refused.Add(1)
			time.Sleep(50 * time.Millisecond)
		}
		if err != nil {
			_ = c.conn.Close()
			c = nil
		}
	}
}
