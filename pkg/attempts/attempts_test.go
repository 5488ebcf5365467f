package attempts

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/rhubarbsill/rhubarbsill/pkg/core"
)

const (
	// memoryReleaseLimit is the time after the end of all faults within which every
	// engine must release the memory of finished requests: one owner query, one
	// maximum cancel back-off, and the reports around them.
	memoryReleaseLimit = 20 * time.Second
	deadline           = 8 * time.Second
)

// runFaults draws requests and faults, runs them and checks the invariants of every
// request.
func runFaults(t *rapid.T) {
	sim := newSimulation(rapid.Uint64().Draw(t, "seed"), 3, 6, Params{RetryBurst: 100})
	sim.faultsEnd = sim.now.Add(6 * time.Second)
	sim.lossRate = rapid.Float64Range(0, 0.5).Draw(t, "loss")
	sim.delayedShare = rapid.Float64Range(0, 0.5).Draw(t, "late")
	sim.maxStartDelayMS = 3000 // some starts arrive later than maxStartTransit
	n := rapid.IntRange(1, 25).Draw(t, "requests")
	for k := range n {
		c := &caller{owner: sim.instances[rapid.IntRange(0, 2).Draw(t, "owner")]}
		c.ID = core.RequestID(fmt.Sprintf("r%d", k))
		c.Fingerprint = core.Fingerprint{byte(rapid.IntRange(0, 40).Draw(t, "print"))}
		c.plain = rapid.Bool().Draw(t, "plain")
		c.Idempotent = !c.plain || rapid.Bool().Draw(t, "idempotent")
		if !c.plain {
			c.MaxOutputTokens = rapid.IntRange(1, 100).Draw(t, "output")
		}
		sim.schedule(time.Duration(rapid.IntRange(0, 5000).Draw(t, "arrival"))*ms, func() {
			c.Deadline = sim.now.Add(deadline)
			if !c.owner.alive {
				c.disconnected = true
				return
			}
			sim.submit(c)
		})
		if rapid.Bool().Draw(t, "leaves") {
			sim.schedule(time.Duration(rapid.IntRange(0, 6000).Draw(t, "leaves at"))*ms, func() {
				if sim.requests[c.ID] == nil || c.isOver() {
					return
				}
				c.disconnected = true
				sim.callInstance(c.owner, c.ref, func(a *Attempts) []Output { return a.OnCallerDisconnected(sim.now, c.ID) })
			})
		}
	}
	for range rapid.IntRange(0, 6).Draw(t, "faults") {
		drawFault(t, sim)
	}
	sim.runUntil(sim.faultsEnd.Add(memoryReleaseLimit))
	checkRequests(t, sim)
}

func drawFault(t *rapid.T, sim *simulation) {
	kind := rapid.SampledFrom([]string{"crash", "stall", "silent", "kill", "pause"}).Draw(t, "fault")
	e := sim.engines[rapid.IntRange(0, len(sim.engines)-1).Draw(t, "engine")]
	i := sim.instances[rapid.IntRange(0, len(sim.instances)-1).Draw(t, "instance")]
	restart := rapid.Bool().Draw(t, "restart")
	length := time.Duration(rapid.IntRange(10, 1500).Draw(t, "length")) * ms
	sim.schedule(time.Duration(rapid.IntRange(0, 4000).Draw(t, "fault at"))*ms, func() {
		switch kind {
		case "crash":
			sim.crash(e)
		case "stall":
			e.stalls = true
			sim.schedule(length, func() { e.stalls = false })
		case "silent":
			e.silent = true
			sim.schedule(length, func() { e.silent = false })
		case "kill":
			sim.kill(i, restart)
		case "pause":
			i.pausedUntil = sim.now.Add(length)
		}
	})
}

func checkRequests(t *rapid.T, sim *simulation) {
	for _, violation := range sim.violations {
		t.Error(violation)
	}
	for _, leak := range sim.leaks() {
		t.Errorf("memory not released %v after the faults: %s", memoryReleaseLimit, leak)
	}
	for id, c := range sim.requests {
		responses := c.completions + c.refusals
		if responses > 1 {
			t.Errorf("%s: %d complete responses and %d refusals", id, c.completions, c.refusals)
		}
		if responses == 0 && !c.disconnected && c.owner.runs(c.ref) {
			t.Errorf("%s: no response by its deadline", id)
		}
	}
}

