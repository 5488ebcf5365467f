package router

import (
	"bytes"
	"fmt"
	"maps"
	"math/rand/v2"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/rhubarbsill/rhubarbsill/pkg/attempts"
	"github.com/rhubarbsill/rhubarbsill/pkg/core"
	"github.com/rhubarbsill/rhubarbsill/pkg/evacuation"
	"github.com/rhubarbsill/rhubarbsill/pkg/fleet"
	"github.com/rhubarbsill/rhubarbsill/pkg/retry"
	"github.com/rhubarbsill/rhubarbsill/pkg/schedule"
)

const evacuationBound = 5 * time.Second

// newEvacuationHarness returns a harness with Upstreams of both stages in the DataCentres a and b.
func newEvacuationHarness(t *testing.T) *hostedHarness {
	t.Helper()
	r := newHostedHarness(t)
	h := r.router.hosted
	h.params.EvacuationBound = evacuationBound
	h.evacuations = evacuation.New(evacuation.Params{Bound: evacuationBound, Rand: r.router.params.Rand})
	for i := range r.upstreams {
		if id := r.upstreams[i].ID; id == "d2" || id == "s2" {
			r.upstreams[i].DataCentre = "b"
		}
	}
	r.step(UpstreamsListed{Revision: storeRevision(11), Upstreams: r.upstreams})
	r.evacuate(20)
	return r
}

// evacuate delivers the list of evacuated DataCentres at a revision.
func (r *hostedHarness) evacuate(revision int, list ...core.DataCentreName) {
	r.router.hosted.evacuations.OnHistoryLost(r.now) // lists next
	r.advance(400 * time.Millisecond)
	wantEffect[ReadEvacuations](r)
	r.step(EvacuationsRead{Result: evacuation.Result{At: storeRevision(revision), Listed: list}})
}

// Guards against a decode that is sent to an evacuated DataCentre because its hold was granted before.
func TestHostedEvacuationReplacesUnusedHolds(t *testing.T) {
	for _, granted := range []bool{true, false} {
		is := is.New(t)
		r := newEvacuationHarness(t)
		r.sendRequest("1", "/resumable/x")
		hold := wantEffect[AcquireHold](r)
		is.Equal(hold.Upstream, core.UpstreamID("d1"))
		if granted {
			r.grantHold(hold)
			prefill := wantEffect[StartPrefill](r)
			r.evacuate(21, "a")
			wantNoEffect[Cancel](r) // the prefill runs
			r.completePrefill(prefill)
		} else {
			r.evacuate(21, "a")
			r.grantHold(hold)
		}
		is.Equal(wantEffect[ReleaseHold](r).Upstream, core.UpstreamID("d1"))
		wantNoEffect[StartDecode](r)
		second := wantEffect[AcquireHold](r)
		is.Equal(second.Upstream, core.UpstreamID("d2"))
		r.grantHold(second)
		wantNoEffect[StartPrefill](r) // p1 is evacuated as well
		is.Equal(wantEffect[StartDecode](r).Upstream, core.UpstreamID("d2"))
	}
}

// Guards against running answers that are cut by an evacuation, and against a resumed stream or a retry
// that goes back there.
func TestHostedEvacuationLeavesRunningAnswersAndMovesRetries(t *testing.T) {
	is := is.New(t)
	r := newEvacuationHarness(t)
	decode := r.startStream("1", "/resumable/x")
	is.Equal(decode.Upstream, core.UpstreamID("d1"))
	r.step(FirstToken{Request: "1", Attempt: decode.Attempt})
	r.sendRequest("2", "/read/x")
	call := wantEffect[StartCall](r)
	is.Equal(call.Upstream, core.UpstreamID("s1"))
	r.evacuate(21, "a")
	wantNoEffect[Cancel](r)
	is.Equal(r.router.HostedGauges(r.now).Evacuations.Requests, map[core.DataCentreName]int{"a": 2})

	r.failAttempt("1", decode.Attempt, crashFailure)
	is.Equal(wantEffect[AcquireHold](r).Upstream, core.UpstreamID("d2"))
	r.failAttempt("2", call.Attempt, attempts.Failure{Kind: attempts.FailCrashed, Upstream: "s1", MaybeSent: true})
	is.Equal(wantEffect[StartCall](r).Upstream, core.UpstreamID("s2"))
	for i := range 20 {
		r.sendRequest(fmt.Sprintf("more-%d", i), "/call/x")
		is.Equal(wantEffect[StartCall](r).Upstream, core.UpstreamID("s2"))
	}
}

