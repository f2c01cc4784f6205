// Package router implements the program that routes requests from callers to targets on a
// platform that keeps the configuration and the list of targets in a store.
package router

import (
	"cmp"
	"context"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/phuslu/log"
	"github.com/thejerf/suture/v4"

	"github.com/barleystep/barleystep"
	"github.com/barleystep/barleystep/internal/balance"
	"github.com/barleystep/barleystep/internal/budget"
	"github.com/barleystep/barleystep/internal/clock"
	"github.com/barleystep/barleystep/internal/conn"
	"github.com/barleystep/barleystep/internal/fleet"
	"github.com/barleystep/barleystep/internal/follow"
	"github.com/barleystep/barleystep/internal/front"
	"github.com/barleystep/barleystep/internal/guard"
	"github.com/barleystep/barleystep/internal/lead"
	"github.com/barleystep/barleystep/internal/metric"
	"github.com/barleystep/barleystep/internal/plane"
	"github.com/barleystep/barleystep/internal/relay"
	"github.com/barleystep/barleystep/internal/settings"
	"github.com/barleystep/barleystep/internal/signature"
	"github.com/barleystep/barleystep/internal/supervisor"
	"github.com/barleystep/barleystep/internal/suspect"
	"github.com/barleystep/barleystep/internal/web"
)

// Router is the program of one box. Its exported fields are set before Run.
type Router struct {
	Settings  settings.Settings
	Clock     barleystep.Clock
	Catalogue barleystep.Catalogue
	Protocol  barleystep.Protocol
	// DecodeConfiguration and DecodeTarget decode the catalogue's records.
	DecodeConfiguration func(value []byte) (fleet.Configuration, error)
	DecodeTarget        func(r barleystep.Record) (fleet.Target, error)
	// CheckEvacuation returns an error for the value of an evacuation's record that the operator
	// cannot have written.
	CheckEvacuation func(value []byte) error
	// ReadyHandler returns the handler of the platform's readiness probe.
	ReadyHandler func(ready func() bool) http.Handler
	// Dialer connects directly to targets; nil uses TCP.
	Dialer   barleystep.Dialer
	Exporter *metric.Exporter
	// DroppedLines returns how many log lines were dropped; it may be nil.
	DroppedLines func() int64
	Log          *log.Logger

	configuration *follow.Configuration
	targets       *follow.Targets
	balancer      *balance.Balancer
	pool          *conn.Pool
	monitor       *relay.Monitor
	dialer        *relay.Dialer
	relay         *relay.Server
	budget        *budget.Budget
	plane         *plane.Plane
	front         *front.Server
	callers       *listener
	memory        *guard.Budget
	top           *suture.Supervisor
	stopping      chan struct{}
	// freshness and grace are settings that may change at run time, in nanoseconds.
	freshness atomic.Int64
	grace     atomic.Int64
}

const logPrefix = "router: "

const (
	// DialTimeout bounds the time to connect to a target, which takes a few milliseconds if the
	// target is alive. TCP resends a lost packet only after a second, and another target is
	// tried before that.
	DialTimeout = 250 * time.Millisecond
	// leadConns is how many idle connections to the lead are kept: long prompts arrive at a few
	// per second.
	leadConns = 2
	// peerConns is how many idle connections are kept to the box that passes changes on: each
	// topic has one update in transit.
	peerConns = 2
	// janitorInterval is how often expired connections and state about targets are dropped.
	janitorInterval = 250 * time.Millisecond
	// freshnessMargin is how long before the keys exceed their allowed age the readiness probe
	// fails, so that the load balancer sends callers elsewhere.
	freshnessMargin = time.Second
)

// Run serves until ctx ends, then shuts down and lets running requests finish within the grace
// period.
func (r *Router) Run(ctx context.Context) error {
	r.build()
	r.logStart()
	work, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	done := r.top.ServeBackground(work)
	select {
	case err := <-done:
		return err
	case <-ctx.Done():
	}
	r.shutDown(work)
	stop()
	r.Log.Info().AnErr("services", <-done).Msg(logPrefix + "Stopped.")
	return nil
}

// logStart logs the limits in force. Zero descriptors stand for the limit of the operating system.
func (r *Router) logStart() {
	s := r.Settings
	r.Log.Info().Str("box", s.Box.ID).Str("hall", s.Box.Hall).Int64("memory", cmp.Or(s.Limits.Memory(), guard.DefaultMemory)).Int("descriptors", s.Limits.Descriptors).
		Int("caller_places", r.callers.guard.MaxConns).Dur("grace", time.Duration(r.grace.Load())).Msg(logPrefix + "Starting.")
}

