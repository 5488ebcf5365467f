package router

import (
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/rhubarbsill/rhubarbsill/pkg/announce"
	"github.com/rhubarbsill/rhubarbsill/pkg/catalog"
	"github.com/rhubarbsill/rhubarbsill/pkg/config"
	"github.com/rhubarbsill/rhubarbsill/pkg/core"
)

// newColdHarness returns a harness whose services may be cold, long after the start of the Instance.
func newColdHarness(t *testing.T) *hostedHarness {
	r := newHostedHarness(t)
	routing := *hostedRouting(2)
	for i := range routing.Services {
		routing.Services[i].ColdRate, routing.Services[i].ColdTime = 4, 30*time.Second
	}
	r.step(RoutingReceived{Routing: config.NewRouting(routing), Revision: storeRevision(11)})
	r.step(MembersListed{Complete: true})
	r.now = r.now.Add(time.Minute)
	return r
}

// change makes the store deliver a changed entry.
func (r *hostedHarness) change(revision int, up catalog.Upstream, coldFor time.Duration) {
	up.ColdFor = coldFor
	r.step(UpstreamsChanged{Revision: storeRevision(revision), Changes: []catalog.Change{{ID: up.ID, Upstream: &up}}})
}

// Guards against runs that reach an engine which has become cold since it granted their holds.
func TestHostedEngineThatBecomesColdGetsNoRunsOfEarlierHolds(t *testing.T) {
	is := is.New(t)
	r := newColdHarness(t)
	holds := map[core.UpstreamID][]AcquireHold{}
	for _, id := range []string{"1", "2", "3", "4", "5", "6", "7", "8"} {
		r.sendRequest(id, "/resumable/")
		hold := wantEffect[AcquireHold](r)
		holds[hold.Upstream] = append(holds[hold.Upstream], hold)
	}
	up := r.upstreams[1]
	r.change(20, up, 10*time.Second)
	runs := 0
	for _, hold := range holds[up.ID] {
		r.step(HoldResult{Request: hold.Request, Attempt: hold.Attempt, Upstream: up.ID, Addr: up.Addr, Outcome: HoldGranted, Hold: "h"})
		prefill := wantEffect[StartPrefill](r)
		for _, effect := range r.step(PrefillDone{Request: hold.Request, Attempt: prefill.Attempt, Upstream: "p1", Addr: "p1:1", KV: "kv"}) {
			switch e := effect.(type) {
			case StartDecode:
				is.Equal(e.Upstream, up.ID)
				runs++
			case ReleaseHold:
				t.Fatal("the cold engine gets the release of a hold")
			case Refuse:
				t.Fatal("the request was refused although another engine is warm")
			}
		}
	}
	is.True(len(holds[up.ID]) > 2)
	is.Equal(runs, 2) // half of four: each place is for a hold and a run
}

// Guards against prompts that are prefilled twice because an engine has become cold that can have few
// holds, against holds that stay there unused, and against runs of holds that an earlier process granted.
func TestHostedEngineThatBecomesColdGetsRunsThatFitIntoItsLimit(t *testing.T) {
	is := is.New(t)
	r := newColdHarness(t)
	routing := *hostedRouting(3)
	for i := range routing.Services {
		routing.Services[i].ColdRate, routing.Services[i].ColdTime = 4, 30*time.Second
	}
	routing.Services[0].Engine.Slots = 5 // the limit of 11 has room beside the places
	r.step(RoutingReceived{Routing: config.NewRouting(routing), Revision: storeRevision(12)})
	up := r.upstreams[1]
	up.Slots = 5
	for i, end := range []string{"run", "release", "run at a new process"} {
		r.change(20+3*i, up, 0)
		r.now = r.now.Add(time.Minute)
		var hold AcquireHold
		for n := 0; hold.Upstream != up.ID; n++ {
			r.sendRequest(end+string(rune('a'+n)), "/resumable/")
			hold = wantEffect[AcquireHold](r)
		}
		r.step(HoldResult{Request: hold.Request, Attempt: hold.Attempt, Upstream: up.ID, Addr: up.Addr, Outcome: HoldGranted, Hold: "h"})
		prefill := wantEffect[StartPrefill](r)
		cold := up
		if end == "run at a new process" {
			cold.Born++
		}
		r.change(21+3*i, cold, 10*time.Second)
		r.router.hosted.warmup.SetMembers([]core.InstanceID{"a", "b", "c", "d", "e", "f", "g", "h"}) // this Instance may be no sender
		if end == "release" {
			r.step(CallerDisconnected{Request: hold.Request})
			is.Equal(wantEffect[ReleaseHold](r).Upstream, up.ID)
			continue
		}
		effects := r.step(PrefillDone{Request: hold.Request, Attempt: prefill.Attempt, Upstream: "p1", Addr: "p1:1", KV: "kv"})
		ran := slices.ContainsFunc(effects, func(e Effect) bool { d, ok := e.(StartDecode); return ok && d.Upstream == up.ID })
		is.Equal(ran, end == "run")
	}
}

// Guards against log lines and lists for peers each time that a cold engine writes its entry, and
// against an answer that says too late or in vain that its Upstream is cold.
func TestHostedColdTimeThatGoesOnChangesNothing(t *testing.T) {
	is := is.New(t)
	r := newColdHarness(t)
	up := r.upstreams[3]
	r.change(20, up, 10*time.Second)
	list := wantEffect[UpstreamsUpdated](r)
	is.Equal(list.At, r.now)
	is.Equal(list.Revision, storeRevision(20))
	r.now = r.now.Add(1200 * time.Millisecond)
	r.change(21, up, 8800*time.Millisecond)
	is.Equal(len(r.lastEffects), 0)
	is.Equal(r.router.HostedGauges(r.now).Cold.Cold, 1)
	r.now = r.now.Add(9 * time.Second)
	is.Equal(r.router.HostedGauges(r.now).Cold.Cold, 0)

	answer := UpstreamAnswered{
		Source:       announce.Source{Upstream: up.ID, Addr: "other:1", SentAt: r.now},
		Announcement: announce.Announcement{ColdFor: 10 * time.Second},
	}
	r.step(answer)
	is.Equal(r.router.HostedGauges(r.now).Cold.Cold, 0) // another Upstream has sent the answer
	answer.Source.Addr = up.Addr
	r.step(answer)
	is.Equal(r.router.HostedGauges(r.now).Cold.Cold, 1)
	calls := map[core.UpstreamID]int{}
	for range 20 {
		r.sendRequest(r.now.Sub(0).String(), "/read/")
		calls[wantEffect[StartCall](r).Upstream]++
		r.now = r.now.Add(time.Millisecond)
	}
	is.Equal(calls[up.ID], 4)
}
