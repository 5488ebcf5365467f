package router

import (
	"bytes"
	"math/rand/v2"
	"slices"
	"strconv"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/rhubarbsill/rhubarbsill/pkg/attempts"
	"github.com/rhubarbsill/rhubarbsill/pkg/catalog"
	"github.com/rhubarbsill/rhubarbsill/pkg/config"
	"github.com/rhubarbsill/rhubarbsill/pkg/core"
	"github.com/rhubarbsill/rhubarbsill/pkg/fleet"
	"github.com/rhubarbsill/rhubarbsill/pkg/poison"
	"github.com/rhubarbsill/rhubarbsill/pkg/retry"
)

// hostedHarness passes events to one hosted Router and checks its effects.
type hostedHarness struct {
	t           *testing.T
	router      *Router
	now         core.Instant
	lastEffects []Effect
	upstreams   []catalog.Upstream
}

var hostedKey = config.DigestKey("key")

// storeRevision returns a revision of the store's first era.
func storeRevision(number int) core.StoreRevision { return core.StoreRevision{Number: uint64(number)} }

// configAt identifies a configuration whose version and revision have the same number.
func configAt(number int) StateStamp {
	return StateStamp{Version: core.Version(number), Revision: storeRevision(number)}
}

func hostedRouting(version core.Version) *config.Routing {
	route := func(prefix string, safety config.RetrySafety, streaming, resumable bool, service core.ServiceName, maxUpstreams int) config.HostRoute {
		return config.HostRoute{
			Host: "h", Prefix: prefix, RetrySafety: safety, Streaming: streaming, Resumable: resumable, Timeout: 10 * time.Second,
			LatencyTarget: 900 * time.Millisecond, MaxUpstreams: maxUpstreams, ServiceShares: []config.ServiceShare{{Service: service, Weight: 1}},
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

func newHostedHarness(t *testing.T) *hostedHarness {
	t.Helper()
	r := &hostedHarness{t: t, now: core.Instant(time.Second)}
	r.router = New(Params{
		Rand: rand.New(rand.NewPCG(1, 2)), NonceSource: bytes.NewReader(nil),
		Hosted: &HostedParams{
			Member:     fleet.Member{Ref: core.InstanceRef{ID: "self", Incarnation: 5}, DataCentre: "a", Region: "r"},
			Retry:      retry.Params{Ratio: 0.2, Allowance: 20, Window: 10 * time.Second},
			AddressTTL: time.Second, GracePeriod: 8 * time.Second,
		},
	})
	r.step(RoutingReceived{Routing: hostedRouting(1), Revision: storeRevision(10)})
	r.upstreams = []catalog.Upstream{
		{ID: "p1", Service: "llm", Addr: "p1:1", DataCentre: "a", Stage: catalog.StagePrefill, Slots: 8},
		{ID: "d1", Service: "llm", Addr: "d1:1", DataCentre: "a", Stage: catalog.StageDecode, Slots: 8},
		{ID: "d2", Service: "llm", Addr: "d2:1", DataCentre: "a", Stage: catalog.StageDecode, Slots: 8},
		{ID: "s1", Service: "plain", Addr: "s1:1", DataCentre: "a", Slots: 8},
		{ID: "s2", Service: "plain", Addr: "s2:1", DataCentre: "a", Slots: 8},
	}
	r.step(UpstreamsListed{Revision: storeRevision(10), Upstreams: r.upstreams})
	return r
}

func (r *hostedHarness) step(event Event) []Effect {
	r.lastEffects = r.router.Step(r.now, event)
	return r.lastEffects
}

// advance advances the time by d and sends a Tick at each instant that NextWake
// returns.
func (r *hostedHarness) advance(d time.Duration) []Effect {
	var all []Effect
	for end := r.now.Add(d); r.now < end; {
		r.now = min(end, max(r.router.NextWake(), r.now.Add(time.Millisecond)))
		all = append(all, r.step(Tick{})...)
	}
	r.lastEffects = all
	return all
}

// wantEffect returns the first effect of type E of the last step, and fails the test
// if there is none.
func wantEffect[E Effect](r *hostedHarness) E {
	r.t.Helper()
	for _, effect := range r.lastEffects {
		if e, ok := effect.(E); ok {
			return e
		}
	}
	var zero E
	r.t.Fatalf("no %T among %v", zero, r.lastEffects)
	return zero
}

func wantNoEffect[E Effect](r *hostedHarness) {
	r.t.Helper()
	for _, effect := range r.lastEffects {
		if e, ok := effect.(E); ok {
			r.t.Fatalf("unexpected %#v", e)
		}
	}
}

func (r *hostedHarness) sendRequest(id, path string) { r.sendRequestWithParts(id, path) }

// sendRequestUntil sends a request whose caller waits for patience.
func (r *hostedHarness) sendRequestUntil(id, path string, patience time.Duration) {
	key := hostedKey
	r.step(RequestArrived{Request: Request{
		ID: core.RequestID(id), Host: "h", Path: path, Key: &key, PromptTokens: 1000, MaxOutputTokens: 500, HasTokenCounts: true,
		Deadline: r.now.Add(patience),
	}})
}

// sendRequestWithParts sends a request whose prompt has shared parts. Requests with
// different parts have different fingerprints.
func (r *hostedHarness) sendRequestWithParts(id, path string, parts ...core.PromptPart) {
	key := hostedKey
	fingerprint := core.Fingerprint{1}
	if len(parts) > 0 {
		copy(fingerprint[:], id)
	}
	r.step(RequestArrived{Request: Request{
		ID: core.RequestID(id), Host: "h", Path: path, Key: &key, PromptTokens: 1000, MaxOutputTokens: 500, HasTokenCounts: true,
		Deadline: r.now.Add(20 * time.Second), Fingerprint: fingerprint, SharedParts: parts,
	}})
}

// startStream sends a streaming request and completes its hold and prefill, so that
// the decode starts.
func (r *hostedHarness) startStream(id, path string) StartDecode {
	r.t.Helper()
	r.sendRequest(id, path)
	r.grantHold(wantEffect[AcquireHold](r))
	r.completePrefill(wantEffect[StartPrefill](r))
	return wantEffect[StartDecode](r)
}

func (r *hostedHarness) grantHold(e AcquireHold) {
	r.step(HoldResult{Request: e.Request, Attempt: e.Attempt, Upstream: e.Upstream, Addr: e.Addr, Outcome: HoldGranted, Hold: "hold"})
}

func (r *hostedHarness) completePrefill(e StartPrefill) {
	r.step(PrefillDone{Request: e.Request, Attempt: e.Attempt, Upstream: e.Upstream, Addr: e.URL, KV: "kv"})
}

func (r *hostedHarness) failAttempt(id string, attempt core.AttemptID, f attempts.Failure) {
	r.step(AttemptFailed{Request: core.RequestID(id), Attempt: attempt, Failure: f})
}

var crashFailure = attempts.Failure{Kind: attempts.FailCrashed, MaybeSent: true}

// Guards against a prefill that starts before the hold at the decode engine is
// granted, and against a decode that does not use its hold and its KV cache.
func TestHostedStreamAcquiresHoldFirst(t *testing.T) {
	is := is.New(t)
	r := newHostedHarness(t)
	r.sendRequest("1", "/resumable/x")
	wantNoEffect[StartPrefill](r)
	hold := wantEffect[AcquireHold](r)
	is.Equal(hold.Tokens, 1500)
	r.grantHold(hold)
	r.completePrefill(wantEffect[StartPrefill](r))
	decode := wantEffect[StartDecode](r)
	is.Equal(decode.Hold, "hold")
	is.Equal(decode.KV, "kv")
	is.Equal(decode.SourceURL, "p1:1")
	is.Equal(decode.Account, core.AccountID("acct"))
	r.step(FirstToken{Request: "1", Attempt: decode.Attempt})
	r.step(ResponseCompleted{Request: "1", Attempt: decode.Attempt, Status: 200})
	is.Equal(wantEffect[Complete](r).Request, core.RequestID("1"))
}

// Guards against engine memory that stays held after the caller has disconnected, also
// if the engine's reply arrives after that.
func TestHostedCallerGoneFreesEverything(t *testing.T) {
	is := is.New(t)
	r := newHostedHarness(t)
	r.sendRequest("1", "/resumable/x")
	hold := wantEffect[AcquireHold](r)
	r.step(CallerDisconnected{Request: "1"})
	wantEffect[RequestAbandoned](r)
	r.grantHold(hold)
	is.Equal(wantEffect[ReleaseHold](r).Hold, "hold")

	r.sendRequest("2", "/resumable/x")
	r.grantHold(wantEffect[AcquireHold](r))
	prefill := wantEffect[StartPrefill](r)
	r.step(CallerDisconnected{Request: "2"})
	is.Equal(wantEffect[Cancel](r).Attempt, prefill.Attempt)
	wantEffect[ReleaseHold](r)
	r.completePrefill(prefill)
	is.Equal(wantEffect[ReleaseKV](r).KV, "kv")

	decode := r.startStream("3", "/resumable/x")
	r.step(CallerDisconnected{Request: "3"})
	is.Equal(wantEffect[Cancel](r).Attempt, decode.Attempt)
}

// Guards against a request that runs twice although it is not idempotent, and against
// a refusal that states not run for a request that may have run.
func TestHostedUnsafeCallIsNeverSentAgain(t *testing.T) {
	is := is.New(t)
	for _, path := range []string{"/call/x", "/once/x"} {
		r := newHostedHarness(t)
		var attempt core.AttemptID
		if path == "/call/x" {
			r.sendRequest("1", path)
			attempt = wantEffect[StartCall](r).Attempt
		} else {
			attempt = r.startStream("1", path).Attempt
		}
		r.failAttempt("1", attempt, crashFailure)
		wantNoEffect[StartCall](r)
		wantNoEffect[AcquireHold](r)
		is.Equal(wantEffect[Refuse](r).Refusal.Ran, core.MayHaveRun)
		is.Equal(wantEffect[Refuse](r).Refusal.Code.Status(), 502)
	}
}

// Guards against a refusal of a plain request that certainly did not run, so that it
// can be retried.
func TestHostedRequestThatDidNotRunIsRetried(t *testing.T) {
	is := is.New(t)
	r := newHostedHarness(t)
	r.sendRequest("1", "/call/x")
	first := wantEffect[StartCall](r)
	r.failAttempt("1", first.Attempt, attempts.Failure{Kind: attempts.FailConnect, Upstream: first.Upstream})
	second := wantEffect[StartCall](r)
	is.True(second.Upstream != first.Upstream)
	r.failAttempt("1", second.Attempt, attempts.Failure{Kind: attempts.FailFull, Upstream: second.Upstream, MaybeSent: true, ConfirmedNotRun: true})
	third := wantEffect[StartCall](r)
	r.failAttempt("1", third.Attempt, crashFailure)
	is.Equal(wantEffect[Refuse](r).Refusal.Ran, core.MayHaveRun)
}

// Guards against relaying an Upstream's error response although the request may be
// retried, and against more attempts than the route allows.
func TestHostedReadIsRetriedOnFailure(t *testing.T) {
	is := is.New(t)
	r := newHostedHarness(t)
	r.sendRequest("1", "/read/x")
	first := wantEffect[StartCall](r)
	status := attempts.Failure{Kind: attempts.FailProtocolError, Upstream: first.Upstream, MaybeSent: true}
	r.failAttempt("1", first.Attempt, status)
	second := wantEffect[StartCall](r)
	is.True(second.Upstream != first.Upstream)
	r.failAttempt("1", second.Attempt, status)
	wantEffect[RelayFailure](r)
}

// Guards against a refusal that states not run for a request that ran at an Upstream
// and then waited for another one until its deadline.
func TestHostedRefusalAfterARunPromisesNothing(t *testing.T) {
	is := is.New(t)
	r := newHostedHarness(t)
	r.sendRequest("1", "/read/x")
	r.failAttempt("1", wantEffect[StartCall](r).Attempt, crashFailure)
	attempt := wantEffect[StartCall](r).Attempt
	r.failAttempt("1", attempt, attempts.Failure{Kind: attempts.FailFull, Upstream: "s1", MaybeSent: true, ConfirmedNotRun: true})
	attempt = wantEffect[StartCall](r).Attempt
	r.step(UpstreamsListed{Revision: storeRevision(20)}) // no Upstream remains
	r.failAttempt("1", attempt, attempts.Failure{Kind: attempts.FailConnect, Upstream: "s2"})
	wantNoEffect[StartCall](r)
	r.advance(10*time.Second + deadlineSlack)
	is.Equal(wantEffect[Refuse](r).Refusal.Ran, core.MayHaveRun)
	is.Equal(wantEffect[Refuse](r).Refusal.Code.Status(), 502)
}

// Guards against a second prefill when a stream is retried after a crash: it would
// count towards the MaxUpstreams of the route.
func TestHostedStreamGoesOnWithoutASecondPrefill(t *testing.T) {
	is := is.New(t)
	r := newHostedHarness(t)
	first := r.startStream("1", "/resumable/x")
	r.step(FirstToken{Request: "1", Attempt: first.Attempt})
	failure := crashFailure
	failure.Upstream = first.Upstream
	r.failAttempt("1", first.Attempt, failure)
	r.grantHold(wantEffect[AcquireHold](r))
	wantNoEffect[StartPrefill](r)
	second := wantEffect[StartDecode](r)
	is.True(second.Upstream != first.Upstream)
	is.Equal(second.KV, "")
	r.failAttempt("1", second.Attempt, crashFailure)
	is.Equal(wantEffect[Refuse](r).Refusal.Ran, core.MayHaveRun) // two Upstreams are allowed
}

// Guards against a timeout so long that callers disconnect before the stream is retried,
// and against one so short that it ends a stream that can't be retried.
func TestHostedEventTimeouts(t *testing.T) {
	is := is.New(t)
	r := newHostedHarness(t)
	first := r.startStream("1", "/resumable/x")
	is.Equal(first.StallTimeout, streamStallTimeout)
	is.Equal(first.EventTimeout, minEventTimeout)
	r.failAttempt("1", first.Attempt, attempts.Failure{Kind: attempts.FailStalled, Upstream: first.Upstream, MaybeSent: true})
	r.grantHold(wantEffect[AcquireHold](r))
	second := wantEffect[StartDecode](r)
	is.Equal(second.StallTimeout, time.Duration(0)) // no further Upstream is allowed
	is.Equal(second.EventTimeout, minEventTimeout)
	once := r.startStream("2", "/once/x")
	is.Equal(once.StallTimeout, time.Duration(0))
	is.Equal(once.EventTimeout, minEventTimeout)

	r.sendRequest("3", "/once/x")
	r.grantHold(wantEffect[AcquireHold](r))
	is.True(wantEffect[StartPrefill](r).ResponseTimeout < 2*time.Second) // the hold is still valid then
}

// Guards against a stream that fails because its prefill failed or its KV cache was
// lost: the decode engine computes the prefill itself.
func TestHostedStreamSurvivesALostPrefill(t *testing.T) {
	is := is.New(t)
	r := newHostedHarness(t)
	r.sendRequest("1", "/once/x")
	r.grantHold(wantEffect[AcquireHold](r))
	r.failAttempt("1", wantEffect[StartPrefill](r).Attempt, crashFailure)
	decode := wantEffect[StartDecode](r)
	is.Equal(decode.KV, "")
	is.Equal(decode.Hold, "hold")

	decode = r.startStream("2", "/once/x")
	r.failAttempt("2", decode.Attempt, attempts.Failure{Kind: attempts.FailKVGone, Upstream: decode.Upstream, MaybeSent: true, ConfirmedNotRun: true})
	r.grantHold(wantEffect[AcquireHold](r))
	is.Equal(wantEffect[StartDecode](r).KV, "")
}

// Guards against requests that continue after their deadline, and against a refusal
// that states not run for a request that runs.
func TestHostedTimeLimit(t *testing.T) {
	is := is.New(t)
	r := newHostedHarness(t)
	r.sendRequest("1", "/call/x")
	attempt := wantEffect[StartCall](r).Attempt
	r.advance(10*time.Second + deadlineSlack)
	is.Equal(wantEffect[Cancel](r).Attempt, attempt)
	is.Equal(wantEffect[Refuse](r).Refusal.Code.Status(), 504)
	is.Equal(wantEffect[Refuse](r).Refusal.Ran, core.MayHaveRun)

	r.sendRequest("2", "/resumable/x")
	wantEffect[AcquireHold](r) // gets no result
	r.advance(10*time.Second + deadlineSlack)
	is.Equal(wantEffect[Refuse](r).Refusal.Ran, core.NotRun)
	is.Equal(wantEffect[Refuse](r).Refusal.Code.Status(), 503)
}

// Guards against a waiting request that runs although its key was revoked, and against
// the activation of an older configuration version.
func TestHostedConfiguration(t *testing.T) {
	is := is.New(t)
	r := newHostedHarness(t)
	r.sendRequest("1", "/resumable/x")
	hold := wantEffect[AcquireHold](r)
	r.step(HoldResult{Request: "1", Attempt: hold.Attempt, Upstream: hold.Upstream, Outcome: HoldFull})
	hold = wantEffect[AcquireHold](r)
	r.step(HoldResult{Request: "1", Attempt: hold.Attempt, Upstream: hold.Upstream, Outcome: HoldFull})
	wantNoEffect[AcquireHold](r) // it waits
	without := hostedRouting(3)
	without.Accounts = nil
	without.Accounts = []config.HostedAccount{{ID: "other"}}
	r.step(RoutingReceived{Routing: config.NewRouting(*without), Revision: storeRevision(12)})
	is.Equal(wantEffect[Refuse](r).Refusal.Code, core.CodeKeyRevoked)
	r.step(RoutingReceived{Routing: hostedRouting(2), Revision: storeRevision(11), From: "peer"})
	wantNoEffect[RoutingActivated](r)
	r.sendRequest("2", "/call/x")
	is.Equal(wantEffect[Refuse](r).Refusal.Code.Status(), 401)
}

// Guards against 401 or 404 from an Instance that has no configuration yet.
func TestHostedWithoutConfiguration(t *testing.T) {
	is := is.New(t)
	r := &hostedHarness{t: t, now: 1}
	r.router = New(Params{Rand: rand.New(rand.NewPCG(1, 2)), NonceSource: bytes.NewReader(nil), Hosted: &HostedParams{
		Retry: retry.Params{Window: time.Second},
	}})
	r.sendRequest("1", "/call/x")
	is.Equal(wantEffect[Refuse](r).Refusal.Code.Status(), 503)
	is.Equal(wantEffect[Refuse](r).Refusal.Ran, core.NotRun)
}

// Guards against a request that crashes one Upstream after another when callers send
// it again, at this or at another Instance.
func TestHostedRequestThatCrashesUpstreams(t *testing.T) {
	is := is.New(t)
	r := newHostedHarness(t)
	decode := r.startStream("1", "/resumable/x")
	failure := crashFailure
	failure.Upstream = decode.Upstream
	r.failAttempt("1", decode.Attempt, failure)
	r.grantHold(wantEffect[AcquireHold](r))
	r.failAttempt("1", wantEffect[StartDecode](r).Attempt, crashFailure)
	wantEffect[Refuse](r)
	r.advance(time.Second)
	r.reportCrash("d9", 0)
	r.sendRequest("2", "/resumable/x")
	is.Equal(wantEffect[Refuse](r).Refusal.Ran, core.NotRun)
	r.advance(crashTrialDelay + time.Second)
	r.sendRequest("3", "/resumable/x")
	wantEffect[AcquireHold](r)
}

// reportCrash delivers a heartbeat of a peer that reports the crash of a process, at the given age,
// which ran the requests of sendRequest.
func (r *hostedHarness) reportCrash(id core.UpstreamID, age time.Duration) {
	peer := fleet.Member{Ref: core.InstanceRef{ID: "peer", Incarnation: 1}, DataCentre: "a", Region: "r"}
	part := core.PromptPart(string([]byte{0: 1, 15: 0}))
	report := poison.Report{Crashes: []poison.Crash{{Process: poison.Process{ID: id}, Age: age}}, Common: []core.PromptPart{part}}
	r.step(PeerMessageReceived{From: peer.Ref, Message: Message{Hosted: &HostedHeartbeat{
		Member: peer, State: fleet.State{Serving: true}, Crashing: map[core.PromptPart]poison.Report{part: report},
	}}})
}

// Guards against an Upstream that has gone and gets requests again: an Instance that keeps
// its entry for a while after an outage of the store offers it to peers that have removed it.
func TestHostedPeersAreNotOfferedRemovedUpstreams(t *testing.T) {
	is := is.New(t)
	r := newHostedHarness(t)
	r.step(StoreCallFailed{})
	r.step(UpstreamsChanged{Revision: storeRevision(11), Changes: []catalog.Change{{ID: "s1"}}})
	offered := wantEffect[UpstreamsUpdated](r).Upstreams
	is.True(!slices.ContainsFunc(offered, func(up catalog.Upstream) bool { return up.ID == "s1" }))
	is.Equal(len(offered), 4)
	_, found := r.router.hosted.catalog.Get("s1")
	is.True(found) // it stays usable here

	peer := newHostedHarness(t) // one that has had no outage
	peer.step(UpstreamsChanged{Revision: storeRevision(11), Changes: []catalog.Change{{ID: "s1"}}})
	peer.step(UpstreamsListed{Revision: storeRevision(12), Upstreams: offered, From: "other"})
	_, found = peer.router.hosted.catalog.Get("s1")
	is.True(!found)
}

// crashEngines sends requests with one part in common, no two of them alike, until n
// engine processes have crashed.
func (r *hostedHarness) crashEngines(n int, parts ...core.PromptPart) {
	for i := range n {
		id := "crash" + strconv.Itoa(i)
		r.step(UpstreamsListed{Revision: storeRevision(100 + i), Upstreams: []catalog.Upstream{
			{ID: "p1", Service: "llm", Addr: "p1:1", DataCentre: "a", Stage: catalog.StagePrefill, Slots: 8},
			{ID: "d1", Service: "llm", Addr: "d1:1", DataCentre: "a", Stage: catalog.StageDecode, Slots: 8, Born: int64(i + 1)},
		}})
		r.sendRequestWithParts(id, "/once/x", parts...)
		r.grantHold(wantEffect[AcquireHold](r))
		r.completePrefill(wantEffect[StartPrefill](r))
		r.failAttempt(id, wantEffect[StartDecode](r).Attempt, crashFailure)
		r.advance(time.Second)
	}
}

// Guards against requests of one kind that crash one engine after the other, although no
// two of them are alike, and against the refusal of sound ones that share other parts.
func TestHostedPartOfAPromptThatCrashesEngines(t *testing.T) {
	is := is.New(t)
	r := newHostedHarness(t)
	r.crashEngines(3, "first", "bad")
	r.sendRequestWithParts("new", "/once/x", "first", "bad")
	refusal := wantEffect[Refuse](r).Refusal
	is.Equal(refusal.Ran, core.NotRun)
	is.True(refusal.RetryAfter > 0)
	wantNoEffect[AcquireHold](r)
	r.sendRequestWithParts("sound", "/once/x", "first")
	wantEffect[AcquireHold](r)
}

// Guards against requests that reach an engine after their part has become known, because
// they were admitted before.
func TestHostedAdmittedRequestsWithAPartThatCrashesEngines(t *testing.T) {
	is := is.New(t)
	r := newHostedHarness(t)
	r.crashEngines(2, "bad")
	r.sendRequestWithParts("hold", "/once/x", "bad")
	hold := wantEffect[AcquireHold](r)
	r.sendRequestWithParts("prefill", "/once/x", "bad")
	r.grantHold(wantEffect[AcquireHold](r))
	prefill := wantEffect[StartPrefill](r)
	peer := fleet.Member{Ref: core.InstanceRef{ID: "peer", Incarnation: 1}, PeerAddr: "peer:1", DataCentre: "a", Region: "r"}
	report := poison.Report{Crashes: []poison.Crash{{Process: poison.Process{ID: "d9"}}}, Common: []core.PromptPart{"bad"}}
	r.step(PeerMessageReceived{From: peer.Ref, Message: Message{Hosted: &HostedHeartbeat{Member: peer, Poison: map[core.PromptPart]poison.Report{"bad": report}}}})
	r.grantHold(hold)
	is.Equal(wantEffect[Refuse](r).Refusal.Ran, core.NotRun)
	wantEffect[ReleaseHold](r)
	wantNoEffect[StartPrefill](r)
	r.completePrefill(prefill)
	is.Equal(wantEffect[Refuse](r).Refusal.Ran, core.NotRun)
	wantEffect[ReleaseHold](r)
	wantEffect[ReleaseKV](r)
	wantNoEffect[StartDecode](r)
}

// Guards against the blame of streams that an engine was already generating when another
// request crashed it.
func TestHostedStreamsInProgressAreNotBlamedForACrash(t *testing.T) {
	r := newHostedHarness(t)
	for i := range 6 {
		id := "stream" + strconv.Itoa(i)
		r.step(UpstreamsListed{Revision: storeRevision(100 + i), Upstreams: []catalog.Upstream{
			{ID: "p1", Service: "llm", Addr: "p1:1", DataCentre: "a", Stage: catalog.StagePrefill, Slots: 8},
			{ID: "d1", Service: "llm", Addr: "d1:1", DataCentre: "a", Stage: catalog.StageDecode, Slots: 8, Born: int64(i + 1)},
		}})
		r.sendRequestWithParts(id, "/once/x", "shared")
		r.grantHold(wantEffect[AcquireHold](r))
		r.completePrefill(wantEffect[StartPrefill](r))
		attempt := wantEffect[StartDecode](r).Attempt
		r.step(FirstToken{Request: core.RequestID(id), Attempt: attempt})
		r.advance(time.Second)
		r.failAttempt(id, attempt, crashFailure)
	}
	r.sendRequestWithParts("next", "/once/x", "shared")
	wantEffect[AcquireHold](r)
}

// Guards against an Instance that new ones do not find, and against two incarnations that overwrite
// each other's entry.
func TestHostedWritesItsMissingEntryAgain(t *testing.T) {
	r := newHostedHarness(t)
	self := r.router.HostedMember()
	earlier, later := self, self
	earlier.Ref.Incarnation--
	later.Ref.Incarnation++
	r.step(MembersListed{Members: nil, Complete: true})
	wantEffect[RegisterMember](r)
	r.step(MembersListed{Members: []fleet.Member{earlier}, Complete: true})
	wantEffect[RegisterMember](r)
	for _, e := range []MembersListed{{}, {Members: []fleet.Member{self}, Complete: true}, {Members: []fleet.Member{later}, Complete: true}} {
		r.step(e)
		wantNoEffect[RegisterMember](r)
	}
	r.step(ShutdownRequested{})
	r.step(MembersListed{Complete: true})
	wantNoEffect[RegisterMember](r)
}
