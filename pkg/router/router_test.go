package router_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/rhubarbsill/rhubarbsill/pkg/config"
	"github.com/rhubarbsill/rhubarbsill/pkg/core"
	"github.com/rhubarbsill/rhubarbsill/pkg/lab/virtual"
)

// smallFleet returns four Instances in three DataCentres of two regions.
func smallFleet(seed uint64) virtual.Options {
	return virtual.Deployment(seed, virtual.Sizes{
		DataCentres:          virtual.TwoRegions(80_000),
		Instances:            4,
		PrefillPerDataCentre: 1,
		DecodePerDataCentre:  2,
		Accounts: []config.ClientAccount{
			virtual.Account("large", 2, 50_000, 250_000),
			virtual.Account("small", 1, 2_000, 20_000),
		},
		Policy: config.PolicyGoodput,
	})
}

// warmUp is the time for the token buckets of a new roster to fill. They start
// empty because the former holders may have spent their tokens.
const warmUp = 5 * time.Second

// waitUntilReady runs a Simulation until every Instance serves.
func waitUntilReady(t *testing.T, w *virtual.Simulation) {
	t.Helper()
	for range 100 {
		w.RunUntil(w.Now() + 500*time.Millisecond)
		ready := true
		for _, i := range w.Instances() {
			view := i.View()
			ready = ready && view.Version > 0 && view.RosterSettled && len(view.Members) == len(w.Instances())
		}
		if ready {
			w.RunUntil(w.Now() + warmUp)
			return
		}
	}
	for _, i := range w.Instances() {
		t.Logf("%+v", i.View())
	}
	t.Fatal("the fleet did not become ready")
}

func completion(account string, prompt, output int) virtual.RequestOptions {
	return virtual.RequestOptions{Account: "large", Model: virtual.Model, PromptTokens: prompt, OutputTokens: output, Topic: account}
}

// Guards against a module that waits forever for another: without failures, every
// request within the rate must complete at every Instance.
func TestEveryInstanceServes(t *testing.T) {
	is := is.New(t)
	w := virtual.New(smallFleet(1))
	waitUntilReady(t, w)
	for n := range 40 {
		entry := w.Instances()[n%len(w.Instances())].View().Instance.ID
		w.Send(entry, completion("a", 2000, 50))
		w.Send(entry, virtual.RequestOptions{
			Account: "large", Method: "POST", Path: "/call", IdempotencyKey: fmt.Sprint("k", n), Body: "order",
		})
		w.RunUntil(w.Now() + 100*time.Millisecond)
	}
	w.RunUntil(w.Now() + 20*time.Second)
	for _, r := range w.Sequence {
		if !r.Completed {
			t.Errorf("%s at %s: %+v", r.ID, r.Entry, r.Refusal)
		}
		is.Equal(r.Answers, 1)
		is.Equal(r.Broken, "")
		is.Equal(r.Tokens, r.Options.OutputTokens)
	}
	for _, up := range w.Upstreams() {
		is.Equal(len(w.ActiveAttempts(up)), 0) // no memory is held after the responses
	}
}

// Guards against a request that is accepted between the end of a graceful
// shutdown and the end of the process, which would interrupt it (G11).
func TestDrainedInstanceRefuses(t *testing.T) {
	is := is.New(t)
	w := virtual.New(smallFleet(1))
	waitUntilReady(t, w)
	leaving := w.Instances()[0]
	id := leaving.View().Instance.ID
	leaving.Shutdown()
	during := w.Send(id, completion("a", 200, 20))
	w.RunUntil(w.Now() + 30*time.Second)
	is.True(during.Completed) // it serves until the address responses have expired
	is.True(leaving.Drained)
	after := w.Send(id, completion("a", 200, 20))
	w.RunUntil(w.Now() + time.Second)
	is.Equal(after.Refusal.Code, core.CodeLeaving)
	is.Equal(after.Refusal.Ran, core.NotRun)
}
