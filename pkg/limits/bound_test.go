package limits_test

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

const horizon = 120 * time.Second

// scenario is one drawn simulation. The seed determines latencies, clocks and traffic.
type scenario struct {
	Seed    uint64
	Size    int
	Refunds bool
	Faults  []fault
}

func drawScenario(t *rapid.T) scenario {
	drawFault := rapid.Custom(func(t *rapid.T) fault {
		return fault{
			At:       time.Duration(rapid.IntRange(0, 100_000).Draw(t, "at")) * time.Millisecond,
			Duration: time.Duration(rapid.IntRange(50, 30_000).Draw(t, "for")) * time.Millisecond,
			Kind:     rapid.SampledFrom(faultKinds).Draw(t, "kind"),
			Node:     rapid.IntRange(0, 7).Draw(t, "node"),
			Other:    rapid.IntRange(0, 7).Draw(t, "other"),
		}
	})
	return scenario{
		Seed:    rapid.Uint64().Draw(t, "seed"),
		Size:    rapid.IntRange(1, 6).Draw(t, "size"),
		Refunds: rapid.Bool().Draw(t, "settles"),
		Faults:  rapid.SliceOfN(drawFault, 0, 14).Draw(t, "faults"),
	}
}

// simulate runs a scenario with more traffic than the accounts' limits allow. Each
// account alternates between idle times, in which its buckets fill, and bursts at
// all Instances, which reveal any excess. The slow account starts when its buckets
// are full and they never fill again, so tokens that are created at any time add up
// until they exceed the limit.
func simulate(s scenario, skipHandoverWait bool) *fleet {
	f := newFleet(s.Seed, s.Size)
	f.refunds = s.Refunds
	f.skipHandoverWait = skipHandoverWait
	for _, x := range s.Faults {
		f.inject(x)
	}
	var traffic func()
	idleUntil := make([]time.Duration, len(f.accounts))
	idleUntil[2] = 32 * time.Second
	traffic = func() {
		for i, a := range f.accounts {
			if f.now < idleUntil[i] {
				continue
			}
			if f.rng.IntN(60) == 0 {
				idleUntil[i] = f.now + time.Duration(f.rng.Int64N(int64(12*time.Second)))
			}
			for _, n := range f.nodes {
				tokens := 1 + f.rng.Int64N(max(1, a.Burst/6))
				if f.rng.IntN(20) == 0 {
					tokens = 1 + f.rng.Int64N(a.Burst)
				}
				f.request(n, a, tokens)
			}
		}
		f.schedule(time.Duration(f.rng.Int64N(int64(80*time.Millisecond))), traffic)
	}
	f.schedule(0, traffic)
	f.run(horizon)
	return f
}

// Guards against an account that gets more than its rate and burst over all
// Instances in any interval, under several faults at the same time (G6).
func TestBoundHoldsUnderFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := drawScenario(t)
		if f := simulate(s, false); f.violation != "" {
			t.Fatalf("%s\nscenario %#v", f.violation, s)
		}
	})
}

// Guards against a simulation that can't detect a violation: if entitlements are used
// immediately after a roster change, the limit must be exceeded in one of these runs.
func TestTakeoverWithoutFencingViolatesBound(t *testing.T) {
	violations := 0
	for seed := range uint64(10) {
		s := scenario{Seed: seed, Size: 5, Faults: []fault{
			{At: 20 * time.Second, Duration: 30 * time.Second, Kind: "isolate", Node: 1},
			{At: 21 * time.Second, Duration: 20 * time.Second, Kind: "isolate", Node: 2},
		}}
		if f := simulate(s, true); f.violation != "" {
			violations++
		}
	}
	if violations == 0 {
		t.Fatal("no violation in 10 runs without fencing")
	}
	t.Logf("bound violated in %d of 10 runs", violations)
}

// Guards against refusals of an account that stays within its rate. Without
// failures, the account sends 80% of its rate in requests of at most 2% of its
// burst to any Instance. The buckets refill at 98% of the rate or more, so they stay
// nearly full, and a request can be refused only while all three home Instances have
// lent their whole capacity. The limit is one refusal in 1,000 after the start-up.
func TestRequestsWithinRateAreRarelyRefused(t *testing.T) {
	is := is.New(t)
	for seed := range uint64(5) {
		f := newFleet(seed, 6)
		a := f.accounts[0]
		var traffic func()
		traffic = func() {
			// 40 tokens each 50 ms on average are 800 per second.
			f.request(f.nodes[f.rng.IntN(len(f.nodes))], a, 20+f.rng.Int64N(41))
			f.schedule(time.Duration(f.rng.Int64N(int64(100*time.Millisecond))), traffic)
		}
		f.schedule(20*time.Second, traffic)
		f.run(140 * time.Second)
		is.Equal(f.violation, "")
		is.True(f.granted > 2000)
		t.Logf("seed %d: %d granted, %d refused %v, loans %d messages", seed, f.granted, f.refused, f.refusals, f.messages-f.heartbeats)
		is.True(f.refused*1000 <= f.requests) // at most one in 1,000
	}
}

// Guards against an entitlement that is lost permanently: some time after a crash, a
// replacement and a leave, the full burst is available again.
func TestFullBurstIsAvailableAfterFaults(t *testing.T) {
	is := is.New(t)
	f := newFleet(3, 5)
	f.inject(fault{At: 20 * time.Second, Duration: 5 * time.Second, Kind: "kill", Node: 0})
	f.inject(fault{At: 21 * time.Second, Duration: time.Hour, Kind: "isolate", Node: 1})
	f.inject(fault{At: 22 * time.Second, Kind: "leave", Node: 2})
	f.inject(fault{At: 23 * time.Second, Kind: "start"})
	a := f.accounts[0]
	for i, n := range []int{0, 3, 4, 5} {
		f.schedule(time.Duration(120+10*i)*time.Second, func() { f.request(f.nodes[n], a, a.Burst) })
	}
	f.run(160 * time.Second)
	t.Logf("%d granted, refusals %v", f.granted, f.refusals)
	is.Equal(f.violation, "")
	is.Equal(f.granted, 4)
}
