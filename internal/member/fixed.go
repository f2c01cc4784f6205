// Package member keeps track of which boxes of a hall are alive.
package member

import "github.com/barleystep/barleystep"

// Fixed is a set of boxes that never changes, for tests and tools.
type Fixed struct{ boxes []barleystep.BoxID }

// NewFixed returns the set with the given boxes, which must be sorted.
func NewFixed(boxes ...barleystep.BoxID) Fixed { return Fixed{boxes: boxes} }

// Alive returns all boxes.
func (f Fixed) Alive() []barleystep.BoxID { return f.boxes }

// Changed returns a channel that is never closed.
func (f Fixed) Changed() <-chan struct{} { return nil }
