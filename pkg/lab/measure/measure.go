// Package measure compares the router with baseline policies. It sends the workload
// of a deployment to the Routers of package virtual and counts the responses that
// callers receive. A result is determined by its seed.
package measure

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/rhubarbsill/rhubarbsill/pkg/config"
	"github.com/rhubarbsill/rhubarbsill/pkg/core"
	"github.com/rhubarbsill/rhubarbsill/pkg/lab/virtual"
	"github.com/rhubarbsill/rhubarbsill/pkg/router"
)

const (
	firstTokenTarget    = 1900 * time.Millisecond
	betweenTokensTarget = 37 * time.Millisecond
	// rampUp is the time under load before requests are counted.
	rampUp = 10 * time.Second
	// callerTimeout is the deadline of a caller.
	callerTimeout = 20 * time.Second
	// addressesTTL is the time for which a caller uses the response to an address
	// query.
	addressesTTL = 5 * time.Second
	// homeSetSize is the number of leading addresses of the response over which a
	// caller rotates.
	homeSetSize = 3
)

// Run is a simulation run of one deployment, scenario, variant and seed.
type Run struct {
	Deployment Deployment
	Scenario   Scenario
	Variant    Variant
	Seed       uint64
	// Length is the virtual time for which requests are sent and counted.
	Length time.Duration
}

// Result holds the measures of a run.
type Result struct {
	Requests int
	// Good is the share of the requests inside the rate that met both latency targets.
	Good float64
	// Done is the share of the requests inside the rate with a complete response.
	Done float64
	// WastedPrefill is the share of computed prompt tokens whose KV cache no complete
	// response used.
	WastedPrefill float64
	// PromptTokensPerResponse is the number of prompt tokens computed per complete response.
	PromptTokensPerResponse float64
	// WorstGood and WorstDone are the lowest Good and Done of any account.
	WorstGood, WorstDone float64
	// RefusedInside is the share of the requests inside the rate that were refused.
	RefusedInside float64
	// Codes counts the refusals inside the rate.
	Codes map[core.Code]int
	// FirstToken is the 95th percentile of the time to first token of complete
	// responses.
	FirstToken time.Duration
}

// simulation is the state of a Run in progress.
type simulation struct {
	Run
	sim        *virtual.Simulation
	rand       *rand.Rand
	accounts   []config.ClientAccount
	callers    map[core.AccountID]*caller
	sent       []*virtual.Request
	withinRate map[*virtual.Request]bool
	countFrom  time.Duration
	sendUntil  time.Duration
}

// caller sends the requests of one account.
type caller struct {
	account   config.ClientAccount
	perSecond float64
	// greedy callers exceed their rate; none of their requests counts as inside it.
	greedy             bool
	addresses          []string
	addressesFetchedAt time.Duration
	addressIndex       int
	// bucketTokens and refilledAt are a token bucket with the account's rate and
	// burst, which decides whether a request is inside the rate.
	bucketTokens float64
	refilledAt   time.Duration
}

// Do executes the run. It fails if the Instances do not start serving.
func (r Run) Do() (Result, error) {
	opts := r.Deployment.options(r.Seed)
	opts.Adjust = func(p *router.Params) { r.Variant.adjust(p) }
	s := newRun(r, virtual.New(opts), opts)
	return s.execute()
}

func newRun(r Run, w *virtual.Simulation, opts virtual.Options) *simulation {
	return &simulation{
		Run: r, sim: w, rand: rand.New(rand.NewPCG(r.Seed, 0x10ad)),
		accounts: opts.Document.Accounts, callers: map[core.AccountID]*caller{}, withinRate: map[*virtual.Request]bool{},
	}
}

func (s *simulation) execute() (Result, error) {
	if err := s.waitUntilServing(); err != nil {
		return Result{}, err
	}
	s.countFrom = s.sim.Now() + rampUp
	s.sendUntil = s.countFrom + s.Length
	s.startCallers()
	if s.Scenario.injectFault != nil {
		s.Scenario.injectFault(s.sim, s.countFrom+s.Length/4, s.countFrom+s.Length/2)
	}
	s.sim.RunUntil(s.sendUntil + callerTimeout + 5*time.Second)
	return s.summarize(), nil
}