// Guards against memory held for a disconnected caller, two responses or none, a
// second send of a non-idempotent request and a false "not run", under lost,
// repeated and reordered messages, crashes, stalls, silence, kills and pauses.
func TestPromisesUnderFaults(t *testing.T) { rapid.Check(t, runFaults) }

// runCrashingRequest sends a request that crashes every engine that decodes it. Its
// caller sends it again to another Instance at the first crash and after each
// refusal.
func runCrashingRequest(t *rapid.T) {
	sim := newSimulation(rapid.Uint64().Draw(t, "seed"), rapid.IntRange(1, 5).Draw(t, "instances"), 10, Params{RetryBurst: 1000})
	sim.faultsEnd = sim.now.Add(20 * time.Second)
	sim.lossRate = rapid.Float64Range(0, 0.3).Draw(t, "loss")
	sim.delayedShare = rapid.Float64Range(0, 0.2).Draw(t, "late")
	sim.maxStartDelayMS = 900
	sim.runUntil(sim.now.Add(1200 * ms)) // the Instances have exchanged their records
	for k := range rapid.IntRange(0, 20).Draw(t, "unrelated") {
		c := &caller{owner: sim.instances[k%len(sim.instances)]}
		c.Request = Request{ID: core.RequestID(fmt.Sprintf("r%d", k)), Fingerprint: core.Fingerprint{byte(k)}, Idempotent: true, MaxOutputTokens: 40}
		c.Deadline = sim.now.Add(30 * time.Second)
		sim.schedule(time.Duration(rapid.IntRange(0, 500).Draw(t, "arrival"))*ms, func() { sim.submit(c) })
	}
	restart := rapid.Bool().Draw(t, "restart")
	sent := 0
	var submitCrashing func()
	submitCrashing = func() {
		c := &caller{owner: sim.instances[sim.rng.IntN(len(sim.instances))]}
		c.Request = Request{ID: core.RequestID(fmt.Sprintf("crashing%d", sent)), Fingerprint: sim.crashingPrint, Idempotent: true, MaxOutputTokens: 40}
		c.Deadline = sim.now.Add(10 * time.Second)
		sent++
		if !c.owner.alive || sent > 30 {
			return
		}
		sim.submit(c)
		var watch func()
		watch = func() {
			if c.isOver() {
				sim.schedule(200*ms, submitCrashing)
				return
			}
			sim.schedule(5*ms, watch)
		}
		sim.schedule(5*ms, watch)
	}
	sim.onCrash = func() {
		sim.onCrash = nil
		sim.schedule(0, submitCrashing)
		if restart {
			// Restarts an Instance that is not involved, except perhaps as the
			// arbiter.
			sim.schedule(4*time.Second, func() { sim.kill(sim.instances[0], true) })
		}
	}
	sim.schedule(200*ms, submitCrashing)
	sim.runUntil(sim.now.Add(60 * time.Second))
	if len(sim.crashedUpstreams) > maxLostUpstreams {
		t.Errorf("lost %d upstreams to one request: %v", len(sim.crashedUpstreams), sim.crashedUpstreams)
	}
	checkRequests(t, sim)
	checkUnrelatedRequests(t, sim, restart)
}

// maxLostUpstreams is the guaranteed limit of crashes by one fingerprint.
const maxLostUpstreams = 2

// checkUnrelatedRequests excepts requests that happened to run on both crashed
// Upstreams, because they can't be told from the cause. When an Instance restarts,
// a request whose permitted attempt ended with it has one more loss.
func checkUnrelatedRequests(t *rapid.T, sim *simulation, restart bool) {
	for id, c := range sim.requests {
		if c.Fingerprint == sim.crashingPrint || !c.owner.runs(c.ref) {
			continue
		}
		excepted := sim.crashesByPrint[c.Fingerprint] >= maxLostUpstreams || (restart && c.refusal != nil && c.refusal.Code == core.CodeRequestCrashesUpstreams)
		if c.completions == 0 && !excepted {
			t.Errorf("%s: unrelated request refused: %v", id, c.refusal)
		}
		if c.completions > 0 && c.owner.a.isSuspect(c.Fingerprint) {
			t.Errorf("%s: completed, but still suspect", id)
		}
	}
}

// Guards against a request that crashes more than two Upstreams, and against
// unrelated requests that fail with it.
func TestCrashingRequestLosesAtMostTwoUpstreams(t *testing.T) { rapid.Check(t, runCrashingRequest) }

