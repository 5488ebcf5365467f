// Package faultnet injects connection faults into the fakes of the lab: connections
// that become silent permanently, and a crash that closes all of them.
package faultnet

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"
)

// Server serves a handler over connections with injected faults.
type Server struct {
	http http.Server

	mu    sync.Mutex
	conns map[*conn]struct{}
}

// NewServer returns a server for the handler.
func NewServer(handler http.Handler) *Server {
	s := &Server{conns: make(map[*conn]struct{})}
	s.http = http.Server{
		Handler:           handler,
		ReadHeaderTimeout: 10 * time.Second,
		ConnContext: func(ctx context.Context, c net.Conn) context.Context {
			return context.WithValue(ctx, connKey{}, c)
		},
	}
	return s
}

// connKey is the context key of the connection of a request.
type connKey struct{}

// Serve accepts connections until Close.
func (s *Server) Serve(l net.Listener) error { return s.http.Serve(&listener{Listener: l, server: s}) }

// Close closes the listener and all connections.
func (s *Server) Close() error {
	err := s.http.Close()
	s.CloseConns(context.Background())
	return err
}

// Silence makes all open connections silent permanently: data written to them is lost
// and nothing is read from them, but they stay open. New connections work. The
// connection of the request that ctx belongs to is exempt, so that the request that
// sets the fault gets its response after the fault has taken effect.
func (s *Server) Silence(ctx context.Context) {
	for _, c := range s.otherConns(ctx) {
		c.silence()
	}
}

// CloseConns closes all open connections except that of the request that ctx belongs to.
func (s *Server) CloseConns(ctx context.Context) {
	for _, c := range s.otherConns(ctx) {
		c.Close()
	}
}

func (s *Server) otherConns(ctx context.Context) []*conn {
	own, _ := ctx.Value(connKey{}).(*conn)
	s.mu.Lock()
	defer s.mu.Unlock()
	others := make([]*conn, 0, len(s.conns))
	for c := range s.conns {
		if c != own {
			others = append(others, c)
		}
	}
	return others
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

	closeOnce  sync.Once
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
	c.closeOnce.Do(func() {
		close(c.closed)
		c.server.mu.Lock()
		delete(c.server.conns, c)
		c.server.mu.Unlock()
	})
	return c.Conn.Close()
}
