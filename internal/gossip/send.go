package gossip

import (
	"context"
	"net/netip"
	"slices"
	"time"

	"github.com/phuslu/log"
	"google.golang.org/protobuf/proto"

	"github.com/barleystep/barleystep"
	gossipv1 "github.com/barleystep/barleystep/api/gossip/v1"
	"github.com/barleystep/barleystep/internal/balance"
)

// step is done once a tick.
func (n *Node) step(context.Context) {
	own := n.Balancer.Snapshot()
	now := n.Clock.Now()
	n.mu.Lock()
	defer n.mu.Unlock()
	n.ticks++
	n.detectStall(now)
	n.detectSilent(now)
	n.sequence++
	n.recordSent(own)
	n.updateRole(own, now)
	if n.collecting {
		n.distributeSums(own, now)
	} else if c := n.currentCollector(now); c != nil {
		n.send(n.report(own, now), now, c)
	}
	if n.collecting && n.ticks%probeTicks == 1 {
		n.probe(own, now)
	}
	n.Balancer.SetOthers(n.othersWork(now))
	n.Balancer.SetRole(n.role(now))
}

func (n *Node) recordSent(own balance.Snapshot) {
	n.sent[n.sequence] = own
	delete(n.sent, n.sequence-maxSent)
}

// age notes which boxes have fallen silent.
func (n *Node) detectSilent(now time.Time) {
	for box, m := range n.members {
		silent := now.Sub(m.lastSeen())
		if m.alive && now.Sub(m.lastHeard) > aliveTimeout {
			m.alive = false
			n.memberEvent(log.WarnLevel).Str("box", string(box)).Dur("silent", silent).Msg(logPrefix + "A box is silent.")
		}
		if silent <= forgetAfter {
			continue
		}
		delete(n.members, box)
		if n.collecting && m.hall == n.Hall {
			go n.removeRecord(box)
		}
	}
}

// watched begins a line on another box's life: for the log of a collector, which
// hears its whole hall, and for debugging elsewhere, where boxes are heard now and
// then only.
func (n *Node) memberEvent(level log.Level) *log.Entry {
	if n.collecting {
		return n.Log.WithLevel(level)
	}
	return n.Log.Debug()
}

func (n *Node) report(own balance.Snapshot, now time.Time) *datagram {
	d := n.datagram(now)
	encodeSnapshot(d, own, now)
	return d
}

// distribute sends the sum of the hall to the other halls, and that of all halls
// to its own boxes.
func (n *Node) distributeSums(own balance.Snapshot, now time.Time) {
	sum := balance.NewSnapshot()
	sum.Add(own)
	n.addReports(sum, now)
	d := n.datagram(now)
	d.Scope = gossipv1.Scope_SCOPE_HALL
	members := n.hallMembers(now)
	d.Boxes = int32(len(members) + 1)
	encodeSnapshot(d, sum, now)
	n.sendHallSum(d, now)
	n.addHallSums(sum, now)
	d = n.datagram(now)
	d.Scope = gossipv1.Scope_SCOPE_ALL
	d.Boxes = int32(n.boxCount(now))
	d.LeadAddr = n.leadAddr(now)
	encodeSnapshot(d, sum, now)
	n.sendTotal(d, members, now)
}

// tellHalls sends the hall's sum to the collectors of the other halls, and asks for
// them where none is known. Now and then it names the collectors to each other: halls
// without a seed would not meet otherwise.
func (n *Node) sendHallSum(d *datagram, now time.Time) {
	if n.ticks%probeTicks == 0 {
		d.Members = n.otherCollectors(now)
	}
	for _, hall := range n.otherHalls() {
		d.Asks = false
		if m := n.collectorOf(hall, now); m != nil {
			n.send(d, now, m)
			continue
		}
		d.Asks = true
		m := n.best(func(m *member) bool { return m.hall == hall && m.presumedAlive(now) })
		if m != nil {
			n.query(d, now, m)
		}
	}
}

// tellHall sends the sum of all halls to the own hall's boxes: to the next
// collectors at every tick, to all others in their turn.
func (n *Node) sendTotal(d *datagram, members []*gossipv1.Member, now time.Time) {
	due := n.ticks%sumIntervalTicks(len(members), len(d.GetWork())) == 0
	if due {
		n.rotation++
	}
	others := n.otherCollectors(now)
	for _, m := range n.members {
		if m.hall != n.Hall || !m.alive {
			continue
		}
		isSuccessor := containsBox(members[:min(successors, len(members))], m.box)
		if !due && !isSuccessor {
			continue
		}
		d.Members = n.namedMembers(members, m.box)
		if isSuccessor {
			d.Members = append(d.Members, others...)
		}
		n.send(d, now, m)
	}
}

// otherCollectors lists the collectors of the other halls.
func (n *Node) otherCollectors(now time.Time) []*gossipv1.Member {
	var list []*gossipv1.Member
	for _, hall := range n.otherHalls() {
		if m := n.collectorOf(hall, now); m != nil {
			list = append(list, m.toProto())
		}
	}
	return list
}

func containsBox(members []*gossipv1.Member, box barleystep.BoxID) bool {
	return slices.ContainsFunc(members, func(m *gossipv1.Member) bool { return m.GetBox() == string(box) })
}

// wire returns the member as it is named to others.
func (m *member) toProto() *gossipv1.Member {
	return &gossipv1.Member{
		Box:         string(m.box),
		Hall:        string(m.hall),
		Addr:        m.addr.String(),
		Strength:    m.strength,
		Sequence:    m.ownSequence,
		Incarnation: m.incarnation,
	}
}

