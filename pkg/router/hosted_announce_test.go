package router

import (
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/rhubarbsill/rhubarbsill/pkg/announce"
	"github.com/rhubarbsill/rhubarbsill/pkg/attempts"
	"github.com/rhubarbsill/rhubarbsill/pkg/core"
)

func (r *hostedHarness) announce(up core.UpstreamID, a announce.Announcement) []Effect {
	return r.step(UpstreamAnswered{Source: announce.Source{Upstream: up, Addr: string(up) + ":1", SentAt: r.now}, Announcement: a})
}

// effectsOf returns the effects of one type.
func effectsOf[E Effect](effects []Effect) []E {
	var found []E
	for _, effect := range effects {
		if e, ok := effect.(E); ok {
			found = append(found, e)
		}
	}
	return found
}

// otherDecode returns the decode engine that is not up.
func otherDecode(up core.UpstreamID) core.UpstreamID {
	if up == "d1" {
		return "d2"
	}
	return "d1"
}

// Guards against a decode at an engine that wants no requests, because it had granted a hold
// before, and against a hold that is lost although it is used right away.
func TestHostedHoldOfAnEngineThatWantsNoRequests(t *testing.T) {
	for _, test := range []struct {
		after time.Duration
		used  bool
	}{{100 * time.Millisecond, true}, {400 * time.Millisecond, false}} {
		is := is.New(t)
		r := newHostedHarness(t)
		r.sendRequest("1", "/once/x")
		hold := wantEffect[AcquireHold](r)
		r.grantHold(hold)
		prefill := wantEffect[StartPrefill](r)
		r.announce(hold.Upstream, announce.Announcement{Backoff: 3 * time.Second})
		r.advance(test.after)
		r.completePrefill(prefill)
		if test.used {
			is.Equal(wantEffect[StartDecode](r).Upstream, hold.Upstream)
			continue
		}
		wantNoEffect[StartDecode](r)
		wantNoEffect[ReleaseHold](r) // a request too
		is.Equal(wantEffect[AcquireHold](r).Upstream, otherDecode(hold.Upstream))
		is.Equal(wantEffect[ReleaseKV](r).Upstream, prefill.Upstream)
	}
}

// Guards against a hold that is left to lapse at an engine that leaves, and against a request that
// is not served because only that engine is left.
func TestHostedHoldOfALeavingEngine(t *testing.T) {
	for _, alone := range []bool{false, true} {
		is := is.New(t)
		r := newHostedHarness(t)
		r.sendRequest("1", "/once/x")
		hold := wantEffect[AcquireHold](r)
		if alone {
			r.announce(otherDecode(hold.Upstream), announce.Announcement{Leaving: true})
		}
		r.announce(hold.Upstream, announce.Announcement{Leaving: true})
		r.grantHold(hold)
		if alone {
			wantNoEffect[ReleaseHold](r)
			wantEffect[StartPrefill](r)
			continue
		}
		is.Equal(wantEffect[ReleaseHold](r).Hold, "hold")
		is.Equal(wantEffect[AcquireHold](r).Upstream, otherDecode(hold.Upstream))
	}
}

// Guards against holds that lapse because their decode was not sent in time.
func TestHostedHoldOfAnExpiredDecodeIsReleased(t *testing.T) {
	is := is.New(t)
	r := newHostedHarness(t)
	decode := r.startStream("1", "/once/x")
	r.failAttempt("1", decode.Attempt, attempts.Failure{Kind: attempts.FailExpired, Upstream: decode.Upstream})
	is.Equal(wantEffect[ReleaseHold](r).Hold, decode.Hold)
}

// Guards against a release of a hold or of a KV cache in the time for which its engine wants no
// requests.
func TestHostedNothingIsReleasedAtAnEngineThatWantsNoRequests(t *testing.T) {
	is := is.New(t)
	r := newHostedHarness(t)
	r.sendRequest("1", "/once/x")
	hold := wantEffect[AcquireHold](r)
	r.grantHold(hold)
	prefill := wantEffect[StartPrefill](r)
	for _, up := range []core.UpstreamID{hold.Upstream, prefill.Upstream} {
		r.announce(up, announce.Announcement{Backoff: time.Second})
	}
	r.advance(300 * time.Millisecond)
	is.Equal(len(effectsOf[ReleaseHold](r.step(CallerDisconnected{Request: "1"}))), 0)
	is.Equal(len(effectsOf[ReleaseKV](r.step(PrefillDone{
		Request: "1", Attempt: prefill.Attempt, Upstream: prefill.Upstream, Addr: prefill.URL, KV: "kv",
	}))), 0)
}

// Guards against a retry that spends the retry budget, or waits, while all Upstreams have asked
// to be left alone for longer than the request has, and against a refusal that names no reason.
func TestHostedRetryWhileAllUpstreamsWantNoRequests(t *testing.T) {
	is := is.New(t)
	r := newHostedHarness(t)
	r.sendRequest("1", "/call/x")
	call := wantEffect[StartCall](r)
	for _, up := range []core.UpstreamID{"s1", "s2"} {
		r.announce(up, announce.Announcement{Backoff: 20 * time.Second})
	}
	r.failAttempt("1", call.Attempt, attempts.Failure{Kind: attempts.FailFull, Upstream: call.Upstream, MaybeSent: true, ConfirmedNotRun: true})
	refusal := wantEffect[Refuse](r).Refusal
	is.Equal(refusal.Ran, core.NotRun)
	is.True(refusal.RetryAfter >= 20*time.Second && refusal.RetryAfter <= 31*time.Second)
	described := false
	for _, record := range effectsOf[Record](r.lastEffects) {
		described = described || strings.Contains(record.Event.Detail, "s1 stays away until=") && strings.Contains(record.Event.Detail, "age=")
	}
	is.True(described)

	fresh := newHostedHarness(t)
	fresh.sendRequest("1", "/call/x")
	is.Equal(countRetries(r), countRetries(fresh))
}

// countRetries returns how many retries the budget allows now.
func countRetries(r *hostedHarness) int {
	n := 0
	for r.router.hosted.retry.Allow(r.now, "plain") {
		n++
	}
	return n
}

// Guards against a request that is sent to an Upstream of which a peer has heard that it leaves.
func TestHostedPeerTellsThatAnUpstreamLeaves(t *testing.T) {
	is := is.New(t)
	r := newHostedHarness(t)
	peer := core.InstanceRef{ID: "peer", Incarnation: 1}
	heartbeat := &HostedHeartbeat{Leaving: map[core.UpstreamID]announce.Process{"s1": {Addr: "s1:1"}}}
	heartbeat.Member.Ref = peer
	r.step(PeerMessageReceived{From: peer, Message: Message{Hosted: heartbeat}})
	for i := range 6 {
		r.sendRequest(string(rune('a'+i)), "/call/x")
		is.Equal(wantEffect[StartCall](r).Upstream, core.UpstreamID("s2"))
	}
}
