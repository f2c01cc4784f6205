package barleystep

import (
	"net/http"
	"time"
)

// CallerHeaders holds what the headers of a caller's request contain.
type CallerHeaders struct {
	// RequestID identifies the caller's attempt; no two attempts share one.
	RequestID string
	// APIKey is the secret of the client account.
	APIKey string
	// TimeLimit is how long the caller waits; zero if unset.
	TimeLimit time.Duration
	// PromptTokens is the length of the prompt and MaxOutputTokens the most tokens that may be
	// generated; zero where the caller does not say.
	PromptTokens    int
	MaxOutputTokens int
	// LastEventID is the id of the last event of a stream that the caller has received.
	LastEventID string
	// SharedParts are the ids, in order, of the parts of the prompt that other requests may share;
	// there are at most MaxSharedParts. Equal ids mean equal parts.
	SharedParts []string
}

// MaxSharedParts bounds the parts of one prompt that are told apart; the last ones are kept, since
// the first are shared by most requests.
const MaxSharedParts = 32

// TargetHeaders holds what a box tells a target about a request in addition to the caller's
// headers.
type TargetHeaders struct {
	// Target is the intended target; any other must refuse the request.
	Target TargetID
	// Account is the name of the client account, empty on public routes.
	Account string
	// TimeLeft is how long the caller still waits.
	TimeLeft time.Duration
	// LastEventID, if set, asks the target to resume a stream after the event with the id.
	LastEventID string
	// Helpers are the targets that process parts of the prompt.
	Helpers []Helper
}

// Helper is a target that processes a part of a prompt for another target.
type Helper struct {
	// Addr is the IP and port.
	Addr string
	// ReservationID identifies the memory reserved at the helper for a part of the prompt;
	// empty if no memory is reserved there.
	ReservationID string
}

// Reservation is memory that a target reserves for one request.
type Reservation struct {
	// ID identifies the reservation. Reserving again under the same id renews it.
	ID string
	// Tokens is the size of the reserved memory.
	Tokens int
	// Hold is how long the reservation lasts, counted from when the target accepts it.
	Hold time.Duration
}

// ResponseHead holds what the head of a target's response says besides its status.
type ResponseHead struct {
	// RequestID is the request that the response belongs to; every response names it.
	RequestID string
	// HasDigest is set if the response carries the digest of the target. A success without it
	// does not count.
	HasDigest bool
	// NotRun is set if the target states that it did not run the request.
	NotRun bool
	// Reencoded is set if an intermediary has re-encoded the body.
	Reencoded bool
	// RefusedBy is the id or the address of the target because of which the request was not
	// run, if the response names one: the target itself or a helper.
	RefusedBy string
	// Statement is what the target says of itself.
	Statement Statement
}

// Protocol translates between the project's types and the headers and orders on the wire
// between callers, boxes and targets. Implementations are stateless.
type Protocol interface {
	// ReadCallerHeaders reads the headers of a caller's request.
	ReadCallerHeaders(h http.Header) CallerHeaders
	// SetTargetHeaders turns a copy of the caller's headers into those for a target.
	SetTargetHeaders(h http.Header, d TargetHeaders)
	// ReadResponseHead reads the head of a target's response.
	ReadResponseHead(status int, h http.Header) ResponseHead
	// ReserveRequest returns the request that reserves memory at a target. The reservation
	// holds if the target answers 200.
	ReserveRequest(r Reservation) (req *http.Request, body []byte)
	// ReleaseRequest returns the request that ends a reservation.
	ReleaseRequest(id string) (req *http.Request, body []byte)
	// UsageRequest returns the request for a target's state, and ReadUsage reads from the body of its
	// answer whether a request uses the reservation.
	UsageRequest() (req *http.Request, body []byte)
	ReadUsage(body []byte, id string) (isUsed bool)
	// SetResponseHeaders sets the headers of a response that the box itself generates.
	SetResponseHeaders(h http.Header, id string, retryAfter time.Duration)
}
