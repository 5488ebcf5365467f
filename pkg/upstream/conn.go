package upstream

import (
	"crypto/tls"
	"errors"
	"net"
	"net/http/httptrace"
	"sync"
	"time"
)

var errWriteClosed = errors.New("connection was closed for writing after the request failed")

// trackedConn sets a deadline for each write and counts the writes that have begun.
type trackedConn struct {
	net.Conn
	writeTimeout time.Duration

	mu          sync.Mutex
	writes      uint64
	writeClosed bool
}

// Write writes p within the write timeout. It counts the write before sending the
// first byte, so an unchanged count proves that nothing was sent.
func (c *trackedConn) Write(p []byte) (int, error) {
	c.mu.Lock()
	if c.writeClosed {
		c.mu.Unlock()
		return 0, errWriteClosed
	}
	c.writes++
	c.mu.Unlock()
	if err := c.SetWriteDeadline(time.Now().Add(c.writeTimeout)); err != nil {
		return 0, err
	}
	return c.Conn.Write(p)
}

func (c *trackedConn) writeCount() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.writes
}

// wroteSince reports whether a write has begun since writeCount returned count. If
// none has, it closes the connection for writing: net/http writes on a goroutine of
// its own, which may still be about to write after the call has returned.
func (c *trackedConn) wroteSince(count uint64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.writes != count {
		return true
	}
	c.writeClosed = true
	return false
}

// sendTracker records the connections that a request was given.
type sendTracker struct {
	mu        sync.Mutex
	uses      []connUse
	untracked bool
}

type connUse struct {
	conn         *trackedConn
	writesBefore uint64
}

func (s *sendTracker) gotConn(info httptrace.GotConnInfo) {
	s.mu.Lock()
	defer s.mu.Unlock()
	conn := info.Conn
	if secure, ok := conn.(*tls.Conn); ok {
		conn = secure.NetConn()
	}
	tracked, ok := conn.(*trackedConn)
	if !ok {
		s.untracked = true
		return
	}
	s.uses = append(s.uses, connUse{conn: tracked, writesBefore: tracked.writeCount()})
}

// sent reports whether a byte of the request can have reached the Upstream. When it
// returns false, it has closed the connections for writing, so that none can later.
func (s *sendTracker) sent() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	sent := s.untracked
	for _, use := range s.uses {
		if use.conn.wroteSince(use.writesBefore) {
			sent = true
		}
	}
	return sent
}
