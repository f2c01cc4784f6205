package gossip

import (
	"context"
	"net/netip"
	"time"

	"github.com/barleystep/barleystep"
	gossipv1 "github.com/barleystep/barleystep/api/gossip/v1"
	"github.com/barleystep/barleystep/internal/balance"
)

// receive takes in a datagram.
func (n *Node) receive(ctx context.Context, d *gossipv1.Datagram, from netip.AddrPort) {
	now := n.Clock.Now()
	n.mu.Lock()
	m := n.hear(barleystep.BoxID(d.GetBox()), barleystep.HallID(d.GetHall()), from, d.GetIncarnation(), now)
	if m == nil || d.GetSequence() <= m.sequence {
		n.mu.Unlock()
		return // It is our own, or came late or twice.
	}
	m.sequence = d.GetSequence()
	m.peerSent, m.gotAt = d.GetSentNs(), now
	m.leaving = d.GetLeaving()
	n.takeWork(m, d, now)
	proofs := n.proofs(d)
	n.mu.Unlock()
	for i, state := range d.GetTopics() {
		if i >= len(n.Topics) {
			break // The sender is of a later version.
		}
		changed := barleystep.Revision(state.GetChanged())
		n.Topics[i].Offer(ctx, from.String(), changed)
		if !proofs[i].IsZero() {
			n.Topics[i].Vouch(proofs[i], changed)
		}
	}
}

// hear notes that a box lives and returns what is known of it, nil for this box.
func (n *Node) hear(box barleystep.BoxID, hall barleystep.HallID, addr netip.AddrPort, incarnation uint64, now time.Time) *member {
	if box == n.Box {
		return nil
	}
	m, ok := n.members[box]
	if !ok {
		m = &member{box: box, hall: hall, added: now}
		n.members[box] = m
	}
	if m.incarnation != incarnation {
		// A new life counts its datagrams anew, on a clock of its own.
		m.incarnation, m.sequence, m.peerSent = incarnation, 0, 0
	}
	m.hall, m.addr = hall, addr
	n.revive(m, now)
	return m
}

// revive notes that a box was heard of directly.
func (n *Node) revive(m *member, now time.Time) {
	m.heard = now
	if m.alive {
		return
	}
	m.alive = true
	n.Log.Info().Str("box", string(m.box)).Str("hall", string(m.hall)).Str("addr", m.addr.String()).
		Msg(logPrefix + "A box is alive.")
}

// takeWork keeps the work that the datagram tells of.
func (n *Node) takeWork(m *member, d *gossipv1.Datagram, now time.Time) {
	s := snapshotOf(d)
	switch d.GetScope() {
	case gossipv1.Scope_SCOPE_HALL:
		m.hallWork, m.hallAt, m.hallBoxes = s, now, int(d.GetBoxes())
	case gossipv1.Scope_SCOPE_ALL:
		n.takeOut(s, d)
		m.allWork, m.allAt = s, now
		m.boxes = int(d.GetBoxes())
		m.leadAddr = d.GetLeadAddr()
		for _, o := range d.GetMembers() {
			addr, err := netip.ParseAddrPort(o.GetAddr())
			if err == nil && barleystep.BoxID(o.GetBox()) != n.Box {
				n.hearOf(barleystep.BoxID(o.GetBox()), m.hall, addr, now)
			}
		}
	default:
		m.own, m.ownAt, m.ownSequence = s, now, d.GetSequence()
		return
	}
	n.Balancer.SetOthers(n.others(now))
}

// hearOf notes that a collector vouches for a box.
func (n *Node) hearOf(box barleystep.BoxID, hall barleystep.HallID, addr netip.AddrPort, now time.Time) {
	m, ok := n.members[box]
	if !ok {
		m = &member{box: box, hall: hall, added: now}
		n.members[box] = m
	}
	m.addr, m.named = addr, now
}

// takeOut removes this box's own work, as it was merged, from its hall's.
func (n *Node) takeOut(s balance.Snapshot, d *gossipv1.Datagram) {
	for _, o := range d.GetMembers() {
		if barleystep.BoxID(o.GetBox()) != n.Box || o.GetIncarnation() != n.incarnation {
			continue
		}
		if own, ok := n.sent[o.GetSequence()]; ok {
			s.Remove(own)
		}
		return
	}
}

// proofs returns, for each topic, the time before which the sender has missed no
// change, on this box's clock, zero if it does not say. The sender's statement
// was made after this box's datagram that it echoes, by at least the time that it
// held it.
func (n *Node) proofs(d *gossipv1.Datagram) []time.Time {
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

// others returns the work and demand of all other boxes: as the collector tells
// it or, at the collector, from the reports of its hall and the other halls'
// sums.
func (n *Node) others(now time.Time) balance.Snapshot {
	total := balance.NewSnapshot()
	if c := n.collector(now); c != nil {
		if now.Sub(c.allAt) <= snapshotLife {
			total.Add(c.allWork)
		}
		return total
	}
	n.addReports(total, now)
	n.addHalls(total, now)
	return total
}

// addHalls adds the last sums of the other halls.
func (n *Node) addHalls(total balance.Snapshot, now time.Time) {
	latest := make(map[barleystep.HallID]*member)
	for _, m := range n.members {
		if m.hall == n.Hall || now.Sub(m.hallAt) > snapshotLife {
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

// addReports adds the last reports of the hall's other boxes.
func (n *Node) addReports(total balance.Snapshot, now time.Time) {
	for _, m := range n.members {
		if m.hall == n.Hall && now.Sub(m.ownAt) <= snapshotLife {
			total.Add(m.own)
		}
	}
}
