// Package local runs a small hall in one process: several entry boxes, stand-in
// engines, a plain service and in-memory stores in place of the platform. The boxes
// are built from the same components as in the programs.
package local

import (
	"context"
	"fmt"
	"net"
	"time"

	"github.com/phuslu/log"
	"github.com/rotisserie/eris"

	"github.com/barleystep/barleystep"
	"github.com/barleystep/barleystep/internal/box"
	"github.com/barleystep/barleystep/internal/config"
	"github.com/barleystep/barleystep/internal/metric"
	"github.com/barleystep/barleystep/internal/object"
	"github.com/barleystep/barleystep/internal/settings"
	"github.com/barleystep/barleystep/internal/standin"
	"github.com/barleystep/barleystep/internal/supervisor"
	"github.com/barleystep/barleystep/internal/table"
	"github.com/barleystep/barleystep/internal/version"
	"github.com/barleystep/barleystep/internal/web"
)

// HallName is the name of the hall.
const HallName = "local"

// CallersPort is the port for callers of the first box; the other boxes have the next
// ones. AdminPort is the port of the administration API; the boxes' administration
// listeners have the next ones.
const (
	CallersPort = 8080
	AdminPort   = 8090
)

// Hall is the local hall. Its exported fields are set before Run.
type Hall struct {
	Clock barleystep.Clock
	Log   *log.Logger
	// BoxCount and EngineCount default to 3 and 4.
	BoxCount    int
	EngineCount int
	// FixedPorts makes the listeners use the ports from CallersPort and AdminPort on
	// instead of free ones.
	FixedPorts bool
	// Table and Objects stand in for the platform's stores; by default they are kept
	// in memory.
	Table   barleystep.Table
	Objects barleystep.ObjectStore
	// Fault returns the fault to inject into an attempt that an engine starts; nil
	// means none.
	Fault func(attempt string) standin.Fault

	boxlist standin.BoxList
	admin   *box.Admin
	engines []*standin.Engine
	service standin.Service
	entries []*box.Entry
	cancels []context.CancelFunc
	ready   chan struct{}
}

const (
	defaultBoxes      = 3
	defaultEngines    = 4
	engineStepTime    = 10 * time.Millisecond
	enginePrefillRate = 20_000
)

// Init sets the defaults. It is called once before Run.
func (h *Hall) Init() {
	if h.BoxCount == 0 {
		h.BoxCount = defaultBoxes
	}
	if h.EngineCount == 0 {
		h.EngineCount = defaultEngines
	}
	if h.Table == nil {
		h.Table = &table.Memory{}
	}
	if h.Objects == nil {
		h.Objects = &object.Memory{}
	}
	h.ready = make(chan struct{})
}

// Ready returns a channel that is closed once all boxes accept requests.
func (h *Hall) Ready() <-chan struct{} { return h.ready }

// Run runs the hall until ctx is done and the requests in progress have finished.
func (h *Hall) Run(ctx context.Context) (err error) {
	defer func() {
		if err != nil {
			err = eris.Wrap(err, "local: run")
		}
	}()
	backgroundCtx, cancelBackground := context.WithCancel(context.WithoutCancel(ctx))
	defer cancelBackground()
	if err := h.submitFirst(ctx, h.startTargets(backgroundCtx)); err != nil {
		return err
	}
	if err := h.startAdmin(backgroundCtx); err != nil {
		return err
	}
	done, err := h.startBoxes(ctx)
	if err != nil {
		return err
	}
	for _, e := range h.entries {
		e.Follower().Await(1)
		<-e.Ready()
	}
	h.admin.Follower().Await(1)
	close(h.ready)
	for range h.entries {
		if e := <-done; e != nil && !eris.Is(e, context.Canceled) {
			err = e
		}
	}
	return err
}

// startAdmin starts the administration API. ctx outlives the boxes.
func (h *Hall) startAdmin(ctx context.Context) error {
	exporter, err := metric.NewExporter()
	if err != nil {
		return err
	}
	s := settings.Settings{
		Box:    settings.Box{ID: "admin", Hall: HallName},
		Listen: settings.Listen{Admin: h.loopbackAddr(AdminPort)},
		Admin:  settings.Admin{Operators: Operators()},
	}
	h.admin = &box.Admin{Settings: s, Clock: h.Clock, Table: h.Table, Objects: h.Objects, Boxes: &h.boxlist, Exporter: exporter, Log: h.Log}
	h.admin.Build()
	go func() { _ = h.admin.Run(ctx) }() // Run returns when ctx is done.
	return nil
}

