// Package clock implements barleystep.Clock: System for programs and Manual for tests and
// measurements.
package clock

import (
	"time"

	"github.com/barleystep/barleystep"
)

// System is the clock of the operating system. Its zero value is ready to use. Its time continues
// while the machine is suspended, unlike the runtime's monotonic time: a box's state must not look
// more recent than it is on waking.
type System struct{}

// Now returns the time of day at the start of the process plus the time since. It ignores later
// changes of the time of day, unlike TimeOfDay.
func (System) Now() time.Time { return processClock.now() }

// NewTimer returns a timer. While a Watcher runs, it fires on waking if it came due while the
// machine was suspended.
func (System) NewTimer(d time.Duration) barleystep.Timer {
	if d < minAlarm || !alarms.isWatched() {
		return systemTimer{time.NewTimer(d)}
	}
	return newAlarm(d)
}

// TimeOfDay returns the time of day, which machines share and which may be set while the program
// runs. For any clock other than System it is the clock's time.
func TimeOfDay(clk barleystep.Clock) time.Time {
	if _, ok := clk.(System); ok {
		return time.Now().Round(0)
	}
	return clk.Now()
}

type systemTimer struct{ *time.Timer }

// C returns the channel of the runtime's timer.
func (t systemTimer) C() <-chan time.Time { return t.Timer.C }
