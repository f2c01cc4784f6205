package gate

import (
	"context"

	"github.com/barleystep/barleystep"
	"github.com/barleystep/barleystep/internal/limit"
)

// admit enforces the rate limits that the policy gives to accounts.
type admit struct {
	limiter *limit.Limiter
}

// Run refuses a request of an account that has used up its rate, with the time after which it may
// be retried. Calls of plain services are not limited.
func (a *admit) Run(ctx context.Context, x *Exchange, next Next) error {
	if a.limiter == nil || x.isService() {
		return next(ctx, x)
	}
	rate := x.view.Share(x.account.Name, x.class.Name).Rate
	wait, ok := a.limiter.Take(x.account.Name, rate, x.prompt.tokens+x.prompt.maxOutput)
	if !ok {
		return refuse(barleystep.ReasonOverShare, "The account has used up its rate.").WithRetryAfter(wait)
	}
	return next(ctx, x)
}
