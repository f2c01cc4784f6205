package barleystep

import "time"

// Statement is what a target says of itself in the head of an answer. Its zero value says
// nothing.
type Statement struct {
	// Limit is how much the target takes from all boxes, none if it does not say.
	Limit RateLimit
	// Leaving is set when the target is about to end.
	Leaving bool
	// Rest is for how long the target wants nothing from the box that it answers, zero if it
	// does not say.
	Rest time.Duration
}
