package gate

import (
	"context"
	"strings"

	"github.com/barleystep/barleystep"
)

const bearer = "Bearer "

// authenticate looks up the client account of the caller's API key.
type authenticate struct{}

// Run refuses a caller without a valid key.
func (authenticate) Run(ctx context.Context, x *Exchange, next Next) error {
	key, ok := strings.CutPrefix(x.r.Header.Get("Authorization"), bearer)
	if !ok || key == "" {
		return refuse(barleystep.ReasonMissingKey, "Send your key as: Authorization: Bearer KEY.")
	}
	account, ok := x.view.AccountOfKey(key)
	if !ok {
		return refuse(barleystep.ReasonInvalidKey, "The key is not valid or no longer valid.")
	}
	x.account = account
	return next(ctx, x)
}

// refuse returns a refusal with the outcome "not-run".
func refuse(reason barleystep.Reason, message string) *barleystep.Refusal {
	return barleystep.NewRefusal(reason, barleystep.OutcomeNotRun, message)
}
