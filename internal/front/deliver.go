package front

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/phuslu/log"
	"github.com/rotisserie/eris"

	"github.com/barleystep/barleystep"
	"github.com/barleystep/barleystep/internal/balance"
	"github.com/barleystep/barleystep/internal/budget"
	"github.com/barleystep/barleystep/internal/clock"
	"github.com/barleystep/barleystep/internal/conn"
	"github.com/barleystep/barleystep/internal/metric"
)

// deliver sends the request to a target and relays the answer. Where it is safe, it retries on
// another target or resumes a stream there.
type deliver struct {
	clock        barleystep.Clock
	protocol     barleystep.Protocol
	balancer     *balance.Balancer
	pool         *conn.Pool
	budget       *budget.Budget
	meter        *metric.Meter
	log          *log.Logger
	shutdown     *shutdown
	rand         func() float64
	limitHistory limitHistory
	answerTimes  answerTimes
	// buffered is the memory that buffered answers take, in bytes.
	buffered quota
	// instance tells the reservations of this process from those of other boxes, and reservations counts
	// its own.
	instance     string
	reservations atomic.Uint64
	// pendingReleases counts the ended tries whose reserved helper memory is still being released.
	pendingReleases atomic.Int64
	// pendingChecks counts the targets that broke off a request and are looked at again.
	pendingChecks atomic.Int64
}

const (
	// maxDials bounds the tries per request that fail before anything reaches a target; such tries
	// do not count as sends.
	maxDials = 4
	// noTargetRetryAfter is the Retry-After of a request that no target took.
	noTargetRetryAfter = 200 * time.Millisecond
	// fullRetryDivisor divides the time left until the deadline; the result is the Retry-After when
	// all targets are full and no time is known, and otherwise its upper bound. Callers ignore longer
	// delays and retry only once, and a later retry is more likely to come after the burst.
	fullRetryDivisor = 3
	// retryJitterDivisor is the divisor of the time until capacity is expected that gives the jitter
	// over which callers come back.
	retryJitterDivisor = 10
)

// result is the outcome of one try of a request.
type result uint8

const (
	// resultDone means that the caller has received a complete answer, good or bad.
	resultDone result = iota
	// resultNotSent means that nothing reached the target.
	resultNotSent
	// resultNotRun means that the target states that it did not run the request.
	resultNotRun
	// resultFailed means that the target answered with a failure of its own. The answer is kept to
	// be relayed later.
	resultFailed
	// resultBroken means that no complete answer arrived; the request may have run.
	resultBroken
)

// String returns the result's name for logs and metric attributes.
func (r result) String() string {
	return [...]string{"done", "not-sent", "not-run", "failed", "broken"}[r]
}

// Run makes tries until one ends the request.
func (d *deliver) Run(ctx context.Context, x *Exchange, next Next) error {
	ctx, cancel := withDeadline(ctx, d.clock, x)
	defer cancel()
	ctx, release := d.shutdown.withDeadline(ctx, 0)
	defer release()
	ctx, x.abort = context.WithCancelCause(ctx)
	defer x.abort(nil)
	defer func() { d.buffered.give(x.buffered) }()
	d.budget.CountRequest(x.service)
	x.firstTry = d.limitHistory.firstTry(d.clock, x)
	job := d.job(x)
	var failed *try // failed is the last try whose target returned a complete failure of its own.
	for dials, tries := 0, 0; ; {
		queuedAt := d.clock.Now()
		x.progress.enter(PhaseWaiting, queuedAt)
		job.FirstEventDeadline = x.giveUpAt()
		placement, err := d.placeUnsuspected(ctx, x, &job)
		x.queued += d.clock.Now().Sub(queuedAt)
		if err != nil {
			return d.finish(ctx, x, failed, err)
		}
		tries++
		t := &try{stage: d, exchange: x, placement: placement, number: tries, isolated: job.EndedTargets > 0}
		res, err := t.run(ctx)
		if res == resultDone {
			t.clear() // Comes first, since requests may wait for this trial.
		}
		placement.Done(t.report(ctx, res))
		if res == resultDone {
			d.answerTimes.note(d.clock.Now(), x, job.Cost)
			return next(ctx, x)
		}
		d.logFailedTry(x, t, res, err)
		t.recordEnds(ctx, res)
		t.updateJob(&job, res)
		if t.failure != nil {
			failed = t
		}
		if res == resultNotSent {
			dials++
		}
		if !d.shouldRetry(ctx, t, res, dials) {
			return d.finish(ctx, x, failed, err)
		}
		d.meter.AttemptRetried(res.String())
	}
}

