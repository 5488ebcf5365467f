package hostedsim

import (
	"encoding/json"
	"errors"
	"fmt"
	"os"

	"github.com/joomcode/errorx"
	"github.com/tailscale/hujson"

	"github.com/rhubarbsill/rhubarbsill/pkg/core"
)

// Experiment describes a site, its load and its faults.
type Experiment struct {
	Seed    uint64  `json:"seed"`
	Seconds float64 `json:"seconds"`
	// DataCentres maps each DataCentre to its region.
	DataCentres map[core.DataCentreName]core.RegionName `json:"data_centres"`

	// The following counts are per DataCentre.
	Instances      int `json:"instances"`
	PrefillEngines int `json:"prefill_engines"`
	DecodeEngines  int `json:"decode_engines"`
	PlainUpstreams int `json:"plain_upstreams"`

	Engine  EngineSettings `json:"engine"`
	Plain   PlainSettings  `json:"plain"`
	Streams Load           `json:"streams"`
	// Routine are further streams, usually less urgent than Streams.
	Routine  Load              `json:"routine"`
	Calls    Load              `json:"calls"`
	Accounts []AccountSettings `json:"accounts"`
	// ColdPerSecond is the number of requests that a cold Upstream takes in a second, 0 if none is
	// ever cold.
	ColdPerSecond float64 `json:"cold_per_second"`
	// SingleEntry makes all callers use the first live Instance.
	SingleEntry bool `json:"single_entry"`
	// EngineDurations are the durations of work at the engines relative to the settings, in turn.
	// Without any, all engines are equal.
	EngineDurations []float64 `json:"engine_durations"`
	// StatesLoad makes Upstreams state their load and the duration of work in their answers.
	StatesLoad bool `json:"states_load"`
	// IgnorePace makes the Instances take all Upstreams as equally fast, and IgnoreUrgency the engines
	// all requests as equally urgent, to compare.
	IgnorePace    bool `json:"ignore_pace"`
	IgnoreUrgency bool `json:"ignore_urgency"`
	// QuotaTolerancePart is the part of the platform's tolerance that Instances use for requests over
	// the rate of their account.
	QuotaTolerancePart float64 `json:"quota_tolerance_part"`
	// IgnoreHeldPrompts makes the Instances take all prefill engines as holding no prompts.
	IgnoreHeldPrompts bool `json:"ignore_held_prompts"`

	Faults []Fault `json:"faults"`
}

// EngineSettings describe each model engine.
type EngineSettings struct {
	Slots                  int     `json:"slots"`
	MemoryTokens           int     `json:"memory_tokens"`
	PrefillTokensPerSecond float64 `json:"prefill_tokens_per_second"`
	// A stream event takes EventMS, plus EventMSPerStream for each stream that the
	// engine runs.
	EventMS          float64 `json:"event_ms"`
	EventMSPerStream float64 `json:"event_ms_per_stream"`
	EventTokens      int     `json:"event_tokens"`
	// KVMS is the time for which a prefill engine keeps a KV cache for the decode engine, 0 for 500 ms.
	KVMS float64 `json:"kv_ms"`
	// ForgetsPrompts makes engines hold no prompt after its prefill.
	ForgetsPrompts bool `json:"forgets_prompts"`
}

// PlainSettings describe each Upstream of the plain service.
type PlainSettings struct {
	Slots  int     `json:"slots"`
	WorkMS float64 `json:"work_ms"`
	// For SlowShare of the time, in spells of SlowMS on average, a request takes SlowFactor times as
	// long.
	SlowFactor float64 `json:"slow_factor"`
	SlowShare  float64 `json:"slow_share"`
	SlowMS     float64 `json:"slow_ms"`
}

// Load describes the load of one kind of request.
type Load struct {
	PerSecond float64 `json:"per_second"`
	// PromptTokens and OutputTokens are means; each request draws from 0.3 to 1.7
	// times the mean.
	PromptTokens int `json:"prompt_tokens"`
	OutputTokens int `json:"output_tokens"`
	// TargetMS is the latency target, to the response or to the first event of a
	// stream. PauseMS is the longest interval between events that counts as on time,
	// 0 for no limit. TimeoutMS is the deadline of the request.
	TargetMS  float64 `json:"target_ms"`
	PauseMS   float64 `json:"pause_ms"`
	TimeoutMS float64 `json:"timeout_ms"`
	// SafeToRetry requests may run more than once.
	SafeToRetry bool `json:"repeatable"`
	// SharedTokens of the prompt are the same in SharedShare of the requests. RepeatShare of the requests
	// have the prompt of one of the last requests of their DataCentre. With either, callers state the parts.
	SharedTokens int     `json:"shared_tokens"`
	SharedShare  float64 `json:"shared_share"`
	RepeatShare  float64 `json:"repeat_share"`
	// Priority is that of the route, 0 for the most urgent.
	Priority int `json:"priority"`
	// Retries is the maximum number of retries by a caller.
	Retries int `json:"retries"`
}

