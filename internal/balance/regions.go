package balance

import (
	"cmp"
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/barleystep/barleystep/internal/fleet"
)

const (
	// longPart is the part of MaxPause that the prefill of one prompt may take before the prompt
	// counts as long: the rest is for the pass itself and for other prompts in it.
	longPart = 0.7
	// longUse and shortUse are the planned prefill utilisation of the engines for long and for
	// short prompts. Short prompts need more headroom, since their objective is tighter.
	longUse  = 0.6
	shortUse = 0.3
	// streamUse is the part of an engine's slots that short streams are planned to take.
	streamUse = 0.6
	// minLong and minShort are the fewest engines planned for each.
	minLong  = 1
	minShort = 2
	// promptsPerDecoder is how many long prompts an engine is planned to decode at once: two of
	// usual size fit its KV cache, with some shorter ones.
	promptsPerDecoder = 3
	// decodersDivisor is the divisor for the largest part of the engines for long prompts that
	// decode; the others only prefill.
	decodersDivisor = 2
)

// regions divides the engines of a service. Boxes that know the same demand divide them alike.
type regions struct {
	// short engines take short prompts.
	short []fleet.Target
	// decoders take long prompts, and prefillers help to prefill them.
	decoders   []fleet.Target
	prefillers []fleet.Target
}

// long returns all engines for long prompts.
func (r regions) long() []fleet.Target { return slices.Concat(r.decoders, r.prefillers) }

// IsLongPrompt reports whether the prefill of the prompt would stall other streams for longer than
// they may pause.
func IsLongPrompt(j Job) bool {
	if j.Cost == nil || j.MaxPause <= 0 {
		return false
	}
	return float64(j.Cost.Prefill(j.PromptTokens)) > longPart*float64(j.MaxPause)
}

// divideRegions orders the engines in the same way on every box and divides them by demand.
// Prefillers come first and short engines last, so that a shift of demand moves engines between
// neighbouring regions.
func (b *Balancer) divideRegions(j Job, engines []fleet.Target) regions {
	slices.SortFunc(engines, func(x, y fleet.Target) int {
		return cmp.Compare(xxhash.Sum64String(string(x.ID)), xxhash.Sum64String(string(y.ID)))
	})
	n := len(engines)
	longCount := b.longEngines(j, engines)
	decoders := b.decoderEngines(engines, longCount)
	return regions{
		prefillers: engines[:longCount-decoders],
		decoders:   engines[longCount-decoders : longCount],
		short:      engines[longCount:n],
	}
}

// longEngines returns how many engines are for long prompts.
func (b *Balancer) longEngines(j Job, engines []fleet.Target) int {
	n := len(engines)
	if n <= minLong+minShort {
		return n / 2
	}
	d := b.demand(j.Service)
	streams := 0
	for _, t := range engines {
		streams += b.totalWork(t.ID).Short
	}
	slots := max(float64(j.Cost.Slots), 1)
	short := max(d.Short/shortUse, float64(streams)/(streamUse*slots), minShort)
	long := max(d.Long/longUse, minLong)
	// Both get their share of any surplus or shortage.
	planned := math.Round(float64(n) * long / (long + short))
	return min(max(int(planned), minLong), n-minShort)
}

// decoderEngines returns how many of the engines for long prompts decode their answers. The fewer
// they are, the fewer streams are stalled by the prefill of the next long prompt.
func (b *Balancer) decoderEngines(engines []fleet.Target, longCount int) int {
	decoding := 0
	for _, t := range engines {
		decoding += b.totalWork(t.ID).Long
	}
	const minDecoders = 2
	most := (longCount + decodersDivisor - 1) / decodersDivisor
	return min(longCount, most, max(decoding/promptsPerDecoder+1, minDecoders))
}
