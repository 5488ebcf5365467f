package hosted

import (
	"bytes"
	"errors"
)

// maxEventBytes bounds one event of a stream that is passed on in complete events.
const maxEventBytes = 1 << 20

var errEventTooLarge = errors.New("an event of the stream is too large")

// eventSplitter splits a stream into complete events, which end with an empty line.
type eventSplitter struct{ incomplete []byte }

// add appends part to the stream and returns the events that it completes, as they
// were received. It calls onEvent with each of them, without its empty line. It fails when
// an event has more than maxEventBytes.
func (s *eventSplitter) add(part []byte, onEvent func(event []byte)) ([]byte, error) {
	s.incomplete = append(s.incomplete, part...)
	end := 0
	for {
		n, separator := nextEventEnd(s.incomplete[end:])
		if n < 0 {
			break
		}
		onEvent(s.incomplete[end : end+n])
		end += n + separator
	}
	complete := bytes.Clone(s.incomplete[:end])
	s.incomplete = append(s.incomplete[:0], s.incomplete[end:]...)
	if len(s.incomplete) > maxEventBytes {
		return complete, errEventTooLarge
	}
	return complete, nil
}

// nextEventEnd returns the length of the first event and of the line ends after it, -1
// without a complete event.
func nextEventEnd(text []byte) (length, separator int) {
	length = bytes.Index(text, []byte("\n\n"))
	withReturn := bytes.Index(text, []byte("\n\r\n"))
	if withReturn >= 0 && (length < 0 || withReturn < length) {
		return withReturn, len("\n\r\n")
	}
	return length, len("\n\n")
}

// empty reports whether the stream ends with a complete event.
func (s *eventSplitter) empty() bool { return len(s.incomplete) == 0 }

// eventBoundary finds out whether a stream that is passed on as it arrives ends with a
// complete event.
type eventBoundary struct {
	inEvent  bool
	lineEnds int // at the end of the stream so far
}

// add appends part to the stream. It reports whether that completes an event.
func (b *eventBoundary) add(part []byte) bool {
	end, _ := nextEventEnd(part)
	wasInEvent := b.inEvent
	text := bytes.TrimRight(part, "\r\n")
	if len(text) > 0 {
		b.inEvent, b.lineEnds = true, 0
	}
	b.lineEnds += bytes.Count(part[len(text):], []byte("\n"))
	if b.lineEnds >= 2 {
		b.inEvent = false
	}
	return end >= 0 || wasInEvent && !b.inEvent
}
