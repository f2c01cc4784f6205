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

// step runs once per tick.
func (n *Node) step(context.Context) {
	own := n.Balancer.Snapshot()
	now := n.Clock.Now()
	n.mu.Lock()
	defer n.mu.Unlock()
	n.ticks++
	n.detectStall(now)
	silent := n.detectSilent(now)
	n.sequence++
	n.recordSent(own)
	n.updateRole(own, now)
	if n.collecting {
		n.distributeSums(own, now)
	} else if c := n.collector(now); c != nil {
		n.send(n.report(own, now), now, c)
	}
	if n.collecting && n.ticks%probeTicks == 1 {
		n.probe(own, now)
	}
	n.Balancer.SetOthers(n.othersWork(now))
	n.Balancer.SetRole(n.role(now))
	for _, box := range silent {
		n.Balancer.DropPeer(box) // After SetOthers, which no longer has the prefill that it reported.
	}
}

func (n *Node) recordSent(own balance.Snapshot) {
	n.sent[n.sequence] = own
	delete(n.sent, n.sequence-maxSent)
}

// detectSilent marks members that have fallen silent, and removes those silent for forgetAfter. It
// returns those whose silence means that they have probably ended.
func (n *Node) detectSilent(now time.Time) (ended []barleystep.BoxID) {
	for box, m := range n.members {
		silent := now.Sub(m.lastSeen())
		if m.alive && now.Sub(m.lastHeard) > aliveTimeout {
			m.alive = false
			n.memberEvent(log.WarnLevel).Str("box", string(box)).Dur("silent", silent).Msg(logPrefix + "A box has fallen silent.")
			if n.isHeardRegularly(m) {
				ended = append(ended, box)
			}
		}
		if silent <= forgetAfter {
			continue
		}
		delete(n.members, box)
		if n.collecting && m.hall == n.Hall {
			go n.removeRecord(box)
		}
	}
	return ended
}

// isHeardRegularly reports whether the member was sending this box a datagram at every tick when it
// was last heard: it is of this collector's hall, or the collector of another hall. Others send
// only queries, and a collector that yielded its role stops sending sums: by then the box that it
// yielded to was sending them.
func (n *Node) isHeardRegularly(m *member) bool {
	if !n.collecting {
		return false
	}
	if m.hall == n.Hall {
		return true
	}
	for _, o := range n.members {
		if o != m && o.hall == m.hall && !o.sumsSince.IsZero() && !o.sumsSince.After(m.lastHeard) && !o.hallSumAt.Before(m.lastHeard) {
			return false
		}
	}
	return !m.hallSumAt.IsZero() && m.lastHeard.Sub(m.hallSumAt) <= aliveTimeout
}

// memberEvent returns a log entry about the state of another box. A collector, which hears its
// whole hall, logs at the given level; other boxes hear members only occasionally and log at
// debug level.
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

// distributeSums sends the sum of the hall to the other halls, and the total of all halls to
// the hall's boxes.
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

// sendHallSum sends the hall's sum to the collectors of the other halls, and queries halls
// whose collector is unknown. Every probeTicks ticks it also names the collectors to each
// other, since halls without a seed would not find each other otherwise.
func (n *Node) sendHallSum(d *datagram, now time.Time) {
	if n.ticks%probeTicks == 0 {
		d.Members = n.otherCollectors(now)
	}
	for _, hall := range n.halls() {
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

// otherCollectors returns the collectors of the other halls.
func (n *Node) otherCollectors(now time.Time) []*gossipv1.Member {
	var list []*gossipv1.Member
	for _, hall := range n.halls() {
		if m := n.collectorOf(hall, now); m != nil {
			list = append(list, m.toProto())
		}
	}
	return list
}

func containsBox(members []*gossipv1.Member, box barleystep.BoxID) bool {
	return slices.ContainsFunc(members, func(m *gossipv1.Member) bool { return m.GetBox() == string(box) })
}

// toProto returns the member in its wire form.
func (m *member) toProto() *gossipv1.Member {
	return &gossipv1.Member{
		Box:         string(m.box),
		Hall:        string(m.hall),
		Addr:        m.addr.String(),
		Strength:    m.strength,
		Sequence:    m.ownSequence,
		Incarnation: m.incarnation,
		CutOff:      m.cutOff,
		Leaving:     m.leaving,
	}
}

// answer replies to a query with the best candidates of the sender's hall and this box's
// collector.
func (n *Node) answer(m *member, now time.Time) {
	d := n.datagram(now)
	for _, o := range n.hallCandidates(m.hall, now) {
		if o != m {
			d.Members = append(d.Members, o.toProto())
		}
	}
	if c := n.collector(now); c != nil && c != m && now.Sub(c.sumAt) <= sumTimeout {
		d.Members = append(d.Members, c.toProto())
	}
	n.send(d, now, m)
}

// hallCandidates returns the first boxes by rank of a hall that were heard within sumTimeout,
// at most successors of them.
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

// namedMembers returns the members to name to all receivers of sums that are sent every ticks ticks:
// the successors, and some others in rotation, so many that each is named well within namedTimeout.
func (n *Node) namedMembers(members []*gossipv1.Member, ticks int) []*gossipv1.Member {
	list := slices.Clone(members[:min(successors, len(members))])
	rest := members[len(list):]
	sums := int(namedTimeout / 2 / (time.Duration(ticks) * tick))
	named := max(namedInRotation, (len(rest)+sums-1)/sums)
	for i := range min(named, len(rest)) {
		list = append(list, rest[(n.rotation*named+i)%len(rest)])
	}
	return list
}

// halls returns the ids of the other halls.
func (n *Node) halls() []barleystep.HallID {
	var halls []barleystep.HallID
	for _, m := range n.members {
		if m.hall != n.Hall && !slices.Contains(halls, m.hall) {
			halls = append(halls, m.hall)
		}
	}
	return halls
}

// hallMembers returns the other boxes of the hall that were heard within aliveTimeout, ordered
// by rank, with the sequence numbers of the reports that were merged.
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
		list[i].Hall = "" // It is the sender's own hall.
	}
	return list
}

