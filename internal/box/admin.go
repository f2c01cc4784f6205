package box

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"github.com/phuslu/log"
	"github.com/thejerf/suture/v4"

	"github.com/barleystep/barleystep"
	"github.com/barleystep/barleystep/internal/admin"
	"github.com/barleystep/barleystep/internal/engine"
	"github.com/barleystep/barleystep/internal/guard"
	"github.com/barleystep/barleystep/internal/member"
	"github.com/barleystep/barleystep/internal/metric"
	"github.com/barleystep/barleystep/internal/settings"
	"github.com/barleystep/barleystep/internal/supervisor"
	"github.com/barleystep/barleystep/internal/version"
	"github.com/barleystep/barleystep/internal/web"
)

// Admin is the process that serves the administration API. It reads and writes
// the platform's stores directly, so that it needs no entry process. Its exported
// fields are set before Build.
type Admin struct {
	Settings settings.Settings
	Clock    barleystep.Clock
	Table    barleystep.Table
	Objects  barleystep.ObjectStore
	Boxes    barleystep.BoxList
	Exporter *metric.Exporter
	Log      *log.Logger

	follower *version.Follower
	listener *web.Server
	tree     *suture.Supervisor
}

// adminGrace is how long running calls may take after the shutdown begins.
const adminGrace = 15 * time.Second

// Build creates the components of the process. It is called once.
func (a *Admin) Build() {
	meter := a.Exporter.Meter()
	a.follower = &version.Follower{Clock: a.Clock, Meter: meter}
	store := &version.Store{Table: a.Table, Objects: a.Objects, Clock: a.Clock, Meter: meter}
	self := barleystep.BoxID(a.Settings.Box.ID)
	reader := &version.Reader{
		Clock:      a.Clock,
		Box:        self,
		Store:      store,
		Follower:   a.follower,
		Membership: member.NewFixed(self),
		Upstream:   func(barleystep.BoxID) (version.Upstream, bool) { return nil, false },
		Meter:      meter,
		Log:        a.Log,
	}
	service := &admin.Service{
		Clock:     a.Clock,
		Store:     store,
		Follower:  a.follower,
		Boxes:     a.Boxes,
		Engines:   &engine.Pool{Configuration: a.follower},
		Operators: a.Settings.Admin.Operators,
		Log:       a.Log,
	}
	a.listener = &web.Server{
		Name:    "admin",
		Addr:    a.Settings.Listen.Admin,
		Handler: a.handler(service),
		Clock:   a.Clock,
		Log:     a.Log,
		Grace:   adminGrace,

		Memory:   &guard.Budget{Clock: a.Clock, Memory: a.Settings.Limits.Memory(), Log: a.Log},
		MaxConns: guard.PeerPlaces(a.Settings.Limits.Descriptors),
	}
	a.tree = supervisor.New("admin", a.Log, adminGrace)
	a.tree.Add(reader)
	a.tree.Add(a.listener)
}

func (a *Admin) handler(s *admin.Service) http.Handler {
	mux := http.NewServeMux()
	mux.Handle(s.Handler())
	mux.Handle("GET /metrics", a.Exporter)
	mux.HandleFunc("GET /livez", livez)
	mux.HandleFunc("GET /readyz", func(w http.ResponseWriter, _ *http.Request) {
		if v := a.follower.Version(); v == 0 {
			http.Error(w, "no configuration yet", http.StatusServiceUnavailable)
		} else {
			fmt.Fprintf(w, "ok; configuration %d\n", v)
		}
	})
	return mux
}

func livez(w http.ResponseWriter, _ *http.Request) { fmt.Fprintln(w, "ok") }

// Run serves until ctx ends. Build must have been called.
func (a *Admin) Run(ctx context.Context) error { return a.tree.Serve(ctx) }

// Follower returns the follower with the process's current configuration.
func (a *Admin) Follower() *version.Follower { return a.follower }
