// Command barleystep-router routes requests from callers to targets on a platform that keeps
// the configuration and the list of targets in a store.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/phuslu/log"
	"github.com/rotisserie/eris"

	"github.com/barleystep/barleystep/internal/command"
	_ "github.com/barleystep/barleystep/internal/hangup" // A reload may be requested before main is reached.
	"github.com/barleystep/barleystep/internal/settings"
)

func main() {
	// A request to reload the settings may come before they are watched, or while the process ends. The
	// default action would end it.
	signal.Notify(make(chan os.Signal, 1), syscall.SIGHUP)
	os.Exit(command.Main(command.Program{
		Name:  "barleystep-router",
		Short: "Route callers' requests to targets",
		Check: check,
		Run:   run,
	}))
}

// check rejects settings with which the program cannot run.
func check(s settings.Settings) error {
	for key, value := range map[string]string{
		"listen.callers": s.Listen.Callers,
		"listen.ready":   s.Listen.Ready,
		"listen.peers":   s.Listen.Peers,
		"platform.url":   s.Platform.URL,
	} {
		if value == "" {
			return eris.Errorf("%s = \"\": must be set", key)
		}
	}
	return nil
}

func run(ctx context.Context, s settings.Settings, l *log.Logger) error {
	r, err := command.NewRouter(s, l, nil)
	if err != nil {
		return err
	}
	return r.Run(ctx)
}
