package peer

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/joomcode/errorx"
	"github.com/matryer/is"

	"github.com/rhubarbsill/rhubarbsill/pkg/core"
)

type message struct {
	Seq  int
	Text string
}

var secret = []byte("fleet secret of the tests")

// recorder records the messages that a transport delivers.
type recorder struct {
	mu      sync.Mutex
	from    []core.InstanceRef
	seqs    []int
	batches int
}

func (r *recorder) deliver(from core.InstanceRef, batch []message) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.batches++
	for _, m := range batch {
		r.from = append(r.from, from)
		r.seqs = append(r.seqs, m.Seq)
	}
}

func (r *recorder) count() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.seqs)
}

func (r *recorder) has(seq int) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Contains(r.seqs, seq)
}

func newTransport(t testing.TB, id core.InstanceID, incarnation core.Incarnation, opts Options, addr string) (*Transport[message], *recorder) {
	t.Helper()
	if opts.Secret == nil {
		opts.Secret = secret
	}
	opts.CallTimeout = orDefault(opts.CallTimeout, 500*time.Millisecond)
	opts.MaxBackoff = 100 * time.Millisecond
	received := &recorder{}
	tr := NewTransport(core.InstanceRef{ID: id, Incarnation: incarnation}, opts, received.deliver)
	if err := tr.Listen(addr); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(tr.Close)
	return tr, received
}

const loopback = "127.0.0.1:0"

func eventually(t testing.TB, what string, condition func() bool) {
	t.Helper()
	deadline := time.Now().Add(10 * time.Second)
	for !condition() {
		if time.Now().After(deadline) {
			t.Fatalf("%s did not happen", what)
		}
		time.Sleep(2 * time.Millisecond)
	}
}

// Guards against messages that are lost, duplicated or reordered on a working
// connection, and against one call per message.
func TestBatchesKeepOrder(t *testing.T) {
	is := is.New(t)
	a, _ := newTransport(t, "a", 1, Options{BatchDelay: 10 * time.Millisecond}, loopback)
	b, received := newTransport(t, "b", 1, Options{}, loopback)
	var want []int
	for i := range 1000 {
		a.Send("b", b.Addr(), message{Seq: i})
		want = append(want, i)
	}
	eventually(t, "delivery", func() bool { return received.count() == len(want) })
	is.Equal(received.seqs, want)
	is.Equal(received.from[0], core.InstanceRef{ID: "a", Incarnation: 1})
	is.True(received.batches <= 10)
	eventually(t, "last reply to the sender", func() bool { return a.Stats().Messages == 1000 })
	stats := a.Stats()
	is.True(stats.BytesSent > 0 && stats.BytesReceived > 0)
}

// Guards against a sender that never reaches a restarted peer, and against a retry of
// a message that the peer may have received.
func TestRestartOfReceiver(t *testing.T) {
	is := is.New(t)
	a, _ := newTransport(t, "a", 1, Options{}, loopback)
	b, first := newTransport(t, "b", 1, Options{}, loopback)
	addr := b.Addr()
	a.Send("b", addr, message{Seq: 1})
	eventually(t, "delivery before", func() bool { return first.has(1) })
	eventually(t, "reply to the sender", func() bool { return a.Stats().Messages == 1 })
	b.Close()
	time.Sleep(100 * time.Millisecond) // a detects that the connection was closed
	a.Send("b", addr, message{Seq: 2})
	time.Sleep(20 * time.Millisecond)
	_, second := newTransport(t, "b", 2, Options{}, addr)
	// a knew that the connection was closed, so the message was not sent on it and not
	// lost.
	eventually(t, "delivery after", func() bool { return second.has(2) })
	is.Equal(second.count(), 1)
	is.Equal(a.Stats().Lost, int64(0))
}

// Guards against a batch of an older incarnation that is delivered after the sender has
// restarted.
func TestOlderIncarnationIsDropped(t *testing.T) {
	is := is.New(t)
	older, _ := newTransport(t, "a", 4, Options{}, loopback)
	newer, _ := newTransport(t, "a", 5, Options{}, loopback)
	b, received := newTransport(t, "b", 1, Options{}, loopback)
	older.Send("b", b.Addr(), message{Seq: 1})
	eventually(t, "delivery", func() bool { return received.has(1) })
	newer.Send("b", b.Addr(), message{Seq: 2})
	eventually(t, "delivery", func() bool { return received.has(2) })
	older.Send("b", b.Addr(), message{Seq: 3})
	eventually(t, "drop", func() bool { return b.Stats().Stale == 1 })
	eventually(t, "reply to the sender", func() bool { return older.Stats().Lost == 1 })
	older.SetIncarnation(6) // as after a suspension of the process
	older.Send("b", b.Addr(), message{Seq: 4})
	eventually(t, "delivery of the new incarnation", func() bool { return received.has(4) })
	is.True(!received.has(3))
}

