package front

import (
	"context"
	"time"

	"github.com/rotisserie/eris"

	"github.com/barleystep/barleystep"
	"github.com/barleystep/barleystep/internal/clock"
)

// errStopping is the cause of contexts that end because the box shuts down. It is also returned for
// requests whose answer could not be complete by then.
var errStopping = eris.New("front: the box is stopping")

// shutdown tells requests when the box shuts down. Use newShutdown to create one.
type shutdown struct {
	clock barleystep.Clock
	// started is cancelled when a shutdown begins; begun and end are set before.
	started context.Context
	start   context.CancelFunc
	begun   time.Time
	end     time.Time
}

func newShutdown(clk barleystep.Clock) *shutdown {
	s := &shutdown{clock: clk}
	s.started, s.start = context.WithCancel(context.Background())
	return s
}

// begin starts a shutdown that completes at end. It must be called once.
func (s *shutdown) begin(end time.Time) {
	s.begun, s.end = s.clock.Now(), end
	s.start()
}

// hasBegun reports whether a shutdown has begun.
func (s *shutdown) hasBegun() bool { return s.started.Err() != nil }

// lasted returns how long ago the shutdown began.
func (s *shutdown) lasted() time.Duration { return s.clock.Now().Sub(s.begun) }

// endsWithin reports whether the box shuts down within d.
func (s *shutdown) endsWithin(d time.Duration) bool {
	return s.hasBegun() && s.clock.Now().Add(d).After(s.end)
}

// withDeadline returns a context that ends with errStopping as its cause at the given margin before
// the box shuts down, also if the shutdown begins later. The cancel function must be called.
func (s *shutdown) withDeadline(ctx context.Context, margin time.Duration) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancelCause(ctx)
	unregister := context.AfterFunc(s.started, func() {
		if clock.Sleep(ctx, s.clock, s.end.Sub(s.clock.Now())-margin) {
			cancel(errStopping)
		}
	})
	return ctx, func() {
		unregister()
		cancel(context.Canceled)
	}
}
