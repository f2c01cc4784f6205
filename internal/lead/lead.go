// Package lead lets boxes have their long prompts placed by one of them.
package lead

import (
	"context"
	"net/http"
	"time"

	"connectrpc.com/connect"
	"github.com/phuslu/log"
	"github.com/rotisserie/eris"

	"github.com/barleystep/barleystep"
	placementv1 "github.com/barleystep/barleystep/api/placement/v1"
	"github.com/barleystep/barleystep/api/placement/v1/placementv1connect"
	"github.com/barleystep/barleystep/internal/balance"
	"github.com/barleystep/barleystep/internal/clock"
	"github.com/barleystep/barleystep/internal/fleet"
)

const logPrefix = "lead: "

// Server places prompts for other boxes.
type Server struct {
	Clock    barleystep.Clock
	Balancer *balance.Balancer
	// View returns the configuration in force, nil if there is none.
	View func() *fleet.View
}

// Handler returns the handler for other boxes.
func (s *Server) Handler() (path string, h http.Handler) {
	return placementv1connect.NewPlacementServiceHandler(s)
}

// holdTime is for how long a question is held while a prompt waits for its engines.
// A box that asks again has lost its lead the sooner, the shorter it is; the longer,
// the fewer questions there are.
const holdTime = 250 * time.Millisecond

// Place chooses the engines of a long prompt.
func (s *Server) Place(ctx context.Context, r *connect.Request[placementv1.PlaceRequest]) (*connect.Response[placementv1.PlaceResponse], error) {
	view := s.View()
	if view == nil {
		return nil, connect.NewError(connect.CodeUnavailable, eris.New("no configuration is known"))
	}
	j := jobOf(view, r.Msg)
	now := s.Clock.Now()
	if waited := r.Msg.GetWaitedMs(); waited > 0 {
		j.Since = now.Add(-time.Duration(waited) * time.Millisecond)
	}
	if earlier := r.Msg.GetEarlierMs(); earlier > 0 {
		j.First = now.Add(-time.Duration(r.Msg.GetWaitedMs()+earlier) * time.Millisecond)
	}
	if left := r.Msg.GetLeftMs(); left > 0 {
		j.Until = now.Add(time.Duration(left) * time.Millisecond)
	}
	plan, err := s.Balancer.Grant(ctx, j, now.Add(holdTime))
	switch {
	case eris.Is(err, balance.ErrWaiting):
		return nil, connect.NewError(connect.CodeAborted, err)
	case eris.Is(err, balance.ErrFull):
		return nil, connect.NewError(connect.CodeResourceExhausted, err)
	case eris.Is(err, balance.ErrInVain):
		return nil, connect.NewError(connect.CodeDeadlineExceeded, err)
	case err != nil:
		return nil, connect.NewError(connect.CodeUnavailable, err)
	}
	out := &placementv1.PlaceResponse{Number: plan.Number, Target: string(plan.Target), ExpectedUs: plan.Expected.Microseconds()}
	for _, h := range plan.Helpers {
		out.Helpers = append(out.Helpers, &placementv1.Helper{Target: string(h.Target), Memory: int64(h.Memory)})
	}
	return connect.NewResponse(out), nil
}

// Read notes that the prompt of a plan was read.
func (s *Server) Read(_ context.Context, r *connect.Request[placementv1.ReadRequest]) (*connect.Response[placementv1.ReadResponse], error) {
	s.Balancer.EndRead(r.Msg.GetNumber())
	return connect.NewResponse(&placementv1.ReadResponse{}), nil
}

func jobOf(view *fleet.View, m *placementv1.PlaceRequest) balance.Job {
	j := balance.Job{
		Request:   m.GetRequest(),
		Service:   m.GetService(),
		Prompt:    int(m.GetPrompt()),
		Output:    int(m.GetOutput()),
		Objective: time.Duration(m.GetObjectiveMs()) * time.Millisecond,
		Tightest:  view.TightestPause(m.GetService()),
		Alone:     m.GetAlone(),
		Near:      m.GetNear(),
	}
	if s := view.Service(j.Service); s != nil {
		j.Cost = s.Cost
	}
	for _, id := range m.GetAvoid() {
		j.Avoid = append(j.Avoid, barleystep.TargetID(id))
	}
	return j
}

