package router

import (
	"strconv"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/rhubarbsill/rhubarbsill/pkg/attempts"
	"github.com/rhubarbsill/rhubarbsill/pkg/catalog"
	"github.com/rhubarbsill/rhubarbsill/pkg/core"
	"github.com/rhubarbsill/rhubarbsill/pkg/promptcache"
)

// resume prefills a prompt, has its KV cache expire before the decode, disconnects the caller while a decode engine
// reads the prompt itself, and sends the request again. It returns the two prefills.
func (r *hostedHarness) resume(prompt string, secondPrefill time.Duration) (first, again StartPrefill) {
	r.t.Helper()
	key := hostedKey
	request := Request{
		ID: core.RequestID(prompt), Host: "h", Path: "/resumable/x", Key: &key, PromptTokens: 1000, MaxOutputTokens: 500, HasTokenCounts: true,
		Deadline: r.now.Add(20 * time.Second), PromptParts: []promptcache.Part{{ID: core.PromptPart(prompt), Tokens: 1000}},
	}
	r.step(RequestArrived{Request: request})
	r.grantHold(wantEffect[AcquireHold](r))
	first = wantEffect[StartPrefill](r)
	r.now = r.now.Add(25 * time.Millisecond)
	r.completePrefill(first)
	decode := wantEffect[StartDecode](r)
	r.failAttempt(prompt, decode.Attempt, attempts.Failure{Kind: attempts.FailKVGone, Upstream: decode.Upstream, MaybeSent: true, ConfirmedNotRun: true})
	r.grantHold(wantEffect[AcquireHold](r))
	wantNoEffect[StartPrefill](r)
	is.New(r.t).Equal(wantEffect[StartDecode](r).KV, "")
	r.step(CallerDisconnected{Request: request.ID})
	request.ID += " again"
	r.step(RequestArrived{Request: request})
	r.grantHold(wantEffect[AcquireHold](r))
	again = wantEffect[StartPrefill](r)
	r.now = r.now.Add(secondPrefill)
	r.completePrefill(again)
	r.step(ResponseCompleted{Request: request.ID, Attempt: wantEffect[StartDecode](r).Attempt, Status: 200})
	return first, again
}

// Guards against a prompt whose KV cache has expired and that is prefilled as a whole at another engine when its
// caller sends the request again, while the engine that prefilled it holds it. Also guards against a second
// prefill within one request, which would count towards the MaxUpstreams of the route, because the prompt is
// believed to be held.
func TestHostedPromptIsSentToTheEngineThatHoldsIt(t *testing.T) {
	for _, ignored := range []bool{false, true} {
		r := newHostedHarness(t)
		same, took := 0, time.Millisecond
		r.upstreams = append(r.upstreams, catalog.Upstream{ID: "p2", Service: "llm", Addr: "p2:1", DataCentre: "a", Stage: catalog.StagePrefill})
		r.step(UpstreamsListed{Revision: storeRevision(11), Upstreams: r.upstreams})
		if ignored {
			r.router.hosted.heldPrompts.SetUpstreams(nil) // no engine is known
			took = 25 * time.Millisecond                  // a short one would show as the pace of the engine
		}
		for i := range 16 {
			first, again := r.resume("prompt-"+strconv.Itoa(i), took)
			if first.Upstream == again.Upstream {
				same++
			}
			is.New(t).Equal(first.ResponseTimeout, again.ResponseTimeout) // no bound goes by what is believed
		}
		if !ignored && same < 16 || ignored && same == 16 {
			t.Errorf("ignored=%t: %d of 16 prompts were prefilled at the engine that held them", ignored, same)
		}
	}
}
