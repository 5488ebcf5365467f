package measure

import (
	"cmp"
	"fmt"
	"io"
	"slices"
	"sync"
	"text/tabwriter"
	"time"

	"github.com/rhubarbsill/rhubarbsill/pkg/core"
	"github.com/rhubarbsill/rhubarbsill/pkg/lab/virtual"
)

// meetsTargets reports whether a request met the targets for the time to first
// token and the mean time between tokens.
func meetsTargets(r *virtual.Request) bool {
	if !r.Completed || r.FirstToken-r.SentAt > firstTokenTarget {
		return false
	}
	gaps := max(1, r.Tokens-1)
	return (r.DoneAt-r.FirstToken)/time.Duration(gaps) <= betweenTokensTarget
}

func share(part, total int) float64 { return float64(part) / float64(max(1, total)) }

// summarize computes the measures from the counted requests.
func (s *simulation) summarize() Result {
	result := Result{Requests: len(s.sent), Codes: map[core.Code]int{}, WorstGood: 1, WorstDone: 1}
	type sums struct{ inside, good, done int }
	accounts := map[core.AccountID]*sums{}
	for _, account := range s.accounts {
		accounts[account.ID] = &sums{}
	}
	var all sums
	var computed, wasted, completed, refused int
	var firstTokens []time.Duration
	for _, r := range s.sent {
		computed += r.Prefilled
		wasted += r.Prefilled
		if r.Completed {
			completed++
			wasted -= r.LastPrefill
			firstTokens = append(firstTokens, r.FirstToken-r.SentAt)
		}
		if !s.withinRate[r] {
			continue
		}
		for _, sum := range []*sums{&all, accounts[r.Options.Account]} {
			sum.inside++
			if r.Completed {
				sum.done++
			}
			if meetsTargets(r) {
				sum.good++
			}
		}
		if r.Refusal != nil {
			refused++
			result.Codes[r.Refusal.Code]++
		}
	}
	result.Good = share(all.good, all.inside)
	result.Done = share(all.done, all.inside)
	result.WastedPrefill = share(wasted, computed)
	result.PromptTokensPerResponse = share(computed, completed)
	result.RefusedInside = share(refused, all.inside)
	for _, sum := range accounts {
		if sum.inside > 0 {
			result.WorstGood = min(result.WorstGood, share(sum.good, sum.inside))
			result.WorstDone = min(result.WorstDone, share(sum.done, sum.inside))
		}
	}
	slices.Sort(firstTokens)
	if len(firstTokens) > 0 {
		result.FirstToken = firstTokens[len(firstTokens)*95/100]
	}
	return result
}

// DoAll executes the runs on several goroutines and returns their results in the
// order of the runs, or the first error in that order.
func DoAll(runs []Run, workers int) ([]Result, error) {
	results := make([]Result, len(runs))
	errs := make([]error, len(runs))
	next := make(chan int)
	var group sync.WaitGroup
	for range max(1, workers) {
		group.Go(func() {
			for i := range next {
				results[i], errs[i] = runs[i].Do()
			}
		})
	}
	for i := range runs {
		next <- i
	}
	close(next)
	group.Wait()
	for i, err := range errs {
		if err != nil {
			return nil, fmt.Errorf("%s, %s, seed %d: %w", runs[i].Scenario.Name, runs[i].Variant.Name, runs[i].Seed, err)
		}
	}
	return results, nil
}

// Row is the results of one scenario and variant over the seeds.
type Row struct {
	Deployment, Scenario, Variant string
	Results                       []Result
}

// meanAndRange formats the mean, minimum and maximum over the seeds in percent.
func (r Row) meanAndRange(value func(Result) float64) string {
	sum, low, high := 0.0, value(r.Results[0]), value(r.Results[0])
	for _, result := range r.Results {
		sum += value(result)
		low, high = min(low, value(result)), max(high, value(result))
	}
	return fmt.Sprintf("%.1f (%.1f-%.1f)", 100*sum/float64(len(r.Results)), 100*low, 100*high)
}

func (r Row) mean(value func(Result) float64) float64 {
	sum := 0.0
	for _, result := range r.Results {
		sum += value(result)
	}
	return sum / float64(len(r.Results))
}

// codes returns the counts of refusals inside the rate over all seeds, most
// frequent first.
func (r Row) codes() string {
	counts := map[core.Code]int{}
	var codes []core.Code
	for _, result := range r.Results {
		for code, n := range result.Codes {
			if counts[code] == 0 {
				codes = append(codes, code)
			}
			counts[code] += n
		}
	}
	slices.SortFunc(codes, func(a, b core.Code) int { return cmp.Or(counts[b]-counts[a], cmp.Compare(a, b)) })
	text := ""
	for _, code := range codes {
		text += fmt.Sprintf("%s=%d ", code, counts[code])
	}
	return text
}

// Print writes the rows as a Markdown table. Shares are percentages of the requests
// inside the rate, as mean (minimum-maximum over the seeds).
func Print(w io.Writer, rows []Row) error {
	t := tabwriter.NewWriter(w, 0, 0, 1, ' ', 0)
	fmt.Fprintln(t, "| scenario\t| variant\t| good %\t| worst account good %\t| worst done %\t| refused inside %\t| wasted prefill %\t| prompt tokens per answer\t| p95 first token ms\t| refusals inside\t|")
	fmt.Fprintln(t, "|--\t|--\t|--\t|--\t|--\t|--\t|--\t|--\t|--\t|--\t|")
	for _, r := range rows {
		fmt.Fprintf(t, "| %s %s\t| %s\t| %s\t| %s\t| %s\t| %s\t| %s\t| %.0f\t| %.0f\t| %s\t|\n", r.Deployment, r.Scenario, r.Variant,
			r.meanAndRange(func(result Result) float64 { return result.Good }),
			r.meanAndRange(func(result Result) float64 { return result.WorstGood }),
			r.meanAndRange(func(result Result) float64 { return result.WorstDone }),
			r.meanAndRange(func(result Result) float64 { return result.RefusedInside }),
			r.meanAndRange(func(result Result) float64 { return result.WastedPrefill }),
			r.mean(func(result Result) float64 { return result.PromptTokensPerResponse }),
			r.mean(func(result Result) float64 { return float64(result.FirstToken.Milliseconds()) }),
			r.codes())
	}
	return t.Flush()
}
