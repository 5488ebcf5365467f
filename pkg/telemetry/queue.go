package telemetry

import (
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"
)

// AsyncWriter is an io.Writer that never blocks, so that a blocked log output
// delays no request. Lines wait for the sink in a bounded queue; while it is full,
// lines are dropped and counted.
type AsyncWriter struct {
	sink       io.Writer
	lines      chan []byte
	dropped    atomic.Int64
	closing    chan struct{}
	writerDone sync.WaitGroup
}

const (
	// queueCapacity is the capacity of the queue in lines: enough for some seconds
	// of routing decisions at 50 requests per second.
	queueCapacity = 2048
	// reportInterval is the minimum time between two lines about dropped lines.
	reportInterval = time.Second
	// drainTimeout bounds the wait for the sink in Close.
	drainTimeout = 100 * time.Millisecond
)

// NewAsyncWriter returns an AsyncWriter that writes to sink on its own goroutine.
func NewAsyncWriter(sink io.Writer) *AsyncWriter {
	q := &AsyncWriter{sink: sink, lines: make(chan []byte, queueCapacity), closing: make(chan struct{})}
	q.writerDone.Go(q.run)
	return q
}

// Write queues a copy of the line. It always reports success.
func (q *AsyncWriter) Write(line []byte) (int, error) {
	select {
	case q.lines <- append([]byte(nil), line...):
	default:
		q.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped returns the number of lines dropped so far.
func (q *AsyncWriter) Dropped() int64 { return q.dropped.Load() }

// Close writes the queued lines and waits for the sink for at most drainTimeout.
// It must not be called twice.
func (q *AsyncWriter) Close() {
	close(q.closing)
	done := make(chan struct{})
	go func() {
		q.writerDone.Wait()
		close(done)
	}()
	select {
	case <-done:
	case <-time.After(drainTimeout):
	}
}

func (q *AsyncWriter) run() {
	reported := int64(0)
	last := time.Now()
	for {
		select {
		case line := <-q.lines:
			_, _ = q.sink.Write(line) // there is no other output for the error
		case <-q.closing:
			for len(q.lines) > 0 {
				_, _ = q.sink.Write(<-q.lines)
			}
			return
		}
		if n := q.dropped.Load(); n > reported && time.Since(last) > reportInterval {
			_, _ = fmt.Fprintf(q.sink, "{\"level\":\"warn\",\"msg\":\"log: lines dropped\",\"count\":%d}\n", n-reported)
			reported = n
			last = time.Now()
		}
	}
}
