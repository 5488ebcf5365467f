package measure

import (
	"fmt"
	"io"
	"slices"
	"strings"
	"time"

	"github.com/rhubarbsill/rhubarbsill/pkg/config"
)

// Options selects the runs of a measurement. An empty list of deployments,
// scenarios or variants selects all.
type Options struct {
	Deployments []string
	Scenarios   []string
	Variants    []string
	// Policy, if set, replaces the policy of the deployments.
	Policy string
	Seeds  []uint
	Length time.Duration
	// Workers is the number of concurrent runs. It does not affect results.
	Workers int
}

// selected reports whether a list selects a name.
func selected(list []string, name string) bool { return len(list) == 0 || slices.Contains(list, name) }

// Measure executes the selected runs and prints their results. It fails if no run
// is selected or if a run fails.
func Measure(w io.Writer, o Options) error {
	var runs []Run
	var rows []Row
	for _, d := range []Deployment{Division(), Cooperative()} {
		if !selected(o.Deployments, d.Name) {
			continue
		}
		if o.Policy != "" {
			d.Policy = config.Policy(o.Policy)
		}
		capacity, bound := d.Capacity()
		fmt.Fprintf(w, "deployment %s: policy %s, capacity %.1f requests/s, bound by %s\n", d.Name, d.Policy, capacity, bound)
		for _, s := range Scenarios() {
			for _, v := range Variants() {
				if !selected(o.Scenarios, s.Name) || !selected(o.Variants, v.Name) {
					continue
				}
				rows = append(rows, Row{Deployment: d.Name, Scenario: s.Name, Variant: v.Name})
				for _, seed := range o.Seeds {
					runs = append(runs, Run{Deployment: d, Scenario: s, Variant: v, Seed: uint64(seed), Length: o.Length})
				}
			}
		}
	}
	if len(runs) == 0 {
		return fmt.Errorf("no run is selected by deployments %s, scenarios %s, variants %s and seeds %v",
			strings.Join(o.Deployments, ","), strings.Join(o.Scenarios, ","), strings.Join(o.Variants, ","), o.Seeds)
	}
	results, err := DoAll(runs, o.Workers)
	if err != nil {
		return err
	}
	for i := range rows {
		rows[i].Results = results[i*len(o.Seeds) : (i+1)*len(o.Seeds)]
	}
	return Print(w, rows)
}
