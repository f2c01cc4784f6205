package balance

import (
	"time"

	"github.com/barleystep/barleystep/internal/fleet"
)

const (
	// lightDraws is how many engines are compared for a short prompt: enough to
	// find one with room when most are full, few enough that boxes that know the
	// same rarely choose the same.
	shortSamples = 3
	// slotWait is what a place in the queue counts for, in reading time, when a
	// target's slots are full: about the time until a short stream ends.
	slotWait = 400 * time.Millisecond
	// outsideCost is what it counts for that an engine is meant for long prompts:
	// one may be read there soon.
	longRegionCost = 80 * time.Millisecond
	// abroadCost is what it counts for that an engine is in another hall than the caller's
	// box: a stream between halls stops when one of them is cut off.
	otherHallCost = 60 * time.Millisecond
	// fullPart is the part of the slots, in hundredths, from which on each
	// further stream counts for tightCost: counts of other boxes are a little
	// old, so the last slots may be taken already.
	tightSlotsPercent = 65
	tightCost         = 25 * time.Millisecond
	percent           = 100
	// lateSpare is how many slots of an engine are kept for prompts that can
	// still be in time: one that is late anyway would hold a slot for seconds.
	lateReservedSlots = 3
	// streamCost is what a stream in progress counts for: it makes each pass a
	// little longer.
	streamCost = time.Millisecond
)

// placeLight takes the best of some engines for short prompts, drawn at random.
// Where these are filling up, or others are idle, it takes one of the others: the
// demand by which the engines are divided is that of the last seconds. It returns
// nothing if all that it looked at are full.
func (b *Balancer) placeShort(j Job, engines []fleet.Target) *Placement {
	prefill := j.Cost.Prefill(j.PromptTokens)
	r := b.divideRegions(j, engines)
	best, score, least := b.bestOfHalls(j, r.short)
	if others := r.long(); len(others) > 0 {
		if t, s, _ := b.bestOfHalls(j, others); s+longRegionCost < least {
			best, score = t, s
		}
	}
	if w := b.totalWork(best.ID); best.Slots > 0 && w.Short+w.Long >= best.Slots-j.reservedSlots {
		return nil
	}
	b.noteDemand(j, prefill, false)
	return shortPlacement(j, best, score+prefill+j.Cost.Pass())
}

// lightPlacement returns the placement of a short prompt at an engine.
func shortPlacement(j Job, t fleet.Target, expectedTTFT time.Duration) *Placement {
	work := Work{Short: 1, Backlog: j.Cost.Prefill(j.PromptTokens), KVTokens: j.PromptTokens + j.OutputTokens}
	return &Placement{Target: t, expectedTTFT: expectedTTFT, parts: []*part{{target: t.ID, work: work}}}
}

// light reports whether the placement is that of a short prompt or of a request to a
// plain service.
func (p *Placement) isShort() bool {
	return len(p.parts) == 1 && p.parts[0].prefill == 0 && p.parts[0].pass == 0
}

// bestOfHalls returns the best of some engines drawn from the caller's hall, or one of
// another hall that is better by abroadCost, and its score; and the least score of any,
// by which a short prompt leaves the engines for short ones: by that of its own hall alone,
// it would go among long prompts while another hall has room.
func (b *Balancer) bestOfHalls(j Job, pool []fleet.Target) (best fleet.Target, score, least time.Duration) {
	var near, far []fleet.Target
	for _, t := range pool {
		if t.Hall == j.Hall {
			near = append(near, t)
		} else {
			far = append(far, t)
		}
	}
	switch {
	case len(near) == 0:
		best, score = b.bestShort(far)
		return best, score, score
	case len(far) == 0:
		best, score = b.bestShort(near)
		return best, score, score
	}
	best, score = b.bestShort(near)
	t, farScore := b.bestShort(far)
	least = min(score, farScore)
	if farScore+otherHallCost < score {
		best, score = t, farScore
	}
	return best, score, least
}

// bestLight returns the best of some engines drawn at random, and its score.
func (b *Balancer) bestShort(pool []fleet.Target) (best fleet.Target, least time.Duration) {
	for i := range shortSamples {
		t := pool[b.randIntN(len(pool))]
		if s := b.shortScore(t); i == 0 || s < least {
			best, least = t, s
		}
	}
	return best, least
}

// HasRoom reports whether some target with a free slot may take the job.
func (b *Balancer) HasFreeSlot(j Job) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	clear(b.workCache)
	for _, t := range b.accepting(j, b.candidates(j)) {
		if w := b.totalWork(t.ID); t.Slots == 0 || w.Short+w.Long < t.Slots {
			return true
		}
	}
	return false
}

// lightScore is about how long a short prompt waits at the engine.
func (b *Balancer) shortScore(t fleet.Target) time.Duration {
	w := b.totalWork(t.ID)
	score := w.Backlog + time.Duration(w.Short)*streamCost + b.errorWait(t)
	running := w.Short + w.Long
	if over := running - t.Slots + 1; over > 0 {
		score += time.Duration(over) * slotWait
	}
	if tight := running - t.Slots*tightSlotsPercent/percent; tight > 0 {
		score += time.Duration(tight) * tightCost
	}
	return score
}

// errorWait is what an engine's recent failures count for.
func (b *Balancer) errorWait(t fleet.Target) time.Duration {
	return time.Duration(b.targetState(t.ID).errorRate * float64(errorWait))
}
