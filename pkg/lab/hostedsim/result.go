package hostedsim

import (
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/rhubarbsill/rhubarbsill/pkg/core"
)

type outcome int

const (
	outcomeOnTime outcome = iota
	outcomeLate
	outcomeRefused
	outcomeFailed
)

// Counts are requests of callers by their end. Attempts of one caller count once.
type Counts struct {
	Asked   int
	OnTime  int
	Late    int
	Refused int
	Failed  int
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

// Good is the share that was answered in time, 1 when nothing was asked.
func (c Counts) Good() float64 {
	if c.Asked == 0 {
		return 1
	}
	return float64(c.OnTime) / float64(c.Asked)
}

const (
	// windowLength is the length of the rows of the table.
	windowLength = 2 * time.Second
	// quotaWindow, quotaOverage and quotaSlack are those of the users' platform.
	quotaWindow  = 8 * time.Second
	quotaOverage = 1.1
	quotaSlack   = 110_000
)

// Result is what callers and Upstreams saw.
type Result struct {
	Streams Counts
	Calls   Counts
	// Windows holds both kinds by the time of the first attempt.
	Windows  []Counts
	Accounts map[core.AccountID]*Counts
	// QuotaUse is the largest use of an account's allowance in a window, as a share.
	QuotaUse float64
	// PromptTokens were read, WastedPrefill of them for no answer.
	PromptTokens  int64
	WastedPrefill int64
	// Preempted counts streams that an engine put back for lack of memory.
	Preempted int
	// Messages counts those between Instances.
	Messages int
	// Broken lists rules that were broken.
	Broken []string

	x     Experiment
	usage map[core.AccountID][]usage
}

type usage struct {
	at     core.Instant
	tokens int64
}

func newResult(x Experiment) *Result {
	r := &Result{x: x, Accounts: map[core.AccountID]*Counts{}, usage: map[core.AccountID][]usage{}}
	r.Windows = make([]Counts, int(seconds(x.Seconds)/windowLength)+1)
	for _, account := range x.Accounts {
		r.Accounts[account.Name] = &Counts{}
	}
	return r
}

func (r *Result) addViolation(format string, args ...any) {
	r.Broken = append(r.Broken, fmt.Sprintf(format, args...))
}

func (r *Result) rows(w *World, j *job) []*Counts {
	kind := &r.Calls
	if j.stream {
		kind = &r.Streams
	}
	return []*Counts{kind, r.Accounts[j.account], &r.Windows[int(j.firstSentAt.Sub(w.start)/windowLength)]}
}

func (r *Result) countRequest(w *World, j *job) {
	for _, row := range r.rows(w, j) {
		row.Asked++
	}
}

func (r *Result) countOutcome(w *World, a *callerRequest, o outcome) {
	for _, row := range r.rows(w, a.job) {
		row.countOutcome(o)
	}
}

func (r *Result) recordUsage(account core.AccountID, at core.Instant, tokens int64) {
	r.usage[account] = append(r.usage[account], usage{at, tokens})
}

// finish judges what can be told at the end only.
func (r *Result) finish(w *World) {
	for _, account := range r.x.Accounts {
		if account.Rate == 0 {
			continue
		}
		allowance := float64(account.Rate)*quotaWindow.Seconds() + float64(account.Burst)
		most := float64(maxTokensInWindow(r.usage[account.Name]))
		r.QuotaUse = max(r.QuotaUse, most/allowance)
		if most > quotaOverage*allowance+quotaSlack {
			r.addViolation("quota of %s: %.0f tokens in a window, allowed are %.0f", account.Name, most, quotaOverage*allowance+quotaSlack)
		}
	}
	if open := len(w.requests); open > 0 {
		r.addViolation("%d requests have no end", open)
	}
}

func maxTokensInWindow(uses []usage) int64 {
	var most, sum int64
	first := 0
	for _, u := range uses {
		sum += u.tokens
		for uses[first].at <= u.at.Add(-quotaWindow) {
			sum -= uses[first].tokens
			first++
		}
		most = max(most, sum)
	}
	return most
}

// Print writes the tables and a plot of the share in time.
func (r *Result) Print(out io.Writer) error {
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "\tasked\tin time\tlate\trefused\tfailed\tgoodput %\t")
	row := func(name string, c Counts, plot string) {
		fmt.Fprintf(table, "%s\t%d\t%d\t%d\t%d\t%d\t%.1f\t%s\n", name, c.Asked, c.OnTime, c.Late, c.Refused, c.Failed, 100*c.Good(), plot)
	}
	row("streams", r.Streams, "")
	row("calls", r.Calls, "")
	worst, share := core.AccountID(""), 2.0
	for _, account := range r.x.Accounts {
		counts := *r.Accounts[account.Name]
		row("account "+string(account.Name), counts, "")
		if counts.Asked > 0 && counts.Good() < share {
			worst, share = account.Name, counts.Good()
		}
	}
	for i, counts := range r.Windows {
		if counts.Asked > 0 {
			row(fmt.Sprintf("from %d s", i*int(windowLength/time.Second)), counts, strings.Repeat("#", int(40*counts.Good()+0.5)))
		}
	}
	if err := table.Flush(); err != nil {
		return err
	}
	wasted := 0.0
	if r.PromptTokens > 0 {
		wasted = 100 * float64(r.WastedPrefill) / float64(r.PromptTokens)
	}
	instances := r.x.Instances * len(r.x.DataCentres)
	_, err := fmt.Fprintf(out, "worst account %s %.1f %%; quota used at most %.0f %% of a window; prefill wasted %.1f %% of %d tokens; preempted %d; messages %.0f a second and instance; seed %d\n",
		worst, 100*share, 100*r.QuotaUse, wasted, r.PromptTokens, r.Preempted, float64(r.Messages)/(r.x.Seconds+warmUp.Seconds())/float64(instances), r.x.Seed)
	for _, line := range r.Broken {
		fmt.Fprintln(out, "BROKEN", line)
	}
	return err
}
