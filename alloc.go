package barleystep

import (
	"context"
	"time"
)

// Demand is what one request needs of a model's targets.
type Demand struct {
	Attempt AttemptID
	Account string
	Class   string
	Model   string
	// Prompt and Output are token counts: the prompt's estimated length and the
	// most that may be generated.
	PromptTokens    int
	MaxOutputTokens int
	// Since is when the request was admitted; it keeps its age over retries.
	AdmittedAt time.Time
	Deadline   time.Time
	// Prefix holds hashes of growing prefixes of the prompt, shortest first.
	PrefixHashes []uint64
	// Avoid names targets that have already failed the request.
	FailedTargets []TargetID
}

// Tokens returns the KV memory that the request needs, in tokens.
func (d Demand) Tokens() int { return d.PromptTokens + d.MaxOutputTokens }

// Allotment is the right to send one attempt to targets. The holder must call
// Release once, whatever became of the attempt.
type Allocation struct {
	targets  []TargetID
	priority int
	hooks    AllocationHooks
}

// AllotmentHooks is how an Allocator learns what becomes of an allotment. Each
// may be nil.
type AllocationHooks struct {
	// First is called when the first token came.
	FirstToken func()
	// Release is called when the attempt has ended.
	Release func(Usage)
}

// NewAllotment returns an allotment. It is meant for implementations of
// Allocator.
func NewAllocation(targets []TargetID, priority int, hooks AllocationHooks) Allocation {
	return Allocation{targets: targets, priority: priority, hooks: hooks}
}

// Target returns the target to which the attempt goes.
func (a Allocation) Target() TargetID { return a.targets[0] }

// Group returns all targets that serve the prompt together; it holds more than
// one only for a prompt that is longer than an engine's memory.
func (a Allocation) Group() []TargetID { return a.targets }

// Priority returns the priority to hand to the engine, lower first.
func (a Allocation) Priority() int { return a.priority }

// Release gives the allotment back with what was learnt of the target.
func (a Allocation) Release(u Usage) {
	if a.hooks.Release != nil {
		a.hooks.Release(u)
	}
}

// First tells that the first token of the attempt came.
func (a Allocation) FirstToken() {
	if a.hooks.FirstToken != nil {
		a.hooks.FirstToken()
	}
}

// Usage is what an attempt taught about its target.
type Usage struct {
	// Outcome is how the attempt ended; OutcomePending means that it was given up
	// for a reason that says nothing of the target, such as a caller who left.
	Outcome Outcome
	// First is the time from sending to the first event, zero if there was none.
	TimeToFirstEvent time.Duration
	// Prompt is the token count that the engine reported, zero if it reported
	// none.
	PromptTokens int
	// Full is set when the target refused for lack of room.
	AtCapacity bool
}

// TargetFailed reports whether the attempt speaks against its target: it got no
// token although nobody gave it up and there was room.
func (u Usage) TargetFailed() bool {
	return u.Outcome == OutcomeFailed && u.TimeToFirstEvent == 0 && !u.AtCapacity
}

// Allocator decides where and when a request runs. Implementations are safe
// for concurrent use.
type Allocator interface {
	// Acquire waits until the request may run. It returns a *Refusal when the
	// request cannot be served, or the context's error.
	Acquire(ctx context.Context, d Demand) (Allocation, error)
}
