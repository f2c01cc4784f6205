package balance

import (
	"slices"
	"time"

	"github.com/barleystep/barleystep"
)

// TargetStatus is what a box knows of one target.
type TargetStatus struct {
	// Down is set while the target seems to be down.
	Down bool
	// Statement is the target's latest statement, and HeardLocally the part that it made to this
	// box; the rest came from peers.
	Statement    TimedStatement
	HeardLocally TimedStatement
	// Resting is set while the target has asked this box for rest.
	Resting bool
	// Slowness is the factor by which the target is slower than others, 1 unless it counts as slow.
	Slowness float64
}

// maxDeclining bounds the number of targets that are named as declining.
const maxDeclining = 16

// DecliningTargets names, for logs, the targets of the service that take nothing from this box: they
// are evacuated, or have stated so, here or to a peer.
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

// declineReason says why the target takes nothing from this box, empty if it does.
func (s *targetState) declineReason(now time.Time) string {
	switch {
	case s.evacuated:
		return "evacuated"
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

// TargetStatus returns what this box knows of the target.
func (b *Balancer) TargetStatus(id barleystep.TargetID) TargetStatus {
	b.mu.Lock()
	defer b.mu.Unlock()
	now, s := b.Clock.Now(), b.targetState(id)
	return TargetStatus{Down: b.seemsDown(s, now), Statement: s.statement, HeardLocally: s.heardLocally, Resting: s.isResting(now), Slowness: b.slowness(id)}
}