// Guards against requests that wait although all Upstreams are evacuated, against a refusal that is no
// guarantee or does not say why, and against Upstreams that stay unused when they are given back.
func TestHostedEvacuationOfAllUpstreams(t *testing.T) {
	is := is.New(t)
	r := newEvacuationHarness(t)
	for i := range 2 * 6 { // the memory of both engines
		r.sendRequest(fmt.Sprintf("full-%d", i), "/resumable/x")
	}
	r.sendRequest("waiting", "/resumable/x")
	wantNoEffect[Refuse](r)
	r.evacuate(21, "a", "b")
	refuse := wantEffect[Refuse](r)
	is.Equal(refuse.Request, core.RequestID("waiting"))
	r.sendRequest("plain", "/call/x")
	for _, refusal := range []*core.Refusal{refuse.Refusal, wantEffect[Refuse](r).Refusal} {
		is.Equal(refusal.Code, core.CodeNoUpstream)
		is.Equal(refusal.Ran, core.NotRun)
		is.True(strings.Contains(refusal.Message, "evacuated data centres: a, b"))
	}
	r.evacuate(22, "a")
	r.sendRequest("given back", "/call/x")
	is.Equal(wantEffect[StartCall](r).Upstream, core.UpstreamID("s2"))
}

// evacuationFleet simulates the hosted Routers of a fleet and the store in virtual time.
type evacuationFleet struct {
	rng     *rand.Rand
	now     core.Instant
	events  schedule.Queue[core.Instant, func()]
	members []fleet.Member
	routers []*Router
	byID    map[core.InstanceID]int

	at      core.StoreRevision
	zones   map[core.DataCentreName]bool
	history []evacuation.Change // since the revision 1 of the era
	calls   int
	watches map[int]func() // ends the watch of an Instance with what has changed
	// silent holds the Instances whose watches get no answer, noStore and noPeers those that are cut off.
	silent, noStore, noPeers map[int]bool
}

var evacuationCentres = []core.DataCentreName{"a", "b", "c", "d", "e"}

func newEvacuationFleet(seed uint64, n int) *evacuationFleet {
	f := &evacuationFleet{
		rng: rand.New(rand.NewPCG(seed, 9)), now: core.Instant(time.Second), byID: map[core.InstanceID]int{},
		at: core.StoreRevision{Era: 1, Number: 1}, zones: map[core.DataCentreName]bool{}, watches: map[int]func(){},
		silent: map[int]bool{}, noStore: map[int]bool{}, noPeers: map[int]bool{},
	}
	for i := range n {
		f.addInstance(i)
	}
	for i := range n {
		f.schedule(time.Duration(f.rng.IntN(150))*time.Millisecond, func() { f.start(i) })
	}
	f.runFor(10 * time.Second) // members have met
	return f
}

func (f *evacuationFleet) addInstance(i int) {
	member := fleet.Member{
		Ref:        core.InstanceRef{ID: core.InstanceID(fmt.Sprintf("i%03d", i)), Incarnation: 1},
		DataCentre: evacuationCentres[i%5], Region: core.RegionName(fmt.Sprintf("r%d", i%5/3)),
	}
	f.byID[member.Ref.ID] = i
	f.members = append(f.members, member)
	f.routers = append(f.routers, New(Params{
		Rand: rand.New(rand.NewPCG(2, uint64(i))), NonceSource: bytes.NewReader(nil),
		Hosted: &HostedParams{
			Member: member, Retry: retry.Params{Window: 10 * time.Second}, AddressTTL: time.Second, GracePeriod: 8 * time.Second,
			EvacuationBound: evacuationBound,
		},
	}))
}

func (f *evacuationFleet) start(i int) {
	f.step(i, MembersListed{Members: f.members, Complete: true})
	f.step(i, RoutingReceived{Routing: hostedRouting(1), Revision: core.StoreRevision{Era: 1, Number: 1}})
	f.tick(i)
}

func (f *evacuationFleet) schedule(d time.Duration, run func()) { f.events.Add(f.now.Add(d), run) }

func (f *evacuationFleet) tick(i int) {
	f.step(i, Tick{})
	f.schedule(max(time.Millisecond, f.routers[i].NextWake().Sub(f.now)), func() { f.tick(i) })
}

func (f *evacuationFleet) runFor(duration time.Duration) {
	end := f.now.Add(duration)
	for {
		event, at, due := f.events.PopDue(end)
		if !due {
			break
		}
		f.now = at
		event()
	}
	f.now = end
}

