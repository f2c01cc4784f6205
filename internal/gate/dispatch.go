package gate

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"

	"github.com/barleystep/barleystep"
	"github.com/barleystep/barleystep/internal/metric"
)

// Targets finds the adapter of a target. Implementations are safe for
// concurrent use.
type Targets interface {
	// Engine returns the adapter of the engine or service; ok is false for a
	// target that is not configured. Fresh adapters open a connection for each
	// attempt.
	Engine(id barleystep.TargetID, fresh bool) (e barleystep.Engine, ok bool)
}

// dispatch sends attempts to targets.
type dispatch struct {
	clock   barleystep.Clock
	targets Targets
	meter   *metric.Meter
	// stall is how long a target may send nothing in the midst of an answer.
	stallTimeout time.Duration
}

var errStalled = eris.Wrap(barleystep.ErrBrokenStream, "target sent nothing for too long")

// start sends the attempt, or asks for its events from a number on.
func (d *dispatch) start(ctx context.Context, r *relay, from uint64) (barleystep.Stream, error) {
	x := r.exchange
	target := r.allocation.Target()
	e, ok := d.targets.Engine(target, !x.repeatable)
	if !ok {
		return nil, eris.Wrapf(barleystep.ErrNotStarted, "target %s is not configured", target)
	}
	return e.Start(ctx, barleystep.Attempt{
		ID:          r.id,
		Path:        x.path,
		Body:        x.prompt.body,
		ContentType: x.r.Header.Get("Content-Type"),
		Method:      x.r.Method,
		Deadline:    x.deadline,
		Priority:    r.allocation.Priority(),
		ResumeFrom:  from,
		Group:       r.allocation.Group(),
	})
}

// firstWait is how long the first event may take: reading the prompt several
// times over, and the stall limit.
func (d *dispatch) firstEventTimeout(x *Exchange) time.Duration {
	const margin = 8
	m, ok := x.view.Model(x.prompt.model)
	if !ok {
		return d.stallTimeout
	}
	prefill := float64(x.prompt.tokens) / m.PrefillRate * margin
	return d.stallTimeout + time.Duration(prefill*float64(time.Second))
}

// watch cancels an attempt that makes no progress.
type watchdog struct {
	clock     barleystep.Clock
	lastEvent atomic.Int64 // progress is the time of the last event, in nanoseconds.
	timeout   atomic.Int64 // allowed is how long the next event may take.
}

// newWatch starts to watch; it ends with ctx.
func newWatchdog(ctx context.Context, clk barleystep.Clock, timeout time.Duration, cancel context.CancelCauseFunc) *watchdog {
	w := &watchdog{clock: clk}
	w.reset(timeout)
	go w.run(ctx, cancel)
	return w
}

// expect notes progress and how long the next event may take.
func (w *watchdog) reset(timeout time.Duration) {
	w.timeout.Store(int64(timeout))
	w.lastEvent.Store(w.clock.Now().UnixNano())
}

func (w *watchdog) remaining() time.Duration {
	elapsed := w.clock.Now().UnixNano() - w.lastEvent.Load()
	return time.Duration(w.timeout.Load() - elapsed)
}

func (w *watchdog) run(ctx context.Context, cancel context.CancelCauseFunc) {
	for {
		remaining := w.remaining()
		if remaining <= 0 {
			cancel(errStalled)
			return
		}
		t := w.clock.NewTimer(remaining)
		select {
		case <-t.C():
		case <-ctx.Done():
			t.Stop()
			return
		}
	}
}
