package hosted

import (
	"math"
	"sync"
	"time"

	"github.com/rhubarbsill/rhubarbsill/pkg/core"
	"github.com/rhubarbsill/rhubarbsill/pkg/router"
)

// stallWatch reports an attempt that makes no progress. nil watches nothing.
type stallWatch struct {
	timeout time.Duration
	report  func()

	mu      sync.Mutex
	timer   *time.Timer
	stopped bool
}

// watchForStall reports an attempt each time that it has made no progress for timeout, never
// if that is 0.
func (d *Daemon) watchForStall(id core.RequestID, attempt core.AttemptID, timeout time.Duration) *stallWatch {
	if timeout <= 0 {
		return nil
	}
	w := &stallWatch{timeout: timeout, report: func() { d.post(router.AttemptStalled{Request: id, Attempt: attempt}) }}
	w.timer = time.AfterFunc(math.MaxInt64, w.fire)
	w.progress()
	return w
}

func (w *stallWatch) fire() {
	w.report()
	w.progress()
}

// progress starts the time until the next report again.
func (w *stallWatch) progress() {
	if w == nil {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.stopped {
		w.timer.Reset(w.timeout)
	}
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
