package front

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/barleystep/barleystep"
)

// authenticate finds the client account of the caller's key.
type authenticate struct {
	// freshness is how old the proof may be that the known keys are current; a
	// key that was taken away longer ago must not be served by any box.
	freshness *atomic.Int64
}

// Run refuses requests without a valid key, and those whose key cannot be
// proved to be still valid. It is the caller's sending that counts, which was
// before now, so a proof that is new enough now is new enough.
func (s *authenticate) Run(ctx context.Context, x *Exchange, next Next) error {
	if x.route.Public || !x.view.RequiresKeys() {
		return next(ctx, x)
	}
	account := x.view.Account(x.call.APIKey)
	if account == nil {
		return barleystep.NewRefusal(barleystep.ReasonInvalidKey, barleystep.OutcomeNotRun, "The key is not valid.")
	}
	maxAge := time.Duration(s.freshness.Load())
	if maxAge > 0 && (x.viewAge < 0 || x.viewAge > maxAge) {
		return notRunRefusal(barleystep.ReasonKeysNotConfirmed, "The box cannot tell whether the key is still valid.", unavailableRetryAfter)
	}
	x.account = account.Name
	if account.HasPriority {
		x.priority = account.Priority
	}
	return next(ctx, x)
}
