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

// recorder collects what a transport delivers.
type recorder struct {
	mu      sync.Mutex
	from    []core.InstanceRef
	seqs    []int
	batches int
}

func (b *recorder) deliver(from core.InstanceRef, batch []message) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.batches++
	for _, m := range batch {
		b.from = append(b.from, from)
		b.seqs = append(b.seqs, m.Seq)
	}
}

func (b *recorder) count() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.seqs)
}

func (b *recorder) has(seq int) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return slices.Contains(b.seqs, seq)
}

func newTransport(t testing.TB, id core.InstanceID, incarnation core.Incarnation, opts Options, addr string) (*Transport[message], *recorder) {
	t.Helper()
	if opts.Secret == nil {
		opts.Secret = secret
	}
	opts.CallTimeout = orDefault(opts.CallTimeout, 500*time.Millisecond)
	opts.MaxBackoff = 100 * time.Millisecond
	box := &recorder{}
	tr := NewTransport(core.InstanceRef{ID: id, Incarnation: incarnation}, opts, box.deliver)
	if err := tr.Listen(addr); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(tr.Close)
	return tr, box
}

const loopback = "127.0.0.1:0"

func eventually(t testing.TB, what string, holds func() bool) {
	t.Helper()
	deadline := time.Now().Add(10 * time.Second)
	for !holds() {
		if time.Now().After(deadline) {
			t.Fatalf("%s did not happen", what)
		}
		time.Sleep(2 * time.Millisecond)
	}
}

// Guards against messages that are lost, repeated or out of order on a healthy
// connection, and against one call per message.
func TestBatchesKeepOrder(t *testing.T) {
	is := is.New(t)
	a, _ := newTransport(t, "a", 1, Options{BatchDelay: 10 * time.Millisecond}, loopback)
	b, box := newTransport(t, "b", 1, Options{}, loopback)
	var want []int
	for i := range 1000 {
		a.Send("b", b.Addr(), message{Seq: i})
		want = append(want, i)
	}
	eventually(t, "delivery", func() bool { return box.count() == len(want) })
	is.Equal(box.seqs, want)
	is.Equal(box.from[0], core.InstanceRef{ID: "a", Incarnation: 1})
	is.True(box.batches <= 10)
	eventually(t, "last answer to the sender", func() bool { return a.Stats().Messages == 1000 })
	stats := a.Stats()
	is.True(stats.BytesSent > 0 && stats.BytesReceived > 0)
}

// Guards against a sender that never reaches a restarted peer, and against a
// message that is sent again after the peer may have received it.
func TestRestartOfReceiver(t *testing.T) {
	is := is.New(t)
	a, _ := newTransport(t, "a", 1, Options{}, loopback)
	b, first := newTransport(t, "b", 1, Options{}, loopback)
	addr := b.Addr()
	a.Send("b", addr, message{Seq: 1})
	eventually(t, "delivery before", func() bool { return first.has(1) })
	eventually(t, "answer to the sender", func() bool { return a.Stats().Messages == 1 })
	b.Close()
	time.Sleep(100 * time.Millisecond) // a reads the end of the connection
	a.Send("b", addr, message{Seq: 2})
	time.Sleep(20 * time.Millisecond)
	_, second := newTransport(t, "b", 2, Options{}, addr)
	// The connection was known to have ended, so the message was not lost.
	eventually(t, "delivery after", func() bool { return second.has(2) })
	is.Equal(second.count(), 1)
	is.Equal(a.Stats().Lost, int64(0))
}