// build creates the components from the settings.
func (r *Router) build() {
	meter := r.Exporter.Meter()
	s := r.Settings
	r.stopping = make(chan struct{})
	r.memory = &guard.Budget{Clock: r.Clock, Memory: s.Limits.Memory(), Log: r.Log}
	if r.Dialer == nil {
		r.Dialer = conn.TCP{Timeout: DialTimeout}
	}
	r.targets = &follow.Targets{Clock: r.Clock, Decode: r.DecodeTarget, Log: r.Log}
	r.configuration = &follow.Configuration{
		Clock:           r.Clock,
		Decode:          r.DecodeConfiguration,
		CheckEvacuation: r.CheckEvacuation,
		OnEvacuation:    r.targets.SetEvacuated,
		Log:             r.Log,
	}
	r.balancer = &balance.Balancer{
		Clock:    r.Clock,
		Box:      barleystep.BoxID(s.Box.ID),
		Hall:     barleystep.HallID(s.Box.Hall),
		Targets:  r.targets.List,
		Log:      r.Log,
		Suspects: &suspect.Registry{Clock: r.Clock, Log: r.Log},
		Meter:    meter,
	}
	r.monitor = &relay.Monitor{Clock: r.Clock, Log: r.Log, OnCutOff: r.balancer.ForgetUnreachable}
	r.balancer.MaxRest = time.Duration(s.Limits.MaxRest)
	r.plane = &plane.Plane{
		Clock:         r.Clock,
		Box:           barleystep.BoxID(s.Box.ID),
		Hall:          barleystep.HallID(s.Box.Hall),
		Addr:          s.Listen.Peers,
		Seeds:         s.Peers.Seeds,
		Catalogue:     r.Catalogue,
		MaxDelay:      time.Duration(s.Platform.MaxDelay),
		MaxLeaveDelay: time.Duration(s.Platform.MaxLeaveDelay),
		Strength:      s.Box.Strength(),
		CutOff:        r.monitor.IsCutOff,
		HTTP:          &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: peerConns}},
		Configuration: r.configuration,
		Targets:       r.targets,
		Balancer:      r.balancer,
		Suspects:      r.balancer.Suspects,
		Log:           r.Log,
	}
	r.plane.Build()
	r.balancer.Freshness = r.plane.Freshness()
	r.balancer.Lead = &lead.Client{
		Clock: r.Clock,
		HTTP:  &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: leadConns}},
		Addr:  r.plane.Node().Lead,
		Log:   r.Log,
		Meter: meter,
	}
	r.buildRelay()
	r.buildFront()
	r.apply(s)
	r.registerMetrics()
	r.supervise()
}

// buildFront creates what serves callers.
func (r *Router) buildFront() {
	s := r.Settings
	r.pool = &conn.Pool{Clock: r.Clock, Dialer: r.dialer, Paths: r.dialer}
	r.targets.OnChange = r.dropRestarted
	r.budget = &budget.Budget{Clock: r.Clock, Box: barleystep.BoxID(s.Box.ID), Window: s.Retries.Window.Or(defaultWindow), BoxCount: r.plane.Node().BoxCount}
	r.front = &front.Server{
		Clock:         r.Clock,
		Protocol:      r.Protocol,
		Configuration: r.configuration,
		Loader:        loader{r},
		Balancer:      r.balancer,
		Pool:          r.pool,
		Budget:        r.budget,
		Meter:         r.Exporter.Meter(),
		Log:           r.Log,

		MaxConfigurationAge: time.Duration(s.Platform.MaxDelay),
	}
	r.callers = &listener{
		addr:        s.Listen.Callers,
		handler:     r.front.Handler(),
		clock:       r.Clock,
		log:         r.Log,
		idleTimeout: r.idleTimeout,
		guard:       &guard.Listener{Budget: r.memory, MaxConns: guard.CallerPlaces(s.Limits.Descriptors, s.Limits.Memory()), Limits: r.headLimits},
	}
}

// headLimits returns the limits of callers' heads.
func (r *Router) headLimits() guard.Limits {
	v := r.configuration.View()
	if v == nil {
		return guard.Limits{}
	}
	return guard.Limits{HeaderBytes: v.Limits().HeaderBytes, HeaderTimeout: v.Limits().HeaderTimeout}
}

