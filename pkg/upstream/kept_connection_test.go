package upstream

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"

	"github.com/matryer/is"
)

// Guards against an earlier refusal that an Upstream writes once more on a kept connection, and that
// is taken for the answer to a request which the Upstream runs.
func TestEarlierRefusalIsNotTakenForAnAnswer(t *testing.T) {
	const body = `{"error":{"code":"full"}}`
	refusal := fmt.Sprintf("HTTP/1.1 503 Service Unavailable\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
	const success = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}"
	for name, send := range map[string]func(ctx context.Context, c *Client, url string) error{
		"plain": func(ctx context.Context, c *Client, url string) error {
			_, err := c.Call(ctx, url, PlainRequest{Method: http.MethodPost, Path: "/", Body: []byte("x")})
			return err
		},
		"plain, read": func(ctx context.Context, c *Client, url string) error {
			_, err := c.Call(ctx, url, PlainRequest{Method: http.MethodGet, Path: "/"})
			return err
		},
		"prefill": func(ctx context.Context, c *Client, url string) error {
			_, err := c.Prefill(ctx, url, PrefillRequest{})
			return err
		},
		"decode": func(ctx context.Context, c *Client, url string) error {
			return closeStream(c.Decode(ctx, url, DecodeRequest{}))
		},
		"resume": func(ctx context.Context, c *Client, url string) error {
			return closeStream(c.Resume(ctx, url, "a", 0, 0))
		},
		"cancel": func(ctx context.Context, c *Client, url string) error { return c.Cancel(ctx, url, "a") },
		"order":  func(ctx context.Context, c *Client, url string) error { return c.Order(ctx, url, OrderRequest{}) },
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var refused atomic.Bool
			addr, _ := rawServer(t, func(conn net.Conn, r *bufio.Reader) {
				for earlier := ""; ; {
					if _, err := readRequest(r); err != nil {
						return
					}
					answer := success
					if refused.CompareAndSwap(false, true) {
						answer = refusal
					}
					_, _ = io.WriteString(conn, earlier+answer)
					earlier = answer
				}
			})
			c := New(Options{})
			defer c.Close()
			is.True(send(t.Context(), c, "http://"+addr) != nil)
			is.NoErr(send(t.Context(), c, "http://"+addr))
		})
	}
}

func closeStream(s TokenStream, err error) error {
	if err != nil {
		return err
	}
	return s.Close()
}
