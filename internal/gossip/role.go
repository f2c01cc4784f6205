package gossip

import (
	"slices"
	"time"

	"github.com/barleystep/barleystep"
	"github.com/barleystep/barleystep/internal/balance"
)

// IsCollector reports whether this box is the collector of its hall.
func (n *Node) IsCollector() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.collecting
}

// IsLead reports whether this box is the lead, which places prompts and reads the store for
// all.
func (n *Node) IsLead() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.isLead(n.Clock.Now())
}

func (n *Node) isLead(now time.Time) bool { return n.collecting && n.leadAddr(now) == n.Addr }

// role returns this box's role among the boxes that it knows.
func (n *Node) role(now time.Time) balance.Role {
	return balance.Role{
		IsLead:    n.isLead(now),
		Boxes:     n.boxCount(now),
		Reachable: n.reachableBoxes(now),
	}
}

// reachableBoxes returns how many boxes a collector hears, directly or through the collectors
// of other halls, itself included.
func (n *Node) reachableBoxes(now time.Time) int {
	boxes := 1
	for _, m := range n.members {
		if m.hall == n.Hall && now.Sub(m.lastHeard) <= aliveTimeout {
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

// Lead returns the address of the lead; ok is false if this box is the lead or none is known.
// Each side of a network partition has a lead of its own.
func (n *Node) Lead() (addr string, ok bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	now := n.Clock.Now()
	if n.collecting {
		addr = n.leadAddr(now)
	} else if c := n.collector(now); c != nil {
		addr = c.leadAddr
	}
	return addr, addr != "" && addr != n.Addr
}

// leadAddr returns the address of the lead as the collector of a hall sees it: the first by
// rank of the halls' collectors.
func (n *Node) leadAddr(now time.Time) string {
	first, best := n.Addr, n.rank(now)
	for _, hall := range n.halls() {
		if m := n.collectorOf(hall, now); m != nil && m.rank().before(best) {
			first, best = m.addr.String(), m.rank()
		}
	}
	return first
}

// rank returns this box's own rank among the candidates.
func (n *Node) rank(now time.Time) rank { return rankOf(n.Box, n.currentStrength(now)) }

// currentStrength returns the strength that this box reports: zero for stallPenalty after a
// stall, so that a role moves away from a box that cannot fill it.
func (n *Node) currentStrength(now time.Time) uint32 {
	if now.Before(n.penaltyUntil) {
		return 0
	}
	return n.Strength
}

// collector returns the collector that this box follows: the first by rank of its hall that
// sent a sum within aliveTimeout, nil without one. A leaving box is chosen last.
func (n *Node) collector(now time.Time) *member {
	return n.best(func(m *member) bool { return m.hall == n.Hall && now.Sub(m.sumAt) <= aliveTimeout })
}

// collectorOf returns the collector of another hall, nil if none is known.
func (n *Node) collectorOf(hall barleystep.HallID, now time.Time) *member {
	return n.best(func(m *member) bool { return m.hall == hall && now.Sub(m.hallSumAt) <= aliveTimeout })
}

// best returns the first by rank of the members that match, with leaving ones after all others;
// nil if none matches.
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

// betterCandidates returns the boxes of the hall that rank before this one and are presumed
// alive, ordered by rank.
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

// unheardMembers returns the boxes that are known only from the registry, whose strength is
// unknown until they answer.
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

// updateRole takes or gives up the collector role, then queries for a collector if none is
// heard. A collector keeps the role until it receives the sums of one that ranks before it, so
// that its hall is never without one. Two collectors at a time do no harm, since each box
// follows only one.
func (n *Node) updateRole(own balance.Snapshot, now time.Time) {
	collector := n.collector(now)
	switch {
	case n.collecting && collector != nil && n.shouldYield(collector, now):
		n.collecting = false
		n.Log.Info().Str("collector", string(collector.box)).Bool("leaving", n.leaving).Uint32("strength", n.currentStrength(now)).
			Msg(logPrefix + "This box is no longer the collector of its hall.")
	case !n.collecting && !n.leaving && n.mayCollect(now, collector) && len(n.betterCandidates(now)) == 0:
		n.collecting, n.collectingSince = true, now
		event := n.Log.Info().Uint32("strength", n.currentStrength(now)).Int("known", len(n.members))
		if collector != nil {
			event = event.Str("instead_of", string(collector.box))
		}
		event.Msg(logPrefix + "This box is now the collector of its hall.")
	}
	n.findCollector(own, now, collector)
}

// shouldYield reports whether this collector gives the role up to another one.
func (n *Node) shouldYield(collector *member, now time.Time) bool {
	if n.leaving || collector.leaving {
		return !collector.leaving
	}
	return collector.rank().before(n.rank(now))
}

// mayCollect reports whether this box may take the collector role. Without a collector, other
// boxes must have had time to announce themselves; beside one, this box must have read all
// topics and have been up for takeoverWait.
func (n *Node) mayCollect(now time.Time, collector *member) bool {
	up := now.Sub(n.origin)
	if collector == nil && n.firstHeard.IsZero() {
		return up >= isolatedWait+time.Duration(n.Box.Jitter()*float64(isolatedJitter))
	}
	if collector == nil {
		return now.Sub(n.firstHeard) >= startWait
	}
	for _, t := range n.Topics {
		if changed, _ := t.State(); changed == 0 {
			return false
		}
	}
	return up >= takeoverWait
}

// findCollector queries other boxes while this one hears no sums, or none for longer than
// sumTimeout: first the best candidates, more of them the longer no sum arrives, and the seeds.
func (n *Node) findCollector(own balance.Snapshot, now time.Time, collector *member) {
	if n.collecting || (collector != nil && now.Sub(collector.sumAt) <= sumTimeout) {
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
	if collector != nil {
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

// queryOtherHall asks a box of another hall which boxes this hall has.
func (n *Node) queryOtherHall(d *datagram, now time.Time) {
	m := n.best(func(m *member) bool { return m.hall != n.Hall && m.presumedAlive(now) })
	if m != nil && n.ticks%seedTicks == 1 {
		n.query(d, now, m)
	}
}

// query sends a datagram that requests an answer.
func (n *Node) query(d *datagram, now time.Time, m *member) {
	if m.unansweredSince.IsZero() && now.Sub(m.lastHeard) > aliveTimeout {
		m.unansweredSince = now
	}
	n.send(d, now, m)
}

// detectStall detects that this box did not run for a while. The silence of other boxes in that
// time says nothing about them, so their timestamps are shifted by the gap, and this box
// reports strength 0 so that its roles move elsewhere.
func (n *Node) detectStall(now time.Time) {
	gap := now.Sub(n.lastStep)
	stalled := !n.lastStep.IsZero() && gap > stallThreshold
	n.lastStep = now
	if !stalled {
		return
	}
	n.penaltyUntil = now.Add(stallPenalty)
	n.Log.Warn().Dur("gap", gap).Bool("collects", n.collecting).Msg(logPrefix + "This box stalled between two ticks.")
	for _, m := range n.members {
		for _, t := range []*time.Time{&m.lastHeard, &m.sumAt, &m.hallSumAt} {
			if !t.IsZero() && now.Sub(*t) < gap+aliveTimeout {
				*t = t.Add(gap)
			}
		}
	}
}
