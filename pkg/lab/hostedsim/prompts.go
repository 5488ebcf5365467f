package hostedsim

import (
	"fmt"
	"time"

	"github.com/rhubarbsill/rhubarbsill/pkg/core"
	"github.com/rhubarbsill/rhubarbsill/pkg/promptcache"
)

// keptPrompts is the number of prompts of a DataCentre that may be repeated.
const keptPrompts = 8

// prompt is a prompt that a later request may repeat.
type prompt struct {
	tokens int
	parts  []promptcache.Part
}

// drawParts draws the parts of a prompt. The last part belongs to the job.
func (w *Simulation) drawParts(j *job) {
	load := j.load
	if load.SharedTokens == 0 && load.RepeatShare == 0 {
		return
	}
	if known := w.prompts[j.dc]; len(known) > 0 && w.rng.Float64() < load.RepeatShare {
		repeated := known[w.rng.IntN(len(known))]
		j.promptTokens, j.parts = repeated.tokens, repeated.parts
		return
	}
	own := promptcache.Part{ID: core.PromptPart(fmt.Sprintf("own-%d", w.requestCount)), Tokens: j.promptTokens}
	if load.SharedTokens > 0 && w.rng.Float64() < load.SharedShare {
		j.parts = append(j.parts, promptcache.Part{ID: "shared", Tokens: load.SharedTokens})
		j.promptTokens = max(j.promptTokens, load.SharedTokens)
		own.Tokens = j.promptTokens - load.SharedTokens
	}
	j.parts = append(j.parts, own)
	known := append(w.prompts[j.dc], prompt{j.promptTokens, j.parts})
	w.prompts[j.dc] = known[max(0, len(known)-keptPrompts):]
}

// hold returns the tokens of a prompt that need no prefill, and holds all of its parts from now on: as
// much as fits into the memory that running requests leave.
func (e *engine) hold(parts []promptcache.Part) int {
	if e.sim.x.Engine.ForgetsPrompts {
		return 0
	}
	return e.held.Prefill(parts, e.sim.x.Engine.MemoryTokens-e.usedTokens())
}

// kvTime returns the time for which a prefill engine keeps a KV cache.
func (s EngineSettings) kvTime() time.Duration {
	if s.KVMS == 0 {
		return 500 * time.Millisecond
	}
	return millis(s.KVMS)
}
