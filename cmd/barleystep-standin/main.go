// Command barleystep-standin runs a stand-in as a process of its own, to try out the programs
// without a platform or engines.
package main

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"os/signal"
	"strings"
	"syscall"

	"github.com/spf13/cobra"

	"github.com/barleystep/barleystep"
	"github.com/barleystep/barleystep/internal/clock"
	"github.com/barleystep/barleystep/internal/command"
	"github.com/barleystep/barleystep/internal/settings"
	"github.com/barleystep/barleystep/internal/standin"
	"github.com/barleystep/barleystep/internal/web"
	"github.com/barleystep/barleystep/platform/platformtest"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	if err := newCommand().ExecuteContext(ctx); err != nil && ctx.Err() == nil {
		fmt.Fprintln(os.Stderr, "barleystep-standin:", err)
		os.Exit(command.ExitFailure)
	}
}

func newCommand() *cobra.Command {
	var addr string
	root := &cobra.Command{Use: "barleystep-standin", Short: "Run a stand-in for an outside system", SilenceUsage: true, SilenceErrors: true}
	root.PersistentFlags().StringVar(&addr, "listen", "127.0.0.1:0", "IP number and port")
	root.AddCommand(engineCommand(&addr), serviceCommand(&addr), platformCommand(&addr), command.VersionCommand())
	return root
}

func serve(cmd *cobra.Command, addr string, h http.Handler) error {
	s := &web.Server{Name: cmd.Name(), Addr: addr, Handler: h, Clock: clock.System{}, Log: command.NewLogger(settings.Log{})}
	return s.Serve(cmd.Context())
}

func engineCommand(addr *string) *cobra.Command {
	e := &standin.Engine{Clock: clock.System{}}
	cmd := &cobra.Command{
		Use:   "engine",
		Short: "A model engine",
		Args:  cobra.NoArgs,
		RunE:  func(cmd *cobra.Command, _ []string) error { return serve(cmd, *addr, e) },
	}
	cmd.Flags().IntVar(&e.KVTokens, "tokens", 0, "KV memory in tokens (default 400000)")
	cmd.Flags().DurationVar(&e.Step, "step", 0, "time between tokens")
	cmd.Flags().Float64Var(&e.PrefillRate, "rate", 0, "reading speed in tokens per second (default: at once)")
	cmd.Flags().BoolVar(&e.ChecksFence, "checks-fence", false, "refuse orders with an old fencing token")
	return cmd
}

func serviceCommand(addr *string) *cobra.Command {
	return &cobra.Command{
		Use:   "service",
		Short: "A plain service",
		Args:  cobra.NoArgs,
		RunE:  func(cmd *cobra.Command, _ []string) error { return serve(cmd, *addr, &standin.Service{}) },
	}
}

func platformCommand(addr *string) *cobra.Command {
	var boxes []string
	cmd := &cobra.Command{
		Use:   "platform",
		Short: "The store of the platform, in memory",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			store := &platformtest.Store{Clock: clock.System{}}
			if err := store.SetBoxes(parseBoxes(boxes)...); err != nil {
				return err
			}
			return serve(cmd, *addr, store)
		},
	}
	cmd.Flags().StringSliceVar(&boxes, "box", nil, "a box as ID=HALL=ADDR; may be given again")
	return cmd
}

func parseBoxes(texts []string) []barleystep.Box {
	var boxes []barleystep.Box
	for _, text := range texts {
		parts := strings.Split(text, "=")
		if len(parts) == 3 {
			boxes = append(boxes, barleystep.NewBox(barleystep.BoxID(parts[0]), barleystep.HallID(parts[1]), parts[2], false))
		}
	}
	return boxes
}
