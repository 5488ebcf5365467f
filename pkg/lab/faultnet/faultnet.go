// Package faultnet injects connection faults into the small fakes: connections
// that go silent for good, and a crash that closes all of them.
package faultnet

import (
	"net"
	"net/http"
	"sync"
	"time"
)

// Server serves a handler over connections with faults.
type Server struct {
	http http.Server

	mu    sync.Mutex
	conns map[*conn]struct{}
}

// NewServer returns a server for the handler.
func NewServer(handler http.Handler) *Server {
	s := &Server{conns: make(map[*conn]struct{})}
	s.http = http.Server{Handler: handler, ReadHeaderTimeout: 10 * time.Second}
	return s
}

// Serve accepts connections until Close.
func (s *Server) Serve(l net.Listener) error { return s.http.Serve(&listener{Listener: l, server: s}) }

// Close closes the listener and all connections.
func (s *Server) Close() error {
	err := s.http.Close()
	s.CloseConns()
	return err
}

// Silence makes all open connections silent for good: what is written to them is
// lost and nothing is read from them, but they stay open. New ones work.
func (s *Server) Silence() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		c.silence()
	}
	return len(s.conns)
}

// CloseConns closes all open connections.
func (s *Server) CloseConns() {
	s.mu.Lock()
	open := make([]*conn, 0, len(s.conns))
	for c := range s.conns {
		open = append(open, c)
	}
	s.mu.Unlock()
	for _, c := range open {
		c.Close()
	}
}

// Open returns the number of open connections.
func (s *Server) Open() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.conns)
}

type listener struct {
	net.Listener
	server *Server
}

func (l *listener) Accept() (net.Conn, error) {
	inner, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	c := &conn{Conn: inner, server: l.server, closed: make(chan struct{}), silent: make(chan struct{})}
	l.server.mu.Lock()
	l.server.conns[c] = struct{}{}
	l.server.mu.Unlock()
	return c, nil
}

type conn struct {
	net.Conn
	server *Server

	once       sync.Once
	closed     chan struct{}
	silentOnce sync.Once
	silent     chan struct{}
}

func (c *conn) silence() { c.silentOnce.Do(func() { close(c.silent) }) }

func (c *conn) isSilent() bool {
	select {
	case <-c.silent:
		return true
	default:
		return false
	}
}

func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if !c.isSilent() {
		return n, err
	}
	<-c.closed
	return 0, net.ErrClosed
}

func (c *conn) Write(p []byte) (int, error) {
	if c.isSilent() {
		return len(p), nil
	}
	return c.Conn.Write(p)
}

func (c *conn) Close() error {
	c.once.Do(func() {
		close(c.closed)
		c.server.mu.Lock()
		delete(c.server.conns, c)
		c.server.mu.Unlock()
	})
	return c.Conn.Close()
}
