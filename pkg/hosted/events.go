package hosted

import "bytes"

// eventSplitter cuts a stream into whole events, which end with an empty line.
type eventSplitter struct{ rest []byte }

// add takes in bytes and returns the whole events so far. seen is called with
// each of them.
func (s *eventSplitter) add(part []byte, seen func(event []byte)) []byte {
	s.rest = append(s.rest, part...)
	end := 0
	for {
		n := bytes.Index(s.rest[end:], []byte("\n\n"))
		if n < 0 {
			break
		}
		seen(s.rest[end : end+n])
		end += n + 2
	}
	whole := bytes.Clone(s.rest[:end])
	s.rest = append(s.rest[:0], s.rest[end:]...)
	return whole
}

// empty reports whether no part of an event is left.
func (s *eventSplitter) empty() bool { return len(s.rest) == 0 }
