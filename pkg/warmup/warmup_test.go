package warmup

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/rhubarbsill/rhubarbsill/pkg/catalog"
	"github.com/rhubarbsill/rhubarbsill/pkg/core"
)

const (
	rate  = 19.0
	begin = core.Instant(time.Hour)
)

var (
	rates = map[core.ServiceName]float64{"s": rate}
	limit = int(Params{Overage: DefaultOverage, Slack: DefaultSlack}.Limit(rate))
)

// testFleet is a fleet under a burst: each Instance sends a request whenever it may.
type testFleet struct {
	decode    bool
	rng       *rand.Rand
	instances []*testInstance
	arrivals  []core.Instant
}

type testInstance struct {
	id       core.InstanceID
	registry *Registry
	// skew is the ratio of the speed of its clock to the right one.
	skew  float64
	runAt map[core.RequestID]core.Instant // of holds that were granted
	next  int
	// earlyHolds is the number of unused holds that the engine can have of before the cold time.
	earlyHolds int
}

func (f *testFleet) ids() []core.InstanceID {
	var ids []core.InstanceID
	for _, inst := range f.instances {
		ids = append(ids, inst.id)
	}
	return ids
}

func newTestFleet(n int, decode bool) *testFleet {
	f := &testFleet{decode: decode, rng: rand.New(rand.NewPCG(uint64(n), 1))}
	for i := range n {
		f.instances = append(f.instances, &testInstance{id: core.InstanceID(fmt.Sprintf("i-%d", i)), skew: 0.99 + 0.02*f.rng.Float64(), earlyHolds: 64})
	}
	for _, inst := range f.instances {
		f.restart(inst, begin, f.ids())
	}
	return f
}

// restart starts an Instance that finds members in the store.
func (f *testFleet) restart(inst *testInstance, now core.Instant, members []core.InstanceID) {
	inst.registry = New(inst.clock(now), inst.id, Params{})
	inst.registry.SetRates(rates)
	inst.registry.SetMembers(members)
	inst.runAt = map[core.RequestID]core.Instant{}
}

func (i *testInstance) clock(now core.Instant) core.Instant {
	return core.Instant(float64(now) * i.skew)
}

// state sets the remaining time at an Instance.
func (f *testFleet) state(inst *testInstance, now core.Instant, remaining time.Duration) {
	up := catalog.Upstream{ID: "u", Service: "s", ColdFor: remaining}
	if f.decode {
		up.Stage = catalog.StageDecode
	}
	inst.registry.SetUpstreams(inst.clock(now), []catalog.Upstream{up})
}

// burst lets each Instance send whenever it may, until the end. A run follows its hold after up to 1.9 s.
func (f *testFleet) burst(from, to core.Instant, between func(f *testFleet, now core.Instant)) {
	for now := from; now < to; now = now.Add(5 * time.Millisecond) {
		if between != nil {
			between(f, now)
		}
		for _, i := range f.rng.Perm(len(f.instances)) {
			f.sendFrom(f.instances[i], now)
		}
	}
}

// addEarlyHolds adds the holds of a full engine from before its cold time, whose runs are due in the
// second after an instant.
func (f *testFleet) addEarlyHolds(n int, from core.Instant) {
	for i := range n {
		inst := f.instances[f.rng.IntN(len(f.instances))]
		inst.runAt[core.RequestID(fmt.Sprintf("early-%d", i))] = from.Add(time.Duration(f.rng.IntN(1000)) * time.Millisecond)
	}
	for _, inst := range f.instances {
		inst.earlyHolds = n
	}
}

func (f *testFleet) sendFrom(inst *testInstance, now core.Instant) {
	local := inst.clock(now)
	for id, at := range inst.runAt {
		if now < at {
			continue
		}
		delete(inst.runAt, id)
		if inst.registry.AllowRun(local, "u", id, inst.earlyHolds) {
			f.arrivals = append(f.arrivals, now)
		}
	}
	up := inst.registry.State("u")
	for up.IsCold(local) && up.Wait(local) == 0 {
		inst.next++
		id := core.RequestID(fmt.Sprintf("%s-%d", inst.id, inst.next))
		up.Take(local, id)
		f.arrivals = append(f.arrivals, now)
		if f.decode {
			inst.runAt[id] = now.Add(time.Duration(f.rng.IntN(1900)) * time.Millisecond)
		}
	}
}

