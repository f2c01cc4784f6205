package front

import (
	"context"
	"io"
	"math"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/phuslu/log"

	"github.com/barleystep/barleystep"
	"github.com/barleystep/barleystep/internal/balance"
	"github.com/barleystep/barleystep/internal/budget"
	"github.com/barleystep/barleystep/internal/clock"
	"github.com/barleystep/barleystep/internal/conn"
	"github.com/barleystep/barleystep/internal/fleet"
	"github.com/barleystep/barleystep/internal/guard"
	"github.com/barleystep/barleystep/internal/metric"
	"github.com/barleystep/barleystep/internal/reply"
)

// Configuration provides the configuration in force and the age of its confirmation.
type Configuration interface {
	View() *fleet.View
	Age() time.Duration
}

// Server serves callers. Its exported fields must be set before Handler is called.
type Server struct {
	Clock         barleystep.Clock
	Protocol      barleystep.Protocol
	Configuration Configuration
	// MaxConfigurationAge is the age of the configuration's last confirmation up to which a route or
	// key that it lacks does not exist; zero means that it never does.
	MaxConfigurationAge time.Duration
	// Loader tells whether the box has read what it needs; nil if it always has.
	Loader   Loader
	Balancer *balance.Balancer
	Pool     *conn.Pool
	Budget   *budget.Budget
	Meter    *metric.Meter
	Log      *log.Logger
	// Rand returns a random number in [0, 1) for the jitter of Retry-After; nil uses the runtime's.
	// It is safe for concurrent use.
	Rand func() float64

	freshness atomic.Int64
	pipeline  Pipeline
	deliver   *deliver
	active    activeRequests
	// shuttingDown makes answers close their connections; rejecting refuses all requests.
	shuttingDown atomic.Bool
	rejecting    atomic.Bool
	shutdown     *shutdown
	stopRefusals stopRefusals
}

const logPrefix = "front: "

// Handler returns the handler for callers. It must be called once.
func (s *Server) Handler() http.Handler {
	s.shutdown = newShutdown(s.Clock)
	s.deliver = &deliver{
		clock:    s.Clock,
		protocol: s.Protocol,
		balancer: s.Balancer,
		pool:     s.Pool,
		budget:   s.Budget,
		meter:    s.Meter,
		log:      s.Log,
		shutdown: s.shutdown,
		rand:     s.Rand,
		instance: strconv.FormatUint(rand.Uint64(), 36),
	}
	if s.deliver.rand == nil {
		s.deliver.rand = rand.Float64
	}
	s.Balancer.Suspects.NotifyRefused(s.cancelRefused)
	s.pipeline = Pipeline{
		&route{clock: s.Clock, configuration: s.Configuration, loader: s.Loader, maxAge: s.MaxConfigurationAge},
		&authenticate{freshness: &s.freshness},
		&read{clock: s.Clock, rejecting: &s.rejecting},
		s.deliver,
	}
	return s
}

// SetKeyFreshness sets the maximum age of the confirmation that keys are current; zero disables the
// check.
func (s *Server) SetKeyFreshness(d time.Duration) { s.freshness.Store(int64(d)) }

// BeginShutdown begins a planned stop. Answers close their connections, so that callers move to
// other boxes. At end, which must leave time for transmitting answers, all requests still being
// served are answered. A request whose answer cannot be complete by then is refused as soon as that
// is known, while its caller still has time for another box.
func (s *Server) BeginShutdown(end time.Time) {
	s.shuttingDown.Store(true)
	for _, x := range s.active.oldest(math.MaxInt) {
		x.answer.SetConnectionClose()
	}
	s.shutdown.begin(end)
	go s.rejectNewAt(end)
}

// rejectNewAt calls RejectNew at end.
func (s *Server) rejectNewAt(end time.Time) {
	clock.Sleep(context.Background(), s.Clock, end.Sub(s.Clock.Now()))
	s.RejectNew()
}

