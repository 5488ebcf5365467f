package hosted

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/rhubarbsill/rhubarbsill/pkg/admission"
	"github.com/rhubarbsill/rhubarbsill/pkg/core"
	"github.com/rhubarbsill/rhubarbsill/pkg/telemetry"
)

const (
	// reserveTimeout bounds the wait for bytes of connections that are being closed. Closing takes
	// milliseconds.
	reserveTimeout = 2 * time.Second
	// headerSlack is what a header section may have beyond the limit of the configuration before it is
	// cut off. Up to there, the refusal states the request.
	headerSlack = 4 << 10
	// writeTimeout is the time for slowWriteChunk bytes once the time of a request is over. A client that
	// does not take them counts as gone.
	writeTimeout = 8 * time.Second
	// slowWriteChunk is written within writeTimeout: 2 KB/s.
	slowWriteChunk = 16 << 10
	// refusalLinger bounds the reading of a request that was refused before it was read, so that the
	// client gets the refusal.
	refusalLinger = 500 * time.Millisecond
	// maxLingerBytes bounds the bytes of such a request.
	maxLingerBytes = 256 << 10
)

// errNoBytes means that the process has no bytes left for a connection.
var errNoBytes = errors.New("the instance has no memory left for this request")

// gate applies a Budget to the connections of all listeners.
type gate struct {
	now     func() core.Instant
	log     *zap.Logger
	metrics *telemetry.Metrics

	lastID atomic.Uint64

	mu       sync.Mutex
	budget   *admission.Budget
	conns    map[admission.ConnID]*callerConn
	released chan struct{}        // closed when bytes were released
	logged   map[string]time.Time // when a line of a kind was last written
	dropped  map[string]int       // lines of a kind since then
}

func newGate(limits admission.Limits, now func() core.Instant, metrics *telemetry.Metrics, log *zap.Logger) *gate {
	return &gate{
		now: now, log: telemetry.ComponentLogger(log, "admission"), metrics: metrics,
		budget: admission.NewBudget(limits), conns: map[admission.ConnID]*callerConn{}, released: make(chan struct{}),
		logged: map[string]time.Time{}, dropped: map[string]int{},
	}
}

// logInterval is the shortest time between two log lines of one kind.
const logInterval = time.Second

// report counts a refusal or a closed connection, and logs at most one line a second for each kind.
func (g *gate) report(class admission.Class, kind string) {
	g.metrics.AddAdmission(class.String(), kind)
	key := class.String() + " " + kind
	g.mu.Lock()
	if time.Since(g.logged[key]) < logInterval {
		g.dropped[key]++
		g.mu.Unlock()
		return
	}
	more := g.dropped[key]
	g.logged[key], g.dropped[key] = time.Now(), 0
	used, conns := g.budget.Used()
	g.mu.Unlock()
	g.log.Warn(kind, zap.String("listener", class.String()), zap.Int("more", more), zap.Int64("held_bytes", used), zap.Int("connections", conns))
}

// closeAll closes connections that were chosen for others.
func (g *gate) closeAll(victims []*callerConn) {
	for _, c := range victims {
		g.report(c.class, "connection closed for another client")
		_ = c.Close() // it is closed already if this fails
	}
}

// victims returns the connections of a decision. The caller holds mu.
func (g *gate) victims(ids []admission.ConnID) []*callerConn {
	var list []*callerConn
	for _, id := range ids {
		if c := g.conns[id]; c != nil {
			list = append(list, c)
		}
	}
	return list
}

// open admits a connection, nil if it is refused.
func (g *gate) open(conn net.Conn, class admission.Class, headerLimit func() int) *callerConn {
	c := &callerConn{Conn: conn, gate: g, class: class, id: admission.ConnID(g.lastID.Add(1)), headerLimit: headerLimit}
	c.inHeader.Store(true)
	g.mu.Lock()
	decision := g.budget.Open(g.now(), c.id, class)
	victims := g.victims(decision.Close)
	if decision.Verdict == admission.Granted {
		g.conns[c.id] = c
	}
	g.mu.Unlock()
	g.closeAll(victims)
	if decision.Verdict != admission.Granted {
		g.report(class, "connection refused")
		return nil
	}
	return c
}

