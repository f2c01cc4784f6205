package balance

import (
	"context"
	"slices"
	"time"

	"github.com/rotisserie/eris"

	"github.com/barleystep/barleystep"
	"github.com/barleystep/barleystep/internal/fleet"
)

// Lead is the one box that places the long prompts of all. These take many
// engines at once, so that boxes which decide at the same moment, each without
// knowing of the other, would take the same ones.
type Lead interface {
	// Place returns the plan for a long prompt. It returns ErrFull if the prompt
	// should come back later, and any other error if it is to be placed here.
	Place(ctx context.Context, j Job) (Plan, error)
}

// Plan names the engines of a long prompt.
type Plan struct {
	Target   barleystep.TargetID
	Helpers  []PlannedHelper
	Expected time.Duration
}

// PlannedHelper is an engine that is to read a part of the prompt, with the
// memory, in tokens, to be set aside there.
type PlannedHelper struct {
	Target barleystep.TargetID
	Memory int
}

// grant is a placement that was made for another box.
type grant struct {
	placement *Placement
	until     time.Time
}

// grantLife is how long a placement for another box counts here: until that box
// has told of it, which takes some ticks of the gossip.
const grantLife = 200 * time.Millisecond

// askLead has a long prompt placed by the lead. It returns nothing if there is no
// lead, or none that answers: the prompt is then placed here.
func (b *Balancer) askLead(ctx context.Context, j Job) (p *Placement, err error) {
	if b.Lead == nil || j.Cost == nil || !heavy(j) {
		return nil, nil
	}
	plan, err := b.Lead.Place(ctx, j)
	if eris.Is(err, ErrFull) {
		return nil, err
	}
	if err != nil {
		return nil, nil // The client has logged why; the prompt is placed here.
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.adopt(j, plan), nil
}

// adopt enters a plan in the books, or returns nothing if this box believes that
// one of its targets takes no work.
func (b *Balancer) adopt(j Job, plan Plan) *Placement {
	byID := make(map[barleystep.TargetID]fleet.Target)
	for _, t := range b.candidates(j) {
		byID[t.ID] = t
	}
	first, ok := byID[plan.Target]
	if !ok {
		return nil
	}
	var helpers []fleet.Target
	memory := 0
	for _, h := range plan.Helpers {
		t, ok := byID[h.Target]
		if !ok {
			return nil
		}
		helpers = append(helpers, t)
		memory = h.Memory
	}
	p := b.group(j, first, helpers, memory, plan.Expected)
	p.urgency = urgencyOf(j)
	b.book(p)
	return p
}

// Grant places a long prompt for another box.
func (b *Balancer) Grant(j Job) (plan Plan, err error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.endGrants()
	if j.Cost == nil {
		return Plan{}, ErrNoTarget
	}
	p, err := b.try(j)
	if err != nil {
		return Plan{}, err
	}
	if p == nil {
		return Plan{}, ErrFull
	}
	b.grants = append(b.grants, grant{p, b.Clock.Now().Add(grantLife)})
	plan = Plan{Target: p.Target.ID, Expected: p.expected}
	for _, h := range p.Helpers {
		plan.Helpers = append(plan.Helpers, PlannedHelper{Target: h.ID, Memory: h.Memory})
	}
	return plan, nil
}

// endGrants strikes the grants of which their boxes have told by now.
func (b *Balancer) endGrants() {
	now := b.Clock.Now()
	b.grants = slices.DeleteFunc(b.grants, func(g grant) bool {
		if now.Before(g.until) {
			return false
		}
		b.strike(g.placement)
		return true
	})
}