// blackholeProxy forwards connections to a transport until stopForwarding, which makes
// it drop all bytes of the newest connection without closing it.
type blackholeProxy struct {
	listener net.Listener
	mu       sync.Mutex
	dropping bool
	accepted int
}

func newBlackholeProxy(t *testing.T, target string) *blackholeProxy {
	listener, err := net.Listen("tcp", loopback)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { listener.Close() })
	p := &blackholeProxy{listener: listener}
	go func() {
		for {
			in, err := listener.Accept()
			if err != nil {
				return
			}
			out, err := net.Dial("tcp", target)
			if err != nil {
				in.Close()
				continue
			}
			t.Cleanup(func() { in.Close(); out.Close() })
			// Connections that are accepted after stopForwarding work.
			p.mu.Lock()
			p.accepted++
			p.dropping = false
			number := p.accepted
			p.mu.Unlock()
			go p.forward(in, out, number)
			go p.forward(out, in, number)
		}
	}()
	return p
}

func (p *blackholeProxy) forward(from, to net.Conn, number int) {
	buffer := make([]byte, 4096)
	for {
		n, err := from.Read(buffer)
		if err != nil {
			to.Close()
			return
		}
		p.mu.Lock()
		drop := p.dropping && number == p.accepted
		p.mu.Unlock()
		if !drop {
			to.Write(buffer[:n])
		}
	}
}

func (p *blackholeProxy) connections() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.accepted
}

func (p *blackholeProxy) stopForwarding() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.dropping = true
}

// Guards against a call that waits indefinitely on an unresponsive connection.
func TestUnresponsiveConnectionIsReplaced(t *testing.T) {
	is := is.New(t)
	a, _ := newTransport(t, "a", 1, Options{CallTimeout: 300 * time.Millisecond}, loopback)
	b, received := newTransport(t, "b", 1, Options{}, loopback)
	proxy := newBlackholeProxy(t, b.Addr())
	addr := proxy.listener.Addr().String()
	a.Send("b", addr, message{Seq: 1})
	eventually(t, "delivery", func() bool { return received.has(1) })
	eventually(t, "reply to the sender", func() bool { return a.Stats().Messages == 1 })
	proxy.stopForwarding()
	a.Send("b", addr, message{Seq: 2})
	eventually(t, "timeout", func() bool { return a.Stats().Lost == 1 })
	a.Send("b", addr, message{Seq: 3})
	eventually(t, "delivery over a new connection", func() bool { return received.has(3) })
	is.Equal(proxy.connections(), 2)
}

// Guards against an unresponsive connection that is detected only when the next message
// is lost on it.
func TestPingDetectsUnresponsiveConnection(t *testing.T) {
	is := is.New(t)
	opts := Options{PingInterval: 30 * time.Millisecond, PingTimeout: 200 * time.Millisecond}
	a, _ := newTransport(t, "a", 1, opts, loopback)
	b, received := newTransport(t, "b", 1, Options{}, loopback)
	proxy := newBlackholeProxy(t, b.Addr())
	addr := proxy.listener.Addr().String()
	a.Send("b", addr, message{Seq: 1})
	eventually(t, "delivery", func() bool { return received.has(1) })
	eventually(t, "reply to the sender", func() bool { return a.Stats().Messages == 1 })
	proxy.stopForwarding()
	time.Sleep(800 * time.Millisecond)
	a.Send("b", addr, message{Seq: 2})
	eventually(t, "delivery", func() bool { return received.has(2) })
	is.Equal(a.Stats().Lost, int64(0))
}

// Guards against a sender that blocks, or whose queue grows without bound, when a peer
// does not respond.
func TestFloodOfUnresponsivePeer(t *testing.T) {
	is := is.New(t)
	unresponsive, err := net.Listen("tcp", loopback)
	is.NoErr(err)
	defer unresponsive.Close()
	a, _ := newTransport(t, "a", 1, Options{MaxQueuedMessages: 100}, loopback)
	b, received := newTransport(t, "b", 1, Options{}, loopback)
	start := time.Now()
	for i := range 50_000 {
		a.Send("mute", unresponsive.Addr().String(), message{Seq: i})
	}
	is.True(time.Since(start) < 2*time.Second)
	is.True(a.Stats().Dropped >= 50_000-100)
	a.Send("b", b.Addr(), message{Seq: 1})
	eventually(t, "delivery to another peer", func() bool { return received.has(1) })
	start = time.Now()
	a.Close()
	is.True(time.Since(start) < 2*time.Second)
}