// remove gives back what is held for a connection whose handler has ended.
func (g *gate) remove(c *callerConn) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.budget.Close(c.id)
	delete(g.conns, c.id)
	g.wake()
}

// wake lets those who wait for bytes ask again. The caller holds mu.
func (g *gate) wake() {
	close(g.released)
	g.released = make(chan struct{})
}

func (g *gate) setPhase(c *callerConn, phase admission.Phase) (before admission.Phase) {
	g.mu.Lock()
	defer g.mu.Unlock()
	before = g.budget.Phase(c.id)
	g.budget.SetPhase(g.now(), c.id, phase)
	return before
}

// reserve adds n bytes to what is held for a connection. It waits while others are closed for it.
func (g *gate) reserve(ctx context.Context, c *callerConn, n int) error {
	var timeout <-chan time.Time
	for {
		g.mu.Lock()
		decision := g.budget.Reserve(g.now(), c.id, int64(n))
		victims, released := g.victims(decision.Close), g.released
		g.mu.Unlock()
		g.closeAll(victims)
		switch decision.Verdict {
		case admission.Granted:
			return nil
		case admission.Refused:
			g.report(c.class, "request refused")
			return errNoBytes
		}
		if timeout == nil {
			timer := time.NewTimer(reserveTimeout)
			defer timer.Stop()
			timeout = timer.C
		}
		select {
		case <-released:
		case <-ctx.Done():
			return context.Cause(ctx)
		case <-timeout:
			g.report(c.class, "request refused")
			return errNoBytes
		}
	}
}

// release gives back all but keep bytes of what was reserved for a connection.
func (g *gate) release(c *callerConn, keep int64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.budget.Release(g.now(), c.id, keep)
	g.wake()
}

func (g *gate) held(c *callerConn) int64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.budget.Held(c.id)
}

// callerConn is a connection of a listener. It counts the header sections that arrive, and bounds the
// time of each write by its progress.
type callerConn struct {
	net.Conn
	gate        *gate
	id          admission.ConnID
	class       admission.Class
	headerLimit func() int
	// answerBy is the time up to which the client waits for its answer. It is used by the goroutine that
	// serves the connection.
	answerBy time.Time

	// inHeader is set while the next bytes belong to a header section. The other fields are only used
	// by the goroutine that reads.
	inHeader    atomic.Bool
	headerBytes int
	lineLength  int
}

// Read implements net.Conn. It reads no further when a header section is too large.
func (c *callerConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 && c.inHeader.Load() {
		if failure := c.countHeader(p[:n]); failure != nil {
			return 0, failure
		}
	}
	return n, err
}

var errHeaderSection = errors.New("the header section is too large")

func (c *callerConn) countHeader(part []byte) error {
	if c.headerBytes == 0 {
		c.gate.setPhase(c, admission.Receiving)
	}
	rest, fields := part, 0
	for len(rest) > 0 {
		end := bytes.IndexByte(rest, '\n')
		if end < 0 {
			c.lineLength += len(rest)
			break
		}
		line := c.lineLength + len(bytes.TrimSuffix(rest[:end], []byte("\r")))
		if line == 0 || c.lineLength == 1 && end == 0 { // the rest belongs to the body or to the next request
			c.inHeader.Store(false)
			part = part[:len(part)-len(rest)]
			break
		}
		c.lineLength = 0
		fields++
		rest = rest[end+1:]
	}
	c.headerBytes += len(part)
	if c.headerBytes > c.headerLimit()+headerSlack {
		c.gate.report(c.class, "header section refused")
		c.refuseHeader()
		return errHeaderSection
	}
	if err := c.gate.reserve(context.Background(), c, 2*len(part)+fields*admission.FieldBytes); err != nil {
		return err
	}
	return nil
}

