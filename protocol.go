package barleystep

import (
	"net/http"
	"time"
)

// Call is what the headers of a caller's request say of it.
type CallerHeaders struct {
	// ID names the caller's attempt; no two attempts share one.
	RequestID string
	// Key is the secret of the client account.
	APIKey string
	// TimeLimit is how long the caller waits; zero says nothing.
	TimeLimit time.Duration
	// Prompt is the prompt's length in tokens, Output the most tokens that may
	// be generated; zero where the caller does not say.
	PromptTokens    int
	MaxOutputTokens int
	// LastEvent is the id of the last event that the caller has of a stream.
	LastEventID string
}

// Delivery is what a target is told of a request besides the caller's headers.
type TargetHeaders struct {
	// Instance is the target that is meant; any other must refuse the request.
	Target TargetID
	// Account is the name of the client account, empty on public routes.
	Account string
	// TimeLeft is how long the caller still waits.
	TimeLeft time.Duration
	// LastEvent, if set, asks a stream to go on after the event with the id.
	LastEventID string
	// Helpers are the targets that read parts of the prompt.
	Helpers []Helper
}

// Helper is a target that reads a part of a prompt for another one.
type Helper struct {
	// Addr is the IP and port.
	Addr string
	// Reservation is the id under which memory for a part of the prompt is set
	// aside at the helper; empty if the memory is found elsewhere.
	ReservationID string
}

// Reservation is memory that is set aside at a target for one request.
type Reservation struct {
	// ID names the reservation; making it again renews it.
	ID string
	// Tokens is how much memory is set aside.
	Tokens int
	// Hold is how long it is set aside from the target's taking of the order on.
	Hold time.Duration
}

// Verdict is what the head of a target's answer says, besides its status.
type ResponseHead struct {
	// ID is the request that the answer belongs to; each answer to a request names it.
	RequestID string
	// Sealed is set when the answer carries the target's digest, without which
	// a success does not count.
	HasDigest bool
	// NotRun is set when the target says that it did not run the request.
	NotRun bool
	// Encoded is set when somebody re-encoded the body on its way.
	Reencoded bool
	// Blamed is the id or the address of the target that is the reason why the request
	// was not run, if the target names one: itself, or a helper.
	RefusedBy string
	// Statement is what the target says of itself.
	Statement Statement
}

// Protocol is how requests are written on the wire between callers, boxes and
// targets. Implementations keep no state.
type Protocol interface {
	// Call reads the headers of a caller's request.
	ReadCallerHeaders(h http.Header) CallerHeaders
	// Prepare changes a copy of the caller's headers into those for a target.
	SetTargetHeaders(h http.Header, d TargetHeaders)
	// Verdict reads the head of a target's answer.
	ReadResponseHead(status int, h http.Header) ResponseHead
	// Reserve returns the order that sets memory aside at a target. It is in force
	// if the target answers 200.
	ReserveRequest(r Reservation) (req *http.Request, body []byte)
	// Release returns the order that ends a reservation.
	ReleaseRequest(id string) (req *http.Request, body []byte)
	// Answer writes the headers of an answer that the box itself gives.
	SetResponseHeaders(h http.Header, id string, retryAfter time.Duration)
}
