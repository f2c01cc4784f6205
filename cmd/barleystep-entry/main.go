// Command barleystep-entry serves the connections and streams of callers on a box.
package main

import (
	"context"
	"os"

	"github.com/phuslu/log"
	"github.com/rotisserie/eris"

	"github.com/barleystep/barleystep/internal/box"
	"github.com/barleystep/barleystep/internal/clock"
	"github.com/barleystep/barleystep/internal/command"
	"github.com/barleystep/barleystep/internal/metric"
	"github.com/barleystep/barleystep/internal/settings"
)

func main() {
	os.Exit(command.Main(command.Program{
		Name:  "barleystep-entry",
		Short: "Serve callers on this box",
		Check: check,
		Run:   run,
	}))
}

// check rejects settings with which the program cannot run.
func check(s settings.Settings) error {
	switch {
	case s.Listen.Callers == "":
		return eris.New(`listen.callers = "": must be an IP number and port, such as 0.0.0.0:8080`)
	case s.Listen.Peers == "":
		return eris.New(`listen.peers = "": must be the IP number and port at which other boxes reach this one`)
	case s.Platform.URL == "":
		return eris.New(`platform.url = "": must be the root of the platform's services`)
	}
	return nil
}

func run(ctx context.Context, s settings.Settings, l *log.Logger) error {
	exporter, err := metric.NewExporter()
	if err != nil {
		return err
	}
	p := command.NewStore(s, clock.System{})
	e := &box.Entry{
		Settings: s,
		Clock:    clock.System{},
		Table:    p,
		Objects:  p,
		Boxes:    p,
		Exporter: exporter,
		Log:      l,
	}
	if err := e.Build(context.WithoutCancel(ctx)); err != nil {
		return err
	}
	return e.Run(ctx)
}