func (f *evacuationFleet) step(i int, event Event) {
	for _, effect := range f.routers[i].Step(f.now, event) {
		switch e := effect.(type) {
		case SendPeerMessage:
			to := f.byID[e.To]
			transit := time.Millisecond
			if f.members[to].Region != f.members[i].Region {
				transit = 30 * time.Millisecond
			}
			if !f.noPeers[i] && !f.noPeers[to] {
				f.schedule(transit, func() { f.step(to, PeerMessageReceived{From: f.members[i].Ref, Message: e.Message}) })
			}
		case ReadEvacuations:
			f.call(i, e.Call)
		}
	}
}

// call serves a call of the store, which is in the Region r0.
func (f *evacuationFleet) call(i int, call evacuation.Call) {
	f.calls++
	transit := time.Millisecond
	if f.members[i].Region != "r0" {
		transit = 30 * time.Millisecond
	}
	done := false
	reply := func(event Event) {
		if !done && !f.noStore[i] {
			done = true
			f.schedule(transit, func() { f.step(i, event) })
		}
	}
	f.schedule(call.Timeout, func() {
		if !done { // the daemon waits for a backoff after it
			done = true
			f.schedule(time.Duration(50+f.rng.IntN(100))*time.Millisecond, func() { f.step(i, EvacuationsCallFailed{}) })
		}
	})
	if f.noStore[i] || call.Watch && f.silent[i] {
		return
	}
	f.schedule(transit, func() {
		if !call.Watch {
			list := make([]core.DataCentreName, 0, len(f.zones))
			for dc := range f.zones {
				list = append(list, dc)
			}
			reply(EvacuationsRead{Result: evacuation.Result{At: f.at, Listed: list}})
			return
		}
		answer := func() {
			switch {
			case call.After.Era == f.at.Era && call.After.Number > f.at.Number:
				reply(EvacuationsCallFailed{HistoryLost: true})
			case call.After.Era != f.at.Era:
				reply(EvacuationsRead{Result: evacuation.Result{At: f.at}})
			default:
				reply(EvacuationsRead{Result: evacuation.Result{At: f.at, Changes: f.history[call.After.Number-1:]}})
			}
		}
		if call.After.Era != f.at.Era || call.After.Number < f.at.Number {
			answer()
			return
		}
		f.watches[i] = answer
		f.schedule(call.Wait, answer)
	})
}

// set evacuates a DataCentre or gives it back, and answers the waiting watches.
func (f *evacuationFleet) set(dc core.DataCentreName, evacuated bool) {
	f.at.Number++
	f.history = append(f.history, evacuation.Change{DataCentre: dc, Removed: !evacuated})
	if evacuated {
		f.zones[dc] = true
	} else {
		delete(f.zones, dc)
	}
	waiting := f.watches
	f.watches = map[int]func(){}
	for i := range f.routers {
		if answer := waiting[i]; answer != nil && !f.silent[i] {
			answer()
		}
	}
}

// restore returns the store to the empty copy of its begin.
func (f *evacuationFleet) restore() {
	f.at = core.StoreRevision{Era: f.at.Era + 1, Number: 1}
	f.zones, f.history = map[core.DataCentreName]bool{}, nil
}

// holdTime returns the time until all Instances hold to an evacuation of a DataCentre, at most limit.
func (f *evacuationFleet) holdTime(dc core.DataCentreName, limit time.Duration) time.Duration {
	const step = 20 * time.Millisecond
	for passed := time.Duration(0); passed < limit; passed += step {
		if f.holding(dc) == len(f.routers) {
			return passed
		}
		f.runFor(step)
	}
	return limit
}

func (f *evacuationFleet) holding(dc core.DataCentreName) int {
	count := 0
	for _, r := range f.routers {
		if r.hosted.evacuations.InForce(dc) {
			count++
		}
	}
	return count
}

// knowTime is the time after which every Instance must know an evacuation: an attempt may be sent up
// to decisionTTL after its Upstream was chosen.
const knowTime = evacuationBound - decisionTTL

// evacuationSizes returns the sizes of a small and a medium fleet. LARGE_FLEETS=1 adds the largest one,
// which takes minutes with the race detector.
func evacuationSizes() []int {
	sizes := []int{8, 84}
	if os.Getenv("LARGE_FLEETS") != "" {
		sizes = append(sizes, 330)
	}
	return sizes
}

func (f *evacuationFleet) readers() []int {
	var readers []int
	for i, r := range f.routers {
		if r.hosted.fleet.IsReader() {
			readers = append(readers, i)
		}
	}
	return readers
}

// Guards against evacuations that followers learn too late, and against a cost of the store that grows
// with the fleet.
func TestHostedEvacuationReachesTheWholeFleet(t *testing.T) {
	for _, n := range evacuationSizes() {
		is := is.New(t)
		f := newEvacuationFleet(1, n)
		before := f.calls
		f.runFor(10 * time.Second)
		perSecond := float64(f.calls-before) / 10
		f.set("a", true)
		took := f.holdTime("a", knowTime)
		t.Logf("%d Instances: %.1f calls of the store per second, all hold to it after %s", n, perSecond, took)
		is.True(took < knowTime/2)
		is.True(perSecond < 6) // 8 readers
		f.set("a", false)
		f.runFor(time.Second)
		is.Equal(f.holding("a"), 0)
	}
}

