package front

import (
	"context"

	"github.com/rotisserie/eris"

	"github.com/barleystep/barleystep/internal/clock"
)

// errRestarted means that a target which the try needs has started anew: it knows nothing of
// the request, and nothing more comes of it.
var errRestarted = eris.New("front: the target has started anew")

// leaveRestarted ends the try as soon as a target that it needs is known to have started anew,
// if another target can take the request. One that may not run twice is left alone: there is
// nothing to be won by ending it. It returns when the try ends.
func (t *try) abandonRestarted(ctx context.Context, cancel context.CancelCauseFunc) {
	select {
	case <-ctx.Done():
		return
	case <-t.placement.Lost():
	}
	for !t.claimRetry() {
		if !clock.Sleep(ctx, t.stage.clock, claimRetryInterval) {
			return
		}
	}
	t.stage.log.Info().Str("request", t.exchange.call.RequestID).Str("target", string(t.placement.Target.ID)).
		Msg(logPrefix + "The target, or a helper, has started anew. The request goes to others.")
	cancel(errRestarted)
}

// movable reports whether the request may be sent once more after the send that comes.
func (t *try) canResend() bool {
	x := t.exchange
	return x.route.Repeatable() && x.sends+1 < x.route.MaxTries
}
