package placement

import (
	"math"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/rhubarbsill/rhubarbsill/pkg/core"
)

// recordPrefill records one prefill without queueing delay at every prefill engine.
func recordPrefill(p *Placer, prompt int, took time.Duration, bytes int64) {
	for _, e := range p.engines {
		if e.Role == RolePrefill {
			j := &job{Job: chatJob("sample", prompt, core.Never), decode: p.engines["d0"], kvBytes: float64(bytes)}
			p.updateEstimates(0, e, j, PrefillResult{KVBytes: bytes, Duration: took})
		}
	}
}

// Guards against refusals on an idle fleet whose engines are faster, or whose KV cache is
// smaller, than the default parameters assume.
func TestRateAndKVSizeAreEstimated(t *testing.T) {
	is := is.New(t)
	p := newTestPlacer(1, 1, PolicyGoodput)
	for _, rate := range []float64{1e6, 2000} {
		for range 40 {
			recordPrefill(p, 4000, seconds(4000/rate), 4000*2048)
		}
		e := p.engines["p0"]
		is.True(math.Abs(e.prefillBacklog.rate/rate-1) < 0.05)
		is.Equal(p.kvBytes(e, &job{Job: chatJob("r", 1000, core.Never)}), float64(1000*2048))
	}
}

// Guards against an estimate that is far off after one stalled prefill or one wrong size.
func TestEstimatesAreBounded(t *testing.T) {
	is := is.New(t)
	p := newTestPlacer(1, 1, PolicyGoodput)
	e := p.engines["p0"]
	for range 20 {
		recordPrefill(p, 4000, 200*ms, 4000*1000)
	}
	recordPrefill(p, 4000, time.Minute, 1)
	is.True(e.prefillBacklog.rate > 0.7*20_000)
	is.True(p.kvBytes(e, &job{Job: chatJob("r", 1000, core.Never)}) > 0.8*1000*1000)
	for range 200 {
		recordPrefill(p, 4000, time.Hour, math.MaxInt64)
	}
	is.Equal(e.prefillBacklog.rate, minPrefillRate)
	is.Equal(p.kvBytes(e, &job{Job: chatJob("r", 1000, core.Never)}), 1000*maxTokenBytes)
}

// Guards against estimates of an engine that are kept over its restart. Only the KV cache
// size of the model over all engines is still used.
func TestRestartResetsEstimates(t *testing.T) {
	is := is.New(t)
	p := newTestPlacer(1, 1, PolicyGoodput)
	e := p.engines["p0"]
	p.OnLoadReport(1, "p0", LoadReport{ObservedAt: 1, Generation: 1})
	recordPrefill(p, 4000, 20*ms, 4000*2048)
	p.OnLoadReport(2, "p0", LoadReport{ObservedAt: 2, Generation: 1})
	is.True(e.prefillBacklog.rate > 50_000)
	p.OnLoadReport(3, "p0", LoadReport{ObservedAt: 3, Generation: 2})
	is.Equal(e.prefillBacklog.rate, p.params.PrefillTokensPerSecond)
	is.Equal(len(e.kvSizes), 0)
	is.Equal(p.kvBytes(e, &job{Job: chatJob("r", 1000, core.Never)}), float64(1000*2048))
	is.True(!e.prefillRate.isRecent(3))
}

// Guards against a link backlog that keeps the assumed size of a transfer after the engine
// has reported the size.
func TestReportedKVSizeCorrectsTheLink(t *testing.T) {
	is := is.New(t)
	p := newTestPlacer(1, 1, PolicyGoodput)
	place := onlyPlacement(t, p.Submit(0, chatJob("r", 1024, core.Never)))
	link := &p.engines[place.Prefill].dc.link
	is.Equal(link.remaining(0), float64(1024*128<<10))
	p.OnPrefillResult(0, place.Prefill, PrefillResult{ID: "r", KVBytes: 1024 * 100, Duration: 50 * ms})
	is.Equal(link.remaining(0), float64(1024*100))
}

// Guards against a prefill rate that is too low because it includes the queueing delay.
func TestQueueIsNotPartOfThePrefillRate(t *testing.T) {
	is := is.New(t)
	p := newTestPlacer(1, 1, PolicyGoodput)
	for range 20 {
		j := &job{Job: chatJob("r", 1000, core.Never), decode: p.engines["d0"], queuedTokensAhead: 9000}
		p.updateEstimates(0, p.engines["p0"], j, PrefillResult{Duration: 500 * ms})
	}
	is.True(math.Abs(p.engines["p0"].prefillBacklog.rate-20_000) < 1)
}