// Guards against a fleet that waits for readers whose watches are silent.
func TestHostedEvacuationWhileWatchesOfReadersAreSilent(t *testing.T) {
	for _, n := range evacuationSizes() {
		is := is.New(t)
		f := newEvacuationFleet(2, n)
		for _, i := range f.readers() {
			f.silent[i] = true
		}
		f.runFor(200 * time.Millisecond)
		f.set("a", true)
		took := f.holdTime("a", knowTime)
		t.Logf("%d Instances: after %s", n, took)
		is.True(took < knowTime)
	}
}

// Guards against an Instance that does not hold to an evacuation because it was cut off from the store
// when it began: it hears of it from peers. Readers are among those that are cut off.
func TestHostedEvacuationReachesInstancesWithoutTheStore(t *testing.T) {
	for _, n := range evacuationSizes() {
		is := is.New(t)
		f := newEvacuationFleet(3, n)
		for _, i := range append(f.readers(), 0, 1, 2) {
			f.noStore[i] = true
		}
		f.runFor(3 * time.Second)
		if n == 8 { // all of them are readers
			clear(f.noStore)
			f.noStore[0], f.noStore[1] = true, true
		}
		f.set("a", true)
		took := f.holdTime("a", knowTime)
		t.Logf("%d Instances: after %s", n, took)
		is.True(took < knowTime)
	}
}

// Guards against an Instance that relies on peers which it has just ceased to hear.
func TestHostedEvacuationReachesInstancesWithoutPeers(t *testing.T) {
	for _, n := range []int{8, 84} {
		is := is.New(t)
		f := newEvacuationFleet(4, n)
		for i := range min(n, 12) {
			f.noPeers[i] = true
		}
		f.set("a", true)
		took := f.holdTime("a", knowTime)
		t.Logf("%d Instances: after %s", n, took)
		is.True(took < knowTime)
		f.runFor(30 * time.Second)
		f.set("b", true)
		is.True(f.holdTime("b", knowTime) < knowTime)
	}
}

// Guards against a store that comes back from a copy of before the evacuation: it stays in force for
// the bound everywhere, and what the store lists then decides.
func TestHostedEvacuationOutlivesAnOlderCopyOfTheStore(t *testing.T) {
	for _, n := range []int{8, 84} {
		is := is.New(t)
		f := newEvacuationFleet(5, n)
		f.set("a", true)
		f.set("b", true)
		f.runFor(4 * time.Second)
		f.restore()
		f.runFor(evacuationBound - time.Second)
		is.Equal(f.holding("a"), n)
		is.Equal(f.holding("b"), n)
		f.set("b", true) // written again
		f.runFor(evacuationBound)
		is.Equal(f.holding("a"), 0)
		is.Equal(f.holding("b"), n)
		f.set("b", false)
		f.runFor(2 * time.Second)
		is.Equal(f.holding("b"), 0)
	}
}

// Guards against an Instance that starts during an evacuation and serves before it knows of it, and
// against one that serves nothing while the store is down.
func TestHostedEvacuationIsKnownBeforeTheFirstRequest(t *testing.T) {
	for _, test := range []struct{ noStore, noPeers bool }{{}, {noStore: true}, {noPeers: true}, {noStore: true, noPeers: true}} {
		is := is.New(t)
		f := newEvacuationFleet(6, 8)
		f.set("a", true)
		f.runFor(2 * time.Second)
		f.addInstance(8)
		f.noStore[8], f.noPeers[8] = test.noStore, test.noPeers
		f.start(8)
		key := hostedKey
		r := f.routers[8]
		f.step(8, RequestArrived{Request: Request{ID: "1", Host: "h", Path: "/call/", Key: &key, Deadline: f.now.Add(3 * time.Second)}})
		is.Equal(len(r.hosted.evacuationWait.requests), 1)
		for passed := time.Duration(0); len(r.hosted.evacuationWait.requests) > 0; passed += time.Millisecond {
			is.True(passed < evacuationWaitTimeout+200*time.Millisecond)
			f.runFor(time.Millisecond)
		}
		is.Equal(r.hosted.evacuations.InForce("a"), !test.noStore || !test.noPeers)
		is.Equal(maps.Collect(maps.All(f.zones)), map[core.DataCentreName]bool{"a": true})
	}
}
