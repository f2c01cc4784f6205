package gossip

import (
	"context"
	"net/netip"
	"slices"
	"time"

	"github.com/phuslu/log"

	"github.com/barleystep/barleystep"
	gossipv1 "github.com/barleystep/barleystep/api/gossip/v1"
	"github.com/barleystep/barleystep/internal/balance"
)

// receive processes a datagram.
func (n *Node) receive(ctx context.Context, d *datagram, from netip.AddrPort) {
	now := n.Clock.Now()
	n.mu.Lock()
	m := n.updateMember(barleystep.BoxID(d.GetBox()), barleystep.HallID(d.GetHall()), from, d.GetIncarnation(), now)
	if m == nil || d.GetSequence() <= m.sequence {
		n.mu.Unlock()
		return // It is our own, delayed or a duplicate.
	}
	m.sequence = d.GetSequence()
	m.peerSent, m.receivedAt = d.GetSentNs(), now
	m.leaving, m.strength, m.takesParts = d.GetLeaving(), d.GetStrength(), d.GetTakesParts()
	m.cutOff, m.namedLeaving = d.GetCutOff(), d.GetLeaving()
	n.storeWork(m, d, now)
	if d.GetAsks() {
		n.answer(m, now)
	}
	confirmations := n.confirmations(d)
	n.mu.Unlock()
	for i, state := range d.GetTopics() {
		if i >= len(n.Topics) {
			break // The sender runs a newer version.
		}
		if state.GetFormat() < formats[topicAt(i)] {
			continue // The sender runs an older version and may have missed records of the topic.
		}
		changed := barleystep.Revision(state.GetChanged())
		n.Topics[i].Offer(ctx, from.String(), changed)
		if !confirmations[i].IsZero() {
			n.Topics[i].Confirm(confirmations[i], changed)
		}
	}
}

// updateMember records a datagram of a box and returns its member. It returns nil for this box
// itself and for datagrams of an earlier incarnation.
func (n *Node) updateMember(box barleystep.BoxID, hall barleystep.HallID, addr netip.AddrPort, incarnation uint64, now time.Time) *member {
	if box == n.Box {
		return nil
	}
	m, ok := n.members[box]
	if !ok {
		m = &member{box: box, hall: hall, addedAt: now}
		n.members[box] = m
	}
	if slices.Contains(m.pastIncarnations, incarnation) {
		return nil
	}
	if m.incarnation != incarnation {
		// A new incarnation restarts its sequence numbers and its clock.
		if m.incarnation != 0 {
			m.own, m.ownAt, m.ownSequence = balance.Snapshot{}, time.Time{}, 0
			n.Balancer.DropPeer(box)
		}
		m.retireIncarnation()
		m.incarnation, m.sequence, m.peerSent = incarnation, 0, 0
	}
	m.hall, m.addr = hall, addr
	n.markAlive(m, now)
	return m
}

// retireIncarnation records the member's current incarnation as past, so that its delayed
// datagrams are ignored.
func (m *member) retireIncarnation() {
	if m.incarnation == 0 {
		return
	}
	m.pastIncarnations = append(m.pastIncarnations, m.incarnation)
	if len(m.pastIncarnations) > maxPastIncarnations {
		m.pastIncarnations = m.pastIncarnations[1:]
	}
}

// markAlive records that a datagram of the member arrived.
func (n *Node) markAlive(m *member, now time.Time) {
	m.lastHeard, m.unansweredSince = now, time.Time{}
	if n.firstHeard.IsZero() {
		n.firstHeard = now
	}
	if m.alive {
		return
	}
	m.alive = true
	n.memberEvent(log.InfoLevel).Str("box", string(m.box)).Str("hall", string(m.hall)).Str("addr", m.addr.String()).
		Msg(logPrefix + "A box is alive.")
}

// storeWork stores the snapshot of the datagram according to its scope.
func (n *Node) storeWork(m *member, d *datagram, now time.Time) {
	s := decodeSnapshot(d, now)
	switch d.GetScope() {
	case gossipv1.Scope_SCOPE_HALL:
		m.hallWork, m.hallAt, m.hallBoxes = s, now, int(d.GetBoxes())
		if now.Sub(m.hallSumAt) > aliveTimeout {
			m.sumsSince = now
		}
		m.hallSumAt = now
		n.storeNamed(m, d, now)
	case gossipv1.Scope_SCOPE_ALL:
		if d.GetParts() > 1 {
			n.storePart(m, s, d, now)
		} else {
			n.subtractOwn(s, d)
			m.allWork = s
		}
		m.allAt, m.sumAt = now, now
		m.boxes = int(d.GetBoxes())
		m.leadAddr = d.GetLeadAddr()
		n.storeNamed(m, d, now)
	default:
		m.own, m.ownAt, m.ownSequence = s, now, d.GetSequence()
		n.storeNamed(m, d, now)
		return
	}
	n.Balancer.SetOthers(n.othersWork(now))
}

