package front

import (
	"context"
	"net/http"
	"os"
	"sync/atomic"

	"github.com/rotisserie/eris"

	"github.com/barleystep/barleystep"
	"github.com/barleystep/barleystep/internal/clock"
	"github.com/barleystep/barleystep/internal/guard"
)

// read buffers the whole body, so that it can be sent more than once.
type read struct {
	clock barleystep.Clock
	// rejecting is set once the box refuses further requests.
	rejecting *atomic.Bool
}

// Run refuses bodies over the configured size, and requests that are incomplete when the box begins
// to refuse further ones.
func (s *read) Run(ctx context.Context, x *Exchange, next Next) error {
	if x.r.ContentLength != 0 {
		if err := s.readBody(x); err != nil {
			return err
		}
	}
	x.conn.RequestRead()
	// The phase is left first: whoever sets rejecting aborts the requests that are still in it.
	x.progress.enter(PhaseWaiting, s.clock.Now())
	if s.rejecting.Load() {
		return stoppingRefusal()
	}
	return next(ctx, x)
}

// readBody buffers the body.
func (s *read) readBody(x *Exchange) (err error) {
	limit := x.view.Limits().BodyBytes
	if limit <= 0 {
		limit = defaultMaxBody
	}
	if x.r.ContentLength > limit {
		return errBodyTooLarge
	}
	x.answer.SetBodyDeadline(clock.WallTime(s.clock, x.deadline))
	if s.rejecting.Load() { // The deadline may have replaced one that aborts the body.
		return stoppingRefusal()
	}
	if x.conn.IsEvicted() {
		return noMemoryRefusal()
	}
	x.body, err = x.conn.ReadBody(x.answer.LimitBody(x.r.Body, limit), x.r.ContentLength)
	return s.refusal(x, err)
}

// errBodyTooLarge refuses a body over the limit.
var errBodyTooLarge = barleystep.NewRefusal(barleystep.ReasonBodyTooLarge, barleystep.OutcomeNotRun, "The body is too large.")

// refusal returns the refusal of a request whose body could not be read.
func (s *read) refusal(x *Exchange, err error) error {
	var tooLarge *http.MaxBytesError
	switch {
	case err == nil:
		return nil
	case eris.As(err, &tooLarge):
		return errBodyTooLarge
	case eris.Is(err, guard.ErrNoMemory), x.conn.IsEvicted():
		return noMemoryRefusal()
	case eris.Is(err, os.ErrDeadlineExceeded) && s.clock.Now().Before(x.deadline): // The box shuts down.
		return stoppingRefusal()
	case eris.Is(err, os.ErrDeadlineExceeded):
		return barleystep.NewRefusal(barleystep.ReasonDeadline, barleystep.OutcomeNotRun, "The body did not come within the time limit.")
	default:
		return barleystep.NewRefusal(barleystep.ReasonCallerGone, barleystep.OutcomeNotRun, "The body did not come whole.")
	}
}

// noMemoryRefusal returns the refusal of a request whose memory others need. Another box may have some.
func noMemoryRefusal() *barleystep.Refusal {
	return notRunRefusal(barleystep.ReasonNoMemory, "The box has no memory for the request.", unavailableRetryAfter)
}

// defaultMaxBody bounds bodies, in bytes, if the configuration does not.
const defaultMaxBody = 4 << 20
