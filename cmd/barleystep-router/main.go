// Command barleystep-router stands between callers and targets on a platform
// that keeps the configuration and the list of targets in a store.
package main

import (
	"context"
	"net/http"
	"net/url"
	"os"
	"time"

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

// check refuses settings without which the program can't serve.
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

// storeTimeout bounds a call to the store if the settings do not. A slow store
// takes some hundred milliseconds for an answer.
const storeTimeout = time.Second

func run(ctx context.Context, s settings.Settings, l *log.Logger) error {
	exporter, err := metric.NewExporter()
	if err != nil {
		return err
	}
	u, err := url.Parse(s.Platform.URL)
	if err != nil {
		return eris.Wrap(err, "router: platform.url")
	}
	r := &router.Router{
		Settings: s,
		Clock:    clock.System{},
		Catalogue: &platform.Store{
			Addr:    u.Host,
			Clock:   clock.System{},
			HTTP:    &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 4}},
			Timeout: s.Platform.Timeout.Or(storeTimeout),
		},
		Protocol:            platform.Protocol{},
		DecodeConfiguration: platform.DecodeConfiguration,
		DecodeTarget:        platform.DecodeTarget,
		ReadyHandler:        platform.ReadyHandler,
		Exporter:            exporter,
		Log:                 l,
	}
	return r.Run(ctx)
}
