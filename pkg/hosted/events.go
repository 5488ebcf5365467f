package hosted

import "bytes"

// eventSplitter splits a stream into complete events, which end with an empty line.
type eventSplitter struct{ incomplete []byte }

// add appends part to the stream and returns the events that it completes, as they
// were received. It calls onEvent with each of them, without its empty line.
func (s *eventSplitter) add(part []byte, onEvent func(event []byte)) []byte {
	s.incomplete = append(s.incomplete, part...)
	end := 0
	for {
		n := bytes.Index(s.incomplete[end:], []byte("\n\n"))
		if n < 0 {
			break
		}
		onEvent(s.incomplete[end : end+n])
		end += n + 2
	}
	complete := bytes.Clone(s.incomplete[:end])
	s.incomplete = append(s.incomplete[:0], s.incomplete[end:]...)
	return complete
}

// empty reports whether the stream ends with a complete event.
func (s *eventSplitter) empty() bool { return len(s.incomplete) == 0 }
