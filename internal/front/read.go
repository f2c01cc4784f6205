package front

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"os"
	"sync/atomic"

	"github.com/rotisserie/eris"

	"github.com/barleystep/barleystep"
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
	// The phase is left first: whoever sets rejecting aborts the requests that are still in it.
	x.progress.enter(PhaseWaiting, s.clock.Now())
	if s.rejecting.Load() {
		return stoppingRefusal()
	}
	return next(ctx, x)
}

// readBody buffers the body.
func (*read) readBody(x *Exchange) error {
	limit := x.view.Limits().BodyBytes
	if limit <= 0 {
		limit = defaultMaxBody
	}
	var buffer bytes.Buffer
	if n := x.r.ContentLength; n > 0 && n <= limit {
		buffer.Grow(int(n) + bytes.MinRead)
	}
	_, err := buffer.ReadFrom(x.answer.LimitBody(x.r.Body, limit))
	var tooLarge *http.MaxBytesError
	switch {
	case eris.As(err, &tooLarge):
		return barleystep.NewRefusal(barleystep.ReasonBodyTooLarge, barleystep.OutcomeNotRun, "The body is too large.")
	case eris.Is(err, os.ErrDeadlineExceeded): // The box shuts down.
		return stoppingRefusal()
	case err != nil && !eris.Is(err, io.EOF):
		return barleystep.NewRefusal(barleystep.ReasonCallerGone, barleystep.OutcomeNotRun, "The body did not come whole.")
	}
	x.body = buffer.Bytes()
	return nil
}

// defaultMaxBody bounds bodies, in bytes, if the configuration does not.
const defaultMaxBody = 4 << 20
