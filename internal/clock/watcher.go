package clock

import (
	"context"
	"time"

	"github.com/phuslu/log"
)

// Watcher notices that the machine was suspended: it tells of it, and looks again at the timers
// that the suspension has made late. Its exported fields are set before Serve.
type Watcher struct {
	Log *log.Logger
}

const (
	// watchEvery is how soon after waking it is noticed.
	watchInterval = 250 * time.Millisecond
	// leastGap is the shortest suspension of which there is a line.
	minGap    = 100 * time.Millisecond
	logPrefix = "clock: "
)

// String names the service in the supervisor's lines.
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
		w.Log.Warn().Dur("gap", gap).Msg(logPrefix + "This machine was suspended. What is known is that much older.")
	})
}
