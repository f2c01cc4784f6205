package balance

import (
	"time"

	"github.com/barleystep/barleystep"
	"github.com/barleystep/barleystep/internal/fleet"
)

// blameTime is for how long a target is not asked to help because of which another one has
// refused a prompt.
const helperBackoff = 5 * time.Second

// blamed reports whether a target has refused a prompt of late because of this one.
func (b *Balancer) inHelperBackoff(t fleet.Target) bool {
	return b.Clock.Now().Before(b.targetState(t.ID).statement.HelperBackoff.Value)
}

// blame notes that a target has refused a prompt because of a helper.
func (b *Balancer) backOffHelper(helper barleystep.TargetID) {
	now, s := b.Clock.Now(), b.targetState(helper)
	word := TimedStatement{HelperBackoff: Timed[time.Time]{Value: now.Add(helperBackoff), At: now}}
	s.heardLocally = s.heardLocally.later(word)
	b.updateStatement(helper, s, word)
}
