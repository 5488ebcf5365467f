package hosted

import (
	"context"
	"encoding/json"
	"maps"
	"math"
	"net"
	"net/http"
	"strconv"
	"time"

	"github.com/rhubarbsill/rhubarbsill/pkg/core"
)

// responseWriter writes one response to a caller.
type responseWriter struct {
	w       http.ResponseWriter
	control *http.ResponseController
	id      core.RequestID
	// idHeader names the header that holds id, empty for none.
	idHeader  string
	isLeaving func() bool
	started   bool
	// conn is set for a caller to whom the end of the connection is that of a stream. It is
	// closed with a reset unless the stream is complete, also when the process ends.
	conn lingerer
	// callerConn is the connection of the caller, nil in tests without one.
	callerConn *callerConn
	// complete is set once a buffered response was written.
	complete bool
	// isHEAD is set for a HEAD request, whose response has no body but may state the length of one.
	isHEAD bool
}

// lingerer is a connection whose close can be made a reset.
type lingerer interface {
	SetLinger(seconds int) error
}

// bufferedResponse is a complete response of an Upstream that has not been passed on.
type bufferedResponse struct {
	status int
	header http.Header
	body   []byte
}

func newResponseWriter(w http.ResponseWriter, idHeader string, leaving func() bool) *responseWriter {
	return &responseWriter{w: w, control: http.NewResponseController(w), idHeader: idHeader, isLeaving: leaving}
}

// refuse writes a refusal. A response that has started is aborted instead, so that it
// does not look complete.
func (rw *responseWriter) refuse(refusal *core.Refusal) {
	if rw.complete {
		return
	}
	if rw.started {
		rw.abort()
	}
	body, err := json.Marshal(refusal.Body(rw.id))
	if err != nil {
		rw.abort()
	}
	header := http.Header{"Content-Type": {"application/json"}}
	if rw.idHeader != "" && rw.id != "" {
		header.Set(rw.idHeader, string(rw.id))
	}
	if refusal.RetryAfter > 0 {
		seconds := math.Ceil(refusal.RetryAfter.Seconds()*10) / 10
		header.Set("Retry-After", strconv.FormatFloat(seconds, 'f', -1, 64))
	}
	rw.write(refusal.Code.Status(), header, append(body, '\n'))
}

// connKey is the key of the connection in the context of a request.
type connKey struct{}

// withConn returns the context of the requests of a connection.
func withConn(ctx context.Context, conn net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, conn)
}

// forRequest sets what depends on the request and the protocol of its caller.
func (rw *responseWriter) forRequest(r *http.Request) *responseWriter {
	rw.isHEAD = r.Method == http.MethodHead
	rw.callerConn = connOf(r.Context())
	if rw.callerConn != nil && !r.ProtoAtLeast(1, 1) {
		rw.conn, _ = rw.callerConn.Conn.(lingerer)
	}
	return rw
}

// limitUnreadBody bounds the time in which the rest of a body is read that is not used. net/http reads up
// to 256 KiB of it before and after the answer.
func (rw *responseWriter) limitUnreadBody() {
	_ = rw.control.SetReadDeadline(time.Now().Add(refusalLinger)) // fails only without a connection
}

// abort ends the handler without a complete response.
func (rw *responseWriter) abort() { panic(http.ErrAbortHandler) }

// setResetOnClose sets whether the connection of a caller without chunks is closed with a
// reset.
func (rw *responseWriter) setResetOnClose(reset bool) {
	if rw.conn == nil {
		return
	}
	linger := -1
	if reset {
		linger = 0
	}
	_ = rw.conn.SetLinger(linger) // fails only on a closed connection
}

// sendBuffered passes on a complete response of an Upstream.
func (rw *responseWriter) sendBuffered(buffered *bufferedResponse) {
	if rw.started || buffered == nil {
		rw.abort()
	}
	rw.write(buffered.status, buffered.header, buffered.body)
}

func (rw *responseWriter) write(status int, header http.Header, body []byte) {
	rw.start(status, header, int64(len(body)))
	_, _ = rw.w.Write(body) // the request context ends when the caller disconnects
	rw.complete = true
}

// start writes the header of a response. length is -1 for a stream.
func (rw *responseWriter) start(status int, header http.Header, length int64) {
	rw.started = true
	maps.Copy(rw.w.Header(), header)
	if !rw.isHEAD {
		rw.w.Header().Del("Content-Length")
		if length >= 0 {
			rw.w.Header().Set("Content-Length", strconv.FormatInt(length, 10))
		}
	}
	if rw.isLeaving() {
		rw.w.Header().Set("Connection", "close")
	}
	rw.w.WriteHeader(status)
}

// startStream writes the header of a stream, unless a response has started.
func (rw *responseWriter) startStream(response *UpstreamResponse) {
	if !rw.started {
		rw.setResetOnClose(true)
		rw.start(response.Status, response.Header, -1)
	}
}

// endStream marks a stream as complete. All of its parts have been written.
func (rw *responseWriter) endStream() { rw.setResetOnClose(false) }

// sendPart writes and flushes a part of a stream.
func (rw *responseWriter) sendPart(part []byte) error {
	if _, err := rw.w.Write(part); err != nil {
		return err
	}
	return rw.control.Flush()
}
