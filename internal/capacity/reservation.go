package capacity

import (
	"slices"
	"sort"
	"time"

	"github.com/barleystep/barleystep"
)

// reservation is the engines that are reserved for one large prompt: several if the prompt is longer
// than an engine's memory, one if it is so large that smaller ones would starve it. An engine has
// at most one reservation, and all engines of a reservation are reserved at once, so that two
// prompts cannot deadlock on each other's engines: each waits only for work that is running.
type reservation struct {
	waiter  *waiter
	members []*target
}

// scheduleReservations reserves engines for the next large prompts, and grants those prompts whose
// engines all have enough free memory.
func (d *Dispenser) scheduleReservations(now time.Time) []Grant {
	for d.reserve(now) {
	}
	var grants []Grant
	for _, g := range slices.Clone(d.reservations) {
		switch {
		case g.isLost(now):
			d.requeue(g)
		case g.isReady(now):
			d.cancelReservation(g)
			grants = append(grants, d.grant(now, g.waiter, g.members, laneLarge))
		}
	}
	return grants
}

// reserve reserves engines for the first large prompt for which there are enough. It reports whether
// there was one.
func (d *Dispenser) reserve(now time.Time) bool {
	var members []*target
	w, ok := d.lanes[laneLarge].Take(func(w *waiter) bool {
		members = d.pickTargets(now, w)
		return members != nil && !d.isOverLimit(w)
	})
	if !ok {
		return false
	}
	g := &reservation{waiter: w, members: members}
	d.reservations = append(d.reservations, g)
	for _, t := range members {
		t.reservation = g
	}
	return true
}

// pickTargets returns as many engines as the prompt needs, those that are expected to be ready
// soonest. It returns nil if there are too few or if too many would be reserved.
func (d *Dispenser) pickTargets(now time.Time, w *waiter) []*target {
	var usable []*target
	reserved := 0
	for _, t := range d.sortedTargets {
		switch {
		case t.reservation != nil:
			reserved++
		case t.usable(now) && !slices.Contains(w.req.Demand.FailedTargets, t.spec.ID):
			usable = append(usable, t)
		}
	}
	if len(usable) == 0 {
		return nil
	}
	n := d.targetCount(w.tokens, smallestMemory(usable), len(usable))
	if n > len(usable) || reserved > 0 && float64(reserved+n) > d.settings.ReservedShare*float64(len(d.sortedTargets)) {
		return nil
	}
	d.sortByReady(now, usable, (w.tokens+n-1)/n)
	return usable[:n]
}

// targetCount returns how many engines of the given memory the prompt needs. The memory that is kept
// for short prompts is left free, unless that takes more engines than are available.
func (d *Dispenser) targetCount(tokens, memory, available int) int {
	usable := usableShare * float64(memory)
	n := ceilDiv(tokens, int(usable-d.settings.ShortMemoryShare*float64(memory)))
	if n <= available {
		return n
	}
	return ceilDiv(tokens, int(usable))
}

// ceilDiv returns how many engines with the given memory, in tokens, hold the tokens.
func ceilDiv(tokens, memory int) int { return (tokens + memory - 1) / memory }

// sortByReady sorts the targets by the time until each has the given memory, in tokens, free.
func (d *Dispenser) sortByReady(now time.Time, list []*target, memory int) {
	ready := make(map[*target]time.Duration, len(list))
	for _, t := range list {
		ready[t] = t.readyIn(now, memory, d.decodeTime)
	}
	sort.SliceStable(list, func(i, j int) bool { return ready[list[i]] < ready[list[j]] })
}

func smallestMemory(targets []*target) int {
	least := targets[0].spec.KVTokens
	for _, t := range targets[1:] {
		least = min(least, t.spec.KVTokens)
	}
	return least
}

// isReady reports whether all members have the memory that they need and prefill no other long
// prompt.
func (g *reservation) isReady(now time.Time) bool {
	for _, t := range g.members {
		if t.totals.longPrefills > 0 || t.freeTokens(now) < g.tokensPerTarget() {
			return false
		}
	}
	return true
}

// isLost reports whether a member has become unusable.
func (g *reservation) isLost(now time.Time) bool {
	for _, t := range g.members {
		if !t.usable(now) || t.reservation != g {
			return true
		}
	}
	return false
}

// tokensPerTarget is the KV cache, in tokens, that the prompt needs at each member.
func (g *reservation) tokensPerTarget() int {
	n := len(g.members)
	return (g.waiter.tokens + n - 1) / n
}

// readyIn estimates the time until the slowest member is ready.
func (g *reservation) readyIn(now time.Time, decodeTime time.Duration) time.Duration {
	longest := time.Duration(0)
	for _, t := range g.members {
		longest = max(longest, t.readyIn(now, g.tokensPerTarget(), decodeTime))
	}
	return longest
}

// canBackfill reports whether a reserved target may run the request while it waits for the other
// members: a short prompt, or a long one that is expected to end before the slowest member is ready.
func (d *Dispenser) canBackfill(now time.Time, t *target, w *waiter, l lane) bool {
	if l == laneShort {
		return true
	}
	total := seconds(float64(w.req.Demand.PromptTokens)/t.spec.PrefillRate) + time.Duration(w.req.Demand.MaxOutputTokens)*d.decodeTime
	return total <= t.reservation.readyIn(now, d.decodeTime)
}

// requeue cancels a reservation and puts its prompt back into its queue with its age.
func (d *Dispenser) requeue(g *reservation) {
	d.cancelReservation(g)
	a := g.waiter.req
	// The request was accepted before. A refusal now means that the pool has become too small for
	// it; the caller's deadline then ends it.
	_ = d.Enqueue(a.Demand.AdmittedAt, a)
}

// cancelReservation frees the members.
func (d *Dispenser) cancelReservation(g *reservation) {
	for _, t := range g.members {
		if t.reservation == g {
			t.reservation = nil
		}
	}
	d.reservations = slices.DeleteFunc(d.reservations, func(other *reservation) bool { return other == g })
}

// dropReservations cancels the reservations of the requests for which match returns true.
func (d *Dispenser) dropReservations(match func(*waiter) bool) {
	for _, g := range slices.Clone(d.reservations) {
		if match(g.waiter) {
			d.cancelReservation(g)
		}
	}
}

// ReservedTargets returns the targets that are reserved for large prompts.
func (d *Dispenser) ReservedTargets() []barleystep.TargetID {
	var ids []barleystep.TargetID
	for _, t := range d.sortedTargets {
		if t.reservation != nil {
			ids = append(ids, t.spec.ID)
		}
	}
	return ids
}
