package upstream

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"github.com/rhubarbsill/rhubarbsill/pkg/ackwatch"
)

// PoolOptions are the settings of a Pool. Zero values select the defaults.
type PoolOptions struct {
	// ConnectTimeout bounds the dial. Default 250 ms: four round trips between
	// regions. A lost SYN is retransmitted only after a second.
	ConnectTimeout time.Duration
	// IdleTimeout is the longest time for which an idle connection is kept. Default
	// 1 s, since Upstreams may drop idle connections without notice.
	IdleTimeout time.Duration
	// TCPUserTimeout is the time after which a connection with unacknowledged data
	// is closed. Default 3 s.
	TCPUserTimeout time.Duration
	// MaxIdle bounds the idle connections to one address. Default 8.
	MaxIdle int
}

func (o PoolOptions) withDefaults() PoolOptions {
	o.ConnectTimeout = orDefault(o.ConnectTimeout, 250*time.Millisecond)
	o.IdleTimeout = orDefault(o.IdleTimeout, time.Second)
	o.TCPUserTimeout = orDefault(o.TCPUserTimeout, 3*time.Second)
	if o.MaxIdle <= 0 {
		o.MaxIdle = 8
	}
	return o
}

// Pool sends requests unchanged, byte for byte, and reports whether a failed request
// can have reached the Upstream. net/http can do neither: it rewrites requests,
// retries some on its own, and accepts whatever arrives first on a connection as the
// response. A Pool is safe for concurrent use.
type Pool struct {
	opts PoolOptions

	mu   sync.Mutex
	idle map[string][]*exchangeConn
}

// NewPool returns a Pool without connections.
func NewPool(opts PoolOptions) *Pool {
	return &Pool{opts: opts.withDefaults(), idle: map[string][]*exchangeConn{}}
}

// Request is a request of a Pool.
type Request struct {
	Method string
	// Target is the request target as written on the request line.
	Target string
	Host   string
	Header http.Header
	Body   []byte
	// Match reports whether a response belongs to this request. One that does not is
	// read and discarded. nil accepts every response.
	Match func(http.Header) bool
	// SafeToRetry is set when the request is safe to retry. It may then use an idle
	// connection, and is retried on a new one when that ends before the response.
	// Other requests use new connections only.
	SafeToRetry bool
	// HeaderTimeout bounds the time to the header of the response, 0 for none.
	HeaderTimeout time.Duration
	// BeforeWrite is called when the connection is established, which may take long.
	// It may change Header, and returns false when the request must no longer be
	// sent. nil changes nothing.
	BeforeWrite func(http.Header) bool
}

// Response is the response to a Request. It must be closed, which ReadAll does.
type Response struct {
	Status int
	Header http.Header
	// Reused is set when the connection has carried earlier requests.
	Reused bool
	// UntilClose is set when the body has neither a length nor chunks and ends with the
	// connection.
	UntilClose      bool
	conn            *exchangeConn
	body            io.ReadCloser
	complete        bool
	stopCancelWatch func() bool
}

// exchangeConn is one connection of a Pool.
type exchangeConn struct {
	net.Conn
	pool        *Pool
	addr        string
	limit       headLimit
	reader      *bufio.Reader
	writeResult chan error // result of the current write
	// userTimeout is the TCP user timeout that is set, 0 for none.
	userTimeout time.Duration
	reusable,
	reused bool
	idleDeadline time.Time // when it must no longer be used as an idle connection
}

// maxMismatchedResponses bounds the responses that are read from one connection to
// find the one that belongs to the request.
const maxMismatchedResponses = 3

// Do sends a request and reads the header of its response. Its error is an *Error.
func (p *Pool) Do(ctx context.Context, addr string, q Request) (*Response, error) {
	if q.SafeToRetry {
		if conn := p.takeIdle(addr); conn != nil {
			response, err := p.exchange(ctx, conn, q)
			if err == nil || ctx.Err() != nil || err.Kind == Stalled {
				return response, errorOrNil(err)
			}
		}
	}
	conn, err := p.dial(ctx, addr)
	if err != nil {
		return nil, err
	}
	response, failure := p.exchange(ctx, conn, q)
	return response, errorOrNil(failure)
}

