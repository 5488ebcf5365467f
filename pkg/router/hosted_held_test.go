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

// sendPrompt sends a request with a prompt of its own of 1,000 tokens.
func (r *hostedHarness) sendPrompt(id, path, prompt string) {
	key := hostedKey
	r.step(RequestArrived{Request: Request{
		ID: core.RequestID(id), Host: "h", Path: path, Key: &key, PromptTokens: 1000, MaxOutputTokens: 500, HasTokenCounts: true,
		Deadline: r.now.Add(20 * time.Second), Fingerprint: core.Fingerprint{1}, PromptParts: []promptcache.Part{{ID: core.PromptPart(prompt), Tokens: 1000}},
	}})
}

// resume prefills a prompt, has its KV cache expire before the decode, crashes the decode engine that reads the
// prompt itself, and sends the request again as its caller would. It returns the two prefills.
func (r *hostedHarness) resume(prompt string, secondPrefill time.Duration) (first, again StartPrefill) {
	r.t.Helper()
	r.sendPrompt(prompt, "/resumable/x", prompt)
	r.grantHold(wantEffect[AcquireHold](r))
	first = wantEffect[StartPrefill](r)
	r.now = r.now.Add(25 * time.Millisecond)
	r.completePrefill(first)
	decode := wantEffect[StartDecode](r)
	expired := attempts.Failure{Kind: attempts.FailKVGone, Upstream: decode.Upstream, MaybeSent: true, ConfirmedNotRun: true}
	r.failAttempt(prompt, decode.Attempt, expired)
	r.grantHold(wantEffect[AcquireHold](r))
	wantNoEffect[StartPrefill](r)
	decode = wantEffect[StartDecode](r)
	if decode.KV != "" {
		r.t.Errorf("the decode engine of %s should read the prompt itself", prompt)
	}
	r.step(CallerDisconnected{Request: core.RequestID(prompt)})
	r.sendPrompt(prompt+" again", "/resumable/x", prompt)
	r.grantHold(wantEffect[AcquireHold](r))
	again = wantEffect[StartPrefill](r)
	r.now = r.now.Add(secondPrefill)
	r.completePrefill(again)
	decode = wantEffect[StartDecode](r)
	r.step(ResponseCompleted{Request: core.RequestID(prompt + " again"), Attempt: decode.Attempt, Status: 200})
	return first, again
}

// Guards against a prompt whose KV cache has expired and that is prefilled as a whole at another engine when its
// caller sends the request again, while the engine that prefilled it holds it. Also guards against a second
// prefill within one request, which would count towards the MaxUpstreams of the route, because the prompt is
// believed to be held.
func TestHostedPromptIsSentToTheEngineThatHoldsIt(t *testing.T) {
	for _, ignored := range []bool{false, true} {
		r := newHostedHarness(t)
		second := catalog.Upstream{ID: "p2", Service: "llm", Addr: "p2:1", DataCentre: "a", Stage: catalog.StagePrefill, Slots: 8}
		r.upstreams = append(r.upstreams, second)
		r.step(UpstreamsListed{Revision: storeRevision(11), Upstreams: r.upstreams})
		if ignored {
			r.router.hosted.heldPrompts.SetUpstreams(nil) // no engine is known
		}
		same, took := 0, time.Millisecond
		if ignored {
			took = 25 * time.Millisecond // a short one would show as the pace of the engine
		}
		for i := range 16 {
			first, again := r.resume("prompt-"+strconv.Itoa(i), took)
			if first.Upstream == again.Upstream {
				same++
			}
			is.New(t).Equal(first.ResponseTimeout, again.ResponseTimeout) // no bound goes by what is believed
		}
		t.Logf("ignored=%t: same engine %d of 16, %+v", ignored, same, r.router.hosted.heldPrompts.Stats())
		if !ignored && same < 16 || ignored && same == 16 {
			t.Errorf("ignored=%t: %d of 16 prompts were prefilled at the engine that held them", ignored, same)
		}
	}
}