// peak returns the largest count in any second.
func (f *testFleet) peak() int {
	peak, first := 0, 0
	for i, at := range f.arrivals {
		for at.Sub(f.arrivals[first]) >= time.Second {
			first++
		}
		peak = max(peak, i-first+1)
	}
	return peak
}

// Guards against an Upstream that crashes because a burst reaches it while it is cold, in fleets of
// all sizes, while a part of the Instances has another view of the fleet or Instances restart.
func TestFleetStaysBelowTheLimitInAnySecond(t *testing.T) {
	const coldFor = 20 * time.Second
	scenarios := []struct {
		name    string
		largest int // of the requests in a second
		prepare func(f *testFleet)
		between func(f *testFleet, now core.Instant)
	}{
		{"undisturbed", limit / views, nil, nil},
		// A third is cut off from all, and a third of the others was replaced meanwhile.
		{"a third cut off", limit, func(f *testFleet) {
			connected := f.instances[len(f.instances)/3:]
			for _, inst := range connected[:len(connected)/3] {
				inst.id += "-new"
			}
			for _, inst := range connected {
				f.restart(inst, begin, f.ids())
			}
		}, nil},
		// Instances restart all the time, each one after about ten seconds.
		{"restarts", limit, nil, func(f *testFleet, now core.Instant) {
			if f.rng.IntN(2000) < len(f.instances) {
				inst := f.instances[f.rng.IntN(len(f.instances))]
				f.restart(inst, now, f.ids())
				f.state(inst, now, begin.Add(settleTime+coldFor).Sub(now))
			}
		}},
		// All Instances start at the same time: each finds half of the others.
		{"all started", limit, func(f *testFleet) {
			for _, inst := range f.instances {
				f.restart(inst, begin, slices.DeleteFunc(f.ids(), func(core.InstanceID) bool { return f.rng.IntN(2) == 0 }))
			}
		}, func(f *testFleet, now core.Instant) {
			if now.Sub(begin) > settleTime/2 {
				for _, id := range f.ids()[:len(f.instances)*9/10] { // heartbeats of the others have not arrived yet
					f.instances[f.rng.IntN(len(f.instances))].registry.AddMember(id)
				}
			}
		}},
	}
	for _, s := range scenarios {
		for _, n := range []int{8, 84, 330} {
			for _, kind := range []string{"decode=false", "decode=true", "full"} {
				t.Run(fmt.Sprintf("%s/%d/%s", s.name, n, kind), func(t *testing.T) {
					t.Parallel()
					f, largest := newTestFleet(n, kind != "decode=false"), s.largest
					if s.prepare != nil {
						s.prepare(f)
					}
					for _, inst := range f.instances {
						f.state(inst, begin, settleTime+coldFor)
					}
					if kind == "full" { // its runs come while the senders use their first places
						f.addEarlyHolds(f.instances[0].registry.State("u").earlyRoom(), begin.Add(settleTime-500*time.Millisecond))
						largest = limit
					}
					end := begin.Add(settleTime + coldFor)
					f.burst(begin, end, s.between)
					perSecond := float64(len(f.arrivals)) / coldFor.Seconds()
					t.Logf("largest count in a second %d of %d, mean %.1f", f.peak(), limit, perSecond)
					if f.peak() > largest {
						t.Errorf("%d requests in a second, allowed are %d", f.peak(), largest)
					}
					if perSecond < rate/6 {
						t.Errorf("the Upstream gets %.1f requests a second and could take %.0f", perSecond, rate)
					}
				})
			}
		}
	}
}

// Guards against runs that reach an engine which has become cold after it granted their holds: all
// Instances together may hold many.
func TestHoldsFromBeforeTheColdTimeAreLimited(t *testing.T) {
	for _, n := range []int{8, 84, 330} {
		f := newTestFleet(n, true)
		for i := range 2 * n {
			inst := f.instances[i%n]
			inst.runAt[core.RequestID(fmt.Sprintf("early-%d", i))] = begin.Add(5 * time.Second)
		}
		for _, inst := range f.instances {
			f.state(inst, begin.Add(4*time.Second), 10*time.Second)
		}
		f.burst(begin.Add(5*time.Second), begin.Add(12*time.Second), nil)
		if f.peak() > limit/views {
			t.Errorf("%d Instances: %d requests in a second, allowed are %d", n, f.peak(), limit/views)
		}
	}
}

