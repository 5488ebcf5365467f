package hostedsim

import (
	"math"
	"slices"
	"time"

	"github.com/rhubarbsill/rhubarbsill/pkg/core"
	"github.com/rhubarbsill/rhubarbsill/pkg/pace"
)

// defaultPriority is the priority of a request for which none is stated.
const defaultPriority = 5

func priorityOf(stated *int) int {
	if stated == nil {
		return defaultPriority
	}
	return *stated
}

// prefill is a prompt in the queue of an engine.
type prefill struct {
	tokens   int
	priority int
	done     func()
}

// queuePrefill queues a prompt behind those of the same or a more urgent priority. done runs when its
// prefill is complete.
func (e *engine) queuePrefill(tokens int, urgency *int, done func()) {
	p := prefill{tokens, priorityOf(urgency), done}
	index := slices.IndexFunc(e.prefills, func(other prefill) bool { return other.priority > p.priority })
	if index < 0 {
		index = len(e.prefills)
	}
	e.prefills = slices.Insert(e.prefills, index, p)
	e.sim.result.PromptTokens += int64(tokens)
	if !e.prefilling {
		e.startNextPrefill()
	}
}

func (e *engine) startNextPrefill() {
	e.prefilling = len(e.prefills) > 0
	if !e.prefilling {
		return
	}
	next := e.prefills[0]
	e.prefills = e.prefills[1:]
	generation := e.generation
	e.sim.after(seconds(float64(next.tokens)/e.sim.x.Engine.PrefillTokensPerSecond*e.slowFactor), func() {
		if e.generation == generation { // a crash has ended the queue otherwise
			next.done()
			e.startNextPrefill()
		}
	})
}

// leastUrgent returns the index of the stream to preempt: the last of the least urgent ones that use
// more memory than their hold covers, else the last one.
func (e *engine) leastUrgent() int {
	victim := -1
	for i, s := range e.streams {
		if s.usedTokens > s.heldTokens && (victim < 0 || s.priority >= e.streams[victim].priority) {
			victim = i
		}
	}
	if victim < 0 {
		return len(e.streams) - 1
	}
	return victim
}

// startSpells makes a plain Upstream slow again and again, for PlainSettings.SlowShare of the time.
func (p *plainUpstream) startSpells() {
	settings := p.sim.x.Plain
	if settings.SlowShare <= 0 {
		return
	}
	fast := settings.SlowMS * (1 - settings.SlowShare) / settings.SlowShare
	p.sim.after(millis(fast*p.sim.rng.ExpFloat64()), func() {
		p.slowFactor = settings.SlowFactor
		p.sim.after(millis(settings.SlowMS*(0.5+p.sim.rng.Float64())), func() {
			p.slowFactor = 1
			p.startSpells()
		})
	})
}

// workTime returns the time of a request that starts now.
func (p *plainUpstream) workTime() time.Duration { return millis(p.sim.x.Plain.WorkMS * p.slowFactor) }

// loadOf returns the load that an Upstream states in its answers.
func (w *Simulation) loadOf(id core.UpstreamID) pace.Load {
	if !w.x.StatesLoad {
		return pace.Load{}
	}
	// Upstreams state the duration of work in whole percent of the usual.
	percent := func(factor float64) float64 { return math.Round(100*factor) / 100 }
	if p := w.plain[id]; p != nil {
		return pace.Load{Stated: true, Running: p.running, Waiting: len(p.queue), Places: w.x.Plain.Slots, Pace: percent(p.slowFactor)}
	}
	e := w.engines[id]
	return pace.Load{Stated: true, Running: len(e.streams), Waiting: len(e.preempted), Places: w.x.Engine.Slots, Pace: percent(e.slowFactor)}
}