// Guards against the cancel of an orphaned prefill that outlives its attempt and
// keeps the fingerprint active for ever. Found with rapid seed
// 16741056028480795028.
func TestOrphanCancelReleasesFingerprint(t *testing.T) {
	is := is.New(t)
	a := New(core.InstanceRef{ID: "i0", Incarnation: 1}, Params{})
	a.SetMembers(0, []core.InstanceRef{a.self})
	r := Request{ID: "r", Fingerprint: core.Fingerprint{1}, Idempotent: true, MaxOutputTokens: 10, Deadline: core.Instant(time.Minute)}
	id := a.Start(1, r, Placement{Prefill: "p", Decode: "d"})[0].(StartPrefill).Attempt
	a.OnPrefillDone(2, id)
	a.OnFirstToken(3, id)
	is.Equal(a.OnAttemptReport(4, "p", AttemptReport{ObservedAt: 3, Attempts: []core.AttemptID{id}}), []Output{Cancel{Attempt: id, Upstream: "p"}})
	is.Equal(len(a.OnFailed(5, id, Failure{Kind: FailCrashed, Upstream: "d", MaybeSent: true})), 0) // "p" may still hold it
	outputs := a.OnAttemptReport(7, "p", AttemptReport{ObservedAt: 6})
	is.Equal(outputs, []Output{Reschedule{Request: "r", AvoidUpstreams: []core.UpstreamID{"d"}, TokensSent: 1}})
}

// Guards against a stage without a deadline: a stalled prefill, a stalled transfer
// and a silent connection must each be cancelled and placed again.
func TestSilentStagesAreReplaced(t *testing.T) {
	tests := []struct {
		name   string
		reach  func(a *Attempts, id core.AttemptID)
		within time.Duration
		cancel []core.UpstreamID
		sent   int
	}{
		{"prefill", func(*Attempts, core.AttemptID) {}, 3 * time.Second, []core.UpstreamID{"p"}, 0},
		{"transfer", func(a *Attempts, id core.AttemptID) { a.OnPrefillDone(0, id) }, 2 * time.Second, []core.UpstreamID{"p", "d"}, 0},
		{"decode", func(a *Attempts, id core.AttemptID) {
			a.OnPrefillDone(0, id)
			a.OnFirstToken(0, id)
			a.OnProgress(0, id, 7)
		}, 2 * time.Second, []core.UpstreamID{"d"}, 7},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			a := New(core.InstanceRef{ID: "i0", Incarnation: 1}, Params{})
			r := Request{ID: "r", Idempotent: true, MaxOutputTokens: 10, Deadline: core.Instant(time.Minute)}
			id := a.Start(0, r, Placement{Prefill: "p", Decode: "d"})[0].(StartPrefill).Attempt
			test.reach(a, id)
			var outputs []Output
			for a.NextWake() <= core.Instant(test.within) {
				outputs = append(outputs, a.Tick(a.NextWake())...)
			}
			var want []Output
			for _, up := range test.cancel {
				want = append(want, Cancel{Attempt: id, Upstream: up})
			}
			failed := test.cancel[0]
			is.Equal(outputs, append(want, Reschedule{Request: "r", AvoidUpstreams: []core.UpstreamID{failed}, TokensSent: test.sent}))
		})
	}
}

// Guards against a retry that can't yield a complete response or may run a request
// twice, and against a false Ran.
func TestRetryOnlyWhileCompleteResponseIsPossible(t *testing.T) {
	chat := Request{ID: "r", Idempotent: true, MaxOutputTokens: 10, Deadline: core.Instant(time.Minute)}
	call := Request{ID: "r", Deadline: core.Instant(time.Minute)}
	short := chat
	short.Deadline = core.Instant(40 * ms)
	idempotentCall := call
	idempotentCall.Idempotent = true
	tests := []struct {
		name   string
		r      Request
		tokens int
		f      Failure
		code   core.Code // empty: retried
		ran    core.ExecutionStatus
	}{
		{"idempotent", chat, 3, Failure{Kind: FailStalled, MaybeSent: true}, "", ""},
		{"all tokens sent", chat, 10, Failure{Kind: FailStalled, MaybeSent: true}, core.CodeUpstreamFailed, core.MayHaveRun},
		{"too late", short, 0, Failure{Kind: FailConnect}, core.CodeDeadlineExceeded, core.NotRun},
		{"rejected", chat, 0, Failure{Kind: FailProtocolError, MaybeSent: true}, core.CodeUpstreamFailed, core.MayHaveRun},
		{"call, not sent", call, 0, Failure{Kind: FailConnect}, "", ""},
		{"call, sent", call, 0, Failure{Kind: FailConnect, MaybeSent: true}, core.CodeUpstreamFailed, core.MayHaveRun},
		{"idempotent call, sent", idempotentCall, 0, Failure{Kind: FailConnect, MaybeSent: true}, "", ""},
		{"idempotent call, part of the response sent", idempotentCall, 100, Failure{Kind: FailStalled, MaybeSent: true}, core.CodeUpstreamFailed, core.MayHaveRun},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			a := New(core.InstanceRef{ID: "i0", Incarnation: 1}, Params{})
			placement := Placement{Prefill: "p", Decode: "d"}
			if test.r.MaxOutputTokens == 0 {
				placement = Placement{Replica: "c"}
			}
			a.Start(0, test.r, placement)
			id := core.AttemptID{Owner: a.self, Seq: 1}
			a.OnPrefillDone(0, id)
			if test.f.MaybeSent == false {
				a.live[id].maybeSent = false
			}
			a.OnProgress(0, id, test.tokens)
			outputs := a.OnFailed(0, id, test.f)
			last := outputs[len(outputs)-1]
			if test.code == "" {
				_, retried := last.(Reschedule)
				is.True(retried)
				return
			}
			failed := last.(RequestFailed)
			is.Equal(failed.Refusal.Code, test.code)
			is.Equal(failed.Refusal.Ran, test.ran)
		})
	}
}

