// Package box composes the parts of a box: it is the one place where they are
// wired together, for the programs as for tests and the local hall.
package box

import (
	"context"
	"time"

	"github.com/phuslu/log"
	"github.com/thejerf/suture/v4"

	"github.com/barleystep/barleystep"
	"github.com/barleystep/barleystep/internal/capacity"
	"github.com/barleystep/barleystep/internal/claim"
	"github.com/barleystep/barleystep/internal/engine"
	"github.com/barleystep/barleystep/internal/gate"
	"github.com/barleystep/barleystep/internal/identity"
	"github.com/barleystep/barleystep/internal/metric"
	"github.com/barleystep/barleystep/internal/settings"
	"github.com/barleystep/barleystep/internal/web"
)

// Entry is the process that holds callers' connections. Its exported fields are
// set before Run.
type Entry struct {
	Settings      settings.Settings
	Clock         barleystep.Clock
	Table         barleystep.Table
	Objects       barleystep.ObjectStore
	Configuration gate.Configuration
	Membership    barleystep.Membership
	Exporter      *metric.Exporter
	Log           *log.Logger

	source  *identity.Source
	meter   *metric.Meter
	server  *gate.Server
	callers *web.Server
	admin   *web.Server
}

const defaultGrace = time.Hour

// Run serves until ctx ends and running requests have finished.
func (e *Entry) Run(ctx context.Context) error {
	return e.Supervisor().Serve(ctx)
}

// Supervisor builds the tree of the process's services. It is called once.
func (e *Entry) Supervisor() *suture.Supervisor {
	e.source = identity.NewSource(barleystep.BoxID(e.Settings.Box.ID), identity.NewIncarnation())
	e.meter = e.Exporter.Meter()
	targets := &engine.Pool{Configuration: e.Configuration}
	desk := e.desk()
	allocator := e.allocator(desk)
	canceller := gate.NewCanceller()
	canceller.Clock, canceller.Targets, canceller.Meter, canceller.Log = e.Clock, targets, e.meter, e.Log
	claims := e.claims()
	e.server = e.gate(allocator, targets, canceller, claims)
	e.callers = e.listener("callers", e.Settings.Listen.Callers)
	e.callers.Handler = e.server.Handler()
	poller := &capacity.Poller{Clock: e.Clock, Desk: desk, Configuration: e.Configuration, Targets: targets, Meter: e.meter}
	top := NewSupervisor("entry", e.Log, e.grace())
	for _, s := range []suture.Service{canceller, claims, desk, allocator, poller, e.callers} {
		top.Add(s)
	}
	e.addAdmin(top)
	return top
}

func (e *Entry) grace() time.Duration { return e.Settings.Limits.Grace.Or(defaultGrace) }

func (e *Entry) desk() *capacity.LocalDesk {
	return &capacity.LocalDesk{
		Clock:         e.Clock,
		Hall:          barleystep.HallID(e.Settings.Box.Hall),
		Configuration: e.Configuration,
		Meter:         e.meter,
		Settings:      e.capacity(),
	}
}

func (e *Entry) capacity() capacity.Settings {
	c := e.Settings.Capacity
	return capacity.Settings{
		Window:      time.Duration(c.Window),
		LongPart:    c.LongPart,
		ShortMemory: c.ShortMemory,
		Interval:    time.Duration(c.Interval),
	}
}

func (e *Entry) allocator(desk *capacity.LocalDesk) *capacity.Allocator {
	return &capacity.Allocator{
		Clock:         e.Clock,
		Box:           barleystep.BoxID(e.Settings.Box.ID),
		Configuration: e.Configuration,
		Membership:    e.Membership,
		Local:         desk,
		Remote:        func(barleystep.BoxID) (capacity.Desk, bool) { return nil, false },
		Meter:         e.meter,
		Log:           e.Log,
		Settings:      e.capacity(),
	}
}

func (e *Entry) claims() *claim.Book {
	b := claim.NewBook()
	b.Table = e.Table
	b.Objects = e.Objects
	b.Clock = e.Clock
	b.Source = e.source
	b.Meter = e.meter
	b.Log = e.Log
	return b
}

func (e *Entry) gate(a barleystep.Allocator, t gate.Targets, c *gate.Canceller, b *claim.Book) *gate.Server {
	l := e.Settings.Limits
	return &gate.Server{
		Clock:         e.Clock,
		Source:        e.source,
		Configuration: e.Configuration,
		Allocator:     a,
		Targets:       t,
		Canceller:     c,
		Claims:        b,
		Meter:         e.meter,
		Log:           e.Log,
		Limits:        gate.Limits{Body: l.Body, MinTime: time.Duration(l.MinTime), MaxTime: time.Duration(l.MaxTime)},
		Stall:         time.Duration(l.Stall),
	}
}

func (e *Entry) listener(name, addr string) *web.Server {
	return &web.Server{Name: name, Addr: addr, Clock: e.Clock, Log: e.Log, Grace: e.grace()}
}

func (e *Entry) addAdmin(top *suture.Supervisor) {
	if e.Settings.Listen.Admin == "" {
		return
	}
	e.admin = e.listener("admin", e.Settings.Listen.Admin)
	e.admin.Handler = e.status()
	top.Add(e.admin)
}

// Callers returns the listener for callers. It is set once Supervisor was
// called.
func (e *Entry) Callers() *web.Server { return e.callers }

// Running returns how many requests are being served.
func (e *Entry) Running() int64 { return e.server.Running() }
