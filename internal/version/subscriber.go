package version

import (
	"context"
	"time"

	"github.com/barleystep/barleystep"
	"github.com/barleystep/barleystep/internal/clock"
	"github.com/barleystep/barleystep/internal/metric"
)

// Follow keeps a Follower up to date from a peer: one of the hall's readers, or
// any peer while this box has no version. Its exported fields are set before
// Serve.
type Subscriber struct {
	Clock    barleystep.Clock
	Follower *Follower
	// Upstream returns the peer to follow next; it is called by one goroutine.
	Upstream func() (u Upstream, ok bool)
	Meter    *metric.Meter
	// Every is the pause after a stream has ended; the default is 1 second.
	RetryInterval time.Duration
}

// Serve follows until ctx ends.
func (f *Subscriber) Serve(ctx context.Context) error {
	if f.RetryInterval == 0 {
		f.RetryInterval = defaultReadInterval
	}
	for ctx.Err() == nil {
		if u, ok := f.Upstream(); ok {
			_ = u.Follow(ctx, f.Follower.Version(), f.apply) // The stream is opened anew.
			f.Meter.ConfigurationChanged("stream_ended")
		}
		clock.Sleep(ctx, f.Clock, f.RetryInterval)
	}
	return ctx.Err()
}

// take brings a peer's update into force.
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
