package fleet

import "time"

// CostModel is how the operator describes the speed of a service's engines. An
// engine works in passes over all its requests; a pass in which somebody writes
// has Stride steps, each of which may read a chunk of prompts besides.
type CostModel struct {
	Slots int
	// Memory is the KV memory of an engine, in tokens.
	KVTokens int
	// Stride is the number of token steps in a pass with writers.
	Stride int
	// Step is the time of a token step; each writer adds PerWriter, and
	// PerContext for each 1,000 tokens of its context.
	Step       time.Duration
	PerStream  time.Duration
	PerContext time.Duration
	// ReadRate is the number of prompt tokens read in a second.
	PrefillRate float64
	// PerPairs is the time for a million pairs of a token and one before it.
	PerMillionPairs time.Duration
	// Chunk is the most prompt tokens read in one step.
	PrefillChunk int
	// ReportLag is the age of an engine's report.
	ReportLag time.Duration
	// Hop is what a step costs more when a prompt lies on several engines.
	Hop time.Duration
	// UsualPrompt and UsualOutput are mean lengths in tokens.
	MeanPromptTokens int
	MeanOutputTokens int
}

const (
	million      = 1e6
	pairsDivisor = 2 // A token is paired with each one before it: half of the square.
)

// Read returns how long one engine reads a prompt with nothing else to do.
func (m CostModel) Prefill(tokens int) time.Duration {
	if m.PrefillRate <= 0 {
		return 0
	}
	n := float64(tokens)
	linear := n / m.PrefillRate * float64(time.Second)
	pairs := n * n / pairsDivisor / million * float64(m.PerMillionPairs)
	return time.Duration(linear + pairs)
}

// Write returns how long one engine writes the usual answer with nothing else to do.
func (m CostModel) Decode() time.Duration {
	return time.Duration(m.MeanOutputTokens) * (m.Step + m.PerStream)
}

// Pass returns how long a pass with one writer takes.
func (m CostModel) Pass() time.Duration {
	return time.Duration(m.Stride) * (m.Step + m.PerStream)
}
