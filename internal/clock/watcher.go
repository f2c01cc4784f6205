package clock

import (
	"context"
	"time"

	"github.com/phuslu/log"
)

// Watcher detects suspensions of the machine, logs them, and resets the timers that they have
// delayed. Its exported fields are set before Serve.
type Watcher struct {
	Log *log.Logger
}

const (
	// watchInterval bounds how soon after waking a suspension is detected.
	watchInterval = 250 * time.Millisecond
	// minGap is the shortest suspension that is logged.
	minGap    = 100 * time.Millisecond
	logPrefix = "clock: "
)

// String returns the service's name for the supervisor's logs.
func (*Watcher) String() string { return "watcher of suspensions" }

// Serve watches until ctx ends.
func (w *Watcher) Serve(ctx context.Context) error {
	alarms.watchers.Add(1)
	defer alarms.watchers.Add(-1)
	before := processClock.measure()
	return Repeat(ctx, System{}, watchInterval, func(context.Context) {
		total := processClock.measure()
		gap := total - before
		if gap < minGap {
			return
		}
		before = total
		alarms.wake()
		w.Log.Warn().Dur("gap", gap).Msg(logPrefix + "This machine was suspended. Its state is older by this gap.")
	})
}