// AccountSettings describe a ClientAccount.
type AccountSettings struct {
	Name core.AccountID `json:"name"`
	// Share is the weight of the account in the load.
	Share float64 `json:"share"`
	// Rate is in tokens per second, 0 for no limit. Burst is in tokens.
	Rate  int64 `json:"rate"`
	Burst int64 `json:"burst"`
	// AllowedRegions restricts the Upstreams of the account, empty for none.
	AllowedRegions []core.RegionName `json:"allowed_regions"`
}

// FaultKind is a kind of injected fault.
type FaultKind string

// The kinds of faults.
const (
	// FaultBurst multiplies the load by Factor: that of Account if set, else that of all.
	FaultBurst FaultKind = "burst"
	// FaultEngineCrash crashes Count decode engines, which restart when the fault ends.
	FaultEngineCrash FaultKind = "engine_crash"
	// FaultPrefillCrash does so with prefill engines.
	FaultPrefillCrash FaultKind = "prefill_crash"
	// FaultEngineSlow makes Count decode engines Factor times slower.
	FaultEngineSlow FaultKind = "engine_slow"
	// FaultInstanceKill kills Count Instances, which restart when the fault ends.
	FaultInstanceKill FaultKind = "instance_kill"
	// FaultRegionCut partitions the regions: all messages between them are lost.
	FaultRegionCut FaultKind = "region_cut"
	// FaultPlainLimit makes Count plain Upstreams announce that they take Factor requests
	// per second from all Instances together, FaultEngineLimit Count engines.
	FaultPlainLimit  FaultKind = "plain_limit"
	FaultEngineLimit FaultKind = "engine_limit"
	// FaultUpstreamLeaves makes Count Upstreams announce that they leave while the store lists
	// them as ready. They start anew when the fault ends.
	FaultUpstreamLeaves FaultKind = "upstream_leaves"
	// FaultBackoff makes Count Upstreams refuse all requests and ask each Instance for a backoff
	// of Factor seconds.
	FaultBackoff FaultKind = "upstream_backoff"
	// FaultUpstreamCold makes Count Upstreams cold for as long as the fault lasts.
	FaultUpstreamCold FaultKind = "upstream_cold"
	// FaultInstancePause stops Count Instances, which continue when the fault ends.
	FaultInstancePause FaultKind = "instance_pause"
	// FaultPeerCut drops the messages between Count Instances and all others.
	FaultPeerCut FaultKind = "peer_cut"
)

// Fault is one injected fault. A Count of 0 means 1.
type Fault struct {
	Kind            FaultKind      `json:"kind"`
	StartSeconds    float64        `json:"at_seconds"`
	DurationSeconds float64        `json:"for_seconds"`
	Count           int            `json:"count"`
	Factor          float64        `json:"x"`
	Account         core.AccountID `json:"account"`
}

// Small returns a site of eight Instances loaded to half of its capacity.
func Small() Experiment {
	return Experiment{
		Seed: 1, Seconds: 20,
		DataCentres: map[core.DataCentreName]core.RegionName{"east-1": "east", "east-2": "east", "west-1": "west", "west-2": "west"},
		Instances:   2, PrefillEngines: 1, DecodeEngines: 3, PlainUpstreams: 2,
		Engine:  EngineSettings{Slots: 12, MemoryTokens: 70_000, PrefillTokensPerSecond: 55_000, EventMS: 30, EventMSPerStream: 3, EventTokens: 50},
		Plain:   PlainSettings{Slots: 6, WorkMS: 15},
		Streams: Load{PerSecond: 12, PromptTokens: 5000, OutputTokens: 2500, TargetMS: 900, PauseMS: 300, TimeoutMS: 14_000, SafeToRetry: true, Retries: 1},
		Calls:   Load{PerSecond: 40, TargetMS: 200, TimeoutMS: 1200, Retries: 1},
		Accounts: []AccountSettings{
			{Name: "bakery", Share: 3, Rate: 160_000, Burst: 160_000}, {Name: "tavern", Share: 1, Rate: 80_000, Burst: 80_000},
		},
	}
}

// ReadExperiment reads an experiment from a file of JSON with comments. Settings that
// the file omits default to those of Small.
func ReadExperiment(path string) (Experiment, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return Experiment{}, fmt.Errorf("experiment: %w", err)
	}
	standard, err := hujson.Standardize(text)
	if err != nil {
		return Experiment{}, fmt.Errorf("experiment %s: %w", path, err)
	}
	x := Small()
	var present struct {
		DataCentres json.RawMessage `json:"data_centres"`
		Accounts    json.RawMessage `json:"accounts"`
	}
	if err := json.Unmarshal(standard, &present); err != nil {
		return Experiment{}, fmt.Errorf("experiment %s: %w", path, err)
	}
	// The file replaces the defaults; json.Unmarshal would merge it into them.
	if present.DataCentres != nil {
		x.DataCentres = nil
	}
	if present.Accounts != nil {
		x.Accounts = nil
	}
	if err := json.Unmarshal(standard, &x); err != nil {
		return Experiment{}, fmt.Errorf("experiment %s: %w", path, err)
	}
	if err := x.Check(); err != nil {
		return Experiment{}, fmt.Errorf("experiment %s: %w", path, err)
	}
	return x, nil
}

