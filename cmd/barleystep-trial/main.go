// Command barleystep-trial measures the placement of requests by the balancer and by simple
// baselines, with a few fake engines in simulated time.
package main

import (
	"os"
	"runtime"

	"github.com/spf13/cobra"

	"github.com/barleystep/barleystep/internal/command"
	"github.com/barleystep/barleystep/internal/trial"
)

func main() {
	if err := newCommand().Execute(); err != nil {
		os.Exit(command.ExitFailure)
	}
}

func newCommand() *cobra.Command {
	p := trial.Plan{Workers: runtime.NumCPU()}
	cmd := &cobra.Command{
		Use:          "barleystep-trial",
		Short:        "Measure placement over fake engines and print the tables",
		Args:         cobra.NoArgs,
		SilenceUsage: true,
		RunE: func(cmd *cobra.Command, _ []string) error {
			return trial.WriteTables(cmd.OutOrStdout(), p)
		},
	}
	cmd.Flags().IntVar(&p.Seeds, "seeds", 3, "number of loads that are drawn for each case")
	cmd.Flags().BoolVar(&p.Quick, "quick", false, "only the middle engines, and no faults")
	cmd.AddCommand(command.VersionCommand())
	return cmd
}
