package gossip

import (
	"slices"
	"time"

	"github.com/barleystep/barleystep"
	"github.com/barleystep/barleystep/internal/balance"
)

// Collects reports whether this box is the collector of its hall.
func (n *Node) IsCollector() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.collecting
}

// Leads reports whether this box is the one that decides and reads for all.
func (n *Node) IsLead() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.isLead(n.Clock.Now())
}

func (n *Node) isLead(now time.Time) bool { return n.collecting && n.leadAddr(now) == n.Addr }

// role returns this box's part among the boxes that it knows.
func (n *Node) role(now time.Time) balance.Role {
	return balance.Role{
		IsLead:    n.isLead(now),
		Boxes:     n.boxCount(now),
		Reachable: n.reachableBoxes(now),
	}
}

// reached returns how many boxes a collector hears of, by itself or from the collectors of
// other halls; itself is one.
func (n *Node) reachableBoxes(now time.Time) int {
	boxes := 1
	for _, m := range n.members {
		if m.hall == n.Hall && now.Sub(m.lastHeard) <= aliveTimeout {
			boxes++
		}
	}
	for _, hall := range n.otherHalls() {
		if m := n.collectorOf(hall, now); m != nil {
			boxes += m.hallBoxes
		}
	}
	return boxes
}

// Lead returns the address of the one box that decides for all; ok is false if
// that is this box, or if none is known. Boxes that are cut off from each other have
// leads of their own.
func (n *Node) Lead() (addr string, ok bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	now := n.Clock.Now()
	if n.collecting {
		addr = n.leadAddr(now)
	} else if c := n.currentCollector(now); c != nil {
		addr = c.leadAddr
	}
	return addr, addr != "" && addr != n.Addr
}

// leadAddr returns the lead as the collector of a hall sees it: the first of the
// halls' collectors.
func (n *Node) leadAddr(now time.Time) string {
	first, best := n.Addr, n.rank(now)
	for _, hall := range n.otherHalls() {
		if m := n.collectorOf(hall, now); m != nil && m.rank().before(best) {
			first, best = m.addr.String(), m.rank()
		}
	}
	return first
}

// rank returns this box's own place among the candidates.
func (n *Node) rank(now time.Time) rank { return rankOf(n.Box, n.currentStrength(now)) }

// strength is what this box tells of itself: nothing for a while after it was held
// up, so that a role moves away from a box that cannot fill it.
func (n *Node) currentStrength(now time.Time) uint32 {
	if now.Before(n.penaltyUntil) {
		return 0
	}
	return n.Strength
}

// source returns the box whose sums this box goes by: the first of its hall that
// sent one lately, nil if none did. One that leaves is the last choice.
func (n *Node) currentCollector(now time.Time) *member {
	return n.best(func(m *member) bool { return m.hall == n.Hall && now.Sub(m.sumAt) <= aliveTimeout })
}

// collectorOf returns the collector of another hall, nil if none is known.
func (n *Node) collectorOf(hall barleystep.HallID, now time.Time) *member {
	return n.best(func(m *member) bool { return m.hall == hall && now.Sub(m.hallSumAt) <= aliveTimeout })
}

// first returns the first by rank of the boxes that meet a condition, those that
// leave after all others.
func (n *Node) best(matches func(m *member) bool) *member {
	var best *member
	for _, m := range n.members {
		if !matches(m) {
			continue
		}
		if best == nil || (best.leaving && !m.leaving) || (best.leaving == m.leaving && m.rank().before(best.rank())) {
			best = m
		}
	}
	return best
}

// superiors returns the boxes of the hall that come before this one and are taken
// to live, in their order.
func (n *Node) betterCandidates(now time.Time) []*member {
	own := n.rank(now)
	var list []*member
	for _, m := range n.members {
		if m.hall == n.Hall && !m.leaving && m.rank().before(own) && m.presumedAlive(now) {
			list = append(list, m)
		}
	}
	slices.SortFunc(list, compareRank)
	return list
}

// strangers returns boxes that are known from the registry only: how they rank is
// told by themselves.
func (n *Node) unheardMembers(now time.Time) []*member {
	var list []*member
	for _, m := range n.members {
		if m.lastHeard.IsZero() && m.lastNamed.IsZero() && m.presumedAlive(now) {
			list = append(list, m)
		}
	}
	slices.SortFunc(list, compareRank)
	return list
}

