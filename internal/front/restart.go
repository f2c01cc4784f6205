package front

import (
	"context"

	"github.com/rotisserie/eris"

	"github.com/barleystep/barleystep/internal/clock"
)

// errRestarted means that a target that the try needs has restarted. The new process knows nothing
// of the request, so no answer will come.
var errRestarted = eris.New("front: the target has started anew")

// abandonRestarted cancels the try as soon as a target that it needs is known to have restarted and
// another target can take the request. It returns when the try ends. It is only used for requests
// that may run twice, since others gain nothing from being cancelled.
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
		Msg(logPrefix + "The target or a helper has restarted. The request moves to another target.")
	cancel(errRestarted)
}

// canResend reports whether the request may be sent once more after the next send.
func (t *try) canResend() bool {
	x := t.exchange
	return x.route.Repeatable() && x.sends+1 < x.route.MaxTries
}
