package front

import (
	"bytes"
	"context"
	"io"
	"net/http"

	"github.com/rotisserie/eris"

	"github.com/barleystep/barleystep"
)

// read takes in the whole body, so that it can be sent more than once.
type read struct {
	stop *stop
}

// Run refuses bodies over the configured size, and those that have not come when the box
// ends.
func (s *read) Run(ctx context.Context, x *Exchange, next Next) error {
	if x.r.ContentLength == 0 {
		return next(ctx, x)
	}
	if err := s.take(ctx, x); err != nil {
		return err
	}
	return next(ctx, x)
}

// take takes the body in. The end of the box bounds nothing but the reading here: once the
// body is whole, the server reads on to notice that the caller goes away.
func (s *read) take(ctx context.Context, x *Exchange) error {
	limit := x.view.Limits().BodyBytes
	if limit <= 0 {
		limit = defaultBody
	}
	var buffer bytes.Buffer
	if n := x.r.ContentLength; n > 0 && n <= limit {
		buffer.Grow(int(n) + bytes.MinRead)
	}
	ending, release := s.stop.bound(ctx, 0)
	defer release()
	defer context.AfterFunc(ending, x.answer.EndBody)()
	_, err := buffer.ReadFrom(x.answer.LimitBody(x.r.Body, limit))
	var large *http.MaxBytesError
	switch {
	case eris.As(err, &large):
		return barleystep.NewRefusal(barleystep.ReasonBodyTooLarge, barleystep.OutcomeNotRun, "The body is too large.")
	case err != nil && eris.Is(context.Cause(ending), errStopping):
		return stopping()
	case err != nil && !eris.Is(err, io.EOF):
		return barleystep.NewRefusal(barleystep.ReasonCallerGone, barleystep.OutcomeNotRun, "The body did not come whole.")
	}
	x.body = buffer.Bytes()
	return nil
}

// defaultBody bounds bodies in bytes if the configuration does not.
const defaultBody = 4 << 20