// Guards against the newest message being dropped instead of the oldest.
func TestOldestIsDropped(t *testing.T) {
	is := is.New(t)
	reserved, err := net.Listen("tcp", loopback)
	is.NoErr(err)
	addr := reserved.Addr().String()
	reserved.Close()
	a, _ := newTransport(t, "a", 1, Options{MaxQueuedMessages: 3}, loopback)
	for i := range 10 {
		a.Send("b", addr, message{Seq: i})
	}
	_, received := newTransport(t, "b", 1, Options{}, addr)
	eventually(t, "delivery", func() bool { return received.count() == 3 })
	is.Equal(received.seqs, []int{7, 8, 9})
	is.Equal(a.Stats().Dropped, int64(7))
}

// Guards against an attacker on the network who injects messages, and against an
// Instance that sends its messages to an unauthenticated peer.
func TestWrongSecret(t *testing.T) {
	is := is.New(t)
	attacker, got := newTransport(t, "a", 9, Options{Secret: []byte("another secret, long enough")}, loopback)
	b, received := newTransport(t, "b", 1, Options{}, loopback)
	attacker.Send("b", b.Addr(), message{Seq: 1})
	b.Send("a", attacker.Addr(), message{Seq: 2})
	_, err := attacker.Fetch(context.Background(), b.Addr(), "x", nil)
	is.True(errorx.IsOfType(err, ErrRejected))
	eventually(t, "rejection", func() bool { return b.Stats().Rejected > 0 && attacker.Stats().Rejected > 0 })
	is.Equal(received.count(), 0)
	is.Equal(got.count(), 0)
	// Listen rejects a secret that is too short.
	weak := NewTransport(core.InstanceRef{ID: "w"}, Options{Secret: []byte("short")}, got.deliver)
	defer weak.Close()
	is.True(errorx.IsOfType(weak.Listen(loopback), ErrRejected))
}

// Guards against an attacker who sends the server's own MAC back to it, and against the
// replay of a recorded handshake.
func TestHandshakeReflectionAndReplay(t *testing.T) {
	is := is.New(t)
	b, received := newTransport(t, "b", 1, Options{}, loopback)
	conn, err := net.Dial("tcp", b.Addr())
	is.NoErr(err)
	defer conn.Close()
	first := clientHello{class: classControl, from: core.InstanceRef{ID: "a"}, to: "b"}.encode()
	_, err = conn.Write(first)
	is.NoErr(err)
	reply := make([]byte, nonceBytes+macBytes)
	_, err = io.ReadFull(conn, reply)
	is.NoErr(err)
	_, err = conn.Write(reply[nonceBytes:]) // the server's own MAC
	is.NoErr(err)
	eventually(t, "rejection", func() bool { return b.Stats().Rejected == 1 })
	second, err := net.Dial("tcp", b.Addr())
	is.NoErr(err)
	defer second.Close()
	// The client's MAC for the first nonce, as an eavesdropper could have recorded it.
	recorded := handshakeMAC(secret, "client", append(slices.Clone(first), reply[:nonceBytes]...))
	_, err = second.Write(append(slices.Clone(first), recorded...))
	is.NoErr(err)
	eventually(t, "rejection", func() bool { return b.Stats().Rejected == 2 })
	is.Equal(received.count(), 0)
}

// Guards against the delivery of messages to another Instance that has taken over the
// address of the intended one.
func TestAddressOfAnotherInstance(t *testing.T) {
	is := is.New(t)
	a, _ := newTransport(t, "a", 1, Options{}, loopback)
	c, received := newTransport(t, "c", 1, Options{}, loopback)
	a.Send("b", c.Addr(), message{Seq: 1})
	eventually(t, "rejection", func() bool { return c.Stats().Rejected > 0 })
	is.Equal(received.count(), 0)
}

// corruptingConn changes the last byte of each read while corrupt is set.
type corruptingConn struct {
	net.Conn
	corrupt bool
}

func (c *corruptingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if c.corrupt && n > 0 {
		p[n-1] ^= 1
	}
	return n, err
}

