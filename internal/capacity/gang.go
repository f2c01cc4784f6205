package capacity

import (
	"slices"
	"sort"
	"time"

	"github.com/barleystep/barleystep"
)

// gang is the engines that are set aside for one prompt: several for a prompt
// that is longer than an engine's memory, one for a prompt so large that it
// would else wait for ever behind smaller ones. An engine is in one gang at
// most and a gang is formed whole or not at all, so that two prompts cannot
// wait for each other's engines: each waits only for work that is running.
type gang struct {
	waiter  *waiter
	members []*target
}

// tickGangs sets engines aside for the next large prompts, and grants those for
// which all are free enough.
func (d *Dispenser) tickGangs(now time.Time) []Grant {
	for d.formGang(now) {
	}
	var grants []Grant
	for _, g := range slices.Clone(d.gangs) {
		switch {
		case g.lost(now):
			d.requeue(g)
		case g.ready(now):
			d.disband(g)
			grants = append(grants, d.grant(now, g.waiter, g.members, laneGiant))
		}
	}
	return grants
}

// formGang takes the first large prompt for which there are engines. It reports
// whether it took one.
func (d *Dispenser) formGang(now time.Time) bool {
	var members []*target
	w, ok := d.lanes[laneGiant].Take(func(w *waiter) bool {
		members = d.pickGang(now, w)
		return members != nil && !d.overLimit(w)
	})
	if !ok {
		return false
	}
	g := &gang{waiter: w, members: members}
	d.gangs = append(d.gangs, g)
	for _, t := range members {
		t.gang = g
	}
	return true
}

// pickGang returns the engines that are expected to be ready soonest, as many as
// the prompt needs, or nil if there are too few or too many are set aside.
func (d *Dispenser) pickGang(now time.Time, w *waiter) []*target {
	var usable []*target
	aside := 0
	for _, t := range d.sorted {
		switch {
		case t.gang != nil:
			aside++
		case t.usable(now) && !slices.Contains(w.ask.Demand.FailedTargets, t.spec.ID):
			usable = append(usable, t)
		}
	}
	if len(usable) == 0 {
		return nil
	}
	n := d.gangSize(w.tokens, smallest(usable), len(usable))
	if n > len(usable) || aside > 0 && float64(aside+n) > d.settings.ReservedShare*float64(len(d.sorted)) {
		return nil
	}
	d.sortByReady(now, usable, (w.tokens+n-1)/n)
	return usable[:n]
}

// gangSize returns how many engines of the given memory the prompt needs. What
// short prompts are left with is left by gangs too, unless that takes more
// engines than there are.
func (d *Dispenser) gangSize(tokens, memory, available int) int {
	room := usableMemory * float64(memory)
	n := engines(tokens, int(room-d.settings.ShortMemoryShare*float64(memory)))
	if n <= available {
		return n
	}
	return engines(tokens, int(room))
}

// engines returns how many engines with the given room hold the tokens.
func engines(tokens, room int) int { return (tokens + room - 1) / room }

func (d *Dispenser) sortByReady(now time.Time, list []*target, memory int) {
	ready := make(map[*target]time.Duration, len(list))
	for _, t := range list {
		ready[t] = t.readyIn(now, memory, d.pace)
	}
	sort.SliceStable(list, func(i, j int) bool { return ready[list[i]] < ready[list[j]] })
}

func smallest(targets []*target) int {
	least := targets[0].spec.KVTokens
	for _, t := range targets[1:] {
		least = min(least, t.spec.KVTokens)
	}
	return least
}

// ready reports whether all members have the memory that they need, and read no
// other long prompt.
func (g *gang) ready(now time.Time) bool {
	for _, t := range g.members {
		if t.sums.longs > 0 || t.free(now) < g.share() {
			return false
		}
	}
	return true
}

// lost reports whether a member can no longer take part.
func (g *gang) lost(now time.Time) bool {
	for _, t := range g.members {
		if !t.usable(now) || t.gang != g {
			return true
		}
	}
	return false
}

// share is the memory that the prompt needs at each member.
func (g *gang) share() int {
	n := len(g.members)
	return (g.waiter.tokens + n - 1) / n
}

// readyIn is how long the slowest member is expected to need.
func (g *gang) readyIn(now time.Time, perToken time.Duration) time.Duration {
	longest := time.Duration(0)
	for _, t := range g.members {
		longest = max(longest, t.readyIn(now, g.share(), perToken))
	}
	return longest
}

// mayBackfill reports whether a member that waits for the others may take the
// request meanwhile: a short prompt, or a long one that will have ended before
// the slowest member is ready.
func (d *Dispenser) mayBackfill(now time.Time, t *target, w *waiter, l lane) bool {
	if l == laneShort {
		return true
	}
	whole := seconds(float64(w.ask.Demand.PromptTokens)/t.spec.PrefillRate) + time.Duration(w.ask.Demand.MaxOutputTokens)*d.pace
	return whole <= t.gang.readyIn(now, d.pace)
}

// requeue gives up a gang; its prompt goes back to its queue with its age.
func (d *Dispenser) requeue(g *gang) {
	d.disband(g)
	a := g.waiter.ask
	// The request was queued before; a refusal now would mean that the pool has
	// shrunk below its need, which its deadline then ends.
	_ = d.Enqueue(a.Demand.AdmittedAt, a)
}

// disband frees the members.
func (d *Dispenser) disband(g *gang) {
	for _, t := range g.members {
		if t.gang == g {
			t.gang = nil
		}
	}
	d.gangs = slices.DeleteFunc(d.gangs, func(other *gang) bool { return other == g })
}

// dropGangs disbands the gangs whose prompt is gone.
func (d *Dispenser) dropGangs(gone func(*waiter) bool) {
	for _, g := range slices.Clone(d.gangs) {
		if gone(g.waiter) {
			d.disband(g)
		}
	}
}

// Aside returns the targets that are set aside for large prompts.
func (d *Dispenser) ReservedTargets() []barleystep.TargetID {
	var ids []barleystep.TargetID
	for _, t := range d.sorted {
		if t.gang != nil {
			ids = append(ids, t.spec.ID)
		}
	}
	return ids
}
