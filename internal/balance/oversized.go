package balance

import "github.com/barleystep/barleystep/internal/fleet"

// maxKVPart is the part of an engine's KV cache that one prompt may take. A prompt that needs more
// has its KV cache reserved at its helpers.
const maxKVPart = 0.9

// isOversized reports whether a long prompt exceeds an engine's KV cache.
func isOversized(j Job) bool {
	return IsLongPrompt(j) && float64(j.PromptTokens+j.OutputTokens) > maxKVPart*float64(j.Cost.KVTokens)
}

// fitsEngines reports whether this many engines have the KV cache for an oversized prompt: one
// decodes, and the others hold it.
func fitsEngines(j Job, engines int) bool {
	helpers := min(engines-1, maxHelpers)
	return float64(j.PromptTokens+j.OutputTokens) <= maxKVPart*float64(helpers*j.Cost.KVTokens)
}

// placeOversized places a prompt that exceeds an engine's KV cache and spreads the cache over its
// helpers. It returns nothing while these prefill other prompts, or while the streams that it would
// stall are worth more than the prompt.
func (b *Balancer) placeOversized(j Job, engines []fleet.Target) (p *Placement, h holdReason) {
	g := b.bestAssignment(j, b.withoutSlow(j, engines))
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

// kvTokensPerHelper returns the KV cache that each helper of an oversized prompt reserves; ok is
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
