// Command barleystep-keeper maintains the targets of a hall: it cleans up attempts, sends
// orders and removes old rows.
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
		Name:  "barleystep-keeper",
		Short: "Look after the targets of this box's hall",
		Check: check,
		Run:   run,
	}))
}

// check rejects settings with which the program cannot run.
func check(s settings.Settings) error {
	switch {
	case s.Listen.Peers == "":
		return eris.New(`listen.peers = "": must be the address of the peer listener of this box's entry process`)
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
	k := &box.Keeper{Settings: s, Clock: clock.System{}, Table: p, Objects: p, Boxes: p, Meter: exporter.Meter(), Log: l}
	return k.Run(ctx)
}
