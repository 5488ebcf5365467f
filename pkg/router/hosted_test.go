package router

import (
	"bytes"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/rhubarbsill/rhubarbsill/pkg/attempts"
	"github.com/rhubarbsill/rhubarbsill/pkg/catalog"
	"github.com/rhubarbsill/rhubarbsill/pkg/config"
	"github.com/rhubarbsill/rhubarbsill/pkg/core"
	"github.com/rhubarbsill/rhubarbsill/pkg/fleet"
	"github.com/rhubarbsill/rhubarbsill/pkg/retry"
)

// hostedRun drives one hosted Router by hand.
type hostedRun struct {
	t      *testing.T
	router *Router
	now    core.Instant
	last   []Effect
}

var hostedKey = config.DigestKey("key")

func hostedRouting(version core.Version) *config.Routing {
	route := func(prefix string, repeat config.RetrySafety, streaming, resumable bool, service core.ServiceName, most int) config.HostRoute {
		return config.HostRoute{
			Host: "h", Prefix: prefix, RetrySafety: repeat, Streaming: streaming, Resumable: resumable, Timeout: 10 * time.Second,
			LatencyTarget: 900 * time.Millisecond, MaxUpstreams: most, ServiceShares: []config.ServiceShare{{Service: service, Weight: 1}},
		}
	}
	return config.NewRouting(config.Routing{
		Version: version,
		Routes: []config.HostRoute{
			route("/resumable/", config.RetryNever, true, true, "llm", 2),
			route("/once/", config.RetryNever, true, false, "llm", 1),
			route("/call/", config.RetryNever, false, false, "plain", 1),
			route("/read/", config.RetrySafe, false, false, "plain", 2),
		},
		Services: []config.HostedService{
			{Name: "llm", Engine: &config.EngineProfile{Slots: 8, KVCacheTokens: 10_000, MaxHoldDuration: 2 * time.Second}}, {Name: "plain"},
		},
		Accounts: []config.HostedAccount{{ID: "acct", Keys: []config.KeyDigest{hostedKey}, DefaultCostTokens: 10}},
	})
}

func newHostedRun(t *testing.T) *hostedRun {
	t.Helper()
	r := &hostedRun{t: t, now: core.Instant(time.Second)}
	r.router = New(Params{
		Rand: rand.New(rand.NewPCG(1, 2)), NonceSource: bytes.NewReader(nil),
		Hosted: &HostedParams{
			Member:     fleet.Member{Ref: core.InstanceRef{ID: "self", Incarnation: 5}, DataCentre: "a", Region: "r"},
			Retry:      retry.Params{Ratio: 0.2, Allowance: 20, Window: 10 * time.Second},
			AddressTTL: time.Second, GracePeriod: 8 * time.Second,
		},
	})
	r.step(RoutingReceived{Routing: hostedRouting(1), Revision: 10})
	r.step(UpstreamsListed{Revision: 10, Upstreams: []catalog.Upstream{
		{ID: "p1", Service: "llm", Addr: "p1:1", DataCentre: "a", Stage: catalog.StagePrefill, Slots: 8},
		{ID: "d1", Service: "llm", Addr: "d1:1", DataCentre: "a", Stage: catalog.StageDecode, Slots: 8},
		{ID: "d2", Service: "llm", Addr: "d2:1", DataCentre: "a", Stage: catalog.StageDecode, Slots: 8},
		{ID: "s1", Service: "plain", Addr: "s1:1", DataCentre: "a", Slots: 8},
		{ID: "s2", Service: "plain", Addr: "s2:1", DataCentre: "a", Slots: 8},
	}})
	return r
}

func (r *hostedRun) step(event Event) []Effect {
	r.last = r.router.Step(r.now, event)
	return r.last
}

// later moves the time on and lets the Router tick as often as it asks to.
func (r *hostedRun) later(d time.Duration) []Effect {
	var all []Effect
	for end := r.now.Add(d); r.now < end; {
		r.now = min(end, max(r.router.NextWake(), r.now.Add(time.Millisecond)))
		all = append(all, r.step(Tick{})...)
	}
	r.last = all
	return all
}

