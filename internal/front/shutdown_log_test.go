package front_test

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/frankban/quicktest"

	"github.com/barleystep/barleystep"
	"github.com/barleystep/barleystep/internal/clock"
)

// slowDialer takes some time of a manual clock to connect.
type slowDialer struct {
	inner barleystep.Dialer
	clock *clock.Manual
	delay time.Duration
}

// Dial connects.
func (d *slowDialer) Dial(ctx context.Context, addr string) (net.Conn, error) {
	d.clock.Advance(d.delay)
	return d.inner.Dial(ctx, addr)
}

// TestShutdownLog checks that the line of a request that ends while its box stops tells when, counted
// from the start of the stop, it ended and was sent. It guards against records of cut requests from
// which that cannot be told.
func TestShutdownLog(t *testing.T) {
	c := quicktest.New(t)
	const delay = 250 * time.Millisecond
	f, manual, out := newSingleEngineFixture(t, eventStream(1, 2, false), eventStream(1, 2, false))
	f.front.Pool.Clock = manual
	f.front.Pool.Dialer = &slowDialer{inner: f.front.Pool.Dialer, clock: manual, delay: delay}
	f.doLong(t)
	lines := out.drain(t)
	c.Assert(lines, quicktest.HasLen, 1)
	c.Check(lines[0]["stopping_for"], quicktest.IsNil)
	f.waitRunning(0)
	manual.Advance(time.Minute) // The stand-in has closed the connection, which is too old to be used again.
	f.front.BeginShutdown(manual.Now().Add(time.Hour))
	f.doLong(t)
	lines = out.drain(t)
	c.Assert(lines, quicktest.HasLen, 1)
	c.Check(lines[0]["stopping_for"], quicktest.Equals, float64(delay/time.Millisecond))
	c.Check(lines[0]["since_sent"], quicktest.Equals, 0.0)
}
