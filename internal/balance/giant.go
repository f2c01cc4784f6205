package balance

import "github.com/barleystep/barleystep/internal/fleet"

// memoryPart is the part of an engine's memory that one prompt may take. A prompt
// that needs more has its memory set aside at its helpers.
const memoryPart = 0.9

// giant reports whether a long prompt is longer than an engine's memory.
func giant(j Job) bool {
	return IsLongPrompt(j) && float64(j.PromptTokens+j.OutputTokens) > memoryPart*float64(j.Cost.KVTokens)
}

// fits reports whether so many engines have the memory for a giant: one writes, and the
// others hold it.
func fits(j Job, engines int) bool {
	helpers := min(engines-1, maxHelpers)
	return float64(j.PromptTokens+j.OutputTokens) <= memoryPart*float64(helpers*j.Cost.KVTokens)
}

// placeGiant places a prompt that is longer than an engine's memory: its memory is
// spread over its helpers. It returns nothing while these have other things to read, or
// while their streams are worth more than the prompt: many of them would be held up for
// long.
func (b *Balancer) placeGiant(j Job, engines []fleet.Target) (p *Placement, h hold) {
	g := b.bestAssignment(j, engines)
	gain := worthOf(j)*(1+lateWorth) - lateLoss(j, g.expected)
	switch {
	case g.memory == 0:
		return nil, holdMemory
	case g.wait > readAhead:
		return nil, holdReading
	case g.harm > gain:
		return nil, holdStreams
	}
	b.note(j, j.Cost.Prefill(j.PromptTokens), true)
	return b.assign(j, g), holdNone
}

// memoryEach returns the memory that each of the helpers of a giant sets aside; ok is
// false if one of them has less free.
func (b *Balancer) memoryEach(j Job, helpers []fleet.Target) (tokens int, ok bool) {
	if len(helpers) == 0 {
		return 0, false
	}
	each := (j.PromptTokens+j.OutputTokens)/len(helpers) + 1
	for _, t := range helpers {
		if float64(b.work(t.ID).KVTokens+each) > memoryPart*float64(j.Cost.KVTokens) {
			return 0, false
		}
	}
	return each, true
}