// Guards against an attacker on the network path who changes or injects bytes after the
// handshake.
func TestCorruptedRecordIsRejected(t *testing.T) {
	is := is.New(t)
	near, far := net.Pipe()
	defer near.Close()
	defer far.Close()
	deadline := time.Now().Add(5 * time.Second)
	dialed := make(chan net.Conn, 1)
	go func() {
		c, _ := dialHandshake(near, secret, clientHello{class: classBulk, from: core.InstanceRef{ID: "a"}}, deadline)
		dialed <- c
	}()
	conn := &corruptingConn{Conn: far}
	accepted, _, err := acceptHandshake(conn, secret, "b", deadline)
	is.NoErr(err)
	sender := <-dialed
	buffer := make([]byte, 10)
	go sender.Write([]byte("genuine"))
	n, err := accepted.Read(buffer)
	is.NoErr(err)
	is.Equal(string(buffer[:n]), "genuine")
	conn.corrupt = true
	go sender.Write([]byte("genuine"))
	_, err = accepted.Read(buffer)
	is.True(errorx.IsOfType(err, ErrRejected))
}

// Guards against bulk traffic that delays control messages, an error that closes the
// connection, a reply above the size limit, and a Fetch that does not return when its
// context ends.
func TestFetch(t *testing.T) {
	is := is.New(t)
	release := make(chan struct{})
	serve := func(from core.InstanceRef, name string, request []byte) ([]byte, error) {
		switch name {
		case "slow":
			<-release
		case "patient":
			time.Sleep(400 * time.Millisecond)
		case "large":
			return make([]byte, 8<<20), nil
		case "missing":
			return nil, errors.New("no such piece")
		}
		return append([]byte(from.ID+":"+core.InstanceID(name)+":"), request...), nil
	}
	a, _ := newTransport(t, "a", 1, Options{MaxMessage: 1 << 20, CallTimeout: 2 * time.Second}, loopback)
	b, received := newTransport(t, "b", 1, Options{FetchHandler: serve, MaxFetches: 8}, loopback)
	defer close(release)
	ctx, addr := context.Background(), b.Addr()
	got, err := a.Fetch(ctx, addr, "piece", []byte("hash"))
	is.NoErr(err)
	is.Equal(string(got), "a:piece:hash")
	before := a.Stats().BytesSent
	_, err = a.Fetch(ctx, addr, "missing", nil)
	is.True(errorx.IsOfType(err, ErrCallFailed) && strings.Contains(err.Error(), "no such piece"))
	_, err = a.Fetch(ctx, addr, "piece", nil)
	is.NoErr(err)
	is.True(a.Stats().BytesSent-before < 250) // no new handshake
	_, err = a.Fetch(ctx, addr, "large", nil)
	is.True(errorx.IsOfType(err, ErrCallFailed))
	// Calls whose context ends early don't abort other calls.
	patient := make(chan error, 1)
	go func() {
		_, err := a.Fetch(ctx, addr, "patient", nil)
		patient <- err
	}()
	results := make(chan error, 6)
	for range 6 {
		go func() {
			short, cancel := context.WithTimeout(ctx, 200*time.Millisecond)
			defer cancel()
			_, err := a.Fetch(short, addr, "slow", nil)
			results <- err
		}()
	}
	a.Send("b", addr, message{Seq: 1})
	eventually(t, "control message during bulk calls", func() bool { return received.has(1) })
	for range 6 {
		err := <-results
		is.True(errorx.IsOfType(err, ErrTimeout) || errorx.IsOfType(err, ErrBusy))
	}
	is.NoErr(<-patient)
	got, err = a.Fetch(ctx, addr, "piece", nil)
	is.NoErr(err)
	is.Equal(string(got), "a:piece:")
}

// Guards against goroutines and connections that leak when a peer has left.
func TestIdleLinkIsRemoved(t *testing.T) {
	a, _ := newTransport(t, "a", 1, Options{PingInterval: 10 * time.Millisecond, IdleTimeout: 50 * time.Millisecond}, loopback)
	b, received := newTransport(t, "b", 1, Options{}, loopback)
	for round := range 2 {
		a.Send("b", b.Addr(), message{Seq: round})
		eventually(t, "delivery", func() bool { return received.has(round) })
		eventually(t, "end of the link", func() bool {
			a.mu.Lock()
			defer a.mu.Unlock()
			return len(a.links) == 0 && len(a.conns) == 0
		})
	}
}

