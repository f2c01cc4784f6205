package balance

import (
	"math"
	"time"

	"github.com/barleystep/barleystep/internal/fleet"
)

// maxPrefillBacklog is the longest prefill backlog of an engine that is given another part. An
// engine prefills the latest part first, so overlapping parts delay each other.
const maxPrefillBacklog = 80 * time.Millisecond

// placeLong sends a long prompt to an engine that decodes such prompts and chooses the helpers that
// stall the fewest streams. It returns nothing while these engines prefill other prompts: a prompt
// that waits here can still go to other engines, or let a shorter one pass.
func (b *Balancer) placeLong(j Job, engines []fleet.Target) (p *Placement, h holdReason) {
	g := b.bestAssignment(j, b.withoutSlow(j, engines))
	switch {
	case g.wait > maxPrefillBacklog:
		return nil, holdPrefill
	case b.shouldDefer(j, g):
		return nil, holdStreams
	}
	return b.placeAssignment(j, g), holdNone
}

const (
	// deferStep is the look-ahead for deciding whether a prompt should wait for streams to end, and
	// streamDecay the mean remaining time of a short stream.
	deferStep   = 250 * time.Millisecond
	streamDecay = 900 * time.Millisecond
	// idleCostPerSecond is the cost of a second in which the engines of a prompt wait for it.
	idleCostPerSecond = 1.0
)

// shouldDefer reports whether the prompt should wait until some of the streams that it would stall
// have ended, because that saves more than the prompt loses.
func (b *Balancer) shouldDefer(j Job, g assignment) bool {
	at := b.waited(j) + g.expectedTTFT
	saved := g.transientStallCost * (1 - math.Exp(-deferStep.Seconds()/streamDecay.Seconds()))
	lost := latenessCost(j, at+deferStep) - latenessCost(j, at)
	return saved > lost+idleCostPerSecond*deferStep.Seconds()
}