func errorOrNil(err *Error) error {
	if err == nil {
		return nil
	}
	return err
}

func (p *Pool) dial(ctx context.Context, addr string) (*exchangeConn, error) {
	dialer := net.Dialer{Timeout: p.opts.ConnectTimeout, KeepAlive: -1, Control: LimitSocketBuffers}
	conn, err := dialer.DialContext(ctx, "tcp", addr)
	if err != nil {
		if ctx.Err() != nil {
			return nil, &Error{Kind: Canceled, URL: addr, Err: ctx.Err()}
		}
		return nil, &Error{Kind: ConnectFailed, URL: addr, Err: err}
	}
	c := &exchangeConn{Conn: conn, pool: p, addr: addr, limit: headLimit{conn: conn}}
	c.reader = bufio.NewReader(&c.limit)
	return c, nil
}

// maxHeadBytes bounds the header of a response, with the 1xx responses before it.
const maxHeadBytes = 32 << 10

var errHeadTooLarge = errors.New("the header of the response is too large")

// headLimit reads from a connection and fails when a header has more than maxHeadBytes.
type headLimit struct {
	conn      net.Conn
	inHead    bool
	remaining int
}

// Read implements io.Reader.
func (l *headLimit) Read(p []byte) (int, error) {
	if !l.inHead {
		return l.conn.Read(p)
	}
	if l.remaining <= 0 {
		return 0, errHeadTooLarge
	}
	n, err := l.conn.Read(p[:min(len(p), l.remaining)])
	l.remaining -= n
	return n, err
}

// socketBufferBytes is the size of the receive and the send buffer of a connection; the kernel sets
// aside twice as much. Received bytes that are not read count as memory of the process, and without a
// limit the kernel lets a buffer grow to 6 MB. Between regions (60 ms) it allows 1 MB/s. With 32 KiB, less
// than a segment of the loopback interface, a body of 4 MiB took 1.5 s there.
const socketBufferBytes = 64 << 10

// LimitSocketBuffers limits the buffers of a socket before it connects or listens.
func LimitSocketBuffers(_, _ string, raw syscall.RawConn) error {
	return raw.Control(func(fd uintptr) {
		// Without the limit, the connection works all the same.
		_ = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, socketBufferBytes)
		_ = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_SNDBUF, socketBufferBytes)
	})
}

// setTCPUserTimeout makes the kernel close a TCP connection whose data stays
// unacknowledged for longer than the limit, 0 for none. Writes alone don't detect an
// unresponsive peer, since the kernel buffers them. It does nothing for other connections.
func (c *exchangeConn) setTCPUserTimeout(limit time.Duration) {
	tcp, ok := c.Conn.(*net.TCPConn)
	if !ok || limit == c.userTimeout {
		return
	}
	c.userTimeout = limit
	if raw, err := tcp.SyscallConn(); err == nil {
		_ = raw.Control(func(fd uintptr) {
			_ = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(limit.Milliseconds()))
		})
	}
}

// takeIdle removes and returns an idle connection that still looks open, nil when there
// is none.
func (p *Pool) takeIdle(addr string) *exchangeConn {
	for {
		p.mu.Lock()
		list := p.idle[addr]
		if len(list) == 0 {
			p.mu.Unlock()
			return nil
		}
		conn := list[len(list)-1]
		p.idle[addr] = list[:len(list)-1]
		p.mu.Unlock()
		if time.Now().Before(conn.idleDeadline) && conn.isIdleAndOpen() {
			conn.reused = true
			return conn
		}
		conn.Close()
	}
}

// isIdleAndOpen reports whether the connection is open and nothing was received on it:
// a late response to an earlier request would be taken for the next one.
func (c *exchangeConn) isIdleAndOpen() bool {
	if c.reader.Buffered() > 0 {
		return false
	}
	tcp, ok := c.Conn.(*net.TCPConn)
	if !ok {
		return true
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return false
	}
	idle := false
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		_, _, failure := unix.Recvfrom(int(fd), b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		idle = errors.Is(failure, unix.EAGAIN)
		return true
	})
	return err == nil && idle
}

