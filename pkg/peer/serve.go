package peer

import (
	"bufio"
	"context"
	"encoding/gob"
	"errors"
	"net"
	"net/rpc"
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/rhubarbsill/rhubarbsill/pkg/core"
)

// Listen starts to accept connections of peers at a TCP address and returns when the
// listener is open. Addr returns its address.
func (t *Transport[M]) Listen(addr string) error {
	if len(t.opts.Secret) < MinSecret {
		return ErrRejected.New("fleet secret has %d bytes, want at least %d", len(t.opts.Secret), MinSecret)
	}
	lc := net.ListenConfig{Control: t.opts.Control}
	listener, err := lc.Listen(context.Background(), "tcp", addr)
	if err != nil {
		return err
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.closed {
		listener.Close()
		return ErrClosed.New("transport is closed")
	}
	t.listeners = append(t.listeners, listener)
	t.goroutines.Go(func() { t.acceptLoop(listener) })
	return nil
}

// Addr returns the address of the first listener, "" without one.
func (t *Transport[M]) Addr() string {
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(t.listeners) == 0 {
		return ""
	}
	return t.listeners[0].Addr().String()
}

func (t *Transport[M]) acceptLoop(listener net.Listener) {
	semaphore := make(chan struct{}, t.opts.MaxConns)
	pending := &handshakes{limit: t.opts.MaxHandshakes}
	for {
		conn, err := listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			// Accept fails temporarily when the process has no file descriptors left.
			time.Sleep(minBackoff)
			continue
		}
		if pending.add(conn) {
			t.logRejected(conn, errTooManyHandshakes)
		}
		select {
		case semaphore <- struct{}{}:
		default:
			pending.remove(conn)
			conn.Close()
			t.logRejected(conn, errTooManyConns)
			continue
		}
		started := t.spawn(func() {
			defer func() { <-semaphore }()
			t.serveConn(conn, pending)
		})
		if !started {
			conn.Close()
			return
		}
	}
}

var (
	errTooManyHandshakes = errors.New("too many handshakes, the oldest one was closed")
	errTooManyConns      = errors.New("too many connections")
)

// handshakes holds the connections that have not proved to be of a peer, the oldest first.
type handshakes struct {
	limit int

	mu    sync.Mutex
	conns []net.Conn
}

// add adds a connection. At the limit it closes the oldest one, since a peer needs one round trip and
// others that stop half-way are older. It reports whether it did.
func (h *handshakes) add(conn net.Conn) (closed bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if len(h.conns) >= h.limit {
		h.conns[0].Close()
		h.conns = slices.Delete(h.conns, 0, 1)
		closed = true
	}
	h.conns = append(h.conns, conn)
	return closed
}

func (h *handshakes) remove(conn net.Conn) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if i := slices.Index(h.conns, conn); i >= 0 {
		h.conns = slices.Delete(h.conns, i, i+1)
	}
}

// rejectedLogInterval is the shortest time between two log lines of rejected connections: anybody who
// reaches the listener may cause them.
const rejectedLogInterval = time.Second

// logRejected counts a rejected connection and logs at most one a second.
func (t *Transport[M]) logRejected(conn net.Conn, err error) {
	count := t.rejected.Add(1)
	now := time.Now().UnixNano()
	last := t.rejectedLoggedAt.Load()
	if now-last < int64(rejectedLogInterval) || !t.rejectedLoggedAt.CompareAndSwap(last, now) {
		return
	}
	t.opts.Log.Warn("connection was rejected", zap.String("address", conn.RemoteAddr().String()), zap.Int64("rejected", count), zap.Error(err))
}

func (t *Transport[M]) serveConn(raw net.Conn, pending *handshakes) {
	defer pending.remove(raw)
	counted := &countingConn{Conn: raw, traffic: &t.traffic, writeTimeout: t.opts.CallTimeout}
	if !t.register(counted) {
		return
	}
	defer t.unregister(counted)
	deadline := time.Now().Add(t.opts.CallTimeout)
	encrypted, h, err := acceptHandshake(counted, t.opts.Secret, t.selfRef().ID, deadline)
	pending.remove(raw)
	if err != nil {
		t.logRejected(raw, err)
		return
	}
	server := rpc.NewServer()
	if err := server.RegisterName("Peer", &service[M]{t: t, from: h.from, class: h.class}); err != nil {
		t.opts.Log.Error("rpc service can't be registered", zap.Error(err))
		return
	}
	server.ServeCodec(newServerCodec(encrypted, t.opts))
}

