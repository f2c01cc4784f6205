package barleystep

import "github.com/rotisserie/eris"

// Fault classifies an error of a system outside the box by what it says about
// the effect of the call.
type Fault uint8

// The faults of the platform's services and of targets.
const (
	// FaultNone is the classification of a nil error.
	FaultNone Fault = iota
	// FaultConflict means that a condition did not hold: nothing was written.
	FaultConflict
	// FaultUnavailable means that the call had no effect and never will.
	FaultUnavailable
	// FaultUnknownEffect means that the call may have taken effect, or may
	// still take effect later.
	FaultUnknownEffect
)

// The sentinel errors that carry the faults. Compare with FaultOf, which looks
// through wrapping.
var (
	// ErrConflict is returned by Table.Commit when a condition does not hold.
	ErrConflict = eris.New("barleystep: conflict")
	// ErrUnavailable is returned when a call certainly had no effect.
	ErrUnavailable = eris.New("barleystep: unavailable")
	// ErrUnknownEffect is returned when the answer of a call was lost.
	ErrUnknownEffect = eris.New("barleystep: effect unknown")
	// ErrNotFound is returned by ObjectStore.Get for a missing object.
	ErrNotFound = eris.New("barleystep: not found")
)

// FaultOf classifies err. An error of no known kind counts as
// FaultUnknownEffect, the cautious reading.
func FaultOf(err error) Fault {
	switch {
	case err == nil:
		return FaultNone
	case eris.Is(err, ErrConflict):
		return FaultConflict
	case eris.Is(err, ErrUnavailable):
		return FaultUnavailable
	default:
		return FaultUnknownEffect
	}
}

// String returns a short name for logs and metric attributes.
func (f Fault) String() string {
	switch f {
	case FaultNone:
		return "none"
	case FaultConflict:
		return "conflict"
	case FaultUnavailable:
		return "unavailable"
	default:
		return "unknown-effect"
	}
}
