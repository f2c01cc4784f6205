package lab

import (
	"slices"
	"time"

	"github.com/barleystep/barleystep/internal/balance"
)

// planner is a balancer that plans the start of waiting prompts.
type planner interface {
	// NextStart returns when the earliest planned prompt may start, zero if there is none.
	NextStart() time.Time
	// ServePlanned places the prompts whose planned start has come.
	ServePlanned()
}

// plannerOf returns the balancer as a planner, nil if it plans no starts.
func plannerOf(b *balance.Balancer) planner {
	p, _ := any(b).(planner)
	return p
}

// minPlannedDelay is the least time until a planned start is served. A start that stays due because
// its engines are late would otherwise stop the simulated time.
const minPlannedDelay = time.Millisecond

// schedulePlanned runs the balancer of the box at the next planned start. It is called after each
// change at the box, and sets no second timer for the same start.
func (d *day) schedulePlanned(b *box) {
	if b.planner == nil || !b.up {
		return
	}
	at := b.planner.NextStart()
	if at.IsZero() || slices.Contains(b.plannedStarts, at) {
		return
	}
	b.plannedStarts = append(b.plannedStarts, at)
	d.timeline.After(max(at.Sub(d.timeline.Now()), minPlannedDelay), func() {
		b.plannedStarts = slices.DeleteFunc(b.plannedStarts, func(o time.Time) bool { return o.Equal(at) })
		if b.up {
			b.planner.ServePlanned()
			d.poll(b)
		}
	})
}

// refusedUntil returns how long the balancer tells the caller of a refused request to wait. It
// returns false while the balancer says nothing: callers then come back after a third of the time
// that is left.
func refusedUntil(err error) (after time.Duration, ok bool) { return balance.RefusedUntil(err) }
