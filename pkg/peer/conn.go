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

// countedConn counts bytes, puts a deadline on each write and limits how much a
// message may make the receiver read.
type countedConn struct {
	net.Conn
	traffic      *traffic
	writeTimeout time.Duration
}

func (c *countedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.traffic.received.Add(int64(n))
	return n, err
}

func (c *countedConn) Write(p []byte) (int, error) {
	if err := c.SetWriteDeadline(time.Now().Add(c.writeTimeout)); err != nil {
		return 0, err
	}
	n, err := c.Conn.Write(p)
	c.traffic.sent.Add(int64(n))
	return n, err
}

var errMessageTooLarge = errors.New("peer message is larger than the limit")

// budgetConn fails a read when more bytes arrive than the budget allows. The
// budget is renewed for each message, so it bounds the memory of one message: gob
// by itself accepts up to 1 GB.
type budgetConn struct {
	net.Conn
	left atomic.Int64
}

func (c *budgetConn) renew(n int64) { c.left.Store(n) }

func (c *budgetConn) Read(p []byte) (int, error) {
	if c.left.Load() <= 0 {
		return 0, errMessageTooLarge
	}
	n, err := c.Conn.Read(p)
	c.left.Add(-int64(n))
	return n, err
}
