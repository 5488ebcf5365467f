package router_test

import (
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/rhubarbsill/rhubarbsill/pkg/core"
	"github.com/rhubarbsill/rhubarbsill/pkg/lab/virtual"
)

// inForceWithin is the requirement on a configuration change (design.md, 1.3).
const inForceWithin = 4 * time.Second

// Guards against a promotion that comes into force too late (G12) on an Instance
// that reaches the store or, when its path to the store is cut, a peer.
func TestPromotionIsInForceInTime(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) { promote(t, 0, 1) })
}

// Guards against the same with several store paths cut.
func TestPromotionPassesSeveralCutStorePaths(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) { promote(t, 2, 3) })
}

func promote(t *rapid.T, leastCuts, mostCuts int) {
	opts := drawFleet(t)
	w := virtual.New(opts)
	w.RunUntil(faultsBegin)
	for _, cut := range rapid.SliceOfNDistinct(rapid.IntRange(0, 3), leastCuts, mostCuts, rapid.ID[int]).Draw(t, "cut") {
		w.CutBoth(string(w.Instances()[cut].View().Instance.ID), virtual.StoreName)
	}
	for range rapid.IntRange(1, 8).Draw(t, "promotions") {
		w.RunUntil(w.Now() + time.Duration(rapid.IntRange(0, 3000).Draw(t, "wait ms"))*time.Millisecond)
		version := w.Promote(without(opts.Document, rapid.SampledFrom(w.Upstreams()).Draw(t, "without")))
		w.At(w.Now()+inForceWithin, func() {
			for _, i := range w.Instances() {
				if got := i.View().Version; got < version {
					t.Errorf("%s is at version %d, %d was promoted %s ago", i.View().Instance, got, version, inForceWithin)
				}
			}
		})
	}
	w.RunUntil(w.Now() + inForceWithin)
}

// Guards against a graceful shutdown that cuts a request (G11): callers ask for
// addresses again when their answer has expired, and those that still have an
// older answer are served.
func TestGracefulShutdownCutsNothing(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) {
		w := virtual.New(drawFleet(t))
		w.RunUntil(faultsBegin + 5*time.Second)
		begin := w.Now()
		leaving := w.Instances()[rapid.IntRange(0, 3).Draw(t, "leaving")]
		id := leaving.View().Instance.ID
		entry := rapid.SampledFrom(w.Instances()).Draw(t, "asked").View().Instance.ID
		keep := w.Addresses(entry, "large").TTL
		shutdown := begin + time.Duration(rapid.IntRange(0, 4000).Draw(t, "shutdown ms"))*time.Millisecond
		w.At(shutdown, leaving.Shutdown)
		every := time.Duration(rapid.IntRange(80, 400).Draw(t, "every ms")) * time.Millisecond
		// A caller keeps using an answer that it got just before the shutdown.
		for at := begin; at < shutdown+keep; at += every {
			w.At(at, func() {
				if !leaving.Drained {
					w.Send(id, completion("large", 400, 100))
				}
			})
		}
		var drained time.Duration
		for at := shutdown; at < shutdown+time.Minute; at += 250 * time.Millisecond {
			w.At(at, func() {
				for _, i := range w.Instances() {
					late := w.Now() > shutdown+5*time.Second || i == leaving && w.Now() > shutdown
					if late && slices.Contains(w.Addresses(i.View().Instance.ID, "large").CallerAddrs, string(id)) {
						t.Errorf("%s names %s %s after its shutdown began", i.View().Instance.ID, id, w.Now()-shutdown)
					}
				}
				if leaving.Drained && drained == 0 {
					drained = w.Now()
					leaving.Kill()
					leaving.Remove()
				}
			})
		}
		w.RunUntil(shutdown + time.Minute)
		if drained < shutdown+keep {
			t.Errorf("drained at %s, the shutdown began at %s and answers are kept for %s", drained, shutdown, keep)
		}
		for _, r := range w.Sequence {
			if !r.Completed || r.Lost || r.Answers != 1 || r.Broken != "" {
				t.Errorf("%s, sent %s after the shutdown began: %+v", r.ID, r.SentAt-shutdown, r)
			}
		}
	})
}

