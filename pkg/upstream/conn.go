package upstream

import (
	"crypto/tls"
	"errors"
	"net"
	"net/http/httptrace"
	"sync"
	"time"
)

var errWriteClosed = errors.New("connection was sealed after the request failed")

// trackedConn puts a deadline on each write and knows whether a write has begun.
type trackedConn struct {
	net.Conn
	writeTimeout time.Duration

	mu     sync.Mutex
	writes uint64
	writeClosed bool
}

// Write writes p within the write deadline. It counts the write before the first
// byte leaves, so a count that has not changed proves that nothing was sent.
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

// wroteSince reports whether a write has begun after the count was since. When
// none has, it seals the connection: net/http writes on a goroutine of its own,
// which may still be about to write after the call has returned.
func (c *trackedConn) wroteSince(since uint64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.writes != since {
		return true
	}
	c.writeClosed = true
	return false
}

// sendTracker learns which connections a request was given.
type sendTracker struct {
	mu      sync.Mutex
	uses    []connUse
	untracked bool
}

type connUse struct {
	conn   *trackedConn
	writesBefore  uint64
	reused bool
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
	s.uses = append(s.uses, connUse{conn: tracked, writesBefore: tracked.writeCount(), reused: info.Reused})
}

// reused reports whether the request was given a connection of an earlier one.
func (s *sendTracker) reused() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.uses) > 0 && s.uses[len(s.uses)-1].reused
}

// sent reports whether a byte of the request can have reached the Upstream. After
// it has returned false, none can.
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
