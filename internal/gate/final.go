package gate

import "context"

// final is the last stage of a request that the box answers itself, without a target.
type final func(x *Exchange)

// Run answers the request.
func (f final) Run(_ context.Context, x *Exchange, _ Next) error {
	f(x)
	return nil
}
