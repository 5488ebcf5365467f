package measure

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/rhubarbsill/rhubarbsill/pkg/config"
	"github.com/rhubarbsill/rhubarbsill/pkg/core"
	"github.com/rhubarbsill/rhubarbsill/pkg/lab/virtual"
)

const (
	instanceCount        = 8
	prefillPerDataCentre = 2 // in each of three DataCentres, as in examples/division.jsonc
	decodePerDataCentre  = 4
	slotsPerDecodeEngine = 20
	// linkMbps carries what 6 engines need when 1,300 move 2,500 GB/s (design 1.3).
	// The 30 Mbit/s of the examples would carry 37 tokens of KV cache a second.
	linkMbps = 100_000
	// rateHeadroom is the sum of the rates over what the engines can do, so that the
	// load of 1.3 is still inside every account's rate.
	rateHeadroom = 1.5
	// burstSeconds is the burst over the rate, as for the large accounts of the
	// examples.
	burstSeconds = 10
	minBurst     = 60_000

	// The speeds of the engines, the defaults of package virtual.
	prefillTokensPerSecond = 20_000
	fullBatchStep          = 24 * time.Millisecond // of a batch of 20
	kvBytesPerToken        = 100_000
)

// requestSize is what a caller sends.
type requestSize struct{ promptTokens, sharedTokens, outputTokens int }

// Deployment is the workload of one site.
type Deployment struct {
	Name           string
	Policy         config.Policy
	weights        []int
	drawSize       func(*rand.Rand) requestSize
	uncachedTokens float64 // mean prompt tokens that no prefix cache can serve
	promptTokens   float64 // mean prompt tokens
	outputTokens   float64 // mean output tokens
}

func randomBetween(r *rand.Rand, low, high int) int { return low + r.IntN(high-low+1) }

// Division is deployment A: 4,096 shared tokens of the account, 400 to 1,600 of
// the request's own, 150 to 250 tokens of output.
func Division() Deployment {
	return Deployment{
		Name: "A", Policy: config.PolicyGoodput, weights: []int{8, 6, 3, 1, 1},
		drawSize: func(r *rand.Rand) requestSize {
			return requestSize{promptTokens: 4096 + randomBetween(r, 400, 1600), sharedTokens: 4096, outputTokens: randomBetween(r, 150, 250)}
		},
		uncachedTokens: 1000, promptTokens: 5096, outputTokens: 200,
	}
}

// Cooperative is deployment B: seven of ten requests bring a manifest of 4,000 to
// 16,000 tokens that nobody has sent before, the others a note of 200 to 800.
// The output is 40 to 120 tokens.
func Cooperative() Deployment {
	return Deployment{
		Name: "B", Policy: config.PolicyFair, weights: []int{5, 5, 2, 1, 1},
		drawSize: func(r *rand.Rand) requestSize {
			tokens := randomBetween(r, 200, 800)
			if r.IntN(10) < 7 {
				tokens = randomBetween(r, 4000, 16_000)
			}
			return requestSize{promptTokens: tokens, outputTokens: randomBetween(r, 40, 120)}
		},
		uncachedTokens: 0.7*10_000 + 0.3*500, promptTokens: 0.7*10_000 + 0.3*500, outputTokens: 80,
	}
}

// Capacity returns the requests per second that the engines can do: the least of
// what the prefill engines compute when every shared token is cached, what the
// decode slots hold at full batches including the transfer, and what the links
// carry.
func (d Deployment) Capacity() (perSecond float64, bound string) {
	const sites = 3
	link := float64(linkMbps) * 1e6 / 8
	transfer := d.promptTokens * kvBytesPerToken / link
	perSecond, bound = sites*prefillPerDataCentre*prefillTokensPerSecond/d.uncachedTokens, "prefill"
	if by := sites * decodePerDataCentre * slotsPerDecodeEngine / (d.outputTokens*fullBatchStep.Seconds() + transfer); by < perSecond {
		perSecond, bound = by, "decode slots"
	}
	if by := sites / transfer; by < perSecond {
		perSecond, bound = by, "links"
	}
	return perSecond, bound
}

func (d Deployment) accounts() []config.ClientAccount {
	perSecond, _ := d.Capacity()
	total := 0
	for _, weight := range d.weights {
		total += weight
	}
	var list []config.ClientAccount
	for i, weight := range d.weights {
		rate := int64(rateHeadroom * perSecond * (d.promptTokens + d.outputTokens) * float64(weight) / float64(total))
		id := core.AccountID(fmt.Sprintf("account-%d", i+1))
		list = append(list, virtual.Account(id, weight, rate, max(minBurst, rate*burstSeconds)))
	}
	return list
}

func (d Deployment) options(seed uint64) virtual.Options {
	opts := virtual.Deployment(seed, virtual.Sizes{
		DataCentres: virtual.TwoRegions(linkMbps),
		Instances:   instanceCount, PrefillEach: prefillPerDataCentre, DecodeEach: decodePerDataCentre,
		Accounts: d.accounts(), Policy: d.Policy,
	})
	if d.Name == "B" {
		opts.SameRegion, opts.ToCaller = 1500*time.Microsecond, time.Millisecond
	}
	return opts
}