// want returns the effect of a type among the last ones.
func want[E Effect](r *hostedRun) E {
	r.t.Helper()
	for _, effect := range r.last {
		if e, ok := effect.(E); ok {
			return e
		}
	}
	var zero E
	r.t.Fatalf("no %T among %v", zero, r.last)
	return zero
}

func none[E Effect](r *hostedRun) {
	r.t.Helper()
	for _, effect := range r.last {
		if e, ok := effect.(E); ok {
			r.t.Fatalf("unexpected %#v", e)
		}
	}
}

func (r *hostedRun) arrive(id, path string) {
	key := hostedKey
	r.step(RequestArrived{Request: Request{
		ID: core.RequestID(id), Host: "h", Path: path, Key: &key, PromptTokens: 1000, MaxOutputTokens: 500, HasTokenCounts: true,
		Deadline: r.now.Add(20 * time.Second), Fingerprint: core.Fingerprint{1},
	}})
}

// toDecode takes a stream as far as its decode.
func (r *hostedRun) toDecode(id, path string) StartDecode {
	r.t.Helper()
	r.arrive(id, path)
	r.grant(want[AcquireHold](r))
	r.prefilled(want[StartPrefill](r))
	return want[StartDecode](r)
}

func (r *hostedRun) grant(e AcquireHold) {
	r.step(HoldResult{Request: e.Request, Attempt: e.Attempt, Upstream: e.Upstream, Addr: e.Addr, Outcome: HoldGranted, Hold: "hold"})
}

func (r *hostedRun) prefilled(e StartPrefill) {
	r.step(PrefillDone{Request: e.Request, Attempt: e.Attempt, Upstream: e.Upstream, Addr: e.URL, KV: "kv"})
}

func (r *hostedRun) fail(id string, attempt core.AttemptID, f attempts.Failure) {
	r.step(AttemptFailed{Request: core.RequestID(id), Attempt: attempt, Failure: f})
}

var crash = attempts.Failure{Kind: attempts.FailCrashed, MaybeSent: true}

// Guards against a prompt that is read before a place is held, and against a stream
// that does not use its place and its KV cache.
func TestHostedStreamTakesItsPlaceFirst(t *testing.T) {
	is := is.New(t)
	r := newHostedRun(t)
	r.arrive("1", "/resumable/x")
	none[StartPrefill](r)
	hold := want[AcquireHold](r)
	is.Equal(hold.Tokens, 1500)
	r.grant(hold)
	r.prefilled(want[StartPrefill](r))
	decode := want[StartDecode](r)
	is.Equal(decode.Hold, "hold")
	is.Equal(decode.KV, "kv")
	is.Equal(decode.SourceURL, "p1:1")
	is.Equal(decode.Account, core.AccountID("acct"))
	r.step(FirstToken{Request: "1", Attempt: decode.Attempt})
	r.step(ResponseCompleted{Request: "1", Attempt: decode.Attempt, Status: 200})
	is.Equal(want[Complete](r).Request, core.RequestID("1"))
}

// Guards against engine memory that stays held for a caller that has gone, also when
// the engine's answer comes after it.
func TestHostedCallerGoneFreesEverything(t *testing.T) {
	is := is.New(t)
	r := newHostedRun(t)
	r.arrive("1", "/resumable/x")
	hold := want[AcquireHold](r)
	r.step(CallerDisconnected{Request: "1"})
	want[RequestAbandoned](r)
	r.grant(hold)
	is.Equal(want[ReleaseHold](r).Hold, "hold")

	r.arrive("2", "/resumable/x")
	r.grant(want[AcquireHold](r))
	prefill := want[StartPrefill](r)
	r.step(CallerDisconnected{Request: "2"})
	is.Equal(want[Cancel](r).Attempt, prefill.Attempt)
	want[ReleaseHold](r)
	r.prefilled(prefill)
	is.Equal(want[ReleaseKV](r).KV, "kv")

	decode := r.toDecode("3", "/resumable/x")
	r.step(CallerDisconnected{Request: "3"})
	is.Equal(want[Cancel](r).Attempt, decode.Attempt)
}