// Guards against an answer that is lost, or has a gap or a repeat, when its
// Instance is killed and its caller resumes it at another one (G2, G7). When the
// Instance is restarted at once, its attempts are cancelled as soon as the new
// incarnation is known (G1): the resume is then refused, as "not run" only when no engine was asked. So
// is one whose engine crashes while the dead Instance is still a member, as no
// verdict on the suspect request is possible (pkg/attempts).
func TestAnswerIsResumedAfterAKill(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) {
		w := virtual.New(drawFleet(t))
		w.RunUntil(faultsBegin)
		at := rapid.IntRange(0, 3).Draw(t, "entry")
		i := w.Instances()[at]
		other := w.Instances()[(at+rapid.IntRange(1, 3).Draw(t, "other"))%4].View().Instance.ID
		opts := completion("large", 500, rapid.IntRange(300, 800).Draw(t, "output"))
		first := w.Send(i.View().Instance.ID, opts)
		w.RunUntil(w.Now() + time.Duration(rapid.IntRange(1000, 3000).Draw(t, "kill ms"))*time.Millisecond)
		restart := rapid.Bool().Draw(t, "restart")
		if restart {
			i.Restart()
		} else {
			i.Kill()
		}
		w.RunUntil(w.Now() + time.Duration(rapid.IntRange(10, 1000).Draw(t, "resume ms"))*time.Millisecond)
		if first.Tokens == 0 {
			return // the caller has no position to resume from
		}
		opts.Resume = first
		resumed := w.Send(other, opts)
		crash := rapid.Bool().Draw(t, "crash")
		if crash {
			w.At(w.Now()+time.Second, func() {
				for _, up := range w.Upstreams() {
					if slices.Contains(w.Holding(up), resumed) {
						w.Crash(up)
					}
				}
			})
		}
		w.RunUntil(w.Now() + 50*time.Second)
		if (restart || crash) && resumed.Refusal != nil {
			invalid := resumed.Refusal.Code == core.CodeResumeInvalid // the engine has no such attempt
			if resumed.Refusal.Ran == core.NotRun && !invalid || resumed.Answers != 1 || resumed.Broken != "" {
				t.Errorf("resumed %+v, refusal %v", resumed, resumed.Refusal)
			}
			return
		}
		if first.Answers+resumed.Answers != 1 || !resumed.Completed || resumed.Broken != "" || resumed.Tokens != opts.OutputTokens {
			t.Errorf("first %+v, resumed %+v, refusal %v", first, resumed, resumed.Refusal)
		}
	})
}

// Guards against a side of a region cut that fails otherwise than stated: the side
// with the store serves on. The other refuses keyed requests as not run once its
// confirmations are 8 s old, and serves again within seconds of the end of the cut.
func TestRegionCutOfAMinute(t *testing.T) {
	t.Parallel()
	w := virtual.New(smallFleet(8))
	settled(t, w)
	begin := w.Now()
	w.CutRegion("south")
	probe(w, "large", begin, begin+90*time.Second, time.Second)
	w.At(begin+time.Minute, w.Heal)
	w.RunUntil(begin + 2*time.Minute)
	served := map[core.InstanceID]int{}
	for _, r := range w.Sequence {
		since := r.SentAt - begin
		south := r.Entry == "entry-03"
		cut := south && since > 11*time.Second && since < time.Minute
		recovering := since >= time.Minute && since < time.Minute+10*time.Second
		switch {
		case r.Answers != 1 || r.Broken != "":
			t.Errorf("%s at %s: %+v", r.ID, r.Entry, r)
		case cut && (r.Refusal == nil || r.Refusal.Ran != core.NotRun || r.Sent > 0):
			t.Errorf("%s at %s was accepted %s into the cut: %+v", r.ID, r.Entry, since, r)
		case !south && !r.Completed, since >= time.Minute+10*time.Second && !r.Completed:
			t.Errorf("%s at %s, %s after the cut: %v", r.ID, r.Entry, since, r.Refusal)
		}
		if r.Completed && !recovering {
			served[r.Entry]++
		}
	}
	t.Logf("served %v", served)
}

// Guards against a Tick that is due again at once, without end, while a request
// runs on after the address answers of a leaving Instance have expired (G11). Found
// by TestGracefulShutdownCutsNothing, which did not end.
func TestLeavingInstanceWithALongAnswerDoesNotSpin(t *testing.T) {
	t.Parallel()
	w := virtual.New(smallFleet(9))
	settled(t, w)
	i := w.Instances()[0]
	answer := w.Send(i.View().Instance.ID, completion("large", 400, 1500))
	i.Shutdown()
	w.RunUntil(w.Now() + 25*time.Second)
	if i.Drained || i.View().Requests != 1 {
		t.Errorf("drained %t with %d requests", i.Drained, i.View().Requests)
	}
	w.RunUntil(w.Now() + 30*time.Second)
	if !answer.Completed || !i.Drained {
		t.Errorf("drained %t, answer %+v", i.Drained, answer)
	}
}
