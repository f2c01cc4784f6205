package gate

import (
	"context"
	"sync"
	"time"

	"github.com/phuslu/log"

	"github.com/barleystep/barleystep"
	"github.com/barleystep/barleystep/internal/clock"
	"github.com/barleystep/barleystep/internal/metric"
)

// Canceller cancels abandoned attempts at their targets. Attempts whose cancellation cannot be
// delivered are found later by the clean-up of the keeper. Its exported fields are set before
// Serve.
type Canceller struct {
	Clock   barleystep.Clock
	Targets Targets
	Meter   *metric.Meter
	Log     *log.Logger

	queue chan cancellation
}

type cancellation struct {
	target barleystep.TargetID
	id     barleystep.AttemptID
}

const (
	cancelQueueSize = 4096
	cancelWorkers   = 8
	cancelTries     = 4
	cancelBackoff   = 250 * time.Millisecond
	cancelTimeout   = 5 * time.Second
)

// NewCanceller returns a Canceller whose exported fields are still to be set.
func NewCanceller() *Canceller { return &Canceller{queue: make(chan cancellation, cancelQueueSize)} }

// Enqueue queues the cancellation of an attempt. It does not block: if the queue is full, the
// cancellation is dropped and counted.
func (c *Canceller) Enqueue(target barleystep.TargetID, id barleystep.AttemptID) {
	select {
	case c.queue <- cancellation{target, id}:
	default:
		c.Meter.AttemptCancelled("queue_full")
	}
}

// Serve delivers cancellations until ctx is done.
func (c *Canceller) Serve(ctx context.Context) error {
	var wait sync.WaitGroup
	for range cancelWorkers {
		wait.Go(func() { c.work(ctx) })
	}
	wait.Wait()
	return ctx.Err()
}

func (c *Canceller) work(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case n := <-c.queue:
			c.deliver(ctx, n)
		}
	}
}

func (c *Canceller) deliver(ctx context.Context, n cancellation) {
	e, ok := c.Targets.Engine(n.target, false)
	if !ok {
		return
	}
	for try := range cancelTries {
		if c.cancel(ctx, e, n.id) == nil {
			c.Meter.AttemptCancelled("abandoned")
			return
		}
		if !clock.Sleep(ctx, c.Clock, cancelBackoff<<try) {
			return
		}
	}
	c.Meter.AttemptCancelled("undelivered")
	c.Log.Warn().Str("target", string(n.target)).Stringer("attempt", n.id).
		Msg(logPrefix + "Cancellation of an attempt was not delivered.")
}

func (c *Canceller) cancel(ctx context.Context, e barleystep.Engine, id barleystep.AttemptID) error {
	ctx, done := clock.WithDeadline(ctx, c.Clock, c.Clock.Now().Add(cancelTimeout))
	defer done()
	return e.Cancel(ctx, id.String())
}
