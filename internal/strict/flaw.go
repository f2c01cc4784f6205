package strict

import (
	"fmt"

	"github.com/rotisserie/eris"
)

// Flaw is what is wrong with a record.
type Flaw uint8

// The flaws.
const (
	// FlawUnreadable marks bytes that are no object in JSON.
	FlawUnreadable Flaw = iota
	// FlawMissing marks a field that is not there.
	FlawMissing
	// FlawType marks a field of another type.
	FlawType
	// FlawUnnamed marks a field whose value is none of those that it may have.
	FlawUnnamed
	// FlawValue marks a field whose type is right and whose value cannot be.
	FlawValue
)

// Flaws are all flaws.
var Flaws = [...]Flaw{FlawUnreadable, FlawMissing, FlawType, FlawUnnamed, FlawValue}

// String returns the flaw's name for logs and metric attributes.
func (f Flaw) String() string {
	return [...]string{"unreadable", "missing", "type", "unnamed", "value"}[f]
}

// Error says why a record was refused.
type Error struct {
	flaw Flaw
	text string
}

// Errorf returns the error of a flaw with its description.
func Errorf(f Flaw, format string, args ...any) *Error {
	return &Error{flaw: f, text: fmt.Sprintf(format, args...)}
}

// Flaw returns what is wrong.
func (e *Error) Flaw() Flaw { return e.flaw }

// Error describes the flaw.
func (e *Error) Error() string { return e.text }

// FlawOf returns what is wrong according to the error: FlawUnreadable if it does not say.
func FlawOf(err error) Flaw {
	var e *Error
	if eris.As(err, &e) {
		return e.flaw
	}
	return FlawUnreadable
}
