package hostedsim

import (
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/rhubarbsill/rhubarbsill/pkg/core"
	"github.com/rhubarbsill/rhubarbsill/pkg/promptcache"
)

type outcome int

const (
	outcomeOnTime outcome = iota
	outcomeLate
	outcomeRefused
	outcomeFailed
)

// Counts are the callers' requests by outcome. A request and its retries count once.
type Counts struct {
	Requests int
	OnTime   int
	Late     int
	Refused  int
	Failed   int
}

func (c *Counts) countOutcome(o outcome) {
	switch o {
	case outcomeOnTime:
		c.OnTime++
	case outcomeLate:
		c.Late++
	case outcomeRefused:
		c.Refused++
	case outcomeFailed:
		c.Failed++
	}
}

// Goodput is the share of requests that completed on time, 1 when there were none.
func (c Counts) Goodput() float64 {
	if c.Requests == 0 {
		return 1
	}
	return float64(c.OnTime) / float64(c.Requests)
}

const (
	// windowLength is the interval covered by each time row of the table.
	windowLength = 2 * time.Second
	// quotaWindow, quotaOverage and quotaSlack define the quota limit as the users'
	// platform does: use within a window may exceed the allowance by the overage
	// factor and the slack in tokens.
	quotaWindow  = 8 * time.Second
	quotaOverage = 1.1
	quotaSlack   = 110_000
)

// Result holds what callers and Upstreams observed.
type Result struct {
	Streams Counts
	Routine Counts
	Calls   Counts
	// Times are the times to the response, or to the first event of a stream, of the requests that
	// completed, by the path of the route.
	Times map[string][]time.Duration
	// Windows counts both kinds by the time the first request was sent.
	Windows  []Counts
	Accounts map[core.AccountID]*Counts
	// PeakQuotaUse is the peak use of an account's allowance in a window, as a share of it.
	PeakQuotaUse float64
	// PeakLimitUse is the largest number of requests in a window at an Upstream that
	// announces a limit, as a share of what it may get.
	PeakLimitUse float64
	// PeakColdUse is the largest number of requests in a second at a cold Upstream, as a share of what
	// it may get.
	PeakColdUse float64
	// Arrivals are the instants at which each Upstream got a request of any kind.
	Arrivals map[core.UpstreamID][]core.Instant
	// RefusalDelays are the times from sending a request to its refusal as not run.
	RefusalDelays []time.Duration
	// PromptTokens counts prefilled tokens, WastedPrefillTokens those without a response.
	PromptTokens        int64
	WastedPrefillTokens int64
	// HeldPrompts sums what the live Instances count of held prompts.
	HeldPrompts promptcache.Stats
	// Preemptions counts preemptions of streams for lack of engine memory.
	Preemptions int
	// Messages counts messages between Instances.
	Messages int
	// Violations lists the violations of invariants.
	Violations []string

	x     Experiment
	start core.Instant // of the load
	usage map[core.AccountID][]usage
}

type usage struct {
	at     core.Instant
	tokens int64
}

func newResult(x Experiment) *Result {
	r := &Result{x: x, Times: map[string][]time.Duration{}, Accounts: map[core.AccountID]*Counts{}, Arrivals: map[core.UpstreamID][]core.Instant{}, usage: map[core.AccountID][]usage{}}
	r.Windows = make([]Counts, int(seconds(x.Seconds)/windowLength)+1)
	for _, account := range x.Accounts {
		r.Accounts[account.Name] = &Counts{}
	}
	return r
}

func (r *Result) addViolation(format string, args ...any) {
	r.Violations = append(r.Violations, fmt.Sprintf(format, args...))
}

func (r *Result) rows(w *Simulation, j *job) []*Counts {
	kind := &r.Calls
	switch j.path {
	case streamPath:
		kind = &r.Streams
	case routinePath:
		kind = &r.Routine
	}
	return []*Counts{kind, r.Accounts[j.account], &r.Windows[int(j.firstSentAt.Sub(w.start)/windowLength)]}
}

func (r *Result) countRequest(w *Simulation, j *job) {
	for _, row := range r.rows(w, j) {
		row.Requests++
	}
}

