// Package harness3 starts a small site on loopback for the scripts of the third review: instances of
// rhubarbsilld as the deploy file starts them, a store, engines and clients. Everything that is sent,
// answered and run goes into a record.
package harness3

import (
	"bufio"
	"fmt"
	"os"
	"sync"
	"time"
)

// Record writes lines with the time since its start.
type Record struct {
	mu    sync.Mutex
	file  *os.File
	out   *bufio.Writer
	start time.Time
}

// NewRecord creates the record file.
func NewRecord(path string) (*Record, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &Record{file: file, out: bufio.NewWriter(file), start: time.Now()}, nil
}

// Since returns the time since the start of the record.
func (r *Record) Since(t time.Time) time.Duration { return t.Sub(r.start) }

// Add writes a line.
func (r *Record) Add(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.out, "%9.3f ", time.Since(r.start).Seconds())
	fmt.Fprintf(r.out, format, args...)
	r.out.WriteByte('\n')
}

// Close writes what is left.
func (r *Record) Close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	_ = r.out.Flush() // the exit code tells the result as well
	_ = r.file.Close()
}
