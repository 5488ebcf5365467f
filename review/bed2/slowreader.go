package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/rhubarbsill/rhubarbsill/platform/standin"
	"github.com/rhubarbsill/rhubarbsill/platform/wire"
)

const (
	// The sizes are within the largest of portwell-mids-grown (130 pieces of 2,400 bytes).
	streamPieces = 130
	pieceBytes   = 1500
	pieceGap     = 10 * time.Millisecond
	// readPause is the time for which a caller takes nothing of its answer.
	readPause = 6700 * time.Millisecond
	// streamTimeout is the time limit of the callers.
	streamTimeout = 14 * time.Second
	// callerBuffer is the receive buffer of a caller: links have small windows.
	callerBuffer = 8 << 10
	slowCallers  = 6
)

// streamEngine is a sound replica that answers with a stream of events.
type streamEngine struct {
	id  string
	gap time.Duration // between two pieces

	mu       sync.Mutex
	finished map[string]string // how the stream of a request ended here
}

// ServeHTTP streams events. It goes on for as long as the instance takes them.
func (e *streamEngine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	w.Header().Set(wire.HeaderInstance, e.id)
	if expected := r.Header.Get(wire.HeaderExpectInstance); expected != "" && expected != e.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		panic(http.ErrAbortHandler)
	}
	id := r.Header.Get(wire.HeaderRequestID)
	w.Header().Set(wire.HeaderRequestID, id)
	w.Header().Set(wire.HeaderSignature, e.id+"."+id)
	if strings.HasPrefix(r.URL.Path, standin.IdempotentPath) {
		_, _ = io.WriteString(w, "proof") // fails only when the instance has gone
		return
	}
	e.end(id, "running")
	w.Header().Set("Content-Type", "text/event-stream")
	for piece := 1; piece <= streamPieces; piece++ {
		head := fmt.Sprintf("id: %d\ndata: ", piece)
		_, err := io.WriteString(w, head+strings.Repeat("x", pieceBytes-len(head)-2)+"\n\n")
		if err == nil {
			err = http.NewResponseController(w).Flush()
		}
		if err != nil {
			e.end(id, fmt.Sprintf("the instance has ended it at piece %d: %v", piece, err))
			panic(http.ErrAbortHandler)
		}
		time.Sleep(e.gap)
	}
	e.end(id, "all pieces handed over")
}

func (e *streamEngine) end(id, how string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.finished[id] = how
}

// startStreamSite starts a platform whose streams that may run only once are those of the returned engine.
func startStreamSite(r *record, dir string, gap time.Duration) (*fleet, *streamEngine, error) {
	f, err := startFleet(r, dir, func(c *wire.Config) {
		for i := range c.Routes {
			if c.Routes[i].Prefix == standin.NonResumableStreamPath {
				c.Routes[i].Service, c.Routes[i].TimeoutMS = standin.PlainService, float64(streamTimeout.Milliseconds())
			}
		}
	})
	if err != nil {
		return nil, nil, err
	}
	engine := &streamEngine{id: "stream-0", gap: gap, finished: map[string]string{}}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err == nil {
		go func() { _ = http.Serve(listener, engine) }() //nolint // ends with the process
		err = f.register(engine.id, listener.Addr().String())
	}
	if err != nil {
		f.close()
		return nil, nil, err
	}
	return f, engine, nil
}

// log writes how the streams have ended at the engine.
func (e *streamEngine) log(r *record) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for id, how := range e.finished {
		r.line("engine: %s: %s", id, how)
	}
}

// slowReader has callers pause while they read a stream that may run only once, around a SIGHUP.
func slowReader(r *record, dir string) (broken bool, err error) {
	f, engine, err := startStreamSite(r, dir, pieceGap)
	if err != nil {
		return false, err
	}
	defer f.close()
	for i := range 3 {
		if _, err := f.addInstance(fmt.Sprintf("entry-%d", i)); err != nil {
			return false, err
		}
	}
	if !waitReady(20*time.Second, f.instances...) {
		return false, fmt.Errorf("the instances are not ready")
	}
	time.Sleep(5 * time.Second) // more than contact_ms
	in := f.instances[0]
	pause := time.Duration(0)
	if isTroubled() {
		pause = readPause
		r.line("PLANNED WORK: SIGHUP to %s", in.name)
		_ = in.cmd.Process.Signal(syscall.SIGHUP)
		time.Sleep(200 * time.Millisecond)
	}
	var mu sync.Mutex
	var callers sync.WaitGroup
	cut := 0
	for i := range slowCallers {
		callers.Go(func() {
			complete, what := readStream(in.caller, i, pause)
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
	r.line("accepted streams whose channel ended without a complete answer: %d of %d, allowed are 0", cut, slowCallers)
	return cut > 0, nil
}

// readStream sends a request on a channel that has served another one before, and reads its stream with a pause
// after the first bytes.
func readStream(addr string, i int, pause time.Duration) (complete bool, what string) {
	dialer := net.Dialer{Timeout: time.Second, Control: func(_, _ string, raw syscall.RawConn) error {
		return raw.Control(func(fd uintptr) {
			_ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, callerBuffer)
		})
	}}
	ctx, cancel := context.WithTimeout(context.Background(), streamTimeout)
	defer cancel()
	conn, err := dialer.DialContext(ctx, "tcp", addr)
	if err != nil {
		return false, err.Error()
	}
	defer func() { _ = conn.Close() }()
	c := &channel{conn: conn, reader: bufio.NewReaderSize(conn, 4<<10)}
	if status, _, err := c.do(newRequest(http.MethodGet, standin.IdempotentPath+"x", "", streamTimeout)); err != nil || status != http.StatusOK {
		return false, fmt.Sprintf("first request on the channel: status=%d, error=%v", status, err)
	}
	r := newRequest(http.MethodPost, standin.NonResumableStreamPath+"x", fmt.Sprint("prompt ", i), streamTimeout)
	began := time.Now()
	if err := r.Write(conn); err != nil {
		return false, err.Error()
	}
	response, err := http.ReadResponse(c.reader, r)
	if err != nil {
		return false, err.Error()
	}
	time.Sleep(pause)
	body, err := io.ReadAll(response.Body)
	id := r.Header.Get(wire.HeaderRequestID)
	what = fmt.Sprintf("%s status=%d pieces=%d of %d after %.1f s, of which %.1f s were the pause, error=%v",
		id, response.StatusCode, strings.Count(string(body), "\n\n"), streamPieces, time.Since(began).Seconds(), pause.Seconds(), err)
	return err == nil && response.StatusCode == http.StatusOK && len(body) == streamPieces*pieceBytes, what
}
