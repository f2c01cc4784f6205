package balance

import (
	"cmp"
	"context"
	"slices"
	"time"

	"github.com/rotisserie/eris"

	"github.com/barleystep/barleystep/internal/clock"
	"github.com/barleystep/barleystep/internal/suspect"
)

// QueuedJob is a job that waits to be placed.
type QueuedJob struct {
	job      Job
	deadline time.Time
	// ready receives the placement; its buffer of one keeps the sender from blocking. It is closed
	// if the job fails, and err is then why.
	ready     chan *Placement
	err       error
	cancelled bool
	// held is why it could not be placed the last time.
	held holdReason
	// lag is by how much prompts of its size class are served less often than others.
	lag float64
	// share is the share of its account and late is set if it cannot be in time, as of the last
	// time that accounts were compared. Then overShare is set if it goes behind others by its share,
	// and aheadByShare if others do. overSince is when it was first over its share.
	share        float64
	late         bool
	overShare    bool
	aheadByShare bool
	overSince    time.Time
}

const (
	// shortTTFT is the approximate time to the first event of a short prompt on an engine with free
	// slots.
	shortTTFT = 110 * time.Millisecond
	// maxWaitObjectives is how many objectives a prompt waits before it is refused, a long one only
	// on its caller's last try. minWait is the least wait. Callers of streams give up after four
	// objectives, and after two seconds at the earliest.
	maxWaitObjectives = 3
	minWait           = 1500 * time.Millisecond
	// minLongWaitDivisor is the divisor of the objective that gives the least wait of a long prompt.
	minLongWaitDivisor = 8
	// newsShareDivisor is the divisor for the part of the waiting jobs that a box places at once on
	// news of free slots: all boxes see the same slots.
	newsShareDivisor = 4
)

// enqueue queues the job, unless its deadline has already passed.
func (b *Balancer) enqueue(j Job, h holdReason) (p *Placement, w *QueuedJob, err error) {
	w = &QueuedJob{job: j, deadline: b.waitDeadline(j), ready: make(chan *Placement, 1), held: h}
	if !b.canBePlaced(w) {
		b.logTimedOut(w)
		return nil, nil, b.refusal(w)
	}
	b.noteShareWait(j)
	q := b.queueFor(j, h)
	*q = append(*q, w)
	return nil, w, nil
}

// canBePlaced reports whether a job has time left and, if it waits for rate limits, whether these
// have room in that time.
func (b *Balancer) canBePlaced(w *QueuedJob) bool {
	left := w.deadline.Sub(b.Clock.Now())
	if left <= 0 || w.held != holdLimit {
		return left > 0
	}
	delay, possible := b.minLimitDelay(w.job)
	return possible && delay < left
}

// queueFor returns the queue for jobs like this one, held for the given reason. Jobs of one queue
// need the same kind of slot: if the first finds none, neither do the others.
func (b *Balancer) queueFor(j Job, h holdReason) *[]*QueuedJob {
	switch {
	case j.isSuspect():
		return &b.trialQueue
	case h == holdLimit:
		return &b.limitQueue
	case IsLongPrompt(j):
		return &b.longQueue
	default:
		return &b.shortQueue
	}
}

// await waits for the placement.
func (b *Balancer) await(ctx context.Context, w *QueuedJob) (p *Placement, err error) {
	return b.awaitUntil(ctx, w, w.Deadline())
}

func (b *Balancer) awaitUntil(ctx context.Context, w *QueuedJob, until time.Time) (p *Placement, err error) {
	ctx, cancel := clock.WithDeadline(ctx, b.Clock, until)
	defer cancel()
	select {
	case p = <-w.ready:
		return w.received(p)
	case <-ctx.Done():
		return b.Abandon(w)
	}
}

// Ready returns the channel that receives the placement. It is closed if the job fails.
func (w *QueuedJob) Ready() <-chan *Placement { return w.ready }

// Err returns why the job has failed: ErrNoTarget if no target is left that may take it, or an
// ErrFull if it is refused. It is valid once Ready is closed.
func (w *QueuedJob) Err() error { return w.err }

// fail ends the wait of a job with an error.
func (w *QueuedJob) fail(err error) {
	w.err = err
	close(w.ready)
}

// received returns the result of a wait: the placement from Ready, or why that was closed.
func (w *QueuedJob) received(p *Placement) (*Placement, error) {
	if p == nil {
		return nil, w.err
	}
	return p, nil
}

