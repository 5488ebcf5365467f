package core

import (
	"fmt"
	"strconv"
	"strings"
)

// ParseAttemptID parses the result of AttemptID.String. The Instance name may contain dots,
// so the numbers are taken from the end.
func ParseAttemptID(text string) (AttemptID, error) {
	rest, seqText, found := cutLast(text)
	if !found {
		return AttemptID{}, fmt.Errorf("attempt id %q: want instance.incarnation.sequence", text)
	}
	id, incarnationText, found := cutLast(rest)
	if !found || id == "" {
		return AttemptID{}, fmt.Errorf("attempt id %q: want instance.incarnation.sequence", text)
	}
	seq, err := strconv.ParseUint(seqText, 10, 64)
	if err != nil {
		return AttemptID{}, fmt.Errorf("attempt id %q: sequence: %w", text, err)
	}
	incarnation, err := strconv.ParseUint(incarnationText, 10, 64)
	if err != nil {
		return AttemptID{}, fmt.Errorf("attempt id %q: incarnation: %w", text, err)
	}
	owner := InstanceRef{ID: InstanceID(id), Incarnation: Incarnation(incarnation)}
	return AttemptID{Owner: owner, Seq: seq}, nil
}

func cutLast(text string) (before, after string, found bool) {
	i := strings.LastIndexByte(text, '.')
	if i < 0 {
		return "", "", false
	}
	return text[:i], text[i+1:], true
}
