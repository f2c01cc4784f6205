package capacity

import (
	"slices"
	"time"

	"github.com/barleystep/barleystep"
	"github.com/barleystep/barleystep/internal/place"
)

// lane keeps requests apart whose lengths would get in each other's way.
type lane int

const (
	laneShort lane = iota // laneShort holds prompts that are read in a moment.
	laneLong              // laneLong holds prompts that fit one engine.
	laneGiant             // laneGiant holds prompts for which engines are set aside.
	laneCount
)

// usableMemory is the part of an engine's memory that is planned with.
const usableMemory = 0.95

func (d *Dispenser) lane(w *waiter) (lane, *barleystep.Refusal) {
	largest := 0
	for _, t := range d.sorted {
		largest = max(largest, t.spec.KVTokens)
	}
	switch {
	case len(d.sorted) == 0:
		return 0, notRun(barleystep.ReasonNoTarget, "No target serves the model here.", time.Second)
	case float64(w.tokens) > d.settings.LargeShare*float64(largest):
		return d.giantLane(w, largest)
	case barleystep.BandOf(w.ask.Demand.PromptTokens).Long():
		return laneLong, nil
	default:
		return laneShort, nil
	}
}

func (d *Dispenser) giantLane(w *waiter, largest int) (lane, *barleystep.Refusal) {
	if d.gangSize(w.tokens, largest, len(d.sorted)) > len(d.sorted) {
		return 0, notRun(barleystep.ReasonNoTarget, "All engines together can't hold the prompt.", 0)
	}
	return laneGiant, nil
}

// hopeless refuses a request that would miss its deadline even if nothing ran
// before it and the fastest engine, or all of them together, read its prompt.
func (d *Dispenser) hopeless(now time.Time, w *waiter, l lane) *barleystep.Refusal {
	fastest := 0.0
	for _, t := range d.sorted {
		fastest = max(fastest, t.spec.PrefillRate)
	}
	members := 1
	if l == laneGiant {
		members = len(d.sorted)
	}
	read := seconds(float64(w.ask.Demand.PromptTokens) / (fastest * float64(members)))
	left := w.ask.Demand.Deadline.Sub(now)
	if read <= left {
		return nil
	}
	return notRun(barleystep.ReasonDeadlineCannotBeMet, "The prompt can't be read before the time limit.", 0)
}

// drainTime estimates how long the lane's queue takes to empty.
func (d *Dispenser) drainTime(l lane) time.Duration {
	rate := 0.0
	for _, t := range d.sorted {
		rate += t.spec.PrefillRate
	}
	if rate == 0 {
		return time.Second
	}
	return max(time.Second, seconds(d.lanes[l].Cost()/rate))
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// choose returns the target at which the request is expected to get its first
// token soonest, or nil if none may take it now.
func (d *Dispenser) choose(now time.Time, w *waiter, l lane) *target {
	if d.overLimit(w) {
		return nil
	}
	if l == laneLong && d.longReads() >= d.longEngines() {
		return nil
	}
	warm, part := d.prefixes.Find(w.ask.Demand.PrefixHashes)
	var best *target
	var bestTime time.Duration
	for _, t := range d.sorted {
		if !d.eligible(now, t, w, l) {
			continue
		}
		cached := 0
		if t.spec.ID == warm {
			cached = int(part * float64(w.ask.Demand.PromptTokens))
		}
		e := place.ExpectedTTFT(t.snapshot(now), w.ask.Demand.PromptTokens, cached)
		if best == nil || e < bestTime {
			best, bestTime = t, e
		}
	}
	return best
}

// eligible reports whether the target may take the request now.
func (d *Dispenser) eligible(now time.Time, t *target, w *waiter, l lane) bool {
	switch {
	case !t.usable(now) || slices.Contains(w.ask.Demand.FailedTargets, t.spec.ID):
		return false
	case t.gang != nil && !d.mayBackfill(now, t, w, l):
		return false
	case l == laneLong:
		return d.roomForLong(now, t, w)
	default:
		return d.roomForShort(now, t, w)
	}
}

// overLimit reports whether the account holds all that its policy allows. An
// account that holds nothing is never over its limit.
func (d *Dispenser) overLimit(w *waiter) bool {
	if w.ask.Limit >= 1 || w.ask.Limit <= 0 {
		return false
	}
	total, held := 0, 0
	for _, t := range d.sorted {
		total += t.spec.KVTokens
	}
	for _, h := range d.holdings {
		if h.account == w.ask.Demand.Account {
			held += h.prompt + h.output
		}
	}
	return held > 0 && float64(held+w.tokens) > w.ask.Limit*float64(total)
}

// roomForShort lets short prompts queue in an engine only for as long as the
// window, so that the order stays the dispenser's to decide.
func (d *Dispenser) roomForShort(now time.Time, t *target, w *waiter) bool {
	if t.free(now) < w.tokens {
		return false
	}
	short := t.shortReading()
	window := int(t.spec.PrefillRate * d.settings.Window.Seconds())
	return short == 0 || short+w.ask.Demand.PromptTokens <= window
}

func (d *Dispenser) roomForLong(now time.Time, t *target, w *waiter) bool {
	if t.sums.longs >= d.settings.LongPrefills {
		return false
	}
	memory := t.sums.longMemory
	most := int(float64(t.spec.KVTokens) * (1 - d.settings.ShortMemoryShare))
	alone := memory == 0
	return t.free(now) >= w.tokens && (alone || memory+w.tokens <= most)
}

// longReads counts the engines that read long prompts.
func (d *Dispenser) longReads() int {
	n := 0
	for _, t := range d.sorted {
		if t.sums.longs > 0 {
			n++
		}
	}
	return n
}

// longEngines returns how many engines may read long prompts at the same time.
func (d *Dispenser) longEngines() int {
	part := d.settings.LongShare + (1-d.settings.LongShare)*d.settings.Weighing
	return max(1, int(part*float64(len(d.sorted))+0.5))
}
