package soak

import (
	"cmp"
	"context"
	"slices"
	"syscall"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/barleystep/barleystep/internal/mutex"
	"github.com/barleystep/barleystep/platform/platformtest"
)

// Boxes that ActionKillLong kills: the one that holds an oversized prompt, or the lead.
const (
	killHolder = "holder"
	killLead   = "lead"
)

var killLongBoxes = []string{killHolder, killLead}

// longCallAge is how long an oversized prompt has been at its box when a box is killed. It is half
// of the time that a stand-in takes to prefill one.
const longCallAge = platformtest.OversizedPrefill / 2

// longCalls counts, by box, the oversized prompts whose answers have not begun. It is safe for
// concurrent use.
type longCalls struct {
	mu     mutex.Mutex
	counts map[string]int
	// changed is closed and replaced when a count changes.
	changed chan struct{}
}

func newLongCalls() *longCalls {
	return &longCalls{counts: make(map[string]int), changed: make(chan struct{})}
}

// add adds to the count of a box.
func (l *longCalls) add(box string, n int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.counts[box] += n
	close(l.changed)
	l.changed = make(chan struct{})
}

// holder returns the index of the first of the boxes that holds an oversized prompt, or -1, and the
// channel that is closed at the next change.
func (l *longCalls) holder(boxes []*box) (index int, changed <-chan struct{}) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for i, b := range boxes {
		if l.counts[b.id] > 0 {
			return i, l.changed
		}
	}
	return -1, l.changed
}

// holds reports whether the box holds an oversized prompt.
func (l *longCalls) holds(b *box) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.counts[b.id] > 0
}

// killLongTime is the minimum time for which ActionKillLong waits for an oversized prompt that has
// not been refused at once.
const killLongTime = 3 * time.Second

// killLong kills the box that e.Detail names while an oversized prompt waits or is being prefilled,
// or none if there is no such prompt within the given time.
func (s *Runner) killLong(ctx context.Context, e Event, wait time.Duration) {
	s.long.Add(1)
	defer s.long.Add(-1)
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	timer := s.Clock.NewTimer(wait)
	defer timer.Stop()
	for {
		index, changed := s.longCalls.holder(s.boxes)
		if index >= 0 {
			b := s.boxes[index]
			if s.sleep(ctx, longCallAge) && s.longCalls.holds(b) {
				s.killLongBox(e, b)
				return
			}
		}
		select {
		case <-ctx.Done():
			return
		case <-timer.C():
			return
		case <-changed:
		}
	}
}

func (s *Runner) killLongBox(e Event, holder *box) {
	b := holder
	if e.Detail == killLead {
		b = s.expectedLead()
	}
	b.signal(syscall.SIGKILL)
	s.longKills.Add(1)
}

// expectedLead returns the box that leads while all are heard: boxes of equal strength are ranked
// by the hashes of their ids.
func (s *Runner) expectedLead() *box {
	return slices.MinFunc(s.boxes, func(a, b *box) int { return cmp.Compare(xxhash.Sum64String(a.id), xxhash.Sum64String(b.id)) })
}
