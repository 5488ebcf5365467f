package main

import (
	"time"

	"github.com/spf13/cobra"

	"github.com/rhubarbsill/rhubarbsill/pkg/lab/measure"
)

func measureCommand() *cobra.Command {
	var opts measure.Options
	command := &cobra.Command{
		Use:   "measure",
		Short: "Compare the router with baselines in virtual time",
		Long: "Drives the real Routers in virtual time with the workload of a deployment and\n" +
			"prints the measures of the design page. The same seeds give the same figures.",
		Example: "  rhubarbsill-lab measure --deployment A --scenario 'load 1.0' --seeds 1,2,3",
		Args:    cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			return measure.Measure(cmd.OutOrStdout(), opts)
		},
	}
	flags := command.Flags()
	flags.StringSliceVar(&opts.Deployments, "deployment", nil, "A or B; all by default")
	flags.StringSliceVar(&opts.Scenarios, "scenario", nil, "scenarios by name; all by default")
	flags.StringSliceVar(&opts.Variants, "variant", nil, "variants by name; all by default")
	flags.StringVar(&opts.Policy, "policy", "", "goodput or fair; that of the deployment by default")
	flags.UintSliceVar(&opts.Seeds, "seeds", []uint{1, 2, 3}, "seeds")
	flags.DurationVar(&opts.Length, "length", 30*time.Second, "virtual time for which requests are counted")
	flags.IntVar(&opts.Workers, "workers", 4, "runs at the same time")
	return command
}
