package gate

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/rotisserie/eris"

	"github.com/barleystep/barleystep"
	"github.com/barleystep/barleystep/internal/config"
	"github.com/barleystep/barleystep/internal/conn"
	"github.com/barleystep/barleystep/internal/metric"
)

// HeaderForwarded marks a request that a box of another hall has forwarded. It is not forwarded
// again.
const HeaderForwarded = "Barleystep-Forwarded"

// Forwarder sends requests to boxes of other halls. Implementations are safe for concurrent use.
type Forwarder interface {
	// Forward sends the request to a box of one of the halls. It returns
	// barleystep.ErrNotStarted if the request cannot have reached a box.
	Forward(ctx context.Context, halls []string, r *http.Request, body []byte) (*http.Response, error)
}

// forward sends a request to another hall, at most one hop, if this hall has no capacity for it.
// It runs outside the claim stage, so that the claim is released first.
type forward struct {
	forwarder Forwarder
	hall      string
	clock     barleystep.Clock
	meter     *metric.Meter
}

// forwardable holds the reasons for refusal that another hall may not have.
var forwardable = map[barleystep.Reason]bool{
	barleystep.ReasonNoTarget:  true,
	barleystep.ReasonQueueFull: true,
}

// Run runs the later stages, and forwards the request if they did not run it for lack of capacity.
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
	if !conn.IsFinalStatus(resp.StatusCode) {
		return f.lostRefusal(ctx, x)
	}
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

// halls returns the other halls that have targets for the request, without duplicates.
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

// request returns the request to forward. Its time limit is the remaining time less a margin of a
// quarter, at most maxMargin.
func (f *forward) request(x *Exchange) *http.Request {
	r := x.r.Clone(x.r.Context())
	r.Header.Set(HeaderForwarded, f.hall)
	left := x.deadline.Sub(f.clock.Now())
	left -= min(left/4, maxMargin)
	r.Header.Set(HeaderTimeLimit, left.Truncate(time.Millisecond).String())
	return r
}

// maxMargin bounds how much earlier the other box's deadline is, so that its outcome arrives in
// time.
const maxMargin = 500 * time.Millisecond

// lostRefusal returns the refusal for a request that the other box may have run.
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

// relayResponse copies the other box's response, with its outcome, to the caller.
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
	if _, err := io.Copy(flushWriter{x.answer}, resp.Body); err != nil { //nolint:forbidigo // It keeps one buffer.
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

// flushWriter writes to the caller and flushes after each write.
type flushWriter struct{ answer *answer }

// Write writes p and flushes it.
func (w flushWriter) Write(p []byte) (int, error) {
	n, err := w.answer.w.Write(p)
	if err != nil {
		return n, err
	}
	return n, w.answer.controller.Flush()
}
