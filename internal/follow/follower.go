// Package follow keeps what a box believes of the configuration and of the
// targets up to date with the platform's store, and knows how old its last
// proof of that is.
package follow

import (
	"context"
	"time"

	"github.com/phuslu/log"
	"github.com/rotisserie/eris"

	"github.com/barleystep/barleystep"
	"github.com/barleystep/barleystep/internal/clock"
)

// Handler takes what a Follower reads. Its calls come one after another.
type Handler interface {
	// Reset replaces everything by a whole topic.
	Reset(records []barleystep.Record)
	// Change applies one change.
	Change(record barleystep.Record)
	// Proved is told, after each answer, that what is known includes all that
	// was acknowledged before asked.
	Proved(asked time.Time, revision barleystep.Revision)
	// Lost is told that the store cannot be read, with the time of the first
	// failure in a row.
	Lost(since time.Time)
}

// Follower reads one topic for ever. Its exported fields are set before Serve.
type Follower struct {
	Clock     barleystep.Clock
	Catalogue barleystep.Catalogue
	Topic     barleystep.Topic
	Handler   Handler
	Log       *log.Logger
	// Wait is how long one call may wait for a change.
	Wait time.Duration

	known    bool
	revision barleystep.Revision
	failing  time.Time
	failures int
}

const (
	// firstPause is the wait after a first failed call; it doubles up to
	// longestPause. Calls are priced even when they are refused, and the first
	// answer after an outage should not come later than this.
	firstPause   = 50 * time.Millisecond
	longestPause = 400 * time.Millisecond
)

const logPrefix = "follow: "

// Serve reads until ctx ends.
func (f *Follower) Serve(ctx context.Context) error {
	for ctx.Err() == nil {
		asked := f.Clock.Now()
		err := f.step(ctx, asked)
		if err == nil {
			f.recovered()
			continue
		}
		if ctx.Err() != nil {
			break
		}
		if eris.Is(err, barleystep.ErrHistoryLost) {
			f.known = false
			f.Log.Warn().Str("topic", f.Topic.String()).Uint64("revision", uint64(f.revision)).
				Msg(logPrefix + "The store has dropped its history. The topic is read anew.")
			continue
		}
		f.failed(asked, err)
		clock.Sleep(ctx, f.Clock, min(firstPause<<min(f.failures, 10), longestPause))
	}
	return ctx.Err()
}

// step makes one call and applies its answer.
func (f *Follower) step(ctx context.Context, asked time.Time) error {
	if !f.known {
		b, err := f.Catalogue.Fetch(ctx, f.Topic)
		if err != nil {
			return err
		}
		f.Handler.Reset(b.Records())
		f.known = true
		f.revision = b.Revision()
		f.Handler.Proved(asked, f.revision)
		return nil
	}
	b, err := f.Catalogue.Follow(ctx, f.Topic, f.revision, f.Wait)
	if err != nil {
		return err
	}
	for _, r := range b.Records() {
		f.Handler.Change(r)
	}
	f.revision = max(f.revision, b.Revision())
	f.Handler.Proved(asked, f.revision)
	return nil
}

func (f *Follower) failed(asked time.Time, err error) {
	f.failures++
	if f.failing.IsZero() {
		f.failing = asked
		f.Log.Warn().Str("topic", f.Topic.String()).Err(err).Msg(logPrefix + "The store does not answer.")
	}
	f.Handler.Lost(f.failing)
}

func (f *Follower) recovered() {
	if f.failing.IsZero() {
		return
	}
	f.Log.Info().Str("topic", f.Topic.String()).Int("failed_calls", f.failures).
		Dur("away", f.Clock.Now().Sub(f.failing)).Msg(logPrefix + "The store answers again.")
	f.failing = time.Time{}
	f.failures = 0
}
