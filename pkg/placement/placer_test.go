package placement

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/rhubarbsill/rhubarbsill/pkg/core"
)

// ledgerRecoveryTime is the time after the last request and the last fault by which every
// ledger has the correct count: MaxSlotWait until a reserved slot is free, the term of its
// reservation, and a report.
const ledgerRecoveryTime = 5 * time.Second

// smallTopology returns a service with three prefill engines and the given decode engines.
func smallTopology(decodes, slots int, policy Policy) Topology {
	t := fleet(0, 0)
	s := &t.Services[0]
	s.Policy = policy
	s.Targets = LatencyTargets{TimeToFirstToken: 1900 * ms, InterTokenLatency: 37 * ms}
	for i := range 3 {
		s.Upstreams = append(s.Upstreams, Upstream{ID: core.UpstreamID(fmt.Sprintf("p%d", i)), Role: RolePrefill, DataCentre: "east"})
	}
	for i := range decodes {
		s.Upstreams = append(s.Upstreams, Upstream{ID: core.UpstreamID(fmt.Sprintf("d%d", i)), Role: RoleDecode, DataCentre: "east", Slots: slots})
	}
	return t
}

// runSlotScenario draws jobs and faults and checks the invariants of requests and slots.
func runSlotScenario(t *rapid.T, kills bool) *simulation {
	policy := rapid.SampledFrom([]Policy{PolicyGoodput, PolicyFair}).Draw(t, "policy")
	decodes := rapid.IntRange(1, 3).Draw(t, "decodes")
	slots := rapid.IntRange(1, 4).Draw(t, "slots")
	sim := newSimulation(rapid.Uint64().Draw(t, "seed"), 3, smallTopology(decodes, slots, policy))
	sim.faultsEnd = sim.now.Add(6 * time.Second)
	sim.loss = rapid.Float64Range(0, 0.4).Draw(t, "loss")
	for k := range rapid.IntRange(1, 40).Draw(t, "jobs") {
		j := &simJob{owner: sim.nodes[rapid.IntRange(0, 2).Draw(t, "owner")]}
		output := rapid.IntRange(5, 40).Draw(t, "output")
		j.slotTime = time.Duration(output) * 37 * ms
		j.Job = Job{ID: core.RequestID(fmt.Sprintf("r%d", k)), Account: "a", Service: "chat", Model: "m", Weight: 1, MaxOutputTokens: output}
		j.PromptTokens = rapid.IntRange(10, 8000).Draw(t, "prompt")
		arrival := time.Duration(rapid.IntRange(0, 6000).Draw(t, "arrival")) * ms
		sim.after(arrival, func() {
			j.Deadline = sim.now.Add(6 * time.Second)
			sim.submit(j)
		})
	}
	for range rapid.IntRange(0, 3).Draw(t, "faults") {
		n := sim.nodes[rapid.IntRange(0, 2).Draw(t, "node")]
		pause := time.Duration(rapid.IntRange(0, 300).Draw(t, "pause")) * ms
		sim.after(time.Duration(rapid.IntRange(0, 5000).Draw(t, "fault at"))*ms, func() {
			if kills {
				sim.kill(n)
			} else {
				n.pausedUntil = sim.now.Add(pause)
			}
		})
	}
	if decodes > 1 && rapid.Bool().Draw(t, "leaves") {
		up := rapid.SampledFrom([]core.UpstreamID{"d0", "p0"}).Draw(t, "leaving")
		sim.after(time.Duration(rapid.IntRange(0, 2000).Draw(t, "leave at"))*ms, func() { sim.markLeaving(up) })
	}
	sim.runUntil(sim.faultsEnd.Add(8*time.Second + ledgerRecoveryTime))
	for _, violation := range sim.violations {
		t.Error(violation)
	}
	for _, leak := range sim.ledgerLeaks() {
		t.Error(leak)
	}
	for id, j := range sim.jobs {
		if j.outcomes != 1 && j.owner.alive && j.owner.ref == j.ref {
			t.Errorf("%s: %d outcomes", id, j.outcomes)
		}
		if j.refusal != nil && j.refusal.Ran != core.NotRun {
			t.Errorf("%s: never ran, but refused as %s", id, j.refusal.Ran)
		}
	}
	return sim
}

// Guards against slots that stay reserved, requests without an outcome and new work for
// leaving engines, under lost, duplicate and reordered messages and under pauses.
func TestSlotsUnderMessageFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) { runSlotScenario(t, false) })
}

// Guards against a slot that is granted twice: a decode would wait for it until its KV cache
// is dropped. Instances are not killed here, because the successor of a killed ledger holder
// may grant slots before every owner has announced its reservations.
func TestDecodeWaitsLessThanKVRetention(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		if sim := runSlotScenario(t, false); sim.longestSlotWait > kvRetention {
			t.Errorf("a decode waited %v for its slot; its KV cache is kept for %v", sim.longestSlotWait, kvRetention)
		}
	})
}

