// Command barleystep-dev runs a small hall on loopback in one process.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/rotisserie/eris"
	"github.com/spf13/cobra"

	"github.com/barleystep/barleystep/internal/clock"
	"github.com/barleystep/barleystep/internal/command"
	"github.com/barleystep/barleystep/internal/local"
	"github.com/barleystep/barleystep/internal/settings"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	if err := newCommand().ExecuteContext(ctx); err != nil {
		os.Exit(command.ExitFailure)
	}
}

func newCommand() *cobra.Command {
	h := &local.Hall{Clock: clock.System{}, FixedPorts: true}
	level := "warn"
	cmd := &cobra.Command{
		Use:          "barleystep-dev",
		Short:        "Run a small hall on loopback",
		Args:         cobra.NoArgs,
		SilenceUsage: true,
		RunE: func(cmd *cobra.Command, _ []string) error {
			h.Log = command.NewLogger(settings.Log{Level: level})
			h.Init()
			go printUsage(cmd, h)
			err := h.Run(cmd.Context())
			if eris.Is(err, context.Canceled) {
				return nil
			}
			return err
		},
	}
	cmd.Flags().IntVar(&h.BoxCount, "boxes", 0, "number of entry boxes (default 3)")
	cmd.Flags().IntVar(&h.EngineCount, "engines", 0, "number of stand-in engines (default 4)")
	cmd.Flags().StringVar(&level, "log", level, "log level")
	cmd.AddCommand(command.VersionCommand())
	return cmd
}

const usage = `ready: callers on http://127.0.0.1:%d, administration, /metrics, /livez and /readyz on http://127.0.0.1:%d
try:
  curl -sN http://127.0.0.1:%d/v1/chat/completions -H 'Authorization: Bearer %s' \
    -d '{"model":"%s","stream":true,"max_tokens":8,"messages":[{"role":"user","content":"Read this deed."}]}'
`

// printUsage prints how to call the hall once it is ready.
func printUsage(cmd *cobra.Command, h *local.Hall) {
	<-h.Ready()
	fmt.Fprintf(cmd.OutOrStdout(), usage, local.CallersPort, local.AdminPort, local.CallersPort, local.KeyConversia, local.ModelName)
}
