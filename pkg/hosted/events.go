package hosted

import "bytes"

// eventSplitter cuts a stream into whole events, which end with an empty line.
type eventSplitter struct{ incomplete []byte }

// add takes in bytes and returns the whole events so far. seen is called with
// each of them.
func (s *eventSplitter) add(part []byte, seen func(event []byte)) []byte {
	s.incomplete = append(s.incomplete, part...)
	end := 0
	for {
		n := bytes.Index(s.incomplete[end:], []byte("\n\n"))
		if n < 0 {
			break
		}
		seen(s.incomplete[end : end+n])
		end += n + 2
	}
	whole := bytes.Clone(s.incomplete[:end])
	s.incomplete = append(s.incomplete[:0], s.incomplete[end:]...)
	return whole
}

// empty reports whether no part of an event is left.
func (s *eventSplitter) empty() bool { return len(s.incomplete) == 0 }
