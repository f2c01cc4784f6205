package balance

import (
	"context"
	"slices"
	"time"

	"github.com/barleystep/barleystep/internal/clock"
	"github.com/barleystep/barleystep/internal/suspect"
)

// Wait is a job that waits for a place.
type QueuedJob struct {
	job      Job
	deadline time.Time
	// ready gets the placement; it holds one, so that nobody waits to send.
	ready     chan *Placement
	cancelled bool
	// held is why it was given no place the last time.
	held holdReason
	// lag is by how much prompts of its size are served less often than others.
	lag float64
}

const (
	// answerTime is about how long an engine with free slots takes to the first
	// event of a short prompt.
	shortTTFT = 110 * time.Millisecond
	// patience is how many times its objective a prompt waits before it is given up, a long
	// one only where the engines are not crowded, and leastPatience how long at least.
	// Callers of streams give up after four times the objective, and after two seconds at
	// the earliest.
	maxWaitObjectives = 3
	minWait           = 1500 * time.Millisecond
	// waitPart is the part of its objective, from its caller's first try on, for which a
	// long prompt waits for crowded engines: the rest is for reading it.
	longWaitPart = 0.6
	// leastWaitPart is the part of its objective, as a divisor, for which a long prompt waits
	// at least, also one that comes back.
	minLongWaitDivisor = 8
	// soonPart is the part of the objective, as a divisor, within which a caller is told to
	// come back whose prompt is over an engine's memory, while there is time for it to be
	// served then.
	oversizedWaitDivisor = 4
	// drainUse is the part of the engines' time that callers ask for up to which these are
	// not crowded: what waits is rather served late than refused.
	uncrowdedUse = 0.8
	// shareDivisor is the part of the places seen free that a box takes at once:
	// all boxes see the same places.
	newsShareDivisor = 4
)

// enqueue has the job wait for a place, unless its wait is over already.
func (b *Balancer) enqueue(j Job, h holdReason) (p *Placement, w *QueuedJob, err error) {
	w = &QueuedJob{job: j, deadline: b.waitDeadline(j), ready: make(chan *Placement, 1), held: h}
	if !b.canBePlaced(w) {
		b.logTimedOut(w)
		return nil, nil, ErrFull
	}
	q := b.queueFor(j, h)
	*q = append(*q, w)
	return nil, w, nil
}

// mayComeToPass reports whether a wait has time left, and whether limits, where they are
// what it waits for, have room in that time.
func (b *Balancer) canBePlaced(w *QueuedJob) bool {
	left := w.deadline.Sub(b.Clock.Now())
	if left <= 0 || w.held != holdLimit {
		return left > 0
	}
	delay, ever := b.minLimitDelay(w.job)
	return ever && delay < left
}

// queue returns the queue for jobs like this one, which is held up by the given cause. Those
// of one queue need the same kind of place: if the first finds none, neither do the others.
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
		return p, nil
	case <-ctx.Done():
		return b.Abandon(w)
	}
}

// Ready returns the channel on which the placement comes.
func (w *QueuedJob) Ready() <-chan *Placement { return w.ready }

// Until returns when the wait is to be abandoned.
func (w *QueuedJob) Deadline() time.Time { return w.deadline }

// waitUntil returns until when a job may wait: while it is likely enough that the answer
// is in time, or comes at all, and while the caller would still be there for it.
func (b *Balancer) waitDeadline(j Job) time.Time {
	until := j.Arrival.Add(max(maxWaitObjectives*j.Objective, minWait))
	switch {
	case isOversized(j):
		until = j.oversizedDeadline()
	case IsLongPrompt(j) && !b.isUncrowded(j):
		until = j.crowdedDeadline()
	}
	if j.FirstEventDeadline.IsZero() {
		return until
	}
	if latest := j.FirstEventDeadline.Add(-j.minTTFT()); latest.Before(until) {
		return latest
	}
	return until
}

