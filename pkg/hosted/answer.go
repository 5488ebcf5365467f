package hosted

import (
	"encoding/json"
	"maps"
	"math"
	"net/http"
	"strconv"
	"time"

	"github.com/rhubarbsill/rhubarbsill/pkg/core"
)

// writeTimeout bounds each write to a caller. A caller that reads nothing for as
// long has gone.
const writeTimeout = 8 * time.Second

// responseWriter writes one responseWriter to a caller.
type responseWriter struct {
	w       http.ResponseWriter
	control *http.ResponseController
	id      core.RequestID
	// idHeader names the header that holds id, empty for none.
	idHeader string
	isLeaving  func() bool
	started    bool
	// complete is set once a complete answer was written.
	complete bool
}

// bufferedResponse is a whole answer of an Upstream that was not passed on yet.
type bufferedResponse struct {
	status int
	header http.Header
	body   []byte
}

func newResponseWriter(w http.ResponseWriter, idHeader string, leaving func() bool) *responseWriter {
	return &responseWriter{w: w, control: http.NewResponseController(w), idHeader: idHeader, isLeaving: leaving}
}

// refuse writes a refusal. An answer that has begun is broken off, so that it
// does not look complete.
func (a *responseWriter) refuse(refusal *core.Refusal) {
	if a.complete {
		return
	}
	if a.started {
		panic(http.ErrAbortHandler)
	}
	body, err := json.Marshal(refusal.Body(a.id))
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	header := http.Header{"Content-Type": {"application/json"}}
	if a.idHeader != "" && a.id != "" {
		header.Set(a.idHeader, string(a.id))
	}
	if refusal.RetryAfter > 0 {
		seconds := math.Ceil(refusal.RetryAfter.Seconds()*10) / 10
		header.Set("Retry-After", strconv.FormatFloat(seconds, 'f', -1, 64))
	}
	a.write(refusal.Code.Status(), header, append(body, '\n'))
}

// sendBuffered passes on a whole answer of an Upstream.
func (a *responseWriter) sendBuffered(kept *bufferedResponse) {
	if a.started || kept == nil {
		panic(http.ErrAbortHandler)
	}
	a.write(kept.status, kept.header, kept.body)
}

func (a *responseWriter) write(status int, header http.Header, body []byte) {
	a.start(status, header, int64(len(body)))
	_, _ = a.w.Write(body) // a caller that has gone is noticed by its context
	a.complete = true
}

// start writes the header of an answer. length is -1 for a stream.
func (a *responseWriter) start(status int, header http.Header, length int64) {
	a.started = true
	maps.Copy(a.w.Header(), header)
	a.w.Header().Del("Content-Length")
	if length >= 0 {
		a.w.Header().Set("Content-Length", strconv.FormatInt(length, 10))
	}
	if a.isLeaving() {
		a.w.Header().Set("Connection", "close")
	}
	a.setDeadline()
	a.w.WriteHeader(status)
}

// sendPart writes and flushes a part of a stream.
func (a *responseWriter) sendPart(part []byte) error {
	a.setDeadline()
	if _, err := a.w.Write(part); err != nil {
		return err
	}
	return a.control.Flush()
}

func (a *responseWriter) setDeadline() {
	// Where deadlines are not supported, the TCP user timeout of the listener holds.
	_ = a.control.SetWriteDeadline(time.Now().Add(writeTimeout))
}