// headerRefusal is what net/http sends for a header section above its own limit.
const headerRefusal = "HTTP/1.1 431 Request Header Fields Too Large\r\nContent-Type: text/plain; charset=utf-8\r\nConnection: close\r\n\r\n431 Request Header Fields Too Large"

// refuseHeader refuses a request whose header section is not read to its end. It then reads a part of
// what follows, because the client would not get the refusal if the connection was reset.
func (c *callerConn) refuseHeader() {
	_ = c.SetDeadline(time.Now().Add(refusalLinger)) // the connection is closed next
	if _, err := io.WriteString(c.Conn, headerRefusal); err == nil && c.CloseWrite() == nil {
		_, _ = io.CopyN(io.Discard, c.Conn, maxLingerBytes)
	}
}

// CloseWrite implements an optional interface that net/http uses.
func (c *callerConn) CloseWrite() error {
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return nil
}

// setAnswerBy sets the time up to which the client waits for the answer to its request.
func (c *callerConn) setAnswerBy(t time.Time) {
	if c != nil {
		c.answerBy = t
	}
}

// writeDeadline returns the time up to which the client may take the next chunk. After the time of its
// request, a slow reader that makes progress still gets all.
func (c *callerConn) writeDeadline(now time.Time) time.Time {
	deadline := now.Add(writeTimeout)
	if c.answerBy.After(deadline) {
		return c.answerBy
	}
	return deadline
}

// Write implements net.Conn. It writes in chunks, each with a deadline of its own.
func (c *callerConn) Write(p []byte) (int, error) {
	before := c.gate.setPhase(c, admission.Sending)
	defer c.gate.setPhase(c, before)
	written := 0
	for {
		if err := c.Conn.SetWriteDeadline(c.writeDeadline(time.Now())); err != nil {
			return written, err
		}
		n, err := c.Conn.Write(p[written:min(len(p), written+slowWriteChunk)])
		written += n
		if err != nil || written == len(p) {
			return written, err
		}
	}
}

// onState follows the state of a connection in its http.Server.
func (c *callerConn) onState(state http.ConnState) {
	switch state {
	case http.StateIdle:
		c.headerBytes, c.lineLength = 0, 0
		c.inHeader.Store(true)
		c.gate.release(c, 0)
		c.gate.setPhase(c, admission.Idle)
	case http.StateClosed, http.StateHijacked:
		c.gate.remove(c)
	}
}

// connOf returns the connection of a request, nil outside of the daemon's servers.
func connOf(ctx context.Context) *callerConn {
	c, _ := ctx.Value(connKey{}).(*callerConn)
	return c
}

// reserve adds n bytes to what is held for the connection. nil has no limit.
func (c *callerConn) reserve(ctx context.Context, n int) error {
	if c == nil {
		return nil
	}
	return c.gate.reserve(ctx, c, n)
}

// release gives back n bytes.
func (c *callerConn) release(n int) {
	if c != nil {
		c.gate.release(c, max(0, c.gate.held(c)-int64(n)))
	}
}

// releaseAll gives back what was reserved for the current request.
func (c *callerConn) releaseAll() {
	if c != nil {
		c.gate.release(c, 0)
	}
}

func (c *callerConn) setPhase(phase admission.Phase) {
	if c != nil {
		c.gate.setPhase(c, phase)
	}
}

// gateListener admits the connections of a listener.
type gateListener struct {
	net.Listener
	gate        *gate
	class       admission.Class
	headerLimit func() int
}

// Accept returns the next connection that is admitted. Others are closed at once.
func (l gateListener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if c := l.gate.open(conn, l.class, l.headerLimit); c != nil {
			return c, nil
		}
		_ = conn.Close() // nothing was received
	}
}