// Guards against unbounded retries: their number is limited by the burst and a
// share of the requests.
func TestRetryBudget(t *testing.T) {
	is := is.New(t)
	a := New(core.InstanceRef{ID: "i0", Incarnation: 1}, Params{RetryRatio: 0.1, RetryBurst: 5})
	retries := 0
	for k := range 1000 {
		r := Request{ID: core.RequestID(fmt.Sprint(k)), Idempotent: true, Deadline: core.Instant(time.Minute)}
		id := a.Start(0, r, Placement{Replica: "c"})[0].(StartCall).Attempt
		outputs := a.OnFailed(0, id, Failure{Kind: FailConnect})
		if _, retried := outputs[0].(Reschedule); retried {
			retries++
		}
	}
	is.True(retries >= 100)
	is.True(retries <= 105)
}

// Guards against dropped events that aren't counted, and against a delayed event
// that sets a stage back.
func TestLateAndRepeatedEventsAreCounted(t *testing.T) {
	is := is.New(t)
	a := New(core.InstanceRef{ID: "i0", Incarnation: 1}, Params{})
	r := Request{ID: "r", Idempotent: true, MaxOutputTokens: 10, Deadline: core.Instant(time.Minute)}
	id := a.Start(0, r, Placement{Prefill: "p", Decode: "d"})[0].(StartPrefill).Attempt
	is.Equal(len(a.OnCompleted(1, id, 10)), 0) // before any decode
	is.Equal(len(a.OnPrefillDone(2, id)), 1)
	is.Equal(len(a.OnPrefillDone(3, id)), 0)
	a.OnFirstToken(4, id)
	a.OnProgress(5, id, 6)
	a.OnProgress(6, id, 4)
	is.Equal(a.OnCompleted(7, id, 10), []Output{RequestCompleted{Request: "r", Tokens: 10}})
	is.Equal(len(a.OnCompleted(8, id, 10)), 0)
	is.Equal(a.Stats(), Stats{LateEvents: 1, DuplicateEvents: 3})
}

// Guards against a suspect request that starts while its arbiter is unreachable,
// and against one that waits for ever.
func TestNoAttemptWithoutPermission(t *testing.T) {
	is := is.New(t)
	a := New(core.InstanceRef{ID: "i0", Incarnation: 1}, Params{SyncTimeout: ms})
	a.SetMembers(0, []core.InstanceRef{a.self, {ID: "i1", Incarnation: 1}})
	a.Tick(core.Instant(2 * ms))
	r := Request{ID: "r", Fingerprint: core.Fingerprint{1}, Idempotent: true, MaxOutputTokens: 10, Deadline: core.Instant(time.Minute)}
	id := a.Start(core.Instant(2*ms), r, Placement{Prefill: "p", Decode: "d"})[0].(StartPrefill).Attempt
	outputs := a.OnFailed(core.Instant(2*ms), id, Failure{Kind: FailCrashed, Upstream: "p", MaybeSent: true})
	for a.NextWake() < core.Instant(20*time.Second) {
		outputs = append(outputs, a.Tick(a.NextWake())...)
	}
	for _, o := range outputs[:len(outputs)-1] {
		_, notice := o.(SendSuspectNotice)
		is.True(notice)
	}
	failed := outputs[len(outputs)-1].(RequestFailed)
	is.Equal(failed.Refusal.Code, core.CodeRequestCrashesUpstreams)
	is.Equal(failed.Refusal.Ran, core.MayHaveRun)
	is.True(failed.Refusal.RetryAfter > 0)

	// A new request of the fingerprint waits in the same way.
	r.ID = "again"
	for _, o := range a.Start(core.Instant(21*time.Second), r, Placement{Prefill: "p", Decode: "d"}) {
		_, notice := o.(SendSuspectNotice)
		is.True(notice)
	}
}

