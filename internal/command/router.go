package command

import (
	"github.com/phuslu/log"

	"github.com/barleystep/barleystep"
	"github.com/barleystep/barleystep/internal/clock"
	"github.com/barleystep/barleystep/internal/metric"
	"github.com/barleystep/barleystep/internal/router"
	"github.com/barleystep/barleystep/internal/settings"
	"github.com/barleystep/barleystep/platform"
)

// NewRouter returns the router of a box on the platform. The dialer connects directly to targets; nil
// uses TCP.
func NewRouter(s settings.Settings, l *log.Logger, dialer barleystep.Dialer) (*router.Router, error) {
	exporter, err := metric.NewExporter()
	if err != nil {
		return nil, err
	}
	return &router.Router{
		Settings:            s,
		Clock:               clock.System{},
		Catalogue:           NewStore(s, clock.System{}),
		Protocol:            platform.Protocol{},
		DecodeConfiguration: platform.DecodeConfiguration,
		DecodeTarget:        platform.DecodeTarget,
		CheckEvacuation:     platform.CheckEvacuation,
		ReadyHandler:        platform.ReadyHandler,
		Exporter:            exporter,
		Dialer:              dialer,
		DroppedLines:        func() int64 { return DroppedLines(l) },
		Log:                 l,
	}, nil
}
