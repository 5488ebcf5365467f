package core

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// Guards against an attempt ID that can't be parsed when the Instance name contains dots.
func TestAttemptIDRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		id := AttemptID{
			Owner: InstanceRef{
				ID:          InstanceID(rapid.StringMatching(`[a-z0-9.\-]{1,20}`).Draw(t, "instance")),
				Incarnation: Incarnation(rapid.Uint64().Draw(t, "incarnation")),
			},
			Seq: rapid.Uint64().Draw(t, "seq"),
		}
		got, err := ParseAttemptID(id.String())
		if err != nil || got != id {
			t.Fatalf("got %v, %v; want %v", got, err, id)
		}
	})
}

// Guards against a deadline that wraps around to the past.
func TestInstantAddSaturates(t *testing.T) {
	is := is.New(t)
	is.Equal(Never.Add(time.Second), Never)
	is.Equal((Never - 1).Add(time.Hour), Never)
	is.Equal(Instant(5).Add(-3), Instant(2))
}

// Guards against a refusal code without an HTTP status.
func TestUnknownCodeIsServerError(t *testing.T) {
	is := is.New(t)
	is.Equal(CodeOverRate.Status(), 429)
	is.Equal(Code("no such code").Status(), 500)
}
