package front

import (
	"context"
	"time"

	"github.com/rotisserie/eris"

	"github.com/barleystep/barleystep"
	"github.com/barleystep/barleystep/internal/clock"
)

// errStopping is the cause of contexts that end because the box does, and is returned for
// requests whose answer could not be whole by then.
var errStopping = eris.New("front: the box is stopping")

// stop tells requests when the box ends. It is made by newStop.
type shutdown struct {
	clock barleystep.Clock
	// planned ends when a stop begins; end is set before.
	started context.Context
	start   context.CancelFunc
	end     time.Time
}

func newShutdown(clk barleystep.Clock) *shutdown {
	s := &shutdown{clock: clk}
	s.started, s.start = context.WithCancel(context.Background())
	return s
}

// begin tells that the box ends at the given time. It is called once.
func (s *shutdown) begin(end time.Time) {
	s.end = end
	s.start()
}

// before reports whether the box ends before so much time has passed.
func (s *shutdown) endsWithin(d time.Duration) bool {
	return s.started.Err() != nil && s.clock.Now().Add(d).After(s.end)
}

// bound returns a context that ends with errStopping as its cause so long before the box
// ends, also if the stop begins later. The cancel function must be called.
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
