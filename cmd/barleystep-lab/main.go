// Command barleystep-lab measures how well targets are chosen, with engines that follow the
// published cost model, in simulated time.
package main

import (
	"os"
	"runtime"

	"github.com/spf13/cobra"

	"github.com/barleystep/barleystep/internal/command"
	"github.com/barleystep/barleystep/internal/lab"
)

func main() {
	if err := newCommand().Execute(); err != nil {
		os.Exit(command.ExitFailure)
	}
}

func newCommand() *cobra.Command {
	p := lab.Plan{Workers: runtime.NumCPU()}
	cmd := &cobra.Command{
		Use:          "barleystep-lab",
		Short:        "Measure the choice of targets over fake engines and print the tables",
		Args:         cobra.NoArgs,
		SilenceUsage: true,
		RunE: func(cmd *cobra.Command, _ []string) error {
			return lab.WriteTables(cmd.OutOrStdout(), p)
		},
	}
	const seeds = 20
	cmd.Flags().IntVar(&p.Seeds, "seeds", seeds, "number of days that are drawn of each family of loads")
	cmd.Flags().StringVar(&p.Family, "family", "", "only families whose name begins so")
	cmd.Flags().BoolVar(&p.BalancerOnly, "alone", false, "only the balancer, without the simple policies")
	cmd.AddCommand(command.VersionCommand())
	return cmd
}