// loopbackAddr returns a loopback address with the port, or with port 0 (any free
// one) unless FixedPorts is set.
func (h *Hall) loopbackAddr(number int) string {
	if !h.FixedPorts {
		number = 0
	}
	return fmt.Sprintf("127.0.0.1:%d", number)
}

// startTargets starts the stand-in targets and returns a configuration that lists
// them.
func (h *Hall) startTargets(ctx context.Context) config.File {
	f := Configuration()
	sup := supervisor.New("stand-ins", h.Log, 0)
	var servers []*web.Server
	for i := range h.EngineCount {
		e := &standin.Engine{Clock: h.Clock, Step: engineStepTime, PrefillRate: enginePrefillRate, Fault: h.Fault}
		h.engines = append(h.engines, e)
		servers = append(servers, &web.Server{Name: fmt.Sprintf("engine%d", i+1), Handler: e})
	}
	servers = append(servers, &web.Server{Name: "service", Handler: &h.service})
	for _, s := range servers {
		s.Addr = "127.0.0.1:0"
		s.Clock = h.Clock
		s.Log = h.Log
		sup.Add(s)
	}
	sup.ServeBackground(ctx)
	for i, s := range servers {
		<-s.Ready()
		t := config.Target{ID: s.Name, Hall: HallName, URL: "http://" + s.ListenAddr(), Model: ModelName}
		if i == h.EngineCount {
			t.Model, t.Service = "", ServiceName
		}
		f.Targets = append(f.Targets, t)
	}
	return f
}

// submitFirst submits the first version of the configuration.
func (h *Hall) submitFirst(ctx context.Context, f config.File) error {
	d, err := f.Document()
	if err != nil {
		return err
	}
	_, err = h.VersionStore().Submit(ctx, config.Document{}, version.Submission{
		ID:       "local-first",
		Document: d,
		Author:   "local",
		Reason:   "first configuration of the local hall",
	})
	return err
}

// VersionStore returns the hall's store of configuration versions.
func (h *Hall) VersionStore() *version.Store {
	return &version.Store{Table: h.Table, Objects: h.Objects, Clock: h.Clock, Meter: metric.Discard()}
}

// startBoxes starts all boxes. done receives the result of each box's Run.
func (h *Hall) startBoxes(ctx context.Context) (done <-chan error, err error) {
	ended := make(chan error, h.BoxCount)
	var list []barleystep.Box
	for i := range h.BoxCount {
		e, err := h.newBox(i)
		if err != nil {
			return nil, err
		}
		h.entries = append(h.entries, e)
		s := e.Settings
		list = append(list, barleystep.NewBox(barleystep.BoxID(s.Box.ID), HallName, s.Listen.Peers, false))
	}
	h.boxlist.SetBoxes(list...)
	for _, e := range h.entries {
		ctx, cancel := context.WithCancel(ctx)
		h.cancels = append(h.cancels, cancel)
		if err := e.Build(context.WithoutCancel(ctx)); err != nil {
			return nil, err
		}
		go func() { ended <- e.Run(ctx) }()
	}
	return ended, nil
}

func (h *Hall) newBox(i int) (*box.Entry, error) {
	exporter, err := metric.NewExporter()
	if err != nil {
		return nil, err
	}
	peers, err := freePort()
	if err != nil {
		return nil, err
	}
	s := settings.Settings{
		Box:    settings.Box{ID: fmt.Sprintf("box%d", i+1), Hall: HallName},
		Listen: settings.Listen{Callers: h.loopbackAddr(CallersPort + i), Admin: h.loopbackAddr(AdminPort + 1 + i), Peers: peers},
		Limits: settings.Limits{Notice: settings.Duration(100 * time.Millisecond)},
	}
	return &box.Entry{
		Settings: s,
		Clock:    h.Clock,
		Table:    h.Table,
		Objects:  h.Objects,
		Boxes:    &h.boxlist,
		Exporter: exporter,
		Log:      h.Log,
	}, nil
}

// freePort returns a loopback address with a free port for a peer listener. Peers need
// the address before the listener starts.
func freePort() (string, error) {
	l, err := (&net.ListenConfig{}).Listen(context.Background(), "tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	return l.Addr().String(), l.Close()
}

// CallersURL returns the URL of the listener for callers of box i.
func (h *Hall) CallersURL(i int) string { return "http://" + h.entries[i].CallersAddr() }

// Entry returns box i.
func (h *Hall) Entry(i int) *box.Entry { return h.entries[i] }

// Engine returns stand-in engine i.
func (h *Hall) Engine(i int) *standin.Engine { return h.engines[i] }

// Service returns the stand-in service.
func (h *Hall) Service() *standin.Service { return &h.service }

// StopBox starts the planned stop of box i.
func (h *Hall) StopBox(i int) { h.cancels[i]() }