// Guards against a batch of an older incarnation that is acted upon after the
// sender has restarted.
func TestOlderIncarnationIsDropped(t *testing.T) {
	is := is.New(t)
	older, _ := newTransport(t, "a", 4, Options{}, loopback)
	newer, _ := newTransport(t, "a", 5, Options{}, loopback)
	b, box := newTransport(t, "b", 1, Options{}, loopback)
	older.Send("b", b.Addr(), message{Seq: 1})
	eventually(t, "delivery", func() bool { return box.has(1) })
	newer.Send("b", b.Addr(), message{Seq: 2})
	eventually(t, "delivery", func() bool { return box.has(2) })
	older.Send("b", b.Addr(), message{Seq: 3})
	eventually(t, "drop", func() bool { return b.Stats().Stale == 1 })
	eventually(t, "answer to the sender", func() bool { return older.Stats().Lost == 1 })
	older.SetIncarnation(6) // as after a pause
	older.Send("b", b.Addr(), message{Seq: 4})
	eventually(t, "delivery of the new incarnation", func() bool { return box.has(4) })
	is.True(!box.has(3))
}

// blackholeProxy is a forwarder to a transport that can go silent.
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
			// Only connections from before go silent; new ones work.
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

// Guards against a call that waits for ever on a silent connection.
func TestSilentConnectionIsReplaced(t *testing.T) {
	is := is.New(t)
	a, _ := newTransport(t, "a", 1, Options{CallTimeout: 300 * time.Millisecond}, loopback)
	b, box := newTransport(t, "b", 1, Options{}, loopback)
	between := newBlackholeProxy(t, b.Addr())
	addr := between.listener.Addr().String()
	a.Send("b", addr, message{Seq: 1})
	eventually(t, "delivery", func() bool { return box.has(1) })
	eventually(t, "answer to the sender", func() bool { return a.Stats().Messages == 1 })
	between.stopForwarding()
	a.Send("b", addr, message{Seq: 2})
	eventually(t, "timeout", func() bool { return a.Stats().Lost == 1 })
	a.Send("b", addr, message{Seq: 3})
	eventually(t, "delivery over a new connection", func() bool { return box.has(3) })
	is.Equal(between.connections(), 2)
}

// Guards against a silent connection that is only noticed when the next message
// is lost on it.
func TestPingFindsSilentConnection(t *testing.T) {
	is := is.New(t)
	opts := Options{PingInterval: 30 * time.Millisecond, PingTimeout: 200 * time.Millisecond}
	a, _ := newTransport(t, "a", 1, opts, loopback)
	b, box := newTransport(t, "b", 1, Options{}, loopback)
	between := newBlackholeProxy(t, b.Addr())
	addr := between.listener.Addr().String()
	a.Send("b", addr, message{Seq: 1})
	eventually(t, "delivery", func() bool { return box.has(1) })
	eventually(t, "answer to the sender", func() bool { return a.Stats().Messages == 1 })
	between.stopForwarding()
	time.Sleep(800 * time.Millisecond)
	a.Send("b", addr, message{Seq: 2})
	eventually(t, "delivery", func() bool { return box.has(2) })
	is.Equal(a.Stats().Lost, int64(0))
}

// Guards against a sender that blocks or grows without bound when a peer does not
// answer.
func TestFloodOfAPeerThatDoesNotAnswer(t *testing.T) {
	is := is.New(t)
	mute, err := net.Listen("tcp", loopback)
	is.NoErr(err)
	defer mute.Close()
	a, _ := newTransport(t, "a", 1, Options{MaxQueuedMessages: 100}, loopback)
	b, box := newTransport(t, "b", 1, Options{}, loopback)
	begin := time.Now()
	for i := range 50_000 {
		a.Send("mute", mute.Addr().String(), message{Seq: i})
	}
	is.True(time.Since(begin) < 2*time.Second)
	is.True(a.Stats().Dropped >= 50_000-100)
	a.Send("b", b.Addr(), message{Seq: 1})
	eventually(t, "delivery to another peer", func() bool { return box.has(1) })
	begin = time.Now()
	a.Close()
	is.True(time.Since(begin) < 2*time.Second)
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
	_, box := newTransport(t, "b", 1, Options{}, addr)
	eventually(t, "delivery", func() bool { return box.count() == 3 })
	is.Equal(box.seqs, []int{7, 8, 9})
	is.Equal(a.Stats().Dropped, int64(7))
}

