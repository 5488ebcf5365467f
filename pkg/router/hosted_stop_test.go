package router

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/rhubarbsill/rhubarbsill/pkg/core"
	"github.com/rhubarbsill/rhubarbsill/pkg/fleet"
)

// Guards against requests that a leaving Instance accepts and cuts off at the end of its
// grace period of 8 s, and against a final response that is not given.
func TestHostedLeavingInstanceAcceptsOnlyWhatItCanComplete(t *testing.T) {
	is := is.New(t)
	r := newHostedHarness(t)
	r.sendRequest("0", "/call/x")
	r.step(ShutdownRequested{})
	r.advance(2 * time.Second)
	r.startStream("1", "/once/x")
	r.advance(2500 * time.Millisecond)
	r.sendRequest("2", "/once/x")
	is.Equal(wantEffect[Refuse](r).Refusal.Ran, core.NotRun)
	r.sendRequest("3", "/call/x")
	is.Equal(wantEffect[Refuse](r).Refusal.Ran, core.NotRun)
	r.sendRequestUntil("4", "/call/x", 2*time.Second)
	call := wantEffect[StartCall](r)
	r.advance(1500 * time.Millisecond)
	r.sendRequest("5", "/call/x")
	is.Equal(wantEffect[Refuse](r).Refusal.Code, core.CodeLeaving)
	r.step(ResponseCompleted{Request: "4", Attempt: call.Attempt, Status: 200})
	is.Equal(wantEffect[Complete](r).Request, core.RequestID("4"))

	ended := map[core.RequestID]core.ExecutionStatus{}
	for _, effect := range r.advance(2 * time.Second) {
		if e, ok := effect.(Refuse); ok {
			ended[e.Request] = e.Refusal.Ran
		}
	}
	wantNoEffect[StartCall](r)
	is.Equal(ended, map[core.RequestID]core.ExecutionStatus{"0": core.MayHaveRun, "1": core.MayHaveRun})
	r.sendRequest("6", "/call/x") // on a connection that is still open
	is.Equal(wantEffect[Refuse](r).Refusal.Code, core.CodeLeaving)
}

// Guards against requests that are accepted in the grace period because earlier ones were short, and
// are cut because they take longer.
func TestHostedLeavingInstanceAcceptsNoRequestThatMayOutlastIt(t *testing.T) {
	const planned = 3 * time.Second // later requests are to be answered whole or refused
	for _, path := range []string{"/once/x", "/resumable/x", "/call/x", "/read/x"} {
		for after := planned; after < 8*time.Second; after += 250 * time.Millisecond {
			r := newHostedHarness(t)
			r.sendRequest("short", "/call/x")
			r.advance(30 * time.Millisecond)
			r.step(ResponseCompleted{Request: "short", Attempt: r.router.hosted.requests["short"].attempt, Status: 200})
			r.sendRequest("active", "/call/x") // keeps the Instance from stopping early
			r.step(ShutdownRequested{})
			r.advance(after)
			r.sendRequest("long", path)
			if refusal := wantEffect[Refuse](r).Refusal; refusal.Ran != core.NotRun || refusal.Code != core.CodeLeaving {
				t.Fatalf("%s after %s: %v", path, after, refusal)
			}
			left := 7500*time.Millisecond - after - 200*time.Millisecond
			if left < time.Second {
				continue
			}
			r.sendRequestUntil("bounded", path, left)
			wantNoEffect[Refuse](r)
		}
	}
}

// Guards against address responses that contain a leaving Instance, and against a
// graceful shutdown that interrupts active requests.
func TestHostedShutdown(t *testing.T) {
	is := is.New(t)
	r := newHostedHarness(t)
	peer := fleet.Member{Ref: core.InstanceRef{ID: "peer", Incarnation: 1}, CallerAddr: "peer:2", DataCentre: "a", Region: "r"}
	r.step(PeerMessageReceived{From: peer.Ref, Message: Message{Hosted: &HostedHeartbeat{Member: peer, State: fleet.State{Serving: true}}}})
	r.sendRequest("1", "/call/x")
	attempt := wantEffect[StartCall](r).Attempt
	r.step(ShutdownRequested{})
	wantEffect[ShutdownStarted](r)
	is.True(wantEffect[SendPeerMessage](r).Message.Hosted.State.Leaving) // sent immediately
	r.step(CallerAddressesRequested{QueryID: 1, Region: "r", DataCentre: "a", Limit: 8})
	is.Equal(wantEffect[CallerAddresses](r).Addresses, []string{"peer:2"})
	r.advance(4 * time.Second)
	wantNoEffect[Drained](r) // a request runs
	r.step(ResponseCompleted{Request: "1", Attempt: attempt, Status: 200})
	wantEffect[Drained](r)

	r = newHostedHarness(t)
	r.sendRequest("1", "/call/x")
	r.step(ShutdownRequested{})
	r.advance(8 * time.Second)
	wantEffect[Drained](r) // before the end of the grace period, even if a request is active
}

// Guards against requests that are accepted in the grace period of 8 s although they take longer
// than what is left of it, and against refusals of those that end in time in any case.
func TestHostedLeavingInstanceKnowsHowLongRequestsTake(t *testing.T) {
	is := is.New(t)
	r := newHostedHarness(t)
	decode := r.startStream("1", "/once/x")
	r.advance(4 * time.Second)
	r.step(ResponseCompleted{Request: "1", Attempt: decode.Attempt, Status: 200})
	r.step(ShutdownRequested{})
	r.advance(time.Second)
	r.startStream("2", "/once/x") // 6.5 s are left
	r.advance(time.Second)
	r.sendRequest("3", "/once/x")
	is.Equal(wantEffect[Refuse](r).Refusal.Ran, core.NotRun)
	r.sendRequestUntil("4", "/once/x", 3*time.Second)
	wantEffect[AcquireHold](r) // its deadline is before the end
}
