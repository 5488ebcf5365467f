// Package peer sends messages between Instances over net/rpc. net/rpc has no
// deadlines, no cancellation and no bound on pending calls. This package adds a
// timeout per call, bounded queues, separate connections for control and bulk
// traffic, pings, reconnects with jitter, and a handshake with the fleet secret.
package peer

import (
	"context"
	"errors"
	"net"
	"net/rpc"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/joomcode/errorx"
	"go.uber.org/zap"

	"github.com/rhubarbsill/rhubarbsill/pkg/core"
)

// Options are the settings of a Transport. Zero values select the defaults.
type Options struct {
	// Secret is the fleet secret, of at least MinSecret bytes.
	Secret []byte
	// BatchDelay is how long the first message of a batch waits for others.
	// Default 2 ms.
	BatchDelay time.Duration
	// CallTimeout bounds each call and each handshake. Default 2 s.
	CallTimeout time.Duration
	// MaxQueuedMessages bounds the messages that are queued for one peer. Default 4096.
	MaxQueuedMessages int
	// MaxQueueTime bounds the time for which a message is queued. Default 10 s.
	MaxQueueTime time.Duration
	// MaxBatch bounds the messages of one call. Default 512.
	MaxBatch int
	// MaxMessage bounds the bytes of one call or reply. Default 4 MiB.
	MaxMessage int64
	// PingInterval is the time without a call after which a connection is pinged.
	// Default 5 s.
	PingInterval time.Duration
	// PingTimeout bounds a ping. Default 1 s.
	PingTimeout time.Duration
	// IdleTimeout is the time without a message after which the connection to a peer
	// is closed. Default 30 s.
	IdleTimeout time.Duration
	// MaxBackoff bounds the time between attempts to connect. Default 2 s.
	MaxBackoff time.Duration
	// MaxFetches bounds the concurrent bulk calls to one address and from one
	// connection. Default 4.
	MaxFetches int
	// MaxConns bounds the accepted connections. Default 2048, which allows for
	// control and bulk connections from 330 Instances.
	MaxConns int
	// MaxHandshakes bounds the connections that have not proved to be of a peer. The oldest one is
	// closed for a new one. Default 64: 330 peers that connect within a second, with 60 ms each, need
	// 20.
	MaxHandshakes int
	// Control is called for the listening socket, nil for nothing.
	Control func(network, address string, raw syscall.RawConn) error
	// FetchHandler handles bulk calls of peers. Each call runs on its own goroutine.
	// nil rejects them.
	FetchHandler func(from core.InstanceRef, name string, request []byte) ([]byte, error)
	// Log receives connection failures. Default: no logging.
	Log *zap.Logger
}

// MinSecret is the shortest fleet secret, in bytes.
const MinSecret = 16

func (o Options) withDefaults() Options {
	o.BatchDelay = orDefault(o.BatchDelay, 2*time.Millisecond)
	o.CallTimeout = orDefault(o.CallTimeout, 2*time.Second)
	o.MaxQueuedMessages = orDefault(o.MaxQueuedMessages, 4096)
	o.MaxQueueTime = orDefault(o.MaxQueueTime, 10*time.Second)
	o.MaxBatch = orDefault(o.MaxBatch, 512)
	o.MaxMessage = orDefault(o.MaxMessage, 4<<20)
	o.PingInterval = orDefault(o.PingInterval, 5*time.Second)
	o.PingTimeout = orDefault(o.PingTimeout, time.Second)
	o.IdleTimeout = orDefault(o.IdleTimeout, 30*time.Second)
	o.MaxBackoff = orDefault(o.MaxBackoff, 2*time.Second)
	o.MaxFetches = orDefault(o.MaxFetches, 4)
	o.MaxConns = orDefault(o.MaxConns, 2048)
	o.MaxHandshakes = orDefault(o.MaxHandshakes, 64)
	if o.Log == nil {
		o.Log = zap.NewNop()
	}
	return o
}

func orDefault[T int | int64 | time.Duration](value, fallback T) T {
	if value > 0 {
		return value
	}
	return fallback
}