// choose takes the collector's role up or lays it down. A collector goes on until it
// hears the sums of one that comes before it, so that its hall is never without; two
// at a time do no harm, since each box goes by the sums of one.
func (n *Node) updateRole(own balance.Snapshot, now time.Time) {
	source := n.currentCollector(now)
	switch {
	case n.collecting && source != nil && n.shouldYield(source, now):
		n.collecting = false
		n.Log.Info().Str("collector", string(source.box)).Bool("leaving", n.leaving).Uint32("strength", n.currentStrength(now)).
			Msg(logPrefix + "This box has stopped collecting for its hall.")
	case !n.collecting && !n.leaving && n.mayCollect(now, source) && len(n.betterCandidates(now)) == 0:
		n.collecting, n.collectingSince = true, now
		event := n.Log.Info().Uint32("strength", n.currentStrength(now)).Int("known", len(n.members))
		if source != nil {
			event = event.Str("instead_of", string(source.box))
		}
		event.Msg(logPrefix + "This box collects for its hall.")
	}
	n.findCollector(own, now, source)
}

// yields reports whether this collector leaves the role to another one.
func (n *Node) shouldYield(source *member, now time.Time) bool {
	if n.leaving || source.leaving {
		return !source.leaving
	}
	return source.rank().before(n.rank(now))
}

// settled reports whether this box may take the role up: without a collector, once
// others had the time to tell of themselves; beside one, once it knows what it would
// pass on and has listened for longer.
func (n *Node) mayCollect(now time.Time, source *member) bool {
	up := now.Sub(n.origin)
	if source == nil && n.firstHeard.IsZero() {
		return up >= isolatedWait+time.Duration(n.Box.Jitter()*float64(isolatedJitter))
	}
	if source == nil {
		return now.Sub(n.firstHeard) >= startWait
	}
	for _, t := range n.Topics {
		if changed, _ := t.State(); changed == 0 {
			return false
		}
	}
	return up >= takeoverWait
}

// ask has boxes answer while this one hears no sums, or has not heard any for
// longer than usual: first those that would be the collector, more of them the
// longer none answers, and the seeds.
func (n *Node) findCollector(own balance.Snapshot, now time.Time, source *member) {
	if n.collecting || (source != nil && now.Sub(source.sumAt) <= sumTimeout) {
		n.fanout = initialFanout
		return
	}
	d := n.report(own, now)
	d.Asks = true
	queried := 0
	for _, m := range append(n.betterCandidates(now), n.unheardMembers(now)...) {
		if queried == n.fanout {
			break
		}
		queried++
		n.query(d, now, m)
	}
	if source != nil {
		return
	}
	if n.ticks%fanoutTicks == 0 {
		n.fanout *= 2
	}
	if n.ticks%seedTicks == 1 {
		n.querySeeds(d, now)
	}
	if queried == 0 {
		n.queryOtherHall(d, now)
	}
}

// askAbroad asks a box of another hall which boxes there are in this one.
func (n *Node) queryOtherHall(d *datagram, now time.Time) {
	m := n.best(func(m *member) bool { return m.hall != n.Hall && m.presumedAlive(now) })
	if m != nil && n.ticks%seedTicks == 1 {
		n.query(d, now, m)
	}
}

// question sends a datagram that wants an answer.
func (n *Node) query(d *datagram, now time.Time, m *member) {
	if m.unansweredSince.IsZero() && now.Sub(m.lastHeard) > aliveTimeout {
		m.unansweredSince = now
	}
	n.send(d, now, m)
}

// rouse notes that this box did not run for a while: silence of the others in that
// time says nothing of them, and a role is better elsewhere.
func (n *Node) detectStall(now time.Time) {
	gap := now.Sub(n.lastStep)
	stalled := !n.lastStep.IsZero() && gap > stallThreshold
	n.lastStep = now
	if !stalled {
		return
	}
	n.penaltyUntil = now.Add(stallPenalty)
	n.Log.Warn().Dur("gap", gap).Bool("collects", n.collecting).Msg(logPrefix + "This box was held up.")
	for _, m := range n.members {
		for _, t := range []*time.Time{&m.lastHeard, &m.sumAt, &m.hallSumAt} {
			if !t.IsZero() && now.Sub(*t) < gap+aliveTimeout {
				*t = t.Add(gap)
			}
		}
	}
}
