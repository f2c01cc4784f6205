// Command barleystep is the administration command line.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/barleystep/barleystep/internal/cli"
)

func main() {
	os.Exit(run())
}

func run() int {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	err := cli.New().ExecuteContext(ctx)
	if err != nil {
		fmt.Fprintln(os.Stderr, "barleystep:", err)
	}
	return cli.ExitCode(err)
}
