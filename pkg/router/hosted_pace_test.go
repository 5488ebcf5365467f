package router

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/rhubarbsill/rhubarbsill/pkg/announce"
	"github.com/rhubarbsill/rhubarbsill/pkg/core"
	"github.com/rhubarbsill/rhubarbsill/pkg/pace"
)

// Guards against stated loads and durations of answers that do not reach the choice of Upstreams.
func TestAnswersTeachThePaceOfUpstreams(t *testing.T) {
	is := is.New(t)
	r := newHostedHarness(t)
	for range 4 {
		r.step(UpstreamAnswered{
			Source:       announce.Source{Upstream: "s1", Addr: "s1:1", SentAt: r.now},
			Announcement: announce.Announcement{Load: pace.Load{Stated: true, Running: 1, Places: 8, Pace: 4}},
		})
	}
	for _, id := range []string{"1", "2", "3"} {
		r.sendRequest(id, "/call/")
		is.Equal(wantEffect[StartCall](r).Upstream, core.UpstreamID("s2"))
	}

	r = newHostedHarness(t)
	for range 40 { // s1 takes five times as long, and states nothing
		r.sendRequest("a", "/call/")
		call := wantEffect[StartCall](r)
		took := 20 * time.Millisecond
		if call.Upstream == "s1" {
			took *= 5
		}
		r.now = r.now.Add(took)
		r.step(ResponseCompleted{Request: "a", Attempt: call.Attempt, Status: 200})
	}
	r.sendRequest("b", "/call/")
	is.Equal(wantEffect[StartCall](r).Upstream, core.UpstreamID("s2"))
	spreads := r.router.HostedGauges(r.now).Paces
	is.True(len(spreads) == 3 && spreads[2].Slowest > spreads[2].Fastest)
}