// waitUntilServing runs the simulation until every Instance serves and the token
// buckets are full.
func (s *simulation) waitUntilServing() error {
	for range 100 {
		s.sim.RunUntil(s.sim.Now() + 500*time.Millisecond)
		ready := true
		for _, i := range s.sim.Instances() {
			view := i.View()
			ready = ready && view.Version > 0 && view.RosterSettled && len(view.Members) == instanceCount
		}
		if ready {
			s.sim.RunUntil(s.sim.Now() + burstSeconds*time.Second)
			return nil
		}
	}
	return fmt.Errorf("not all instances were serving after %v of virtual time", s.sim.Now())
}

func (s *simulation) startCallers() {
	capacity, _ := s.Deployment.Capacity()
	total := 0
	for _, weight := range s.Deployment.weights {
		total += weight
	}
	perRequest := s.Deployment.promptTokens + s.Deployment.outputTokens
	for n, account := range s.accounts {
		c := &caller{
			account:            account,
			perSecond:          capacity * s.Scenario.Load * float64(account.Weight) / float64(total),
			bucketTokens:       float64(account.BurstTokens),
			refilledAt:         s.sim.Now(),
			addressesFetchedAt: -addressesTTL,
		}
		if s.Scenario.GreedyAccount == n+1 {
			c.greedy = true
			c.perSecond = greedyFactor * float64(account.RateTokensPerSecond) / perRequest
		}
		s.callers[account.ID] = c
		s.scheduleNext(c)
	}
}

// scheduleNext sends the next request of a caller after an exponential interval.
func (s *simulation) scheduleNext(c *caller) {
	at := s.sim.Now() + time.Duration(s.rand.ExpFloat64()/c.perSecond*float64(time.Second))
	if at >= s.sendUntil {
		return
	}
	s.sim.At(at, func() {
		s.send(c)
		s.scheduleNext(c)
	})
}

func (s *simulation) send(c *caller) {
	now := s.sim.Now()
	size := s.Deployment.drawSize(s.rand)
	r := s.sim.Send(s.chooseInstance(c), virtual.RequestOptions{
		Account: c.account.ID, Model: virtual.Model, Topic: string(c.account.ID),
		PromptTokens: size.promptTokens, Shared: size.sharedTokens, OutputTokens: size.outputTokens, Timeout: callerTimeout,
	})
	burst, rate := float64(c.account.BurstTokens), float64(c.account.RateTokensPerSecond)
	c.bucketTokens = min(burst, c.bucketTokens+rate*(now-c.refilledAt).Seconds())
	c.refilledAt = now
	inside := !c.greedy && c.bucketTokens >= float64(size.promptTokens+size.outputTokens)
	if inside {
		c.bucketTokens -= float64(size.promptTokens + size.outputTokens)
	}
	if now >= s.countFrom {
		s.sent = append(s.sent, r)
		s.withinRate[r] = inside
	}
}

// chooseInstance returns the Instance that a caller connects to: the next one of its
// home set, or another live one if those are dead.
func (s *simulation) chooseInstance(c *caller) core.InstanceID {
	if now := s.sim.Now(); now-c.addressesFetchedAt >= addressesTTL {
		c.addressesFetchedAt = now
		for _, i := range s.sim.Instances() {
			if i.Alive() {
				response := s.sim.Addresses(i.View().Instance.ID, c.account.ID)
				if len(response.CallerAddrs) > 0 {
					c.addresses = response.CallerAddrs
				}
				break
			}
		}
	}
	c.addressIndex++
	for i := range c.addresses {
		at := (c.addressIndex + i) % min(homeSetSize, len(c.addresses))
		if i >= homeSetSize {
			at = i
		}
		id := core.InstanceID(c.addresses[at])
		if s.sim.Instance(id).Alive() {
			return id
		}
	}
	return s.sim.Instances()[0].View().Instance.ID
}
