package router_test

import (
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/rhubarbsill/rhubarbsill/pkg/core"
	"github.com/rhubarbsill/rhubarbsill/pkg/lab/virtual"
)

// activationDeadline is the required time to activate a configuration change
// (design.md, 1.3).
const activationDeadline = 4 * time.Second

// Guards against a promotion that is activated too late (G12) on an Instance that
// reaches the store or, when it is partitioned from the store, a peer.
func TestPromotionIsInForceInTime(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) { checkPromotion(t, 0, 1) })
}

// Guards against a late activation (G12) while several Instances are partitioned
// from the store.
func TestPromotionPassesSeveralCutStorePaths(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) { checkPromotion(t, 2, 3) })
}

func checkPromotion(t *rapid.T, minPartitions, maxPartitions int) {
	opts := drawFleet(t)
	w := virtual.New(opts)
	w.RunUntil(faultsBegin)
	for _, cut := range rapid.SliceOfNDistinct(rapid.IntRange(0, 3), minPartitions, maxPartitions, rapid.ID[int]).Draw(t, "cut") {
		w.Partition(string(w.Instances()[cut].View().Instance.ID), virtual.StoreName)
	}
	for range rapid.IntRange(1, 8).Draw(t, "promotions") {
		w.RunUntil(w.Now() + time.Duration(rapid.IntRange(0, 3000).Draw(t, "wait ms"))*time.Millisecond)
		version := w.Promote(withoutUpstream(opts.Document, rapid.SampledFrom(w.Upstreams()).Draw(t, "without")))
		w.At(w.Now()+activationDeadline, func() {
			for _, i := range w.Instances() {
				if got := i.View().Version; got < version {
					t.Errorf("%s is at version %d, %d was promoted %s ago", i.View().Instance, got, version, activationDeadline)
				}
			}
		})
	}
	w.RunUntil(w.Now() + activationDeadline)
}

// Guards against a promotion that is activated too late (G12) because another one follows while
// three of four Instances are partitioned from the store and fetch the first from the fourth.
func TestPromotionIsInForceInTimeAlthoughAnotherFollows(t *testing.T) {
	t.Parallel()
	opts := smallFleet(1 << 30)
	opts.Instances[2].ClockRate = 1.003
	w := virtual.New(opts)
	w.RunUntil(faultsBegin)
	for _, i := range w.Instances()[:3] {
		w.Partition(string(i.View().Instance.ID), virtual.StoreName)
	}
	for n, without := range []core.UpstreamID{"north-a-prefill-1", "north-a-decode-1"} {
		w.RunUntil(w.Now() + time.Duration(n)*2440*time.Millisecond)
		version := w.Promote(withoutUpstream(opts.Document, without))
		w.At(w.Now()+activationDeadline, func() {
			for _, i := range w.Instances() {
				if got := i.View().Version; got < version {
					t.Errorf("%s is at version %d, %d was promoted %s ago", i.View().Instance, got, version, activationDeadline)
				}
			}
		})
	}
	w.RunUntil(w.Now() + activationDeadline)
}

// Guards against a graceful shutdown that interrupts a request (G11). Callers
// query addresses again when their response has expired, and callers with an
// older, unexpired response must still be served.
func TestGracefulShutdownCutsNothing(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) {
		w := virtual.New(drawFleet(t))
		w.RunUntil(faultsBegin + 5*time.Second)
		begin := w.Now()
		leaving := w.Instances()[rapid.IntRange(0, 3).Draw(t, "leaving")]
		id := leaving.View().Instance.ID
		entry := rapid.SampledFrom(w.Instances()).Draw(t, "asked").View().Instance.ID
		addressTTL := w.Addresses(entry, "large").TTL
		shutdown := begin + time.Duration(rapid.IntRange(0, 4000).Draw(t, "shutdown ms"))*time.Millisecond
		w.At(shutdown, leaving.Shutdown)
		interval := time.Duration(rapid.IntRange(80, 400).Draw(t, "every ms")) * time.Millisecond
		// A caller keeps using the address response that it got just before the
		// shutdown.
		for at := begin; at < shutdown+addressTTL; at += interval {
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
						t.Errorf("%s returns the address of %s %s after its shutdown began", i.View().Instance.ID, id, w.Now()-shutdown)
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
		if drained < shutdown+addressTTL {
			t.Errorf("drained at %s, the shutdown began at %s and address responses are valid for %s", drained, shutdown, addressTTL)
		}
		for _, r := range w.Sequence {
			if !r.Completed || r.Lost || r.Answers != 1 || r.Broken != "" {
				t.Errorf("%s, sent %s after the shutdown began: %+v", r.ID, r.SentAt-shutdown, r)
			}
		}
	})
}

// Guards against a response that is lost, or has a gap or a repetition, when its
// Instance is killed and its caller resumes it at another Instance (G2, G7). If
// the Instance restarts immediately, its attempts are cancelled as soon as the
// new incarnation is known (G1), and the resume is refused, as "not run" only if
// no engine received it. The resume is also refused if the engine crashes while
// the dead Instance is still a member, because the suspect request cannot be
// decided (pkg/attempts).
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
					if slices.Contains(w.ActiveRequests(up), resumed) {
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

// Guards against wrong behaviour of either side of a partition between regions.
// The side with the store must continue to serve. The other must refuse requests
// with a key as not run once its confirmations are 8 s old, and must serve again
// within seconds after the partition ends.
func TestRegionCutOfAMinute(t *testing.T) {
	t.Parallel()
	w := virtual.New(smallFleet(8))
	waitUntilReady(t, w)
	begin := w.Now()
	w.PartitionRegion("south")
	sendProbes(w, "large", begin, begin+90*time.Second, time.Second)
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
			t.Errorf("%s at %s was accepted %s after the start of the cut: %+v", r.ID, r.Entry, since, r)
		case !south && !r.Completed, since >= time.Minute+10*time.Second && !r.Completed:
			t.Errorf("%s at %s, %s after the cut: %v", r.ID, r.Entry, since, r.Refusal)
		}
		if r.Completed && !recovering {
			served[r.Entry]++
		}
	}
	t.Logf("served %v", served)
}

// Guards against a Tick that is always due again immediately, so that the
// simulation never ends, while a request is active after the address responses of
// a leaving Instance have expired (G11). TestGracefulShutdownCutsNothing hung
// because of this.
func TestLeavingInstanceWithALongAnswerDoesNotSpin(t *testing.T) {
	t.Parallel()
	w := virtual.New(smallFleet(9))
	waitUntilReady(t, w)
	i := w.Instances()[0]
	response := w.Send(i.View().Instance.ID, completion("large", 400, 1500))
	i.Shutdown()
	w.RunUntil(w.Now() + 25*time.Second)
	if i.Drained || i.View().Requests != 1 {
		t.Errorf("drained %t with %d requests", i.Drained, i.View().Requests)
	}
	w.RunUntil(w.Now() + 30*time.Second)
	if !response.Completed || !i.Drained {
		t.Errorf("drained %t, response %+v", i.Drained, response)
	}
}
