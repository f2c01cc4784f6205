// Package gate serves callers. A request is an Exchange that passes through a
// Pipeline of stages: authenticate, classify, admit, claim, attempt (which
// queues, dispatches and relays) and settle. Each stage is a small type of its
// own; Server wires them in one place.
package gate

// The headers that callers may send.
const (
	// HeaderClass names the priority class.
	HeaderClass = "Barleystep-Class"
	// HeaderTimeLimit bounds the request, as a duration such as "90s".
	HeaderTimeLimit = "Barleystep-Time-Limit"
	// HeaderRepeatable set to "no" marks a request that runs at most once.
	HeaderRepeatable = "Barleystep-Repeatable"
	// HeaderIdempotencyKey names a request across its caller's retries.
	HeaderIdempotencyKey = "Idempotency-Key"
)

// The headers of answers.
const (
	// HeaderRequest is the id of the request.
	HeaderRequest = "Barleystep-Request"
	// HeaderConfig is the version of the configuration that decided the request.
	HeaderConfig = "Barleystep-Config"
	// HeaderConfigConfirmed is "no" while the version could not be confirmed.
	HeaderConfigConfirmed = "Barleystep-Config-Confirmed"
	// HeaderOutcome is the outcome; a streamed answer has it as a trailer.
	HeaderOutcome = "Barleystep-Outcome"
	// HeaderReason is why the request was refused or failed.
	HeaderReason = "Barleystep-Reason"
)