// Guards against the failures of TestSlotsUnderMessageFaults when Instances, and with them
// ledger holders, are killed and restart.
func TestSlotsUnderKills(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) { runSlotScenario(t, true) })
}

// Guards against an account that gets more than its share while others wait. The bound for
// two accounts is the sum of their largest jobs, each divided by the weight.
func TestFairQueueServesByWeight(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := New(core.InstanceRef{ID: "i0"}, "east", Params{Rand: newRand(1)})
		p.SetTopology(0, smallTopology(1, 1, PolicyFair))
		accounts := rapid.IntRange(2, 5).Draw(t, "accounts")
		weight := map[core.AccountID]int{}
		largest := map[core.AccountID]float64{}
		queued := map[core.AccountID]int{}
		cost := map[core.RequestID]Job{}
		p.Submit(0, Job{ID: "first", Account: "other", Service: "chat", Model: "m", MaxOutputTokens: 100_000, Deadline: core.Never})
		for k := range accounts * 20 {
			job := Job{ID: core.RequestID(fmt.Sprintf("r%d", k)), Service: "chat", Model: "m", Deadline: core.Never}
			job.Account = core.AccountID(fmt.Sprintf("a%d", rapid.IntRange(0, accounts-1).Draw(t, "account")))
			if weight[job.Account] == 0 {
				weight[job.Account] = rapid.IntRange(1, 8).Draw(t, "weight")
			}
			job.Weight = weight[job.Account]
			job.Priority = rapid.IntRange(0, 3).Draw(t, "priority")
			job.PromptTokens = rapid.IntRange(1, 5000).Draw(t, "prompt")
			job.MaxOutputTokens = rapid.IntRange(1, 500).Draw(t, "output")
			largest[job.Account] = max(largest[job.Account], float64(job.PromptTokens+job.MaxOutputTokens+1)/float64(job.Weight))
			cost[job.ID] = job
			queued[job.Account]++
			p.Submit(0, job)
		}
		served := map[core.AccountID]float64{}
		running := []core.RequestID{"first"}
		for now := core.Instant(0); len(running) > 0; now = now.Add(time.Second) {
			outputs := p.Release(now, running[0])
			running = running[1:]
			for _, o := range outputs {
				job := cost[o.(ModelPlacement).ID]
				running = append(running, job.ID)
				served[job.Account] += float64(job.PromptTokens+job.MaxOutputTokens+1) / float64(job.Weight)
				queued[job.Account]--
				checkShares(t, served, largest, queued)
			}
		}
		for account, count := range queued {
			if count != 0 {
				t.Fatalf("%s: %d jobs never placed", account, count)
			}
		}
	})
}

func checkShares(t *rapid.T, served, largest map[core.AccountID]float64, queued map[core.AccountID]int) {
	for x := range queued {
		for y := range queued {
			bound := largest[x] + largest[y]
			if queued[x] > 0 && queued[y] > 0 && served[x]-served[y] > bound {
				t.Fatalf("%s got %.0f more than %s; the bound is %.0f", x, served[x]-served[y], y, bound)
			}
		}
	}
}

// Guards against KV transfers between regions, for random topologies and jobs.
func TestNoKVAcrossRegions(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		top := Topology{DataCentres: []DataCentre{
			{Name: "east", Region: "r1"}, {Name: "west", Region: "r1"}, {Name: "far", Region: "r2"}, {Name: "away", Region: "r3"},
		}}
		region := map[core.UpstreamID]core.RegionName{}
		s := Service{Name: "chat", Kind: KindModel, Models: []core.ModelName{"m"}}
		for i := range rapid.IntRange(2, 20).Draw(t, "engines") {
			dc := rapid.SampledFrom(top.DataCentres).Draw(t, "dc")
			up := Upstream{ID: core.UpstreamID(fmt.Sprint(i)), DataCentre: dc.Name, Slots: 2}
			up.Role = rapid.SampledFrom([]Role{RolePrefill, RoleDecode}).Draw(t, "role")
			region[up.ID] = dc.Region
			s.Upstreams = append(s.Upstreams, up)
		}
		top.Services = []Service{s}
		p := New(core.InstanceRef{ID: "i0"}, "east", Params{Rand: newRand(rapid.Uint64().Draw(t, "seed"))})
		p.SetTopology(0, top)
		for k := range 10 {
			prefix := []uint64{uint64(rapid.IntRange(0, 3).Draw(t, "prefix"))}
			outputs := p.Submit(0, Job{ID: core.RequestID(fmt.Sprint(k)), Service: "chat", Model: "m", PromptTokens: 2000, PrefixHashes: prefix, Deadline: core.Never})
			for _, o := range outputs {
				place, ok := o.(ModelPlacement)
				if !ok {
					continue
				}
				if region[place.Prefill] != region[place.Decode] {
					t.Fatalf("KV cache from %s to %s", region[place.Prefill], region[place.Decode])
				}
				p.OnPrefillResult(0, place.Prefill, PrefillResult{ID: place.ID})
			}
		}
	})
}

