package front

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/barleystep/barleystep"
	"github.com/barleystep/barleystep/internal/conn"
	"github.com/barleystep/barleystep/internal/fleet"
	"github.com/barleystep/barleystep/internal/mutex"
)

// stallWatch cancels a try whose target is silent for too long, so that the request can move to
// another target.
type stallWatch struct {
	clock  barleystep.Clock
	cancel context.CancelCauseFunc
	// claim reports whether another target can take the request, and charges the retry budget if
	// so.
	claim func() bool
	// isTargetDown reports whether the target, or the path to it, seems to be down.
	isTargetDown func() bool
	maxPause     time.Duration
	// heard is set once the target has sent something of the answer.
	heard *atomic.Bool

	mu        mutex.Mutex
	lastHeard time.Time // lastHeard is when the target last sent something.
	deadline  time.Time // deadline is when the target is given up.
	done      chan struct{}
	once      sync.Once
}

const (
	// minSilence is the minimum silence after which a target is given up. Callers give up a stream
	// after two seconds without an event, and an engine with free capacity needs a fifth of a
	// second to resume one.
	minSilence = 1500 * time.Millisecond
	// minSilenceDown is the minimum silence if the target seems to be down.
	minSilenceDown = 500 * time.Millisecond
	// claimRetryInterval is the interval for trying again to move a request that no other target
	// can take. A silent target is better than none.
	claimRetryInterval = 200 * time.Millisecond
	// firstEventFactor and pauseFactor multiply the objective and the maximum pause to give the
	// silence allowed to a target. Callers wait for four times the objective or eight times the
	// pause, whichever is longer.
	firstEventFactor = 3
	pauseFactor      = 5
	// expectedWaitFactor multiplies the expected wait at the target, which is allowed in addition.
	// Moving a request that is merely waiting would prefill its prompt twice and lengthen the wait
	// of all others.
	expectedWaitFactor = 2
)

// newStallWatch starts watching a try. Requests that may not move to another target are not watched,
// since they gain nothing from being cancelled. Those that are not streams move only if the path to
// their target is lost.
func (t *try) newStallWatch(cancel context.CancelCauseFunc, c *conn.Conn) *stallWatch {
	x := t.exchange
	w := &stallWatch{clock: t.stage.clock, cancel: cancel, claim: t.claimRetry, heard: &t.memoryUsed, done: make(chan struct{})}
	w.isTargetDown = func() bool { return t.targetDown() || c.IsStranded() }
	if !t.canResend() {
		return w
	}
	if x.route.Kind != fleet.KindStream {
		w.isTargetDown = c.IsStranded
		w.lastHeard = w.clock.Now()
		w.deadline = x.deadline
		go w.run()
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

// untilNextCheck returns the time until the target is to be checked again, zero or less if it is to
// be given up now.
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

// recordActivity records that the target sent something.
func (w *stallWatch) recordActivity() {
	w.heard.Store(true)
	if w.maxPause == 0 {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.lastHeard = w.clock.Now()
	w.deadline = w.lastHeard.Add(w.maxPause)
}

func (w *stallWatch) stop() { w.once.Do(func() { close(w.done) }) }

// claimRetry reports whether another target can take the request from a silent one, and charges the
// retry budget if so. Near the shutdown of the box no other target could complete the answer, but
// the silent one still may.
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