// Deadline returns when the job is to be abandoned.
func (w *QueuedJob) Deadline() time.Time { return w.deadline }

// waitDeadline returns until when a job may wait: while it is likely enough to meet its objective,
// or to be answered at all, and while the caller would still be there.
func (b *Balancer) waitDeadline(j Job) time.Time {
	until := j.Arrival.Add(max(maxWaitObjectives*j.Objective, minWait))
	if IsLongPrompt(j) && !j.CallerRetry {
		until = j.firstTryDeadline()
	}
	if j.FirstEventDeadline.IsZero() {
		return until
	}
	if latest := j.FirstEventDeadline.Add(-j.MinTTFT()); latest.Before(until) {
		return latest
	}
	return until
}

// firstTryDeadline returns until when a long prompt waits on its caller's first try: while it can be
// in time. Its caller is then told to come back, and waits for longer on that last try.
func (j Job) firstTryDeadline() time.Time {
	until := j.firstArrival().Add(j.Objective - j.MinTTFT())
	if least := j.Arrival.Add(j.Objective / minLongWaitDivisor); until.Before(least) {
		return least
	}
	return until
}

// Abandon ends a wait. It returns ErrFull, with a time if the job has timed out, or the result of the
// wait if that has just arrived.
func (b *Balancer) Abandon(w *QueuedJob) (p *Placement, err error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	w.cancelled = true
	select {
	case p = <-w.ready:
		return w.received(p)
	default:
		if !b.Clock.Now().Before(w.deadline) {
			b.logTimedOut(w)
			return nil, b.refusal(w)
		}
		return nil, ErrFull
	}
}

// logTimedOut logs that a long prompt has timed out waiting for engines, and for what it waited.
func (b *Balancer) logTimedOut(w *QueuedJob) {
	b.noteShareOutcome(w, false)
	if b.Log == nil || !IsLongPrompt(w.job) {
		return
	}
	d := b.demand(w.job.Service)
	b.Log.Info().Str("request", w.job.RequestID).Int("prompt", w.job.PromptTokens).Bool("over_memory", isOversized(w.job)).
		Dur("waited", b.Clock.Now().Sub(w.job.Arrival)).Dur("since_first_try", b.waited(w.job)).
		Str("held", w.held.String()).Float64("lag", b.lag(w.job)).Int("waiting", len(b.longQueue)).
		Float64("demand_short", d.Short).Float64("demand_long", d.Long).
		Msg(logPrefix + "A long prompt timed out waiting for engines.")
}

// MinTTFT returns the approximate time to the job's first event if all engines that may help are
// idle.
func (j Job) MinTTFT() time.Duration {
	switch {
	case j.Cost == nil:
		return 0
	case !IsLongPrompt(j):
		return j.Cost.Prefill(j.PromptTokens) + j.Cost.Pass()
	default:
		return j.Cost.Prefill(j.PromptTokens)/(maxHelpers+1) + j.Cost.Pass()
	}
}

// DecodeTime returns the approximate time from the first to the last event of the job's answer,
// zero if unknown.
func (j Job) DecodeTime() time.Duration {
	if j.Cost == nil {
		return 0
	}
	return j.Cost.Decode()
}

// MinTotalTime returns the approximate time to the job's last event if all engines that may help
// are idle, zero if unknown.
func (j Job) MinTotalTime() time.Duration { return j.MinTTFT() + j.DecodeTime() }

// cannotMeetDeadline reports whether the job's caller would give up before the first event even on
// idle engines.
func (b *Balancer) cannotMeetDeadline(j Job) bool {
	return !j.FirstEventDeadline.IsZero() && b.Clock.Now().Add(j.MinTTFT()).After(j.FirstEventDeadline)
}

// serveQueues places queued jobs as far as there is room. On news from peers, all boxes have seen
// the same slots become free, so each places only a part of its short prompts. Long ones wait at
// one box.
func (b *Balancer) serveQueues(fromPeers bool) {
	shorts := len(b.shortQueue)
	if fromPeers {
		shorts = (shorts + newsShareDivisor - 1) / newsShareDivisor
	}
	b.serveQueue(&b.shortQueue, shorts)
	b.planLongQueue()
	serveInOrder(b, &b.limitQueue, func(j Job) string { return j.Service })
	b.releaseCleared()
	serveInOrder(b, &b.trialQueue, func(j Job) suspect.Digest { return j.Suspect })
}