// Guards against a stranger on the network who injects messages, and against an
// Instance that gives its messages to a stranger.
func TestWrongSecret(t *testing.T) {
	is := is.New(t)
	stranger, got := newTransport(t, "a", 9, Options{Secret: []byte("another secret, long enough")}, loopback)
	b, box := newTransport(t, "b", 1, Options{}, loopback)
	stranger.Send("b", b.Addr(), message{Seq: 1})
	b.Send("a", stranger.Addr(), message{Seq: 2})
	_, err := stranger.Fetch(context.Background(), b.Addr(), "x", nil)
	is.True(errorx.IsOfType(err, ErrRejected))
	eventually(t, "rejection", func() bool { return b.Stats().Rejected > 0 && stranger.Stats().Rejected > 0 })
	is.Equal(box.count(), 0)
	is.Equal(got.count(), 0)
	// Neither an empty secret nor a short one opens a listener.
	weak := NewTransport(core.InstanceRef{ID: "w"}, Options{Secret: []byte("short")}, got.deliver)
	defer weak.Close()
	is.True(errorx.IsOfType(weak.Listen(loopback), ErrRejected))
}

// Guards against a proof that a stranger gets from the server itself and sends
// back, and against a recorded handshake that is replayed.
func TestHandshakeReflectionAndReplay(t *testing.T) {
	is := is.New(t)
	b, box := newTransport(t, "b", 1, Options{}, loopback)
	conn, err := net.Dial("tcp", b.Addr())
	is.NoErr(err)
	defer conn.Close()
	first := clientHello{class: classControl, from: core.InstanceRef{ID: "a"}, to: "b"}.encode()
	_, err = conn.Write(first)
	is.NoErr(err)
	answer := make([]byte, nonceBytes+macBytes)
	_, err = io.ReadFull(conn, answer)
	is.NoErr(err)
	_, err = conn.Write(answer[nonceBytes:]) // the server's own proof
	is.NoErr(err)
	eventually(t, "rejection", func() bool { return b.Stats().Rejected == 1 })
	again, err := net.Dial("tcp", b.Addr())
	is.NoErr(err)
	defer again.Close()
	// A client's proof for the first nonce, as a listener on the network has it.
	recorded := handshakeMAC(secret, "client", append(slices.Clone(first), answer[:nonceBytes]...))
	_, err = again.Write(append(slices.Clone(first), recorded...))
	is.NoErr(err)
	eventually(t, "rejection", func() bool { return b.Stats().Rejected == 2 })
	is.Equal(box.count(), 0)
}

// Guards against messages for an Instance that has been replaced by another one at
// the same address.
func TestAddressOfAnotherInstance(t *testing.T) {
	is := is.New(t)
	a, _ := newTransport(t, "a", 1, Options{}, loopback)
	c, box := newTransport(t, "c", 1, Options{}, loopback)
	a.Send("b", c.Addr(), message{Seq: 1})
	eventually(t, "rejection", func() bool { return c.Stats().Rejected > 0 })
	is.Equal(box.count(), 0)
}

// corruptingConn changes one byte of what is read after the handshake.
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

// Guards against a stranger on the path who changes or injects bytes after the
// handshake.
func TestChangedRecordIsRefused(t *testing.T) {
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
	path := &corruptingConn{Conn: far}
	accepted, _, err := acceptHandshake(path, secret, "b", deadline)
	is.NoErr(err)
	sender := <-dialed
	buffer := make([]byte, 10)
	go sender.Write([]byte("genuine"))
	n, err := accepted.Read(buffer)
	is.NoErr(err)
	is.Equal(string(buffer[:n]), "genuine")
	path.corrupt = true
	go sender.Write([]byte("genuine"))
	_, err = accepted.Read(buffer)
	is.True(errorx.IsOfType(err, ErrRejected))
}

