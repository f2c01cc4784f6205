// Command barleystep-router routes requests from callers to targets on a platform that keeps
// the configuration and the list of targets in a store.
package main

import (
	"context"
	"os"

	"github.com/phuslu/log"
	"github.com/rotisserie/eris"

	"github.com/barleystep/barleystep/internal/clock"
	"github.com/barleystep/barleystep/internal/command"
	"github.com/barleystep/barleystep/internal/metric"
	"github.com/barleystep/barleystep/internal/router"
	"github.com/barleystep/barleystep/internal/settings"
	"github.com/barleystep/barleystep/platform"
)

func main() {
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
	exporter, err := metric.NewExporter()
	if err != nil {
		return err
	}
	r := &router.Router{
		Settings:            s,
		Clock:               clock.System{},
		Catalogue:           command.NewStore(s, clock.System{}),
		Protocol:            platform.Protocol{},
		DecodeConfiguration: platform.DecodeConfiguration,
		DecodeTarget:        platform.DecodeTarget,
		CheckEvacuation:     platform.CheckEvacuation,
		ReadyHandler:        platform.ReadyHandler,
		Exporter:            exporter,
		DroppedLines:        func() int64 { return command.DroppedLines(l) },
		Log:                 l,
	}
	return r.Run(ctx)
}
