package clock

import (
	"context"
	"time"

	"github.com/barleystep/barleystep"
)

// WithDeadline returns a context that ends with context.DeadlineExceeded as its cause when clk
// reaches deadline. The cancel function must be called.
func WithDeadline(ctx context.Context, clk barleystep.Clock, deadline time.Time) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancelCause(ctx)
	timer := clk.NewTimer(deadline.Sub(clk.Now()))
	go func() {
		defer timer.Stop()
		select {
		case <-timer.C():
			cancel(context.DeadlineExceeded)
		case <-ctx.Done():
		}
	}()
	return ctx, func() { cancel(context.Canceled) }
}

// Sleep waits for d or until ctx ends, and reports whether the time passed.
func Sleep(ctx context.Context, clk barleystep.Clock, d time.Duration) bool {
	timer := clk.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C():
		return true
	case <-ctx.Done():
		return false
	}
}

// Repeat calls f with pauses of d until ctx ends, and returns the context's error. The first call
// comes after the first pause.
func Repeat(ctx context.Context, clk barleystep.Clock, d time.Duration, f func(context.Context)) error {
	for Sleep(ctx, clk, d) {
		f(ctx)
	}
	return ctx.Err()
}

// WallTime converts a time of clk to the operating system's clock, which sockets use for their
// deadlines.
func WallTime(clk barleystep.Clock, t time.Time) time.Time {
	return time.Now().Add(t.Sub(clk.Now()))
}
