// Package box assembles the processes of a box from their components, for the
// programs as well as for tests and the local hall.
package box

import (
	"context"
	"net/http"
	"time"

	"github.com/phuslu/log"
	"github.com/thejerf/suture/v4"

	"github.com/barleystep/barleystep"
	"github.com/barleystep/barleystep/internal/capacity"
	"github.com/barleystep/barleystep/internal/claim"
	"github.com/barleystep/barleystep/internal/clock"
	"github.com/barleystep/barleystep/internal/engine"
	"github.com/barleystep/barleystep/internal/gate"
	"github.com/barleystep/barleystep/internal/guard"
	"github.com/barleystep/barleystep/internal/identity"
	"github.com/barleystep/barleystep/internal/limit"
	"github.com/barleystep/barleystep/internal/metric"
	"github.com/barleystep/barleystep/internal/peer"
	"github.com/barleystep/barleystep/internal/settings"
	"github.com/barleystep/barleystep/internal/supervisor"
	"github.com/barleystep/barleystep/internal/version"
	"github.com/barleystep/barleystep/internal/web"
)

// Entry is the process that accepts callers' connections and serves their
// requests. Its exported fields are set before Build.
type Entry struct {
	Settings settings.Settings
	Clock    barleystep.Clock
	Table    barleystep.Table
	Objects  barleystep.ObjectStore
	Boxes    barleystep.BoxList
	Exporter *metric.Exporter
	Log      *log.Logger

	node     node
	meter    *metric.Meter
	endpoint *capacity.LocalEndpoint
	server   *gate.Server
	callers  *web.Server
	// callersToken identifies the listener for callers in the supervisor tree.
	callersToken suture.ServiceToken
	admin        *web.Server
	tree         *suture.Supervisor
}

const logPrefix = "box: "

const (
	defaultGrace  = time.Hour
	defaultNotice = 5 * time.Second
	// cancelMargin is how long before the end of the grace period unfinished requests
	// are cancelled and answered. If the grace divided by cancelDivisor is shorter, that
	// time is used. The listener checks twice a second whether answers are still
	// being sent.
	cancelMargin  = time.Second
	cancelDivisor = 4
	// pollInterval is how often a box that shuts down checks for running requests.
	pollInterval = 20 * time.Millisecond
)

// Run serves until ctx ends. Then it announces the shutdown, waits for the notice
// period so that the load balancer sends callers elsewhere, and lets running
// requests finish. Build must have been called.
func (e *Entry) Run(ctx context.Context) error {
	work, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	done := e.tree.ServeBackground(work)
	select {
	case err := <-done:
		return err
	case <-ctx.Done():
	}
	e.shutDown(work)
	stop()
	return <-done
}

// shutDown announces the shutdown, waits for the notice period and drains the box.
func (e *Entry) shutDown(ctx context.Context) {
	e.Log.Info().Msg(logPrefix + "Shutting down. New callers are sent to other boxes.")
	e.node.tracker.Leave()
	e.server.BeginShutdown()
	clock.Sleep(ctx, e.Clock, e.Settings.Limits.Notice.Or(defaultNotice))
	e.drain(ctx)
}

// drain stops accepting callers and lets requests finish within the grace period, also those
// that boxes of other halls have forwarded; all other services keep running meanwhile.
// Requests that are still unfinished shortly before the end of the grace are cancelled, so
// that their callers get an answer with the outcome.
func (e *Entry) drain(ctx context.Context) {
	grace := e.grace()
	cancelCtx, cancel := clock.WithDeadline(ctx, e.Clock, e.Clock.Now().Add(grace-min(cancelMargin, grace/cancelDivisor)))
	defer cancel()
	defer context.AfterFunc(cancelCtx, e.server.CancelAll)()
	ctx, cancel = clock.WithDeadline(ctx, e.Clock, e.Clock.Now().Add(grace))
	defer cancel()
	_ = e.tree.RemoveAndWait(e.callersToken, grace) // The listener has logged the connections that it cut.
	for e.Running() > 0 && ctx.Err() == nil {
		clock.Sleep(ctx, e.Clock, pollInterval)
	}
	clock.Sleep(ctx, e.Clock, pollInterval) // Answers are sent shortly after their handlers return.
}

// Build creates the components of the process, which use ctx as their base context.
// It is called once, and fails if the certificates can't be read.
func (e *Entry) Build(ctx context.Context) error {
	peers := e.Settings.Peers
	encryption, err := peer.LoadTLS(peers.Certificate, peers.Key, peers.Authority)
	if err != nil {
		return err
	}
	e.meter = e.Exporter.Meter()
	id := barleystep.BoxID(e.Settings.Box.ID)
	e.node = node{
		settings:       e.Settings,
		clock:          e.Clock,
		table:          e.Table,
		objects:        e.Objects,
		boxes:          e.Boxes,
		meter:          e.meter,
		log:            e.Log,
		ids:            identity.NewGenerator(id, identity.NewIncarnation(e.Clock)),
		tls:            encryption,
		advertisedAddr: e.Settings.Listen.Peers,
		memory:         &guard.Budget{Clock: e.Clock, Memory: e.Settings.Limits.Memory(), Log: e.Log},
	}
	e.endpoint = e.newEndpoint()
	e.node.build(ctx, e.endpoint)
	e.endpoint.Configuration = e.node.follower
	e.wire()
	return nil
}

