package dispatch

import (
	"time"

	"github.com/rhubarbsill/rhubarbsill/pkg/catalog"
	"github.com/rhubarbsill/rhubarbsill/pkg/core"
	"github.com/rhubarbsill/rhubarbsill/pkg/pace"
	"github.com/rhubarbsill/rhubarbsill/pkg/promptcache"
)

// This file weighs the prompts that prefill engines still hold. What is held counts in the choice among
// the engines that can be used, and in the load of a prefill. Whether a request is placed, waits, is refused
// or times out goes by its whole prompt, because the estimates may be wrong.

const (
	// minJudgedTokens is the number of held tokens from which the duration of a prefill shows whether they
	// were held: 18 to 30 ms, above the noise of connections within a region.
	minJudgedTokens = 1000
	// maxOmittedTokens bounds the prompt tokens in progress at an engine that its load leaves out. If none of
	// them is held, the prefills take 0.2 to 0.3 s longer than expected, which holds and timeouts allow
	// for. Without a bound, a burst of equal prompts would queue at one engine until the first was measured.
	maxOmittedTokens = 10_000
	// foundShare is the share of the expected saving from which a part counts as found, and below
	// unknownShare other work was ahead that is not known of: nothing is shown then.
	foundShare   = 0.5
	unknownShare = -0.2
)

// expectHeld sets what the engines hold of the prompt of a job. endExpectation must follow.
func (d *Dispatcher) expectHeld(now core.Instant, j *job) {
	if len(j.Prompt) == 0 {
		return
	}
	d.holders = d.params.HeldPrompts.Holders(j.Prompt, d.holders[:0])
	memory := d.engines[j.Service].MemoryTokens
	for _, id := range d.holders {
		up := d.upstreams[id]
		if up == nil || up.Stage != catalog.StagePrefill {
			continue
		}
		// A queue with n requests on average is busy for n/(n+1) of the time. The loads of peers are
		// samples of different instants, so their sum is close to the average.
		peers := float64(up.peer.Requests)
		up.expected = d.params.HeldPrompts.Expect(now, id, j.Prompt, promptcache.State{
			MemoryTokens: memory, BusyTokens: up.own.Tokens + up.omitted + up.peer.Tokens,
			PeerTokensPerSecond: d.params.PrefillTokensPerSecond * peers / (peers + 1),
		})
		up.expected.Tokens = min(up.expected.Tokens, maxOmittedTokens-up.omitted)
	}
}

// endExpectation clears what expectHeld has set, and returns it for the engine that was chosen.
func (d *Dispatcher) endExpectation(chosen *upstream) promptcache.Expectation {
	var held promptcache.Expectation
	if chosen != nil {
		held = chosen.expected
	}
	for _, id := range d.holders {
		if up := d.upstreams[id]; up != nil {
			up.expected = promptcache.Expectation{}
		}
	}
	d.holders = d.holders[:0]
	return held
}

// wholePrefillTime returns the expected time of a prefill if the engine holds nothing of any prompt.
func (d *Dispatcher) wholePrefillTime(up *upstream, j *job) time.Duration {
	whole := *j
	whole.PromptTokens += up.omitted
	return d.prefillTimeAt(up, &whole, up.paceFactor())
}

// addPrefill adds the load of a job to its prefill engine: the work that it adds there.
func (d *Dispatcher) addPrefill(now core.Instant, j *job) {
	up := j.prefill
	j.prefilled = false
	up.own.Requests++
	up.own.Tokens += j.PromptTokens - j.held.Tokens
	up.omitted += j.held.Tokens
	d.params.HeldPrompts.OnPlaced(now, up.ID, j.Prompt, j.held, j.PromptTokens-j.held.Tokens)
}

// releasePrefill removes the load of a job from its prefill engine. Nothing of the prompt is expected there
// if the prefill was not complete.
func (d *Dispatcher) releasePrefill(j *job) {
	up := j.prefill
	if up == nil {
		return
	}
	up.own.Requests--
	up.own.Tokens -= j.PromptTokens - j.held.Tokens
	up.omitted -= j.held.Tokens
	j.prefill = nil
	if !j.prefilled {
		d.params.HeldPrompts.Forget(up.ID, j.Prompt)
	}
}

// judgeHeld decides by the duration of a prefill whether the engine held what it was expected to hold. It
// returns false if it did not: the expected work says nothing about the pace then.
func (d *Dispatcher) judgeHeld(now core.Instant, j *job, took time.Duration) bool {
	up, likely := j.prefill, float64(j.held.Likely)
	ahead := j.work.units - float64(j.PromptTokens-j.held.Tokens)
	if j.held.Likely < minJudgedTokens || likely < ahead {
		return true // nothing to judge, or the work ahead hides it
	}
	perToken := 1 / d.params.PrefillTokensPerSecond
	if usual := d.params.Pace.Usual(pace.Group{Service: up.Service, Stage: up.Stage}); usual > 0 {
		perToken = usual.Seconds()
	}
	took -= transferDelay(up.distance)
	tokens := took.Seconds() / (perToken * up.paceFactor())
	found := (ahead + float64(j.PromptTokens) - tokens) / likely
	if found >= unknownShare {
		d.params.HeldPrompts.OnMeasured(now, up.ID, j.Prompt, j.held, found >= foundShare)
	}
	return found >= foundShare
}