// serveInOrder places jobs in order of arrival. Jobs of one group wait for the same resource: after
// one that cannot be placed, the others of its group are not tried.
func serveInOrder[G comparable](b *Balancer, q *[]*QueuedJob, group func(j Job) G) {
	var left []*QueuedJob
	full := make(map[G]bool)
	for _, w := range *q {
		if w.cancelled {
			continue
		}
		g := group(w.job)
		if full[g] || !b.serve(w) {
			full[g] = true
			left = append(left, w)
		}
	}
	*q = left
}

// serveQueue places at most the given number of queued jobs in order. Where one cannot be placed,
// neither can those behind it.
func (b *Balancer) serveQueue(q *[]*QueuedJob, most int) {
	for ; most > 0; most-- {
		b.markShares(*q)
		w := b.popNext(q)
		if w == nil {
			return
		}
		if !b.serve(w) {
			setHeld(*q, holdBehind)
			*q = append(*q, w)
			return
		}
	}
}

// setHeld notes why none of the jobs was tried.
func setHeld(q []*QueuedJob, h holdReason) {
	for _, w := range q {
		w.held = h
	}
}

// serve places a queued job, or fails it if no target is left that may take it; it reports false if
// the job goes on waiting.
func (b *Balancer) serve(w *QueuedJob) bool {
	p, h, err := b.placeNow(w.job)
	if eris.Is(err, ErrNoTarget) {
		w.fail(ErrNoTarget)
		return true
	}
	if err != nil || p == nil {
		w.held = h
		return false
	}
	w.ready <- p
	b.noteShareOutcome(w, true)
	return true
}

// popNext takes the next job off the queue. It is one of the best priority and, among these, the
// latest short prompt that can still be in time, since earlier ones are more likely to be late;
// otherwise the one that has waited longest.
func (b *Balancer) popNext(q *[]*QueuedJob) *QueuedJob {
	now := b.Clock.Now()
	kept := slices.DeleteFunc(*q, func(w *QueuedJob) bool { return w.cancelled })
	*q = kept
	if len(kept) == 0 {
		return nil
	}
	next := 0
	for i, w := range kept {
		if w.goesBefore(kept[next], now) {
			next = i
		}
	}
	w := kept[next]
	w.job.reservedSlots = 0
	if !w.canBeInTime(now) {
		w.job.reservedSlots = lateReservedSlots
	}
	*q = slices.Delete(kept, next, next+1)
	return w
}

// canBeInTime reports whether a job that is placed now can still meet its objective.
func (w *QueuedJob) canBeInTime(now time.Time) bool {
	return now.Sub(w.job.firstArrival()) < w.job.Objective-shortTTFT
}

// goesBefore reports whether the job goes before another one.
func (w *QueuedJob) goesBefore(o *QueuedJob, now time.Time) bool {
	if order := cmp.Or(cmp.Compare(w.job.Priority, o.job.Priority), shareOrder(w, o)); order != 0 {
		return order < 0
	}
	if IsLongPrompt(w.job) && IsLongPrompt(o.job) {
		return w.longGoesBefore(o, now)
	}
	fresh, otherFresh := w.canBeInTime(now) && !IsLongPrompt(w.job), o.canBeInTime(now) && !IsLongPrompt(o.job)
	switch {
	case fresh != otherFresh:
		return fresh
	case fresh:
		return w.job.Arrival.After(o.job.Arrival)
	default:
		return w.job.Arrival.Before(o.job.Arrival)
	}
}

// longGoesBefore reports whether a long prompt goes before another: the size class that lags most
// goes first, then prompts that can still be in time, and among these the shortest.
func (w *QueuedJob) longGoesBefore(o *QueuedJob, now time.Time) bool {
	if w.lag != o.lag {
		return w.lag > o.lag
	}
	isFeasible, otherFeasible := w.isFeasible(now), o.isFeasible(now)
	if isFeasible != otherFeasible {
		return isFeasible
	}
	return w.job.PromptTokens < o.job.PromptTokens
}

// isFeasible reports whether a long prompt that is placed now can meet its objective.
func (w *QueuedJob) isFeasible(now time.Time) bool {
	read := w.job.Cost.Prefill(w.job.PromptTokens) / maxHelpers
	return now.Add(read + w.job.Cost.Pass()).Before(w.job.firstArrival().Add(w.job.Objective))
}
