package balance

import (
	"slices"
	"time"

	"github.com/rotisserie/eris"

	"github.com/barleystep/barleystep"
	"github.com/barleystep/barleystep/internal/fleet"
	"github.com/barleystep/barleystep/internal/schedule"
)

const (
	// maxPlanned bounds the waiting prompts that are planned at one event. Those behind them start
	// later than any prediction holds. maxTried bounds those that are tried: prompts for which there
	// are no engines at all do not keep others from theirs.
	maxPlanned = 12
	maxTried   = 2 * maxPlanned
	// planBudget bounds the engines that are compared for all prompts at one event: at a thousand
	// engines, choosing for one prompt takes several milliseconds.
	planBudget = 1000
	// defaultDispatchDelay is the time from a choice by the lead until the engines have the
	// request: the way to the caller's box, to the helpers, and to the target.
	defaultDispatchDelay = 20 * time.Millisecond
	// minReplanInterval bounds how often planned starts are served: backlog that does not shrink with
	// time would otherwise make a start due again at once.
	minReplanInterval = 10 * time.Millisecond
	// planHorizon is the time ahead for which the use of the engines is planned, and maxUseForLate
	// the part of it up to which prompts that can't be in time are placed: engines that are used
	// more are kept for prompts that can.
	planHorizon   = time.Second
	maxUseForLate = 0.3
	// crowdedQueue is the number of waiting long prompts from which on lost engine time has its
	// full cost, and lostTimeCost the cost of a second of one engine then, where the worth of a
	// prompt of mean length is meanPromptWorth.
	crowdedQueue = 4
	lostTimeCost = 2.0
)

// planOutcome is the outcome of planning one prompt.
type planOutcome uint8

const (
	// planHeld means that there are no engines for the prompt now, and planReserved that it starts
	// later.
	planHeld planOutcome = iota
	planReserved
	// planLate means that it can't be in time and was not planned.
	planLate
	// planDone means that it was placed or failed.
	planDone
)

// placeLong plans a long prompt that has just arrived, with all that wait.
func (b *Balancer) placeLong(j Job) (p *Placement, w *QueuedJob, err error) {
	candidates, h, err := b.usableTargets(j)
	if err != nil {
		return nil, nil, err
	}
	if h == holdNone && b.isAskedAgain(j) {
		if p, _ = b.placeLongNow(j, candidates); p != nil {
			return b.placed(j, p), nil, nil
		}
	}
	if p, w, err = b.enqueue(j, h); err != nil || h != holdNone {
		return p, w, err
	}
	b.planLongQueue()
	select {
	case p = <-w.ready:
		p, err = w.received(p)
		return p, nil, err
	default:
		return nil, w, nil
	}
}

// isAskedAgain reports whether a job has waited for as long as it may and is asked for again by a
// caller that has not left.
func (b *Balancer) isAskedAgain(j Job) bool {
	now := b.Clock.Now()
	return !now.Before(b.waitDeadline(j)) && now.Add(j.MinTTFT()).Before(j.FirstEventDeadline)
}

// NextStart returns when the earliest planned prompt may be placed, zero if none is planned.
func (b *Balancer) NextStart() time.Time {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.nextStart
}

// ServePlanned places the prompts whose planned start has come.
func (b *Balancer) ServePlanned() {
	b.mu.Lock()
	defer b.mu.Unlock()
	clear(b.workCache)
	b.planLongQueue()
}

// planLongQueue plans all waiting long prompts anew and places those that may start. Prompts that
// can't be in time are planned after all that can.
func (b *Balancer) planLongQueue() {
	wasPlanned := !b.nextStart.IsZero()
	b.timelines, b.nextStart = nil, time.Time{}
	if len(b.longQueue) > 0 {
		b.regionsOfPlan = make(map[regionsKey]regions)
		b.sortLongQueue()
		b.longQueue = b.planInOrder(b.longQueue)
		b.regionsOfPlan = nil
	}
	if wasPlanned || !b.nextStart.IsZero() {
		b.notifyPlanned()
	}
}

