package balance

import (
	"math"
	"time"

	"github.com/barleystep/barleystep/internal/fleet"
)

const (
	// promptPause is how long a long prompt's own stream may pause: its callers
	// grant it a few times what short streams may.
	longStreamMaxPause = 350 * time.Millisecond
	// heavyHarm is what holding up the stream of a long prompt counts for,
	// where holding up a short one counts 1.
	longStreamStallCost = 3.0
	// lightRisk is what reading at an engine for short prompts counts for even
	// while it has none: one may be on its way.
	shortRegionRisk = 2.0
	// pauseRoom is the part of the tightest pause that a pass may take which is known
	// in advance: short prompts that come meanwhile are read in it too.
	pauseBudgetPart = 0.8
	// weightPower is how the worth of a prompt in time grows with its length,
	// against the usual prompt.
	worthExponent = 0.75
	// usualWeight is the worth of the usual prompt, where holding up a short
	// stream counts 1.
	meanPromptWorth = 2.0
	// easyPart is the part of the objective within which the first event is
	// surely in time: the estimates are rough.
	safeObjectivePart = 0.5
	// lateWorth is what an answer that comes late is worth, where one in time counts 1
	// more: callers have some use for it.
	lateAnswerWorth = 0.5
	// callerPatience is for how many objectives callers wait for the first event.
	callerWaitObjectives = 4
	// smallest keeps a division from being one by nothing.
	minDivisor = 1e-9
	// waitCost is what a second of waiting counts for by itself, so that of two
	// ways without harm the faster is taken.
	waitCostPerSecond = 0.2
)

// partCost is what it counts for that the engine reads a part: the streams that it
// holds up, and the lateness of the prompt.
func (b *Balancer) partCost(j Job, t fleet.Target, prefill time.Duration) float64 {
	return b.stallCost(j, t, prefill) + latenessCost(j, b.totalWork(t.ID).Backlog+prefill+j.Cost.Pass())
}

// harm is how many streams of the engine would be held up for longer than they
// may pause if it reads a part, weighted by what they are worth.
func (b *Balancer) stallCost(j Job, t fleet.Target, prefill time.Duration) float64 {
	w := b.totalWork(t.ID)
	pass := w.Backlog + prefill + j.Cost.Pass()
	cost := 0.0
	if float64(pass) > pauseBudgetPart*float64(j.MaxPause) {
		cost += float64(w.Short)
	}
	if pass > longStreamMaxPause {
		cost += longStreamStallCost * float64(w.Long)
	}
	return cost
}

// lateCost is what it counts for that the first event comes after so long.
func latenessCost(j Job, ttft time.Duration) float64 {
	return latenessLoss(j, ttft) + waitCostPerSecond*ttft.Seconds()
}

// lateLoss is the worth that is lost: that of being in time by the objective, and what
// is left of it when the caller gives up.
func latenessLoss(j Job, ttft time.Duration) float64 {
	objective := j.Objective.Seconds()
	late := ramp(ttft.Seconds(), safeObjectivePart*objective, objective)
	abandoned := ramp(ttft.Seconds(), objective, callerWaitObjectives*objective)
	return promptWorth(j) * (late + lateAnswerWorth*abandoned)
}

// worthOf is what a prompt in time counts for.
func promptWorth(j Job) float64 {
	return meanPromptWorth * math.Pow(float64(j.PromptTokens)/max(float64(j.Cost.MeanPromptTokens), 1), worthExponent)
}

// ramp returns how far x is on its way between two values, 0 to 1.
func ramp(x, from, to float64) float64 {
	return min(max((x-from)/max(to-from, minDivisor), 0), 1)
}
