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
	return n.leads(n.Clock.Now())
}

func (n *Node) leads(now time.Time) bool { return n.collecting && n.leadAddr(now) == n.Addr }

// role returns this box's part among the boxes that it knows.
func (n *Node) role(now time.Time) balance.Role {
	return balance.Role{
		IsLead:    n.leads(now),
		Boxes:     n.count(now),
		Reachable: n.reached(now),
	}
}

// reached returns how many boxes a collector hears of, by itself or from the collectors of
// other halls; itself is one.
func (n *Node) reached(now time.Time) int {
	boxes := 1
	for _, m := range n.members {
		if m.hall == n.Hall && now.Sub(m.heard) <= aliveFor {
			boxes++
		}
	}
	for _, hall := range n.halls() {
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
	} else if c := n.source(now); c != nil {
		addr = c.leadAddr
	}
	return addr, addr != "" && addr != n.Addr
}

// leadAddr returns the lead as the collector of a hall sees it: the first of the
// halls' collectors.
func (n *Node) leadAddr(now time.Time) string {
	first, best := n.Addr, n.rank(now)
	for _, hall := range n.halls() {
		if m := n.collectorOf(hall, now); m != nil && m.rank().before(best) {
			first, best = m.addr.String(), m.rank()
		}
	}
	return first
}

// rank returns this box's own place among the candidates.
func (n *Node) rank(now time.Time) rank { return rankOf(n.Box, n.strength(now)) }

// strength is what this box tells of itself: nothing for a while after it was held
// up, so that a role moves away from a box that cannot fill it.
func (n *Node) strength(now time.Time) uint32 {
	if now.Before(n.weakUntil) {
		return 0
	}
	return n.Strength
}

// source returns the box whose sums this box goes by: the first of its hall that
// sent one lately, nil if none did. One that leaves is the last choice.
func (n *Node) source(now time.Time) *member {
	return n.first(func(m *member) bool { return m.hall == n.Hall && now.Sub(m.summed) <= aliveFor })
}

// collectorOf returns the collector of another hall, nil if none is known.
func (n *Node) collectorOf(hall barleystep.HallID, now time.Time) *member {
	return n.first(func(m *member) bool { return m.hall == hall && now.Sub(m.summedHall) <= aliveFor })
}

// first returns the first by rank of the boxes that meet a condition, those that
// leave after all others.
func (n *Node) first(meets func(m *member) bool) *member {
	var first *member
	for _, m := range n.members {
		if !meets(m) {
			continue
		}
		if first == nil || (first.leaving && !m.leaving) || (first.leaving == m.leaving && m.rank().before(first.rank())) {
			first = m
		}
	}
	return first
}

// superiors returns the boxes of the hall that come before this one and are taken
// to live, in their order.
func (n *Node) superiors(now time.Time) []*member {
	own := n.rank(now)
	var list []*member
	for _, m := range n.members {
		if m.hall == n.Hall && !m.leaving && m.rank().before(own) && m.presumed(now) {
			list = append(list, m)
		}
	}
	slices.SortFunc(list, byRank)
	return list
}

// strangers returns boxes that are known from the registry only: how they rank is
// told by themselves.
func (n *Node) strangers(now time.Time) []*member {
	var list []*member
	for _, m := range n.members {
		if m.heard.IsZero() && m.named.IsZero() && m.presumed(now) {
			list = append(list, m)
		}
	}
	slices.SortFunc(list, byRank)
	return list
}

// choose takes the collector's role up or lays it down. A collector goes on until it
// hears the sums of one that comes before it, so that its hall is never without; two
// at a time do no harm, since each box goes by the sums of one.
func (n *Node) choose(own balance.Snapshot, now time.Time) {
	source := n.source(now)
	switch {
	case n.collecting && source != nil && n.yields(source, now):
		n.collecting = false
		n.Log.Info().Str("collector", string(source.box)).Bool("leaving", n.leaving).Uint32("strength", n.strength(now)).
			Msg(logPrefix + "This box has stopped collecting for its hall.")
	case !n.collecting && !n.leaving && n.settled(now, source) && len(n.superiors(now)) == 0:
		n.collecting, n.collectingSince = true, now
		event := n.Log.Info().Uint32("strength", n.strength(now)).Int("known", len(n.members))
		if source != nil {
			event = event.Str("instead_of", string(source.box))
		}
		event.Msg(logPrefix + "This box collects for its hall.")
	}
	n.ask(own, now, source)
}

// yields reports whether this collector leaves the role to another one.
func (n *Node) yields(source *member, now time.Time) bool {
	if n.leaving || source.leaving {
		return !source.leaving
	}
	return source.rank().before(n.rank(now))
}

// settled reports whether this box may take the role up: without a collector, once
// others had the time to tell of themselves; beside one, once it knows what it would
// pass on and has listened for longer.
func (n *Node) settled(now time.Time, source *member) bool {
	up := now.Sub(n.origin)
	if source == nil && n.met.IsZero() {
		return up >= lonePatience+time.Duration(n.Box.Jitter()*float64(loneSpread))
	}
	if source == nil {
		return now.Sub(n.met) >= startPatience
	}
	for _, t := range n.Topics {
		if changed, _ := t.State(); changed == 0 {
			return false
		}
	}
	return up >= settleFor
}

// ask has boxes answer while this one hears no sums, or has not heard any for
// longer than usual: first those that would be the collector, more of them the
// longer none answers, and the seeds.
func (n *Node) ask(own balance.Snapshot, now time.Time, source *member) {
	if n.collecting || (source != nil && now.Sub(source.summed) <= doubtAfter) {
		n.askWidth = firstAsked
		return
	}
	d := n.report(own, now)
	d.Asks = true
	asked := 0
	for _, m := range append(n.superiors(now), n.strangers(now)...) {
		if asked == n.askWidth {
			break
		}
		asked++
		n.question(d, now, m)
	}
	if source != nil {
		return
	}
	if n.ticks%widenTicks == 0 {
		n.askWidth *= 2
	}
	if n.ticks%seedTicks == 1 {
		n.askSeeds(d, now)
	}
	if asked == 0 {
		n.askAbroad(d, now)
	}
}

// askAbroad asks a box of another hall which boxes there are in this one.
func (n *Node) askAbroad(d *datagram, now time.Time) {
	m := n.first(func(m *member) bool { return m.hall != n.Hall && m.presumed(now) })
	if m != nil && n.ticks%seedTicks == 1 {
		n.question(d, now, m)
	}
}

// question sends a datagram that wants an answer.
func (n *Node) question(d *datagram, now time.Time, m *member) {
	if m.asked.IsZero() && now.Sub(m.heard) > aliveFor {
		m.asked = now
	}
	n.send(d, now, m)
}

// rouse notes that this box did not run for a while: silence of the others in that
// time says nothing of them, and a role is better elsewhere.
func (n *Node) rouse(now time.Time) {
	gap := now.Sub(n.stepped)
	held := !n.stepped.IsZero() && gap > heldUp
	n.stepped = now
	if !held {
		return
	}
	n.weakUntil = now.Add(weakFor)
	n.Log.Warn().Dur("gap", gap).Bool("collects", n.collecting).Msg(logPrefix + "This box was held up.")
	for _, m := range n.members {
		for _, t := range []*time.Time{&m.heard, &m.summed, &m.summedHall} {
			if !t.IsZero() && now.Sub(*t) < gap+aliveFor {
				*t = t.Add(gap)
			}
		}
	}
}