// planInOrder plans the jobs of a queue and returns those that go on waiting.
func (b *Balancer) planInOrder(queue []*QueuedJob) (left []*QueuedJob) {
	var late []*QueuedJob
	planned, most := 0, min(max(planBudget/max(len(b.Targets()), 1), 1), maxPlanned)
	for i, w := range queue {
		if planned >= most || i >= maxTried {
			left = append(left, w)
			continue
		}
		outcome := b.plan(w, false)
		if outcome != planHeld {
			planned++
		}
		switch outcome {
		case planHeld, planReserved:
			left = append(left, w)
		case planLate:
			late = append(late, w)
		}
	}
	for _, w := range late {
		if b.plan(w, true) != planDone {
			left = append(left, w)
		}
	}
	return left
}

// sortLongQueue orders the waiting long prompts and drops those that were cancelled.
func (b *Balancer) sortLongQueue() {
	now := b.Clock.Now()
	b.longQueue = slices.DeleteFunc(b.longQueue, func(w *QueuedJob) bool { return w.cancelled })
	for _, w := range b.longQueue {
		w.lag = b.lag(w.job)
	}
	b.markShares(b.longQueue)
	slices.SortStableFunc(b.longQueue, func(x, y *QueuedJob) int {
		switch {
		case x.goesBefore(y, now):
			return -1
		case y.goesBefore(x, now):
			return 1
		default:
			return 0
		}
	})
}

// plan plans one waiting long prompt and places it if it may start. If it can't be in time it is
// planned only where allowLate is set and engines are otherwise idle.
func (b *Balancer) plan(w *QueuedJob, allowLate bool) planOutcome {
	j := w.job
	candidates, h, err := b.usableTargets(j)
	switch {
	case eris.Is(err, ErrNoTarget):
		w.fail(ErrNoTarget)
		return planDone
	case err != nil || h != holdNone:
		w.held = h
		return planHeld
	}
	if allowLate && b.plannedUse(candidates) > maxUseForLate {
		return planHeld
	}
	g, h := b.planAssignment(j, candidates)
	if h != holdNone {
		w.held = h
		return planHeld
	}
	if !allowLate && b.waited(j)+g.expectedTTFT > j.Objective {
		w.held = holdLate
		return planLate
	}
	b.reserve(j, g)
	if b.startsLater(g) {
		w.held = holdPrefill
		return planReserved
	}
	w.ready <- b.placed(j, b.placeAssignment(j, g))
	b.noteShareOutcome(w, true)
	return planDone
}

// planAssignment returns the best assignment of a long prompt, or why there is none.
func (b *Balancer) planAssignment(j Job, engines []fleet.Target) (g assignment, h holdReason) {
	g = b.bestAssignment(j, b.withoutSlow(j, engines))
	gain := promptWorth(j)*(1+lateAnswerWorth) - latenessLoss(j, g.expectedTTFT)
	switch {
	case g.first.ID == "":
		return g, holdMemory
	case isOversized(j) && g.stallCost > gain:
		return g, holdStreams
	case !isOversized(j) && b.shouldDefer(j, g):
		return g, holdStreams
	}
	return g, holdNone
}

// placeLongNow places a long prompt if its engines are free now.
func (b *Balancer) placeLongNow(j Job, engines []fleet.Target) (p *Placement, h holdReason) {
	g, h := b.planAssignment(j, engines)
	switch {
	case h != holdNone:
		return nil, h
	case g.start > b.dispatchDelay():
		return nil, holdPrefill
	}
	b.reserve(j, g)
	return b.placeAssignment(j, g), holdNone
}

// regionsKey tells apart the engines that different prompts of a service may use.
type regionsKey struct {
	service string
	engines int
}

