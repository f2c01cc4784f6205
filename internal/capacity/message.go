// Package capacity decides where and when requests run in one hall.
//
// Each model has a pool of targets, and one box runs the pool's Dispenser. It grants long prompts and,
// under contention, short ones one by one from fair queues, and gives the boxes short-lived credits
// on which short prompts run at once. Its whole state can be rebuilt from the boxes' reports and
// the targets' load reports. Dispenser and Holder are state machines without goroutines or clocks;
// Allocator, Endpoint and Poller connect them.
package capacity

import (
	"time"

	"github.com/barleystep/barleystep"
)

// GrantRequest asks a pool's dispenser for a grant.
type GrantRequest struct {
	Demand barleystep.Demand
	Box    barleystep.BoxID
	// Weight, Rank and Limit are the client account's share, as the policy sets it; see
	// config.Share.
	Weight float64
	Rank   int
	Limit  float64
}

// Grant is the answer to a GrantRequest.
type Grant struct {
	Attempt  barleystep.AttemptID
	Box      barleystep.BoxID
	Targets  []barleystep.TargetID
	Priority int
	// Refusal is set in place of Targets when the request can't be served.
	Refusal *barleystep.Refusal
}

// HeldGrant is a grant that a box reports to hold.
type HeldGrant struct {
	Attempt      barleystep.AttemptID
	Account      string
	Targets      []barleystep.TargetID
	PromptTokens int
	OutputTokens int
	Since        time.Time
	// Prefilling is set until the first token.
	Prefilling bool
}

// CreditUse is what a box runs on credits at one target, and what it has observed of the target
// since its last report.
type CreditUse struct {
	Target barleystep.TargetID
	// PrefillTokens is the number of prompt tokens that wait for prefill or are in it.
	PrefillTokens int
	// KVTokens is the KV cache in use, in tokens.
	KVTokens int
	// Running is the number of running attempts.
	Running int
	// Answers and Failures count attempts that got a first token or failed
	// before one.
	Answers  int
	Failures int
	// Slowdown is the mean ratio of measured to expected time to first token over Answers.
	Slowdown float64
	// Overdue is how long the most overdue attempt has waited beyond the expected time to first
	// token.
	Overdue time.Duration
}

// Report is a box's state of a pool, sent to the dispenser at intervals.
type Report struct {
	Box  barleystep.BoxID
	Uses []CreditUse
	Held []HeldGrant
	// RequestedTokens is the number of short prompts' tokens that callers have requested from the box
	// since its last report.
	RequestedTokens int
}

// Credit is what a box may run at one target without a grant.
type Credit struct {
	Target barleystep.TargetID
	// PrefillTokens bounds the box's own prompt tokens that are not prefilled yet.
	PrefillTokens int
	// KVTokens bounds the box's own KV cache, in tokens.
	KVTokens int
	// OtherPrefillTokens is the number of short prompts' tokens of other boxes that wait for prefill.
	OtherPrefillTokens int
	// LongPrefillTokens is the number of long prompts' tokens that wait for prefill.
	LongPrefillTokens int
	// Running is the number of attempts of all boxes.
	Running     int
	PrefillRate float64
	Slowdown    float64
}

// Credits is a dispenser's answer to a report. The credits expire at Until.
type Credits struct {
	Until   time.Time
	Credits []Credit
}

// TargetSpec is the configuration of a target: its KV cache in tokens, its prefill rate in tokens
// per second, and whether it is drained.
type TargetSpec struct {
	ID          barleystep.TargetID
	KVTokens    int
	PrefillRate float64
	Drain       bool
}
