package gate

import (
	"context"

	"github.com/phuslu/log"

	"github.com/barleystep/barleystep"
	"github.com/barleystep/barleystep/internal/metric"
)

// settle reports and counts exactly one outcome for each request.
type settle struct {
	clock barleystep.Clock
	meter *metric.Meter
	log   *log.Logger
}

// Run runs the later stages, and sends the outcome or the refusal to the caller.
func (s *settle) Run(ctx context.Context, x *Exchange, next Next) error {
	err := next(ctx, x)
	if err == nil {
		outcome := barleystep.OutcomeDone
		if x.outcome != barleystep.OutcomePending {
			outcome = x.outcome
		}
		x.answer.outcome(outcome)
		s.meter.RequestEnded(outcome.String())
		return nil
	}
	r := barleystep.AsRefusal(err)
	s.meter.RequestEnded(r.Outcome().String())
	s.meter.RequestRefused(string(r.Reason()), r.Outcome().String())
	s.log.Info().Str("request", x.id).Str("account", x.account.Name).
		Str("reason", string(r.Reason())).Stringer("outcome", r.Outcome()).
		Dur("took", s.clock.Now().Sub(x.started)).Msg(logPrefix + "Request was refused or failed.")
	x.answer.refuse(r)
	return err
}

const logPrefix = "gate: "
