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
	for _, id := range []core.UpstreamID{"d0", "d1"} {
		h.list = append(h.list, catalog.Upstream{ID: id, Addr: string(id), Service: service, DataCentre: local, Stage: catalog.StageDecode})
	}
	h.setUpstreams()
	return h
}

func (h *heldHarness) setUpstreams() {
	h.paces.SetUpstreams(h.now, h.list)
	h.held.SetUpstreams(h.list)
	h.d.SetUpstreams(h.now, h.list)
}

// begin places a prompt of 5,000 tokens, of which 200 are shared, and returns its prefill engine.
func (h *heldHarness) begin(id, own string) core.UpstreamID {
	h.t.Helper()
	j := modelJob(id, h.now)
	j.MemoryTokens = 100
	j.Prompt = h.held.Prompt(service, []promptcache.Part{{ID: "shared", Tokens: 200}, {ID: core.PromptPart(own), Tokens: 4800}}, j.PromptTokens)
	holdOf(h.t, h.d.Submit(h.now, j))
	up, _, _ := h.d.OnHoldGranted(h.now, j.ID)
	return up
}

// prefill places a prompt and completes its prefill after a time.
func (h *heldHarness) prefill(id, own string, took time.Duration) core.UpstreamID {
	h.t.Helper()
	up := h.begin(id, own)
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
	for range 8 {
		h := newHeldHarness(t)
		holder := h.prefill("a", "x", 125*time.Millisecond)
		for peer, tokens := range map[core.InstanceID]int{"short": 4000, "long": 6000} {
			h.d.SetPeerLoads(peer, map[core.UpstreamID]Load{holder: {Requests: 1, Tokens: tokens}})
			is.Equal(h.begin("b", "x") == holder, peer == "short")
			if peer == "short" {
				is.True(h.d.Loads()[holder].Tokens < 500)
				is.Equal(h.d.upstreams[holder].omitted+h.d.Loads()[holder].Tokens, 5000)
			}
			h.d.Release(h.now, "b")
			h.d.SetPeerLoads(peer, nil)
			is.Equal(h.d.upstreams[holder].omitted, 0)
			h.prefill("c", "x", time.Millisecond) // the prefill of b has not ended
		}
	}
	h := newHeldHarness(t)
	holder := h.prefill("a", "x", 125*time.Millisecond)
	j := modelJob("b", h.now)
	for _, prompt := range []promptcache.Prompt{nil, h.held.Prompt(service, []promptcache.Part{{ID: "shared", Tokens: 200}, {ID: "x", Tokens: 4800}}, 5000)} {
		j.Prompt = prompt
		h.d.Submit(h.now, j)
		up, expected, _ := h.d.OnHoldGranted(h.now, j.ID)
		is.True(prompt == nil || up == holder)
		is.Equal(expected, 125*time.Millisecond)
		h.d.Release(h.now, j.ID)
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
	is.True(found)
	is.Equal(refuted.Upstream, holder)
	is.True(refuted.Trust < 0.6)
	prompt := h.held.Prompt(service, []promptcache.Part{{ID: "shared", Tokens: 200}, {ID: "x", Tokens: 4800}}, 5000)
	is.Equal(len(h.held.Holders(prompt, nil)), 0)

	holder = h.prefill("c", "z", 125*time.Millisecond)
	for i := range h.list {
		if h.list[i].ID == holder {
			h.list[i].Born++
		}
	}
	h.setUpstreams()
	for _, own := range []string{"x", "z"} {
		prompt := h.held.Prompt(service, []promptcache.Part{{ID: "shared", Tokens: 200}, {ID: core.PromptPart(own), Tokens: 4800}}, 5000)
		is.Equal(len(h.held.Holders(prompt, nil)), 0)
	}
}

// Guards against a burst of equal prompts that all queue at one engine because it is expected to hold them, while
// nothing has been measured there.
func TestBurstOfEqualPromptsIsSpread(t *testing.T) {
	h := newHeldHarness(t)
	got := map[core.UpstreamID]int{}
	h.prefill("first", "x", 125*time.Millisecond)
	for i := range 8 {
		got[h.begin(strconv.Itoa(i), "x")] += 5000
	}
	if got["p0"]-got["p1"] > 15_000 || got["p1"]-got["p0"] > 15_000 {
		t.Errorf("tokens in progress: %v", got)
	}
}

// Guards against an engine that counts as fast because it held prompts.
func TestHeldPromptsDoNotShowAsPace(t *testing.T) {
	h := newHeldHarness(t)
	for i := range 20 {
		own := string(rune('a' + i))
		h.prefill("first "+own, own, 125*time.Millisecond)
		for range 4 {
			h.prefill("again "+own, own, 4*time.Millisecond)
		}
	}
	for _, id := range []core.UpstreamID{"p0", "p1"} {
		if got := h.paces.Pace(h.now, id); got < 0.9 || got > 1.1 {
			t.Errorf("pace of %s is %.2f", id, got)
		}
	}
	if stats := h.held.Stats(); stats.Requests != 80 || stats.Refuted != 0 {
		t.Errorf("%+v", stats)
	}
}
