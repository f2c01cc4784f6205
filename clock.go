package barleystep

import "time"

// Clock tells the time and makes timers. Every part takes its clock from
// outside, so that tests can set the time. Implementations are safe for
// concurrent use.
type Clock interface {
	// Now returns the current time. Differences between two results of one
	// clock are monotonic.
	Now() time.Time
	// NewTimer returns a timer that fires once after d; a d of zero or less
	// fires at once.
	NewTimer(d time.Duration) Timer
}

// Timer is a single-shot timer made by a Clock.
type Timer interface {
	// C returns the channel on which the timer sends once when it fires.
	C() <-chan time.Time
	// Stop keeps the timer from firing. It reports false if it has fired.
	Stop() bool
}