// Guards against copies of a suspect request that continue to run at other
// Instances.
func TestLossNoticeStopsRunningCopies(t *testing.T) {
	is := is.New(t)
	a := New(core.InstanceRef{ID: "i0", Incarnation: 1}, Params{})
	r := Request{ID: "r", Fingerprint: core.Fingerprint{1}, Idempotent: true, MaxOutputTokens: 10, Deadline: core.Instant(time.Minute)}
	id := a.Start(0, r, Placement{Prefill: "p", Decode: "d"})[0].(StartPrefill).Attempt
	loss := Loss{Attempt: core.AttemptID{Owner: core.InstanceRef{ID: "i1"}}, Upstream: "x"}
	notice := SuspectNotice{Kind: NoticeLosses, Record: Record{Fingerprint: r.Fingerprint, Losses: []Loss{loss}}}
	is.Equal(a.OnSuspectNotice(1, core.InstanceRef{ID: "i1"}, notice), []Output{Cancel{Attempt: id, Upstream: "p"}})
}

// Guards against "not run" for a request of which a byte was sent before its start
// was reported as expired.
func TestSentRequestIsNeverReportedNotRun(t *testing.T) {
	is := is.New(t)
	a := New(core.InstanceRef{ID: "i0", Incarnation: 1}, Params{})
	id := a.Start(0, Request{ID: "r", Deadline: core.Instant(time.Minute)}, Placement{Replica: "c"})[0].(StartCall).Attempt
	a.OnSent(1, id)
	outputs := a.OnFailed(2, id, Failure{Kind: FailExpired, Upstream: "c"})
	is.Equal(outputs[len(outputs)-1].(RequestFailed).Refusal.Ran, core.MayHaveRun)
}

// Guards against a cancel whose doubled back-off skips the time at which a report
// can first confirm it, which delayed unrelated suspects for seconds. Found with
// rapid seed 14863500371764215597.
func TestCancelIsPolledOnceItCanBeConfirmed(t *testing.T) {
	is := is.New(t)
	a := New(core.InstanceRef{ID: "i0", Incarnation: 1}, Params{MaxStartDelay: 500 * ms})
	r := Request{ID: "r", Idempotent: true, MaxOutputTokens: 10, Deadline: core.Instant(time.Minute)}
	a.Start(0, r, Placement{Prefill: "p", Decode: "d"})
	a.OnCallerDisconnected(core.Instant(ms), "r")
	confirmableAfter := core.Instant(500 * ms).Add(maxStartTransit)
	a.OnAttemptReport(core.Instant(2*ms), "p", AttemptReport{ObservedAt: core.Instant(2 * ms)}) // a delayed start may follow
	var polled core.Instant
	for polled <= confirmableAfter {
		polled = a.NextWake()
		is.Equal(len(a.Tick(polled)), 2) // Cancel and PollAttempts
	}
	is.True(polled <= confirmableAfter.Add(minCancelBackoff))
}

// Guards against a decode that uses the slot of a request whose prefill still runs,
// because its own prefill ended early. Found with rapid seed 8526694912015159007 of
// pkg/placement.
func TestDecodeWaitsForItsSlot(t *testing.T) {
	for free, want := range map[time.Duration]time.Duration{0: 10 * ms, 300 * ms: 300 * ms, time.Minute: 10*ms + maxSlotWait} {
		is := is.New(t)
		a := New(core.InstanceRef{ID: "i0", Incarnation: 1}, Params{})
		r := Request{ID: "r", Idempotent: true, MaxOutputTokens: 10, Deadline: core.Instant(time.Minute)}
		id := a.Start(0, r, Placement{Prefill: "p", Decode: "d", SlotFreeAt: core.Instant(free)})[0].(StartPrefill).Attempt
		is.Equal(a.OnPrefillDone(core.Instant(10*ms), id)[0].(StartDecode).StartAt, core.Instant(want))
	}
}
