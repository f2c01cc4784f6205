package gate

import (
	"context"
	"time"

	"github.com/rotisserie/eris"

	"github.com/barleystep/barleystep"
	"github.com/barleystep/barleystep/internal/capacity"
	"github.com/barleystep/barleystep/internal/clock"
	"github.com/barleystep/barleystep/internal/identity"
	"github.com/barleystep/barleystep/internal/metric"
)

// attempt acquires targets for the request, sends it, and retries where that is safe.
type attempt struct {
	clock     barleystep.Clock
	ids       *identity.Generator
	allocator barleystep.Allocator
	dispatch  *dispatch
	canceller *Canceller
	estimator *Estimator
	meter     *metric.Meter
}

const (
	maxTries = 6
	// firstBackoff is the wait before the first retry; it doubles with each retry.
	firstBackoff = 20 * time.Millisecond
)

// Run makes up to maxTries attempts, until one succeeds or fails for good.
func (a *attempt) Run(ctx context.Context, x *Exchange, next Next) error {
	d := a.demand(x)
	var last error
	for try := range maxTries {
		d.Attempt = a.ids.NextAttempt()
		err := a.tryOnce(ctx, x, d)
		if err == nil {
			return next(ctx, x)
		}
		last = err
		var retry *retryError
		if !eris.As(err, &retry) {
			return a.refusalFor(ctx, x, err)
		}
		a.meter.AttemptRetried(string(retry.reason))
		d.FailedTargets = append(d.FailedTargets, retry.target)
		if !clock.Sleep(ctx, a.clock, firstBackoff<<try) {
			return a.refusalFor(ctx, x, ctx.Err())
		}
	}
	return a.refusalFor(ctx, x, last)
}

func (a *attempt) demand(x *Exchange) barleystep.Demand {
	d := barleystep.Demand{
		Account:         x.account.Name,
		Class:           x.class.Name,
		Model:           x.prompt.model,
		PromptTokens:    x.prompt.tokens,
		MaxOutputTokens: x.prompt.maxOutput,
		AdmittedAt:      x.started,
		Deadline:        x.deadline,
		PrefixHashes:    x.prompt.prefix,
	}
	if x.isService() {
		d.Model = capacity.ServicePoolName(x.service)
		d.MaxOutputTokens = 1
	}
	return d
}

// retryError is the error of an attempt that may be retried on another target.
type retryError struct {
	reason barleystep.Reason
	target barleystep.TargetID
	cause  error
}

// Error returns the text of the cause.
func (e *retryError) Error() string { return e.cause.Error() }

// tryOnce makes one attempt. It returns a retryError if the request may be retried.
func (a *attempt) tryOnce(ctx context.Context, x *Exchange, d barleystep.Demand) (err error) {
	allocation, err := a.allocator.Acquire(ctx, d)
	if err != nil {
		return err
	}
	r := &relay{
		dispatcher: a.dispatch,
		exchange:   x,
		allocation: allocation,
		id:         d.Attempt,
	}
	defer func() { allocation.Release(r.usage) }()
	if err = r.run(ctx); err == nil {
		r.usage.Outcome = barleystep.OutcomeDone
		x.attemptOutcome = barleystep.OutcomeDone
		a.estimator.Observe(x.prompt.model, x.prompt.textBytes, r.usage.PromptTokens)
		return nil
	}
	if ctx.Err() == nil {
		r.usage.Outcome = barleystep.OutcomeFailed
	}
	return a.classifyFailure(x, r, err)
}

// classifyFailure sets the request's outcome after a failed attempt, and returns a retryError if
// the request may be retried.
func (a *attempt) classifyFailure(x *Exchange, r *relay, err error) error {
	target := r.allocation.Target()
	if eris.Is(err, barleystep.ErrNotStarted) {
		r.usage.AtCapacity = true
		return &retryError{barleystep.ReasonTargetRefused, target, err}
	}
	for _, id := range r.allocation.Group() {
		a.canceller.Enqueue(id, r.id)
	}
	if !x.repeatable {
		x.attemptOutcome = barleystep.OutcomeUnknown
		return err
	}
	x.attemptOutcome = barleystep.OutcomeFailed
	if x.answer.events > 0 || x.answer.started {
		return err
	}
	return &retryError{reasonOf(err), target, err}
}

func reasonOf(err error) barleystep.Reason {
	switch {
	case eris.Is(err, barleystep.ErrBrokenStream):
		return barleystep.ReasonBrokenStream
	case eris.Is(err, barleystep.ErrWrongAttempt):
		return barleystep.ReasonWrongAttempt
	default:
		return barleystep.ReasonTargetFailed
	}
}

// refusalFor converts the last error into a refusal with the outcome of the attempts.
func (a *attempt) refusalFor(ctx context.Context, x *Exchange, err error) error {
	outcome := x.attemptOutcome
	if outcome == barleystep.OutcomePending {
		outcome = barleystep.OutcomeNotRun
	}
	var refusal *barleystep.Refusal
	if eris.As(err, &refusal) {
		return refusal.WithOutcome(outcome)
	}
	if ctx.Err() != nil {
		return interrupted(ctx, outcome)
	}
	var retry *retryError
	if eris.As(err, &retry) {
		err = retry.cause
	}
	if eris.Is(err, barleystep.ErrNotStarted) {
		return barleystep.NewRefusal(barleystep.ReasonNoTarget, outcome, "No target took the request.").
			WithRetryAfter(time.Second)
	}
	return barleystep.NewRefusal(reasonOf(err), outcome, "The target failed before the answer was whole.")
}

// interrupted returns the refusal for a request whose context is done.
func interrupted(ctx context.Context, outcome barleystep.Outcome) error {
	switch cause := context.Cause(ctx); {
	case eris.Is(cause, errShuttingDown):
		return barleystep.NewRefusal(barleystep.ReasonStopping, outcome, "The box is stopping.").WithRetryAfter(shutdownRetryAfter)
	case eris.Is(cause, context.DeadlineExceeded):
		return barleystep.NewRefusal(barleystep.ReasonDeadline, outcome, "The time limit was reached.")
	default:
		return barleystep.NewRefusal(barleystep.ReasonCallerGone, outcome, "The caller went away.")
	}
}

// shutdownRetryAfter is the Retry-After of a box that shuts down; another box serves the retry.
const shutdownRetryAfter = time.Second
