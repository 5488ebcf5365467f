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
		complete, err := s.add(part, func([]byte) {})
		is.Equal(len(complete), 0)
		if errors.Is(err, errEventTooLarge) {
			is.True(len(s.incomplete) <= maxEventBytes+len(part))
			return
		}
	}
	t.Fatal("no error")
}
