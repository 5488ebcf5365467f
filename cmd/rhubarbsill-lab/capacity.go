package main

import (
	"fmt"

	"github.com/spf13/cobra"

	"github.com/rhubarbsill/rhubarbsill/pkg/lab/capacity"
)

func capacityCommand() *cobra.Command {
	var opts capacity.Options
	var memory bool
	command := &cobra.Command{
		Use:     "capacity",
		Short:   "Measure messages, store calls and steps of an instance in a fleet of a given size",
		Example: "  rhubarbsill-lab capacity --instances 330 --rate 42.4 --accounts 1000",
		Args:    cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			if memory {
				bytes, err := capacity.Memory(opts)
				if err != nil {
					return err
				}
				_, err = fmt.Fprintf(cmd.OutOrStdout(), "accounts=%d engines=%d seed=%d heap of one router: %d bytes\n", opts.Accounts, opts.Engines, opts.Seed, bytes)
				return err
			}
			result, err := capacity.Measure(opts)
			if err != nil {
				return err
			}
			return result.Print(cmd.OutOrStdout())
		},
	}
	flags := command.Flags()
	flags.IntVar(&opts.Instances, "instances", 8, "entry instances")
	flags.Float64Var(&opts.PerInstance, "rate", 42.4, "requests per second and instance")
	flags.IntVar(&opts.Accounts, "accounts", 1000, "client accounts")
	flags.IntVar(&opts.Engines, "engines", 0, "engines, 0 for 1,300 in proportion to 330 instances")
	flags.BoolVar(&memory, "memory", false, "print the heap of one idle router instead")
	flags.IntVar(&opts.Seconds, "seconds", 5, "virtual seconds to measure")
	flags.IntVar(&opts.LoadFanout, "load-fanout", 0, "router setting LoadFanout, 0 for the default")
	flags.Uint64Var(&opts.Seed, "seed", 1, "seed of the run")
	return command
}
