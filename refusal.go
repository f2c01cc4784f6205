package barleystep

import (
	"time"

	"github.com/rotisserie/eris"
)

// Reason tells why a request was refused or did not complete. Each reason has its own counter.
type Reason string

// Reasons of refusals and failures.
const (
	ReasonMalformed             Reason = "malformed_body"
	ReasonBodyTooLarge          Reason = "body_too_large"
	ReasonEmptyPrompt           Reason = "empty_prompt"
	ReasonPromptTooLong         Reason = "prompt_too_long"
	ReasonUnknownModel          Reason = "unknown_model"
	ReasonUnknownClass          Reason = "unknown_class"
	ReasonUnknownService        Reason = "unknown_service"
	ReasonMissingKey            Reason = "missing_key"
	ReasonInvalidKey            Reason = "invalid_key"
	ReasonTimeLimitOutOfRange   Reason = "time_limit_out_of_range"
	ReasonMissingIdempotencyKey Reason = "missing_idempotency_key"
	ReasonIdempotencyKeyReused  Reason = "idempotency_key_reused"
	ReasonStillRunning          Reason = "still_running"
	ReasonEarlierOutcomeUnknown Reason = "earlier_outcome_unknown"
	ReasonStoreUnavailable      Reason = "store_unavailable"
	ReasonOverShare             Reason = "over_share"
	ReasonDeadline              Reason = "deadline"
	ReasonDeadlineCannotBeMet   Reason = "deadline_cannot_be_met"
	ReasonQueueFull             Reason = "queue_full"
	ReasonNoTarget              Reason = "no_target"
	ReasonTargetFailed          Reason = "target_failed"
	ReasonEndsTargets           Reason = "ends_targets"
	ReasonTargetRefused         Reason = "target_refused"
	ReasonBrokenStream          Reason = "torn_answer"
	ReasonWrongAttempt          Reason = "foreign_answer"
	ReasonCallerGone            Reason = "caller_gone"
	ReasonStopping              Reason = "stopping"
	ReasonNoMemory              Reason = "no_memory"
	ReasonNoConfiguration       Reason = "no_configuration"
	ReasonKeysNotConfirmed      Reason = "keys_not_proved_current"
	ReasonOutdatedConfiguration Reason = "configuration_not_confirmed"
	ReasonInternal              Reason = "internal"
)

// Refusal is the error of a request that ends without a complete answer.
type Refusal struct {
	reason  Reason
	outcome Outcome
	message string
	after   time.Duration
}

// NewRefusal returns a refusal. The message is shown to the caller.
func NewRefusal(reason Reason, outcome Outcome, message string) *Refusal {
	return &Refusal{reason: reason, outcome: outcome, message: message}
}

// WithRetryAfter returns a copy that tells the caller how long to wait before a retry.
func (r *Refusal) WithRetryAfter(d time.Duration) *Refusal {
	c := *r
	c.after = d
	return &c
}

// WithOutcome returns a copy with another outcome.
func (r *Refusal) WithOutcome(o Outcome) *Refusal {
	c := *r
	c.outcome = o
	return &c
}

// Reason returns why the request ended.
func (r *Refusal) Reason() Reason { return r.reason }

// Outcome returns what became of the request.
func (r *Refusal) Outcome() Outcome { return r.outcome }

// RetryAfter returns how long the caller should wait before a retry; zero if unset.
func (r *Refusal) RetryAfter() time.Duration { return r.after }

// Error returns the message for the caller.
func (r *Refusal) Error() string { return r.message }

// AsRefusal returns the refusal in the chain of err, or else a new one with ReasonInternal and
// OutcomeFailed.
func AsRefusal(err error) *Refusal {
	var r *Refusal
	if eris.As(err, &r) {
		return r
	}
	return NewRefusal(ReasonInternal, OutcomeFailed, "barleystep: "+err.Error())
}
