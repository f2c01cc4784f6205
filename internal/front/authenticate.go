package front

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/barleystep/barleystep"
)

// authenticate identifies the client account by the caller's API key.
type authenticate struct {
	// freshness is the maximum age of the last confirmation that the known keys are current, in
	// nanoseconds; 0 disables the check. It bounds how long a box may accept a key after its
	// revocation.
	freshness *atomic.Int64
}

// Run refuses requests without a valid key, and those whose key cannot be confirmed as still valid.
// The key has to be valid at the time the caller sent the request, which is before now, so a
// confirmation within the limit now is recent enough.
func (s *authenticate) Run(ctx context.Context, x *Exchange, next Next) error {
	if x.route.Public || !x.view.RequiresKeys() {
		return next(ctx, x)
	}
	account := x.view.Account(x.call.APIKey)
	if account == nil && x.call.APIKey != "" && x.outdated {
		return outdatedRefusal("The box cannot tell whether the key is valid.")
	}
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
