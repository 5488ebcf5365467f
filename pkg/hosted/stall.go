package hosted

import (
	"io"
	"math"
	"sync"
	"time"

	"github.com/rhubarbsill/rhubarbsill/pkg/core"
	"github.com/rhubarbsill/rhubarbsill/pkg/router"
)

// readClock measures for how long an Upstream has made no progress. It runs only while this process waits
// for the Upstream: time in which the caller or this process holds an answer up does not count.
type readClock struct {
	limit  time.Duration
	waited time.Duration // since the last progress, without the wait that has begun at begunAt
	// begunAt is the begin of the present wait, zero for none.
	begunAt time.Time
}

// begin starts a wait, and returns the time at which the limit is reached if there is no progress.
func (c *readClock) begin(now time.Time) (expiry time.Time) {
	c.end(now)
	c.begunAt = now
	return now.Add(c.limit - c.waited)
}

// end ends the present wait.
func (c *readClock) end(now time.Time) {
	if !c.begunAt.IsZero() {
		c.waited += now.Sub(c.begunAt)
		c.begunAt = time.Time{}
	}
}

// progress starts to count from zero. It does not end the present wait.
func (c *readClock) progress(now time.Time) {
	c.waited = 0
	if !c.begunAt.IsZero() {
		c.begunAt = now
	}
}

// stallWatch reports an attempt that makes no progress. nil watches nothing.
type stallWatch struct {
	report func()

	mu      sync.Mutex
	clock   readClock
	timer   *time.Timer
	stopped bool
}

// watchForStall reports an attempt each time that it has made no progress for timeout, never
// if that is 0. The process waits for the Upstream from the start.
func (d *Daemon) watchForStall(id core.RequestID, attempt core.AttemptID, timeout time.Duration) *stallWatch {
	if timeout <= 0 {
		return nil
	}
	w := &stallWatch{clock: readClock{limit: timeout}, report: func() { d.post(router.AttemptStalled{Request: id, Attempt: attempt}) }}
	w.timer = time.AfterFunc(math.MaxInt64, w.fire)
	w.beginRead()
	return w
}

func (w *stallWatch) fire() {
	w.mu.Lock()
	// The wait may have ended while the timer fired.
	isStalled := !w.stopped && !w.clock.begunAt.IsZero()
	w.mu.Unlock()
	if isStalled {
		w.report()
		w.progress()
	}
}

// progress starts the time until the next report again.
func (w *stallWatch) progress() {
	if w == nil {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	now := time.Now()
	w.clock.progress(now)
	if !w.stopped && !w.clock.begunAt.IsZero() {
		w.timer.Reset(w.clock.limit)
	}
}

// beginRead lets the time run: the process waits for the Upstream.
func (w *stallWatch) beginRead() {
	if w == nil {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if now := time.Now(); !w.stopped {
		w.timer.Reset(w.clock.begin(now).Sub(now))
	}
}

// endRead stops the time: the process does not wait for the Upstream.
func (w *stallWatch) endRead() {
	if w == nil {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.clock.end(time.Now())
	w.timer.Stop()
}

// reader returns a reader during whose reads the time runs.
func (w *stallWatch) reader(r io.Reader) io.Reader { return watchedReader{r, w} }

type watchedReader struct {
	io.Reader
	watch *stallWatch
}

// Read implements io.Reader.
func (r watchedReader) Read(p []byte) (int, error) {
	r.watch.beginRead()
	defer r.watch.endRead()
	return r.Reader.Read(p)
}

// stop ends the watch.
func (w *stallWatch) stop() {
	if w == nil {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.stopped = true
	w.timer.Stop()
}
