package ackwatch

import (
	"errors"
	"net"
	"os"
	"sync"
	"time"

	"golang.org/x/sys/unix"
)

// CheckInterval is the interval of samples while a connection is written to.
const CheckInterval = time.Second

// ErrUnresponsive means that the peer has acknowledged nothing for the time limit of the connection.
var ErrUnresponsive = errors.New("the peer does not acknowledge what is sent to it")

// Conn is a connection whose writes fail when its peer is unresponsive. A peer that keeps its window
// closed is bounded by the write deadline only. One goroutine may write or check at a time.
type Conn struct {
	net.Conn
	tcp   *net.TCPConn // nil for another kind of connection
	limit time.Duration
	// sample reads the state of the connection. It reports false where the system does not tell it.
	sample func() (Sample, bool)

	// watch and checkedAt are used by the goroutine that writes or checks.
	watch     Watch
	checkedAt time.Time

	mu       sync.Mutex
	deadline time.Time // of writes, zero for none
}

// New returns a Conn that counts its peer as unresponsive after a time limit. Only TCP connections are
// watched.
func New(conn net.Conn, limit time.Duration) *Conn {
	tcp, _ := conn.(*net.TCPConn)
	return &Conn{Conn: conn, tcp: tcp, limit: limit, sample: func() (Sample, bool) { return readSample(tcp) }, checkedAt: time.Now()}
}

// Write implements net.Conn.
func (c *Conn) Write(p []byte) (int, error) {
	written := 0
	for {
		if err := c.Check(); err != nil {
			return written, err
		}
		if err := c.setWriteDeadline(time.Now().Add(CheckInterval)); err != nil {
			return written, err
		}
		n, err := c.Conn.Write(p[written:])
		written += n
		if written == len(p) || !errors.Is(err, os.ErrDeadlineExceeded) || c.isExpired(time.Now()) {
			return written, err
		}
	}
}

// Check returns ErrUnresponsive once the peer has been unresponsive for the time limit. It samples the
// connection at most once in CheckInterval.
func (c *Conn) Check() error {
	now := time.Now()
	if now.Sub(c.checkedAt) < CheckInterval {
		return nil
	}
	c.checkedAt = now
	if s, ok := c.sample(); ok && c.watch.Observe(now, s) >= c.limit {
		return ErrUnresponsive
	}
	return nil
}

// setWriteDeadline sets the deadline of the next write of the socket, checkAt or the caller's if that is
// earlier.
func (c *Conn) setWriteDeadline(checkAt time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.deadline.IsZero() && c.deadline.Before(checkAt) {
		checkAt = c.deadline
	}
	return c.Conn.SetWriteDeadline(checkAt)
}

func (c *Conn) isExpired(now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return !c.deadline.IsZero() && !now.Before(c.deadline)
}

// SetWriteDeadline implements net.Conn.
func (c *Conn) SetWriteDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.deadline = t
	return c.Conn.SetWriteDeadline(t)
}

// SetDeadline implements net.Conn.
func (c *Conn) SetDeadline(t time.Time) error {
	return errors.Join(c.SetReadDeadline(t), c.SetWriteDeadline(t))
}

// CloseWrite closes the side that sends. net/http uses this method of a TCP connection.
func (c *Conn) CloseWrite() error {
	if c.tcp == nil {
		return nil
	}
	return c.tcp.CloseWrite()
}

// SetLinger is that of a TCP connection.
func (c *Conn) SetLinger(seconds int) error {
	if c.tcp == nil {
		return nil
	}
	return c.tcp.SetLinger(seconds)
}

func readSample(conn *net.TCPConn) (s Sample, ok bool) {
	if conn == nil {
		return Sample{}, false
	}
	raw, err := conn.SyscallConn()
	if err != nil {
		return Sample{}, false
	}
	var info *unix.TCPInfo
	var failure error
	err = raw.Control(func(fd uintptr) { info, failure = unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO) })
	if err != nil || failure != nil {
		return Sample{}, false
	}
	return Sample{
		SinceAck:  time.Duration(info.Last_ack_recv) * time.Millisecond,
		SinceSend: time.Duration(info.Last_data_sent) * time.Millisecond,
		Probes:    int(info.Probes),
	}, true
}

// Listener watches the connections that it accepts.
type Listener struct {
	net.Listener
	// Limit is that of New.
	Limit time.Duration
}

// Accept implements net.Listener.
func (l Listener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return New(conn, l.Limit), nil
}