// placeUnsuspected obtains a placement for the request, another one if it became a suspect while it
// waited for the first, or was one and has been cleared.
func (d *deliver) placeUnsuspected(ctx context.Context, x *Exchange, job *balance.Job) (*balance.Placement, error) {
	for {
		p, err := d.place(ctx, x, job)
		job.Replacement = job.Replacement || err == nil // Any later placement replaces this one.
		switch {
		case eris.Is(err, balance.ErrSuspectCleared):
			d.awaitCleared(ctx, x, job)
		case err != nil || !d.becameSuspect(x, job):
			return p, err
		default:
			p.Cancel()
		}
	}
}

// place obtains a placement for the request. It returns errStopping as soon as it is known that the
// answer may not be complete before the box shuts down.
func (d *deliver) place(ctx context.Context, x *Exchange, job *balance.Job) (*balance.Placement, error) {
	if err := d.checkSuspect(x, job); err != nil {
		return nil, err
	}
	needed := d.timeNeeded(x, *job, job.MinTTFT(), 1)
	if d.shutdown.endsWithin(needed) {
		return nil, errStopping
	}
	ctx, release := d.shutdown.withDeadline(ctx, needed)
	defer release()
	p, err := d.requestPlacement(ctx, x, *job)
	switch {
	case err != nil && eris.Is(context.Cause(ctx), errStopping):
		return nil, errStopping
	case err != nil:
		return nil, err
	case d.isTooLate(x, p):
		p.Cancel()
		return nil, errStopping
	}
	return p, nil
}

// isTooLate reports whether the box may shut down before the answer of the placement is complete.
func (d *deliver) isTooLate(x *Exchange, p *balance.Placement) bool {
	return d.shutdown.hasBegun() && d.shutdown.endsWithin(d.timeNeeded(x, d.job(x), p.ExpectedTTFT(), p.Slowness()))
}

const (
	// ttftFactor multiplies the expected time to the first event and ttftMargin is added to it: one
	// first event in twenty comes later than that.
	ttftFactor = 2
	ttftMargin = 150 * time.Millisecond
)

// timeNeeded returns how long an answer with the expected time to the first event may take on targets
// that are slower than others by the factor. A stream that has begun is resumed wherever it can go on
// before the box shuts down: it may be nearly complete, and its caller must otherwise resume it on
// another box. For the same reason a mean answer decides where a target may have run the request,
// which can't be refused as not run, and nothing does where the mean isn't known.
func (d *deliver) timeNeeded(x *Exchange, job balance.Job, ttft time.Duration, slowness float64) time.Duration {
	switch {
	case x.answer.HeadSent(), x.mayHaveRun && job.Cost == nil:
		return ttft
	case x.mayHaveRun:
		return ttft + d.answerTimes.meanDecodeTime(d.clock.Now(), job)
	case job.Cost == nil:
		return d.answerTimes.answerTime(d.clock.Now(), x.route)
	default:
		decode := time.Duration(slowness * float64(d.answerTimes.decodeTime(d.clock.Now(), job)))
		return ttftFactor*ttft + ttftMargin + decode
	}
}

