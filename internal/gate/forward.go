package gate

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/rotisserie/eris"

	"github.com/barleystep/barleystep"
	"github.com/barleystep/barleystep/internal/config"
	"github.com/barleystep/barleystep/internal/metric"
)

// HeaderForwarded marks a request that came from a box of another hall. It goes
// no further.
const HeaderForwarded = "Barleystep-Forwarded"

// Forwarder sends requests to boxes of other halls. Implementations are safe for
// concurrent use.
type Forwarder interface {
	// Forward sends the request to a box of one of the halls. It returns
	// barleystep.ErrNotStarted if the request cannot have reached any.
	Forward(ctx context.Context, halls []string, r *http.Request, body []byte) (*http.Response, error)
}

// forward passes a request on to another hall, one hop at most, when this hall
// has no room for it. It stands around the claim, which is given back before.
type forward struct {
	forwarder Forwarder
	hall      string
	clock     barleystep.Clock
	meter     *metric.Meter
}

// forwardable are the reasons for which another hall may do better.
var forwardable = map[barleystep.Reason]bool{
	barleystep.ReasonNoTarget:  true,
	barleystep.ReasonQueueFull: true,
}

// Run runs the rest here, and elsewhere if it was not run here for want of room.
func (f *forward) Run(ctx context.Context, x *Exchange, next Next) error {
	err := next(ctx, x)
	if err == nil || f.forwarder == nil || !f.canForward(x, err) {
		return err
	}
	halls := f.halls(x)
	if len(halls) == 0 {
		return err
	}
	f.meter.AttemptRetried("other_hall")
	resp, forwardErr := f.forwarder.Forward(ctx, halls, f.request(x), x.prompt.body)
	if eris.Is(forwardErr, barleystep.ErrNotStarted) {
		return err
	}
	if forwardErr != nil {
		return f.lostRefusal(ctx, x)
	}
	defer resp.Body.Close()
	if resp.Header.Get(HeaderOutcome) == barleystep.OutcomeNotRun.String() {
		return err
	}
	return f.relayResponse(ctx, x, resp)
}

func (f *forward) canForward(x *Exchange, err error) bool {
	r := barleystep.AsRefusal(err)
	firstHop := x.r.Header.Get(HeaderForwarded) == ""
	return firstHop && forwardable[r.Reason()] && r.Outcome() == barleystep.OutcomeNotRun && !x.answer.started
}

// halls returns the other halls that have targets for the request.
func (f *forward) halls(x *Exchange) []string {
	seen := make(map[string]bool)
	var halls []string
	targets := x.view.Targets(func(t config.Target) bool {
		serves := t.Model == x.prompt.model && t.Service == x.service
		return serves && t.Hall != f.hall && !t.Drain
	})
	for _, t := range targets {
		if !seen[t.Hall] {
			seen[t.Hall] = true
			halls = append(halls, t.Hall)
		}
	}
	return halls
}

// request returns the request as the other box gets it, with the time that is
// left.
func (f *forward) request(x *Exchange) *http.Request {
	r := x.r.Clone(x.r.Context())
	r.Header.Set(HeaderForwarded, f.hall)
	left := x.deadline.Sub(f.clock.Now())
	left -= min(left/4, maxMargin)
	r.Header.Set(HeaderTimeLimit, left.Truncate(time.Millisecond).String())
	return r
}

// longestMargin bounds how much earlier the other box gives up, so that its word
// on the outcome arrives in time.
const maxMargin = 500 * time.Millisecond

// lost is a request that may have been run by the other box.
func (f *forward) lostRefusal(ctx context.Context, x *Exchange) error {
	outcome := barleystep.OutcomeFailed
	if !x.repeatable {
		outcome = barleystep.OutcomeUnknown
	}
	if ctx.Err() != nil {
		return interrupted(ctx, outcome)
	}
	return barleystep.NewRefusal(barleystep.ReasonTargetFailed, outcome, "The other hall did not answer.")
}

// pass relays the other box's answer as it is. The caller sees its outcome.
func (f *forward) relayResponse(ctx context.Context, x *Exchange, resp *http.Response) error {
	x.answer.started = true
	x.answer.stream = isStream(resp.Header.Get("Content-Type"))
	h := x.w.Header()
	for _, name := range []string{"Content-Type", "Retry-After", HeaderOutcome, HeaderReason, HeaderConfig, HeaderRequest} {
		if v := resp.Header.Get(name); v != "" {
			h.Set(name, v)
		}
	}
	if x.answer.stream {
		h.Set("Trailer", HeaderOutcome)
	}
	x.w.WriteHeader(resp.StatusCode)
	if _, err := io.Copy(flushWriter{x.answer}, resp.Body); err != nil {
		return f.lostRefusal(ctx, x)
	}
	x.outcome = barleystep.OutcomeDone
	for _, text := range []string{resp.Header.Get(HeaderOutcome), resp.Trailer.Get(HeaderOutcome)} {
		if o, ok := barleystep.ParseOutcome(text); ok {
			x.outcome = o
		}
	}
	return nil
}

// flushing writes to the caller without holding anything back.
type flushWriter struct{ answer *answer }

// Write writes and flushes.
func (w flushWriter) Write(p []byte) (int, error) {
	n, err := w.answer.w.Write(p)
	if err != nil {
		return n, err
	}
	return n, w.answer.controller.Flush()
}
