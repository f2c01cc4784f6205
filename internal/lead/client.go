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
	"github.com/barleystep/barleystep/internal/metric"
	"github.com/barleystep/barleystep/internal/mutex"
)

const logPrefix = "lead: "

// Client asks the lead to place prompts. Its exported fields must be set before use; it is safe for
// concurrent use.
type Client struct {
	Clock barleystep.Clock
	HTTP  *http.Client
	// Addr returns the lead's address; ok is false if this box is the lead itself or knows no lead.
	Addr func() (addr string, ok bool)
	Log  *log.Logger
	// Meter counts the times that refusals carry; nil counts nothing.
	Meter *metric.Meter

	mu mutex.Mutex
	// bypassUntil is when short prompts may be sent to the lead again.
	bypassUntil time.Time
}

// errBypassed is returned for short prompts while the lead is bypassed after a failed call.
var errBypassed = eris.New("lead: bypassed after a failed call")

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

// answerTimeout bounds one call beyond the time for which the lead may hold it. The lead answers
// within a few milliseconds; if it does not, this box places the prompt itself. Short prompts come
// by the hundred and have a tight objective, so after a failed call the box places them itself for
// bypassPeriod, which is about the time until another box becomes lead.
const (
	answerTimeout = 60 * time.Millisecond
	bypassPeriod  = 700 * time.Millisecond
)

// Place asks the lead for a plan for the prompt, repeatedly while the prompt waits for its engines.
func (c *Client) Place(ctx context.Context, j balance.Job) (plan balance.Plan, err error) {
	if !balance.IsLongPrompt(j) && c.isBypassed() {
		return balance.Plan{}, errBypassed
	}
	hold := holdTime(j)
	for {
		plan, err = c.placeOnce(ctx, j, hold)
		if !eris.Is(err, balance.ErrStillWaiting) || ctx.Err() != nil {
			return plan, err
		}
		if j.ColdLimit.IsSet() { // A new lead knows of cold targets, but may not have heard of stated limits.
			hold = longPromptHold
		}
	}
}

// placeOnce makes one call, which the lead may hold for the given time.
func (c *Client) placeOnce(ctx context.Context, j balance.Job, hold time.Duration) (plan balance.Plan, err error) {
	addr, ok := c.Addr()
	if !ok {
		return balance.Plan{}, balance.ErrIsLead
	}
	now := c.Clock.Now()
	callCtx, cancel := clock.WithDeadline(ctx, c.Clock, now.Add(hold+answerTimeout))
	defer cancel()
	m := encodeJob(j)
	m.HoldMs = hold.Milliseconds()
	m.WaitedMs = max(now.Sub(j.Arrival), 0).Milliseconds() // Zero on the first call.
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
	case connect.CodeOf(err) == connect.CodeResourceExhausted && connect.IsWireError(err): // Else the answer was too long.
		return balance.Plan{}, c.refusal(err)
	case connect.CodeOf(err) == connect.CodeDeadlineExceeded && callCtx.Err() == nil:
		return balance.Plan{}, balance.ErrCannotMeetDeadline
	case codes[connect.CodeOf(err)] != nil:
		return balance.Plan{}, codes[connect.CodeOf(err)]
	case ctx.Err() != nil: // The caller disconnected, which says nothing about the lead.
		return balance.Plan{}, eris.Wrap(context.Cause(ctx), "lead: place")
	default:
		c.startBypass()
		c.Log.Warn().Str("lead", addr).Err(err).Msg(logPrefix + "The call to the lead failed. This box places the prompt itself.")
		return balance.Plan{}, eris.Wrap(err, "lead: place")
	}
}

// refusal returns the lead's refusal because of load, with its time if that can be used.
func (c *Client) refusal(err error) error {
	result, refused := decodeRefusal(err)
	if c.Meter != nil {
		c.Meter.RefusedTimeReceived(string(result))
	}
	return refused
}

// PrefillDone tells the lead in the background that the prompt of a plan has been prefilled. If the
// call is lost, the lead relies on its own estimate. PrefillDone is called under the balancer's
// lock, and finding the lead takes the gossip's lock, which the gossip holds while it calls the
// balancer; a synchronous call would deadlock.
func (c *Client) PrefillDone(plan uint64) { go c.sendPrefillDone(plan) }

func (c *Client) service(addr string) placementv1connect.PlacementServiceClient {
	return placementv1connect.NewPlacementServiceClient(c.HTTP, "http://"+addr, connect.WithReadMaxBytes(maxMessageBytes))
}

func (c *Client) sendPrefillDone(plan uint64) {
	addr, ok := c.Addr()
	if !ok {
		return
	}
	ctx, cancel := clock.WithDeadline(context.Background(), c.Clock, c.Clock.Now().Add(answerTimeout))
	defer cancel()
	if _, err := c.service(addr).Read(ctx, connect.NewRequest(&placementv1.ReadRequest{Number: plan})); err != nil {
		c.Log.Debug().Str("lead", addr).Err(err).Msg(logPrefix + "The lead could not be told that a prompt was prefilled.")
	}
}