// Guards against bulk traffic that delays control messages, an error that closes
// the connection, an answer beyond the limit, and a Fetch without an end.
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
	b, box := newTransport(t, "b", 1, Options{FetchHandler: serve, MaxFetches: 8}, loopback)
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
	// Calls that are abandoned early don't end the call of another.
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
	eventually(t, "control message during bulk calls", func() bool { return box.has(1) })
	for range 6 {
		err := <-results
		is.True(errorx.IsOfType(err, ErrTimeout) || errorx.IsOfType(err, ErrBusy))
	}
	is.NoErr(<-patient)
	got, err = a.Fetch(ctx, addr, "piece", nil)
	is.NoErr(err)
	is.Equal(string(got), "a:piece:")
}

// Guards against goroutines and connections that stay for peers which have gone.
func TestIdleLinkEnds(t *testing.T) {
	a, _ := newTransport(t, "a", 1, Options{PingInterval: 10 * time.Millisecond, IdleTimeout: 50 * time.Millisecond}, loopback)
	b, box := newTransport(t, "b", 1, Options{}, loopback)
	for round := range 2 {
		a.Send("b", b.Addr(), message{Seq: round})
		eventually(t, "delivery", func() bool { return box.has(round) })
		eventually(t, "end of the link", func() bool {
			a.mu.Lock()
			defer a.mu.Unlock()
			return len(a.links) == 0 && len(a.conns) == 0
		})
	}
}

// BenchmarkMessage measures time and bytes per message, in batches as they form
// under load. The bytes count both directions.
func BenchmarkMessage(b *testing.B) {
	for _, batch := range []int{1, 16, 256} {
		b.Run(fmt.Sprintf("batch=%d", batch), func(b *testing.B) {
			from, _ := newTransport(b, "a", 1, Options{BatchDelay: time.Nanosecond, MaxBatch: batch, MaxQueuedMessages: 1 << 20}, loopback)
			to, box := newTransport(b, "b", 1, Options{}, loopback)
			from.Send("b", to.Addr(), message{})
			eventually(b, "connection", func() bool { return box.count() == 1 })
			before := from.Stats()
			for sent := 0; sent < b.N; {
				n := min(batch, b.N-sent)
				for range n {
					from.Send("b", to.Addr(), message{Seq: sent, Text: "load delta of one upstream"})
				}
				sent += n
				for box.count() < sent+1 {
					time.Sleep(5 * time.Microsecond)
				}
			}
			eventually(b, "last answer", func() bool { return from.Stats().Messages == int64(b.N+1) })
			after := from.Stats()
			bytes := after.BytesSent + after.BytesReceived - before.BytesSent - before.BytesReceived
			b.ReportMetric(float64(bytes)/float64(b.N), "bytes/message")
		})
	}
}

// Guards against the first bulk call after a restart of the peer failing, and
// against bulk connections that stay for peers which have gone.
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
	time.Sleep(100 * time.Millisecond) // a reads the end of the connection
	_, err = a.Fetch(t.Context(), addr, "piece", nil)
	is.NoErr(err)
	eventually(t, "end of the bulk connection", func() bool {
		a.mu.Lock()
		defer a.mu.Unlock()
		return len(a.conns) == 0
	})
}

// Guards against connections of peers that have vanished without closing them, and
// against batches on a bulk connection, which has no order.
func TestVanishedPeerAndBulkConnection(t *testing.T) {
	is := is.New(t)
	a, _ := newTransport(t, "a", 1, Options{IdleTimeout: time.Minute}, loopback)
	b, box := newTransport(t, "b", 1, Options{IdleTimeout: 100 * time.Millisecond}, loopback)
	conn, err := a.dial("b", b.Addr(), classBulk)
	is.NoErr(err)
	defer conn.close()
	fate, err := conn.call(a.done, "Peer.Deliver", Batch[message]{Incarnation: 1, Messages: []message{{Seq: 1}}}, &Empty{}, time.Second)
	is.Equal(fate, outcomeReplied)
	is.True(err != nil)
	is.Equal(box.count(), 0)
	eventually(t, "end of the idle connection", func() bool {
		b.mu.Lock()
		defer b.mu.Unlock()
		return len(b.conns) == 0
	})
}
