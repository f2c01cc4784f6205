// Command barleystep-soak runs boxes, a store and targets as processes on loopback, injects
// faults drawn from a seed, and checks that every guarantee holds.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/phuslu/log"
	"github.com/rotisserie/eris"
	"github.com/spf13/cobra"

	"github.com/barleystep/barleystep/internal/clock"
	"github.com/barleystep/barleystep/internal/command"
	"github.com/barleystep/barleystep/internal/conn"
	"github.com/barleystep/barleystep/internal/fault"
	_ "github.com/barleystep/barleystep/internal/hangup" // A box may be asked to reload before it is set up.
	"github.com/barleystep/barleystep/internal/router"
	"github.com/barleystep/barleystep/internal/settings"
	"github.com/barleystep/barleystep/internal/soak"
	"github.com/barleystep/barleystep/platform/platformtest"
)

// Defaults of a short run.
const (
	defaultLength  = 30 * time.Second
	defaultBoxes   = 3
	defaultTargets = 6
	defaultCallers = 24
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	if err := newCommand().ExecuteContext(ctx); err != nil {
		os.Exit(command.ExitFailure)
	}
}

func newCommand() *cobra.Command {
	s := &soak.Runner{Clock: clock.System{}, Out: os.Stdout}
	s.Profile = soak.ProfileUsual
	root := &cobra.Command{
		Use:          "barleystep-soak",
		Short:        "Run boxes under faults and check every promise",
		Args:         cobra.NoArgs,
		SilenceUsage: true,
		RunE:         func(cmd *cobra.Command, _ []string) error { return run(cmd, s) },
	}
	root.Flags().Uint64Var(&s.Seed, "seed", 1, "what the faults are drawn from")
	root.Flags().DurationVar(&s.Length, "length", defaultLength, "how long requests are sent")
	root.Flags().IntVar(&s.Boxes, "boxes", defaultBoxes, "how many boxes")
	root.Flags().IntVar(&s.Targets, "targets", defaultTargets, "how many engines; there are half as many plain targets")
	root.Flags().IntVar(&s.Callers, "callers", defaultCallers, "how many callers")
	root.Flags().Var(&s.Profile, "profile", "the load on the boxes, usual or crowded")
	root.AddCommand(regressionsCommand(s), boxCommand(), targetCommand(), storeCommand())
	return root
}

func run(cmd *cobra.Command, s *soak.Runner) (err error) {
	if s.Program, err = os.Executable(); err != nil {
		return eris.Wrap(err, "soak: find own executable")
	}
	if s.Dir, err = soak.TempDir(s.Setup); err != nil {
		return err
	}
	findings, err := s.Run(cmd.Context())
	if err != nil {
		return err
	}
	for _, line := range findings {
		fmt.Fprintln(s.Out, "WRONG", line)
	}
	fmt.Fprintf(s.Out, "seed %d: %s, %d wrong; logs of the boxes are in %s\n", s.Seed, s.Summary(), len(findings), s.Dir)
	if len(findings) > 0 {
		return eris.Errorf("seed %d: %d promises broken", s.Seed, len(findings))
	}
	return nil
}

// regressionsCommand returns the command that runs the seeds that have failed before.
func regressionsCommand(s *soak.Runner) *cobra.Command {
	var ci bool
	cmd := &cobra.Command{Use: "regressions", Short: "Run the seeds that have failed once", Args: cobra.NoArgs, RunE: func(cmd *cobra.Command, _ []string) error {
		list, err := soak.Regressions()
		if err != nil {
			return err
		}
		failed := 0
		for _, r := range list {
			if ci && !r.CI {
				continue
			}
			fmt.Fprintf(s.Out, "seed %d: %s\n", r.Seed, r.Cause)
			again := &soak.Runner{Setup: r.Setup(), Clock: s.Clock, Out: s.Out}
			if err := run(cmd, again); err != nil {
				fmt.Fprintln(s.Out, "Error:", err)
				failed++
			}
		}
		if failed > 0 {
			return eris.Errorf("%d regressions failed", failed)
		}
		return nil
	}}
	cmd.Flags().BoolVar(&ci, "ci", false, "run only those that are run in CI")
	return cmd
}

func targetCommand() *cobra.Command {
	t := &platformtest.Target{Clock: clock.System{}}
	cmd := &cobra.Command{Use: "target", Short: "A stand-in for a target", Hidden: true, RunE: func(cmd *cobra.Command, _ []string) error {
		return soak.RunTarget(cmd.Context(), t)
	}}
	cmd.Flags().StringVar(&t.ID, "id", "t", "its instance")
	cmd.Flags().IntVar(&t.MemoryTokens, "memory", 0, "its memory in tokens")
	cmd.Flags().Uint64Var(&t.Seed, "seed", 1, "what spoilt answers are drawn from")
	cmd.Flags().DurationVar(&t.ColdFor, "cold", 0, "how long it is cold")
	cmd.Flags().Float64Var(&t.ColdRate, "cold-rate", 0, "the requests a second that it accepts while cold")
	cmd.Flags().DurationVar(&t.EventInterval, "pause", 0, "the time between events")
	return cmd
}

// boxCommand returns the command of a box whose links to targets can be cut through its input.
func boxCommand() *cobra.Command {
	cmd := command.New(command.Program{
		Name:  "box",
		Short: "A box whose links to targets can be cut",
		Run: func(ctx context.Context, s settings.Settings, l *log.Logger) error {
			link := &fault.Link{Dialer: conn.TCP{Timeout: router.DialTimeout}}
			go soak.FollowLinks(link, os.Stdin)
			r, err := command.NewRouter(s, l, link)
			if err != nil {
				return err
			}
			return r.Run(ctx)
		},
	})
	cmd.Hidden = true
	return cmd
}

func storeCommand() *cobra.Command {
	return &cobra.Command{Use: "store", Short: "A stand-in for the store", Hidden: true, RunE: func(cmd *cobra.Command, _ []string) error {
		return soak.RunStore(cmd.Context(), clock.System{})
	}}
}