// Guards against a request that runs twice, and against one that may have run and is
// called not run.
func TestHostedUnsafeCallIsNeverSentAgain(t *testing.T) {
	is := is.New(t)
	for _, path := range []string{"/call/x", "/once/x"} {
		r := newHostedRun(t)
		var attempt core.AttemptID
		if path == "/call/x" {
			r.arrive("1", path)
			attempt = want[StartCall](r).Attempt
		} else {
			attempt = r.toDecode("1", path).Attempt
		}
		r.fail("1", attempt, crash)
		none[StartCall](r)
		none[AcquireHold](r)
		is.Equal(want[Refuse](r).Refusal.Ran, core.MayHaveRun)
		is.Equal(want[Refuse](r).Refusal.Code.Status(), 502)
	}
}

// Guards against a call that is lost although it certainly did not run.
func TestHostedCallThatDidNotRunGoesElsewhere(t *testing.T) {
	is := is.New(t)
	r := newHostedRun(t)
	r.arrive("1", "/call/x")
	first := want[StartCall](r)
	r.fail("1", first.Attempt, attempts.Failure{Kind: attempts.FailConnect, Upstream: first.Upstream})
	second := want[StartCall](r)
	is.True(second.Upstream != first.Upstream)
	r.fail("1", second.Attempt, attempts.Failure{Kind: attempts.FailFull, Upstream: second.Upstream, MaybeSent: true, ConfirmedNotRun: true})
	third := want[StartCall](r)
	r.fail("1", third.Attempt, crash)
	is.Equal(want[Refuse](r).Refusal.Ran, core.MayHaveRun)
}

// Guards against an Upstream's own failure that is passed on although the request
// may run again, and against more tries than the route allows.
func TestHostedReadIsTriedAgainOnFailure(t *testing.T) {
	is := is.New(t)
	r := newHostedRun(t)
	r.arrive("1", "/read/x")
	first := want[StartCall](r)
	status := attempts.Failure{Kind: attempts.FailProtocolError, Upstream: first.Upstream, MaybeSent: true}
	r.fail("1", first.Attempt, status)
	second := want[StartCall](r)
	is.True(second.Upstream != first.Upstream)
	r.fail("1", second.Attempt, status)
	want[RelayFailure](r)
}

// Guards against a promise about a request that ran at an Upstream before it waited
// for another one in vain.
func TestHostedRefusalAfterARunPromisesNothing(t *testing.T) {
	is := is.New(t)
	r := newHostedRun(t)
	r.arrive("1", "/read/x")
	r.fail("1", want[StartCall](r).Attempt, crash)
	attempt := want[StartCall](r).Attempt
	r.fail("1", attempt, attempts.Failure{Kind: attempts.FailFull, Upstream: "s1", MaybeSent: true, ConfirmedNotRun: true})
	attempt = want[StartCall](r).Attempt
	r.step(UpstreamsListed{Revision: 20}) // no Upstream is left
	r.fail("1", attempt, attempts.Failure{Kind: attempts.FailConnect, Upstream: "s2"})
	none[StartCall](r)
	r.later(10*time.Second + endSlack)
	is.Equal(want[Refuse](r).Refusal.Ran, core.MayHaveRun)
	is.Equal(want[Refuse](r).Refusal.Code.Status(), 502)
}

// Guards against a second prefill, which would count as a further Upstream of the
// request, when a stream goes on after a crash.
func TestHostedStreamGoesOnWithoutASecondPrefill(t *testing.T) {
	is := is.New(t)
	r := newHostedRun(t)
	first := r.toDecode("1", "/resumable/x")
	r.step(FirstToken{Request: "1", Attempt: first.Attempt})
	failure := crash
	failure.Upstream = first.Upstream
	r.fail("1", first.Attempt, failure)
	r.grant(want[AcquireHold](r))
	none[StartPrefill](r)
	second := want[StartDecode](r)
	is.True(second.Upstream != first.Upstream)
	is.Equal(second.KV, "")
	r.fail("1", second.Attempt, crash)
	is.Equal(want[Refuse](r).Refusal.Ran, core.MayHaveRun) // two Upstreams are allowed
}

