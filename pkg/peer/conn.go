package peer

import (
	"errors"
	"net"
	"sync/atomic"
	"time"
)

// traffic counts the bytes of all connections of a transport.
type traffic struct {
	sent     atomic.Int64
	received atomic.Int64
}

// countingConn counts the bytes of a connection and sets a deadline for each write.
type countingConn struct {
	net.Conn
	traffic      *traffic
	writeTimeout time.Duration
}

func (c *countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.traffic.received.Add(int64(n))
	return n, err
}

func (c *countingConn) Write(p []byte) (int, error) {
	if err := c.SetWriteDeadline(time.Now().Add(c.writeTimeout)); err != nil {
		return 0, err
	}
	n, err := c.Conn.Write(p)
	c.traffic.sent.Add(int64(n))
	return n, err
}

var errMessageTooLarge = errors.New("peer message is larger than the limit")

// limitedConn fails a read when more bytes arrive than the limit allows. The limit is
// reset for each message and bounds the memory of one message, because gob accepts
// messages of up to 1 GB.
type limitedConn struct {
	net.Conn
	remaining atomic.Int64
}

func (c *limitedConn) resetLimit(n int64) { c.remaining.Store(n) }

func (c *limitedConn) Read(p []byte) (int, error) {
	if c.remaining.Load() <= 0 {
		return 0, errMessageTooLarge
	}
	n, err := c.Conn.Read(p)
	c.remaining.Add(-int64(n))
	return n, err
}
