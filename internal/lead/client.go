package lead

import (
	"context"
	"net/http"
	"sync"
	"time"

	"connectrpc.com/connect"
	"github.com/phuslu/log"
	"github.com/rotisserie/eris"

	"github.com/barleystep/barleystep"
	placementv1 "github.com/barleystep/barleystep/api/placement/v1"
	"github.com/barleystep/barleystep/api/placement/v1/placementv1connect"
	"github.com/barleystep/barleystep/internal/balance"
	"github.com/barleystep/barleystep/internal/clock"
)

const logPrefix = "lead: "

// Client asks the lead. Its exported fields are set before use; it is safe for
// concurrent use.
type Client struct {
	Clock barleystep.Clock
	HTTP  *http.Client
	// Addr returns the lead's address; ok is false if this box is the lead
	// itself or knows none.
	Addr func() (addr string, ok bool)
	Log  *log.Logger

	mu sync.Mutex
	// silentUntil is until when short prompts are placed here.
	bypassUntil time.Time
}

// errSilent is returned for short prompts after the lead has not answered.
var errBypassed = eris.New("lead: it did not answer a moment ago")

func (c *Client) isBypassed() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.Clock.Now().Before(c.bypassUntil)
}

func (c *Client) startBypass() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.bypassUntil = c.Clock.Now().Add(bypassPeriod)
}

// answerTime bounds one question beyond the time for which the lead may hold it. The lead
// answers within a few milliseconds; if it does not, the prompt is placed here. Short
// prompts are asked for by the hundred and have a tight objective: after a question in
// vain, the box places them itself for silentFor, about the time until another box
// leads.
const (
	answerTimeout = 60 * time.Millisecond
	bypassPeriod  = 700 * time.Millisecond
)

// Place asks the lead for the engines of a prompt, again and again while the prompt has
// to wait for them.
func (c *Client) Place(ctx context.Context, j balance.Job) (plan balance.Plan, err error) {
	if !balance.IsLongPrompt(j) && c.isBypassed() {
		return balance.Plan{}, errBypassed
	}
	for {
		plan, err = c.placeOnce(ctx, j)
		if !eris.Is(err, balance.ErrStillWaiting) || ctx.Err() != nil {
			return plan, err
		}
	}
}

func (c *Client) placeOnce(ctx context.Context, j balance.Job) (plan balance.Plan, err error) {
	addr, ok := c.Addr()
	if !ok {
		return balance.Plan{}, balance.ErrIsLead
	}
	now := c.Clock.Now()
	callCtx, cancel := clock.WithDeadline(ctx, c.Clock, now.Add(holdTime(j)+answerTimeout))
	defer cancel()
	m := encodeJob(j)
	m.WaitedMs = max(now.Sub(j.Arrival), 0).Milliseconds() // Zero on the first question.
	if !j.FirstArrival.IsZero() {
		m.EarlierMs = max(j.Arrival.Sub(j.FirstArrival), 0).Milliseconds()
	}
	if !j.FirstEventDeadline.IsZero() {
		m.LeftMs = max(j.FirstEventDeadline.Sub(now).Milliseconds(), 1)
	}
	resp, err := c.service(addr).Place(callCtx, connect.NewRequest(m))
	switch {
	case err == nil:
		return decodePlan(resp.Msg), nil
	case connect.CodeOf(err) == connect.CodeResourceExhausted:
		return balance.Plan{}, balance.ErrFull
	case connect.CodeOf(err) == connect.CodeDeadlineExceeded && callCtx.Err() == nil:
		return balance.Plan{}, balance.ErrCannotMeetDeadline
	case connect.CodeOf(err) == connect.CodePermissionDenied:
		return balance.Plan{}, balance.ErrSuspectRefused
	case connect.CodeOf(err) == connect.CodeAborted:
		return balance.Plan{}, balance.ErrStillWaiting
	case ctx.Err() != nil: // The caller left, which says nothing of the lead.
		return balance.Plan{}, eris.Wrap(context.Cause(ctx), "lead: place")
	default:
		c.startBypass()
		c.Log.Warn().Str("lead", addr).Err(err).Msg(logPrefix + "The lead does not answer. The prompt is placed here.")
		return balance.Plan{}, eris.Wrap(err, "lead: place")
	}
}

// Read tells the lead that the prompt of a plan was read. Where that is lost, the lead
// goes by its own expectation. It is called under the balancer's lock, and finding the
// lead takes that of the gossip, which the gossip holds while it asks the balancer: all
// of it is done apart.
func (c *Client) PrefillDone(plan uint64) { go c.sendRead(plan) }

func (c *Client) service(addr string) placementv1connect.PlacementServiceClient {
	return placementv1connect.NewPlacementServiceClient(c.HTTP, "http://"+addr)
}

func (c *Client) sendRead(plan uint64) {
	addr, ok := c.Addr()
	if !ok {
		return
	}
	ctx, cancel := clock.WithDeadline(context.Background(), c.Clock, c.Clock.Now().Add(answerTimeout))
	defer cancel()
	if _, err := c.service(addr).Read(ctx, connect.NewRequest(&placementv1.ReadRequest{Number: plan})); err != nil {
		c.Log.Debug().Str("lead", addr).Err(err).Msg(logPrefix + "The lead was not told of a prompt that was read.")
	}
}
