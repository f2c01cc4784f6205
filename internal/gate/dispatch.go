package gate

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"

	"github.com/barleystep/barleystep"
	"github.com/barleystep/barleystep/internal/metric"
)

// Targets looks up the adapters of targets. Implementations are safe for concurrent use.
type Targets interface {
	// Engine returns the adapter of the engine or service; ok is false if the target is not
	// configured. If fresh is true, the adapter opens a new connection for each attempt.
	Engine(id barleystep.TargetID, fresh bool) (e barleystep.Engine, ok bool)
}

// dispatch sends attempts to targets.
type dispatch struct {
	clock   barleystep.Clock
	targets Targets
	meter   *metric.Meter
	// stallTimeout bounds the time between two events of an answer.
	stallTimeout time.Duration
}

var errStalled = eris.Wrap(barleystep.ErrBrokenStream, "target sent nothing for too long")

// start sends the attempt, or resumes it at event number from if from is not 0.
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

// firstEventTimeout returns how long the first event may take: the stall timeout plus 8 times the
// estimated prefill time of the prompt.
func (d *dispatch) firstEventTimeout(x *Exchange) time.Duration {
	const margin = 8
	m, ok := x.view.Model(x.prompt.model)
	if !ok {
		return d.stallTimeout
	}
	prefill := float64(x.prompt.tokens) / m.PrefillRate * margin
	return d.stallTimeout + time.Duration(prefill*float64(time.Second))
}

// watchdog cancels an attempt whose next event does not arrive in time.
type watchdog struct {
	clock     barleystep.Clock
	lastEvent atomic.Int64 // lastEvent is the time of the last event, in Unix nanoseconds.
	timeout   atomic.Int64 // timeout bounds the time until the next event, in nanoseconds.
}

// newWatchdog starts a watchdog that runs until ctx is done.
func newWatchdog(ctx context.Context, clk barleystep.Clock, timeout time.Duration, cancel context.CancelCauseFunc) *watchdog {
	w := &watchdog{clock: clk}
	w.reset(timeout)
	go w.run(ctx, cancel)
	return w
}

// reset records an event and sets the timeout for the next one.
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