// Stats are counters of a Transport since its start.
type Stats struct {
	BytesSent, BytesReceived int64
	// Messages and Batches count the messages and calls that peers confirmed.
	Messages, Batches int64
	// Dropped counts messages that were dropped from a full queue.
	Dropped int64
	// Expired counts messages that could not be sent in time.
	Expired int64
	// Lost counts the messages of failed calls. The peer may have received them.
	Lost int64
	// Stale counts messages that were discarded because their sender has a newer
	// incarnation.
	Stale int64
	// Rejected counts failed handshakes of incoming connections.
	Rejected int64
}

// Batch is the argument of a call that delivers messages.
type Batch[M any] struct {
	Incarnation core.Incarnation
	Messages    []M
}

// Transport sends and receives messages. It is safe for concurrent use.
type Transport[M any] struct {
	opts       Options
	deliver    func(from core.InstanceRef, batch []M)
	done       <-chan struct{}
	ctx        context.Context
	cancel     context.CancelFunc
	goroutines sync.WaitGroup

	traffic  traffic
	messages atomic.Int64
	batches  atomic.Int64
	dropped  atomic.Int64
	expired  atomic.Int64
	lost     atomic.Int64
	stale    atomic.Int64
	rejected atomic.Int64
	// rejectedLoggedAt is the time of the last log line of a rejected connection, Unix ns.
	rejectedLoggedAt atomic.Int64
	mu               sync.Mutex
	self             core.InstanceRef
	closed           bool
	listeners        []net.Listener
	conns            map[net.Conn]struct{}
	links            map[linkKey]*link[M]
	bulk             map[string]*bulkPeer
	receiveStates    map[core.InstanceID]*receiveState
}

// receiveState is the state kept for a peer that sends batches. It is kept after the
// peer has left, so that a late batch of an older incarnation is still recognized.
type receiveState struct {
	mu                sync.Mutex
	latestIncarnation core.Incarnation
}

type linkKey struct {
	to   core.InstanceID
	addr string
}

// NewTransport returns a transport. deliver is called with each received batch:
// sequentially for one sender, concurrently for several. It must return within the
// call timeout of the peers. Messages are delivered at most once.
func NewTransport[M any](self core.InstanceRef, opts Options, deliver func(from core.InstanceRef, batch []M)) *Transport[M] {
	ctx, cancel := context.WithCancel(context.Background())
	return &Transport[M]{
		opts:          opts.withDefaults(),
		deliver:       deliver,
		done:          ctx.Done(),
		ctx:           ctx,
		cancel:        cancel,
		self:          self,
		conns:         make(map[net.Conn]struct{}),
		links:         make(map[linkKey]*link[M]),
		bulk:          make(map[string]*bulkPeer),
		receiveStates: make(map[core.InstanceID]*receiveState),
	}
}

// SetIncarnation sets the incarnation of the batches that are sent from now on.
func (t *Transport[M]) SetIncarnation(n core.Incarnation) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.self.Incarnation = n
}

func (t *Transport[M]) selfRef() core.InstanceRef {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.self
}

// Stats returns the current counters.
func (t *Transport[M]) Stats() Stats {
	return Stats{
		BytesSent: t.traffic.sent.Load(), BytesReceived: t.traffic.received.Load(),
		Messages: t.messages.Load(), Batches: t.batches.Load(),
		Dropped: t.dropped.Load(), Expired: t.expired.Load(), Lost: t.lost.Load(), Stale: t.stale.Load(), Rejected: t.rejected.Load(),
	}
}

// Send queues a message for a peer and returns immediately. When the queue is full,
// the oldest message is dropped and counted.
func (t *Transport[M]) Send(to core.InstanceID, addr string, m M) {
	t.SendWithin(to, addr, m, t.opts.MaxQueueTime)
}

// SendWithin is Send for a message that is dropped if it is not sent within limit, or
// MaxQueueTime if that is shorter.
func (t *Transport[M]) SendWithin(to core.InstanceID, addr string, m M, limit time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.closed {
		return
	}
	key := linkKey{to: to, addr: addr}
	l, ok := t.links[key]
	if !ok {
		l = newLink(t, key)
		t.links[key] = l
		t.goroutines.Go(l.run)
	}
	l.enqueue(queued[M]{m, time.Now().Add(min(limit, t.opts.MaxQueueTime))})
}

