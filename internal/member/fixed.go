// Package member implements the membership of a hall: boxes detect failures by heartbeats and
// spread changes of status by gossip.
package member

import "github.com/barleystep/barleystep"

// Fixed is a membership whose boxes never change, for tests and tools.
type Fixed struct{ boxes []barleystep.BoxID }

// NewFixed returns a Fixed of the given boxes, which must be sorted.
func NewFixed(boxes ...barleystep.BoxID) Fixed { return Fixed{boxes: boxes} }

// Alive returns all boxes.
func (f Fixed) Alive() []barleystep.BoxID { return f.boxes }

// Changed returns a channel that is never closed.
func (f Fixed) Changed() <-chan struct{} { return nil }
