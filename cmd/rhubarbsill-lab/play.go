package main

import (
	"errors"

	"github.com/spf13/cobra"

	"github.com/rhubarbsill/rhubarbsill/pkg/lab/hostedsim"
)

// errInvariantViolated makes the exit code 1 after a simulation with violations.
var errInvariantViolated = errors.New("a rule was broken")

func playCommand() *cobra.Command {
	var seed uint64
	var length float64
	command := &cobra.Command{
		Use:   "play [FILE]",
		Short: "Play an experiment on a hosted fleet in virtual time",
		Long: `Play an experiment on a hosted fleet in virtual time and print what callers got:
answers in time, late ones, refusals and failures by kind, account and second, the
largest use of a quota, and what was read in vain. FILE is JSON with comments; what it
leaves out, and a run without FILE, is a site of eight instances at half of its capacity.

The exit code is 1 when the file is wrong or a rule was broken.`,
		Example: "  rhubarbsill-lab play\n  rhubarbsill-lab play examples/experiments/burst.jsonc --seed 7",
		Args:    cobra.MaximumNArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			experiment := hostedsim.Small()
			if len(args) == 1 {
				var err error
				if experiment, err = hostedsim.ReadExperiment(args[0]); err != nil {
					return err
				}
			}
			if cmd.Flags().Changed("seed") {
				experiment.Seed = seed
			}
			if cmd.Flags().Changed("seconds") {
				experiment.Seconds = length
			}
			result, err := hostedsim.Run(experiment)
			if err != nil {
				return err
			}
			if err := result.Print(cmd.OutOrStdout()); err != nil {
				return err
			}
			if len(result.Violations) > 0 {
				return errInvariantViolated
			}
			return nil
		},
	}
	command.Flags().Uint64Var(&seed, "seed", 0, "seed of the run, in place of the file's")
	command.Flags().Float64Var(&length, "seconds", 0, "length of the load, in place of the file's")
	return command
}
