package capacity

import (
	"slices"
	"time"

	"github.com/barleystep/barleystep"
	"github.com/barleystep/barleystep/internal/place"
)

// lane is a queue for prompts of similar length, so that long prompts and short ones do not delay
// each other.
type lane int

const (
	laneShort lane = iota // laneShort holds prompts whose prefill is short.
	laneLong              // laneLong holds long prompts that fit one engine.
	laneLarge             // laneLarge holds prompts for which engines are reserved.
	laneCount
)

// usableShare is the share of an engine's memory that reservations plan with.
const usableShare = 0.95

// lane returns the lane of a request, or a refusal if the targets cannot run it at all.
func (d *Dispenser) lane(w *waiter) (lane, *barleystep.Refusal) {
	largest := 0
	for _, t := range d.sortedTargets {
		largest = max(largest, t.spec.KVTokens)
	}
	switch {
	case len(d.sortedTargets) == 0:
		return 0, notRun(barleystep.ReasonNoTarget, "No target serves the model here.", time.Second)
	case float64(w.tokens) > d.settings.LargeShare*float64(largest):
		return d.largeLane(w, largest)
	case barleystep.BandOf(w.req.Demand.PromptTokens).Long():
		return laneLong, nil
	default:
		return laneShort, nil
	}
}

func (d *Dispenser) largeLane(w *waiter, largest int) (lane, *barleystep.Refusal) {
	if d.targetCount(w.tokens, largest, len(d.sortedTargets)) > len(d.sortedTargets) {
		return 0, notRun(barleystep.ReasonNoTarget, "All engines together can't hold the prompt.", 0)
	}
	return laneLarge, nil
}

// checkDeadline refuses a request that would miss its deadline even if nothing ran before it and the
// fastest engine, or for a large prompt all of them together, prefilled it.
func (d *Dispenser) checkDeadline(now time.Time, w *waiter, l lane) *barleystep.Refusal {
	fastest := 0.0
	for _, t := range d.sortedTargets {
		fastest = max(fastest, t.spec.PrefillRate)
	}
	members := 1
	if l == laneLarge {
		members = len(d.sortedTargets)
	}
	prefill := seconds(float64(w.req.Demand.PromptTokens) / (fastest * float64(members)))
	left := w.req.Demand.Deadline.Sub(now)
	if prefill <= left {
		return nil
	}
	return notRun(barleystep.ReasonDeadlineCannotBeMet, "The prompt can't be read before the time limit.", 0)
}

// drainTime estimates how long the lane's queue takes to empty; at least 1 s.
func (d *Dispenser) drainTime(l lane) time.Duration {
	rate := 0.0
	for _, t := range d.sortedTargets {
		rate += t.spec.PrefillRate
	}
	if rate == 0 {
		return time.Second
	}
	return max(time.Second, seconds(d.lanes[l].Cost()/rate))
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// choose returns the target with the least expected time to first token for the request, or nil if
// none may run it now.
func (d *Dispenser) choose(now time.Time, w *waiter, l lane) *target {
	if d.isOverLimit(w) {
		return nil
	}
	if l == laneLong && d.longPrefillEngines() >= d.maxLongEngines() {
		return nil
	}
	cachedTarget, share := d.prefixes.Find(w.req.Demand.PrefixHashes)
	var best *target
	var bestTime time.Duration
	for _, t := range d.sortedTargets {
		if !d.isEligible(now, t, w, l) {
			continue
		}
		cached := 0
		if t.spec.ID == cachedTarget {
			cached = int(share * float64(w.req.Demand.PromptTokens))
		}
		e := place.ExpectedTTFT(t.snapshot(now), w.req.Demand.PromptTokens, cached)
		if best == nil || e < bestTime {
			best, bestTime = t, e
		}
	}
	return best
}

// isEligible reports whether the target may run the request now.
func (d *Dispenser) isEligible(now time.Time, t *target, w *waiter, l lane) bool {
	switch {
	case !t.usable(now) || slices.Contains(w.req.Demand.FailedTargets, t.spec.ID):
		return false
	case t.reservation != nil && !d.canBackfill(now, t, w, l):
		return false
	case l == laneLong:
		return d.fitsLong(now, t, w)
	default:
		return d.fitsShort(now, t, w)
	}
}

// isOverLimit reports whether the request would take its client account over the share of the pool
// that the policy allows. An account that holds nothing is never over its limit.
func (d *Dispenser) isOverLimit(w *waiter) bool {
	if w.req.Limit >= 1 || w.req.Limit <= 0 {
		return false
	}
	total, held := 0, 0
	for _, t := range d.sortedTargets {
		total += t.spec.KVTokens
	}
	for _, h := range d.grants {
		if h.account == w.req.Demand.Account {
			held += h.promptTokens + h.outputTokens
		}
	}
	return held > 0 && float64(held+w.tokens) > w.req.Limit*float64(total)
}

// fitsShort reports whether the target has capacity for a short prompt. The prompts that wait for
// prefill in an engine are bounded by Settings.Window, so that the dispenser decides their order.
func (d *Dispenser) fitsShort(now time.Time, t *target, w *waiter) bool {
	if t.freeTokens(now) < w.tokens {
		return false
	}
	short := t.shortPrefillTokens()
	window := int(t.spec.PrefillRate * d.settings.Window.Seconds())
	return short == 0 || short+w.req.Demand.PromptTokens <= window
}

// fitsLong reports whether the target may prefill another long prompt and has the memory for it.
// Long prompts leave Settings.ShortMemoryShare free, except for one that is the only long one.
func (d *Dispenser) fitsLong(now time.Time, t *target, w *waiter) bool {
	if t.totals.longPrefills >= d.settings.LongPrefills {
		return false
	}
	memory := t.totals.longKVTokens
	maxMemory := int(float64(t.spec.KVTokens) * (1 - d.settings.ShortMemoryShare))
	isOnly := memory == 0
	return t.freeTokens(now) >= w.tokens && (isOnly || memory+w.tokens <= maxMemory)
}

// longPrefillEngines returns the number of engines that prefill long prompts.
func (d *Dispenser) longPrefillEngines() int {
	n := 0
	for _, t := range d.sortedTargets {
		if t.totals.longPrefills > 0 {
			n++
		}
	}
	return n
}

// maxLongEngines returns how many engines may prefill long prompts at the same time.
func (d *Dispenser) maxLongEngines() int {
	share := d.settings.LongShare + (1-d.settings.LongShare)*d.settings.Weighing
	return max(1, int(share*float64(len(d.sortedTargets))+0.5))
}