// requestPlacement asks the balancer for a placement. A request that may have run cannot be refused
// as not run, and a begun stream would be cut off. While all targets are full, it therefore asks
// again for such a request until ctx ends.
func (d *deliver) requestPlacement(ctx context.Context, x *Exchange, job balance.Job) (p *balance.Placement, err error) {
	arrival := d.clock.Now()
	for {
		p, err = d.balancer.Place(ctx, job)
		if !x.mayHaveRun || !eris.Is(err, balance.ErrFull) || !clock.Sleep(ctx, d.clock, claimRetryInterval) {
			return p, err
		}
		job.Arrival = arrival // The arrival stays the same, so that the wait and the demand are counted once.
	}
}

// updateJob excludes what made the try fail from the next one: the blamed helper, or else the
// target. If the blamed helper is in another hall, helpers are restricted to the target's hall,
// since other helpers there are probably unreachable too. If the target did not run the request and
// it is not known which helper is to blame, the next try uses no helpers.
func (t *try) updateJob(job *balance.Job, res result) {
	job.Avoid = append(job.Avoid, t.unreachable...)
	if t.needsPlacement {
		return
	}
	if t.blamed != "" {
		job.Avoid = append(job.Avoid, t.blamed)
		job.LocalHelpers = job.LocalHelpers || t.blamedInOtherHall()
		return
	}
	job.Avoid = append(job.Avoid, t.placement.Target.ID)
	job.NoHelpers = job.NoHelpers || (res == resultNotRun && len(t.placement.Helpers) > 0)
}

func (d *deliver) job(x *Exchange) balance.Job {
	j := balance.Job{
		RequestID:    x.call.RequestID,
		Service:      x.service,
		PromptTokens: x.call.PromptTokens,
		OutputTokens: x.call.MaxOutputTokens,
		Objective:    x.route.Objective,
		Account:      x.account,
		Priority:     x.priority,
		FirstArrival: x.firstTry,
		CallerRetry:  x.firstTry.Before(x.started),
	}
	if s := x.view.Service(x.service); s != nil {
		j.Cost = s.Cost
		j.ColdLimit = s.ColdLimit
		j.MaxPause = x.view.MaxPause(x.service)
	}
	return j
}

// shouldRetry reports whether the request is tried again.
func (d *deliver) shouldRetry(ctx context.Context, t *try, res result, dials int) bool {
	x := t.exchange
	if ctx.Err() != nil {
		return false
	}
	if res == resultNotSent && dials < maxDials {
		return true
	}
	if x.sends >= x.route.MaxTries {
		return false
	}
	if x.mayHaveRun && !x.route.Repeatable() {
		return false
	}
	if x.answer.HeadSent() && (!x.cursor.IsSet() || !x.route.Resumable) {
		return false
	}
	return t.retryPaid.Load() || d.budget.AllowRetry(x.service)
}

// finish ends a request that is not tried again. A complete failure from a target is relayed
// unchanged, even if later tries failed in other ways. A stream that has ended as far as its target
// tells is complete if no other target could be asked.
func (d *deliver) finish(ctx context.Context, x *Exchange, failed *try, err error) error {
	outcome := barleystep.OutcomeNotRun
	if x.mayHaveRun {
		outcome = barleystep.OutcomeUnknown
	}
	if eris.Is(err, balance.ErrSuspectRefused) || eris.Is(context.Cause(ctx), balance.ErrSuspectRefused) {
		return d.suspectRefusal(x, outcome)
	}
	end := d.endReasonOf(ctx, err)
	switch {
	case end == endCallerGone:
		return barleystep.NewRefusal(barleystep.ReasonCallerGone, outcome, "The caller went away.")
	case x.endedWhole:
		return nil
	case failed != nil && !x.answer.HeadSent():
		failed.sendAnswer(failed.failure)
		return nil
	default:
		return d.refusal(x, end, outcome, err)
	}
}

