package measure

import (
	"time"

	"github.com/rhubarbsill/rhubarbsill/pkg/lab/virtual"
	"github.com/rhubarbsill/rhubarbsill/pkg/placement"
	"github.com/rhubarbsill/rhubarbsill/pkg/router"
)

// Variant is a router policy in the comparison.
type Variant struct {
	Name   string
	adjust func(*router.Params)
}

// baseline returns a variant with the strategy and without reservation, prefix
// hints, load correction and fair queueing.
func baseline(strategy placement.Strategy) func(*router.Params) {
	return func(p *router.Params) {
		p.Placement.Strategy = strategy
		p.Placement.NoReservation = true
		p.Placement.NoPrefixHints = true
		p.Placement.NoLoadAdjustment = true
		p.Placement.FIFO = true
	}
}

// Variants returns the full router, the baselines, and the router with one
// mechanism disabled at a time.
func Variants() []Variant {
	return []Variant{
		{"rhubarbsill", func(*router.Params) {}},
		{"round robin", baseline(placement.StrategyRoundRobin)},
		{"least reported load", baseline(placement.StrategyLeastLoaded)},
		{"no reservation", func(p *router.Params) { p.Placement.NoReservation = true }},
		{"no prefix hints", func(p *router.Params) { p.Placement.NoPrefixHints = true }},
		{"no load correction", func(p *router.Params) { p.Placement.NoLoadAdjustment = true }},
		{"no fair queueing", func(p *router.Params) { p.Placement.FIFO = true }},
		{"no lending", func(p *router.Params) { p.Limits.DisableBorrowing = true }},
	}
}

// Scenario is a load with the faults injected under it.
type Scenario struct {
	Name string
	Load float64 // ratio to Deployment.Capacity
	// GreedyAccount is the number, from 1, of the account that sends greedyFactor times its
	// rate. 0 means none.
	GreedyAccount int
	injectFault   func(w *virtual.Simulation, begin, end time.Duration)
}

const (
	// greedyFactor is the ratio of the greedy account's load to its rate.
	greedyFactor = 4
	faultLoad    = 0.7
)

// Scenarios returns the loads, the greedy account and one scenario for each kind of
// fault.
func Scenarios() []Scenario {
	return []Scenario{
		{Name: "load 0.7", Load: 0.7},
		{Name: "load 1.0", Load: 1.0},
		{Name: "load 1.3", Load: 1.3},
		{Name: "greedy account", Load: 0.7, GreedyAccount: 3},
		{Name: "instance killed", Load: faultLoad, injectFault: func(w *virtual.Simulation, begin, end time.Duration) {
			i := w.Instances()[1]
			w.At(begin, func() { i.Kill(); i.Remove() })
			w.At(end, i.Restart)
		}},
		{Name: "engine crash", Load: faultLoad, injectFault: func(w *virtual.Simulation, begin, _ time.Duration) {
			w.At(begin, func() { w.Crash("north-a-prefill-1"); w.Crash("north-a-decode-1") })
		}},
		{Name: "store outage", Load: faultLoad, injectFault: func(w *virtual.Simulation, begin, end time.Duration) {
			w.At(begin, func() { w.SetStoreDown(true) })
			w.At(end, func() { w.SetStoreDown(false) })
		}},
		{Name: "region cut", Load: faultLoad, injectFault: func(w *virtual.Simulation, begin, end time.Duration) {
			w.At(begin, func() { w.PartitionRegion("south") })
			w.At(end, w.Heal)
		}},
		{Name: "stalled transfer", Load: faultLoad, injectFault: func(w *virtual.Simulation, begin, end time.Duration) {
			w.At(begin, func() { w.SetStalled("north-a-decode-1", true) })
			w.At(end, func() { w.SetStalled("north-a-decode-1", false) })
		}},
	}
}
