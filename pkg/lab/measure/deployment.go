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
	// linkMbps is enough for 6 of 1,300 engines that together transfer 2,500 GB/s
	// (design 1.3). The 30 Mbit/s of the examples would carry 37 tokens of KV cache
	// per second.
	linkMbps = 100_000
	// rateHeadroom is the ratio of the sum of the account rates to the capacity, so
	// that a load of 1.3 is still inside every account's rate.
	rateHeadroom = 1.5
	// burstSeconds is the ratio of the burst to the rate, as for the large accounts of
	// the examples.
	burstSeconds = 10
	minBurst     = 60_000

	// Engine speeds that follow from the defaults of virtual.EngineOptions.
	prefillTokensPerSecond = 20_000
	fullBatchStep          = 24 * time.Millisecond // decode step with a batch of 20
	kvBytesPerToken        = 100_000
)

// requestSize holds the token counts of a request.
type requestSize struct{ promptTokens, sharedTokens, outputTokens int }

// Deployment is a workload with the accounts and the policy that it runs under.
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

// Division returns deployment A. A prompt has 4,096 tokens that all requests of the
// account share and 400 to 1,600 of its own; the output is 150 to 250 tokens.
func Division() Deployment {
	return Deployment{
		Name: "A", Policy: config.PolicyGoodput, weights: []int{8, 6, 3, 1, 1},
		drawSize: func(r *rand.Rand) requestSize {
			return requestSize{promptTokens: 4096 + randomBetween(r, 400, 1600), sharedTokens: 4096, outputTokens: randomBetween(r, 150, 250)}
		},
		uncachedTokens: 1000, promptTokens: 5096, outputTokens: 200,
	}
}

// Cooperative returns deployment B. Seven of ten requests have a prompt of 4,000 to
// 16,000 tokens, such as a manifest, and the others one of 200 to 800, such as a
// note. No tokens are shared between requests; the output is 40 to 120 tokens.
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

// Capacity returns the requests per second that the deployment can serve and the
// resource that limits it. It is the least of the capacity of the prefill engines
// when every shared token is cached, of the decode slots at full batches including
// the KV transfer, and of the links.
func (d Deployment) Capacity() (perSecond float64, bound string) {
	const dataCentres = 3
	linkBytesPerSecond := float64(linkMbps) * 1e6 / 8
	transferSeconds := d.promptTokens * kvBytesPerToken / linkBytesPerSecond
	perSecond, bound = dataCentres*prefillPerDataCentre*prefillTokensPerSecond/d.uncachedTokens, "prefill"
	if limit := dataCentres * decodePerDataCentre * slotsPerDecodeEngine / (d.outputTokens*fullBatchStep.Seconds() + transferSeconds); limit < perSecond {
		perSecond, bound = limit, "decode slots"
	}
	if limit := dataCentres / transferSeconds; limit < perSecond {
		perSecond, bound = limit, "links"
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
		Instances:   instanceCount, PrefillPerDataCentre: prefillPerDataCentre, DecodePerDataCentre: decodePerDataCentre,
		Accounts: d.accounts(), Policy: d.Policy,
	})
	if d.Name == "B" {
		opts.SameRegion, opts.ToCaller = 1500*time.Microsecond, time.Millisecond
	}
	return opts
}