// CloseExpired closes the idle connections that have expired.
func (p *Pool) CloseExpired() {
	now := time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	for addr, list := range p.idle {
		remaining := list[:0]
		for _, conn := range list {
			if now.Before(conn.idleDeadline) {
				remaining = append(remaining, conn)
				continue
			}
			conn.Close()
		}
		if len(remaining) == 0 {
			delete(p.idle, addr)
			continue
		}
		p.idle[addr] = remaining
	}
}

func (p *Pool) exchange(ctx context.Context, conn *exchangeConn, q Request) (*Response, *Error) {
	stop := context.AfterFunc(ctx, func() { conn.Close() })
	fail := func(kind Kind, err error) (*Response, *Error) {
		stop()
		conn.Close()
		if ctx.Err() != nil {
			kind, err = Canceled, context.Cause(ctx)
		}
		return nil, &Error{Kind: kind, URL: conn.addr, Sent: true, Err: err}
	}
	if q.HeaderTimeout > 0 {
		_ = conn.SetReadDeadline(time.Now().Add(q.HeaderTimeout))
	}
	if q.BeforeWrite != nil && !q.BeforeWrite(q.Header) {
		stop()
		conn.Close()
		return nil, &Error{Kind: Expired, URL: conn.addr, Err: errDeadlinePassed}
	}
	headerRead := make(chan struct{})
	defer close(headerRead)
	conn.write(q, headerRead)
	for range maxMismatchedResponses {
		response, err := conn.readHeader(q)
		if err != nil {
			if timeout := net.Error(nil); errors.As(err, &timeout) && timeout.Timeout() {
				return fail(Stalled, err)
			}
			return fail(Crashed, err)
		}
		if q.Match != nil && !q.Match(response.Header) {
			if _, err := io.Copy(io.Discard, io.LimitReader(response.Body, maxMismatchedBodyBytes)); err != nil || response.Close {
				return fail(Crashed, errMismatchedResponse)
			}
			continue
		}
		_ = conn.SetReadDeadline(time.Time{})
		untilClose := response.ContentLength < 0 && len(response.TransferEncoding) == 0
		conn.reusable = !response.Close && response.ProtoAtLeast(1, 1) && !untilClose
		conn.idleDeadline = time.Now().Add(min(p.opts.IdleTimeout, idleTimeFromHeader(response.Header)))
		return &Response{
			Status: response.StatusCode, Header: response.Header, Reused: conn.reused, UntilClose: untilClose,
			conn: conn, body: response.Body, stopCancelWatch: stop,
		}, nil
	}
	return fail(Crashed, errMismatchedResponse)
}

// maxMismatchedBodyBytes bounds the bytes that are read of a response to another
// request.
const maxMismatchedBodyBytes = 1 << 20

var errDeadlinePassed = errors.New("deadline passed before the connection was established")

var errMismatchedResponse = errors.New("the response belongs to another request")

// idleTimeFromHeader returns half of the idle timeout that the Upstream states, a minute
// when it states none.
func idleTimeFromHeader(header http.Header) time.Duration {
	for part := range strings.SplitSeq(header.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		if seconds, err := strconv.Atoi(value); err == nil && name == "timeout" {
			return time.Duration(seconds) * time.Second / 2
		}
	}
	return time.Minute
}

// write sends the request. A long one is sent on its own goroutine: an Upstream may
// respond before it has read the complete body, and may read it slowly.
func (c *exchangeConn) write(q Request, headerRead <-chan struct{}) {
	var head bytes.Buffer
	fmt.Fprintf(&head, "%s %s HTTP/1.1\r\nHost: %s\r\n", q.Method, q.Target, q.Host)
	_ = q.Header.Write(&head) // a bytes.Buffer does not return errors
	if len(q.Body) > 0 || q.Method != http.MethodGet && q.Method != http.MethodHead && q.Method != http.MethodDelete {
		fmt.Fprintf(&head, "Content-Length: %d\r\n", len(q.Body))
	}
	head.WriteString("\r\n")
	c.writeResult = make(chan error, 1)
	if len(q.Body) <= maxInlineBodyBytes {
		c.setTCPUserTimeout(c.pool.opts.TCPUserTimeout)
		head.Write(q.Body)
		_, err := c.Write(head.Bytes())
		c.writeResult <- err
		return
	}
	c.setTCPUserTimeout(0)
	parts := net.Buffers{head.Bytes(), q.Body} // a long body is not copied
	go c.writeLong(parts, headerRead)
}

