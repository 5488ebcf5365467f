package main

import (
	"bytes"
	"fmt"
	"os"
	"sync"
	"time"
)

const (
	// midReadPause is longer than the time without an event after which an instance ends a stream, and
	// shorter than the pause of the case slow-reader.
	midReadPause = 5600 * time.Millisecond
	// quickGap lets an engine hand its stream over before the pause has lasted long.
	quickGap = time.Millisecond
)

// midReader has callers pause while they read a stream that may run only once. The engine never pauses.
func midReader(r *record, dir string) (broken bool, err error) {
	f, engine, err := startStreamSite(r, dir, quickGap)
	if err != nil {
		return false, err
	}
	defer f.close()
	for i := range machines {
		if _, err := f.addInstance(fmt.Sprintf("entry-%d", i)); err != nil {
			return false, err
		}
	}
	if !waitReady(20*time.Second, f.instances...) {
		return false, fmt.Errorf("the instances are not ready")
	}
	time.Sleep(contactTime)
	pause := time.Duration(0)
	if isTroubled() {
		pause = midReadPause
		r.line("DISRUPTION: the callers take nothing for %s", pause)
	}
	var mu sync.Mutex
	var callers sync.WaitGroup
	cut := 0
	for i := range slowCallers {
		callers.Go(func() {
			complete, what := readStream(f.instances[0].caller, i, pause)
			mu.Lock()
			defer mu.Unlock()
			if !complete {
				cut++
			}
			r.line("caller %d: complete=%t, %s", i, complete, what)
		})
	}
	callers.Wait()
	engine.log(r)
	time.Sleep(time.Second) // the log is written by another goroutine
	logFailedCalls(r, f.instances[0])
	r.line("streams passed on to a sound engine whose kept channel was closed without a complete answer: %d of %d, allowed are %d",
		cut, slowCallers, allowedCuts)
	return cut > allowedCuts, nil
}

// logFailedCalls writes the log lines of an instance on its calls to engines.
func logFailedCalls(r *record, in *instance) {
	text, _ := os.ReadFile(in.log) // without the file there are no lines
	for line := range bytes.Lines(text) {
		if bytes.Contains(line, []byte("call failed")) {
			r.line("log of %s: %s", in.name, bytes.TrimSpace(line))
		}
	}
}