// Client asks the lead. Its exported fields are set before use; it is safe for
// concurrent use.
type Client struct {
	Clock barleystep.Clock
	HTTP  *http.Client
	// Addr returns the lead's address; ok is false if this box is the lead
	// itself or knows none.
	Addr func() (addr string, ok bool)
	Log  *log.Logger
}

// askTimeout bounds one question. The lead answers within a few milliseconds, or
// once it has held the question; if it does not, the prompt is placed here.
const askTimeout = holdTime + 60*time.Millisecond

// Place asks the lead for the engines of a long prompt, again and again while the
// prompt has to wait for them.
func (c *Client) Place(ctx context.Context, j balance.Job) (plan balance.Plan, err error) {
	for {
		plan, err = c.ask(ctx, j)
		if !eris.Is(err, balance.ErrWaiting) || ctx.Err() != nil {
			return plan, err
		}
	}
}

func (c *Client) ask(ctx context.Context, j balance.Job) (plan balance.Plan, err error) {
	addr, ok := c.Addr()
	if !ok {
		return balance.Plan{}, balance.ErrHere
	}
	now := c.Clock.Now()
	ctx, cancel := clock.WithDeadline(ctx, c.Clock, now.Add(askTimeout))
	defer cancel()
	m := requestOf(j)
	m.WaitedMs = max(now.Sub(j.Since), 0).Milliseconds() // Zero on the first question.
	if !j.First.IsZero() {
		m.EarlierMs = max(j.Since.Sub(j.First), 0).Milliseconds()
	}
	if !j.Until.IsZero() {
		m.LeftMs = max(j.Until.Sub(now).Milliseconds(), 1)
	}
	resp, err := c.service(addr).Place(ctx, connect.NewRequest(m))
	switch {
	case err == nil:
		return planOf(resp.Msg), nil
	case connect.CodeOf(err) == connect.CodeResourceExhausted:
		return balance.Plan{}, balance.ErrFull
	case connect.CodeOf(err) == connect.CodeDeadlineExceeded && ctx.Err() == nil:
		return balance.Plan{}, balance.ErrInVain
	case connect.CodeOf(err) == connect.CodeAborted:
		return balance.Plan{}, balance.ErrWaiting
	default:
		c.Log.Warn().Str("lead", addr).Err(err).Msg(logPrefix + "The lead does not answer. The prompt is placed here.")
		return balance.Plan{}, eris.Wrap(err, "lead: place")
	}
}

// Read tells the lead that the prompt of a plan was read. Where that is lost, the lead
// goes by its own expectation. It is called under the balancer's lock, and finding the
// lead takes that of the gossip, which the gossip holds while it asks the balancer: all
// of it is done apart.
func (c *Client) Read(plan uint64) { go c.tell(plan) }

func (c *Client) service(addr string) placementv1connect.PlacementServiceClient {
	return placementv1connect.NewPlacementServiceClient(c.HTTP, "http://"+addr)
}

func (c *Client) tell(plan uint64) {
	addr, ok := c.Addr()
	if !ok {
		return
	}
	ctx, cancel := clock.WithDeadline(context.Background(), c.Clock, c.Clock.Now().Add(askTimeout))
	defer cancel()
	if _, err := c.service(addr).Read(ctx, connect.NewRequest(&placementv1.ReadRequest{Number: plan})); err != nil {
		c.Log.Debug().Str("lead", addr).Err(err).Msg(logPrefix + "The lead was not told of a prompt that was read.")
	}
}

func requestOf(j balance.Job) *placementv1.PlaceRequest {
	m := &placementv1.PlaceRequest{
		Request:     j.Request,
		Service:     j.Service,
		Prompt:      int64(j.Prompt),
		Output:      int64(j.Output),
		ObjectiveMs: j.Objective.Milliseconds(),
		Alone:       j.Alone,
		Near:        j.Near,
	}
	for _, id := range j.Avoid {
		m.Avoid = append(m.Avoid, string(id))
	}
	return m
}

func planOf(m *placementv1.PlaceResponse) balance.Plan {
	plan := balance.Plan{
		Number:   m.GetNumber(),
		Target:   barleystep.TargetID(m.GetTarget()),
		Expected: time.Duration(m.GetExpectedUs()) * time.Microsecond,
	}
	for _, h := range m.GetHelpers() {
		plan.Helpers = append(plan.Helpers, balance.PlannedHelper{Target: barleystep.TargetID(h.GetTarget()), Memory: int(h.GetMemory())})
	}
	return plan
}
