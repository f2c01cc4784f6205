package strict

import (
	"fmt"

	"github.com/rotisserie/eris"
)

// Reason is why a record was rejected.
type Reason uint8

// The reasons.
const (
	// ReasonUnreadable means that the data is not a JSON object.
	ReasonUnreadable Reason = iota
	// ReasonMissing means that a field is missing.
	ReasonMissing
	// ReasonWrongType means that a field has the wrong type.
	ReasonWrongType
	// ReasonUnknownValue means that a field has none of its defined values.
	ReasonUnknownValue
	// ReasonInvalidValue means that a field has the right type and an impossible value.
	ReasonInvalidValue
)

// Reasons are all reasons.
var Reasons = [...]Reason{ReasonUnreadable, ReasonMissing, ReasonWrongType, ReasonUnknownValue, ReasonInvalidValue}

// String returns the reason's name for logs and metric attributes.
func (f Reason) String() string {
	return [...]string{"unreadable", "missing", "type", "unnamed", "value"}[f]
}

// Error says why a record was rejected.
type Error struct {
	reason Reason
	text   string
}

// Errorf returns an error with its reason and a formatted description.
func Errorf(f Reason, format string, args ...any) *Error {
	return &Error{reason: f, text: fmt.Sprintf(format, args...)}
}

// Reason returns why the record was rejected.
func (e *Error) Reason() Reason { return e.reason }

// Error returns the description.
func (e *Error) Error() string { return e.text }

// ReasonOf returns the reason of an error, ReasonUnreadable if it has none.
func ReasonOf(err error) Reason {
	var e *Error
	if eris.As(err, &e) {
		return e.reason
	}
	return ReasonUnreadable
}
