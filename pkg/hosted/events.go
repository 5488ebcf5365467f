package hosted

import (
	"bytes"
	"errors"
)

// maxEventBytes bounds one event of a stream that is passed on in complete events.
const maxEventBytes = 1 << 20

var (
	errEventTooLarge   = errors.New("an event of the stream is too large")
	errEndsInsideEvent = errors.New("the stream ends inside an event")
	errEndsBeforeEvent = errors.New("the stream ends before its first event")
)

// eventScanner finds the events of a stream of server-sent events. An empty line ends each of
// them; lines end in LF or CR LF.
type eventScanner struct {
	// inEvent is set between the first byte of an event and the end of its empty line.
	inEvent bool
	// events counts the complete events, comments left out.
	events int

	inLine   bool // the current line has a byte other than CR
	hasField bool // the current event has a line that is no comment
}

// next reads part up to the end of the next event and returns the length that it has read, -1
// when part completes no event. Comments count as events here.
func (s *eventScanner) next(part []byte) int {
	for i, b := range part {
		switch {
		case b == '\r':
		case b != '\n':
			s.hasField = s.hasField || !s.inLine && b != ':'
			s.inEvent, s.inLine = true, true
		case s.inLine:
			s.inLine = false
		case s.inEvent:
			s.endEvent()
			return i + 1
		}
	}
	return -1
}

func (s *eventScanner) endEvent() {
	if s.hasField {
		s.events++
	}
	s.inEvent, s.hasField = false, false
}

// scan reads part and reports whether it completes an event.
func (s *eventScanner) scan(part []byte) bool {
	found := false
	for {
		n := s.next(part)
		if n < 0 {
			return found
		}
		found = true
		part = part[n:]
	}
}

// checkEnd returns an error if the stream must not end here. A stream without events is complete
// only if mayBeEmpty is set.
func (s *eventScanner) checkEnd(mayBeEmpty bool) error {
	switch {
	case s.inEvent:
		return errEndsInsideEvent
	case s.events == 0 && !mayBeEmpty:
		return errEndsBeforeEvent
	}
	return nil
}

// eventSplitter splits a stream into complete events.
type eventSplitter struct {
	eventScanner
	incomplete []byte
}

// add appends part to the stream and returns the events that it completes, as they were
// received. It calls onEvent with each of them but comments and stops at the first error: the
// event that caused it and what follows are not returned. It fails when an event has more than
// maxEventBytes.
func (s *eventSplitter) add(part []byte, onEvent func(event []byte) error) ([]byte, error) {
	scanned := len(s.incomplete)
	s.incomplete = append(s.incomplete, part...)
	end := 0
	var failure error
	for failure == nil {
		eventsBefore := s.events
		n := s.next(s.incomplete[scanned:])
		if n < 0 {
			break
		}
		scanned += n
		if s.events > eventsBefore {
			failure = onEvent(s.incomplete[end:scanned])
		}
		if failure == nil {
			end = scanned
		}
	}
	if !s.inEvent && failure == nil {
		end = len(s.incomplete) // empty lines between events
	}
	complete := bytes.Clone(s.incomplete[:end])
	s.incomplete = append(s.incomplete[:0], s.incomplete[end:]...)
	if failure == nil && len(s.incomplete) > maxEventBytes {
		failure = errEventTooLarge
	}
	return complete, failure
}
