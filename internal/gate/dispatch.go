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
	stall time.Duration
}

var errStalled = eris.Wrap(barleystep.ErrBrokenStream, "target sent nothing for too long")

// start sends the attempt, or asks for its events from a number on.
func (d *dispatch) start(ctx context.Context, r *relay, from uint64) (barleystep.Stream, error) {
	x := r.exchange
	target := r.allotment.Target()
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
		Priority:    r.allotment.Priority(),
		ResumeFrom:  from,
		Group:       r.allotment.Group(),
	})
}

// firstWait is how long the first event may take: reading the prompt several
// times over, and the stall limit.
func (d *dispatch) firstWait(x *Exchange) time.Duration {
	const margin = 8
	m, ok := x.view.Model(x.prompt.model)
	if !ok {
		return d.stall
	}
	read := float64(x.prompt.tokens) / m.PrefillRate * margin
	return d.stall + time.Duration(read*float64(time.Second))
}

// watch cancels an attempt that makes no progress.
type watch struct {
	clock    barleystep.Clock
	progress atomic.Int64 // progress is the time of the last event, in nanoseconds.
	allowed  atomic.Int64 // allowed is how long the next event may take.
}

// newWatch starts to watch; it ends with ctx.
func newWatch(ctx context.Context, clk barleystep.Clock, allowed time.Duration, cancel context.CancelCauseFunc) *watch {
	w := &watch{clock: clk}
	w.expect(allowed)
	go w.run(ctx, cancel)
	return w
}

// expect notes progress and how long the next event may take.
func (w *watch) expect(allowed time.Duration) {
	w.allowed.Store(int64(allowed))
	w.progress.Store(w.clock.Now().UnixNano())
}

func (w *watch) left() time.Duration {
	passed := w.clock.Now().UnixNano() - w.progress.Load()
	return time.Duration(w.allowed.Load() - passed)
}

func (w *watch) run(ctx context.Context, cancel context.CancelCauseFunc) {
	for {
		left := w.left()
		if left <= 0 {
			cancel(errStalled)
			return
		}
		t := w.clock.NewTimer(left)
		select {
		case <-t.C():
		case <-ctx.Done():
			t.Stop()
			return
		}
	}
}
