package balance

import (
	"math"
	"time"

	"github.com/barleystep/barleystep/internal/fleet"
)

const (
	// promptPause is how long a long prompt's own stream may pause: its callers
	// grant it a few times what short streams may.
	promptPause = 350 * time.Millisecond
	// heavyHarm is what holding up the stream of a long prompt counts for,
	// where holding up a short one counts 1.
	heavyHarm = 3.0
	// lightRisk is what reading at an engine for short prompts counts for even
	// while it has none: one may be on its way.
	lightRisk = 2.0
	// pauseRoom is the part of the tightest pause that a pass may take which is known
	// in advance: short prompts that come meanwhile are read in it too.
	pauseRoom = 0.8
	// weightPower is how the worth of a prompt in time grows with its length,
	// against the usual prompt.
	weightPower = 0.75
	// usualWeight is the worth of the usual prompt, where holding up a short
	// stream counts 1.
	usualWeight = 2.0
	// easyPart is the part of the objective within which the first event is
	// surely in time: the estimates are rough.
	easyPart = 0.5
	// lateWorth is what an answer that comes late is worth, where one in time counts 1
	// more: callers have some use for it.
	lateWorth = 0.5
	// callerPatience is for how many objectives callers wait for the first event.
	callerPatience = 4
	// smallest keeps a division from being one by nothing.
	smallest = 1e-9
	// waitCost is what a second of waiting counts for by itself, so that of two
	// ways without harm the faster is taken.
	waitCost = 0.2
)

// partCost is what it counts for that the engine reads a part: the streams that it
// holds up, and the lateness of the prompt.
func (b *Balancer) partCost(j Job, t fleet.Target, share time.Duration) float64 {
	return b.harm(j, t, share) + lateCost(j, b.work(t.ID).Backlog+share+j.Cost.Pass())
}

// harm is how many streams of the engine would be held up for longer than they
// may pause if it reads a part, weighted by what they are worth.
func (b *Balancer) harm(j Job, t fleet.Target, share time.Duration) float64 {
	w := b.work(t.ID)
	pass := w.Backlog + share + j.Cost.Pass()
	harm := 0.0
	if float64(pass) > pauseRoom*float64(j.MaxPause) {
		harm += float64(w.Short)
	}
	if pass > promptPause {
		harm += heavyHarm * float64(w.Long)
	}
	return harm
}

// lateCost is what it counts for that the first event comes after so long.
func lateCost(j Job, first time.Duration) float64 {
	return lateLoss(j, first) + waitCost*first.Seconds()
}

// lateLoss is the worth that is lost: that of being in time by the objective, and what
// is left of it when the caller gives up.
func lateLoss(j Job, first time.Duration) float64 {
	objective := j.Objective.Seconds()
	late := ramp(first.Seconds(), easyPart*objective, objective)
	gone := ramp(first.Seconds(), objective, callerPatience*objective)
	return worthOf(j) * (late + lateWorth*gone)
}

// worthOf is what a prompt in time counts for.
func worthOf(j Job) float64 {
	return usualWeight * math.Pow(float64(j.PromptTokens)/max(float64(j.Cost.MeanPromptTokens), 1), weightPower)
}

// ramp returns how far x is on its way between two values, 0 to 1.
func ramp(x, from, to float64) float64 {
	return min(max((x-from)/max(to-from, smallest), 0), 1)
}
