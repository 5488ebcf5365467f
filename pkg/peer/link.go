package peer

import (
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"
)

// link sends the messages for one peer in order, over one control connection.
type link[M any] struct {
	t   *Transport[M]
	key linkKey

	mu    sync.Mutex
	queue []queued[M]
	// nextExpiry is not later than the first expiry in the queue.
	nextExpiry time.Time
	notify     chan struct{}

	// The following fields are used only by the goroutine of run.
	conn          *rpcConn
	lastCall      time.Time
	lastSend      time.Time
	backoff       time.Duration
	failureLogged bool
}

// queued is a message that was not sent yet.
type queued[M any] struct {
	message M
	expiry  time.Time
}

const minBackoff = 50 * time.Millisecond

func newLink[M any](t *Transport[M], key linkKey) *link[M] {
	return &link[M]{t: t, key: key, notify: make(chan struct{}, 1), lastSend: time.Now()}
}

// enqueue adds a message and drops the oldest one when the queue is full. The caller
// holds Transport.mu.
func (l *link[M]) enqueue(m queued[M]) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.dropExpired()
	if len(l.queue) >= l.t.opts.MaxQueuedMessages {
		l.queue[0] = queued[M]{}
		l.queue = l.queue[1:]
		l.t.dropped.Add(1)
	}
	if len(l.queue) == 0 || m.expiry.Before(l.nextExpiry) {
		l.nextExpiry = m.expiry
	}
	l.queue = append(l.queue, m)
	select {
	case l.notify <- struct{}{}:
	default:
	}
}

// dropExpired drops the messages that have expired. What is kept for a peer that is gone is
// bounded by this. The caller holds mu.
func (l *link[M]) dropExpired() {
	now := time.Now()
	before := len(l.queue)
	if before == 0 || now.Before(l.nextExpiry) {
		return
	}
	l.queue = slices.DeleteFunc(l.queue, func(m queued[M]) bool { return !now.Before(m.expiry) })
	l.t.expired.Add(int64(before - len(l.queue)))
	if len(l.queue) == 0 {
		l.queue = nil
		return
	}
	l.nextExpiry = slices.MinFunc(l.queue, func(a, b queued[M]) int { return a.expiry.Compare(b.expiry) }).expiry
}

// dequeueBatch removes and returns the messages for the next call, none if all have expired.
func (l *link[M]) dequeueBatch() []queued[M] {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.dropExpired()
	n := min(len(l.queue), l.t.opts.MaxBatch)
	batch := slices.Clone(l.queue[:n])
	l.queue = l.queue[n:]
	if len(l.queue) == 0 {
		l.queue = nil
	}
	return batch
}

// requeue puts messages that were not sent back at the front of the queue. The oldest
// ones are dropped when the queue has no capacity left for them.
func (l *link[M]) requeue(messages []queued[M]) {
	l.mu.Lock()
	defer l.mu.Unlock()
	capacity := max(0, l.t.opts.MaxQueuedMessages-len(l.queue))
	excess := max(0, len(messages)-capacity)
	l.t.dropped.Add(int64(excess))
	l.queue = append(messages[excess:], l.queue...)
	l.nextExpiry = time.Time{}
}

// empty reports whether no message is left to send.
func (l *link[M]) empty() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.dropExpired()
	return len(l.queue) == 0
}

// run sends queued messages until the transport closes or the link has been idle for
// IdleTimeout.
func (l *link[M]) run() {
	defer l.disconnect()
	timer := time.NewTimer(l.t.opts.PingInterval)
	defer timer.Stop()
	for {
		select {
		case <-l.notify:
			if !l.sendAll() {
				return
			}
		case <-timer.C:
			if l.closeIfIdle() {
				return
			}
			l.ping()
			timer.Reset(l.t.opts.PingInterval)
		case <-l.t.done:
			return
		}
	}
}

// sendAll sends all queued messages in batches. It returns false when the transport
// was closed.
func (l *link[M]) sendAll() bool {
	if !l.sleep(l.t.opts.BatchDelay) {
		return false
	}
	for !l.empty() {
		if err := l.connect(); err != nil {
			if !l.sleep(l.nextBackoff()) {
				return false
			}
			continue
		}
		if batch := l.dequeueBatch(); len(batch) > 0 {
			l.send(batch)
			l.lastSend = time.Now()
		}
	}
	return true
}

// send sends a batch in one call. Messages of a failed call are not retried, because
// the peer may have received them.
func (l *link[M]) send(messages []queued[M]) {
	batch := Batch[M]{Incarnation: l.t.selfRef().Incarnation}
	for _, m := range messages {
		batch.Messages = append(batch.Messages, m.message)
	}
	outcome, err := l.call("Peer.Deliver", batch, l.t.opts.CallTimeout)
	if outcome == outcomeNotSent {
		l.requeue(messages)
		return
	}
	if err != nil {
		l.t.lost.Add(int64(len(messages)))
		l.logFailure(err)
		return
	}
	l.t.messages.Add(int64(len(messages)))
	l.t.batches.Add(1)
}

// ping checks a connection on which there was no call for PingInterval.
func (l *link[M]) ping() {
	if l.conn == nil || time.Since(l.lastCall) < l.t.opts.PingInterval {
		return
	}
	if _, err := l.call("Peer.Ping", Empty{}, l.t.opts.PingTimeout); err != nil {
		l.logFailure(err)
	}
}

func (l *link[M]) call(method string, args any, timeout time.Duration) (callOutcome, error) {
	l.conn.limited.resetLimit(l.t.opts.MaxMessage)
	outcome, err := l.conn.call(l.t.done, method, args, &Empty{}, timeout)
	l.lastCall = time.Now()
	if outcome != outcomeReplied {
		l.disconnect()
	}
	return outcome, err
}

func (l *link[M]) connect() error {
	if l.conn != nil {
		return nil
	}
	conn, err := l.t.dial(l.key.to, l.key.addr, classControl)
	if err != nil {
		l.logFailure(err)
		return err
	}
	l.conn, l.backoff, l.failureLogged = conn, 0, false
	return nil
}

func (l *link[M]) disconnect() {
	if l.conn != nil {
		l.conn.close()
		l.conn = nil
	}
}

// nextBackoff doubles the backoff up to MaxBackoff and returns a random delay between
// half of it and all of it. The jitter prevents all Instances from connecting to a
// restarted peer at the same time.
func (l *link[M]) nextBackoff() time.Duration {
	l.backoff = min(max(minBackoff, 2*l.backoff), l.t.opts.MaxBackoff)
	return l.backoff/2 + rand.N(l.backoff/2+1)
}

// logFailure logs the first failure since the last successful connect.
func (l *link[M]) logFailure(err error) {
	if !l.failureLogged {
		l.failureLogged = true
		l.t.opts.Log.Warn("call to peer failed", zap.String("instance", string(l.key.to)), zap.String("address", l.key.addr), zap.Error(err))
	}
}

// closeIfIdle removes a link that has sent nothing for IdleTimeout and returns true if
// it did. Otherwise each replaced peer would leak a goroutine and a connection.
func (l *link[M]) closeIfIdle() bool {
	if time.Since(l.lastSend) < l.t.opts.IdleTimeout {
		return false
	}
	l.t.mu.Lock()
	defer l.t.mu.Unlock()
	if !l.empty() {
		return false
	}
	delete(l.t.links, l.key)
	return true
}

// sleep waits for d. It returns false when the transport was closed.
func (l *link[M]) sleep(d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-l.t.done:
		return false
	}
}