// drains reports whether callers ask for so little that prompts which wait are read
// soon, if late.
func (b *Balancer) isUncrowded(j Job) bool {
	d := b.demand(j.Service)
	return d.Short+d.Long < uncrowdedUse*float64(len(b.candidates(j)))
}

// hopeUntil is until when a long prompt waits in a crowd, by its lateness.
func (j Job) crowdedDeadline() time.Time {
	until := j.firstArrival().Add(time.Duration(longWaitPart * float64(j.Objective)))
	if least := j.Arrival.Add(j.Objective / minLongWaitDivisor); until.Before(least) {
		return least
	}
	return until
}

// lullUntil is until when a prompt over an engine's memory waits for engines that are idle
// enough. Its caller is told soon to come back, and has no third try: the second one waits
// for as long as it can be in time by itself.
func (j Job) oversizedDeadline() time.Time {
	if j.CallerRetry {
		return j.Arrival.Add(j.Objective - j.minTTFT())
	}
	return j.Arrival.Add(j.Objective / oversizedWaitDivisor)
}

// Abandon ends a wait. It returns ErrFull, or the placement if it has just come.
func (b *Balancer) Abandon(w *QueuedJob) (p *Placement, err error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	w.cancelled = true
	select {
	case p = <-w.ready:
		return p, nil
	default:
		if !b.Clock.Now().Before(w.deadline) {
			b.logTimedOut(w)
		}
		return nil, ErrFull
	}
}

// logInVain tells that a long prompt has waited for engines in vain, and what for.
func (b *Balancer) logTimedOut(w *QueuedJob) {
	if b.Log == nil || !IsLongPrompt(w.job) {
		return
	}
	d := b.demand(w.job.Service)
	b.Log.Info().Str("request", w.job.RequestID).Int("prompt", w.job.PromptTokens).Bool("over_memory", isOversized(w.job)).
		Dur("waited", b.Clock.Now().Sub(w.job.Arrival)).Dur("since_first_try", b.waited(w.job)).
		Str("held", w.held.String()).Float64("lag", b.lag(w.job)).Int("waiting", len(b.longQueue)).
		Float64("demand_short", d.Short).Float64("demand_long", d.Long).
		Msg(logPrefix + "A long prompt has waited for engines in vain.")
}

// leastTime is about how long the job takes to its first event where all engines that
// may help it are idle.
func (j Job) minTTFT() time.Duration {
	switch {
	case j.Cost == nil:
		return 0
	case !IsLongPrompt(j):
		return j.Cost.Prefill(j.PromptTokens) + j.Cost.Pass()
	default:
		return j.Cost.Prefill(j.PromptTokens)/(maxHelpers+1) + j.Cost.Pass()
	}
}

// Writing is about how long the job's answer takes from its first event to its last one,
// zero where nothing is known of it.
func (j Job) DecodeTime() time.Duration {
	if j.Cost == nil {
		return 0
	}
	return j.Cost.Decode()
}

// LeastWhole is about how long the job takes to its last event where all engines that may
// help it are idle, zero where nothing is known of it.
func (j Job) MinTotalTime() time.Duration { return j.minTTFT() + j.DecodeTime() }

// inVain reports whether the job's caller would be gone before the first event, however
// idle the engines are.
func (b *Balancer) cannotMeetDeadline(j Job) bool {
	return !j.FirstEventDeadline.IsZero() && b.Clock.Now().Add(j.minTTFT()).After(j.FirstEventDeadline)
}

// serveWaiting places the jobs that wait, as far as there are places. After news
// of other boxes, all boxes have seen the same places become free: each takes only
// a part of its short prompts. Long ones wait at one box.
func (b *Balancer) serveQueues(fromPeers bool) {
	shorts := len(b.shortQueue)
	if fromPeers {
		shorts = (shorts + newsShareDivisor - 1) / newsShareDivisor
	}
	b.serveQueue(&b.shortQueue, shorts)
	b.serveQueue(&b.longQueue, len(b.longQueue))
	serveInOrder(b, &b.limitQueue, func(j Job) string { return j.Service })
	serveInOrder(b, &b.trialQueue, func(j Job) suspect.Digest { return j.Suspect })
}