// service has the methods that net/rpc calls for one connection.
type service[M any] struct {
	t     *Transport[M]
	from  core.InstanceRef
	class connClass
}

// Deliver handles a batch.
func (s *service[M]) Deliver(batch Batch[M], _ *Empty) error {
	if s.class != classControl {
		return errors.New("batches need a control connection")
	}
	from := core.InstanceRef{ID: s.from.ID, Incarnation: batch.Incarnation}
	state := s.t.receiveState(from.ID)
	// The lock is held during the delivery, so that no batch of an older incarnation
	// is delivered after one of a newer incarnation.
	state.mu.Lock()
	defer state.mu.Unlock()
	if from.Incarnation < state.latestIncarnation {
		s.t.stale.Add(int64(len(batch.Messages)))
		return errors.New("batch is from an older incarnation")
	}
	state.latestIncarnation = from.Incarnation
	s.t.deliver(from, batch.Messages)
	return nil
}

func (t *Transport[M]) receiveState(id core.InstanceID) *receiveState {
	t.mu.Lock()
	defer t.mu.Unlock()
	state, ok := t.receiveStates[id]
	if !ok {
		state = &receiveState{}
		t.receiveStates[id] = state
	}
	return state
}

// Ping returns immediately.
func (s *service[M]) Ping(_ Empty, _ *Empty) error { return nil }

// Fetch handles a bulk call.
func (s *service[M]) Fetch(request FetchRequest, reply *FetchReply) error {
	if s.class != classBulk || s.t.opts.FetchHandler == nil {
		return errors.New("no bulk calls on this connection")
	}
	body, err := s.t.opts.FetchHandler(s.from, request.Name, request.Body)
	reply.Body = body
	return err
}

// serverCodec is the gob codec of net/rpc with limits on the size of a request and on
// the concurrent calls, because net/rpc starts a goroutine for each call.
type serverCodec struct {
	conn        *limitedConn
	limit       int64
	idleTimeout time.Duration
	semaphore   chan struct{}
	decoder     *gob.Decoder
	encoder     *gob.Encoder
	writer      *bufio.Writer
}

func newServerCodec(conn net.Conn, opts Options) *serverCodec {
	limited := &limitedConn{Conn: conn}
	writer := bufio.NewWriter(conn)
	return &serverCodec{
		conn: limited, limit: opts.MaxMessage, idleTimeout: 2 * opts.IdleTimeout, semaphore: make(chan struct{}, opts.MaxFetches),
		decoder: gob.NewDecoder(bufio.NewReader(limited)), encoder: gob.NewEncoder(writer), writer: writer,
	}
}

// ReadRequestHeader reads the header of a request. It first waits until fewer than
// MaxFetches calls are running.
func (c *serverCodec) ReadRequestHeader(r *rpc.Request) error {
	c.semaphore <- struct{}{}
	c.conn.resetLimit(c.limit)
	// A peer closes its idle connections earlier than this, so a connection that is
	// idle for longer belongs to a peer that vanished without closing it.
	if err := c.conn.SetReadDeadline(time.Now().Add(c.idleTimeout)); err != nil {
		return err
	}
	return c.decoder.Decode(r)
}

func (c *serverCodec) ReadRequestBody(body any) error { return c.decoder.Decode(body) }

func (c *serverCodec) WriteResponse(r *rpc.Response, body any) error {
	defer func() { <-c.semaphore }()
	err := c.encoder.Encode(r)
	if err == nil {
		err = c.encoder.Encode(body)
	}
	if err == nil {
		err = c.writer.Flush()
	}
	if err != nil {
		c.Close()
	}
	return err
}

func (c *serverCodec) Close() error { return c.conn.Close() }
