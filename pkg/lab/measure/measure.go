// Package measure compares the router with baselines. It drives the real Routers
// of package virtual with the workload of a deployment and counts what the
// callers got. One seed gives one result.
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
	firstTokenTarget = 1900 * time.Millisecond
	betweenTarget    = 37 * time.Millisecond
	// rampUp is the load before the first request that counts.
	rampUp = 10 * time.Second
	// callerTimeout is the deadline of a caller.
	callerTimeout = 20 * time.Second
	// addressesKept is the time for which a caller uses an address answer.
	addressesKept = 5 * time.Second
	// homeAddresses are the first addresses of the answer, which callers rotate over.
	homeAddresses = 3
)

// Run is one run: a deployment, a scenario, a policy and a seed.
type Run struct {
	Deployment Deployment
	Scenario   Scenario
	Variant    Variant
	Seed       uint64
	// Length is the virtual time for which requests are sent and counted.
	Length time.Duration
}

// Result holds what the callers of a run got.
type Result struct {
	Requests int
	// Good answers met both targets, per request inside the rate.
	Good float64
	// Done is the share of the requests inside the rate that were answered whole.
	Done float64
	// Wasted is the share of computed prompt tokens whose KV cache no whole answer
	// used.
	Wasted float64
	// Computed is the number of prompt tokens computed per whole answer.
	Computed float64
	// WorstGood and WorstDone are the least shares of one account.
	WorstGood, WorstDone float64
	// RefusedInside is the share of the requests inside the rate that were refused.
	RefusedInside float64
	// Codes counts the refusals inside the rate.
	Codes map[core.Code]int
	// FirstToken is the 95th percentile of whole answers.
	FirstToken time.Duration
}

// run is the state of a Run.
type run struct {
	Run
	world    *virtual.World
	rand     *rand.Rand
	accounts []config.ClientAccount
	callers  map[core.AccountID]*caller
	sent     []*virtual.Request
	inside   map[*virtual.Request]bool
	begin    time.Duration
	end      time.Duration
}

// caller sends the requests of one account.
type caller struct {
	account   config.ClientAccount
	perSecond float64
	// greedy callers send more than their rate: none of their requests counts as
	// inside it.
	greedy    bool
	addresses []string
	asked     time.Duration
	turn      int
	// tokens and at are a bucket with the account's rate and burst. It decides
	// which requests are inside the rate.
	tokens float64
	at     time.Duration
}

// Do carries out the run.
func (r Run) Do() (Result, error) {
	opts := r.Deployment.options(r.Seed)
	opts.Adjust = func(p *router.Params) { r.Variant.adjust(p) }
	s := newRun(r, virtual.New(opts), opts)
	return s.do()
}

func newRun(r Run, w *virtual.World, opts virtual.Options) *run {
	return &run{
		Run: r, world: w, rand: rand.New(rand.NewPCG(r.Seed, 0x10ad)),
		accounts: opts.Document.Accounts, callers: map[core.AccountID]*caller{}, inside: map[*virtual.Request]bool{},
	}
}

func (s *run) do() (Result, error) {
	if err := s.settle(); err != nil {
		return Result{}, err
	}
	s.begin = s.world.Now() + rampUp
	s.end = s.begin + s.Length
	s.startCallers()
	if s.Scenario.fault != nil {
		s.Scenario.fault(s.world, s.begin+s.Length/4, s.begin+s.Length/2)
	}
	s.world.RunUntil(s.end + callerTimeout + 5*time.Second)
	return s.count(), nil
}

// settle runs the World until every Instance serves and the buckets are full.
func (s *run) settle() error {
	for range 100 {
		s.world.RunUntil(s.world.Now() + 500*time.Millisecond)
		ready := true
		for _, i := range s.world.Instances() {
			view := i.View()
			ready = ready && view.Version > 0 && view.RosterSettled && len(view.Members) == instances
		}
		if ready {
			s.world.RunUntil(s.world.Now() + burstSeconds*time.Second)
			return nil
		}
	}
	return fmt.Errorf("the instances did not settle within %v of virtual time", s.world.Now())
}

func (s *run) startCallers() {
	capacity, _ := s.Deployment.Capacity()
	total := 0
	for _, weight := range s.Deployment.weights {
		total += weight
	}
	perRequest := s.Deployment.tokens + s.Deployment.output
	for n, account := range s.accounts {
		c := &caller{
			account:   account,
			perSecond: capacity * s.Scenario.Load * float64(account.Weight) / float64(total),
			tokens:    float64(account.BurstTokens),
			at:        s.world.Now(),
			asked:     -addressesKept,
		}
		if s.Scenario.Excess == n+1 {
			c.greedy = true
			c.perSecond = excessFactor * float64(account.RateTokensPerSecond) / perRequest
		}
		s.callers[account.ID] = c
		s.next(c)
	}
}

// next sends the next request of a caller after an exponential interval.
func (s *run) next(c *caller) {
	at := s.world.Now() + time.Duration(s.rand.ExpFloat64()/c.perSecond*float64(time.Second))
	if at >= s.end {
		return
	}
	s.world.At(at, func() {
		s.send(c)
		s.next(c)
	})
}

func (s *run) send(c *caller) {
	now := s.world.Now()
	drawn := s.Deployment.draw(s.rand)
	r := s.world.Send(s.entry(c), virtual.RequestOptions{
		Account: c.account.ID, Model: virtual.Model, Topic: string(c.account.ID),
		PromptTokens: drawn.tokens, Shared: drawn.shared, OutputTokens: drawn.output, Timeout: callerTimeout,
	})
	burst, rate := float64(c.account.BurstTokens), float64(c.account.RateTokensPerSecond)
	c.tokens = min(burst, c.tokens+rate*(now-c.at).Seconds())
	c.at = now
	inside := !c.greedy && c.tokens >= float64(drawn.tokens+drawn.output)
	if inside {
		c.tokens -= float64(drawn.tokens + drawn.output)
	}
	if now >= s.begin {
		s.sent = append(s.sent, r)
		s.inside[r] = inside
	}
}

// entry returns the Instance that a caller connects to: its home set in turn, and
// others only when one of those is dead.
func (s *run) entry(c *caller) core.InstanceID {
	if now := s.world.Now(); now-c.asked >= addressesKept {
		c.asked = now
		for _, i := range s.world.Instances() {
			if i.Alive() {
				answer := s.world.Addresses(i.View().Instance.ID, c.account.ID)
				if len(answer.CallerAddrs) > 0 {
					c.addresses = answer.CallerAddrs
				}
				break
			}
		}
	}
	c.turn++
	for i := range c.addresses {
		at := (c.turn + i) % min(homeAddresses, len(c.addresses))
		if i >= homeAddresses {
			at = i
		}
		id := core.InstanceID(c.addresses[at])
		if s.world.Instance(id).Alive() {
			return id
		}
	}
	return s.world.Instances()[0].View().Instance.ID
}
