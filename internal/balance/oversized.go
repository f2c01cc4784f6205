package balance

import "github.com/barleystep/barleystep/internal/fleet"

// memoryPart is the part of an engine's memory that one prompt may take. A prompt
// that needs more has its memory set aside at its helpers.
const maxKVPart = 0.9

// giant reports whether a long prompt is longer than an engine's memory.
func isOversized(j Job) bool {
	return IsLongPrompt(j) && float64(j.PromptTokens+j.OutputTokens) > maxKVPart*float64(j.Cost.KVTokens)
}

// fits reports whether so many engines have the memory for a giant: one writes, and the
// others hold it.
func fitsEngines(j Job, engines int) bool {
	helpers := min(engines-1, maxHelpers)
	return float64(j.PromptTokens+j.OutputTokens) <= maxKVPart*float64(helpers*j.Cost.KVTokens)
}

// placeGiant places a prompt that is longer than an engine's memory: its memory is
// spread over its helpers. It returns nothing while these have other things to read, or
// while their streams are worth more than the prompt: many of them would be held up for
// long.
func (b *Balancer) placeOversized(j Job, engines []fleet.Target) (p *Placement, h holdReason) {
	g := b.bestAssignment(j, engines)
	gain := promptWorth(j)*(1+lateAnswerWorth) - latenessLoss(j, g.expectedTTFT)
	switch {
	case g.kvTokens == 0:
		return nil, holdMemory
	case g.wait > maxPrefillBacklog:
		return nil, holdPrefill
	case g.stallCost > gain:
		return nil, holdStreams
	}
	b.noteDemand(j, j.Cost.Prefill(j.PromptTokens), true)
	return b.placeAssignment(j, g), holdNone
}

// memoryEach returns the memory that each of the helpers of a giant sets aside; ok is
// false if one of them has less free.
func (b *Balancer) kvTokensPerHelper(j Job, helpers []fleet.Target) (tokens int, ok bool) {
	if len(helpers) == 0 {
		return 0, false
	}
	each := (j.PromptTokens+j.OutputTokens)/len(helpers) + 1
	for _, t := range helpers {
		if float64(b.totalWork(t.ID).KVTokens+each) > maxKVPart*float64(j.Cost.KVTokens) {
			return 0, false
		}
	}
	return each, true
}
