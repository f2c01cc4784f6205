package standin

import (
	"context"

	"github.com/barleystep/barleystep"
	"github.com/barleystep/barleystep/internal/mutex"
)

// BoxList is a stand-in for the platform's list of boxes. Its zero value is an empty list.
type BoxList struct {
	mu    mutex.Mutex
	boxes []barleystep.Box
}

// SetBoxes replaces the list of boxes.
func (l *BoxList) SetBoxes(boxes ...barleystep.Box) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.boxes = boxes
}

// Boxes returns a copy of the list of boxes. It never fails.
func (l *BoxList) Boxes(context.Context) ([]barleystep.Box, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]barleystep.Box(nil), l.boxes...), nil
}
