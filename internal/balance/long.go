package balance

import (
	"math"
	"time"
)

const (
	// deferStep is the look-ahead for deciding whether a prompt should wait for streams to end, and
	// streamDecay the mean remaining time of a short stream.
	deferStep   = 250 * time.Millisecond
	streamDecay = 900 * time.Millisecond
	// idleCostPerSecond is the cost of a second in which the engines of a prompt wait for it.
	idleCostPerSecond = 2.0
)

// shouldDefer reports whether the prompt should wait until some of the streams that it would stall
// have ended, because that saves more than the prompt loses.
func (b *Balancer) shouldDefer(j Job, g assignment) bool {
	at := b.waited(j) + g.expectedTTFT
	saved := g.transientStallCost * (1 - math.Exp(-deferStep.Seconds()/streamDecay.Seconds()))
	lost := latenessCost(j, at+deferStep) - latenessCost(j, at)
	return saved > lost+idleCostPerSecond*deferStep.Seconds()
}