// BenchmarkMessage measures time and bytes per message for several batch sizes. Bytes
// are counted in both directions.
func BenchmarkMessage(b *testing.B) {
	for _, batch := range []int{1, 16, 256} {
		b.Run(fmt.Sprintf("batch=%d", batch), func(b *testing.B) {
			from, _ := newTransport(b, "a", 1, Options{BatchDelay: time.Nanosecond, MaxBatch: batch, MaxQueuedMessages: 1 << 20}, loopback)
			to, received := newTransport(b, "b", 1, Options{}, loopback)
			from.Send("b", to.Addr(), message{})
			eventually(b, "connection", func() bool { return received.count() == 1 })
			before := from.Stats()
			for sent := 0; sent < b.N; {
				n := min(batch, b.N-sent)
				for range n {
					from.Send("b", to.Addr(), message{Seq: sent, Text: "load delta of one upstream"})
				}
				sent += n
				for received.count() < sent+1 {
					time.Sleep(5 * time.Microsecond)
				}
			}
			eventually(b, "last reply", func() bool { return from.Stats().Messages == int64(b.N+1) })
			after := from.Stats()
			bytes := after.BytesSent + after.BytesReceived - before.BytesSent - before.BytesReceived
			b.ReportMetric(float64(bytes)/float64(b.N), "bytes/message")
		})
	}
}

// Guards against a failure of the first bulk call after a restart of the peer, and
// against bulk connections that leak when a peer has left.
func TestFetchAfterRestartAndIdleBulkConnection(t *testing.T) {
	is := is.New(t)
	serve := func(core.InstanceRef, string, []byte) ([]byte, error) { return []byte("x"), nil }
	a, _ := newTransport(t, "a", 1, Options{IdleTimeout: 300 * time.Millisecond}, loopback)
	b, _ := newTransport(t, "b", 1, Options{FetchHandler: serve}, loopback)
	addr := b.Addr()
	_, err := a.Fetch(t.Context(), addr, "piece", nil)
	is.NoErr(err)
	b.Close()
	newTransport(t, "b", 2, Options{FetchHandler: serve}, addr)
	time.Sleep(100 * time.Millisecond) // a detects that the connection was closed
	_, err = a.Fetch(t.Context(), addr, "piece", nil)
	is.NoErr(err)
	eventually(t, "end of the bulk connection", func() bool {
		a.mu.Lock()
		defer a.mu.Unlock()
		return len(a.conns) == 0
	})
}

// Guards against leaking connections of peers that vanished without closing them, and
// against batches on a bulk connection, whose calls are not ordered.
func TestVanishedPeerAndBulkConnection(t *testing.T) {
	is := is.New(t)
	a, _ := newTransport(t, "a", 1, Options{IdleTimeout: time.Minute}, loopback)
	b, received := newTransport(t, "b", 1, Options{IdleTimeout: 100 * time.Millisecond}, loopback)
	conn, err := a.dial("b", b.Addr(), classBulk)
	is.NoErr(err)
	defer conn.close()
	outcome, err := conn.call(a.done, "Peer.Deliver", Batch[message]{Incarnation: 1, Messages: []message{{Seq: 1}}}, &Empty{}, time.Second)
	is.Equal(outcome, outcomeReplied)
	is.True(err != nil)
	is.Equal(received.count(), 0)
	eventually(t, "end of the idle connection", func() bool {
		b.mu.Lock()
		defer b.mu.Unlock()
		return len(b.conns) == 0
	})
}

// Guards against messages that are kept for a peer that is gone, and against one that is sent although a
// newer one has replaced it.
func TestExpiredMessagesAreNotKept(t *testing.T) {
	is := is.New(t)
	reserved, err := net.Listen("tcp", loopback)
	is.NoErr(err)
	addr := reserved.Addr().String()
	reserved.Close()
	a, _ := newTransport(t, "a", 1, Options{}, loopback)
	const limit = 200 * time.Millisecond
	for i := range 30 {
		a.SendWithin("b", addr, message{Seq: i}, limit)
		time.Sleep(20 * time.Millisecond)
	}
	a.Send("b", addr, message{Seq: 100})
	a.mu.Lock()
	l := a.links[linkKey{to: "b", addr: addr}]
	a.mu.Unlock()
	l.mu.Lock()
	kept := len(l.queue)
	l.mu.Unlock()
	is.True(kept <= int(limit/(20*time.Millisecond))+1)
	time.Sleep(2 * limit)
	_, received := newTransport(t, "b", 1, Options{}, addr)
	eventually(t, "delivery", func() bool { return received.has(100) })
	is.Equal(received.seqs, []int{100})
	is.Equal(a.Stats().Expired, int64(30))
	is.True(l.empty())
}
