package router

import (
	"strconv"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/rhubarbsill/rhubarbsill/pkg/catalog"
	"github.com/rhubarbsill/rhubarbsill/pkg/core"
)

// plainUpstreams registers n replicas of the plain service.
func (r *hostedHarness) plainUpstreams(n int) {
	var list []catalog.Upstream
	for i := range n {
		id := "s" + strconv.Itoa(i+1)
		list = append(list, catalog.Upstream{ID: core.UpstreamID(id), Service: "plain", Addr: id + ":1", DataCentre: "a", Slots: 8})
	}
	r.step(UpstreamsListed{Revision: storeRevision(50), Upstreams: list})
}

// startCall sends a request to the plain service, equal to all others of startCall.
func (r *hostedHarness) startCall(id string) StartCall {
	r.t.Helper()
	r.sendRequest(id, "/read/x")
	return wantEffect[StartCall](r)
}

func (r *hostedHarness) completeCall(c StartCall) {
	r.step(ResponseCompleted{Request: c.Request, Attempt: c.Attempt, Status: 200})
}

// Guards against equal requests that are refused because connections to two healthy Upstreams are
// reset again and again, while requests like them are served.
func TestHostedResetConnectionsAreNotCrashes(t *testing.T) {
	r := newHostedHarness(t)
	for i := range 12 {
		id := strconv.Itoa(i)
		call := r.startCall("reset" + id)
		r.failAttempt("reset"+id, call.Attempt, crashFailure)
		r.step(CallerDisconnected{Request: call.Request})
		for j := range 3 {
			r.completeCall(r.startCall("served" + id + "-" + strconv.Itoa(j)))
		}
		r.advance(1200 * time.Millisecond)
	}
}

// Guards against equal requests that are refused for long because connections to three healthy
// Upstreams are reset while a peer of this Instance is served.
func TestHostedServedRequestClearsTheSuspicionAtPeers(t *testing.T) {
	is := is.New(t)
	r := newHostedHarness(t)
	served := newHostedHarness(t)
	for i, id := range []core.UpstreamID{"s7", "s8", "s9"} {
		r.reportCrash(id, time.Duration(2-i)*time.Second)
		served.reportCrash(id, time.Duration(2-i)*time.Second)
	}
	r.sendRequest("1", "/read/x")
	is.Equal(wantEffect[Refuse](r).Refusal.Ran, core.NotRun)

	served.advance(crashTrialDelay)
	served.completeCall(served.startCall("trial"))
	heartbeat := &HostedHeartbeat{Member: served.router.HostedMember(), Crashing: served.router.hosted.crashing.Reports(served.now, true)}
	heartbeat.Member.Ref.ID = "peer"
	r.advance(3 * time.Second)
	r.step(PeerMessageReceived{From: heartbeat.Member.Ref, Message: Message{Hosted: heartbeat}})
	r.startCall("2")
}

// Guards against the blame of a request for a lost connection to a process that answers other
// requests, which it was working on at that time.
func TestHostedProcessThatAnswersHasNotCrashed(t *testing.T) {
	for _, survives := range []bool{true, false} {
		is := is.New(t)
		r := newHostedHarness(t)
		r.plainUpstreams(3)
		others := map[core.UpstreamID]StartCall{}
		for i := range 30 { // others in progress at each Upstream, of another fingerprint
			r.sendRequestWithParts("other"+strconv.Itoa(i), "/read/x", "other")
			other := wantEffect[StartCall](r)
			others[other.Upstream] = other
			if len(others) == 3 {
				break
			}
		}
		is.Equal(len(others), 3)
		lost := map[core.UpstreamID]bool{}
		for i := 0; len(lost) < 3 && i < 30; i++ {
			id := "lost" + strconv.Itoa(i)
			call := r.startCall(id)
			if lost[call.Upstream] {
				continue
			}
			lost[call.Upstream] = true
			r.failAttempt(id, call.Attempt, crashFailure)
			r.step(CallerDisconnected{Request: call.Request})
			r.advance(600 * time.Millisecond)
		}
		is.Equal(len(lost), 3)
		if survives {
			for _, other := range others {
				r.completeCall(other)
			}
			r.startCall("next")
			continue
		}
		r.sendRequest("next", "/read/x")
		is.Equal(wantEffect[Refuse](r).Refusal.Ran, core.NotRun)
	}
}

// Guards against a request that crashes one Upstream after the other, whose trials return sooner
// and sooner: each further crash doubles the time until the next one.
func TestHostedTrialsOfCrashingRequestsBecomeRare(t *testing.T) {
	is := is.New(t)
	r := newHostedHarness(t)
	for i := range 3 {
		r.reportCrash(core.UpstreamID("s"+strconv.Itoa(i)), time.Duration(2-i)*time.Second)
	}
	runs, start := 0, r.now
	for i := 0; r.now.Sub(start) < 8*time.Minute; i++ {
		id := strconv.Itoa(i)
		r.sendRequest(id, "/once/x")
		for _, effect := range r.lastEffects {
			if hold, ok := effect.(AcquireHold); ok {
				runs++
				r.step(HoldResult{Request: hold.Request, Attempt: hold.Attempt, Upstream: hold.Upstream, Addr: hold.Addr, Outcome: HoldGranted, Hold: "hold"})
				r.completePrefill(wantEffect[StartPrefill](r))
				r.failAttempt(id, wantEffect[StartDecode](r).Attempt, crashFailure)
				r.reportCrash(core.UpstreamID("crash"+id), 0)
				break
			}
		}
		r.advance(time.Second)
	}
	is.True(runs >= 2) // there is a way back
	is.True(runs <= 4)
}
