package front

import (
	"context"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/barleystep/barleystep"
)

// unavailableRetryAfter is the Retry-After of a box that cannot serve yet or any more. It is short
// because another box takes the next attempt.
const unavailableRetryAfter = 100 * time.Millisecond

// route finds the route of the request and computes its deadline.
type route struct {
	configuration Configuration
}

// Run refuses requests for which there is no route.
func (s *route) Run(ctx context.Context, x *Exchange, next Next) error {
	x.view = s.configuration.View()
	if x.view == nil {
		return notRunRefusal(barleystep.ReasonNoConfiguration, "No configuration is known yet.", unavailableRetryAfter)
	}
	x.viewAge = s.configuration.Age()
	x.route = x.view.Route(x.r.Host, x.r.URL.Path)
	if x.route == nil {
		return barleystep.NewRefusal(barleystep.ReasonUnknownService, barleystep.OutcomeNotRun, "There is no such route.")
	}
	x.service = x.route.Pick(xxhash.Sum64String(x.call.RequestID))
	x.priority = x.route.Priority
	x.deadline = x.started.Add(x.route.Timeout)
	if limit := x.call.TimeLimit; limit > 0 && limit < x.route.Timeout {
		x.deadline = x.started.Add(limit)
	}
	return next(ctx, x)
}
