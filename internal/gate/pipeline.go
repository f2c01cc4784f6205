package gate

import "github.com/barleystep/barleystep/internal/pipeline"

// The parts of the pipeline through which exchanges pass.
type (
	// Next runs the stages that follow.
	Next = pipeline.Next[*Exchange]
	// Stage is one filter of the pipeline.
	Stage = pipeline.Stage[*Exchange]
	// Pipeline runs its stages in order.
	Pipeline = pipeline.Pipeline[*Exchange]
)