const (
	// maxInstances and maxSeconds limit a run to minutes.
	maxInstances = 400
	maxSeconds   = 600
)

// Check validates the experiment and returns all findings, joined.
func (x Experiment) Check() error {
	var findings []error
	add := func(format string, args ...any) {
		findings = append(findings, errorx.IllegalArgument.New(format, args...))
	}
	if x.Seconds <= 0 || x.Seconds > maxSeconds {
		add("seconds: %v must be above 0 and at most %d", x.Seconds, maxSeconds)
	}
	if len(x.DataCentres) == 0 {
		add("data_centres: at least one is needed")
	}
	if n := x.Instances * len(x.DataCentres); x.Instances < 1 || n > maxInstances {
		add("instances: %d in all must be 1 in each data centre and at most %d in all", n, maxInstances)
	}
	if x.PrefillEngines < 0 || x.DecodeEngines < 0 || x.PlainUpstreams < 0 {
		add("prefill_engines, decode_engines, plain_upstreams: must not be negative")
	}
	if x.Engine.Slots < 1 || x.Engine.MemoryTokens < 1 || x.Engine.PrefillTokensPerSecond <= 0 || x.Engine.EventTokens < 1 || x.Engine.EventMS <= 0 {
		add("engine: slots, memory_tokens, prefill_tokens_per_second, event_ms and event_tokens must be above 0")
	}
	if x.Plain.Slots < 1 || x.Plain.WorkMS <= 0 {
		add("plain: slots and work_ms must be above 0")
	}
	for name, load := range map[string]Load{"streams": x.Streams, "calls": x.Calls} {
		if load.PerSecond < 0 || load.TargetMS <= 0 || load.TimeoutMS < load.TargetMS {
			add("%s: per_second must not be negative, target_ms above 0, timeout_ms not below target_ms", name)
		}
	}
	if x.Routine.PerSecond < 0 || x.Routine.PerSecond > 0 && (x.Routine.TargetMS <= 0 || x.Routine.TimeoutMS < x.Routine.TargetMS) {
		add("routine: per_second must not be negative, target_ms above 0, timeout_ms not below target_ms")
	}
	if p := x.Plain; p.SlowShare < 0 || p.SlowShare >= 1 || p.SlowShare > 0 && (p.SlowFactor <= 0 || p.SlowMS <= 0) {
		add("plain: slow_share must be from 0 to below 1, slow_factor and slow_ms above 0 with it")
	}
	for i, duration := range x.EngineDurations {
		if duration <= 0 {
			add("engine_durations[%d]: %v must be above 0", i, duration)
		}
	}
	names := map[core.AccountID]bool{}
	total := 0.0
	for i, account := range x.Accounts {
		if account.Name == "" || names[account.Name] {
			add("accounts[%d].name: %q is empty or used twice", i, account.Name)
		}
		names[account.Name] = true
		if account.Share < 0 || account.Rate < 0 || account.Burst < 0 {
			add("accounts[%d]: share, rate and burst must not be negative", i)
		}
		total += account.Share
	}
	if total <= 0 {
		add("accounts: at least one needs a share above 0")
	}
	for i, fault := range x.Faults {
		switch fault.Kind {
		case FaultBurst, FaultEngineSlow, FaultPlainLimit, FaultEngineLimit, FaultBackoff:
			if fault.Factor <= 0 {
				add("faults[%d].x: %v must be above 0", i, fault.Factor)
			}
		case FaultUpstreamCold:
			if x.ColdPerSecond <= 0 {
				add("cold_per_second: %v must be above 0 for faults[%d]", x.ColdPerSecond, i)
			}
		case FaultEngineCrash, FaultPrefillCrash, FaultUpstreamLeaves, FaultInstanceKill, FaultInstancePause, FaultPeerCut, FaultRegionCut:
		default:
			add("faults[%d].kind: %q is not a kind of fault", i, fault.Kind)
		}
		if fault.StartSeconds < 0 || fault.DurationSeconds <= 0 {
			add("faults[%d]: at_seconds must not be negative, for_seconds above 0", i)
		}
		if fault.Account != "" && !names[fault.Account] {
			add("faults[%d].account: %q does not exist", i, fault.Account)
		}
	}
	return errors.Join(findings...)
}
