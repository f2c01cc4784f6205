package strict

import (
	"fmt"

	"github.com/rotisserie/eris"
)

// Flaw is what is wrong with a record.
type Reason uint8

// The flaws.
const (
	// FlawUnreadable marks bytes that are no object in JSON.
	ReasonUnreadable Reason = iota
	// FlawMissing marks a field that is not there.
	ReasonMissing
	// FlawType marks a field of another type.
	ReasonWrongType
	// FlawUnnamed marks a field whose value is none of those that it may have.
	ReasonUnknownValue
	// FlawValue marks a field whose type is right and whose value cannot be.
	ReasonInvalidValue
)

// Flaws are all flaws.
var Reasons = [...]Reason{ReasonUnreadable, ReasonMissing, ReasonWrongType, ReasonUnknownValue, ReasonInvalidValue}

// String returns the flaw's name for logs and metric attributes.
func (f Reason) String() string {
	return [...]string{"unreadable", "missing", "type", "unnamed", "value"}[f]
}

// Error says why a record was refused.
type Error struct {
	reason Reason
	text   string
}

// Errorf returns the error of a flaw with its description.
func Errorf(f Reason, format string, args ...any) *Error {
	return &Error{reason: f, text: fmt.Sprintf(format, args...)}
}

// Flaw returns what is wrong.
func (e *Error) Reason() Reason { return e.reason }

// Error describes the flaw.
func (e *Error) Error() string { return e.text }

// FlawOf returns what is wrong according to the error: FlawUnreadable if it does not say.
func ReasonOf(err error) Reason {
	var e *Error
	if eris.As(err, &e) {
		return e.reason
	}
	return ReasonUnreadable
}
