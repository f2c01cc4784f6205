package front

import (
	"context"
	"sync"
	"time"

	"github.com/barleystep/barleystep"
	"github.com/barleystep/barleystep/internal/fleet"
)

// watch ends a try whose target stays silent for too long, so that the request
// may be taken to another target.
type stallWatch struct {
	clock  barleystep.Clock
	cancel context.CancelCauseFunc
	// move reports whether another target can take the request, and holds what
	// that takes.
	claim func() bool
	// down reports whether the target seems to be down.
	isTargetDown func() bool
	maxPause     time.Duration

	mu        sync.Mutex
	lastHeard time.Time // heard is when the target last sent something.
	deadline  time.Time // until is when it is given up.
	done      chan struct{}
	once      sync.Once
}

const (
	// leastSilence is the shortest time after which a silent target is given up.
	// Callers give a stream up after two seconds without an event; an engine with
	// room needs a fifth of a second to take one up.
	minSilence = 1500 * time.Millisecond
	// downSilence is the same where the target seems to be down.
	minSilenceDown = 500 * time.Millisecond
	// moveRetry is when it is tried again to move a request that no other target
	// can take: a silent target is better than none.
	claimRetryInterval = 200 * time.Millisecond
	// firstFactor and pauseFactor are how many times the objective and the
	// longest pause a target may stay silent. Callers wait for four times the
	// objective, or eight times the pause, if that is longer.
	firstEventFactor = 3
	pauseFactor      = 5
	// waitFactor is how many times the expected wait at the target is allowed
	// besides: taking a request away that merely waits has its prompt read twice
	// and makes the wait of all others longer.
	expectedWaitFactor = 2
)

// newWatch starts the watch over a try. Requests that may not go to another
// target are left alone: there is nothing to be won by ending them.
func (t *try) newStallWatch(cancel context.CancelCauseFunc) *stallWatch {
	x := t.exchange
	w := &stallWatch{clock: t.stage.clock, cancel: cancel, claim: t.claimRetry, isTargetDown: t.targetDown, done: make(chan struct{})}
	if x.route.Kind != fleet.KindStream || !t.canResend() {
		return w
	}
	w.maxPause = max(pauseFactor*x.route.MaxPause, minSilence)
	first := max(firstEventFactor*x.route.Objective, minSilence) + expectedWaitFactor*t.placement.ExpectedTTFT()
	w.lastHeard = w.clock.Now()
	w.deadline = w.lastHeard.Add(first)
	go w.run()
	return w
}

func (w *stallWatch) run() {
	for wait := minSilenceDown; ; {
		timer := w.clock.NewTimer(wait)
		select {
		case <-w.done:
			timer.Stop()
			return
		case <-timer.C():
		}
		wait = w.untilNextCheck()
		if wait > 0 {
			continue
		}
		if w.claim() {
			w.cancel(errStalled)
			return
		}
		wait = claimRetryInterval
	}
}

// left returns after how long the target is to be looked at again, nothing or less
// if it is to be left now.
func (w *stallWatch) untilNextCheck() time.Duration {
	w.mu.Lock()
	lastHeard, deadline := w.lastHeard, w.deadline
	w.mu.Unlock()
	now := w.clock.Now()
	if early := lastHeard.Add(minSilenceDown).Sub(now); early > 0 {
		return early
	}
	if w.isTargetDown() {
		return 0
	}
	return min(deadline.Sub(now), claimRetryInterval)
}

// targetDown reports whether the try's target seems to be down.
func (t *try) targetDown() bool { return t.stage.balancer.IsDown(t.placement.Target.ID) }

// progress notes that the target sent something.
func (w *stallWatch) recordActivity() {
	if w.maxPause == 0 {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.lastHeard = w.clock.Now()
	w.deadline = w.lastHeard.Add(w.maxPause)
}

func (w *stallWatch) stop() { w.once.Do(func() { close(w.done) }) }

// mayMove reports whether another target can take the request from a silent one.
// It pays for that from the retry budget. Near the end of the box no other could give the
// whole answer, and the silent one still may.
func (t *try) claimRetry() bool {
	if t.retryPaid.Load() {
		return true
	}
	job := t.stage.job(t.exchange)
	if t.stage.shutdown.endsWithin(job.MinTotalTime()) {
		return false
	}
	job.Avoid = append(job.Avoid, t.placement.Target.ID)
	if !t.stage.balancer.HasFreeSlot(job) || !t.stage.budget.AllowRetry(t.exchange.service) {
		return false
	}
	t.retryPaid.Store(true)
	return true
}