// serveInOrder places jobs that wait for what those of the same group wait for too, in the
// order in which they came.
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

// serveQueue places jobs that wait, in their order. Where one finds no place, neither do those
// behind it, unless it needs more than they do.
func (b *Balancer) serveQueue(q *[]*QueuedJob, most int) {
	var left []*QueuedJob
	for ; most > 0; most-- {
		w := b.popNext(q)
		if w == nil {
			break
		}
		if w.isSkipped(len(left)) {
			w.held = holdBehind
			left = append(left, w)
			continue
		}
		if b.serve(w) {
			continue
		}
		left = append(left, w)
		if !w.needsMore() {
			setHeld(*q, holdBehind)
			break
		}
	}
	*q = append(*q, left...)
}

// needsMore reports whether the job may need more than those behind it: it is over an engine's
// memory, or goes first since its size lags.
func (w *QueuedJob) needsMore() bool { return w.lag > 0 || isOversized(w.job) }

// passedOver reports whether the job is not tried once so many before it have found no place.
func (w *QueuedJob) isSkipped(failed int) bool {
	if w.lag > 0 {
		return failed >= maxLagTries
	}
	return failed > 0 && isOversized(w.job)
}

// waitsBefore reports whether a long prompt of the same service waits that goes before the job and
// needs no more: where it has found no place, neither does the job.
func (b *Balancer) hasWaiterBefore(j Job) bool {
	now := b.Clock.Now()
	own := &QueuedJob{job: j, lag: b.lag(j)}
	return slices.ContainsFunc(b.longQueue, func(w *QueuedJob) bool {
		w.lag = b.lag(w.job)
		return !w.cancelled && w.lag == 0 && w.job.Service == j.Service && w.goesBefore(own, now)
	})
}

// holdAll notes why none of the jobs was tried.
func setHeld(q []*QueuedJob, h holdReason) {
	for _, w := range q {
		w.held = h
	}
}

// serve places a job that waits; it reports false if there is no place.
func (b *Balancer) serve(w *QueuedJob) bool {
	p, h, err := b.placeNow(w.job)
	if err != nil || p == nil {
		w.held = h
		return false
	}
	w.ready <- p
	return true
}

// nextWaiter takes the next job off the queue: one of the best rank, and of these,
// of short prompts that can still be in time, the one that came last, since the
// ones before it are the likelier to be late; else the one that has waited
// longest.
func (b *Balancer) popNext(q *[]*QueuedJob) *QueuedJob {
	now := b.Clock.Now()
	kept := slices.DeleteFunc(*q, func(w *QueuedJob) bool { return w.cancelled })
	*q = kept
	if len(kept) == 0 {
		return nil
	}
	next := 0
	for _, w := range kept {
		w.lag = b.lag(w.job)
	}
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

// inTime reports whether a job that is placed now can still be in time.
func (w *QueuedJob) canBeInTime(now time.Time) bool {
	return now.Sub(w.job.firstArrival()) < w.job.Objective-shortTTFT
}

// before reports whether the job goes before another one.
func (w *QueuedJob) goesBefore(o *QueuedJob, now time.Time) bool {
	if w.job.Priority != o.job.Priority {
		return w.job.Priority < o.job.Priority
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

// longBefore reports whether a long prompt goes before another: those whose size lags the most
// go first, then those that can still be in time, and of these the one that is read the soonest.
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

// hopeful reports whether a long prompt that is placed now can be in time.
func (w *QueuedJob) isFeasible(now time.Time) bool {
	read := w.job.Cost.Prefill(w.job.PromptTokens) / maxHelpers
	return now.Add(read + w.job.Cost.Pass()).Before(w.job.firstArrival().Add(w.job.Objective))
}
