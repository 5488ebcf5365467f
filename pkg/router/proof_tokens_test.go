package router_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/rhubarbsill/rhubarbsill/pkg/core"
	"github.com/rhubarbsill/rhubarbsill/pkg/lab/virtual"
)

// Limits of the account "small" of smallFleet.
const (
	smallRate  = 2_000
	smallBurst = 20_000
)

// drawFleet returns the small fleet with random clock rates.
func drawFleet(t *rapid.T) virtual.Options {
	opts := smallFleet(uint64(rapid.IntRange(1, 1<<30).Draw(t, "seed")))
	for n := range opts.Instances {
		opts.Instances[n].ClockRate = 1 + float64(rapid.IntRange(-100, 100).Draw(t, "clock rate"))/10_000
	}
	return opts
}

// sendOverload sends several times the rate of the account "small" to every
// Instance, with requests that use fewer tokens than they are charged.
func sendOverload(t *rapid.T, w *virtual.Simulation) {
	interval := time.Duration(rapid.IntRange(40, 120).Draw(t, "every ms")) * time.Millisecond
	prompt := rapid.IntRange(100, 1500).Draw(t, "prompt")
	output := rapid.IntRange(1, 60).Draw(t, "output")
	unused := rapid.IntRange(0, 800).Draw(t, "unused")
	n := 0
	for at := faultsBegin - 3*time.Second; at < faultsEnd; at += interval {
		entry := w.Instances()[n%len(w.Instances())].View().Instance.ID
		n++
		w.At(at, func() {
			w.Send(entry, virtual.RequestOptions{
				Account: "small", Model: virtual.Model, PromptTokens: prompt, OutputTokens: output, MaxOutput: output + unused,
				Topic: "small", Timeout: 10 * time.Second,
			})
		})
	}
}

// usage is the number of tokens that a request used, and the interval in which it
// was admitted.
type usage struct {
	from, to time.Duration
	tokens   int64
}

func usageOf(w *virtual.Simulation, account core.AccountID) []usage {
	var uses []usage
	for _, r := range w.Sequence {
		if r.Options.Account == account && r.Sent > 0 && r.Options.Path == "" {
			uses = append(uses, usage{r.SentAt, r.Arrivals[0].At, int64(r.Options.PromptTokens + r.Tokens)})
		}
	}
	return uses
}

// limitViolation describes an interval in which the account used more than its
// limit, "" for none. A request counts in every interval that contains both the
// time when the caller sent it and its arrival at an Upstream, since it was
// admitted between these.
func limitViolation(uses []usage, rate, burst int64) string {
	byEnd := slices.Clone(uses)
	slices.SortFunc(byEnd, func(a, b usage) int { return int(a.to - b.to) })
	for _, begin := range uses {
		sum := int64(0)
		for _, u := range byEnd {
			if u.from < begin.from {
				continue
			}
			sum += u.tokens
			length := u.to - begin.from
			if allowed := burst + int64(float64(rate)*length.Seconds()); sum > allowed {
				return fmt.Sprintf("%d tokens from %s to %s, %d are allowed", sum, begin.from, u.to, allowed)
			}
		}
	}
	return ""
}

// Guards against an account that gets more than its limit over all Instances (G6)
// when it sends several times its rate to every Instance, while settlement
// returns tokens, loans move them and failures change the roster.
func TestTokensStayInsideTheLimitUnderFaults(t *testing.T) {
	t.Parallel()
	admitted := 0
	rapid.Check(t, func(t *rapid.T) {
		opts := drawFleet(t)
		w := virtual.New(opts)
		for _, f := range rapid.SliceOfN(rapid.Custom(drawFault), 0, 5).Draw(t, "faults") {
			t.Logf("fault %+v", f)
			f.apply(w)
		}
		sendOverload(t, w)
		sendWorkload(t, w)
		w.RunUntil(faultsEnd + 15*time.Second)
		if over := limitViolation(usageOf(w, "small"), smallRate, smallBurst); over != "" {
			t.Errorf("account small: %s", over)
		}
		if over := limitViolation(usageOf(w, "large"), 50_000, 250_000); over != "" {
			t.Errorf("account large: %s", over)
		}
		admitted += len(usageOf(w, "small"))
	})
	if admitted == 0 {
		t.Error("no request of the account was admitted")
	}
}

// Guards against a limit that holds only because too little is admitted: without
// failures, an account that exceeds its rate must get nearly its rate.
func TestAccountAboveItsRateGetsItsRate(t *testing.T) {
	t.Parallel()
	w := virtual.New(smallFleet(3))
	waitUntilReady(t, w)
	begin := w.Now()
	for n := range 600 {
		entry := w.Instances()[n%4].View().Instance.ID
		w.Send(entry, virtual.RequestOptions{
			Account: "small", Model: virtual.Model, PromptTokens: 300, OutputTokens: 20, MaxOutput: 200, Topic: "small",
		})
		w.RunUntil(w.Now() + 50*time.Millisecond)
	}
	sent := w.Now() - begin
	w.RunUntil(w.Now() + 10*time.Second)
	uses := usageOf(w, "small")
	sum := int64(0)
	for _, u := range uses {
		sum += u.tokens
	}
	if least := int64(0.8 * smallRate * sent.Seconds()); sum < least {
		t.Errorf("the account got %d tokens in %s, want at least %d", sum, sent, least)
	}
	if over := limitViolation(uses, smallRate, smallBurst); over != "" {
		t.Error(over)
	}
}
