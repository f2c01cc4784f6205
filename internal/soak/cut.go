package soak

import (
	"context"
	"encoding/json"
	"io"
	"time"

	"github.com/barleystep/barleystep/internal/fault"
)

// cut takes away the links of one or more boxes to all targets for the event's duration.
func (s *Runner) cut(ctx context.Context, e Event) {
	for i, b := range s.boxes {
		isInHall := e.Share < hallCutShare && hallOf(i) == hallOf(e.Index)
		if i == e.Index || isInHall {
			b.addCut(fault.Mode(e.Detail), 1)
			defer b.addCut(fault.ModeOpen, -1)
		}
	}
	s.sleep(ctx, max(e.Duration, cutTime))
}

// cutTime is the minimum duration of a cut. Boxes must notice it, and what follows must be observable.
const cutTime = 3 * time.Second

// addCut changes the number of cuts of the box. The newest mode stays in force until the last cut has
// ended.
func (b *box) addCut(m fault.Mode, n int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.cuts += n
	if n > 0 || b.cuts == 0 {
		b.mode = m
		b.sendMode()
	}
	now := b.clock.Now()
	switch {
	case n > 0 && b.cuts == 1:
		b.history.RecordCut(b.id, now)
	case b.cuts == 0:
		b.history.RecordCutEnd(b.id, now)
	}
}

// sendMode tells the current process the mode of its links. The lock is held.
func (b *box) sendMode() {
	if b.links != nil {
		_ = b.links.Encode(b.mode) // The process may have exited; the next one is told at its start.
	}
}

// FollowLinks applies the modes that are read from the input to the link, until the input ends.
func FollowLinks(link *fault.Link, input io.Reader) {
	decoder := json.NewDecoder(input)
	for {
		var m fault.Mode
		if decoder.Decode(&m) != nil {
			return // The soak has ended, and ends this process.
		}
		link.Set(m)
	}
}
