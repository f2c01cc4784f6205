package balance

import (
	"slices"
	"time"

	"github.com/barleystep/barleystep"
)

// Belief is what a box believes of one target.
type TargetStatus struct {
	// Down is set while the target seems to be down.
	Down bool
	// Said is what the target says of itself, and HeardHere what it has said to this box; the
	// rest was told by others.
	Statement    TimedStatement
	HeardLocally TimedStatement
	// Resting is set while the target has asked this box for rest.
	Resting bool
}

// mostPassed bounds the targets that are named as passed over.
const maxDeclining = 16

// PassedOver names the targets of the service that take nothing from this box by their own word,
// and whose word that is, for logs.
func (b *Balancer) DecliningTargets(service string) (list []string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.Clock.Now()
	for _, t := range b.Targets() {
		if t.Service != service {
			continue
		}
		if why := b.targetState(t.ID).declineReason(now); why != "" {
			list = append(list, string(t.ID)+" "+why)
		}
	}
	slices.Sort(list)
	return list[:min(len(list), maxDeclining)]
}

// refusal tells in words why the target takes nothing from this box, empty if it does.
func (s *targetState) declineReason(now time.Time) string {
	switch {
	case s.isLeaving() && s.statement.Leaving == s.heardLocally.Leaving:
		return "leaves, heard"
	case s.isLeaving():
		return "leaves, told"
	case s.isResting(now):
		return "rests, heard"
	case s.isProbing():
		return "rested, asked by one request"
	default:
		return ""
	}
}

// Belief returns what this box believes of the target.
func (b *Balancer) TargetStatus(id barleystep.TargetID) TargetStatus {
	b.mu.Lock()
	defer b.mu.Unlock()
	now, s := b.Clock.Now(), b.targetState(id)
	return TargetStatus{Down: b.seemsDown(s, now), Statement: s.statement, HeardLocally: s.heardLocally, Resting: s.isResting(now)}
}
