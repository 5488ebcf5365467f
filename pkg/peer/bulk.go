package peer

import (
	"context"
	"sync"
	"time"
)

// bulkPeer is the connection for bulk calls to one address. Concurrent calls share it.
type bulkPeer struct {
	semaphore chan struct{} // bounds the pending calls

	mu        sync.Mutex
	conn      *rpcConn
	inUse     int
	idleTimer *time.Timer
}

// FetchRequest is the argument of a bulk call.
type FetchRequest struct {
	Name string
	Body []byte
}

// FetchReply is the reply to a bulk call.
type FetchReply struct{ Body []byte }

// Empty is an empty argument or reply.
type Empty struct{}

// fetchResult is the outcome of a bulk call.
type fetchResult struct {
	body []byte
	err  error
}

// Fetch makes a bulk call to the Instance at an address. Bulk calls use a connection
// of their own and do not delay control messages. The errors are of this package's
// types. When ctx ends early, the call continues until it returns or reaches the call
// timeout, and counts as pending until then: closing the shared connection would
// abort other calls.
func (t *Transport[M]) Fetch(ctx context.Context, addr, name string, request []byte) ([]byte, error) {
	peer, err := t.bulkPeer(addr)
	if err != nil {
		return nil, err
	}
	select {
	case peer.semaphore <- struct{}{}:
	case <-ctx.Done():
		return nil, ErrBusy.Wrap(ctx.Err(), "%d bulk calls to %s are pending", t.opts.MaxFetches, addr)
	case <-t.done:
		return nil, ErrClosed.New("transport is closed")
	}
	result := make(chan fetchResult, 1)
	started := t.spawn(func() {
		defer func() { <-peer.semaphore }()
		result <- t.fetch(peer, addr, FetchRequest{Name: name, Body: request})
	})
	if !started {
		<-peer.semaphore
		return nil, ErrClosed.New("transport is closed")
	}
	select {
	case r := <-result:
		return r.body, r.err
	case <-ctx.Done():
		return nil, ErrTimeout.Wrap(ctx.Err(), "context ended before the reply to a bulk call to %s", addr)
	}
}

func (t *Transport[M]) fetch(peer *bulkPeer, addr string, request FetchRequest) fetchResult {
	body, outcome, err := t.fetchOnce(peer, addr, request)
	if outcome == outcomeNotSent {
		// The shared connection was already closed, for example by a restart of the peer.
		body, _, err = t.fetchOnce(peer, addr, request)
	}
	return fetchResult{body: body, err: err}
}

func (t *Transport[M]) fetchOnce(peer *bulkPeer, addr string, request FetchRequest) ([]byte, callOutcome, error) {
	conn, err := t.acquireBulkConn(peer, addr)
	if err != nil {
		return nil, outcomeUnknown, err
	}
	// Each pending call may receive one reply of maximum size.
	conn.limited.resetLimit(t.opts.MaxMessage * int64(t.opts.MaxFetches))
	var reply FetchReply
	outcome, err := conn.call(t.done, "Peer.Fetch", request, &reply, t.opts.CallTimeout)
	peer.release(conn, outcome == outcomeReplied, t.opts.IdleTimeout)
	if err != nil {
		return nil, outcome, err
	}
	return reply.Body, outcome, nil
}

func (t *Transport[M]) bulkPeer(addr string) (*bulkPeer, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.closed {
		return nil, ErrClosed.New("transport is closed")
	}
	peer, ok := t.bulk[addr]
	if !ok {
		peer = &bulkPeer{semaphore: make(chan struct{}, t.opts.MaxFetches)}
		t.bulk[addr] = peer
	}
	return peer, nil
}

// acquireBulkConn returns the connection of a bulkPeer and connects if there is none.
// The caller calls bulkPeer.release after use.
func (t *Transport[M]) acquireBulkConn(peer *bulkPeer, addr string) (*rpcConn, error) {
	peer.mu.Lock()
	defer peer.mu.Unlock()
	if peer.conn == nil {
		conn, err := t.dial("", addr, classBulk)
		if err != nil {
			return nil, err
		}
		peer.conn = conn
	}
	if peer.idleTimer != nil {
		peer.idleTimer.Stop()
	}
	peer.inUse++
	return peer.conn, nil
}

// release ends the use of a connection, which is closed unless it is reusable. A
// connection without users is closed after idleTimeout.
func (p *bulkPeer) release(conn *rpcConn, reusable bool, idleTimeout time.Duration) {
	if !reusable {
		conn.close()
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.inUse--
	if !reusable && p.conn == conn {
		p.conn = nil
	}
	if p.inUse == 0 {
		p.idleTimer = time.AfterFunc(idleTimeout, p.closeIdle)
	}
}

func (p *bulkPeer) closeIdle() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.inUse == 0 && p.conn != nil {
		p.conn.close()
		p.conn = nil
	}
}