// probe sends this collector's state to silent boxes of its hall, to boxes of halls without a
// known collector, and to seeds that are not known members, so that a healed partition is
// detected.
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

// querySeeds sends the datagram to the seeds. A collector omits the seeds that are known
// members, which it probes itself.
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

// datagram returns a datagram without work, echo or members.
func (n *Node) datagram(now time.Time) *datagram {
	return &datagram{
		Box:         string(n.Box),
		Hall:        string(n.Hall),
		Incarnation: n.incarnation,
		Sequence:    n.sequence,
		Leaving:     n.leaving,
		Strength:    n.currentStrength(now),
		TakesParts:  true,
		CutOff:      n.isCutOff(),
	}
}

// send fills in the fields that differ between receivers and sends the datagram. All ages are
// taken at the same time, so a process that stalls afterwards states nothing that was false
// then.
func (n *Node) send(d *datagram, now time.Time, m *member) {
	d.SentNs, d.Topics = int64(now.Sub(n.origin)), n.topicStates()
	n.setEcho(d, now, m)
	n.write(d, m.addr)
}

// topicStates returns how far this box has read each topic. Ages are read after the time of the
// datagram was taken, so they are at least the ages at that time.
func (n *Node) topicStates() []*gossipv1.TopicState {
	states := make([]*gossipv1.TopicState, 0, len(n.Topics))
	for i, t := range n.Topics {
		changed, age := t.State()
		states = append(states, &gossipv1.TopicState{Changed: uint64(changed), ProofAgeNs: int64(age), Format: formats[topicAt(i)]})
	}
	return states
}

// setEcho sets what a datagram echoes of the receiver's last one.
func (n *Node) setEcho(d *datagram, now time.Time, m *member) {
	d.EchoNs, d.HeldNs, d.EchoIncarnation = 0, 0, 0
	if m.peerSent != 0 {
		d.EchoNs, d.HeldNs, d.EchoIncarnation = m.peerSent, int64(now.Sub(m.receivedAt)), m.incarnation
	}
}

func (n *Node) write(d *datagram, addr netip.AddrPort) {
	data, err := proto.Marshal(d)
	n.writeEncoded(data, err, addr)
}

// maxSentBytes is the largest datagram that UDP over IPv4 carries.
const maxSentBytes = 65_507

// writeEncoded sends an encoded datagram. One that is too large is dropped, counted, and logged the
// first time.
func (n *Node) writeEncoded(data []byte, err error, addr netip.AddrPort) {
	switch {
	case err != nil:
		n.Log.Error().Err(err).Msg(logPrefix + "Cannot encode a datagram.")
		return
	case len(data) > maxSentBytes:
		if n.oversized++; n.oversized == 1 {
			n.Log.Error().Str("to", addr.String()).Int("bytes", len(data)).Msg(logPrefix + "A datagram is too large to be sent.")
		}
		return
	}
	if err := n.socket.WriteTo(data, addr); err != nil {
		n.Log.Debug().Str("to", addr.String()).Err(err).Msg(logPrefix + "Cannot send a datagram.")
	}
}
