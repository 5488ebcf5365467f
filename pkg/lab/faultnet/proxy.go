// Package faultnet is a TCP proxy on loopback that harms the connections through it: it resets
// them, lets them go silent, delays them, and holds the bytes of one direction.
package faultnet

import (
	"io"
	"math/rand/v2"
	"net"
	"sync"
	"time"
)

// Direction is the direction in which bytes pass a Proxy.
type Direction int

// The directions.
const (
	ToTarget Direction = iota
	FromTarget
)

// Proxy forwards connections to a target. It is safe for concurrent use.
type Proxy struct {
	target   string
	listener net.Listener

	mu     sync.Mutex
	rng    *rand.Rand
	conns  map[*pair]bool
	delay  time.Duration
	held   [2]bool
	change chan struct{} // closed at each change of held, delay or a pair
}

// pair is a connection of a client and the one to the target.
type pair struct {
	client, target net.Conn
	silent         bool
	closed         chan struct{}
	closeOnce      sync.Once
}

// New starts a Proxy before a target, HOST:PORT. The caller must close it.
func New(target string, rng *rand.Rand) (*Proxy, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &Proxy{target: target, listener: listener, rng: rng, conns: map[*pair]bool{}, change: make(chan struct{})}
	go p.accept()
	return p, nil
}

// Addr returns the address of the Proxy.
func (p *Proxy) Addr() string { return p.listener.Addr().String() }

// Close ends the Proxy and its connections.
func (p *Proxy) Close() {
	_ = p.listener.Close()
	p.Reset(1)
}

// Reset resets a share of the open connections, at both ends.
func (p *Proxy) Reset(share float64) {
	for _, c := range p.choose(share) {
		c.close(true)
	}
}

// Silence makes a share of the open connections pass nothing more. They stay open.
func (p *Proxy) Silence(share float64) {
	chosen := p.choose(share)
	p.update(func() {
		for _, c := range chosen {
			c.silent = true
		}
	})
}

// Delay delays all bytes from now on.
func (p *Proxy) Delay(d time.Duration) { p.update(func() { p.delay = d }) }

// Hold holds the bytes of one direction, or passes them on again.
func (p *Proxy) Hold(d Direction, held bool) { p.update(func() { p.held[d] = held }) }

func (p *Proxy) update(change func()) {
	p.mu.Lock()
	defer p.mu.Unlock()
	change()
	close(p.change)
	p.change = make(chan struct{})
}

func (p *Proxy) choose(share float64) []*pair {
	p.mu.Lock()
	defer p.mu.Unlock()
	var chosen []*pair
	for c := range p.conns {
		if p.rng.Float64() < share {
			chosen = append(chosen, c)
		}
	}
	return chosen
}

func (p *Proxy) accept() {
	for {
		client, err := p.listener.Accept()
		if err != nil {
			return
		}
		go p.forward(client)
	}
}

func (p *Proxy) forward(client net.Conn) {
	target, err := net.Dial("tcp", p.target)
	if err != nil { // as if nobody listened at this address
		reset(client)
		return
	}
	c := &pair{client: client, target: target, closed: make(chan struct{})}
	p.mu.Lock()
	p.conns[c] = true
	p.mu.Unlock()
	var copies sync.WaitGroup
	copies.Go(func() { p.copy(c, ToTarget, client, target) })
	copies.Go(func() { p.copy(c, FromTarget, target, client) })
	copies.Wait()
	c.close(false)
	p.mu.Lock()
	delete(p.conns, c)
	p.mu.Unlock()
}

// copyBufferBytes is the size of the buffer of one direction.
const copyBufferBytes = 32 << 10

// copy passes on the bytes of one direction until the connection ends.
func (p *Proxy) copy(c *pair, d Direction, from, to net.Conn) {
	buffer := make([]byte, copyBufferBytes)
	for {
		n, err := from.Read(buffer)
		if n > 0 {
			if !p.pass(c, d) {
				return
			}
			if _, err := to.Write(buffer[:n]); err != nil {
				c.close(true)
				return
			}
		}
		if err == io.EOF {
			if p.pass(c, d) {
				_ = to.(*net.TCPConn).CloseWrite() // fails only when the connection has ended
			}
			return
		}
		if err != nil {
			c.close(true)
			return
		}
	}
}

// pass waits until bytes may be passed on. It reports false when the connection has ended.
func (p *Proxy) pass(c *pair, d Direction) bool {
	p.mu.Lock()
	delay := p.delay
	p.mu.Unlock()
	if delay > 0 {
		time.Sleep(delay)
	}
	for {
		p.mu.Lock()
		blocked, change := p.held[d] || c.silent, p.change
		p.mu.Unlock()
		if !blocked {
			return true
		}
		select {
		case <-c.closed:
			return false
		case <-change:
		}
	}
}

// close closes both connections, with a reset if they are to look broken.
func (c *pair) close(broken bool) {
	c.closeOnce.Do(func() {
		close(c.closed)
		if broken {
			reset(c.client)
			reset(c.target)
			return
		}
		_ = c.client.Close()
		_ = c.target.Close()
	})
}

// reset closes a connection by a reset.
func reset(conn net.Conn) {
	_ = conn.(*net.TCPConn).SetLinger(0) // fails only when the connection has ended
	_ = conn.Close()
}
