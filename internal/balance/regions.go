package balance

import (
	"cmp"
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/barleystep/barleystep/internal/fleet"
)

const (
	// heavyPart is the part of the tightest pause that reading one prompt may
	// take before the prompt counts as long: the rest is for the pass itself and
	// for other prompts in it.
	longPart = 0.7
	// heavyUse and lightUse are how busy with reading the engines for long and
	// for short prompts are planned to be. Short prompts need more room, since
	// theirs is the tighter objective.
	longUse  = 0.6
	shortUse = 0.3
	// streamUse is the part of an engine's slots that short streams are planned
	// to take.
	streamUse = 0.8
	// leastHeavy and leastLight are the fewest engines planned for each.
	minLong  = 1
	minShort = 2
	// writersEach is how many long prompts an engine is planned to write at
	// once: two of usual size fit its memory, and shorter ones besides.
	promptsPerDecoder = 3
	// writersPart is the part of the engines for long prompts, as a divisor, that
	// write at most; the others are left to read.
	decodersDivisor = 2
)

// regions divides the engines of a service. All boxes that know the same
// demand divide them alike.
type regions struct {
	// light engines take short prompts.
	short []fleet.Target
	// writers take long prompts, and readers help to read them.
	decoders   []fleet.Target
	prefillers []fleet.Target
}

// heavy returns all engines for long prompts.
func (r regions) long() []fleet.Target { return slices.Concat(r.decoders, r.prefillers) }

// Heavy reports whether reading the prompt would hold up other streams for
// longer than they may pause.
func IsLongPrompt(j Job) bool {
	if j.Cost == nil || j.MaxPause <= 0 {
		return false
	}
	return float64(j.Cost.Prefill(j.PromptTokens)) > longPart*float64(j.MaxPause)
}

// divide orders the engines in the same way on every box and divides them by
// what callers ask for. Readers come first and light engines last, so that a
// shift of demand moves engines between neighbouring regions.
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

// heavyEngines returns how many engines are for long prompts.
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
	// Both get their part of what is left, or of what is lacking.
	planned := math.Round(float64(n) * long / (long + short))
	return min(max(int(planned), minLong), n-minShort)
}

// writerEngines returns how many of the engines for long prompts are to write
// their answers. The fewer, the fewer streams are held up by the reading of the
// next long prompt.
func (b *Balancer) decoderEngines(engines []fleet.Target, longCount int) int {
	decoding := 0
	for _, t := range engines {
		decoding += b.totalWork(t.ID).Long
	}
	const minDecoders = 2
	most := (longCount + decodersDivisor - 1) / decodersDivisor
	return min(longCount, most, max(decoding/promptsPerDecoder+1, minDecoders))
}
