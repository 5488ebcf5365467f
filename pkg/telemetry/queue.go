package telemetry

import (
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"
)

// AsyncWriter is a writer that never blocks: lines wait in a bounded queue for the sink
// and are dropped and counted when it is full, so that a blocked log output delays
// no request.
type AsyncWriter struct {
	sink       io.Writer
	lines      chan []byte
	dropped    atomic.Int64
	closing    chan struct{}
	writerDone sync.WaitGroup
}

const (
	// queueCapacity bounds the waiting lines: some seconds of decisions at 50 requests
	// a second.
	queueCapacity = 2048
	// reportInterval is the shortest time between two lines about dropped lines.
	reportInterval = time.Second
	// drainTimeout bounds the wait for the sink at the end.
	drainTimeout = 100 * time.Millisecond
)

// NewAsyncWriter returns an AsyncWriter in front of a sink.
func NewAsyncWriter(sink io.Writer) *AsyncWriter {
	q := &AsyncWriter{sink: sink, lines: make(chan []byte, queueCapacity), closing: make(chan struct{})}
	q.writerDone.Go(q.run)
	return q
}

// Write takes over a copy of the line.
func (q *AsyncWriter) Write(line []byte) (int, error) {
	select {
	case q.lines <- append([]byte(nil), line...):
	default:
		q.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped returns the number of lines that were dropped so far.
func (q *AsyncWriter) Dropped() int64 { return q.dropped.Load() }

// Close writes what waits, for a short time at most.
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
			_, _ = q.sink.Write(line) // there is no other place to report a broken output
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
