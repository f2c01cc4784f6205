package barleystep

import "time"

// Statement is what a target says of itself in the head of a response. The zero value says
// nothing.
type Statement struct {
	// Limit is the request rate that the target accepts from all boxes, unset if it does not
	// say.
	Limit RateLimit
	// Leaving is set if the target is about to stop.
	Leaving bool
	// Rest is how long the target wants no requests from the box that it answers, zero if it
	// does not say.
	Rest time.Duration
	// Load is the load that the target states, unset if it states none or an invalid one.
	Load ReportedLoad
	// InvalidLoad is set if it states a load that is unreadable, negative or absurdly large.
	InvalidLoad bool
}