// abortPendingBodies aborts the reading of incomplete bodies. It leaves requests in later phases
// alone, because their connections are still read to detect that the caller disconnects.
func (s *Server) abortPendingBodies() {
	for _, x := range s.active.oldest(math.MaxInt) {
		if phase, _, _ := x.progress.snapshot(); phase == PhaseReading {
			x.answer.AbortRequestBody()
		}
	}
}

// RejectNew refuses all further requests, and those whose bodies are incomplete.
func (s *Server) RejectNew() {
	s.rejecting.Store(true)
	s.abortPendingBodies()
}

// Running returns the number of requests being served.
func (s *Server) Running() int { return s.active.count() }

// PendingReleases returns the number of ended tries whose reserved helper memory is still being
// released. Their requests may already have been answered.
func (s *Server) PendingReleases() int { return int(s.deliver.pendingReleases.Load()) }

// PendingChecks returns the number of targets that have broken off a request and are looked at again,
// since they may have terminated.
func (s *Server) PendingChecks() int { return int(s.deliver.pendingChecks.Load()) }

// maxUnfinishedLines bounds the lines that LogUnfinished writes. A box serves some dozens of
// requests at a time, and up to a thousand log lines can wait to be written.
const maxUnfinishedLines = 100

// LogUnfinished logs the phase of each request being served and how long it has lasted. Requests
// that are still running when the process exits write no other log line.
func (s *Server) LogUnfinished() {
	now := s.Clock.Now()
	for _, x := range s.active.oldest(maxUnfinishedLines) {
		phase, since, target := x.progress.snapshot()
		s.Log.Warn().Str("request", x.call.RequestID).Str("phase", phase.String()).Str("target", string(target)).
			Int("prompt", x.call.PromptTokens).Dur("in_phase", now.Sub(since)).Dur("took", now.Sub(x.started)).
			Msg(logPrefix + "A request is not finished.")
	}
}

// ServeHTTP serves one request.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	x := &Exchange{
		r:       r,
		answer:  reply.NewWriter(w),
		conn:    guard.From(r.Context()),
		started: s.Clock.Now(),
		call:    s.Protocol.ReadCallerHeaders(r.Header),
	}
	x.progress.enter(PhaseReading, x.started)
	if r.ContentLength == 0 {
		x.conn.RequestRead()
	}
	s.active.add(x)
	defer s.active.remove(x)
	if s.shuttingDown.Load() {
		x.answer.SetConnectionClose()
	}
	if s.rejecting.Load() {
		s.finish(x, stoppingRefusal())
		return
	}
	s.finish(x, s.pipeline.Run(r.Context(), x))
}

// finish answers a refused request and logs the end of the request.
func (s *Server) finish(x *Exchange, err error) {
	if err == nil {
		s.logEnd(x, "", barleystep.OutcomeDone)
		return
	}
	r := barleystep.AsRefusal(err)
	x.told = r.RetryAfter()
	if r.Reason() == barleystep.ReasonStopping {
		s.stopRefusals.add(s.Clock.Now())
	}
	s.Meter.RequestRefused(string(r.Reason()), r.Outcome().String())
	headSent := x.answer.HeadSent()
	if !headSent && r.Reason() != barleystep.ReasonCallerGone {
		s.refuse(x, r)
	}
	s.logEnd(x, r.Reason(), r.Outcome())
	if headSent || r.Reason() == barleystep.ReasonCallerGone {
		// Abort the connection, so that an incomplete answer does not look complete.
		if !x.r.ProtoAtLeast(1, 1) {
			x.answer.Reset()
		}
		panic(http.ErrAbortHandler)
	}
}

func (s *Server) refuse(x *Exchange, r *barleystep.Refusal) {
	s.drainBody(x)
	h := make(http.Header)
	s.Protocol.SetResponseHeaders(h, x.call.RequestID, r.RetryAfter())
	h.Set("Content-Type", "text/plain; charset=utf-8")
	x.answer.WriteFull(reply.FromBox(statusOf(r), h), []byte(r.Error()+"\n"))
}

const (
	// maxDrainedBody bounds what is read of a body whose request is refused, in bytes, and
	// drainTimeout for how long.
	maxDrainedBody = 256 << 10
	drainTimeout   = 200 * time.Millisecond
)

