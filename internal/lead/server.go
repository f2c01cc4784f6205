// Package lead lets boxes have their prompts placed by one of them.
package lead

import (
	"context"
	"net/http"
	"sync"
	"time"

	"connectrpc.com/connect"
	"github.com/rotisserie/eris"

	"github.com/barleystep/barleystep"
	placementv1 "github.com/barleystep/barleystep/api/placement/v1"
	"github.com/barleystep/barleystep/api/placement/v1/placementv1connect"
	"github.com/barleystep/barleystep/internal/balance"
	"github.com/barleystep/barleystep/internal/fleet"
)

// Server places prompts for other boxes.
type Server struct {
	Clock    barleystep.Clock
	Balancer *balance.Balancer
	// View returns the configuration in force, nil if there is none.
	View func() *fleet.View

	mu sync.Mutex
	// second is that in which asked questions came.
	windowStart time.Time
	windowCount int
}

// mostAsked is how many questions for short prompts the lead answers in a second, for which it
// spends a fifth of a core at most. Boxes that are turned away place their prompts themselves
// for a while.
const maxShortPerSecond = 700

// busy counts a question for a short prompt and reports whether there are too many.
func (s *Server) isOverLimit() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if now := s.Clock.Now(); now.Sub(s.windowStart) >= time.Second {
		s.windowStart, s.windowCount = now, 0
	}
	s.windowCount++
	return s.windowCount > maxShortPerSecond
}

// Handler returns the handler for other boxes.
func (s *Server) Handler() (path string, h http.Handler) {
	return placementv1connect.NewPlacementServiceHandler(s)
}

// longHold and shortHold are for how long a question is held while a prompt waits for its
// engines. A box that asks again has lost its lead the sooner, the shorter it is; the
// longer, the fewer questions there are. A short prompt that has asked a dead lead in vain is
// still to be in time.
const (
	longPromptHold  = 250 * time.Millisecond
	shortPromptHold = 60 * time.Millisecond
)

func holdTime(j balance.Job) time.Duration {
	if balance.IsLongPrompt(j) {
		return longPromptHold
	}
	return shortPromptHold
}

// Place chooses the targets of a request.
func (s *Server) Place(ctx context.Context, r *connect.Request[placementv1.PlaceRequest]) (*connect.Response[placementv1.PlaceResponse], error) {
	view := s.View()
	if view == nil {
		return nil, connect.NewError(connect.CodeUnavailable, eris.New("no configuration is known"))
	}
	if view.Service(r.Msg.GetService()) == nil {
		return nil, connect.NewError(connect.CodeUnavailable, eris.New("the service is not known"))
	}
	now := s.Clock.Now()
	j := decodeJob(view, r.Msg, now)
	if !balance.IsLongPrompt(j) && s.isOverLimit() {
		return nil, connect.NewError(connect.CodeUnavailable, eris.New("too many boxes ask"))
	}
	plan, err := s.Balancer.PlaceForPeer(ctx, j, now.Add(holdTime(j)))
	switch {
	case eris.Is(err, balance.ErrStillWaiting):
		return nil, connect.NewError(connect.CodeAborted, err)
	case eris.Is(err, balance.ErrFull):
		return nil, connect.NewError(connect.CodeResourceExhausted, err)
	case eris.Is(err, balance.ErrSuspectRefused):
		return nil, connect.NewError(connect.CodePermissionDenied, err)
	case eris.Is(err, balance.ErrCannotMeetDeadline):
		return nil, connect.NewError(connect.CodeDeadlineExceeded, err)
	case err != nil:
		return nil, connect.NewError(connect.CodeUnavailable, err)
	}
	out := &placementv1.PlaceResponse{Number: plan.ID, Target: string(plan.Target), ExpectedUs: plan.ExpectedTTFT.Microseconds()}
	for _, h := range plan.Helpers {
		out.Helpers = append(out.Helpers, &placementv1.Helper{Target: string(h.Target), Memory: int64(h.KVTokens)})
	}
	return connect.NewResponse(out), nil
}

// Read notes that the prompt of a plan was read.
func (s *Server) Read(_ context.Context, r *connect.Request[placementv1.ReadRequest]) (*connect.Response[placementv1.ReadResponse], error) {
	s.Balancer.PrefillDone(r.Msg.GetNumber())
	return connect.NewResponse(&placementv1.ReadResponse{}), nil
}
