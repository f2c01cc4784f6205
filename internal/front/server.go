package front

import (
	"context"
	"math"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/phuslu/log"

	"github.com/barleystep/barleystep"
	"github.com/barleystep/barleystep/internal/balance"
	"github.com/barleystep/barleystep/internal/budget"
	"github.com/barleystep/barleystep/internal/clock"
	"github.com/barleystep/barleystep/internal/conn"
	"github.com/barleystep/barleystep/internal/fleet"
	"github.com/barleystep/barleystep/internal/metric"
	"github.com/barleystep/barleystep/internal/reply"
)

// Configuration is the configuration in force and the age of its proof.
type Configuration interface {
	View() *fleet.View
	Age() time.Duration
}

// Server serves callers. Its exported fields are set before Handler.
type Server struct {
	Clock         barleystep.Clock
	Protocol      barleystep.Protocol
	Configuration Configuration
	Balancer      *balance.Balancer
	Pool          *conn.Pool
	Budget        *budget.Budget
	Meter         *metric.Meter
	Log           *log.Logger

	freshness atomic.Int64
	pipeline  Pipeline
	deliver   *deliver
	active    activeRequests
	// leaving answers with the end of the connection; closed refuses.
	shuttingDown atomic.Bool
	rejecting    atomic.Bool
	shutdown     *shutdown
}

const logPrefix = "front: "

// Handler returns the handler for callers. It is called once.
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
	}
	s.Balancer.Suspects.NotifyRefused(s.cancelRefused)
	s.pipeline = Pipeline{
		&route{configuration: s.Configuration},
		&authenticate{freshness: &s.freshness},
		&read{},
		s.deliver,
	}
	return s
}

// SetFreshness bounds the age of the proof that keys are current; zero asks for
// none.
func (s *Server) SetKeyFreshness(d time.Duration) { s.freshness.Store(int64(d)) }

// Leave begins a planned stop: answers end their connections, so that callers go to other
// boxes. At the given time, which leaves some for answers on their way, all requests are
// answered that are still being served; those whose answer could not be whole by then are
// refused as soon as that is known, while their callers have time for another box.
func (s *Server) BeginShutdown(end time.Time) {
	s.shuttingDown.Store(true)
	s.shutdown.begin(end)
	go s.abortPendingBodies(end)
}

// endBodies ends the reading of the bodies that have not come whole by the given time. It
// leaves requests that have come further alone: their connections are read on to notice
// that the caller goes away.
func (s *Server) abortPendingBodies(end time.Time) {
	clock.Sleep(context.Background(), s.Clock, end.Sub(s.Clock.Now()))
	for _, x := range s.active.oldest(math.MaxInt) {
		if phase, _, _ := x.progress.snapshot(); phase == PhaseReading {
			x.answer.AbortRequestBody()
		}
	}
}

// Close refuses what still comes.
func (s *Server) RejectNew() { s.rejecting.Store(true) }

// Running returns how many requests are being served.
func (s *Server) Running() int { return s.active.count() }

// Releasing returns how many tries have ended whose memory at helpers is still being
// released. Their requests may have been answered.
func (s *Server) PendingReleases() int { return int(s.deliver.pendingReleases.Load()) }

// mostUnfinished bounds the lines that LogUnfinished writes: a box serves some dozens of
// requests at a time, and a thousand lines may wait for their reader.
const maxUnfinishedLines = 100

// LogUnfinished writes a line about each request that is being served: how far it has come
// and since when. Requests that the process does not outlive write no other.
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
		started: s.Clock.Now(),
		call:    s.Protocol.ReadCallerHeaders(r.Header),
	}
	x.progress.enter(PhaseReading, x.started)
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

// end answers a request that was refused, and writes its line.
func (s *Server) finish(x *Exchange, err error) {
	if err == nil {
		s.logEnd(x, "", barleystep.OutcomeDone)
		return
	}
	r := barleystep.AsRefusal(err)
	s.Meter.RequestRefused(string(r.Reason()), r.Outcome().String())
	headSent := x.answer.HeadSent()
	if !headSent && r.Reason() != barleystep.ReasonCallerGone {
		s.refuse(x, r)
	}
	s.logEnd(x, r.Reason(), r.Outcome())
	if headSent || r.Reason() == barleystep.ReasonCallerGone {
		// An answer that was cut must not look whole.
		panic(http.ErrAbortHandler)
	}
}

func (s *Server) refuse(x *Exchange, r *barleystep.Refusal) {
	h := make(http.Header)
	s.Protocol.SetResponseHeaders(h, x.call.RequestID, r.RetryAfter())
	h.Set("Content-Type", "text/plain; charset=utf-8")
	x.answer.WriteFull(reply.FromBox(statusOf(r), h), []byte(r.Error()+"\n"))
}

// statusOf returns the HTTP status for a refusal. Statuses that promise that a
// request has not run are only used where that is true.
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
		Str("source", string(head.Source())).Bool("sealed", head.Sealed()).
		Int("prompt", x.call.PromptTokens).Int("events", x.events)
	if x.view != nil {
		e.Int64("configuration", x.view.Version()).Dur("configuration_age", x.viewAge)
	}
	if x.route != nil {
		e.Str("route", x.route.Name).Str("account", x.account).
			Dur("objective", x.route.Objective).Dur("max_pause", x.route.MaxPause)
	}
	if len(x.passedOver) > 0 {
		e.Strs("passed_over", x.passedOver)
	}
	e.Dur("queued", x.queued).Dur("expected", x.expected).Dur("first", x.timeToFirst).Dur("pause", x.maxPause).Dur("took", s.Clock.Now().Sub(x.started)).Msg(logPrefix + "A request ended.")
}

// bound returns a context that ends when the request's time is over.
func withDeadline(ctx context.Context, clk barleystep.Clock, x *Exchange) (context.Context, context.CancelFunc) {
	return clock.WithDeadline(ctx, clk, x.deadline)
}
