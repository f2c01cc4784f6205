package balance

import (
	"math"
	"time"

	"github.com/barleystep/barleystep/internal/fleet"
)

const (
	// longStreamMaxPause is the longest pause of a long prompt's own stream: its callers accept a
	// few times what short streams may pause.
	longStreamMaxPause = 350 * time.Millisecond
	// shortStreamStallCost and longStreamStallCost are the costs of stalling the stream of a short
	// and of a long prompt.
	shortStreamStallCost = 2.0
	longStreamStallCost  = 3.0
	// shortRegionRisk is the cost of a prefill at an engine for short prompts that has none: one
	// may be on its way.
	shortRegionRisk = 2.0
	// pauseBudgetPart is the part of MaxPause that a pass planned here may take: short prompts that
	// arrive meanwhile are prefilled in the same pass.
	pauseBudgetPart = 0.8
	// worthExponent is the exponent by which the worth of a prompt in time grows with its length
	// relative to the mean prompt.
	worthExponent = 0.75
	// meanPromptWorth is the worth of a prompt of mean length, where stalling a short stream costs
	// 1.
	meanPromptWorth = 2.0
	// safeObjectivePart is the part of the objective within which an expected first event counts as
	// certainly in time: the estimates are rough.
	safeObjectivePart = 0.5
	// lateAnswerWorth is the worth of a late answer, where one in time counts 1 more: it is still
	// of some use to the caller.
	lateAnswerWorth = 0.5
	// callerWaitObjectives is how many objectives callers wait for the first event.
	callerWaitObjectives = 4
	// minDivisor prevents division by zero.
	minDivisor = 1e-9
	// waitCostPerSecond is the cost of a second of waiting, so that of two choices without stalls
	// the faster one wins.
	waitCostPerSecond = 0.2
)

// partCost returns the cost of prefilling a part at the engine: the streams that it stalls, the
// lateness of the prompt, and the engine time lost to passes.
func (b *Balancer) partCost(j Job, t fleet.Target, prefill time.Duration) float64 {
	overhead := b.passOverhead(j, t)
	length := prefill + overhead
	end := b.timeline(t.ID).Earliest(0, length) + length
	return b.stallCost(j, t, prefill) + latenessCost(j, end+j.Cost.Pass()) + b.lostTimePrice()*overhead.Seconds()
}

// stallCost returns the number of the engine's streams that would pause for longer than they may if
// it prefills a part, weighted by their worth.
func (b *Balancer) stallCost(j Job, t fleet.Target, prefill time.Duration) float64 {
	w := b.totalWork(t.ID)
	pass := w.Backlog + prefill + j.Cost.Pass()
	stallCost := 0.0
	if float64(pass) > pauseBudgetPart*float64(j.MaxPause) {
		stallCost += shortStreamStallCost * float64(w.Short)
	}
	if pass > longStreamMaxPause {
		stallCost += longStreamStallCost * float64(w.Long)
	}
	return stallCost
}

// latenessCost returns the cost of a first event after ttft.
func latenessCost(j Job, ttft time.Duration) float64 {
	return latenessLoss(j, ttft) + waitCostPerSecond*ttft.Seconds()
}

// latenessLoss returns the worth that is lost: that of meeting the objective, and the rest of it as
// the caller gives up.
func latenessLoss(j Job, ttft time.Duration) float64 {
	objective := j.Objective.Seconds()
	late := ramp(ttft.Seconds(), safeObjectivePart*objective, objective)
	abandoned := ramp(ttft.Seconds(), objective, callerWaitObjectives*objective)
	return promptWorth(j) * (late + lateAnswerWorth*abandoned)
}

// promptWorth returns the worth of serving the prompt in time.
func promptWorth(j Job) float64 {
	return meanPromptWorth * math.Pow(float64(j.PromptTokens)/max(float64(j.Cost.MeanPromptTokens), 1), worthExponent)
}

// ramp returns the position of x between from and to, clamped to 0 to 1.
func ramp(x, from, to float64) float64 {
	return min(max((x-from)/max(to-from, minDivisor), 0), 1)
}
