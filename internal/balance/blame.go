package balance

import (
	"time"

	"github.com/barleystep/barleystep"
	"github.com/barleystep/barleystep/internal/fleet"
)

// blameTime is for how long a target is not asked to help because of which another one has
// refused a prompt.
const blameTime = 5 * time.Second

// blamed reports whether a target has refused a prompt of late because of this one.
func (b *Balancer) blamed(t fleet.Target) bool {
	return b.Clock.Now().Before(b.state(t.ID).believed.HelperBackoff.Value)
}

// blame notes that a target has refused a prompt because of a helper.
func (b *Balancer) blame(helper barleystep.TargetID) {
	now, s := b.Clock.Now(), b.state(helper)
	word := TimedStatement{HelperBackoff: Timed[time.Time]{Value: now.Add(blameTime), At: now}}
	s.heardHere = s.heardHere.join(word)
	b.believe(helper, s, word)
}
