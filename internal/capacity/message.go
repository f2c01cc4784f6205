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
type Ask struct {
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
type Held struct {
	Attempt barleystep.AttemptID
	Account string
	Targets []barleystep.TargetID
	Prompt  int
	Output  int
	Since   time.Time
	// Reading is set until the first token has come.
	Reading bool
}

// Use is what a box runs on credits at one target, and what it has learnt of
// the target since its last report.
type Use struct {
	Target barleystep.TargetID
	// Reading is the prompt tokens that are being read.
	Reading int
	// Memory is the KV memory in use, in tokens.
	Memory int
	// Running counts attempts.
	Running int
	// Answers and Failures count attempts that got a first token or failed
	// before one.
	Answers  int
	Failures int
	// Slow is the mean ratio of measured to expected time over Answers.
	Slow float64
	// Silent is how long the oldest unanswered attempt has waited beyond what
	// was expected.
	Silent time.Duration
}

// Report is what a box tells a pool's dispenser at intervals.
type Report struct {
	Box  barleystep.BoxID
	Uses []Use
	Held []Held
	// Wanted is the short prompt tokens that the box has been asked for since
	// its last report.
	Wanted int
}

// Credit is what a box may run at one target without asking.
type Credit struct {
	Target barleystep.TargetID
	// Reading bounds the box's own prompt tokens being read.
	Reading int
	// Memory bounds the box's own KV memory, in tokens.
	Memory int
	// Others is the prompt tokens that other boxes' work has waiting there.
	Others int
	// Long is the long prompts' tokens that wait to be read there.
	Long int
	// Running counts the attempts of all boxes.
	Running int
	Rate    float64
	Slow    float64
}

// Credits is a dispenser's answer to a report. They are void after Until.
type Credits struct {
	Until   time.Time
	Credits []Credit
}

// Spec is what the configuration says of a target.
type Spec struct {
	ID     barleystep.TargetID
	Tokens int
	Rate   float64
	Drain  bool
}
