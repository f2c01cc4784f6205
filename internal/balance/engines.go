package balance

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/barleystep/barleystep/internal/fleet"
)

const (
	// heavyPart is the part of the tightest pause that reading one prompt may
	// take before the prompt counts as long: the rest is for the pass itself and
	// for other prompts in it.
	heavyPart = 0.7
	// partRead is the reading of a long prompt that one engine is given: short
	// enough that the streams it holds up still come in time.
	partRead = 150 * time.Millisecond
	// maxHelpers is the most engines that may help one prompt.
	maxHelpers = 16
	// heavyUse and lightUse are how busy with reading the engines for long and
	// for short prompts are planned to be. Short prompts need more room, since
	// theirs is the tighter objective.
	heavyUse = 0.6
	lightUse = 0.3
	// streamUse is the part of an engine's slots that short streams are planned
	// to take.
	streamUse = 0.6
	// leastHeavy and leastLight are the fewest engines planned for each.
	leastHeavy = 3
	leastLight = 3
	// slotWait is what a place in the queue counts for, in reading time, when a
	// target's slots are full: about the time until a short stream ends.
	slotWait = 400 * time.Millisecond
)

// heavy reports whether reading the prompt would hold up other streams for
// longer than they may pause.
func heavy(j Job) bool {
	if j.Tightest <= 0 {
		return false
	}
	return float64(j.Cost.Read(j.Prompt)) > heavyPart*float64(j.Tightest)
}

// split orders the engines in the same way on every box and returns how many of
// them, from the start, are for long prompts.
func (b *Balancer) split(j Job, engines []fleet.Target) int {
	slices.SortFunc(engines, func(x, y fleet.Target) int {
		return cmp.Compare(xxhash.Sum64String(string(x.ID)), xxhash.Sum64String(string(y.ID)))
	})
	n := len(engines)
	if n <= leastHeavy+leastLight {
		return n / 2
	}
	d := b.demand(j.Service)
	streams := 0
	for _, t := range engines {
		streams += b.work(t.ID).Light
	}
	slots := max(float64(j.Cost.Slots), 1)
	light := max(d.Light/lightUse, float64(streams)/(streamUse*slots), leastLight)
	heavy := max(d.Heavy/heavyUse, leastHeavy)
	// Both get their part of what is left, or of what is lacking.
	planned := math.Round(float64(n) * heavy / (heavy + light))
	return min(max(int(planned), leastHeavy), n-leastLight)
}

// placeLight takes the better of two engines for short prompts, drawn at random
// so that boxes that know the same do not all choose the same.
func (b *Balancer) placeLight(j Job, engines []fleet.Target) *Placement {
	read := j.Cost.Read(j.Prompt)
	b.note(j, read, false)
	heavies := b.split(j, engines)
	pool := engines[heavies:]
	x, y := pool[rand.IntN(len(pool))], pool[rand.IntN(len(pool))]
	if b.lightScore(y) < b.lightScore(x) {
		x = y
	}
	work := Work{Light: 1, Backlog: read, Memory: j.Prompt + j.Output}
	return &Placement{Target: x, parts: []part{{x.ID, work}}}
}

// lightScore is about how long a short prompt waits at the engine.
func (b *Balancer) lightScore(t fleet.Target) time.Duration {
	w := b.work(t.ID)
	score := w.Backlog + time.Duration(w.Light)*time.Millisecond
	if over := w.Light + w.Heavy - t.Slots + 1; over > 0 {
		score += time.Duration(over) * slotWait
	}
	return score
}

// placeHeavy sends a long prompt to the engine with the most room among those
// for long prompts and has the others help to read it.
func (b *Balancer) placeHeavy(j Job, engines []fleet.Target) *Placement {
	read := j.Cost.Read(j.Prompt)
	b.note(j, read, true)
	pool := slices.Clone(engines[:max(b.split(j, engines), 1)])
	rand.Shuffle(len(pool), func(i, k int) { pool[i], pool[k] = pool[k], pool[i] })
	slices.SortStableFunc(pool, func(x, y fleet.Target) int {
		return cmp.Compare(b.heavyScore(x), b.heavyScore(y))
	})
	first := b.roomiest(j, pool)
	parts := min(int((read+partRead-1)/partRead), len(pool), maxHelpers+1)
	share := read / time.Duration(parts)
	p := &Placement{Target: first, heavy: true}
	p.parts = append(p.parts, part{first.ID, Work{Heavy: 1, Backlog: share, Memory: j.Prompt + j.Output}})
	for _, t := range pool {
		if len(p.parts) == parts {
			break
		}
		if t.ID == first.ID {
			continue
		}
		p.Helpers = append(p.Helpers, t.Addr)
		p.parts = append(p.parts, part{t.ID, Work{Backlog: share}})
	}
	return p
}

// heavyScore is about how long an engine takes until it reads a new part, and
// what short streams there would suffer by it.
func (b *Balancer) heavyScore(t fleet.Target) time.Duration {
	w := b.work(t.ID)
	return w.Backlog + time.Duration(w.Light)*lightHarm
}

// lightHarm is what a short stream on an engine counts for, in reading time,
// when engines for a part of a long prompt are chosen.
const lightHarm = 40 * time.Millisecond

// roomiest returns the engine of the pool with memory for the prompt that has
// the least to do, or, if it fits none, the one with the most memory free.
func (b *Balancer) roomiest(j Job, pool []fleet.Target) fleet.Target {
	need := j.Prompt + j.Output
	best, most := pool[0], -1
	for _, t := range pool {
		free := j.Cost.Memory - b.work(t.ID).Memory
		if free >= need {
			return t
		}
		if free > most {
			best, most = t, free
		}
	}
	return best
}
