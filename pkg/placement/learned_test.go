package placement

import (
	"math"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/rhubarbsill/rhubarbsill/pkg/core"
)

// teach gives every prefill engine the result of one prefill that found an empty
// queue.
func teach(p *Placer, prompt int, took time.Duration, bytes int64) {
	for _, e := range p.engines {
		if e.Role == RolePrefill {
			j := &job{Job: chat("taught", prompt, core.Never), decode: p.engines["d0"], kvBytes: float64(bytes)}
			p.learn(0, e, j, PrefillResult{KVBytes: bytes, Duration: took})
		}
	}
}

// Guards against refusals on an idle fleet whose engines are faster, or whose KV
// cache is smaller, than the parameters say.
func TestSpeedAndSizeAreLearned(t *testing.T) {
	is := is.New(t)
	p := onePlacer(1, 1, PolicyGoodput)
	for _, rate := range []float64{1e6, 2000} {
		for range 40 {
			teach(p, 4000, seconds(4000/rate), 4000*2048)
		}
		e := p.engines["p0"]
		is.True(math.Abs(e.work.rate/rate-1) < 0.05)
		is.Equal(p.kvBytes(e, &job{Job: chat("r", 1000, core.Never)}), float64(1000*2048))
	}
}

// Guards against an estimate that one stalled prefill or a wrong size ruins.
func TestLearnedValuesAreBounded(t *testing.T) {
	is := is.New(t)
	p := onePlacer(1, 1, PolicyGoodput)
	e := p.engines["p0"]
	for range 20 {
		teach(p, 4000, 200*ms, 4000*1000)
	}
	teach(p, 4000, time.Minute, 1)
	is.True(e.work.rate > 0.7*20_000)
	is.True(p.kvBytes(e, &job{Job: chat("r", 1000, core.Never)}) > 0.8*1000*1000)
	for range 200 {
		teach(p, 4000, time.Hour, math.MaxInt64)
	}
	is.Equal(e.work.rate, minPrefillRate)
	is.Equal(p.kvBytes(e, &job{Job: chat("r", 1000, core.Never)}), 1000*maxTokenBytes)
}

// Guards against the speed of an engine that outlives its restart: only the size
// that other engines state for the model is still used.
func TestRestartForgetsWhatWasLearned(t *testing.T) {
	is := is.New(t)
	p := onePlacer(1, 1, PolicyGoodput)
	e := p.engines["p0"]
	p.OnLoadReport(1, "p0", LoadReport{ObservedAt: 1, Generation: 1})
	teach(p, 4000, 20*ms, 4000*2048)
	p.OnLoadReport(2, "p0", LoadReport{ObservedAt: 2, Generation: 1})
	is.True(e.work.rate > 50_000)
	p.OnLoadReport(3, "p0", LoadReport{ObservedAt: 3, Generation: 2})
	is.Equal(e.work.rate, p.params.PrefillTokensPerSecond)
	is.Equal(len(e.sizes), 0)
	is.Equal(p.kvBytes(e, &job{Job: chat("r", 1000, core.Never)}), float64(1000*2048))
	is.True(!e.speed.fresh(3))
}

// Guards against a link that stays booked with the assumed size of a transfer.
func TestStatedSizeCorrectsTheLink(t *testing.T) {
	is := is.New(t)
	p := onePlacer(1, 1, PolicyGoodput)
	place := placed(t, p.Submit(0, chat("r", 1024, core.Never)))
	link := &p.engines[place.Prefill].site.link
	is.Equal(link.left(0), float64(1024*128<<10))
	p.OnPrefillResult(0, place.Prefill, PrefillResult{ID: "r", KVBytes: 1024 * 100, Duration: 50 * ms})
	is.Equal(link.left(0), float64(1024*100))
}

// Guards against a speed that counts the queue before a prefill as its own time.
func TestQueueIsNotPartOfTheSpeed(t *testing.T) {
	is := is.New(t)
	p := onePlacer(1, 1, PolicyGoodput)
	for range 20 {
		j := &job{Job: chat("r", 1000, core.Never), decode: p.engines["d0"], ahead: 9000}
		p.learn(0, p.engines["p0"], j, PrefillResult{Duration: 500 * ms})
	}
	is.True(math.Abs(p.engines["p0"].work.rate-20_000) < 1)
}
