package balance

import (
	"time"

	"github.com/barleystep/barleystep"
	"github.com/barleystep/barleystep/internal/fleet"
)

// helperBackoff is how long a target gets no parts of prompts after another one has refused a
// prompt because of it.
const helperBackoff = 5 * time.Second

// inHelperBackoff reports whether a target has recently refused a prompt because of this one.
func (b *Balancer) inHelperBackoff(t fleet.Target) bool {
	return b.Clock.Now().Before(b.targetState(t.ID).statement.HelperBackoff.Value)
}

// backOffHelper notes that a target has refused a prompt because of a helper.
func (b *Balancer) backOffHelper(helper barleystep.TargetID) {
	now, s := b.Clock.Now(), b.targetState(helper)
	update := TimedStatement{HelperBackoff: Timed[time.Time]{Value: now.Add(helperBackoff), At: now}}
	s.heardLocally = s.heardLocally.later(update)
	b.updateStatement(helper, s, update)
}
