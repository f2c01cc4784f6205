// Command barleystep-admin serves the administration API.
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
		Name:  "barleystep-admin",
		Short: "Serve the administration API",
		Check: check,
		Run:   run,
	}))
}

// check rejects settings with which the program cannot run.
func check(s settings.Settings) error {
	switch {
	case s.Listen.Admin == "":
		return eris.New(`listen.admin = "": must be an IP number and port, such as 127.0.0.1:8090`)
	case s.Platform.URL == "":
		return eris.New(`platform.url = "": must be the root of the platform's services`)
	case len(s.Admin.Operators) == 0:
		return eris.New("admin.operator: must hold one operator at least")
	}
	return nil
}

func run(ctx context.Context, s settings.Settings, l *log.Logger) error {
	exporter, err := metric.NewExporter()
	if err != nil {
		return err
	}
	p := command.NewStore(s, clock.System{})
	a := &box.Admin{Settings: s, Clock: clock.System{}, Table: p, Objects: p, Boxes: p, Exporter: exporter, Log: l}
	a.Build()
	return a.Run(ctx)
}
