package telemetry

import (
	"bytes"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
)

// blockingSink blocks each write until release is closed.
type blockingSink struct {
	release chan struct{}
	mu      sync.Mutex
	text    bytes.Buffer
}

func (s *blockingSink) Write(p []byte) (int, error) {
	<-s.release
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.text.Write(p)
}

// Guards against writes that block on a blocked log output, and against dropped
// lines that are not counted.
func TestBlockedSinkDropsAndCounts(t *testing.T) {
	is := is.New(t)
	sink := &blockingSink{release: make(chan struct{})}
	q := NewAsyncWriter(sink)
	start := time.Now()
	const lines = queueCapacity + 500
	for range lines {
		_, err := q.Write([]byte("line\n"))
		is.NoErr(err)
	}
	is.True(time.Since(start) < time.Second) // never blocked
	is.True(q.Dropped() >= 499)
	close(sink.release)
	q.Close()
	sink.mu.Lock()
	defer sink.mu.Unlock()
	is.Equal(int64(strings.Count(sink.text.String(), "line\n"))+q.Dropped(), int64(lines))
}

// Guards against a queued line that changes when the caller of Write reuses its
// buffer.
func TestLinesAreCopied(t *testing.T) {
	is := is.New(t)
	sink := &blockingSink{release: make(chan struct{})}
	q := NewAsyncWriter(sink)
	buffer := []byte("first\n")
	_, _ = q.Write(buffer)
	copy(buffer, "other\n")
	close(sink.release)
	q.Close()
	sink.mu.Lock()
	defer sink.mu.Unlock()
	is.Equal(sink.text.String(), "first\n")
}
