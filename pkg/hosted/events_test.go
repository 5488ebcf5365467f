package hosted

import (
	"errors"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// Guards against an engine that sends bytes without end which complete no event.
func TestEndlessEventEndsTheStream(t *testing.T) {
	is := is.New(t)
	var s eventSplitter
	part := []byte(strings.Repeat("x", 8<<10))
	for range 2 * maxEventBytes / len(part) {
		complete, err := s.add(part, func([]byte) error { return nil })
		is.Equal(len(complete), 0)
		if errors.Is(err, errEventTooLarge) {
			is.True(len(s.incomplete) <= maxEventBytes+len(part))
			return
		}
	}
	t.Fatal("no error")
}

// Guards against an end of an event that is missed or found twice because reads split it.
func TestEndOfAnEventIsFoundInAnyParts(t *testing.T) {
	const stream = "\n: comment\n\nid: 1\r\ndata: a\r\n\r\n\r\nid: 2\ndata: b\ndata: c\n\n"
	for first := range len(stream) {
		for second := range len(stream) - first {
			is := is.New(t)
			var s eventSplitter
			var passed []byte
			var events []string
			for _, part := range []string{stream[:first], stream[first : first+second], stream[first+second:]} {
				complete, err := s.add([]byte(part), func(event []byte) error {
					events = append(events, strings.Trim(string(event), "\r\n"))
					return nil
				})
				is.NoErr(err)
				passed = append(passed, complete...)
			}
			is.Equal(string(passed), stream)
			is.Equal(events, []string{"id: 1\r\ndata: a", "id: 2\ndata: b\ndata: c"})
			is.Equal(s.events, 2)
			is.NoErr(s.checkEnd(false))
		}
	}
}
