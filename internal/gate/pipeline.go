package gate

import "context"

// Next runs the stages that follow.
type Next func(ctx context.Context, x *Exchange) error

// Stage is one filter of the pipeline. It returns a *barleystep.Refusal to end
// the request.
type Stage interface {
	Run(ctx context.Context, x *Exchange, next Next) error
}

// Pipeline runs its stages in order, each around those that follow.
type Pipeline []Stage

// Run passes the exchange through all stages.
func (p Pipeline) Run(ctx context.Context, x *Exchange) error {
	if len(p) == 0 {
		return nil
	}
	return p[0].Run(ctx, x, p[1:].Run)
}
