package keeper

import (
	"context"
	"time"

	"github.com/barleystep/barleystep"
	"github.com/barleystep/barleystep/internal/clock"
	"github.com/barleystep/barleystep/internal/member"
	"github.com/barleystep/barleystep/internal/mutex"
	"github.com/barleystep/barleystep/internal/place"
)

// Targets looks up the adapters of targets.
type Targets interface {
	// Engine returns the adapter of a configured target; ok is false if there
	// is none.
	Engine(id barleystep.TargetID, fresh bool) (e barleystep.Engine, ok bool)
}

// Watcher keeps the HallState up to date. Its exported fields are set before
// Serve; it is safe for concurrent use.
type Watcher struct {
	Clock barleystep.Clock
	Hall  barleystep.HallID
	Boxes barleystep.BoxList
	// Members asks the own box's entry process for its membership.
	Members func(ctx context.Context) ([]member.Update, error)
	// Interval is the time between refreshes; the default is 1 second.
	Interval time.Duration

	mu    mutex.Mutex
	state HallState
}

const defaultWatchInterval = time.Second

// Serve refreshes the state until ctx ends.
func (w *Watcher) Serve(ctx context.Context) error {
	if w.Interval == 0 {
		w.Interval = defaultWatchInterval
	}
	for {
		w.Refresh(ctx)
		if !clock.Sleep(ctx, w.Clock, w.Interval) {
			return ctx.Err()
		}
	}
}

// Refresh reads the membership and the platform's list of boxes. What can't be
// read keeps its last value. It is exported for tests.
func (w *Watcher) Refresh(ctx context.Context) {
	now := w.Clock.Now()
	members, err := w.Members(ctx)
	if err == nil {
		w.mu.Lock()
		w.setMembers(now, members)
		w.mu.Unlock()
	}
	boxes, err := w.Boxes.Boxes(ctx)
	if err != nil {
		return
	}
	listed := make(map[barleystep.BoxID]bool, len(boxes))
	for _, b := range boxes {
		listed[b.ID()] = true
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.state.Listed = listed
	w.state.ListedAt = now
}

func (w *Watcher) setMembers(now time.Time, members []member.Update) {
	deadSince := make(map[barleystep.BoxID]time.Time)
	for _, m := range members {
		if m.Status != member.StatusDead {
			continue
		}
		deadSince[m.Box] = now
		if since, ok := w.state.DeadSince[m.Box]; ok {
			deadSince[m.Box] = since
		}
	}
	w.state.Members = members
	w.state.DeadSince = deadSince
}

// State returns the last known state. Callers must not modify it.
func (w *Watcher) State() HallState {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.state
}

// HasEnded reports whether an incarnation of a box is known to have ended.
func (w *Watcher) HasEnded(id barleystep.BoxID, inc barleystep.Incarnation) bool {
	p := w.State()
	for _, m := range p.Members {
		if m.Box == id {
			return orphanReasonOfBox(m, barleystep.NewAttemptID(id, inc, 0), p) != ReasonNone
		}
	}
	return false
}

// owner returns the live box that owns the job with the key.
func (p HallState) owner(key string) barleystep.BoxID {
	var alive []barleystep.BoxID
	for _, m := range p.Members {
		if m.Status == member.StatusAlive {
			alive = append(alive, m.Box)
		}
	}
	return place.Owner(key, alive)
}
