package gate

import (
	"context"
	"encoding/json"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/phuslu/log"
	"github.com/rotisserie/eris"

	"github.com/barleystep/barleystep"
	"github.com/barleystep/barleystep/internal/claim"
	"github.com/barleystep/barleystep/internal/config"
	"github.com/barleystep/barleystep/internal/identity"
	"github.com/barleystep/barleystep/internal/limit"
	"github.com/barleystep/barleystep/internal/metric"
)

// Server serves the HTTP API for callers. Its exported fields are set before Handler; those
// with a default may be zero.
type Server struct {
	Clock         barleystep.Clock
	IDs           *identity.Generator
	Configuration config.Source
	Allocator     barleystep.Allocator
	Targets       Targets
	Canceller     *Canceller
	Claims        *claim.Manager
	// Hall is the hall of this box. Forwarder sends requests to other halls; if nil, none are
	// forwarded.
	Hall      barleystep.HallID
	Forwarder Forwarder
	// Limiter enforces the rate limits of accounts; if nil, there are none.
	Limiter *limit.Limiter
	Meter   *metric.Meter
	Log     *log.Logger
	Limits  Limits
	// StallTimeout bounds the time between two events of a target's answer; the default is
	// 20 seconds.
	StallTimeout time.Duration

	estimator    Estimator
	pipeline     Pipeline
	running      atomic.Int64
	shuttingDown atomic.Bool
	// canceled is canceled by cancelAll, which ends all requests.
	canceled  context.Context
	cancelAll context.CancelFunc
}

const defaultStall = 20 * time.Second

// Handler builds the pipeline and returns the HTTP handler for callers.
func (s *Server) Handler() http.Handler {
	if s.StallTimeout == 0 {
		s.StallTimeout = defaultStall
	}
	s.canceled, s.cancelAll = context.WithCancel(context.Background())
	d := &dispatch{clock: s.Clock, targets: s.Targets, meter: s.Meter, stallTimeout: s.StallTimeout}
	s.pipeline = Pipeline{
		&settle{clock: s.Clock, meter: s.Meter, log: s.Log},
		authenticate{},
		&classify{clock: s.Clock, estimator: &s.estimator, limits: s.Limits.withDefaults()},
		&admit{limiter: s.Limiter},
		&forward{forwarder: s.Forwarder, hall: string(s.Hall), clock: s.Clock, meter: s.Meter},
		&claimOnce{book: s.Claims},
		&attempt{
			clock:     s.Clock,
			ids:       s.IDs,
			allocator: s.Allocator,
			dispatch:  d,
			canceller: s.Canceller,
			estimator: &s.estimator,
			meter:     s.Meter,
		},
	}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/chat/completions", s.complete)
	mux.HandleFunc("POST /v1/completions", s.complete)
	mux.HandleFunc("GET /v1/models", s.models)
	mux.HandleFunc("/v1/services/{service}/{path...}", s.callService)
	return mux
}

// Running returns the number of requests in progress.
func (s *Server) Running() int64 { return s.running.Load() }

// BeginShutdown marks the box as shutting down: each caller's connection is closed after its
// current answer, so that callers connect to other boxes.
func (s *Server) BeginShutdown() { s.shuttingDown.Store(true) }

// CancelAll ends all current and later requests with a refusal. Requests that no target has run
// are refused with the outcome "not-run".
func (s *Server) CancelAll() { s.cancelAll() }

// IsShuttingDown reports whether BeginShutdown was called.
func (s *Server) IsShuttingDown() bool { return s.shuttingDown.Load() }

func (s *Server) complete(w http.ResponseWriter, r *http.Request) {
	s.serve(w, r, &Exchange{path: r.URL.Path})
}

func (s *Server) callService(w http.ResponseWriter, r *http.Request) {
	path := "/" + r.PathValue("path")
	if r.URL.RawQuery != "" {
		path += "?" + r.URL.RawQuery
	}
	s.serve(w, r, &Exchange{service: r.PathValue("service"), path: path})
}

func (s *Server) serve(w http.ResponseWriter, r *http.Request, x *Exchange) {
	s.running.Add(1)
	defer s.running.Add(-1)
	if !s.prepare(w, r, x) {
		return
	}
	ctx, release := s.withCancelAll(r.Context())
	defer release()
	// The settle stage has already sent any error to the caller.
	_ = s.pipeline.Run(ctx, x)
}

// errShuttingDown is the cause of contexts that CancelAll cancels.
var errShuttingDown = eris.New("gate: the box is stopping")

// withCancelAll returns a context that CancelAll cancels. The caller must call the returned
// function.
func (s *Server) withCancelAll(ctx context.Context) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancelCause(ctx)
	stop := context.AfterFunc(s.canceled, func() { cancel(errShuttingDown) })
	return ctx, func() {
		stop()
		cancel(context.Canceled)
	}
}

// prepare sets the fields that every exchange has. If there is no configuration yet, it refuses
// the request and returns false.
func (s *Server) prepare(w http.ResponseWriter, r *http.Request, x *Exchange) (ok bool) {
	x.w = w
	x.r = r
	x.id = s.IDs.NextRequest()
	x.started = s.Clock.Now()
	x.answer = newAnswer(w)
	x.answer.limit(s.Clock, x.started.Add(s.Limits.withDefaults().MaxTime))
	w.Header().Set(HeaderRequest, x.id)
	if s.IsShuttingDown() {
		w.Header().Set("Connection", "close")
	}
	view, confirmed := s.Configuration.View()
	if view == nil {
		refusal := refuse(barleystep.ReasonNoConfiguration, "This box has no configuration yet.")
		s.Meter.RequestRefused(string(refusal.Reason()), refusal.Outcome().String())
		x.answer.refuse(refusal.WithRetryAfter(time.Second))
		return false
	}
	x.view = view
	w.Header().Set(HeaderConfig, strconv.FormatInt(view.Version(), 10))
	if !confirmed {
		w.Header().Set(HeaderConfigConfirmed, "no")
	}
	return true
}

type modelList struct {
	Object string      `json:"object"`
	Data   []modelItem `json:"data"`
}

type modelItem struct {
	ID      string `json:"id"`
	Object  string `json:"object"`
	Created int64  `json:"created"`
	OwnedBy string `json:"owned_by"`
}

func (s *Server) models(w http.ResponseWriter, r *http.Request) {
	x := &Exchange{}
	if !s.prepare(w, r, x) {
		return
	}
	list := func(*Exchange) {
		body := modelList{Object: "list", Data: []modelItem{}}
		for _, name := range x.view.Models() {
			body.Data = append(body.Data, modelItem{ID: name, Object: "model", OwnedBy: "barleystep"})
		}
		w.Header().Set("Content-Type", "application/json")
		w.Header().Set(HeaderOutcome, barleystep.OutcomeDone.String())
		_ = json.NewEncoder(w).Encode(body) // The caller may have disconnected.
	}
	p := Pipeline{s.pipeline[0], authenticate{}, final(list)}
	_ = p.Run(r.Context(), x) // The settle stage has already sent any error.
}
