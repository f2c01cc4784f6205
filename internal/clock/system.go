// Package clock implements barleystep.Clock: System for programs and Manual
// for tests and measurements.
package clock

import (
	"time"

	"github.com/barleystep/barleystep"
)

// System is the clock of the operating system. Its zero value is ready to use.
type System struct{}

// Now returns the wall clock time with its monotonic reading.
func (System) Now() time.Time { return time.Now() }

// NewTimer returns a timer of the runtime.
func (System) NewTimer(d time.Duration) barleystep.Timer {
	return systemTimer{time.NewTimer(d)}
}

type systemTimer struct{ *time.Timer }

// C returns the channel of the runtime's timer.
func (t systemTimer) C() <-chan time.Time { return t.Timer.C }
