package balance

import (
	"time"

	"github.com/barleystep/barleystep/internal/fleet"
)

const (
	// shortSamples is how many random engines are compared for a short prompt: enough to find one
	// with room when most are full, few enough that boxes with the same knowledge rarely choose the
	// same one.
	shortSamples = 3
	// slotWait is what each place in the queue counts for, in prefill time, when a target's slots
	// are full: about the time until a short stream ends.
	slotWait = 400 * time.Millisecond
	// longRegionCost is the cost of using an engine for long prompts: one may soon be prefilled
	// there.
	longRegionCost = 80 * time.Millisecond
	// otherHallCost is the cost of using an engine in another hall than the caller's box: a stream
	// between halls breaks when one of them is partitioned.
	otherHallCost = 60 * time.Millisecond
	// tightSlotsPercent is the percentage of the slots above which each further stream costs
	// tightCost: counts from peers are slightly stale, so the last slots may already be taken.
	tightSlotsPercent = 65
	tightCost         = 25 * time.Millisecond
	percent           = 100
	// lateReservedSlots is how many slots of an engine are reserved for prompts that can still be
	// in time: a late one would occupy a slot for seconds.
	lateReservedSlots = 3
	// plannedCost is the cost of using an engine for which a part of a long prompt is planned: it
	// would stall the stream.
	plannedCost = 100 * time.Millisecond
	// streamCost is the cost of a stream in progress: it makes each pass slightly longer.
	streamCost = time.Millisecond
)

// placeShort takes the best of some random engines for short prompts. It takes an engine for long
// prompts instead where the former fill up or the latter are idle, since the regions follow the
// demand of the last seconds. It returns nil if all engines that it sampled are full.
func (b *Balancer) placeShort(j Job, engines []fleet.Target) *Placement {
	prefill := j.Cost.Prefill(j.PromptTokens)
	if t, due := b.dueProbe(j, engines); due {
		b.noteDemand(j, prefill, false)
		return b.shortPlacement(j, t, b.shortScore(j, t)+prefill+j.Cost.Pass())
	}
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
	return b.shortPlacement(j, best, score+prefill+j.Cost.Pass())
}

// shortPlacement returns the placement of a short prompt at an engine.
func (b *Balancer) shortPlacement(j Job, t fleet.Target, expectedTTFT time.Duration) *Placement {
	work := Work{Short: 1, Backlog: j.Cost.Prefill(j.PromptTokens), KVTokens: j.PromptTokens + j.OutputTokens}
	return &Placement{Target: t, expectedTTFT: expectedTTFT, modelTTFT: b.modelTTFT(j, t), parts: []*part{{target: t.ID, work: work}}}
}

// isShort reports whether the placement is that of a short prompt or of a request to a plain
// service.
func (p *Placement) isShort() bool {
	return len(p.parts) == 1 && p.parts[0].prefill == 0 && p.parts[0].pass == 0
}

// bestOfHalls returns the best of some random engines in the caller's hall, or one of another hall
// that is better by more than otherHallCost, with its score. least is the best score in any hall
// and decides whether a short prompt leaves the engines for short ones: by the score of its own
// hall alone, it would go among long prompts while another hall has room.
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
		best, score = b.bestShort(j, far)
		return best, score, score
	case len(far) == 0:
		best, score = b.bestShort(j, near)
		return best, score, score
	}
	best, score = b.bestShort(j, near)
	t, farScore := b.bestShort(j, far)
	least = min(score, farScore)
	if farScore+otherHallCost < score {
		best, score = t, farScore
	}
	return best, score, least
}

// bestShort returns the best of some random engines, and its score. Where that is a slow one, it is
// compared with the whole pool: in a small one, all samples are often the same engine.
func (b *Balancer) bestShort(j Job, pool []fleet.Target) (best fleet.Target, least time.Duration) {
	for i := range shortSamples {
		t := pool[b.randIntN(len(pool))]
		if s := b.shortScore(j, t); i == 0 || s < least {
			best, least = t, s
		}
	}
	if !b.isSlow(best.ID) {
		return best, least
	}
	for _, t := range pool {
		if s := b.shortScore(j, t); s < least {
			best, least = t, s
		}
	}
	return best, least
}

// HasFreeSlot reports whether some target with a free slot may take the job.
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

// shortScore estimates how long a short prompt waits at the engine. At a slow one it also counts by
// how much longer its own prefill takes.
func (b *Balancer) shortScore(j Job, t fleet.Target) time.Duration {
	w := b.totalWork(t.ID)
	score := w.Backlog + time.Duration(w.Short)*streamCost + b.errorWait(t)
	if p := b.timelines[t.ID]; p != nil && p.HasPlanned() {
		score += plannedCost
	}
	running := w.Short + w.Long
	if over := running - t.Slots + 1; over > 0 {
		score += time.Duration(over) * slotWait
	}
	if tight := running - t.Slots*tightSlotsPercent/percent; tight > 0 {
		score += time.Duration(tight) * tightCost
	}
	if factor := b.slowness(t.ID); factor > 1 {
		own := j.Cost.Prefill(j.PromptTokens) + j.Cost.Pass()
		score = time.Duration(factor*float64(score+own)) - own
	}
	return score
}

// errorWait returns the wait that an engine's recent failures count for.
func (b *Balancer) errorWait(t fleet.Target) time.Duration {
	return time.Duration(b.targetState(t.ID).errorRate * float64(errorWait))
}
