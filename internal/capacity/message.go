// Package capacity decides in one hall where and when requests run.
//
// For each model one box, the dispenser, hands out capacity. It grants long
// prompts and contended short ones one by one from fair queues, and lends the
// other boxes short-lived credits on which short prompts run at once. All that
// it knows can be rebuilt from the boxes' reports and the targets' own load.
// Dispenser and Holder are plain state machines without goroutines or clocks;
// Allocator connects them.
package capacity

import (
	"time"

	"github.com/barleystep/barleystep"
)

// Ask is a request for a grant.
type GrantRequest struct {
	Demand barleystep.Demand
	Box    barleystep.BoxID
	// Weight, Rank and Limit are what the policy gives to the account.
	Weight float64
	Rank   int
	Limit  float64
}

// Grant is the answer to an Ask.
type Grant struct {
	Attempt  barleystep.AttemptID
	Box      barleystep.BoxID
	Targets  []barleystep.TargetID
	Priority int
	// Refusal is set in place of Targets when the request can't be served.
	Refusal *barleystep.Refusal
}

// Held is a grant that a box says it holds.
type HeldGrant struct {
	Attempt      barleystep.AttemptID
	Account      string
	Targets      []barleystep.TargetID
	PromptTokens int
	OutputTokens int
	Since        time.Time
	// Reading is set until the first token has come.
	Prefilling bool
}

// Use is what a box runs on credits at one target, and what it has learnt of
// the target since its last report.
type CreditUse struct {
	Target barleystep.TargetID
	// Reading is the prompt tokens that are being read.
	PrefillTokens int
	// Memory is the KV memory in use, in tokens.
	KVTokens int
	// Running counts attempts.
	Running int
	// Answers and Failures count attempts that got a first token or failed
	// before one.
	Answers  int
	Failures int
	// Slow is the mean ratio of measured to expected time over Answers.
	Slowdown float64
	// Silent is how long the oldest unanswered attempt has waited beyond what
	// was expected.
	Overdue time.Duration
}

// Report is what a box tells a pool's dispenser at intervals.
type Report struct {
	Box  barleystep.BoxID
	Uses []CreditUse
	Held []HeldGrant
	// Wanted is the short prompt tokens that the box has been asked for since
	// its last report.
	RequestedTokens int
}

// Credit is what a box may run at one target without asking.
type Credit struct {
	Target barleystep.TargetID
	// Reading bounds the box's own prompt tokens being read.
	PrefillTokens int
	// Memory bounds the box's own KV memory, in tokens.
	KVTokens int
	// Others is the prompt tokens that other boxes' work has waiting there.
	OtherPrefillTokens int
	// Long is the long prompts' tokens that wait to be read there.
	LongPrefillTokens int
	// Running counts the attempts of all boxes.
	Running     int
	PrefillRate float64
	Slowdown    float64
}

// Credits is a dispenser's answer to a report. They are void after Until.
type Credits struct {
	Until   time.Time
	Credits []Credit
}

// Spec is what the configuration says of a target.
type TargetSpec struct {
	ID          barleystep.TargetID
	KVTokens    int
	PrefillRate float64
	Drain       bool
}