func (r *Result) countOutcome(w *Simulation, a *callerRequest, o outcome) {
	for _, row := range r.rows(w, a.job) {
		row.countOutcome(o)
	}
}

func (r *Result) recordUsage(account core.AccountID, at core.Instant, tokens int64) {
	r.usage[account] = append(r.usage[account], usage{at, tokens})
}

// finish checks the quotas and the open requests, which can be judged only at the end.
func (r *Result) finish(w *Simulation) {
	for _, account := range r.x.Accounts {
		if account.Rate == 0 {
			continue
		}
		allowance := float64(account.Rate)*quotaWindow.Seconds() + float64(account.Burst)
		peak := float64(maxTokensInWindow(r.usage[account.Name]))
		r.PeakQuotaUse = max(r.PeakQuotaUse, peak/allowance)
		if peak > quotaOverage*allowance+quotaSlack {
			r.addViolation("quota of %s: %.0f tokens in a window, allowed are %.0f", account.Name, peak, quotaOverage*allowance+quotaSlack)
		}
	}
	for _, inst := range w.instances {
		if inst.alive {
			stats := inst.router.HostedGauges(w.now).HeldPrompts
			r.HeldPrompts.Expected += stats.Expected
			r.HeldPrompts.Found += stats.Found
			r.HeldPrompts.Refuted += stats.Refuted
			r.HeldPrompts.Requests += stats.Requests
		}
	}
	if open := len(w.requests); open > 0 {
		r.addViolation("%d requests have no end", open)
	}
}

func maxTokensInWindow(uses []usage) int64 {
	var peak, sum int64
	first := 0
	for _, u := range uses {
		sum += u.tokens
		for uses[first].at <= u.at.Add(-quotaWindow) {
			sum -= uses[first].tokens
			first++
		}
		peak = max(peak, sum)
	}
	return peak
}

// Print writes the tables, with a bar for the share on time in each window.
func (r *Result) Print(out io.Writer) error {
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "\tasked\tin time\tlate\trefused\tfailed\tgoodput %\t")
	row := func(name string, c Counts, plot string) {
		fmt.Fprintf(table, "%s\t%d\t%d\t%d\t%d\t%d\t%.1f\t%s\n", name, c.Requests, c.OnTime, c.Late, c.Refused, c.Failed, 100*c.Goodput(), plot)
	}
	row("streams", r.Streams, "")
	if r.x.Routine.PerSecond > 0 {
		row("routine", r.Routine, "")
	}
	row("calls", r.Calls, "")
	worst, share := core.AccountID(""), 2.0
	for _, account := range r.x.Accounts {
		counts := *r.Accounts[account.Name]
		row("account "+string(account.Name), counts, "")
		if counts.Requests > 0 && counts.Goodput() < share {
			worst, share = account.Name, counts.Goodput()
		}
	}
	for i, counts := range r.Windows {
		if counts.Requests > 0 {
			row(fmt.Sprintf("from %d s", i*int(windowLength/time.Second)), counts, strings.Repeat("#", int(40*counts.Goodput()+0.5)))
		}
	}
	if err := table.Flush(); err != nil {
		return err
	}
	wasted := 0.0
	if r.PromptTokens > 0 {
		wasted = 100 * float64(r.WastedPrefillTokens) / float64(r.PromptTokens)
	}
	instances := r.x.Instances * len(r.x.DataCentres)
	_, err := fmt.Fprintf(out, "worst account %s %.1f %%; quota used at most %.0f %% of a window, announced limits %.0f %%; prefill wasted %.1f %% of %d tokens; preempted %d; messages %.0f a second and instance; seed %d\n",
		worst, 100*share, 100*r.PeakQuotaUse, 100*r.PeakLimitUse, wasted, r.PromptTokens, r.Preemptions, float64(r.Messages)/(r.x.Seconds+warmUp.Seconds())/float64(instances), r.x.Seed)
	for _, line := range r.Violations {
		fmt.Fprintln(out, "BROKEN", line)
	}
	return err
}