// refusal returns the refusal of a request for which there is no answer.
func (d *deliver) refusal(x *Exchange, end endReason, outcome barleystep.Outcome, err error) error {
	switch {
	case end == endDeadline:
		return barleystep.NewRefusal(barleystep.ReasonDeadline, outcome, "The time limit was reached.")
	case end == endShutdown && x.mayHaveRun:
		return barleystep.NewRefusal(barleystep.ReasonStopping, outcome, "The box stopped before the target had answered.")
	case end == endShutdown:
		return stoppingRefusal()
	case !x.mayHaveRun:
		return d.unservedRefusal(x, err)
	default:
		return barleystep.NewRefusal(barleystep.ReasonTargetFailed, outcome, "The target did not answer: "+errorText(err)+".")
	}
}

// endReason is a cause other than its targets that ended a request.
type endReason uint8

const (
	// endNone means that there is no such cause.
	endNone endReason = iota
	// endCallerGone means that the caller disconnected, endDeadline that the deadline passed, and
	// endShutdown that the box shut down.
	endCallerGone
	endDeadline
	endShutdown
)

// endReasonOf derives the end reason from the context and the last error. After the shutdown has
// ended all requests, a caller that seems to be gone may be one whose connection the box no longer
// reads, so the request is answered.
func (d *deliver) endReasonOf(ctx context.Context, err error) endReason {
	cause := context.Cause(ctx)
	switch {
	case eris.Is(err, errStopping), eris.Is(cause, errStopping):
		return endShutdown
	case eris.Is(cause, context.DeadlineExceeded):
		return endDeadline
	case cause != nil && d.shutdown.endsWithin(0):
		return endShutdown
	case cause != nil:
		return endCallerGone
	default:
		return endNone
	}
}

// unservedRefusal returns the refusal of a request that no target has run: it cannot meet its
// deadline, or the caller may retry.
func (d *deliver) unservedRefusal(x *Exchange, err error) *barleystep.Refusal {
	x.passedOver = d.balancer.DecliningTargets(x.service)
	switch {
	case eris.Is(err, balance.ErrCannotMeetDeadline):
		return notRunRefusal(barleystep.ReasonDeadlineCannotBeMet, "No target could answer in the time that is left.", 0)
	case eris.Is(err, balance.ErrFull):
		return notRunRefusal(barleystep.ReasonQueueFull, "All targets are full.", d.retryAfterFull(x, err))
	default:
		return notRunRefusal(barleystep.ReasonNoTarget, "No target took the request.", noTargetRetryAfter)
	}
}

// retryAfterFull returns the Retry-After of a request that was refused because all targets are full.
// Where they all rest, it is at least until the first of them has rested, since before they refuse
// everything.
func (d *deliver) retryAfterFull(x *Exchange, err error) time.Duration {
	now := d.clock.Now()
	after := x.retryAfter(now)
	if capacityAfter, ok := balance.RefusedUntil(err); ok {
		x.capacityAfter = capacityAfter
		after = x.retryAfterCapacity(now, capacityAfter, d.rand())
	}
	return max(after, d.balancer.RestRemaining(d.job(x)))
}

func errorText(err error) string {
	if err == nil {
		return "no target is left"
	}
	return err.Error()
}

// logFailedTry logs a try that did not end the request.
func (d *deliver) logFailedTry(x *Exchange, t *try, res result, err error) {
	e := d.log.Warn().Str("request", x.call.RequestID).Str("target", string(t.placement.Target.ID)).
		Str("result", res.String()).Str("blamed", string(t.blamed)).Int("send", x.sends).Int("status", t.head.Status()).
		Bool("sealed", t.head.Sealed()).Int("skipped", t.skippedAnswers).Bool("begun", x.answer.HeadSent()).Str("last_event", x.cursor.ID()).
		Bool("unframed", x.unframed).Int("dropped_events", x.droppedEvents)
	if err != nil {
		e.Str("error", err.Error())
	}
	e.Dur("took", d.clock.Now().Sub(t.started)).Msg(logPrefix + "A try failed.")
}