// Guards against prompts that are prefilled in vain because the engine has become cold since it granted
// the hold, although the limit has room for all its holds.
func TestHoldsThatFitIntoTheLimitAreUsed(t *testing.T) {
	is := is.New(t)
	for holds, allowed := range map[int]int{12: 12, 13: 0} { // 33 less four thirds of 16
		f := newTestFleet(84, true)
		f.addEarlyHolds(holds, begin.Add(time.Second))
		for _, inst := range f.instances {
			f.state(inst, begin, 10*time.Second)
		}
		f.burst(begin.Add(time.Second), begin.Add(2*time.Second), nil)
		is.Equal(len(f.arrivals), allowed)
	}
}

// Guards against an Upstream that becomes cold again, or restarts, and gets the places that were used
// just before a second time.
func TestUpstreamThatBecomesColdAgainKeepsItsPlaces(t *testing.T) {
	is := is.New(t)
	f := newTestFleet(84, false)
	for _, inst := range f.instances {
		f.state(inst, begin, 6*time.Second)
	}
	again := begin.Add(6*time.Second + 10*time.Millisecond)
	f.burst(begin, again, nil)
	for _, inst := range f.instances {
		f.state(inst, again, 0) // the entry of a warm Upstream, and then that of a new process
		f.state(inst, again, 6*time.Second)
	}
	f.burst(again, again.Add(5*time.Second), nil)
	is.True(f.peak() <= 16)
}

// Guards against a queue that reaches an Upstream at once when all Instances see it become warm.
func TestInstancesReturnOneAfterAnother(t *testing.T) {
	is := is.New(t)
	f := newTestFleet(84, false)
	warm := begin.Add(10 * time.Second)
	early := 0
	for _, inst := range f.instances {
		inst.skew = 1
		f.restart(inst, begin, f.ids())
		f.state(inst, begin, 10*time.Second)
		up := inst.registry.State("u")
		is.True(up.IsCold(warm.Add(-1)))
		is.True(!up.IsCold(warm.Add(joinTime)))
		if !up.IsCold(warm.Add(joinTime / 4)) {
			early++
		}
	}
	is.True(early > 84/10 && early < 84/2)
}

// Guards against Instances that use a cold Upstream before they know the others.
func TestInstanceWithoutMembersIsNoSender(t *testing.T) {
	is := is.New(t)
	r := New(0, "self", Params{})
	r.SetRates(rates)
	is.True(r.Update(0, catalog.Upstream{ID: "u", Service: "s", ColdFor: time.Minute}))
	is.True(!r.Update(0, catalog.Upstream{ID: "never", Service: "never cold", ColdFor: time.Minute}))
	is.True(r.State("u").Wait(core.Instant(settleTime)) > settleTime)
	r.SetMembers(nil)
	is.True(r.State("u").Wait(core.Instant(settleTime-1)) > 0)
	is.Equal(r.State("u").Wait(core.Instant(settleTime)), time.Duration(0))
}

// Guards against an older entry that ends the cold time: one that was written before an answer stated
// it, or one from an older copy of the store.
func TestOnlyALaterProcessShortensTheColdTime(t *testing.T) {
	is := is.New(t)
	now := core.Instant(time.Minute)
	for born, isCold := range map[int64]bool{4: true, 5: true, 6: false} {
		r := New(0, "self", Params{})
		r.SetRates(rates)
		is.True(r.Update(now, catalog.Upstream{ID: "u", Service: "s", Born: 5, ColdFor: 30 * time.Second}))
		is.True(!r.Update(now.Add(time.Second), catalog.Upstream{ID: "u", Service: "s", Born: born, ColdFor: time.Second}))
		is.Equal(r.IsCold(now.Add(20*time.Second), "u"), isCold)
	}
}

func BenchmarkWait(b *testing.B) {
	r := New(0, "self", Params{})
	r.SetRates(rates)
	r.SetMembers(newTestFleet(330, false).ids())
	var states []*Upstream
	for i := range 1300 {
		up := catalog.Upstream{ID: core.UpstreamID(fmt.Sprint("u", i)), Service: "s", ColdFor: time.Minute}
		r.Update(0, up)
		states = append(states, r.State(up.ID))
	}
	for b.Loop() {
		for _, up := range states {
			up.Wait(core.Instant(time.Second))
		}
	}
}
