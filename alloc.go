package barleystep

import (
	"context"
	"time"
)

// Demand describes what one request needs from the targets of a model.
type Demand struct {
	Attempt AttemptID
	Account string
	Class   string
	Model   string
	// PromptTokens is the estimated length of the prompt and MaxOutputTokens the most tokens
	// that may be generated.
	PromptTokens    int
	MaxOutputTokens int
	// AdmittedAt is when the request was admitted. It does not change over retries.
	AdmittedAt time.Time
	Deadline   time.Time
	// PrefixHashes holds hashes of growing prefixes of the prompt, shortest first.
	PrefixHashes []uint64
	// FailedTargets lists the targets that have already failed the request.
	FailedTargets []TargetID
}

// Tokens returns the KV cache memory that the request needs, in tokens.
func (d Demand) Tokens() int { return d.PromptTokens + d.MaxOutputTokens }

// Allocation is the right to send one attempt to one or more targets. The holder must call
// Release exactly once, however the attempt ends.
type Allocation struct {
	targets  []TargetID
	priority int
	hooks    AllocationHooks
}

// AllocationHooks are the callbacks by which an Allocator follows an allocation. Each may be
// nil.
type AllocationHooks struct {
	// FirstToken is called when the first token arrives.
	FirstToken func()
	// Release is called when the attempt has ended.
	Release func(Usage)
}

// NewAllocation returns an allocation. It is meant for implementations of Allocator.
func NewAllocation(targets []TargetID, priority int, hooks AllocationHooks) Allocation {
	return Allocation{targets: targets, priority: priority, hooks: hooks}
}

// Target returns the target that the attempt is sent to.
func (a Allocation) Target() TargetID { return a.targets[0] }

// Group returns all targets that serve the prompt together. It holds more than one only if the
// prompt exceeds the memory of a single engine.
func (a Allocation) Group() []TargetID { return a.targets }

// Priority returns the priority to pass to the engine; lower values run first.
func (a Allocation) Priority() int { return a.priority }

// Release returns the allocation and reports how the attempt used it.
func (a Allocation) Release(u Usage) {
	if a.hooks.Release != nil {
		a.hooks.Release(u)
	}
}

// FirstToken reports that the first token of the attempt has arrived.
func (a Allocation) FirstToken() {
	if a.hooks.FirstToken != nil {
		a.hooks.FirstToken()
	}
}

// Usage reports how an attempt ended at its target.
type Usage struct {
	// Outcome is how the attempt ended. OutcomePending means that it was abandoned for a reason
	// unrelated to the target, such as a caller that disconnected.
	Outcome Outcome
	// TimeToFirstEvent is the time from sending to the first event, zero if there was none.
	TimeToFirstEvent time.Duration
	// PromptTokens is the token count that the engine reported, zero if it reported none.
	PromptTokens int
	// AtCapacity is set when the target refused the attempt for lack of capacity.
	AtCapacity bool
}

// TargetFailed reports whether the attempt counts as a failure of its target: it produced no
// token although nobody cancelled it and the target had capacity.
func (u Usage) TargetFailed() bool {
	return u.Outcome == OutcomeFailed && u.TimeToFirstEvent == 0 && !u.AtCapacity
}

// Allocator decides where and when a request runs. Implementations are safe for concurrent use.
type Allocator interface {
	// Acquire blocks until the request may run. It returns a *Refusal if the request cannot be
	// served, or the error of the context.
	Acquire(ctx context.Context, d Demand) (Allocation, error)
}
