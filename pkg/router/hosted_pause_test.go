package router

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/rhubarbsill/rhubarbsill/pkg/attempts"
	"github.com/rhubarbsill/rhubarbsill/pkg/config"
	"github.com/rhubarbsill/rhubarbsill/pkg/core"
)

// Guards against a stalled request that is not retried, and against a second response to
// one that completes while it is retried.
func TestHostedStalledAttempt(t *testing.T) {
	is := is.New(t)
	r := newHostedHarness(t)
	r.sendRequest("1", "/read/x")
	first := wantEffect[StartCall](r)
	is.Equal(first.StallTimeout, 900*time.Millisecond)
	r.step(AttemptStalled{Request: "1", Attempt: first.Attempt})
	is.Equal(wantEffect[Cancel](r).Attempt, first.Attempt)
	second := wantEffect[StartCall](r)
	is.True(second.Upstream != first.Upstream)
	r.step(ResponseCompleted{Request: "1", Attempt: first.Attempt, Status: 200})
	wantEffect[Complete](r)
	is.Equal(wantEffect[Cancel](r).Attempt, second.Attempt)
	r.step(ResponseCompleted{Request: "1", Attempt: second.Attempt, Status: 200})
	wantNoEffect[Complete](r)

	r.sendRequest("2", "/call/x")
	once := wantEffect[StartCall](r)
	is.Equal(once.StallTimeout, time.Duration(0))
	r.step(AttemptStalled{Request: "2", Attempt: once.Attempt})
	wantNoEffect[StartCall](r)
	wantNoEffect[Cancel](r)
}

// Guards against a decision that is carried out after a pause of the process: a request sent
// late, or a prefill for a hold that has expired.
func TestHostedDecisionsExpire(t *testing.T) {
	is := is.New(t)
	r := newHostedHarness(t)
	r.sendRequest("1", "/call/x")
	call := wantEffect[StartCall](r)
	is.True(call.NotAfter <= r.now.Add(time.Second))
	r.failAttempt("1", call.Attempt, attempts.Failure{Kind: attempts.FailExpired, Upstream: call.Upstream})
	again := wantEffect[StartCall](r)
	is.True(again.NotAfter > r.now)

	r.sendRequest("2", "/once/x")
	hold := wantEffect[AcquireHold](r)
	r.now = r.now.Add(hold.Term + 100*time.Millisecond) // paused
	r.grantHold(hold)
	wantNoEffect[StartPrefill](r)
	r.grantHold(wantEffect[AcquireHold](r))
	prefill := wantEffect[StartPrefill](r)
	is.True(prefill.NotAfter <= r.now.Add(time.Second))
	r.completePrefill(prefill)
	is.True(wantEffect[StartDecode](r).NotAfter <= r.now.Add(time.Second))
}

// Guards against a key that was withdrawn, or an Upstream that has left, while the process
// was paused: requests wait until the store has confirmed both.
func TestHostedStateIsConfirmedAfterAPause(t *testing.T) {
	is := is.New(t)
	r := newHostedHarness(t)
	without := *hostedRouting(2)
	without.Accounts = []config.HostedAccount{{ID: "acct", Keys: []config.KeyDigest{config.DigestKey("other")}}}
	before := r.now
	r.now = r.now.Add(5 * time.Second)
	r.step(ProcessPaused{})
	wantEffect[RefreshState](r)
	r.sendRequest("1", "/call/x")
	wantNoEffect[StartCall](r)
	r.step(RoutingReceived{Routing: hostedRouting(1), Revision: storeRevision(10), ReadAt: before}) // an answer to a read before the pause
	r.step(UpstreamsListed{Revision: storeRevision(10), Upstreams: r.upstreams, ReadAt: r.now})
	wantNoEffect[StartCall](r)
	r.step(RoutingReceived{Routing: config.NewRouting(without), Revision: storeRevision(11), ReadAt: r.now})
	is.Equal(wantEffect[Refuse](r).Refusal.Code, core.CodeUnknownKey)

	r = newHostedHarness(t)
	r.step(ProcessPaused{})
	r.sendRequest("1", "/call/x")
	r.sendRequest("2", "/call/x")
	r.step(CallerDisconnected{Request: "1"})
	wantEffect[RequestAbandoned](r)
	started := 0
	for _, effect := range r.advance(1500 * time.Millisecond) { // the store is away
		if _, ok := effect.(StartCall); ok {
			started++
		}
	}
	is.Equal(started, 1)
}