// writeLong writes a request to an Upstream that may read it slowly. It closes the connection
// when the Upstream is unresponsive, also while the kernel still sends the rest of the request.
func (c *exchangeConn) writeLong(parts net.Buffers, headerRead <-chan struct{}) {
	watched := ackwatch.New(c.Conn, c.pool.opts.TCPUserTimeout)
	_, err := parts.WriteTo(watched)
	_ = c.SetWriteDeadline(time.Time{}) // of the last write; fails only on a closed connection
	c.writeResult <- err
	timer := time.NewTicker(ackwatch.CheckInterval)
	defer timer.Stop()
	for err == nil {
		select {
		case <-headerRead:
			return
		case <-timer.C:
			err = watched.Check()
		}
	}
	if errors.Is(err, ackwatch.ErrUnresponsive) {
		c.Close()
	}
}

// maxInlineBodyBytes is the longest body that is written before the response is read.
// It fits into the buffers of a connection.
const maxInlineBodyBytes = 8 << 10

// readHeader reads the header of the next final response, skipping 1xx responses.
func (c *exchangeConn) readHeader(q Request) (*http.Response, error) {
	c.limit.inHead, c.limit.remaining = true, maxHeadBytes
	defer func() { c.limit.inHead = false }()
	for {
		if err := c.checkHead(); err != nil {
			return nil, err
		}
		response, err := http.ReadResponse(c.reader, &http.Request{Method: q.Method})
		if err != nil {
			return nil, err
		}
		if response.StatusCode >= http.StatusOK {
			return response, nil
		}
	}
}

// Read reads the body. It returns io.EOF only at the end of a complete body.
func (r *Response) Read(b []byte) (int, error) {
	n, err := r.body.Read(b)
	if err != io.EOF {
		return n, err
	}
	if r.UntilClose && !r.conn.awaitRequestWritten() {
		// The kernel reports a reset once: to the writer, if it still writes, and the reader
		// then reads the end of the connection.
		return n, io.ErrUnexpectedEOF
	}
	r.complete = true
	return n, io.EOF
}

// isRequestWritten reports whether the request was written completely, as far as is known now.
func (c *exchangeConn) isRequestWritten() bool {
	select {
	case err := <-c.writeResult:
		c.writeResult <- err
		return err == nil
	default:
		return false
	}
}

// awaitRequestWritten waits until the write of the request has ended and reports whether all was written. An
// Upstream may read on after the end of its response; a reset or the end of the exchange ends the write.
func (c *exchangeConn) awaitRequestWritten() bool {
	err := <-c.writeResult
	c.writeResult <- err
	return err == nil
}

// SetReadDeadline bounds the following reads of the body.
func (r *Response) SetReadDeadline(t time.Time) { _ = r.conn.SetReadDeadline(t) }

// Close ends the exchange. The connection is kept for reuse if the request was sent
// and the body read completely.
func (r *Response) Close() {
	notCanceled := r.stopCancelWatch()
	if !notCanceled || !r.complete || !r.conn.reusable || !r.conn.isRequestWritten() {
		r.conn.Close()
		return
	}
	_ = r.conn.SetReadDeadline(time.Time{})
	p := r.conn.pool
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.idle[r.conn.addr]) >= p.opts.MaxIdle {
		r.conn.Close()
		return
	}
	p.idle[r.conn.addr] = append(p.idle[r.conn.addr], r.conn)
}

// ReadAll reads the complete body and closes the response. A body of more than limit
// bytes is an error.
func (r *Response) ReadAll(limit int64) ([]byte, error) {
	defer r.Close()
	body, err := io.ReadAll(io.LimitReader(r, limit+1))
	if err != nil {
		return nil, err
	}
	if int64(len(body)) > limit {
		return nil, fmt.Errorf("the response is larger than %d bytes", limit)
	}
	return body, nil
}
