package dispatch

import (
	"math/rand/v2"
	"strconv"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/rhubarbsill/rhubarbsill/pkg/catalog"
	"github.com/rhubarbsill/rhubarbsill/pkg/core"
	"github.com/rhubarbsill/rhubarbsill/pkg/pace"
	"github.com/rhubarbsill/rhubarbsill/pkg/promptcache"
)

// heldHarness is a Dispatcher with two prefill engines, p0 and p1.
type heldHarness struct {
	t     *testing.T
	d     *Dispatcher
	held  *promptcache.Estimator
	paces *pace.Registry
	list  []catalog.Upstream
	now   core.Instant
}

func newHeldHarness(t *testing.T) *heldHarness {
	h := &heldHarness{t: t, held: promptcache.New(), paces: pace.New(), now: core.Instant(time.Hour)}
	h.d = New(Params{Rand: rand.New(rand.NewPCG(1, 2)), DataCentre: local, HeldPrompts: h.held, Pace: h.paces})
	h.d.SetEngineCapacity(map[core.ServiceName]EngineCapacity{service: {Slots: 64, MemoryTokens: 60_000}})
	for _, id := range []core.UpstreamID{"p0", "p1"} {
		h.list = append(h.list, catalog.Upstream{ID: id, Addr: string(id), Service: service, DataCentre: local, Stage: catalog.StagePrefill, Born: 1})
	}
	h.list = append(h.list, catalog.Upstream{ID: "d0", Addr: "d0", Service: service, DataCentre: local, Stage: catalog.StageDecode})
	h.setUpstreams()
	return h
}

func (h *heldHarness) setUpstreams() {
	h.paces.SetUpstreams(h.now, h.list)
	h.held.SetUpstreams(h.list)
	h.d.SetUpstreams(h.now, h.list)
}

// promptOf returns a prompt of 5,000 tokens, of which 200 are shared.
func (h *heldHarness) promptOf(own string) promptcache.Prompt {
	return h.held.Prompt(service, []promptcache.Part{{ID: "shared", Tokens: 200}, {ID: core.PromptPart(own), Tokens: 4800}}, 5000)
}

// begin places a prompt and returns its prefill engine and the expected time.
func (h *heldHarness) begin(id string, prompt promptcache.Prompt) (core.UpstreamID, time.Duration) {
	j := modelJob(id, h.now)
	j.MemoryTokens, j.Prompt = 100, prompt
	holdOf(h.t, h.d.Submit(h.now, j))
	up, expected, _ := h.d.OnHoldGranted(h.now, j.ID)
	return up, expected
}

// prefill places a prompt and completes its prefill after a time.
func (h *heldHarness) prefill(id, own string, took time.Duration) core.UpstreamID {
	up, _ := h.begin(id, h.promptOf(own))
	h.now = h.now.Add(took)
	h.d.ObservePrefill(h.now, core.RequestID(id))
	h.d.OnPrefillDone(core.RequestID(id))
	h.d.Release(h.now, core.RequestID(id))
	return up
}

// Guards against a saving that is not weighed against the wait, against a load that counts tokens that are not
// prefilled, and against timeouts that go by what is believed to be held.
func TestHeldPromptIsWeighedAgainstTheWait(t *testing.T) {
	is := is.New(t)
	h := newHeldHarness(t)
	holder := h.prefill("a", "x", 125*time.Millisecond)
	for _, ahead := range []int{4000, 6000} {
		h.d.SetPeerLoads("peer", map[core.UpstreamID]Load{holder: {Requests: 1, Tokens: ahead}})
		up, _ := h.begin("b", h.promptOf("x"))
		is.Equal(up == holder, ahead == 4000)
		load := h.d.Loads()[up].Tokens
		is.Equal(load < 500, ahead == 4000)
		is.Equal(h.d.upstreams[up].omitted+load, 5000)
		h.d.Release(h.now, "b")
		h.d.SetPeerLoads("peer", nil)
		is.Equal(h.d.upstreams[up].omitted, 0)
		holder = h.prefill("c", "x", 125*time.Millisecond) // the prefill of b was not complete
	}
	for _, prompt := range []promptcache.Prompt{nil, h.promptOf("x")} {
		up, expected := h.begin("b", prompt)
		is.True(prompt == nil || up == holder)
		is.Equal(expected, 125*time.Millisecond)
		h.d.Release(h.now, "b")
	}
}

// Guards against an engine that has lost a prompt, by its memory or a restart, and goes on to draw the requests
// with that prompt.
func TestEngineThatLostAPromptStopsDrawing(t *testing.T) {
	is := is.New(t)
	h := newHeldHarness(t)
	holder := h.prefill("a", "x", 125*time.Millisecond)
	h.prefill("other", "y", 125*time.Millisecond)
	is.Equal(h.prefill("b", "x", 125*time.Millisecond), holder) // all of it was prefilled again
	refuted, found := h.held.Refuted(h.now)
	is.True(found && refuted.Upstream == holder && refuted.Trust < 0.6)
	is.Equal(len(h.held.Holders(h.promptOf("x"), nil)), 0)

	h.prefill("c", "z", 125*time.Millisecond)
	for i := range h.list {
		h.list[i].Born++
	}
	h.setUpstreams()
	is.Equal(len(h.held.Holders(h.promptOf("z"), nil)), 0)
}

// Guards against a burst of equal prompts that all queue at one engine because it is expected to hold them, while
// nothing has been measured there.
func TestBurstOfEqualPromptsIsSpread(t *testing.T) {
	h := newHeldHarness(t)
	got := map[core.UpstreamID]int{}
	h.prefill("first", "x", 125*time.Millisecond)
	for i := range 8 {
		up, _ := h.begin(strconv.Itoa(i), h.promptOf("x"))
		got[up] += 5000
	}
	if got["p0"]-got["p1"] > 15_000 || got["p1"]-got["p0"] > 15_000 {
		t.Errorf("tokens in progress: %v", got)
	}
}

// Guards against an engine that counts as fast because it held prompts.
func TestHeldPromptsDoNotShowAsPace(t *testing.T) {
	h := newHeldHarness(t)
	for i := range 20 {
		h.prefill("first", strconv.Itoa(i), 125*time.Millisecond)
		for range 4 {
			h.prefill("again", strconv.Itoa(i), 4*time.Millisecond)
		}
	}
	is.New(t).True(h.paces.Pace(h.now, "p0") == 1 && h.paces.Pace(h.now, "p1") == 1 && h.held.Stats().Requests == 80)
}
