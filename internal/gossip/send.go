package gossip

import (
	"cmp"
	"context"
	"net/netip"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
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
	n.age(now)
	n.sequence++
	n.remember(own)
	collector := n.collector(now)
	if collector != nil {
		n.send(n.report(own), now, collector)
	} else {
		n.distribute(own, now)
	}
	if n.ticks%probeTicks == 1 {
		n.probe(own, now)
	}
	n.Balancer.SetOthers(n.others(now))
}

func (n *Node) remember(own balance.Snapshot) {
	n.sent[n.sequence] = own
	delete(n.sent, n.sequence-sentKept)
}

// age notes which boxes have fallen silent.
func (n *Node) age(now time.Time) {
	for box, m := range n.members {
		silent := now.Sub(m.last())
		if m.alive && now.Sub(m.heard) > aliveFor {
			m.alive = false
			n.Log.Warn().Str("box", string(box)).Dur("silent", silent).Msg(logPrefix + "A box is silent.")
		}
		if silent > forgetAfter {
			delete(n.members, box)
			go n.withdraw(box)
		}
	}
}

// Collects reports whether this box is the collector of its hall.
func (n *Node) Collects() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.collector(n.Clock.Now()) == nil
}

// collector returns the collector of the own hall, nil if it is this box.
func (n *Node) collector(now time.Time) *member {
	first := n.collectorOf(n.Hall, now)
	if first == nil || rankOf(n.Box) < rankOf(first.box) {
		return nil
	}
	return first
}

// collectorOf returns the first of a hall's other boxes that are alive, nil if
// none is known to be.
func (n *Node) collectorOf(hall barleystep.HallID, now time.Time) *member {
	var first *member
	for _, m := range n.members {
		if m.hall != hall || m.leaving || now.Sub(m.last()) > aliveFor {
			continue
		}
		if first == nil || rankOf(m.box) < rankOf(first.box) {
			first = m
		}
	}
	return first
}

// rankOf orders boxes in the same way on all of them.
func rankOf(box barleystep.BoxID) uint64 { return xxhash.Sum64String(string(box)) }

// Lead returns the address of the one box that decides for all; ok is false if
// that is this box. Boxes that are cut off from each other have leads of their
// own.
func (n *Node) Lead() (addr string, ok bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	now := n.Clock.Now()
	addr = n.leadAddr(now)
	if c := n.collector(now); c != nil {
		addr = c.leadAddr
	}
	return addr, addr != "" && addr != n.Addr
}

// leadAddr returns the lead as the collector of a hall sees it: the first of the
// halls' collectors.
func (n *Node) leadAddr(now time.Time) string {
	first, rank := n.Addr, rankOf(n.Box)
	for _, hall := range n.halls() {
		if m := n.collectorOf(hall, now); m != nil {
			if r := rankOf(m.box); r < rank {
				first, rank = m.addr.String(), r
			}
		}
	}
	return first
}

func (n *Node) report(own balance.Snapshot) *gossipv1.Datagram {
	d := n.datagram()
	fill(d, own)
	return d
}

// distribute sends the sum of the hall to the other halls, and that of all halls
// to its own boxes.
func (n *Node) distribute(own balance.Snapshot, now time.Time) {
	sum := balance.NewSnapshot()
	sum.Add(own)
	n.addReports(sum, now)
	d := n.datagram()
	d.Scope = gossipv1.Scope_SCOPE_HALL
	members := n.hallMembers(now)
	d.Boxes = int32(len(members))
	fill(d, sum)
	for _, hall := range n.halls() {
		if m := n.collectorOf(hall, now); m != nil {
			n.send(d, now, m)
		}
	}
	if n.ticks%n.turnTicks(len(members)) != 0 {
		return
	}
	n.turn++
	n.addHalls(sum, now)
	d = n.datagram()
	d.Scope = gossipv1.Scope_SCOPE_ALL
	d.Boxes = int32(n.count(now))
	d.LeadAddr = n.leadAddr(now)
	fill(d, sum)
	for _, m := range n.members {
		if m.hall == n.Hall && m.alive {
			d.Members = n.named(members, m.box)
			n.send(d, now, m)
		}
	}
}

// turnTicks returns every how many ticks the hall's sums are sent.
func (n *Node) turnTicks(boxes int) int { return min(1+boxes/fanOut, longestTurn) }

// named returns the boxes of which a receiver is told: itself, whose work it takes
// out of the sum, the next collectors, and some others in turn.
func (n *Node) named(members []*gossipv1.Member, receiver barleystep.BoxID) []*gossipv1.Member {
	list := slices.Clone(members[:min(heirs, len(members))])
	rest := members[len(list):]
	for i, m := range rest {
		next := n.turn * namedInTurn % len(rest)
		inTurn := (i-next+len(rest))%len(rest) < namedInTurn
		if inTurn || m.GetBox() == string(receiver) {
			list = append(list, m)
		}
	}
	return list
}

// halls returns the other halls.
func (n *Node) halls() []barleystep.HallID {
	var halls []barleystep.HallID
	for _, m := range n.members {
		if m.hall != n.Hall && !slices.Contains(halls, m.hall) {
			halls = append(halls, m.hall)
		}
	}
	return halls
}