// plannedRegions is divideRegions that divides the engines of a service once for all prompts that are
// planned together.
func (b *Balancer) plannedRegions(j Job, engines []fleet.Target) regions {
	key := regionsKey{j.Service, len(engines)}
	if r, ok := b.regionsOfPlan[key]; ok && len(j.Avoid) == 0 {
		return r
	}
	r := b.divideRegions(j, engines)
	if b.regionsOfPlan != nil && len(j.Avoid) == 0 {
		b.regionsOfPlan[key] = r
	}
	return r
}

// startsLater reports whether it is too early to place the assignment, and notes when it is not.
func (b *Balancer) startsLater(g assignment) bool {
	wait := g.start - b.dispatchDelay()
	if wait <= 0 {
		return false
	}
	at := b.Clock.Now().Add(max(wait, minReplanInterval))
	if b.nextStart.IsZero() || at.Before(b.nextStart) {
		b.nextStart = at
	}
	return true
}

func (b *Balancer) dispatchDelay() time.Duration {
	if b.DispatchDelay > 0 {
		return b.DispatchDelay
	}
	return defaultDispatchDelay
}

// timeline returns the engine's timeline of the current plan.
func (b *Balancer) timeline(id barleystep.TargetID) *schedule.Timeline {
	t, ok := b.timelines[id]
	if !ok {
		t = schedule.NewTimeline(b.totalWork(id).Backlog)
		if b.timelines == nil {
			b.timelines = make(map[barleystep.TargetID]*schedule.Timeline)
		}
		b.timelines[id] = t
	}
	return t
}

// reserve plans the parts of an assignment.
func (b *Balancer) reserve(j Job, g assignment) {
	for _, p := range b.scheduledParts(j, g.first, g.helpers) {
		p.Timeline.Reserve(g.start, p.Length)
	}
}

// scheduledParts returns the parts of a prompt that is divided among these engines.
func (b *Balancer) scheduledParts(j Job, first fleet.Target, helpers []fleet.Target) []schedule.Part {
	prefill := j.Cost.Prefill(j.PromptTokens) / time.Duration(len(helpers)+1)
	parts := make([]schedule.Part, 0, len(helpers)+1)
	parts = append(parts, schedule.Part{Timeline: b.timeline(first.ID), Length: prefill + b.passOverhead(j, first)})
	for _, t := range helpers {
		parts = append(parts, schedule.Part{Timeline: b.timeline(t.ID), Length: prefill + b.passOverhead(j, t)})
	}
	return parts
}

// idleSteps is the overhead of a part, in token steps, at an engine that decodes nothing.
const idleSteps = 10

// passOverhead returns the time that an engine needs for a part besides its prefill: a pass if it
// decodes streams, some steps if it does not.
func (b *Balancer) passOverhead(j Job, t fleet.Target) time.Duration {
	if w := b.totalWork(t.ID); w.Short+w.Long > 0 {
		return j.Cost.Pass()
	}
	return idleSteps * j.Cost.Step
}

// plannedUse returns the part of the planning horizon in which the engines are busy.
func (b *Balancer) plannedUse(engines []fleet.Target) float64 {
	busy := time.Duration(0)
	for _, t := range engines {
		busy += min(b.timeline(t.ID).End(), planHorizon)
	}
	return busy.Seconds() / (planHorizon.Seconds() * float64(len(engines)))
}

// lostTimePrice returns the cost of a second of engine time that is lost to gaps and passes: nothing
// while no prompts wait.
func (b *Balancer) lostTimePrice() float64 {
	return lostTimeCost * min(1, float64(len(b.longQueue))/crowdedQueue)
}

// notifyPlanned wakes up the planner, which waits for the next start.
func (b *Balancer) notifyPlanned() {
	select {
	case b.plannedChannel() <- struct{}{}:
	default:
	}
}

// plannedChannel returns the channel that receives a value after the plan has changed.
func (b *Balancer) plannedChannel() chan struct{} {
	if b.planned == nil {
		b.planned = make(chan struct{}, 1)
	}
	return b.planned
}
