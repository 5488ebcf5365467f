// Package promptcache estimates which prefill engines still hold the begin of a prompt, from the
// prefills that this Instance has placed there. Engines keep the parts of prompts in the memory that
// running requests leave, and evict the least recently used. The package is pure: every call passes
// the current instant.
//
// An estimate may be wrong. It may only be used to choose between engines that can be used anyway: a
// wrong one costs time. The measured duration of a prefill confirms or refutes it.
package promptcache

import (
	"cmp"
	"hash/maphash"
	"math"
	"slices"
	"time"

	"github.com/rhubarbsill/rhubarbsill/pkg/catalog"
	"github.com/rhubarbsill/rhubarbsill/pkg/core"
)

const (
	// MinTokens is the number of tokens below which a held prefix is ignored. Prefills run at 33 to 56
	// tokens/ms, so 512 tokens take 9 to 16 ms, which is about the error of an expected prefill time.
	// Parts that all requests share are shorter today (200 tokens), and all engines hold them.
	MinTokens = 512
	// maxParts bounds the parts of a prompt that are considered.
	maxParts = 16
	// maxEntries bounds the prefixes that are known to be held, over all engines. An entry takes
	// about 250 bytes. At 14,000 requests/s over 330 Instances, an Instance places 42 prompts a second.
	maxEntries = 8192
	// maxEntriesPerEngine bounds the prefixes at one engine. The memory of an engine holds about 14
	// prompts of 5,000 tokens.
	maxEntriesPerEngine = 32
	// maxHolders bounds the engines that are compared because of one prefix, and maxCandidates those
	// that are compared for one request. The latest holders are kept.
	maxHolders    = 16
	maxCandidates = 32
	// halfLife is the time after which an idle engine holds a prefix with half of the probability. It
	// stands for what is not known of the engine: other uses of its memory and its own limits of age.
	halfLife = time.Minute
	// certainRoom is the share of the room of an engine that may be prefilled after a prefix without an
	// effect on its probability. What peers prefill there is known to about a factor of two.
	certainRoom = 0.5
	// A refuted estimate removes refutedShare of the trust in the engine, and a confirmed one halves the
	// distrust, as does the time distrustHalfLife. Without that, an engine that has lost its memory
	// once would never be chosen, so never be measured again.
	refutedShare     = 0.5
	distrustHalfLife = 30 * time.Second
	// logInterval is the shortest time between two reports of refuted estimates.
	logInterval = time.Second
)

// Part is a part of a prompt as its caller states it. Requests share parts by their IDs.
type Part struct {
	ID     core.PromptPart
	Tokens int
}

// Prompt holds the prefixes of a prompt that end with a part, the shortest first.
type Prompt []prefix

// prefix is a number of tokens from the begin of a prompt. Its key is the hash of all of its parts.
type prefix struct {
	key    uint64
	tokens int
}

// State is what is known of the memory of an engine.
type State struct {
	// MemoryTokens is its memory, 0 if that is not known, and BusyTokens the part of it that running
	// prefills use.
	MemoryTokens int
	BusyTokens   int
	// PeerTokensPerSecond is the estimated rate at which it prefills for other Instances.
	PeerTokensPerSecond float64
}

// Expectation is what an engine is expected to hold of a prompt.
type Expectation struct {
	// Tokens is the expected number of tokens, 0 if it is below MinTokens.
	Tokens int
	// Likely is the longest prefix that is held more likely than not if the engine is trusted. The
	// duration of the prefill is judged by it.
	Likely int
}

// Stats counts prompt tokens and requests since the start.
type Stats struct {
	// Expected, Found and Refuted count the tokens that were expected to be held by the engine that was
	// chosen, those of them that the duration of the prefill confirmed, and those that it refuted.
	Expected, Found, Refuted int64
	// Requests counts the prefills that were placed at an engine that was expected to hold a part.
	Requests int64
	// Entries is the number of prefixes that are known.
	Entries int
}

// Refutation reports an engine that did not hold what it was expected to.
type Refutation struct {
	Upstream core.UpstreamID
	Tokens   int
	// Trust is the trust that is left in other estimates of the engine, from 0 to 1.
	Trust float64
	// Others counts the refutations since the last report that are left out.
	Others int
}

// Estimator holds the estimates of one Instance. It is not safe for concurrent use. A nil Estimator
// expects nothing to be held.
type Estimator struct {
	seed    maphash.Seed
	engines map[core.UpstreamID]*engine
	holders map[uint64][]*entry // the latest last
	recent  entryList
	count   int
	stats   Stats

	refuted   *Refutation
	nextLogAt core.Instant
}

// engine is one process of a prefill engine.
type engine struct {
	catalog.Upstream
	entries []*entry
	// prefilled counts the tokens that this Instance has had prefilled there.
	prefilled  float64
	distrust   float64 // as of distrustAt
	distrustAt core.Instant
}

