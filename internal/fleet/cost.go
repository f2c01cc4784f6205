package fleet

import "time"

// CostModel is the operator's model of the speed of a service's engines. An engine works in passes
// over all its requests. A pass with decoding streams has Stride steps, each of which may also
// prefill a chunk of prompts.
type CostModel struct {
	Slots int
	// KVTokens is the size of an engine's KV cache, in tokens.
	KVTokens int
	// Stride is the number of token steps in a pass with decoding streams.
	Stride int
	// Step is the duration of a token step. Each decoding stream adds PerStream, and PerContext for
	// each 1,000 tokens of its context.
	Step       time.Duration
	PerStream  time.Duration
	PerContext time.Duration
	// PrefillRate is the prefill rate in prompt tokens per second.
	PrefillRate float64
	// PerMillionPairs is the time for a million pairs of a token and a preceding one (attention).
	PerMillionPairs time.Duration
	// PrefillChunk is the largest number of prompt tokens prefilled in one step.
	PrefillChunk int
	// ReportLag is the age of an engine's load report.
	ReportLag time.Duration
	// Hop is the additional duration of a step when a prompt lies on several engines.
	Hop time.Duration
	// MeanPromptTokens and MeanOutputTokens are mean lengths in tokens.
	MeanPromptTokens int
	MeanOutputTokens int
}

const (
	million      = 1e6
	pairsDivisor = 2 // Each token is paired with all preceding ones: half of the square.
)

// Prefill returns how long an otherwise idle engine takes to prefill a prompt.
func (m CostModel) Prefill(tokens int) time.Duration {
	if m.PrefillRate <= 0 {
		return 0
	}
	n := float64(tokens)
	linear := n / m.PrefillRate * float64(time.Second)
	pairs := n * n / pairsDivisor / million * float64(m.PerMillionPairs)
	return time.Duration(linear + pairs)
}

// Decode returns how long an otherwise idle engine takes to decode an answer of mean length.
func (m CostModel) Decode() time.Duration {
	return time.Duration(m.MeanOutputTokens) * (m.Step + m.PerStream)
}

// BusyStep returns the duration of a token step in which all slots decode streams after prompts of
// mean length.
func (m CostModel) BusyStep() time.Duration {
	const thousand = 1000
	context := float64(min(m.Slots*(m.MeanPromptTokens+m.MeanOutputTokens), m.KVTokens)) / thousand
	return m.Step + time.Duration(m.Slots)*m.PerStream + time.Duration(context*float64(m.PerContext))
}

// Pass returns the duration of a pass with one decoding stream.
func (m CostModel) Pass() time.Duration {
	return time.Duration(m.Stride) * (m.Step + m.PerStream)
}
