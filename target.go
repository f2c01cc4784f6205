package barleystep

import (
	"context"
	"time"

	"github.com/rotisserie/eris"
)

// ErrNotStarted is returned if a target states that it did not start an attempt, or if no part
// of the attempt can have reached it.
var ErrNotStarted = eris.New("barleystep: target did not start the attempt")

// ErrBrokenStream is returned if a stream ends early, or skips or repeats events. The stream
// may be resumed.
var ErrBrokenStream = eris.New("barleystep: torn stream")

// ErrWrongAttempt is returned if a target answers with the id of another attempt.
var ErrWrongAttempt = eris.New("barleystep: answer of another attempt")

// Event is a numbered piece of an answer. The numbers of one attempt start at 1 and have no
// gaps.
type Event struct {
	number uint64
	data   []byte
	last   bool
}

// NewEvent returns an event. It is meant for implementations of Stream.
func NewEvent(number uint64, data []byte, last bool) Event {
	return Event{number: number, data: data, last: last}
}

// Number returns the position of the event in the answer, from 1.
func (e Event) Number() uint64 { return e.number }

// Data returns the content as the target sent it. It is valid until the next call to
// Stream.Next.
func (e Event) Data() []byte { return e.data }

// Last reports whether the event completes the answer.
func (e Event) Last() bool { return e.last }

// Stream is the answer of a target to one attempt. It is not safe for concurrent use.
type Stream interface {
	// Status returns the HTTP status of the target's answer.
	Status() int
	// ContentType returns the content type of the target's answer.
	ContentType() string
	// Next returns the next event. It returns io.EOF after the last event and ErrBrokenStream
	// if the stream breaks.
	Next() (Event, error)
	// Close abandons the stream. It does not cancel the attempt.
	Close() error
}

// Load is what a target reports about its load. Reports may be out of date.
type Load struct {
	At          time.Time `json:"at"`
	Incarnation string    `json:"incarnation"`
	// Running and Waiting are numbers of requests.
	Running int `json:"running"`
	Waiting int `json:"waiting"`
	// FreeTokens is the free KV cache memory, in tokens.
	FreeTokens  int  `json:"free_tokens"`
	TotalTokens int  `json:"total_tokens"`
	Leaving     bool `json:"leaving"`
	// Weights is the version of the model that is loaded.
	Weights string `json:"weights,omitempty"`
}

// HeldAttempt is an attempt for which an engine holds memory.
type HeldAttempt struct {
	Attempt string `json:"attempt"`
	Tokens  int    `json:"tokens"`
	// Deadline is that of the attempt, zero if the engine does not know it.
	Deadline time.Time `json:"deadline,omitzero"`
}

// Order tells a target to load a version of its model.
type Order struct {
	Weights string
	// Fence is the fencing token of the issuer. A target that checks it refuses an order with a
	// lower token than that of an order it has accepted.
	Fence int64
}

// Engine is a model engine. Implementations are safe for concurrent use.
type Engine interface {
	// Start runs or resumes the attempt. It returns ErrNotStarted only if the attempt was
	// certainly not started and never will be.
	Start(ctx context.Context, a Attempt) (Stream, error)
	// Cancel ends the attempt and frees its memory. Cancelling an attempt that the engine does
	// not hold is not an error.
	Cancel(ctx context.Context, id string) error
	// Load returns the latest load report.
	Load(ctx context.Context) (Load, error)
	// List returns the attempts for which the engine holds memory.
	List(ctx context.Context) ([]HeldAttempt, error)
	// Order sends an order. It returns ErrConflict if the target refuses the fencing token, and
	// ErrUnknownEffect if the response was lost.
	Order(ctx context.Context, o Order) error
}

// Service is a plain service that runs no model.
type Service interface {
	// Call runs the attempt. It returns ErrNotStarted under the same conditions as
	// Engine.Start.
	Call(ctx context.Context, a Attempt) (Stream, error)
}
