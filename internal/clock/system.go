// Package clock implements barleystep.Clock: System for programs and Manual
// for tests and measurements.
package clock

import (
	"time"

	"github.com/barleystep/barleystep"
)

// System is the clock of the operating system. Its zero value is ready to use. Its time goes on
// while the machine is suspended, in which the runtime's steady time stands still: what a box
// knows must not look younger than it is when it wakes.
type System struct{}

// Now returns the time of day at the start of the process and what has passed since. It follows
// no change of the time of day; TimeOfDay does.
func (System) Now() time.Time { return processClock.now() }

// NewTimer returns a timer. While a Watcher runs, it fires on waking if it came due while the
// machine was suspended.
func (System) NewTimer(d time.Duration) barleystep.Timer {
	if d < minAlarm || !alarms.isWatched() {
		return systemTimer{time.NewTimer(d)}
	}
	return newAlarm(d)
}

// TimeOfDay returns the time of day, which other machines know too and which may be set while
// the program runs. Of a clock that is not the operating system's it is its time.
func TimeOfDay(clk barleystep.Clock) time.Time {
	if _, ok := clk.(System); ok {
		return time.Now().Round(0)
	}
	return clk.Now()
}

type systemTimer struct{ *time.Timer }

// C returns the channel of the runtime's timer.
func (t systemTimer) C() <-chan time.Time { return t.Timer.C }