// Guards against callers that leave a silent engine before the stream goes on
// elsewhere, and against an answer that is ended because its only engine pauses.
func TestHostedSilentEngine(t *testing.T) {
	is := is.New(t)
	r := newHostedRun(t)
	first := r.toDecode("1", "/resumable/x")
	is.Equal(first.EventTimeout, silentEngine)
	r.fail("1", first.Attempt, attempts.Failure{Kind: attempts.FailStalled, Upstream: first.Upstream, MaybeSent: true})
	r.grant(want[AcquireHold](r))
	is.Equal(want[StartDecode](r).EventTimeout, patientPause) // the last one that is allowed
	is.Equal(r.toDecode("2", "/once/x").EventTimeout, patientPause)

	r.arrive("3", "/once/x")
	r.grant(want[AcquireHold](r))
	is.True(want[StartPrefill](r).ResponseTimeout < 2*time.Second) // the place is still held then
}

// Guards against a stream that is lost because its prefill or its KV cache was: the
// decode engine reads the prompt itself.
func TestHostedStreamSurvivesALostPrefill(t *testing.T) {
	is := is.New(t)
	r := newHostedRun(t)
	r.arrive("1", "/once/x")
	r.grant(want[AcquireHold](r))
	r.fail("1", want[StartPrefill](r).Attempt, crash)
	decode := want[StartDecode](r)
	is.Equal(decode.KV, "")
	is.Equal(decode.Hold, "hold")

	decode = r.toDecode("2", "/once/x")
	r.fail("2", decode.Attempt, attempts.Failure{Kind: attempts.FailKVGone, Upstream: decode.Upstream, MaybeSent: true, ConfirmedNotRun: true})
	r.grant(want[AcquireHold](r))
	is.Equal(want[StartDecode](r).KV, "")
}

// Guards against requests that are kept beyond their time limit, and against a
// promise about one that runs.
func TestHostedTimeLimit(t *testing.T) {
	is := is.New(t)
	r := newHostedRun(t)
	r.arrive("1", "/call/x")
	attempt := want[StartCall](r).Attempt
	r.later(10*time.Second + endSlack)
	is.Equal(want[Cancel](r).Attempt, attempt)
	is.Equal(want[Refuse](r).Refusal.Code.Status(), 504)
	is.Equal(want[Refuse](r).Refusal.Ran, core.MayHaveRun)

	r.arrive("2", "/resumable/x")
	want[AcquireHold](r) // no answer to it
	r.later(10*time.Second + endSlack)
	is.Equal(want[Refuse](r).Refusal.Ran, core.NotRun)
	is.Equal(want[Refuse](r).Refusal.Code.Status(), 503)
}

// Guards against a waiting request whose key was withdrawn and that runs all the
// same, and against a version that goes back.
func TestHostedConfiguration(t *testing.T) {
	is := is.New(t)
	r := newHostedRun(t)
	r.arrive("1", "/resumable/x")
	hold := want[AcquireHold](r)
	r.step(HoldResult{Request: "1", Attempt: hold.Attempt, Upstream: hold.Upstream, Outcome: HoldFull})
	hold = want[AcquireHold](r)
	r.step(HoldResult{Request: "1", Attempt: hold.Attempt, Upstream: hold.Upstream, Outcome: HoldFull})
	none[AcquireHold](r) // it waits
	without := hostedRouting(3)
	without.Accounts = nil
	without.Accounts = []config.HostedAccount{{ID: "other"}}
	r.step(RoutingReceived{Routing: config.NewRouting(*without), Revision: 12})
	is.Equal(want[Refuse](r).Refusal.Code, core.CodeKeyRevoked)
	r.step(RoutingReceived{Routing: hostedRouting(2), Revision: 11, From: "peer"})
	none[RoutingActivated](r)
	r.arrive("2", "/call/x")
	is.Equal(want[Refuse](r).Refusal.Code.Status(), 401)
}

