// Package gate serves the OpenAI API and plain services to callers. A request is an Exchange that
// passes through a Pipeline of stages: settle, authenticate, classify, admit, forward, claimOnce
// and attempt, which queues, dispatches and relays. Server.Handler builds the pipeline.
package gate

// Request headers of callers.
const (
	// HeaderClass names the priority class.
	HeaderClass = "Barleystep-Class"
	// HeaderTimeLimit is the time limit of the request, as a duration such as "90s".
	HeaderTimeLimit = "Barleystep-Time-Limit"
	// HeaderRepeatable set to "no" marks a request that runs at most once.
	HeaderRepeatable = "Barleystep-Repeatable"
	// HeaderIdempotencyKey identifies a request across the caller's retries.
	HeaderIdempotencyKey = "Idempotency-Key"
)

// Response headers.
const (
	// HeaderRequest is the id of the request.
	HeaderRequest = "Barleystep-Request"
	// HeaderConfig is the version of the configuration that the request was served with.
	HeaderConfig = "Barleystep-Config"
	// HeaderConfigConfirmed is "no" while the version could not be confirmed.
	HeaderConfigConfirmed = "Barleystep-Config-Confirmed"
	// HeaderOutcome is the outcome; a streamed answer has it as a trailer.
	HeaderOutcome = "Barleystep-Outcome"
	// HeaderReason is why the request was refused or failed.
	HeaderReason = "Barleystep-Reason"
)
