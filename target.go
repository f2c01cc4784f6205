package barleystep

import (
	"context"
	"time"

	"github.com/rotisserie/eris"
)

// ErrNotStarted is returned by a target that says it did not start an attempt,
// or when nothing of the attempt can have reached it.
var ErrNotStarted = eris.New("barleystep: target did not start the attempt")

// ErrTorn is returned when a stream ends, skips or repeats in a way that the
// protocol does not allow. It may be resumed.
var ErrBrokenStream = eris.New("barleystep: torn stream")

// ErrForeign is returned when a target answers with another attempt's id.
var ErrWrongAttempt = eris.New("barleystep: answer of another attempt")

// Event is one numbered piece of an answer. Numbers of one attempt start at 1
// and have no gaps.
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

// Data returns the content as the target sent it. It is valid until the next
// call of Stream.Next.
func (e Event) Data() []byte { return e.data }

// Last reports whether the event closes the answer.
func (e Event) Last() bool { return e.last }

// Stream is the answer of a target to one attempt. It is used by one goroutine.
type Stream interface {
	// Status returns the HTTP status of the target's answer.
	Status() int
	// ContentType returns the content type of the target's answer.
	ContentType() string
	// Next returns the next event. After the last event it returns io.EOF; a
	// stream that breaks returns ErrTorn.
	Next() (Event, error)
	// Close gives up the stream. It does not cancel the attempt.
	Close() error
}

// Load is what a target reports about itself. Reports lag behind.
type Load struct {
	At          time.Time `json:"at"`
	Incarnation string    `json:"incarnation"`
	// Running and Waiting count requests.
	Running int `json:"running"`
	Waiting int `json:"waiting"`
	// FreeTokens is the KV memory that is free, in tokens.
	FreeTokens  int  `json:"free_tokens"`
	TotalTokens int  `json:"total_tokens"`
	Leaving     bool `json:"leaving"`
	// Weights is the version of the model that is loaded.
	Weights string `json:"weights,omitempty"`
}

// Work is one attempt that an engine holds memory for.
type HeldAttempt struct {
	Attempt string `json:"attempt"`
	Tokens  int    `json:"tokens"`
	// Deadline is that of the attempt, zero if the engine does not know it.
	Deadline time.Time `json:"deadline,omitzero"`
}

// Order is an order to a target to load a version of its model.
type Order struct {
	Weights string
	// Fence is the issuer's fencing token. A target that checks it refuses an
	// order with a lower token than one that it has taken.
	Fence int64
}

// Engine is one model engine. Implementations are safe for concurrent use.
type Engine interface {
	// Start runs or resumes the attempt. It returns ErrNotStarted only if the
	// attempt was certainly not started and never will be.
	Start(ctx context.Context, a Attempt) (Stream, error)
	// Cancel ends the attempt and frees its memory. Cancelling an attempt that
	// the engine does not hold is no error.
	Cancel(ctx context.Context, id string) error
	// Load returns the latest report.
	Load(ctx context.Context) (Load, error)
	// List returns the attempts for which the engine holds memory.
	List(ctx context.Context) ([]HeldAttempt, error)
	// Order gives an order. It returns ErrConflict if the target refuses the
	// fencing token, and ErrUnknownEffect if the answer was lost.
	Order(ctx context.Context, o Order) error
}

// Service is one plain service beside the engines.
type Service interface {
	// Call runs the attempt. It returns ErrNotStarted as Engine.Start does.
	Call(ctx context.Context, a Attempt) (Stream, error)
}
