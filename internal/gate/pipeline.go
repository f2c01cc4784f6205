package gate

import "github.com/barleystep/barleystep/internal/pipeline"

// The pipeline types for exchanges.
type (
	// Next runs the stages that follow.
	Next = pipeline.Next[*Exchange]
	// Stage is one step of the pipeline; it calls Next to continue.
	Stage = pipeline.Stage[*Exchange]
	// Pipeline runs its stages in order.
	Pipeline = pipeline.Pipeline[*Exchange]
)
