package version

import (
	"context"
	"time"

	"github.com/barleystep/barleystep"
	"github.com/barleystep/barleystep/internal/clock"
	"github.com/barleystep/barleystep/internal/metric"
)

// Subscriber keeps a Follower up to date with the versions that a peer streams. Its exported fields
// are set before Serve.
type Subscriber struct {
	Clock    barleystep.Clock
	Follower *Follower
	// Upstream returns the peer to follow next; it is called from one goroutine only.
	Upstream func() (u Upstream, ok bool)
	Meter    *metric.Meter
	// RetryInterval is the pause after a stream has ended; the default is 1 second.
	RetryInterval time.Duration
}

// Serve follows peers until ctx ends.
func (f *Subscriber) Serve(ctx context.Context) error {
	if f.RetryInterval == 0 {
		f.RetryInterval = defaultReadInterval
	}
	for ctx.Err() == nil {
		if u, ok := f.Upstream(); ok {
			_ = u.Follow(ctx, f.Follower.Version(), f.apply) // The next round opens a new stream.
			f.Meter.ConfigurationChanged("stream_ended")
		}
		clock.Sleep(ctx, f.Clock, f.RetryInterval)
	}
	return ctx.Err()
}

// apply applies a peer's update and notes its confirmation.
func (f *Subscriber) apply(u Update) (err error) {
	now := f.Clock.Now()
	if u.Snapshot {
		for _, inc := range u.Increments {
			err = f.Follower.Load(inc)
		}
	} else {
		err = f.Follower.Apply(u.Increments)
	}
	if err != nil {
		return err
	}
	if u.Age >= 0 {
		f.Follower.Confirm(u.Version, now.Add(-u.Age))
	}
	return nil
}