// newTestPlacer returns a Placer that holds all ledgers of a small service.
func newTestPlacer(decodes, slots int, policy Policy) *Placer {
	p := New(core.InstanceRef{ID: "i0", Incarnation: 1}, "east", Params{Rand: newRand(3)})
	p.SetTopology(0, smallTopology(decodes, slots, policy))
	return p
}

// Guards against a refused retry that is reported as not run although an earlier attempt may
// have run.
func TestRefusedRetryMayHaveRun(t *testing.T) {
	is := is.New(t)
	job := chatJob("r", 10, 0)
	job.IsRetry = true
	outputs := newTestPlacer(1, 1, PolicyFair).Submit(1, job)
	is.Equal(outputs[0].(JobRefused).Refusal.Ran, core.MayHaveRun)
}

func chatJob(id string, prompt int, deadline core.Instant) Job {
	return Job{ID: core.RequestID(id), Account: "a", Service: "chat", Model: "m", Weight: 1, PromptTokens: prompt, MaxOutputTokens: 40, Deadline: deadline}
}

// Guards against jobs that are placed under "goodput" although they can't meet their
// first-token target, and against such refusals under "fair".
func TestEarlyRefusalFollowsThePolicy(t *testing.T) {
	tests := []struct {
		name   string
		policy Policy
		prompt int
		retry  bool
		// hasEstimates is set if the engines have estimates. Without them, an idle fleet
		// refuses nothing.
		hasEstimates bool
		code         core.Code // empty: placed
	}{
		{"goodput, target can be met", PolicyGoodput, 20_000, false, true, ""},
		{"goodput, target can't be met", PolicyGoodput, 60_000, false, true, core.CodeTargetUnreachable},
		{"goodput, no estimates", PolicyGoodput, 60_000, false, false, ""},
		{"goodput, retry", PolicyGoodput, 60_000, true, true, ""},
		{"fair", PolicyFair, 60_000, false, true, ""},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			job := chatJob("r", test.prompt, core.Instant(time.Minute))
			job.IsRetry = test.retry
			p := newTestPlacer(1, 1, test.policy)
			if test.hasEstimates {
				recordPrefill(p, 2000, 100*ms, 2000*p.params.KVBytesPerToken)
			}
			outputs := p.Submit(0, job)
			is.Equal(len(outputs), 1)
			if test.code == "" {
				_, placed := outputs[0].(ModelPlacement)
				is.True(placed)
				return
			}
			refused := outputs[0].(JobRefused)
			is.Equal(refused.Refusal.Code, test.code)
			is.Equal(refused.Refusal.Ran, core.NotRun)
			is.True(refused.Refusal.RetryAfter > 0)
		})
	}
}

// Guards against queued jobs that get no outcome. Under "goodput" they are refused at the
// first-token target and higher priorities are served first; under "fair" they are refused
// at the deadline.
func TestWaitingJobs(t *testing.T) {
	tests := []struct {
		policy Policy
		until  time.Duration
		code   core.Code
		first  core.RequestID
	}{
		{PolicyGoodput, 1900 * ms, core.CodeTargetUnreachable, "high"},
		{PolicyFair, 3 * time.Second, core.CodeDeadlineExceeded, "low"},
	}
	for _, test := range tests {
		t.Run(string(test.policy), func(t *testing.T) {
			is := is.New(t)
			p := newTestPlacer(1, 1, test.policy)
			p.services["chat"].meanSlotTime = 1500 * ms
			running := chatJob("running", 100, core.Never)
			running.Account = "b"
			is.Equal(len(p.Submit(0, running)), 1)
			low, high := chatJob("low", 100, core.Instant(3*time.Second)), chatJob("high", 2000, core.Instant(3*time.Second))
			high.Priority, high.Account = 5, "b"
			is.Equal(len(p.Submit(0, low)), 0)
			is.Equal(len(p.Submit(0, high)), 0)
			for _, target := range p.pools {
				is.Equal(target.queue.peek().ID, test.first)
			}
			var at core.Instant
			for _, g := range p.engines["d0"].ledger.grants {
				g.expectedEnd = core.Instant(time.Hour) // the slot stays in use
			}
			attempts := []core.AttemptID{{Owner: p.self, Seq: 1}}
			refused := p.OnLoadReport(1, "d0", LoadReport{Slots: 1, UsedSlots: 1, Attempts: attempts, ObservedAt: 1})
			if test.policy == PolicyGoodput {
				is.Equal(len(refused), 2) // the slot can no longer be free in time
			}
			for len(refused) == 0 && at < core.Instant(10*time.Second) {
				at = p.NextWake()
				refused = p.Tick(at)
			}
			is.Equal(refused[0].(JobRefused).Refusal.Code, test.code)
			is.Equal(refused[0].(JobRefused).Refusal.Ran, core.NotRun)
			is.True(at.Sub(core.Instant(test.until)) <= 0)
		})
	}
}