// drainBody reads what is left of the body before an answer that closes the connection. A caller that
// still writes it would find the connection reset, and lose the answer; net/http does the same on
// connections that stay open, where the time for it is bounded too.
func (s *Server) drainBody(x *Exchange) {
	if x.r.ContentLength == 0 {
		return
	}
	if !x.r.Close && !s.shuttingDown.Load() {
		x.answer.SetBodyDeadline(clock.WallTime(s.Clock, s.Clock.Now().Add(drainTimeout)))
		return
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go func() {
		if clock.Sleep(ctx, s.Clock, drainTimeout) {
			x.answer.AbortRequestBody()
		}
	}()
	_, _ = io.CopyN(io.Discard, x.r.Body, maxDrainedBody) // The refusal is sent in any case.
}

// statusOf returns the HTTP status for a refusal. Statuses that guarantee that a request has not
// run are only used where that is true.
func statusOf(r *barleystep.Refusal) int {
	switch {
	case r.Reason() == barleystep.ReasonUnknownService:
		return http.StatusNotFound
	case r.Reason() == barleystep.ReasonInvalidKey:
		return http.StatusUnauthorized
	case r.Reason() == barleystep.ReasonBodyTooLarge:
		return http.StatusRequestEntityTooLarge
	case r.Outcome() == barleystep.OutcomeNotRun:
		return http.StatusServiceUnavailable
	case r.Reason() == barleystep.ReasonDeadline:
		return http.StatusGatewayTimeout
	default:
		return http.StatusBadGateway
	}
}

func (s *Server) logEnd(x *Exchange, reason barleystep.Reason, outcome barleystep.Outcome) {
	s.Meter.RequestEnded(outcome.String())
	e := s.Log.Info()
	if reason != "" {
		e = s.Log.Warn().Str("reason", string(reason))
	}
	head := x.answer.Head()
	e.Str("request", x.call.RequestID).Str("outcome", outcome.String()).Int("status", head.Status()).
		Int("sends", x.sends).Str("target", string(x.target)).Int("helpers", x.helpers).
		Str("relay", x.relay).Str("source", string(head.Source())).Bool("sealed", head.Sealed()).
		Int("prompt", x.call.PromptTokens).Int("max_output", x.call.MaxOutputTokens).Int("events", x.events).
		Bool("unframed", x.unframed).Int("dropped_events", x.droppedEvents)
	if x.view != nil {
		e.Int64("configuration", x.view.Version()).Dur("configuration_age", x.viewAge)
	}
	if x.sends > 0 {
		e.Dur("targets_age", x.listAge)
	}
	if x.route != nil {
		e.Str("route", x.route.Name).Str("account", x.account).
			Dur("objective", x.route.Objective).Dur("max_pause", x.route.MaxPause)
	}
	if x.told > 0 {
		e.Dur("retry_after", x.told).Dur("capacity_after", x.capacityAfter)
	}
	s.logShutdown(x, e)
	if len(x.passedOver) > 0 {
		e.Strs("passed_over", x.passedOver)
	}
	e.Dur("queued", x.queued).Dur("expected", x.expected).Dur("first", x.timeToFirst).Dur("pause", x.maxPause).Dur("took", s.Clock.Now().Sub(x.started)).Msg(logPrefix + "A request ended.")
}

// logShutdown adds how long the box has been stopping, and how long ago the request was sent to its
// last target.
func (s *Server) logShutdown(x *Exchange, e *log.Entry) {
	if !s.shutdown.hasBegun() {
		return
	}
	e.Dur("stopping_for", s.shutdown.lasted())
	if x.sends > 0 {
		e.Dur("since_sent", s.Clock.Now().Sub(x.sentAt))
	}
}

// withDeadline returns a context that ends at the request's deadline.
func withDeadline(ctx context.Context, clk barleystep.Clock, x *Exchange) (context.Context, context.CancelFunc) {
	return clock.WithDeadline(ctx, clk, x.deadline)
}
