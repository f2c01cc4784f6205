// Package pipeline defines the stages that requests pass through.
package pipeline

import "context"

// Next runs the stages that follow.
type Next[X any] func(ctx context.Context, x X) error

// Stage is one filter of a pipeline. It returns a *barleystep.Refusal to end the request.
type Stage[X any] interface {
	Run(ctx context.Context, x X, next Next[X]) error
}

// Pipeline runs its stages in order, each one wrapping those that follow.
type Pipeline[X any] []Stage[X]

// Run passes x through all stages.
func (p Pipeline[X]) Run(ctx context.Context, x X) error {
	if len(p) == 0 {
		return nil
	}
	return p[0].Run(ctx, x, p[1:].Run)
}
