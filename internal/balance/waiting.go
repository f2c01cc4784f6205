package balance

import (
	"context"
	"time"

	"github.com/barleystep/barleystep/internal/clock"
)

// waiter is a job that waits for a place.
type waiter struct {
	job   Job
	since time.Time
	// ready gets the placement; it holds one, so that nobody waits to send.
	ready chan *Placement
	gone  bool
}

const (
	// answerTime is about how long an engine with free slots takes to the first
	// event of a short prompt.
	answerTime = 110 * time.Millisecond
	// patience is how many times its objective a job waits before it is given
	// up. Callers of streams give up after four times the objective, and after
	// two seconds at the earliest.
	patience = 5
	// shareDivisor is the part of the places seen free that a box takes at once:
	// all boxes see the same places.
	shareDivisor = 4
)

func (b *Balancer) enqueue(j Job) *waiter {
	w := &waiter{job: j, since: b.Clock.Now(), ready: make(chan *Placement, 1)}
	b.waiting = append(b.waiting, w)
	return w
}

// await waits for the placement.
func (b *Balancer) await(ctx context.Context, w *waiter) (p *Placement, err error) {
	ctx, cancel := clock.WithDeadline(ctx, b.Clock, w.since.Add(patience*w.job.Objective))
	defer cancel()
	select {
	case p = <-w.ready:
		return p, nil
	case <-ctx.Done():
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	w.gone = true
	select {
	case p = <-w.ready:
		return p, nil
	default:
		return nil, ErrFull
	}
}

// serveWaiting places up to most of the jobs that wait.
func (b *Balancer) serveWaiting(most int) {
	for ; most > 0; most-- {
		w := b.nextWaiter()
		if w == nil {
			return
		}
		p, err := b.try(w.job)
		if err != nil || p == nil {
			b.waiting = append(b.waiting, w)
			return
		}
		w.ready <- p
	}
}

// nextWaiter takes the next job off the queue: of those that can still be in
// time the one that came last, since the ones before it are the likelier to be
// late; else the one that has waited longest.
func (b *Balancer) nextWaiter() *waiter {
	now := b.Clock.Now()
	kept := b.waiting[:0]
	for _, w := range b.waiting {
		if !w.gone {
			kept = append(kept, w)
		}
	}
	b.waiting = kept
	if len(kept) == 0 {
		return nil
	}
	next, oldest := -1, 0
	for i, w := range kept {
		if w.since.Before(kept[oldest].since) {
			oldest = i
		}
		inTime := now.Sub(w.since) < w.job.Objective-answerTime
		if inTime && (next < 0 || w.since.After(kept[next].since)) {
			next = i
		}
	}
	if next < 0 {
		next = oldest
	}
	w := kept[next]
	b.waiting = append(kept[:next], kept[next+1:]...)
	return w
}
