package capacity_test

import (
	"context"
	"testing"
	"time"

	"github.com/frankban/quicktest"
	"github.com/rotisserie/eris"

	"github.com/barleystep/barleystep"
	"github.com/barleystep/barleystep/internal/capacity"
	"github.com/barleystep/barleystep/internal/clock"
	"github.com/barleystep/barleystep/internal/config"
	"github.com/barleystep/barleystep/internal/member"
	"github.com/barleystep/barleystep/internal/metric"
)

// fakeEndpoint answers requests for grants by a function.
type fakeEndpoint struct {
	asked chan barleystep.AttemptID
	ask   func(ctx context.Context) error
}

// Ask grants e0 unless the function fails.
func (d *fakeEndpoint) Ask(ctx context.Context, _ string, a capacity.GrantRequest) (capacity.Grant, error) {
	d.asked <- a.Demand.Attempt
	if err := d.ask(ctx); err != nil {
		return capacity.Grant{}, err
	}
	return capacity.Grant{Attempt: a.Demand.Attempt, Targets: []barleystep.TargetID{"e0"}}, nil
}

// FirstToken does nothing.
func (d *fakeEndpoint) FirstToken(context.Context, string, barleystep.AttemptID) error { return nil }

// Release does nothing.
func (d *fakeEndpoint) Release(context.Context, string, barleystep.AttemptID, barleystep.Usage) error {
	return nil
}

// Report gives no credits.
func (d *fakeEndpoint) Report(context.Context, string, capacity.Report) (capacity.Credits, error) {
	return capacity.Credits{}, nil
}

func grantAll(context.Context) error { return nil }

// TestAcquireAsksEndpoint checks which endpoint is asked after a grant, after a connection
// failure and after a caller's disconnect. A disconnect must not count as a failure of the endpoint.
func TestAcquireAsksEndpoint(t *testing.T) {
	lost := eris.New("connection lost")
	cases := map[string]struct {
		remote func(ctx context.Context) error
		leaves bool // leaves makes the first caller disconnect.
		asked  int  // asked is how many requests of two callers reach the remote endpoint.
		local  int
	}{
		"grant":              {grantAll, false, 2, 0},
		"connection lost":    {func(context.Context) error { return lost }, false, 1, 2},
		"caller disconnects": {func(ctx context.Context) error { return hangOnce(ctx) }, true, 2, 0},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			c := quicktest.New(t)
			once := true
			remote := &fakeEndpoint{asked: make(chan barleystep.AttemptID, 9), ask: func(ctx context.Context) error {
				if tc.leaves && !once {
					return nil
				}
				once = false
				return tc.remote(ctx)
			}}
			local := &fakeEndpoint{asked: make(chan barleystep.AttemptID, 9), ask: grantAll}
			a := &capacity.Allocator{
				Clock: clock.NewManual(start), Box: "zz", Configuration: config.NewFixed(nil), Membership: member.NewFixed("b1"),
				Local: local, Remote: func(barleystep.BoxID) (capacity.Endpoint, bool) { return remote, true },
				Meter: metric.Discard(),
			}
			ctx, cancel := context.WithCancel(context.Background())
			if tc.leaves {
				cancel()
			}
			_, err := a.Acquire(ctx, demand(1, 20_000))
			c.Check(err == nil, quicktest.Equals, !tc.leaves)
			_, err = a.Acquire(context.Background(), demand(2, 20_000))
			c.Check(err, quicktest.IsNil)
			c.Check(len(remote.asked), quicktest.Equals, tc.asked)
			c.Check(len(local.asked), quicktest.Equals, tc.local)
			cancel()
		})
	}
}

// hangOnce waits until the caller disconnects.
func hangOnce(ctx context.Context) error {
	<-ctx.Done()
	return ctx.Err()
}

// TestAcquireEndsAtDeadline checks that Acquire returns at the request's deadline even if the
// endpoint hangs.
func TestAcquireEndsAtDeadline(t *testing.T) {
	clk := clock.NewManual(start)
	endpoint := &fakeEndpoint{asked: make(chan barleystep.AttemptID, 9), ask: hangOnce}
	a := &capacity.Allocator{
		Clock: clk, Box: "b1", Configuration: config.NewFixed(nil), Membership: member.NewFixed("b1"), Local: endpoint,
		Meter: metric.Discard(),
	}
	ctx, cancel := clock.WithDeadline(context.Background(), clk, start.Add(time.Second))
	defer cancel()
	done := make(chan error)
	go func() {
		_, err := a.Acquire(ctx, demand(1, 20_000))
		done <- err
	}()
	<-endpoint.asked
	clk.Advance(time.Second)
	quicktest.Check(t, <-done, quicktest.IsNotNil)
	quicktest.Check(t, context.Cause(ctx), quicktest.ErrorIs, context.DeadlineExceeded)
}
