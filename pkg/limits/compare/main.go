// Command compare runs the same traffic against three ways to keep an account
// within its limit over all Instances: home sets with loans (package limits), one
// owner per account that holds a lease in the store, and a fixed 1/N of each limit at
// each Instance. It reports the requests that were refused although they were within
// the rate, and the peer messages per request. Time is virtual and the network has no
// delay; equal flags give equal results. With -bench, it measures the cost of the
// real packages instead.
package main

import (
	"flag"
	"fmt"
	"math"
	"math/rand/v2"
	"sort"
	"time"

	"github.com/rhubarbsill/rhubarbsill/pkg/core"
	"github.com/rhubarbsill/rhubarbsill/pkg/limits"
)

// settings are the flags of a run. Its field names are part of the output.
type settings struct {
	instances, accounts int
	seed                uint64
	seconds             int
	requestsPerSecond   float64
	load                float64 // fraction of its rate that each account sends
	direct              float64 // fraction of the requests sent to an Instance from the address query
	outageFrom, outage  int     // seconds
	crashAt             int     // seconds, 0 for none
}

func main() {
	var s settings
	flag.IntVar(&s.instances, "instances", 8, "number of instances")
	flag.IntVar(&s.accounts, "accounts", 27000, "number of accounts")
	flag.Uint64Var(&s.seed, "seed", 1, "seed of all random choices")
	flag.IntVar(&s.seconds, "seconds", 300, "virtual length of the run")
	flag.Float64Var(&s.requestsPerSecond, "rps", 14000, "requests per second of all accounts")
	flag.Float64Var(&s.load, "load", 0.7, "fraction of its rate that each account sends")
	flag.Float64Var(&s.direct, "direct", 0.9, "fraction of the requests sent to an instance from the address query")
	flag.IntVar(&s.outageFrom, "outage-from", 60, "second at which the store goes down")
	flag.IntVar(&s.outage, "outage", 0, "seconds of store outage")
	flag.IntVar(&s.crashAt, "crash-at", 0, "second at which instance 0 stops permanently; 0 for never")
	bench := flag.Bool("bench", false, "run the benchmarks instead")
	flag.Parse()
	if *bench {
		runBenchmarks(s.seed)
		return
	}
	fmt.Printf("%+v\n", s)
	fmt.Printf("%-12s %10s %14s %10s %12s\n", "mechanism", "requests", "inside refused", "part", "messages/req")
	for _, m := range []mechanism{newHomeSets(s), newLeasedOwners(s), newFixedShares(s)} {
		r := run(s, m)
		fmt.Printf("%-12s %10d %14d %9.4f%% %12.3f\n", m.name(), r.requests, r.refused,
			100*float64(r.refused)/float64(r.withinRate), float64(r.messages)/float64(r.requests))
	}
}

// request is one request of an account.
type request struct {
	id      core.RequestID
	account limits.Account
	tokens  int64
	to      int // Instance that the caller chose
}

// mechanism decides about requests. admit also returns the number of peer messages
// that it used.
type mechanism interface {
	name() string
	targets(a limits.Account) []int
	admit(now core.Instant, r request) (granted bool, messages int)
}

type result struct {
	requests, withinRate, refused, messages int
}

// warmup lets the buckets of all mechanisms fill before the traffic starts.
const warmup = core.Instant(time.Hour)

// run generates Poisson traffic. A request is within the rate when an ideal bucket,
// which gets all requests of the account, admits it.
func run(s settings, m mechanism) result {
	rng := rand.New(rand.NewPCG(s.seed, 1))
	choices := rand.New(rand.NewPCG(s.seed, 2)) // separate, so that all mechanisms get the same requests
	population, cumulative := drawAccounts(s)
	ideal := make([]bucket, s.accounts)
	var r result
	now := warmup
	end := warmup.Add(time.Duration(s.seconds) * time.Second)
	for {
		gap := rng.ExpFloat64() / s.requestsPerSecond
		now = now.Add(time.Duration(gap * 1e9))
		if now >= end {
			return r
		}
		i := sort.SearchFloat64s(cumulative, rng.Float64()*cumulative[len(cumulative)-1])
		a := population[i]
		q := request{
			id:      core.RequestID(fmt.Sprint(r.requests)),
			account: a,
			tokens:  drawTokens(rng),
			to:      chooseTarget(s, choices, m.targets(a), now),
		}
		r.requests++
		withinRate := ideal[i].take(now, float64(a.Rate), float64(a.Burst), float64(q.tokens))
		granted, messages := m.admit(now, q)
		r.messages += messages
		if withinRate {
			r.withinRate++
		}
		if withinRate && !granted {
			r.refused++
		}
	}
}

// chooseTarget returns one of targets, the result of the address query, or any
// Instance. It avoids crashed ones.
func chooseTarget(s settings, rng *rand.Rand, targets []int, now core.Instant) int {
	direct := rng.Float64() < s.direct && len(targets) > 0
	for range 20 {
		to := rng.IntN(s.instances)
		if direct {
			to = targets[rng.IntN(len(targets))]
		}
		if !s.crashed(now, to) {
			return to
		}
		direct = direct && len(targets) > 1
	}
	return s.instances - 1
}

func (s settings) crashed(now core.Instant, instance int) bool {
	at := warmup.Add(time.Duration(s.crashAt) * time.Second)
	return s.crashAt > 0 && instance == 0 && now >= at
}

func (s settings) storeDown(now core.Instant) bool {
	from := warmup.Add(time.Duration(s.outageFrom) * time.Second)
	return s.outage > 0 && now >= from && now < from.Add(time.Duration(s.outage)*time.Second)
}

// Sizes of requests, prompt and output, in tokens. The median is about 400.
const (
	largestRequest = 16000
	meanRequest    = 800
)

func drawTokens(rng *rand.Rand) int64 {
	tokens := math.Exp(6 + 1.2*rng.NormFloat64())
	return int64(min(largestRequest, max(20, tokens)))
}

// drawAccounts returns the accounts and their cumulative shares of the traffic, which
// follow Zipf's law with exponent 0.9. The burst is 8 seconds of the rate, and at
// least the largest request.
func drawAccounts(s settings) ([]limits.Account, []float64) {
	weights := make([]float64, s.accounts)
	total := 0.0
	for i := range weights {
		weights[i] = math.Pow(float64(i+1), -0.9)
		total += weights[i]
	}
	population := make([]limits.Account, s.accounts)
	cumulative := make([]float64, s.accounts)
	sum := 0.0
	for i, w := range weights {
		sum += w
		cumulative[i] = sum
		tokensPerSecond := w / total * s.requestsPerSecond * meanRequest
		rate := int64(math.Ceil(tokensPerSecond / s.load))
		population[i] = limits.Account{
			ID:    core.AccountID(fmt.Sprintf("account-%d", i)),
			Rate:  rate,
			Burst: max(8*rate, largestRequest),
		}
	}
	return population, cumulative
}

// bucket is a plain token bucket that starts full.
type bucket struct {
	used      float64
	updatedAt core.Instant
}

func (b *bucket) take(now core.Instant, rate, burst, tokens float64) bool {
	b.used = max(0, b.used-rate*now.Sub(b.updatedAt).Seconds())
	b.updatedAt = now
	if b.used+tokens > burst {
		return false
	}
	b.used += tokens
	return true
}
