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
type watch struct {
	clock  barleystep.Clock
	cancel context.CancelCauseFunc
	// move reports whether another target can take the request, and holds what
	// that takes.
	move func() bool
	// down reports whether the target seems to be down.
	down  func() bool
	pause time.Duration

	mu    sync.Mutex
	heard time.Time // heard is when the target last sent something.
	until time.Time // until is when it is given up.
	done  chan struct{}
	once  sync.Once
}

const (
	// leastSilence is the shortest time after which a silent target is given up.
	// Callers give a stream up after two seconds without an event; an engine with
	// room needs a fifth of a second to take one up.
	leastSilence = 1500 * time.Millisecond
	// downSilence is the same where the target seems to be down.
	downSilence = 500 * time.Millisecond
	// moveRetry is when it is tried again to move a request that no other target
	// can take: a silent target is better than none.
	moveRetry = 200 * time.Millisecond
	// firstFactor and pauseFactor are how many times the objective and the
	// longest pause a target may stay silent. Callers wait for four times the
	// objective, or eight times the pause, if that is longer.
	firstFactor = 3
	pauseFactor = 5
	// waitFactor is how many times the expected wait at the target is allowed
	// besides: taking a request away that merely waits has its prompt read twice
	// and makes the wait of all others longer.
	waitFactor = 2
)

// newWatch starts the watch over a try. Requests that may not go to another
// target are left alone: there is nothing to be won by ending them.
func (t *try) newWatch(cancel context.CancelCauseFunc) *watch {
	x := t.exchange
	w := &watch{clock: t.stage.clock, cancel: cancel, move: t.mayMove, down: t.targetDown, done: make(chan struct{})}
	if x.route.Kind != fleet.KindStream || !t.movable() {
		return w
	}
	w.pause = max(pauseFactor*x.route.MaxPause, leastSilence)
	first := max(firstFactor*x.route.Objective, leastSilence) + waitFactor*t.placement.ExpectedTTFT()
	w.heard = w.clock.Now()
	w.until = w.heard.Add(first)
	go w.run()
	return w
}

func (w *watch) run() {
	for wait := downSilence; ; {
		timer := w.clock.NewTimer(wait)
		select {
		case <-w.done:
			timer.Stop()
			return
		case <-timer.C():
		}
		wait = w.left()
		if wait > 0 {
			continue
		}
		if w.move() {
			w.cancel(errStalled)
			return
		}
		wait = moveRetry
	}
}

// left returns after how long the target is to be looked at again, nothing or less
// if it is to be left now.
func (w *watch) left() time.Duration {
	w.mu.Lock()
	heard, until := w.heard, w.until
	w.mu.Unlock()
	now := w.clock.Now()
	if early := heard.Add(downSilence).Sub(now); early > 0 {
		return early
	}
	if w.down() {
		return 0
	}
	return min(until.Sub(now), moveRetry)
}

// targetDown reports whether the try's target seems to be down.
func (t *try) targetDown() bool { return t.stage.balancer.IsDown(t.placement.Target.ID) }

// progress notes that the target sent something.
func (w *watch) progress() {
	if w.pause == 0 {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.heard = w.clock.Now()
	w.until = w.heard.Add(w.pause)
}

func (w *watch) stop() { w.once.Do(func() { close(w.done) }) }

// mayMove reports whether another target can take the request from a silent one.
// It pays for that from the retry budget. Near the end of the box no other could give the
// whole answer, and the silent one still may.
func (t *try) mayMove() bool {
	if t.paid.Load() {
		return true
	}
	job := t.stage.job(t.exchange)
	if t.stage.stop.before(job.MinTotalTime()) {
		return false
	}
	job.Avoid = append(job.Avoid, t.placement.Target.ID)
	if !t.stage.balancer.HasFreeSlot(job) || !t.stage.budget.AllowRetry(t.exchange.service) {
		return false
	}
	t.paid.Store(true)
	return true
}
