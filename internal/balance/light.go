package balance

import (
	"math/rand/v2"
	"time"

	"github.com/barleystep/barleystep/internal/fleet"
)

const (
	// lightDraws is how many engines are compared for a short prompt: enough to
	// find one with room when most are full, few enough that boxes that know the
	// same rarely choose the same.
	lightDraws = 3
	// slotWait is what a place in the queue counts for, in reading time, when a
	// target's slots are full: about the time until a short stream ends.
	slotWait = 400 * time.Millisecond
	// streamCost is what a stream in progress counts for: it makes each pass a
	// little longer.
	streamCost = time.Millisecond
)

// placeLight takes the best of some engines for short prompts, drawn at random.
func (b *Balancer) placeLight(j Job, engines []fleet.Target) *Placement {
	read := j.Cost.Read(j.Prompt)
	b.note(j, read, false)
	pool := b.divide(j, engines).light
	best := pool[rand.IntN(len(pool))]
	for range lightDraws - 1 {
		if t := pool[rand.IntN(len(pool))]; b.lightScore(t) < b.lightScore(best) {
			best = t
		}
	}
	work := Work{Light: 1, Backlog: read, Memory: j.Prompt + j.Output}
	return &Placement{Target: best, parts: []part{{best.ID, work}}}
}

// lightScore is about how long a short prompt waits at the engine.
func (b *Balancer) lightScore(t fleet.Target) time.Duration {
	w := b.work(t.ID)
	score := w.Backlog + time.Duration(w.Light)*streamCost
	if over := w.Light + w.Heavy - t.Slots + 1; over > 0 {
		score += time.Duration(over) * slotWait
	}
	return score
}
