package capacity

import (
	"slices"
	"sort"
	"time"

	"github.com/barleystep/barleystep"
)

// gang is the engines that are being set aside for one prompt that is longer
// than an engine's memory. There is at most one in a pool, so that two such
// prompts cannot wait for each other's engines.
type gang struct {
	waiter  *waiter
	members []*target
	since   time.Time
}

// tickGang sets engines aside for the next giant prompt, and grants them when
// all are free enough.
func (d *Dispenser) tickGang(now time.Time) []Grant {
	if d.gang == nil {
		d.formGang(now)
	}
	if d.gang == nil || !d.gangReady(now) {
		return nil
	}
	g := d.gang
	d.dropGang()
	return []Grant{d.grant(now, g.waiter, g.members, laneGiant)}
}

// formGang takes the first giant prompt for which there are engines.
func (d *Dispenser) formGang(now time.Time) {
	var members []*target
	w, ok := d.lanes[laneGiant].Take(func(w *waiter) bool {
		members = d.pickGang(now, w)
		return members != nil
	})
	if !ok {
		return
	}
	d.gang = &gang{waiter: w, members: members, since: now}
	for _, t := range members {
		t.reserved = true
	}
}

// pickGang returns the engines that are expected to be ready soonest, as many as
// the prompt needs, or nil if there are too few.
func (d *Dispenser) pickGang(now time.Time, w *waiter) []*target {
	var usable []*target
	for _, t := range d.sorted {
		if t.usable(now) && !slices.Contains(w.ask.Demand.Avoid, t.spec.ID) {
			usable = append(usable, t)
		}
	}
	sort.SliceStable(usable, func(i, j int) bool { return usable[i].readyIn(now) < usable[j].readyIn(now) })
	for n := 1; n <= len(usable); n++ {
		room := int(float64(smallest(usable[:n])) * usableMemory)
		if engines(w.tokens, room) <= n {
			return usable[:n]
		}
	}
	return nil
}

func smallest(targets []*target) int {
	least := targets[0].spec.Tokens
	for _, t := range targets[1:] {
		least = min(least, t.spec.Tokens)
	}
	return least
}

// gangReady reports whether all members have the memory that they need, and
// read no other long prompt.
func (d *Dispenser) gangReady(now time.Time) bool {
	d.checkMembers(now)
	if d.gang == nil {
		return false
	}
	for _, t := range d.gang.members {
		reading, _ := t.longs()
		if reading > 0 || t.free(now) < d.gang.share() {
			return false
		}
	}
	return true
}

// share is the memory that the prompt needs at each member.
func (g *gang) share() int {
	n := len(g.members)
	return (g.waiter.tokens + n - 1) / n
}

// readyIn is how long the slowest member is expected to need.
func (g *gang) readyIn(now time.Time) time.Duration {
	longest := time.Duration(0)
	for _, t := range g.members {
		longest = max(longest, t.readyIn(now))
	}
	return longest
}

// mayBackfill reports whether a member that waits for the others may take the
// request meanwhile: a short prompt where memory is left, a long one that will
// have been read before the slowest member is ready.
func (d *Dispenser) mayBackfill(now time.Time, t *target, w *waiter, l lane) bool {
	if l == laneShort {
		return t.free(now)-w.tokens >= d.gang.share()
	}
	read := seconds(float64(w.ask.Demand.Prompt) / t.spec.Rate)
	return read <= d.gang.readyIn(now) && t.free(now)-w.tokens >= d.gang.share()
}

// checkMembers gives up a gang of which a member was lost; the prompt goes back
// to its queue with its age.
func (d *Dispenser) checkMembers(now time.Time) {
	for _, t := range d.gang.members {
		if t.health.suspended(now) || t.spec.Drain || t.load.Leaving {
			d.requeueGang()
			return
		}
	}
}

// checkGang gives up a gang of which a member is no longer configured.
func (d *Dispenser) checkGang() {
	if d.gang == nil {
		return
	}
	for _, t := range d.gang.members {
		if d.targets[t.spec.ID] != t {
			d.requeueGang()
			return
		}
	}
}

func (d *Dispenser) requeueGang() {
	a := d.gang.waiter.ask
	d.dropGang()
	// The request was queued before; a refusal now would mean that the pool has
	// shrunk below its need, which its deadline then ends.
	_ = d.Ask(a.Demand.Since, a)
}

func (d *Dispenser) dropGang() {
	for _, t := range d.gang.members {
		t.reserved = false
	}
	d.gang = nil
}

// Reserved returns the targets that are being set aside for a giant prompt.
func (d *Dispenser) Reserved() []barleystep.TargetID {
	var ids []barleystep.TargetID
	for _, t := range d.sorted {
		if t.reserved {
			ids = append(ids, t.spec.ID)
		}
	}
	return ids
}
