package barleystep

import "github.com/rotisserie/eris"

// Fault classifies an error of an external system by what it says about the effect of the call.
type Fault uint8

// Faults of the platform's services and of targets.
const (
	// FaultNone is the class of a nil error.
	FaultNone Fault = iota
	// FaultConflict means that a condition did not hold and nothing was written.
	FaultConflict
	// FaultUnavailable means that the call had no effect and never will have.
	FaultUnavailable
	// FaultUnknownEffect means that the call may have taken effect, or may still do so.
	FaultUnknownEffect
)

// Sentinel errors for the faults. Use FaultOf to classify an error, also a wrapped one.
var (
	// ErrConflict is returned by Table.Commit when a condition does not hold.
	ErrConflict = eris.New("barleystep: conflict")
	// ErrUnavailable is returned when a call certainly had no effect.
	ErrUnavailable = eris.New("barleystep: unavailable")
	// ErrUnknownEffect is returned when the response to a call was lost.
	ErrUnknownEffect = eris.New("barleystep: effect unknown")
	// ErrNoPath is returned by a Dialer when this box has no way to the target, which says nothing
	// about the target itself.
	ErrNoPath = eris.New("barleystep: no path to the target")
	// ErrNotFound is returned by ObjectStore.Get for a missing object.
	ErrNotFound = eris.New("barleystep: not found")
)

// FaultOf classifies err. Any other error counts as FaultUnknownEffect, the safe assumption.
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

// String returns the name of the fault in logs and metric attributes.
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
