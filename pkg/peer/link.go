package peer

import (
	"math/rand/v2"
	"sync"
	"time"

	"go.uber.org/zap"
)

// link sends the messages for one peer in order, over one control connection.
type link[M any] struct {
	t   *Transport[M]
	key linkKey

	mu     sync.Mutex
	queue  []M
	notify chan struct{}

	// These belong to the goroutine of run.
	conn          *rpcConn
	lastCall      time.Time
	lastSend      time.Time
	backoff       time.Duration
	failureLogged bool
}

const minBackoff = 50 * time.Millisecond

func newLink[M any](t *Transport[M], key linkKey) *link[M] {
	return &link[M]{t: t, key: key, notify: make(chan struct{}, 1), lastSend: time.Now()}
}

// enqueue queues a message. The caller holds Transport.mu.
func (l *link[M]) enqueue(m M) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.queue) >= l.t.opts.MaxQueuedMessages {
		var none M
		l.queue[0] = none
		l.queue = l.queue[1:]
		l.t.dropped.Add(1)
	}
	l.queue = append(l.queue, m)
	select {
	case l.notify <- struct{}{}:
	default:
	}
}

// dequeueBatch removes the next messages for one call.
func (l *link[M]) dequeueBatch() []M {
	l.mu.Lock()
	defer l.mu.Unlock()
	n := min(len(l.queue), l.t.opts.MaxBatch)
	batch := append([]M(nil), l.queue[:n]...)
	l.queue = l.queue[n:]
	if len(l.queue) == 0 {
		l.queue = nil
	}
	return batch
}

// requeue returns messages that were not sent to the front of the queue. The
// oldest are dropped when the queue has filled up meanwhile.
func (l *link[M]) requeue(messages []M) {
	l.mu.Lock()
	defer l.mu.Unlock()
	room := max(0, l.t.opts.MaxQueuedMessages-len(l.queue))
	excess := max(0, len(messages)-room)
	l.t.dropped.Add(int64(excess))
	l.queue = append(messages[excess:], l.queue...)
}

func (l *link[M]) empty() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.queue) == 0
}

// run sends until the transport closes or the link has been idle for long.
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

// sendAll sends the queue in batches. It returns false when the transport closed.
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
		l.send(l.dequeueBatch())
	}
	l.lastSend = time.Now()
	return true
}

// send makes one call. Messages of a failed call are not sent again, because the
// peer may have received them.
func (l *link[M]) send(messages []M) {
	batch := Batch[M]{Incarnation: l.t.selfRef().Incarnation, Messages: messages}
	fate, err := l.call("Peer.Deliver", batch, l.t.opts.CallTimeout)
	if fate == outcomeNotSent {
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

// ping checks a connection that has not been used for a while.
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
	fate, err := l.conn.call(l.t.done, method, args, &Empty{}, timeout)
	l.lastCall = time.Now()
	if fate != outcomeReplied {
		l.disconnect()
	}
	return fate, err
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

// nextBackoff doubles the wait up to the limit. Between half and all of it is
// waited, so that Instances do not connect to a restarted peer all at once.
func (l *link[M]) nextBackoff() time.Duration {
	l.backoff = min(max(minBackoff, 2*l.backoff), l.t.opts.MaxBackoff)
	return l.backoff/2 + rand.N(l.backoff/2+1)
}

// logFailure logs the first failure of a series.
func (l *link[M]) logFailure(err error) {
	if !l.failureLogged {
		l.failureLogged = true
		l.t.opts.Log.Warn("call to peer failed", zap.String("instance", string(l.key.to)), zap.String("address", l.key.addr), zap.Error(err))
	}
}

// closeIfIdle ends a link that has sent nothing for IdleTimeout. A replaced peer must not
// leave a goroutine and a connection behind.
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