// buildRelay creates what connects to targets through other boxes, and for them.
func (r *Router) buildRelay() {
	key := signature.Key{Secret: r.Settings.Peers.Secret, Box: barleystep.BoxID(r.Settings.Box.ID), Clock: r.Clock}
	r.dialer = &relay.Dialer{
		Clock:   r.Clock,
		Monitor: r.monitor,
		Direct:  r.Dialer,
		Timeout: DialTimeout,
		Relays:  r.relays,
		Connect: relay.Connector{Dialer: conn.TCP{Timeout: DialTimeout}, Key: key}.Connect,
		Log:     r.Log,
	}
	r.relay = &relay.Server{
		Clock:      r.Clock,
		Monitor:    r.monitor,
		Direct:     r.Dialer,
		Key:        key,
		Targets:    r.targetAddrs,
		IsStopping: r.isStopping,
		Relays:     r.relays,
		Log:        r.Log,
	}
}

// relays returns the boxes through which this one may connect to targets.
func (r *Router) relays() (c relay.Candidates) {
	c.Near, c.Far, c.Stale = r.plane.Node().Relays()
	return c
}

// targetAddrs returns the addresses of the listed targets.
func (r *Router) targetAddrs() []string {
	targets := r.targets.List()
	list := make([]string, len(targets))
	for i, t := range targets {
		list[i] = t.Addr
	}
	return list
}

// isStopping reports whether a planned stop has begun.
func (r *Router) isStopping() bool {
	select {
	case <-r.stopping:
		return true
	default:
		return false
	}
}

// apply applies the settings that may change while the program runs.
func (r *Router) apply(s settings.Settings) {
	r.freshness.Store(int64(s.Keys.Freshness))
	r.front.SetKeyFreshness(time.Duration(s.Keys.Freshness))
	r.budget.SetLimits(s.Retries.Ratio, s.Retries.Extra)
	r.grace.Store(int64(s.Limits.Grace.Or(defaultGrace)))
}

// defaultWindow is the window of the retry budget if the settings have none.
const defaultWindow = 10 * time.Second

// supervise adds the services to the supervisor.
func (r *Router) supervise() {
	s := r.Settings
	r.top = supervisor.New("router", r.Log, time.Second)
	for _, f := range r.plane.Followers() {
		r.top.Add(f)
	}
	r.top.Add(r.callers)
	r.top.Add(r.webServer("ready", s.Listen.Ready, guard.ProbePlaces, r.ReadyHandler(r.Ready)))
	if s.Listen.Admin != "" {
		r.top.Add(r.webServer("metrics", s.Listen.Admin, guard.ProbePlaces, r.Exporter))
	}
	r.top.Add(r.webServer("peers", s.Listen.Peers, guard.PeerPlaces(s.Limits.Descriptors), r.peers()))
	r.top.Add(r.plane.Node())
	r.top.Add(r.plane.Archive())
	r.top.Add(&balance.Planner{Clock: r.Clock, Balancer: r.balancer})
	r.top.Add(&relay.Prober{Clock: r.Clock, Monitor: r.monitor, Direct: r.Dialer, Targets: r.targetAddrs})
	r.top.Add(janitor{r})
	r.top.Add(&clock.Watcher{Log: r.Log})
	r.top.Add(&settings.Watcher{Clock: r.Clock, Current: s, Apply: r.apply, Log: r.Log})
}

// peers returns the handler for other boxes.
func (r *Router) peers() http.Handler {
	mux := http.NewServeMux()
	mux.Handle(r.plane.Handler())
	mux.Handle(r.relay.Handler())
	mux.Handle((&lead.Server{Clock: r.Clock, Balancer: r.balancer, View: r.configuration.View}).Handler())
	return mux
}

func (r *Router) webServer(name, addr string, places int, h http.Handler) *web.Server {
	return &web.Server{Name: name, Addr: addr, Handler: h, Clock: r.Clock, Log: r.Log, Memory: r.memory, MaxConns: places}
}

// idleTimeout returns the idle timeout of callers' connections, zero while there is no
// configuration.
func (r *Router) idleTimeout() time.Duration {
	if v := r.configuration.View(); v != nil {
		return v.Limits().IdleTimeout
	}
	return 0
}

// Ready reports whether the box accepts callers: they can connect, the configuration and the
// targets are known, the keys are confirmed to be current, and the box is not stopping.
func (r *Router) Ready() bool {
	if r.isStopping() {
		return false
	}
	if !r.callers.accepting.Load() || r.configuration.View() == nil || !r.targets.Loaded() {
		return false
	}
	freshness := time.Duration(r.freshness.Load())
	if freshness == 0 {
		return true
	}
	age := r.configuration.Age()
	return age >= 0 && age < freshness-freshnessMargin
}

const (
	defaultGrace = 8 * time.Second
	// pollInterval is how often a stopping box checks whether requests are still running.
	pollInterval = 20 * time.Millisecond
)

