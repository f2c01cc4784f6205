package conn

import "github.com/barleystep/barleystep"

// dialError is the error of a connection that could not be made. It is barleystep.ErrNotStarted
// besides its cause.
type dialError struct{ cause error }

// Error returns the error's text.
func (e *dialError) Error() string {
	return e.cause.Error() + ": " + barleystep.ErrNotStarted.Error()
}

// Is reports whether target is barleystep.ErrNotStarted.
func (*dialError) Is(target error) bool { return target == barleystep.ErrNotStarted }

// Unwrap returns the cause.
func (e *dialError) Unwrap() error { return e.cause }