// hallMembers lists the boxes of the hall that are alive, with the datagrams
// that were merged, in the order in which they would become collectors.
func (n *Node) hallMembers(now time.Time) []*gossipv1.Member {
	list := []*gossipv1.Member{{Box: string(n.Box), Addr: n.Addr, Sequence: n.sequence, Incarnation: n.incarnation}}
	for _, m := range n.members {
		if m.hall == n.Hall && now.Sub(m.last()) <= aliveFor {
			list = append(list, &gossipv1.Member{
				Box:         string(m.box),
				Addr:        m.addr.String(),
				Sequence:    m.ownSequence,
				Incarnation: m.incarnation,
			})
		}
	}
	slices.SortFunc(list, func(x, y *gossipv1.Member) int {
		return cmp.Compare(rankOf(barleystep.BoxID(x.GetBox())), rankOf(barleystep.BoxID(y.GetBox())))
	})
	return list
}

// probe tells silent boxes, and the seeds, of this one. A box that has a collector
// leaves silent boxes to it.
func (n *Node) probe(own balance.Snapshot, now time.Time) {
	d := n.report(own)
	if n.collector(now) != nil {
		return
	}
	known := make(map[netip.AddrPort]bool)
	alone := true
	for _, m := range n.members {
		known[m.addr] = true
		alone = alone && !m.alive
		if n.probes(m, now) {
			n.send(d, now, m)
		}
	}
	if !alone && n.ticks%seedTicks != 1 {
		return
	}
	for _, seed := range n.Seeds {
		addr, err := netip.ParseAddrPort(seed)
		if err != nil || known[addr] || seed == n.Addr {
			continue
		}
		n.write(d, addr)
	}
}

// probes reports whether a collector tells a silent box of itself: those of its
// hall, and those of halls without any word.
func (n *Node) probes(m *member, now time.Time) bool {
	if m.alive {
		return false
	}
	return m.hall == n.Hall || n.collectorOf(m.hall, now) == nil
}

// datagram returns one without work, echo or members.
func (n *Node) datagram() *gossipv1.Datagram {
	return &gossipv1.Datagram{
		Box:         string(n.Box),
		Hall:        string(n.Hall),
		Incarnation: n.incarnation,
		Sequence:    n.sequence,
		Leaving:     n.leaving,
	}
}

// send fills in what differs between receivers and sends the datagram. All ages
// are taken at one moment: a process that is held up afterwards states nothing
// that was not true then.
func (n *Node) send(d *gossipv1.Datagram, now time.Time, m *member) {
	d.SentNs = int64(now.Sub(n.origin))
	d.Topics = d.Topics[:0]
	for _, t := range n.Topics {
		// The age is read after now was, so it is no younger than at now.
		changed, age := t.State()
		d.Topics = append(d.Topics, &gossipv1.TopicState{Changed: uint64(changed), ProofAgeNs: int64(age)})
	}
	d.EchoNs, d.HeldNs, d.EchoIncarnation = 0, 0, 0
	if m.peerSent != 0 {
		d.EchoNs, d.HeldNs, d.EchoIncarnation = m.peerSent, int64(now.Sub(m.gotAt)), m.incarnation
	}
	n.write(d, m.addr)
}

func (n *Node) write(d *gossipv1.Datagram, addr netip.AddrPort) {
	data, err := proto.Marshal(d)
	if err != nil {
		n.Log.Error().Err(err).Msg(logPrefix + "A datagram cannot be encoded.")
		return
	}
	if err := n.socket.WriteTo(data, addr); err != nil {
		n.Log.Debug().Str("to", addr.String()).Err(err).Msg(logPrefix + "A datagram could not be sent.")
	}
}

// perMilli is how a demand in engines is sent as a whole number.
const perMilli = 1000

// fill writes a snapshot into a datagram.
func fill(d *gossipv1.Datagram, s balance.Snapshot) {
	for key, w := range s.Work {
		if w == (balance.Work{}) {
			continue
		}
		d.Work = append(d.Work, &gossipv1.TargetWork{
			Target:    uint32(key),
			Light:     int32(w.Light),
			Heavy:     int32(w.Heavy),
			BacklogUs: w.Backlog.Microseconds(),
			LedUs:     w.Led.Microseconds(),
			Memory:    int64(w.Memory),
			Unread:    int32(w.Unread),
			Down:      int32(w.Down),
		})
	}
	for key, demand := range s.Demands {
		d.Demands = append(d.Demands, &gossipv1.ServiceDemand{
			Service:    uint32(key),
			LightMilli: int32(demand.Light * perMilli),
			HeavyMilli: int32(demand.Heavy * perMilli),
		})
	}
}

// snapshotOf reads a snapshot out of a datagram.
func snapshotOf(d *gossipv1.Datagram) balance.Snapshot {
	s := balance.NewSnapshot()
	for _, w := range d.GetWork() {
		s.Work[balance.Key(w.GetTarget())] = balance.Work{
			Light:   int(w.GetLight()),
			Heavy:   int(w.GetHeavy()),
			Backlog: time.Duration(w.GetBacklogUs()) * time.Microsecond,
			Led:     time.Duration(w.GetLedUs()) * time.Microsecond,
			Memory:  int(w.GetMemory()),
			Unread:  int(w.GetUnread()),
			Down:    int(w.GetDown()),
		}
	}
	for _, demand := range d.GetDemands() {
		s.Demands[balance.Key(demand.GetService())] = balance.Demand{
			Light: float64(demand.GetLightMilli()) / perMilli,
			Heavy: float64(demand.GetHeavyMilli()) / perMilli,
		}
	}
	return s
}