// entry is a prefix that an engine has prefilled.
type entry struct {
	prefix
	engine *engine
	usedAt core.Instant
	// prefilled is that of the engine at usedAt.
	prefilled  float64
	prev, next *entry // in Estimator.recent
}

// New returns an Estimator that knows of no engine.
func New() *Estimator {
	x := &Estimator{seed: maphash.MakeSeed(), engines: map[core.UpstreamID]*engine{}, holders: map[uint64][]*entry{}}
	x.recent.init()
	return x
}

// SetUpstreams replaces the registered Upstreams. An engine that was removed, that has restarted or has
// another address holds nothing.
func (x *Estimator) SetUpstreams(list []catalog.Upstream) {
	if x == nil {
		return
	}
	known := x.engines
	x.engines = make(map[core.UpstreamID]*engine, len(known))
	for _, up := range list {
		if up.Stage != catalog.StagePrefill {
			continue
		}
		e := known[up.ID]
		if e == nil || !e.SameProcess(up) || e.Service != up.Service {
			e = &engine{}
		} else {
			delete(known, up.ID)
		}
		e.Upstream = up
		x.engines[up.ID] = e
	}
	for _, e := range known {
		for len(e.entries) > 0 {
			x.drop(e.entries[0])
		}
	}
}

// Prompt returns the prefixes of a prompt of a service, nil if they are too short to matter. The parts
// count up to the length of the prompt that the request states.
func (x *Estimator) Prompt(service core.ServiceName, parts []Part, promptTokens int) Prompt {
	if x == nil || len(parts) == 0 {
		return nil
	}
	var prompt Prompt
	current := prefix{key: maphash.String(x.seed, string(service))}
	for _, part := range parts[:min(len(parts), maxParts)] {
		if part.Tokens < 0 {
			break
		}
		current.key = maphash.Comparable(x.seed, link{current.key, part.ID})
		current.tokens = min(current.tokens+min(part.Tokens, promptTokens), promptTokens)
		if current.tokens >= MinTokens {
			prompt = append(prompt, current)
		}
	}
	return prompt
}

type link struct {
	before uint64
	part   core.PromptPart
}

// Holders appends the engines that may hold a part of a prompt to a list, those of the longest part first.
func (x *Estimator) Holders(prompt Prompt, list []core.UpstreamID) []core.UpstreamID {
	if x == nil {
		return list
	}
	for _, p := range slices.Backward(prompt) {
		for _, e := range slices.Backward(x.holders[p.key]) {
			if len(list) == maxCandidates {
				return list
			}
			if !slices.Contains(list, e.engine.ID) {
				list = append(list, e.engine.ID)
			}
		}
	}
	return list
}

// Expect returns what an engine is expected to hold of a prompt.
func (x *Estimator) Expect(now core.Instant, id core.UpstreamID, prompt Prompt, state State) Expectation {
	if x == nil || x.engines[id] == nil {
		return Expectation{}
	}
	e := x.engines[id]
	trust := e.trust(now)
	var result Expectation
	tokens, probability := 0.0, 0.0
	for i, p := range slices.Backward(prompt) {
		// A longer prefix that is held includes the shorter ones.
		if held := e.find(p.key); held != nil {
			probability = max(probability, held.probability(now, state))
		}
		if probability >= 0.5 && result.Likely == 0 {
			result.Likely = p.tokens
		}
		shorter := 0
		if i > 0 {
			shorter = prompt[i-1].tokens
		}
		tokens += probability * float64(p.tokens-shorter)
	}
	if tokens *= trust; tokens >= MinTokens {
		result.Tokens = int(tokens)
	}
	return result
}

// probability returns the probability that a trusted engine holds a prefix: certain while little was
// prefilled after its last use, and zero once that has filled the memory.
func (e *entry) probability(now core.Instant, state State) float64 {
	room := float64(state.MemoryTokens - state.BusyTokens - e.tokens)
	if room <= 0 {
		return 0
	}
	age := max(now.Sub(e.usedAt), 0).Seconds()
	since := e.engine.prefilled - e.prefilled + state.PeerTokensPerSecond*age
	kept := min(max((1-since/room)/(1-certainRoom), 0), 1)
	return kept * math.Exp2(-age/halfLife.Seconds())
}

func (e *engine) find(key uint64) *entry {
	for _, held := range e.entries {
		if held.key == key {
			return held
		}
	}
	return nil
}

func (e *engine) trust(now core.Instant) float64 { return 1 - e.distrustNow(now) }

func (e *engine) distrustNow(now core.Instant) float64 {
	if e.distrust == 0 {
		return 0
	}
	return e.distrust * math.Exp2(-max(now.Sub(e.distrustAt), 0).Seconds()/distrustHalfLife.Seconds())
}

