package balance

import (
	"math"
	"time"

	"github.com/barleystep/barleystep/internal/fleet"
)

// readAhead is how much an engine may still have to read when it is given the next
// part. An engine reads the part that came last first, so that parts that overlap
// hold each other up.
const maxPrefillBacklog = 80 * time.Millisecond

// placeHeavy sends a long prompt to an engine that writes such prompts and
// chooses how many others help to read it, and which: those where it holds up
// the fewest streams. It returns nothing while these engines read something else:
// a prompt that waits here can still go to others, or let a shorter one pass.
func (b *Balancer) placeLong(j Job, engines []fleet.Target) (p *Placement, h holdReason) {
	g := b.bestAssignment(j, engines)
	switch {
	case g.wait > maxPrefillBacklog:
		return nil, holdPrefill
	case b.shouldDefer(j, g):
		return nil, holdStreams
	}
	return b.placeAssignment(j, g), holdNone
}

const (
	// lullStep is how far ahead it is looked whether a prompt should wait for streams
	// to end, and streamLife how long a short stream lasts on when nothing is known
	// of it but that it runs.
	deferStep   = 250 * time.Millisecond
	streamDecay = 900 * time.Millisecond
	// idleCost is what a second counts for in which the engines of a prompt wait for
	// it.
	idleCostPerSecond = 1.0
)

// lull reports whether the prompt should wait until some of the streams that it
// would hold up have ended: whether that saves more than the prompt loses.
func (b *Balancer) shouldDefer(j Job, g assignment) bool {
	at := b.waited(j) + g.expectedTTFT
	saved := g.transientStallCost * (1 - math.Exp(-deferStep.Seconds()/streamDecay.Seconds()))
	lost := latenessCost(j, at+deferStep) - latenessCost(j, at)
	return saved > lost+idleCostPerSecond*deferStep.Seconds()
}