// storeNamed records the boxes that another box lists as recently heard.
func (n *Node) storeNamed(from *member, d *datagram, now time.Time) {
	for _, o := range d.GetMembers() {
		addr, err := netip.ParseAddrPort(o.GetAddr())
		box := barleystep.BoxID(o.GetBox())
		if err != nil || box == n.Box || box == from.box {
			continue
		}
		m, ok := n.members[box]
		if !ok {
			m = &member{box: box, addedAt: now}
			n.members[box] = m
		}
		if now.Sub(m.lastHeard) <= aliveTimeout {
			continue // Its own datagrams are newer.
		}
		m.hall, m.strength = from.hall, o.GetStrength()
		if o.GetHall() != "" {
			m.hall = barleystep.HallID(o.GetHall())
		}
		m.addr, m.lastNamed = addr, now
		m.cutOff, m.namedLeaving = o.GetCutOff(), o.GetLeaving()
		if now.Sub(m.unansweredSince) > answerTimeout {
			m.unansweredSince = time.Time{} // Another box has heard it since.
		}
	}
}

// subtractOwn subtracts this box's own work, as the sender merged it, from the sum in s.
func (n *Node) subtractOwn(s balance.Snapshot, d *datagram) {
	for _, o := range d.GetMembers() {
		if barleystep.BoxID(o.GetBox()) != n.Box || o.GetIncarnation() != n.incarnation {
			continue
		}
		own, ok := n.sent[o.GetSequence()]
		if ok && d.GetParts() > 1 {
			own = partOf(d).of(own)
		}
		if ok {
			s.Remove(own)
		}
		return
	}
}

// confirmations returns, for each topic, the time on this box's clock before which the sender
// has missed no change, zero without a confirmation. The sender read its state after it
// received the datagram of this box that it echoes, and at least the echoed hold time later.
func (n *Node) confirmations(d *datagram) []time.Time {
	list := make([]time.Time, len(d.GetTopics()))
	if d.GetEchoNs() == 0 || d.GetEchoIncarnation() != n.incarnation {
		return list
	}
	for i, state := range d.GetTopics() {
		if age := state.GetProofAgeNs(); age >= 0 {
			list[i] = n.origin.Add(time.Duration(d.GetEchoNs() + d.GetHeldNs() - age))
		}
	}
	return list
}

// othersWork returns the work and demand of all other boxes: the total that the collector sent
// or, on the collector, the reports of its hall and the sums of the other halls.
func (n *Node) othersWork(now time.Time) balance.Snapshot {
	total := balance.NewSnapshot()
	if !n.collecting {
		if c := n.latestTotal(now); c != nil {
			total.Add(c.allWork)
		}
		return total
	}
	n.addReports(total, now)
	n.addHallSums(total, now)
	return total
}

// latestTotal returns the member whose total is used: the current collector or, while none is
// current, the box of the hall that sent the latest valid total.
func (n *Node) latestTotal(now time.Time) *member {
	if c := n.collector(now); c != nil {
		return c
	}
	var last *member
	for _, m := range n.members {
		if m.hall == n.Hall && now.Sub(m.allAt) <= snapshotTTL && (last == nil || m.allAt.After(last.allAt)) {
			last = m
		}
	}
	return last
}

// addHallSums adds the latest sums of the other halls to total.
func (n *Node) addHallSums(total balance.Snapshot, now time.Time) {
	latest := make(map[barleystep.HallID]*member)
	for _, m := range n.members {
		if m.hall == n.Hall || now.Sub(m.hallAt) > snapshotTTL {
			continue
		}
		if best := latest[m.hall]; best == nil || m.hallAt.After(best.hallAt) {
			latest[m.hall] = m
		}
	}
	for _, m := range latest {
		total.Add(m.hallWork)
	}
}

// addReports adds the latest reports of the hall's other boxes to total. A box that has fallen
// silent has probably ended, and with it the prefill that it waited for. Its streams count until
// the report expires, so that a box that is merely cut off does not lead to full targets.
func (n *Node) addReports(total balance.Snapshot, now time.Time) {
	for _, m := range n.members {
		if m.hall != n.Hall || now.Sub(m.ownAt) > snapshotTTL {
			continue
		}
		if now.Sub(m.lastHeard) > aliveTimeout {
			total.Add(m.own.WithoutPrefill())
		} else {
			total.Add(m.own)
		}
	}
}
