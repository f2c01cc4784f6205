package barleystep

import "time"

// Clock tells the time and makes timers. Components take it as a dependency so that tests can
// control time. Implementations are safe for concurrent use.
type Clock interface {
	// Now returns the current time. Differences between two results of one clock are monotonic.
	Now() time.Time
	// NewTimer returns a timer that fires once after d, or at once if d is zero or less.
	NewTimer(d time.Duration) Timer
}

// Timer is a single-shot timer made by a Clock.
type Timer interface {
	// C returns the channel on which the timer sends once when it fires.
	C() <-chan time.Time
	// Stop prevents the timer from firing. It returns false if the timer has already fired.
	Stop() bool
}
