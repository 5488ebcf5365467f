package hosted

import (
	"context"
	"errors"
	"fmt"
	"io"
	"mime"
	"net/http"
	"os"
	"strconv"
	"time"

	"github.com/rhubarbsill/rhubarbsill/pkg/router"
	"github.com/rhubarbsill/rhubarbsill/pkg/upstream"
)

// relayBufferSize is the size of one read of a stream.
const relayBufferSize = 8 << 10

// streamRelay passes the stream of one attempt on to the caller.
type streamRelay struct {
	daemon   *Daemon
	active   *activeRequest
	run      upstreamRun
	response *UpstreamResponse
	stall    *stallWatch
	clock    readClock

	// isEvents is set when the answer is a stream of events. Another one is passed on as it comes.
	isEvents bool
	events   eventSplitter
	// reserved is the memory of the event that is not complete.
	reserved *upstream.Reservation
	// charged is what is held for the caller's connection beside the buffer of the relay.
	charged int
	// isUnread is set once the answer was left unread because the caller read slowly, or because
	// memory was short.
	isUnread bool
	// resumed is set when the caller has events of the stream already.
	resumed      bool
	lastPartAt   time.Time
	longestPause time.Duration
}

// relay passes a stream on to the caller. A stream that may be resumed at another Upstream is
// passed on in complete events only. Only a complete event is progress, and only the end of an
// event can be the end of the stream.
func (d *Daemon) relay(ctx context.Context, active *activeRequest, run upstreamRun, response *UpstreamResponse, stall *stallWatch) {
	s := &streamRelay{
		daemon: d, active: active, run: run, response: response, isEvents: isEventStream(response.Header),
		stall: stall, clock: readClock{limit: run.eventTimeout},
		resumed: active.template.LastEventID != "", reserved: d.buffers.Reserve(),
	}
	defer s.reserved.Release()
	conn := active.response.callerConn
	if err := conn.reserve(ctx, relayBufferSize); err != nil {
		s.fail(ctx, err)
		return
	}
	defer func() { conn.release(relayBufferSize + s.charged) }()
	if !s.isEvents && active.response.started {
		s.fail(ctx, errNotAStream)
		return
	}
	active.isOpaque = !s.isEvents
	s.progress()
	buffer := make([]byte, relayBufferSize)
	for {
		n, err := s.read(buffer)
		readAt := time.Now()
		part, failure := s.split(ctx, buffer[:n])
		if failure != nil {
			err = failure
		}
		if len(part) > 0 && s.pass(part) != nil {
			d.post(router.CallerDisconnected{Request: active.id})
			return
		}
		s.isUnread = s.isUnread || time.Since(readAt) >= upstream.MinUnreadTime
		if err == io.EOF {
			if err = s.checkEnd(); err == nil {
				s.complete()
				return
			}
		}
		if err != nil {
			s.fail(ctx, err)
			return
		}
	}
}

// isEventStream reports whether an answer on a streaming route is a stream of events. That is also
// assumed of one without a type and of plain text, since some engines don't name the type.
func isEventStream(header http.Header) bool {
	text := header.Get("Content-Type")
	mediaType, _, _ := mime.ParseMediaType(text)
	return text == "" || mediaType == "text/event-stream" || mediaType == "text/plain"
}

// checkEnd returns an error if the answer must not end here.
func (s *streamRelay) checkEnd() error {
	if !s.isEvents {
		return nil
	}
	// An engine has nothing to add to a stream that is resumed after its last event.
	return s.events.checkEnd(s.resumed && !s.response.UntilClose)
}

// split returns what can be passed on after a part of the stream was read. It waits while other streams
// have too many large events that are not complete.
func (s *streamRelay) split(ctx context.Context, part []byte) ([]byte, error) {
	if !s.isEvents || !s.run.resumable {
		if s.events.scan(part) || !s.isEvents && len(part) > 0 {
			s.progress()
		}
		return part, nil
	}
	size := len(s.events.incomplete) + len(part)
	if err := s.reserved.Resize(ctx, size); err != nil {
		return nil, err
	}
	if size > s.charged {
		if err := s.active.response.callerConn.reserve(ctx, size-s.charged); err != nil {
			return nil, err
		}
		s.charged = size
	}
	complete, err := s.events.add(part, func(event []byte) error {
		return s.active.acceptEvent(s.daemon.adapter.Upstreams.EventID(event), s.resumed)
	})
	if len(complete) > 0 {
		s.progress()
	}
	return complete, err
}

// read waits for the Upstream. Only this time counts against it.
func (s *streamRelay) read(buffer []byte) (int, error) {
	s.response.SetReadDeadline(s.clock.begin(time.Now()))
	n, err := s.stall.reader(s.response).Read(buffer)
	s.clock.end(time.Now())
	return n, err
}

func (s *streamRelay) progress() {
	s.stall.progress()
	s.clock.progress(time.Now())
}

// pass writes a part to the caller, whose response it starts if necessary.
func (s *streamRelay) pass(part []byte) error {
	now := time.Now()
	if s.lastPartAt.IsZero() {
		s.daemon.post(router.FirstToken{Request: s.active.id, Attempt: s.run.attempt})
	} else {
		s.longestPause = max(s.longestPause, now.Sub(s.lastPartAt))
	}
	s.lastPartAt = now
	s.active.response.startStream(s.response)
	return s.active.response.sendPart(part)
}

func (s *streamRelay) complete() {
	s.active.response.startStream(s.response)
	s.active.response.endStream()
	s.active.completed = true
	s.daemon.post(router.ResponseCompleted{
		Request: s.active.id, Attempt: s.run.attempt, Status: s.response.Status,
		LongestPause: s.longestPause, UntilClose: s.response.UntilClose,
	})
}

func (s *streamRelay) fail(ctx context.Context, err error) {
	kind := upstream.Crashed
	if errors.Is(err, os.ErrDeadlineExceeded) {
		kind = upstream.Stalled
	}
	if s.isUnread && kind == upstream.Crashed {
		err = fmt.Errorf("%w: %w", upstream.ErrUnread, err)
	}
	failure := &upstream.Error{Kind: kind, Sent: true, URL: s.run.url, Err: err}
	s.daemon.attemptFailed(ctx, s.active, s.run.attempt, s.run.upstream, failure)
}

var (
	errEventWithoutID = errors.New("an event of a resumed stream has no id")
	errEventRepeated  = errors.New("an event of a resumed stream is not newer than the one before")
	errNotAStream     = errors.New("the answer that would continue a stream is not a stream of events")
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
