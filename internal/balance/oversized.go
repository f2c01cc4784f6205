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

// partKVTokens returns the KV cache that each of count helpers reserves of the total of a prompt.
func partKVTokens(total, count int) int { return total/count + 1 }

// hasKVCache reports whether an engine of which some KV cache is taken has the tokens left for a part of
// a prompt.
func hasKVCache(taken, tokens int, cost *fleet.CostModel) bool {
	return float64(taken+tokens) <= maxKVPart*float64(cost.KVTokens)
}

// withKVCache returns the KV cache that each of count helpers of an oversized prompt reserves, and the
// first of the list that have as much free, at most count.
func (b *Balancer) withKVCache(j Job, list []helperCandidate, count int) (tokens int, chosen []helperCandidate) {
	if count == 0 {
		return 0, nil
	}
	tokens = partKVTokens(j.PromptTokens+j.OutputTokens, count)
	for _, c := range list {
		if len(chosen) == count {
			break
		}
		if hasKVCache(b.totalWork(c.target.ID).KVTokens, tokens, j.Cost) {
			chosen = append(chosen, c)
		}
	}
	return tokens, chosen
}
