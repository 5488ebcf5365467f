package hosted

import (
	"bytes"
	"context"
	"errors"
	"io"
	"os"
	"strconv"
	"time"

	"github.com/rhubarbsill/rhubarbsill/pkg/router"
	"github.com/rhubarbsill/rhubarbsill/pkg/upstream"
)

// relayBufferSize is the size of one read of a stream.
const relayBufferSize = 8 << 10

// relay passes a stream on to the caller. A stream that may be resumed at another Upstream is
// passed on in complete events only. Only a complete event is progress, and only the end of an
// event can be the end of the stream.
func (d *Daemon) relay(ctx context.Context, active *activeRequest, e router.StartDecode, response *UpstreamResponse, stall *stallWatch) {
	var events eventSplitter
	resumed := active.template.LastEventID != ""
	buffer := make([]byte, relayBufferSize)
	var last time.Time
	var longestPause time.Duration
	response.SetReadDeadline(time.Now().Add(e.EventTimeout))
	for {
		n, err := response.Read(buffer)
		part := buffer[:n]
		var progress bool
		if e.Resumable {
			var failure error
			part, failure = events.add(part, func(event []byte) error {
				return active.acceptEvent(d.adapter.Upstreams.EventID(event), resumed && !isComment(event))
			})
			if failure != nil {
				err = failure
			}
			progress = len(part) > 0
		} else {
			progress = events.scan(part)
		}
		if progress {
			stall.progress()
			response.SetReadDeadline(time.Now().Add(e.EventTimeout))
		}
		if len(part) > 0 {
			arrived := time.Now()
			if last.IsZero() {
				d.post(router.FirstToken{Request: active.id, Attempt: e.Attempt})
			} else {
				longestPause = max(longestPause, arrived.Sub(last))
			}
			last = arrived
			active.response.startStream(response)
			if failure := active.response.sendPart(part); failure != nil {
				d.post(router.CallerDisconnected{Request: active.id})
				return
			}
		}
		if err == io.EOF {
			// An engine has nothing to add to a stream that is resumed after its last event.
			err = events.checkEnd(resumed && !response.UntilClose)
			if err == nil {
				active.response.startStream(response)
				active.response.endStream()
				active.completed = true
				d.post(router.ResponseCompleted{
					Request: active.id, Attempt: e.Attempt, Status: response.Status, LongestPause: longestPause, UntilClose: response.UntilClose,
				})
				return
			}
		}
		if err != nil {
			kind := upstream.Crashed
			if errors.Is(err, os.ErrDeadlineExceeded) {
				kind = upstream.Stalled
			}
			d.attemptFailed(ctx, active, e.Attempt, e.Upstream, &upstream.Error{Kind: kind, Sent: true, URL: e.URL, Err: err})
			return
		}
	}
}

var (
	errEventWithoutID = errors.New("an event of a resumed stream has no id")
	errEventRepeated  = errors.New("an event of a resumed stream is not newer than the one before")
	errNotResumable   = errors.New("the stream can't be resumed, because its events have no ids")
)

// acceptEvent checks the id of an event that would be passed on, "" for none, and records it.
func (r *activeRequest) acceptEvent(id string, idRequired bool) error {
	switch {
	case id == "" && idRequired:
		return errEventWithoutID
	case id == "":
		return nil
	case !isNewerEvent(id, r.template.LastEventID):
		return errEventRepeated
	}
	r.template.LastEventID = id
	return nil
}

// isNewerEvent reports whether an event with an id may follow one with the id last. Ids that
// are numbers increase.
func isNewerEvent(id, last string) bool {
	number, err := strconv.ParseUint(id, 10, 64)
	lastNumber, lastErr := strconv.ParseUint(last, 10, 64)
	if err != nil || lastErr != nil {
		return id != last
	}
	return number > lastNumber
}

// isComment reports whether all lines of an event are comments.
func isComment(event []byte) bool {
	for line := range bytes.Lines(event) {
		if line = bytes.TrimRight(line, "\r\n"); len(line) > 0 && line[0] != ':' {
			return false
		}
	}
	return true
}