// OnPlaced records that a prompt is sent to an engine, and that the engine is expected to prefill a number
// of its tokens. Requests that follow find the prompt held, because an engine prefills one after the other.
func (x *Estimator) OnPlaced(now core.Instant, id core.UpstreamID, prompt Prompt, expected Expectation, prefillTokens int) {
	if x == nil || x.engines[id] == nil {
		return
	}
	e := x.engines[id]
	e.prefilled += float64(prefillTokens)
	if expected.Tokens > 0 {
		x.stats.Expected += int64(expected.Tokens)
		x.stats.Requests++
	}
	for _, p := range prompt {
		held := e.find(p.key)
		if held == nil {
			held = x.add(e, p)
		}
		held.usedAt, held.prefilled = now, e.prefilled
		x.recent.moveToEnd(held)
	}
}

// OnMeasured takes over whether the duration of a prefill shows that the engine held the part of the prompt
// that it was expected to hold. If it did not, the prompt is not expected there again before it is placed
// there again, and other estimates of the engine are trusted less.
func (x *Estimator) OnMeasured(now core.Instant, id core.UpstreamID, prompt Prompt, expected Expectation, found bool) {
	if x == nil || x.engines[id] == nil || expected.Likely == 0 {
		return
	}
	e := x.engines[id]
	distrust := e.distrustNow(now)
	e.distrustAt = now
	if found {
		e.distrust = distrust / 2
		x.stats.Found += int64(expected.Tokens)
		return
	}
	e.distrust = distrust + refutedShare*(1-distrust)
	x.stats.Refuted += int64(expected.Tokens)
	x.Forget(id, prompt)
	others := 0
	if x.refuted != nil {
		others = x.refuted.Others + 1
	}
	x.refuted = &Refutation{Upstream: id, Tokens: expected.Likely, Trust: e.trust(now), Others: others}
}

// Forget drops all prefixes of a prompt at an engine. Their prefill has failed, or they were not held.
func (x *Estimator) Forget(id core.UpstreamID, prompt Prompt) {
	if x == nil || x.engines[id] == nil {
		return
	}
	for _, p := range prompt {
		if held := x.engines[id].find(p.key); held != nil {
			x.drop(held)
		}
	}
}

// Refuted returns the latest refutation if there was one since the last call that returned one, at most
// once in logInterval.
func (x *Estimator) Refuted(now core.Instant) (Refutation, bool) {
	if x == nil || x.refuted == nil || now < x.nextLogAt {
		return Refutation{}, false
	}
	latest := *x.refuted
	x.refuted, x.nextLogAt = nil, now.Add(logInterval)
	return latest, true
}

// Stats returns the counts since the start.
func (x *Estimator) Stats() Stats {
	if x == nil {
		return Stats{}
	}
	stats := x.stats
	stats.Entries = x.count
	return stats
}

// add adds a prefix at an engine, and drops the least recently used ones above the bounds.
func (x *Estimator) add(e *engine, p prefix) *entry {
	held := &entry{prefix: p, engine: e}
	e.entries = append(e.entries, held)
	x.recent.moveToEnd(held)
	x.count++
	holders := append(x.holders[p.key], held)
	x.holders[p.key] = holders
	if len(holders) > maxHolders {
		x.drop(leastRecent(holders[:maxHolders]))
	}
	if len(e.entries) > maxEntriesPerEngine {
		x.drop(leastRecent(e.entries[:maxEntriesPerEngine]))
	}
	if x.count > maxEntries {
		x.drop(x.recent.first())
	}
	return held
}

func leastRecent(entries []*entry) *entry {
	return slices.MinFunc(entries, func(a, b *entry) int { return cmp.Compare(a.usedAt, b.usedAt) })
}

func (x *Estimator) drop(held *entry) {
	same := func(other *entry) bool { return other == held }
	held.engine.entries = slices.DeleteFunc(held.engine.entries, same)
	if holders := slices.DeleteFunc(x.holders[held.key], same); len(holders) > 0 {
		x.holders[held.key] = holders
	} else {
		delete(x.holders, held.key)
	}
	held.unlink()
	x.count--
}

// entryList is a list of entries, the least recently used first.
type entryList struct{ root entry }

func (l *entryList) init() { l.root.prev, l.root.next = &l.root, &l.root }

func (l *entryList) first() *entry { return l.root.next }

func (l *entryList) moveToEnd(e *entry) {
	e.unlink()
	e.prev, e.next = l.root.prev, &l.root
	e.prev.next, l.root.prev = e, e
}

func (e *entry) unlink() {
	if e.next != nil {
		e.prev.next, e.next.prev = e.next, e.prev
		e.prev, e.next = nil, nil
	}
}
