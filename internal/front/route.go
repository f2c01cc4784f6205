package front

import (
	"context"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/barleystep/barleystep"
	"github.com/barleystep/barleystep/internal/clock"
	"github.com/barleystep/barleystep/internal/event"
)

// unavailableRetryAfter is the Retry-After of a box that cannot serve yet or any more. It is short
// because another box takes the next attempt.
const unavailableRetryAfter = 100 * time.Millisecond

// route finds the route of the request and computes its deadline.
type route struct {
	clock         barleystep.Clock
	configuration Configuration
	loader        Loader
	// maxAge is the age of the last confirmation up to which the configuration is the newest one;
	// zero means that it always is.
	maxAge time.Duration
}

// Loader tells whether the box has read what it needs to serve callers.
type Loader interface {
	// Loaded reports whether it has.
	Loaded() bool
	// Await reports that a caller waits for it.
	Await()
}

const (
	// loadTimeout bounds the wait of a request at a box that has just started, which reads what it
	// needs in some tens of milliseconds.
	loadTimeout = 500 * time.Millisecond
	// loadPollInterval is how often such a request checks whether the box has.
	loadPollInterval = 10 * time.Millisecond
)

// awaitLoad waits until the box has read what it needs, for at most loadTimeout.
func (s *route) awaitLoad(ctx context.Context, x *Exchange) {
	if s.loader == nil || s.loader.Loaded() {
		return
	}
	s.loader.Await()
	for s.clock.Now().Sub(x.started) < loadTimeout && !s.loader.Loaded() {
		if !clock.Sleep(ctx, s.clock, loadPollInterval) {
			return
		}
	}
}

// outdatedRefusal returns the refusal of a request that a newer configuration may allow. Its caller
// tries another box.
func outdatedRefusal(message string) *barleystep.Refusal {
	return notRunRefusal(barleystep.ReasonOutdatedConfiguration, message, unavailableRetryAfter)
}

// Run refuses requests for which there is no route.
func (s *route) Run(ctx context.Context, x *Exchange, next Next) error {
	s.awaitLoad(ctx, x)
	x.viewAge = s.configuration.Age() // Read first: a change in between only makes the view newer than its age.
	x.view = s.configuration.View()
	if x.view == nil {
		return notRunRefusal(barleystep.ReasonNoConfiguration, "No configuration is known yet.", unavailableRetryAfter)
	}
	x.outdated = s.maxAge > 0 && (x.viewAge < 0 || x.viewAge > s.maxAge)
	x.route = x.view.Route(x.r.Host, x.r.URL.Path)
	if x.route == nil && x.outdated {
		return outdatedRefusal("The box cannot tell whether there is such a route.")
	}
	if x.route == nil {
		return barleystep.NewRefusal(barleystep.ReasonUnknownService, barleystep.OutcomeNotRun, "There is no such route.")
	}
	x.service = x.route.Pick(xxhash.Sum64String(x.call.RequestID))
	x.priority = x.route.Priority
	if x.route.Resumable {
		x.cursor = event.ParseCursor(x.call.LastEventID)
	}
	x.deadline = x.started.Add(x.route.Timeout)
	if limit := x.call.TimeLimit; limit > 0 && limit < x.route.Timeout {
		x.deadline = x.started.Add(limit)
	}
	return next(ctx, x)
}
