// Package lead lets the boxes have their prompts placed by a single box, the lead.
package lead

import (
	"context"
	"net/http"
	"time"

	"connectrpc.com/connect"
	"github.com/rotisserie/eris"

	"github.com/barleystep/barleystep"
	placementv1 "github.com/barleystep/barleystep/api/placement/v1"
	"github.com/barleystep/barleystep/api/placement/v1/placementv1connect"
	"github.com/barleystep/barleystep/internal/balance"
	"github.com/barleystep/barleystep/internal/fleet"
	"github.com/barleystep/barleystep/internal/mutex"
)

// Server places prompts for other boxes.
type Server struct {
	Clock    barleystep.Clock
	Balancer *balance.Balancer
	// View returns the configuration in force, nil if there is none.
	View func() *fleet.View

	mu mutex.Mutex
	// windowStart begins the one-second window in which windowCount calls were counted.
	windowStart time.Time
	windowCount int
}

// maxShortPerSecond is how many calls for short prompts the lead serves per second; they take at
// most a fifth of a core. Rejected boxes place their short prompts themselves for a while.
const maxShortPerSecond = 700

// isOverLimit counts a call for a short prompt and reports whether there are too many.
func (s *Server) isOverLimit() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if now := s.Clock.Now(); now.Sub(s.windowStart) >= time.Second {
		s.windowStart, s.windowCount = now, 0
	}
	s.windowCount++
	return s.windowCount > maxShortPerSecond
}

// maxMessageBytes bounds a request or an answer, in bytes. Large ones name many targets to avoid.
const maxMessageBytes = 64 << 10

// Handler returns the handler for other boxes.
func (s *Server) Handler() (path string, h http.Handler) {
	return placementv1connect.NewPlacementServiceHandler(s, connect.WithReadMaxBytes(maxMessageBytes))
}

// longPromptHold and shortPromptHold are how long a call is held while its prompt waits for
// engines. With a shorter hold, a box notices a lost lead sooner; with a longer one, there are
// fewer calls. A short prompt must still meet its objective after a call to a dead lead; where
// targets may be cold, it is held like a long one once the lead has answered that it waits.
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

// requestedHold returns how long to hold a call: as long as it asks for, within longPromptHold.
func requestedHold(m *placementv1.PlaceRequest, j balance.Job) time.Duration {
	if ms := m.GetHoldMs(); ms > 0 {
		return min(time.Duration(ms)*time.Millisecond, longPromptHold)
	}
	return holdTime(j)
}

// Place chooses the targets of a request.
func (s *Server) Place(ctx context.Context, r *connect.Request[placementv1.PlaceRequest]) (*connect.Response[placementv1.PlaceResponse], error) {
	view := s.View()
	if view == nil {
		return nil, connect.NewError(connect.CodeUnavailable, eris.New("no configuration loaded"))
	}
	if view.Service(r.Msg.GetService()) == nil {
		return nil, connect.NewError(connect.CodeUnavailable, eris.New("unknown service"))
	}
	now := s.Clock.Now()
	j := decodeJob(view, r.Msg, now)
	if !balance.IsLongPrompt(j) && s.isOverLimit() {
		return nil, connect.NewError(connect.CodeUnavailable, eris.New("too many calls for short prompts"))
	}
	plan, err := s.Balancer.PlaceForPeer(ctx, j, now.Add(requestedHold(r.Msg, j)))
	switch {
	case eris.Is(err, balance.ErrFull):
		return nil, encodeRefusal(err)
	case err != nil:
		return nil, connect.NewError(codeOf(err), err)
	}
	out := &placementv1.PlaceResponse{Number: plan.ID, Target: string(plan.Target), ExpectedUs: plan.ExpectedTTFT.Microseconds()}
	for _, h := range plan.Helpers {
		out.Helpers = append(out.Helpers, &placementv1.Helper{Target: string(h.Target), Memory: int64(h.KVTokens)})
	}
	return connect.NewResponse(out), nil
}

// Read records that the prompt of a plan has been prefilled.
func (s *Server) Read(_ context.Context, r *connect.Request[placementv1.ReadRequest]) (*connect.Response[placementv1.ReadResponse], error) {
	s.Balancer.PrefillDone(r.Msg.GetNumber())
	return connect.NewResponse(&placementv1.ReadResponse{}), nil
}