// Guards against 401 or 404 from an Instance that knows no configuration yet.
func TestHostedWithoutConfiguration(t *testing.T) {
	is := is.New(t)
	r := &hostedRun{t: t, now: 1}
	r.router = New(Params{Rand: rand.New(rand.NewPCG(1, 2)), NonceSource: bytes.NewReader(nil), Hosted: &HostedParams{
		Retry: retry.Params{Window: time.Second},
	}})
	r.arrive("1", "/call/x")
	is.Equal(want[Refuse](r).Refusal.Code.Status(), 503)
	is.Equal(want[Refuse](r).Refusal.Ran, core.NotRun)
}

// Guards against a request that ends one Upstream after the other, at this and at
// other Instances.
func TestHostedRequestThatCrashesUpstreams(t *testing.T) {
	is := is.New(t)
	r := newHostedRun(t)
	decode := r.toDecode("1", "/resumable/x")
	r.fail("1", decode.Attempt, crash)
	r.grant(want[AcquireHold](r))
	r.fail("1", want[StartDecode](r).Attempt, crash)
	want[Refuse](r)
	peer := fleet.Member{Ref: core.InstanceRef{ID: "peer", Incarnation: 1}, DataCentre: "a", Region: "r"}
	r.step(PeerMessageReceived{From: peer.Ref, Message: Message{Hosted: &HostedHeartbeat{
		Member: peer, State: fleet.State{Serving: true}, Crashes: map[core.Fingerprint]int{{1}: 1},
	}}})
	r.arrive("2", "/resumable/x")
	is.Equal(want[Refuse](r).Refusal.Ran, core.NotRun)
	r.later(crashKept + time.Second)
	r.arrive("3", "/resumable/x")
	want[AcquireHold](r)
}

// Guards against an Instance that stays behind when the store turns it away alone.
func TestHostedFetchesFromAPeerThatIsAhead(t *testing.T) {
	is := is.New(t)
	r := newHostedRun(t)
	peer := fleet.Member{Ref: core.InstanceRef{ID: "peer", Incarnation: 1}, PeerAddr: "peer:1", DataCentre: "a", Region: "r"}
	beat := PeerMessageReceived{From: peer.Ref, Message: Message{Hosted: &HostedHeartbeat{Member: peer, ConfigRevision: 99, CatalogRevision: 10}}}
	r.step(beat)
	none[FetchState](r) // the watch may deliver it any moment
	r.later(peerLag)
	r.step(beat)
	is.Equal(want[FetchState](r), FetchState{Kind: StateConfig, From: "peer", Addr: "peer:1"})
	r.step(beat)
	none[FetchState](r) // one at a time
	r.step(StateFetchEnded{Kind: StateConfig})
	r.step(RoutingReceived{Routing: hostedRouting(9), Revision: 99, From: "peer"})
	want[RoutingActivated](r)
	r.later(peerLag)
	r.step(beat)
	none[FetchState](r)
}

// Guards against callers that are sent to an Instance that stops, and against a stop
// that cuts its requests.
func TestHostedShutdown(t *testing.T) {
	is := is.New(t)
	r := newHostedRun(t)
	peer := fleet.Member{Ref: core.InstanceRef{ID: "peer", Incarnation: 1}, CallerAddr: "peer:2", DataCentre: "a", Region: "r"}
	r.step(PeerMessageReceived{From: peer.Ref, Message: Message{Hosted: &HostedHeartbeat{Member: peer, State: fleet.State{Serving: true}}}})
	r.arrive("1", "/call/x")
	attempt := want[StartCall](r).Attempt
	r.step(ShutdownRequested{})
	want[ShutdownStarted](r)
	is.True(want[SendPeerMessage](r).Message.Hosted.State.Leaving) // told at once
	r.step(CallerAddressesRequested{QueryID: 1, Region: "r", DataCentre: "a", Limit: 8})
	is.Equal(want[CallerAddresses](r).Addresses, []string{"peer:2"})
	r.later(4 * time.Second)
	none[Drained](r) // a request runs
	r.step(ResponseCompleted{Request: "1", Attempt: attempt, Status: 200})
	want[Drained](r)

	r = newHostedRun(t)
	r.arrive("1", "/call/x")
	r.step(ShutdownRequested{})
	r.later(8 * time.Second)
	want[Drained](r) // before the end of the grace period, whatever runs
}
