package balance

import (
	"context"
	"time"

	"github.com/barleystep/barleystep"
)

// Planner places waiting long prompts at their planned starts. Its exported fields are set before
// Serve.
type Planner struct {
	Clock    barleystep.Clock
	Balancer *Balancer
}

// Serve runs until ctx ends.
func (p *Planner) Serve(ctx context.Context) error {
	changed := p.Balancer.PlanChanged()
	for {
		due, stop := p.timer()
		select {
		case <-ctx.Done():
			stop()
			return ctx.Err()
		case <-changed:
			stop()
		case <-due:
			p.Balancer.ServePlanned()
		}
	}
}

// timer returns a channel that delivers at the next start, nil if nothing is planned.
func (p *Planner) timer() (due <-chan time.Time, stop func() bool) {
	next := p.Balancer.NextStart()
	if next.IsZero() {
		return nil, func() bool { return true }
	}
	t := p.Clock.NewTimer(next.Sub(p.Clock.Now()))
	return t.C(), t.Stop
}

// PlanChanged returns the channel that receives a value after the plan has changed.
func (b *Balancer) PlanChanged() <-chan struct{} {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.plannedChannel()
}