// answer tells a box that asked of the first boxes of its hall and of this one's
// collector.
func (n *Node) answer(m *member, now time.Time) {
	d := n.datagram(now)
	for _, o := range n.hallCandidates(m.hall, now) {
		if o != m {
			d.Members = append(d.Members, o.toProto())
		}
	}
	if c := n.currentCollector(now); c != nil && c != m && now.Sub(c.sumAt) <= sumTimeout {
		d.Members = append(d.Members, c.toProto())
	}
	n.send(d, now, m)
}

// hallFirst returns the first boxes of a hall that were heard a moment ago.
func (n *Node) hallCandidates(hall barleystep.HallID, now time.Time) []*member {
	var list []*member
	for _, m := range n.members {
		if m.hall == hall && !m.leaving && now.Sub(m.lastHeard) <= sumTimeout {
			list = append(list, m)
		}
	}
	slices.SortFunc(list, compareRank)
	return list[:min(successors, len(list))]
}

// turnTicks returns every how many ticks a sum over so many targets is sent to so many
// boxes.
func sumIntervalTicks(boxes, targets int) int { return min(1+boxes*targets/maxSumEntries, maxSumTicks) }

// named returns the boxes of which a receiver is told: itself, whose work it takes
// out of the sum, the next collectors, and some others in turn.
func (n *Node) namedMembers(members []*gossipv1.Member, receiver barleystep.BoxID) []*gossipv1.Member {
	list := slices.Clone(members[:min(successors, len(members))])
	rest := members[len(list):]
	for i, m := range rest {
		next := n.rotation * namedInRotation % len(rest)
		inTurn := (i-next+len(rest))%len(rest) < namedInRotation
		if inTurn || m.GetBox() == string(receiver) {
			list = append(list, m)
		}
	}
	return list
}

// halls returns the other halls.
func (n *Node) otherHalls() []barleystep.HallID {
	var halls []barleystep.HallID
	for _, m := range n.members {
		if m.hall != n.Hall && !slices.Contains(halls, m.hall) {
			halls = append(halls, m.hall)
		}
	}
	return halls
}

// hallMembers lists the other boxes of the hall that were heard a moment ago, with
// the datagrams that were merged, in the order in which they would become
// collectors.
func (n *Node) hallMembers(now time.Time) []*gossipv1.Member {
	var heard []*member
	for _, m := range n.members {
		if m.hall == n.Hall && now.Sub(m.lastHeard) <= aliveTimeout {
			heard = append(heard, m)
		}
	}
	slices.SortFunc(heard, compareRank)
	list := make([]*gossipv1.Member, len(heard))
	for i, m := range heard {
		list[i] = m.toProto()
		list[i].Hall = "" // It is the sender's own.
	}
	return list
}

// probe tells silent boxes of this collector: those of its hall, and those of halls
// without any word, so that a healed partition is noticed. Seeds that are none of
// the boxes known here are told too.
func (n *Node) probe(own balance.Snapshot, now time.Time) {
	d := n.report(own, now)
	d.Asks = true
	for _, m := range n.members {
		if !m.alive && (m.hall == n.Hall || n.collectorOf(m.hall, now) == nil) {
			n.send(d, now, m)
		}
	}
	n.querySeeds(d, now)
}

// askSeeds asks the seeds; a collector leaves out the boxes that it knows, which it
// probes itself.
func (n *Node) querySeeds(d *datagram, now time.Time) {
	known := make(map[netip.AddrPort]bool)
	for _, m := range n.members {
		known[m.addr] = n.collecting || now.Sub(m.lastHeard) <= aliveTimeout
	}
	for _, seed := range n.Seeds {
		addr, err := netip.ParseAddrPort(seed)
		if err != nil || known[addr] || seed == n.Addr {
			continue
		}
		n.write(d, addr)
	}
}

// datagram returns one without work, echo or members.
func (n *Node) datagram(now time.Time) *datagram {
	return &datagram{
		Box:         string(n.Box),
		Hall:        string(n.Hall),
		Incarnation: n.incarnation,
		Sequence:    n.sequence,
		Leaving:     n.leaving,
		Strength:    n.currentStrength(now),
	}
}

// send fills in what differs between receivers and sends the datagram. All ages
// are taken at one moment: a process that is held up afterwards states nothing
// that was not true then.
func (n *Node) send(d *datagram, now time.Time, m *member) {
	d.SentNs = int64(now.Sub(n.origin))
	d.Topics = d.Topics[:0]
	for _, t := range n.Topics {
		// The age is read after now was, so it is no younger than at now.
		changed, age := t.State()
		d.Topics = append(d.Topics, &gossipv1.TopicState{Changed: uint64(changed), ProofAgeNs: int64(age)})
	}
	d.EchoNs, d.HeldNs, d.EchoIncarnation = 0, 0, 0
	if m.peerSent != 0 {
		d.EchoNs, d.HeldNs, d.EchoIncarnation = m.peerSent, int64(now.Sub(m.receivedAt)), m.incarnation
	}
	n.write(d, m.addr)
}

func (n *Node) write(d *datagram, addr netip.AddrPort) {
	data, err := proto.Marshal(d)
	if err != nil {
		n.Log.Error().Err(err).Msg(logPrefix + "A datagram cannot be encoded.")
		return
	}
	if err := n.socket.WriteTo(data, addr); err != nil {
		n.Log.Debug().Str("to", addr.String()).Err(err).Msg(logPrefix + "A datagram could not be sent.")
	}
}