// Close closes all connections and waits for all goroutines. Queued messages are
// dropped.
func (t *Transport[M]) Close() {
	t.mu.Lock()
	if t.closed {
		t.mu.Unlock()
		return
	}
	t.closed = true
	t.cancel()
	for _, l := range t.listeners {
		l.Close()
	}
	for c := range t.conns {
		c.Close()
	}
	t.mu.Unlock()
	t.goroutines.Wait()
}

// register adds a connection to those that Close closes. If the transport is already
// closed, it closes the connection and returns false.
func (t *Transport[M]) register(c net.Conn) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.closed {
		c.Close()
		return false
	}
	t.conns[c] = struct{}{}
	return true
}

func (t *Transport[M]) unregister(c net.Conn) {
	c.Close()
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.conns, c)
}

// rpcConn is an outgoing connection.
type rpcConn struct {
	client  *rpc.Client
	limited *limitedConn
	release func()
	closed  atomic.Bool
}

func (c *rpcConn) close() {
	c.closed.Store(true)
	c.client.Close()
	c.release()
}

// spawn runs f on a goroutine that Close waits for. It returns false, without running
// f, when the transport is closed.
func (t *Transport[M]) spawn(f func()) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.closed {
		return false
	}
	t.goroutines.Go(f)
	return true
}

// dial connects and performs the handshake within the call timeout.
func (t *Transport[M]) dial(to core.InstanceID, addr string, class connClass) (*rpcConn, error) {
	deadline := time.Now().Add(t.opts.CallTimeout)
	dialer := net.Dialer{Deadline: deadline}
	raw, err := dialer.DialContext(t.ctx, "tcp", addr)
	if err != nil {
		return nil, ErrUnreachable.Wrap(err, "dial %s", addr)
	}
	counted := &countingConn{Conn: raw, traffic: &t.traffic, writeTimeout: t.opts.CallTimeout}
	if !t.register(counted) {
		return nil, ErrClosed.New("transport is closed")
	}
	encrypted, err := dialHandshake(counted, t.opts.Secret, clientHello{class: class, from: t.selfRef(), to: to}, deadline)
	if err != nil {
		t.unregister(counted)
		if errorx.IsOfType(err, ErrRejected) {
			return nil, ErrRejected.Wrap(err, "handshake with %s", addr)
		}
		return nil, ErrUnreachable.Wrap(err, "handshake with %s", addr)
	}
	limited := &limitedConn{Conn: encrypted}
	limited.resetLimit(t.opts.MaxMessage)
	client := rpc.NewClient(limited)
	return &rpcConn{client: client, limited: limited, release: func() { t.unregister(counted) }}, nil
}

// callOutcome is what is known about the effect of a call that returned.
type callOutcome int

const (
	// outcomeReplied means that the peer's method returned a result or an error.
	outcomeReplied callOutcome = iota
	// outcomeNotSent means that the connection was closed before the call was written.
	outcomeNotSent
	// outcomeUnknown means that the peer may or may not have run the method. The
	// connection must not be reused, because a reply may still arrive.
	outcomeUnknown
)

// call makes one call. It returns early when done is closed.
func (c *rpcConn) call(done <-chan struct{}, method string, args, reply any, timeout time.Duration) (callOutcome, error) {
	pending := c.client.Go(method, args, reply, make(chan *rpc.Call, 1))
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	select {
	case <-pending.Done:
	case <-timer.C:
		return outcomeUnknown, ErrTimeout.New("no answer to %s within %s", method, timeout)
	case <-done:
		return outcomeUnknown, ErrClosed.New("transport is closed")
	}
	if pending.Error == nil {
		return outcomeReplied, nil
	}
	var remote rpc.ServerError
	err := ErrCallFailed.Wrap(pending.Error, "%s", method)
	switch {
	case errors.As(pending.Error, &remote):
		return outcomeReplied, err
	case errors.Is(pending.Error, rpc.ErrShutdown) && !c.closed.Load():
		// net/rpc returns ErrShutdown without writing when the read side has ended.
		// Pending calls get it too, but only when this side closes the connection.
		return outcomeNotSent, err
	}
	return outcomeUnknown, err
}