// wire connects the stages of the request path and adds all services to the
// supervisor tree.
func (e *Entry) wire() {
	targets := &engine.Pool{Configuration: e.node.follower}
	allocator := e.newAllocator()
	claims := e.newClaims()
	canceller := gate.NewCanceller()
	canceller.Clock, canceller.Targets, canceller.Meter, canceller.Log = e.Clock, targets, e.meter, e.Log
	limiter := e.newLimiter()
	e.server = e.newServer(allocator, targets, canceller, claims)
	e.server.Limiter = limiter
	e.server.Hall = barleystep.HallID(e.Settings.Box.Hall)
	e.server.Forwarder = e.node.forwarder()
	handler := e.server.Handler()
	e.node.setHandlers(handler)
	e.callers = e.newListener("callers", e.Settings.Listen.Callers, guard.CallerPlaces(e.Settings.Limits.Descriptors, e.Settings.Limits.Memory()), handler)
	e.admin = e.newListener("admin", e.Settings.Listen.Admin, guard.ProbePlaces, e.status())
	poller := &capacity.Poller{
		Clock:         e.Clock,
		Endpoint:      e.endpoint,
		Configuration: e.node.follower,
		Engines:       targets,
		Meter:         e.meter,
	}
	e.tree = supervisor.New("entry", e.Log, e.grace())
	for _, s := range []suture.Service{canceller, claims, limiter, e.endpoint, allocator, poller} {
		e.tree.Add(s)
	}
	e.callersToken = e.tree.Add(e.callers)
	for _, s := range e.node.services() {
		e.tree.Add(s)
	}
	if e.Settings.Listen.Admin != "" {
		e.tree.Add(e.admin)
	}
}

func (e *Entry) grace() time.Duration { return e.Settings.Limits.Grace.Or(defaultGrace) }

func (e *Entry) newEndpoint() *capacity.LocalEndpoint {
	return &capacity.LocalEndpoint{
		Clock:    e.Clock,
		Hall:     barleystep.HallID(e.Settings.Box.Hall),
		Meter:    e.meter,
		Settings: e.capacity(),
	}
}

func (e *Entry) capacity() capacity.Settings {
	c := e.Settings.Capacity
	return capacity.Settings{
		Window:           time.Duration(c.Window),
		LongShare:        c.LongShare,
		ShortMemoryShare: c.ShortMemoryShare,
		Interval:         time.Duration(c.Interval),
	}
}

func (e *Entry) newAllocator() *capacity.Allocator {
	return &capacity.Allocator{
		Clock:         e.Clock,
		Box:           e.node.ids.Box(),
		Configuration: e.node.follower,
		Membership:    e.node.tracker,
		Local:         e.endpoint,
		Remote:        e.node.client.Endpoint,
		Meter:         e.meter,
		Settings:      e.capacity(),
	}
}

func (e *Entry) newLimiter() *limit.Limiter {
	return &limit.Limiter{
		Clock:      e.Clock,
		Box:        e.node.ids.Box(),
		Hall:       barleystep.HallID(e.Settings.Box.Hall),
		Table:      e.Table,
		Membership: e.node.tracker,
		Meter:      e.meter,
	}
}

func (e *Entry) newClaims() *claim.Manager {
	b := claim.NewManager()
	b.Table = e.node.relay
	b.Objects = e.Objects
	b.Clock = e.Clock
	b.IDs = e.node.ids
	b.Meter = e.meter
	b.Log = e.Log
	return b
}

func (e *Entry) newServer(a barleystep.Allocator, t gate.Targets, c *gate.Canceller, claims *claim.Manager) *gate.Server {
	l := e.Settings.Limits
	return &gate.Server{
		Clock:         e.Clock,
		IDs:           e.node.ids,
		Configuration: e.node.follower,
		Allocator:     a,
		Targets:       t,
		Canceller:     c,
		Claims:        claims,
		Meter:         e.meter,
		Log:           e.Log,
		Limits:        gate.Limits{Body: l.MaxBody, MinTime: time.Duration(l.MinTime), MaxTime: time.Duration(l.MaxTime)},
		StallTimeout:  time.Duration(l.StallTimeout),
	}
}

func (e *Entry) newListener(name, addr string, places int, h http.Handler) *web.Server {
	return &web.Server{Name: name, Addr: addr, Handler: h, Clock: e.Clock, Log: e.Log, Grace: e.grace(), Memory: e.node.memory, MaxConns: places}
}

// Ready returns a channel that is closed once callers can connect.
func (e *Entry) Ready() <-chan struct{} { return e.callers.Ready() }

// CallersAddr returns the address of the listener for callers, once Ready is
// closed.
func (e *Entry) CallersAddr() string { return e.callers.ListenAddr() }

// Follower returns the follower with the current configuration.
func (e *Entry) Follower() *version.Follower { return e.node.follower }

// Running returns the number of requests that are being served.
func (e *Entry) Running() int64 { return e.server.Running() }
