package router

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/rhubarbsill/rhubarbsill/pkg/core"
)

// Guards against late callers that are taken for new ones, and the reverse. The route allows 10 s with a
// target of 0.9 s.
func TestHostedLateCallers(t *testing.T) {
	for _, c := range []struct {
		name     string
		path     string
		timeLeft time.Duration
		wait     time.Duration // 0 for a request that is not late
	}{
		{"the whole time is left", "/once/x", 10 * time.Second, 0},
		{"more than the route allows", "/once/x", 30 * time.Second, 0},
		{"the target can still be met", "/once/x", 9500 * time.Millisecond, 0},
		{"the target has passed", "/once/x", 8 * time.Second, 4 * time.Second},
		{"a plain request", "/call/x", 8 * time.Second, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			r := newHostedHarness(t)
			r.sendRequestUntil("1", c.path, c.timeLeft)
			got := r.router.hosted.placeLateUntil(r.router.requests["1"])
			want := core.Instant(0)
			if c.wait > 0 {
				want = r.now.Add(c.wait)
			}
			is.Equal(got, want)
		})
	}
}

// Guards against a late request that starts although its usual run would not end within its time.
func TestHostedLateCallerLeavesTimeForTheRun(t *testing.T) {
	is := is.New(t)
	r := newHostedHarness(t)
	start := r.startStream("0", "/once/x")
	r.now = r.now.Add(6 * time.Second)
	r.step(ResponseCompleted{Request: "0", Attempt: start.Attempt, Status: 200})
	r.sendRequestUntil("1", "/once/x", 8*time.Second)
	is.Equal(r.router.hosted.placeLateUntil(r.router.requests["1"]), r.now.Add(2*time.Second))
}