// shutDown performs a planned stop.
func (r *Router) shutDown(ctx context.Context) {
	r.Log.Info().Int("running", r.front.Running()).Msg(logPrefix + "Shutting down. The readiness probe fails from now on.")
	steps := newSchedule(time.Duration(r.grace.Load()))
	started := r.Clock.Now()
	ctx, cancel := clock.WithDeadline(ctx, r.Clock, started.Add(steps.exitAt))
	defer cancel()
	close(r.stopping)
	r.front.BeginShutdown(started.Add(steps.answerBy))
	r.plane.Node().Leave()
	clock.Sleep(ctx, r.Clock, steps.refuseAt)
	r.front.RejectNew()
	refused, before := r.Clock.Now(), r.callers.count()
	released := r.drain(ctx, started, steps)
	r.logCallers(started, refused, before, released)
	if n := r.front.Running(); n > 0 {
		r.Log.Warn().Int("running", n).Msg(logPrefix + "Aborting running requests at the end of the grace period.")
		r.front.LogUnfinished()
	}
}

// drain lets running requests finish, at the latest until the exit. It refuses new callers until all
// others are answered or closeAt is reached. After that it accepts none, answers what has arrived
// and closes the connections of callers that send nothing, whose number it returns.
func (r *Router) drain(ctx context.Context, started time.Time, steps schedule) (released int) {
	refuseCtx, cancel := clock.WithDeadline(ctx, r.Clock, started.Add(steps.closeAt))
	defer cancel()
	for (r.busy() || r.callers.count().requests() > 0) && clock.Sleep(refuseCtx, r.Clock, pollInterval) {
	}
	readCtx, cancelRead := clock.WithDeadline(ctx, r.Clock, started.Add(steps.readBy))
	defer cancelRead()
	r.callers.close(readCtx)
	released, settled := r.settle(readCtx, func() {})
	if settled {
		return released
	}
	more, _ := r.settle(ctx, r.callers.abortBodies)
	return released + more
}

// settle closes the connections of callers that send nothing, whose number it returns, until all
// others are answered or ctx ends. It calls hasten now and then.
func (r *Router) settle(ctx context.Context, hasten func()) (released int, settled bool) {
	for {
		hasten()
		released += r.callers.releaseIdle()
		if !r.busy() && r.callers.count().unsettled() == 0 {
			return released, true
		}
		if !clock.Sleep(ctx, r.Clock, pollInterval) {
			return released, false
		}
	}
}

// busy reports whether requests are running, memory that was reserved for some is not released, or
// boxes use this one as a relay.
func (r *Router) busy() bool {
	return r.front.Running() > 0 || r.front.PendingReleases() > 0 || r.relay.Tunnels() > 0
}

// logCallers logs the connections that were open when the box began to refuse and those that are open
// now, how many were closed as idle, and the refusals.
func (r *Router) logCallers(started, refused time.Time, before connCounts, released int) {
	refusals, now := r.front.StopRefusals(), r.Clock.Now()
	after := r.callers.count()
	e := r.Log.Info().Dur("refused_after", refused.Sub(started)).Dur("took", now.Sub(started)).
		Int("idle_before", before[connIdle]+before[connNew]).Int("unread_before", before[connUnread]+before[connReceiving]).
		Int("active_before", before[connActive]).Int("idle_closed", released).
		Int("unread", after[connUnread]+after[connReceiving]).Int("stalled", after[connStalled]).Int("active", after[connActive]).
		Int("refusals", refusals.Count)
	if refusals.Count > 0 {
		e.Dur("first_refusal", refusals.First.Sub(started)).Dur("last_refusal", refusals.Last.Sub(started))
	}
	e.Msg(logPrefix + "Connections of callers at the end of the stop.")
}

// loader implements front.Loader.
type loader struct{ router *Router }

// Loaded reports whether the configuration and the targets are known, and were confirmed once.
func (l loader) Loaded() bool {
	return l.router.configuration.View() != nil && l.router.targets.Loaded() && l.router.configuration.Age() >= 0
}

// Await reports that a caller waits for the box.
func (l loader) Await() { l.router.plane.Await() }

// janitor drops expired connections and state about targets.
type janitor struct{ router *Router }

// String returns the service name in the supervisor's log lines.
func (janitor) String() string { return "tender" }

// Serve runs until ctx ends.
func (t janitor) Serve(ctx context.Context) error {
	return clock.Repeat(ctx, t.router.Clock, janitorInterval, func(context.Context) {
		t.router.targets.Expire()
		t.router.pool.CloseExpired()
		t.router.balancer.Prune()
	})
}
