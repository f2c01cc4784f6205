package gossip

import (
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/barleystep/barleystep"
	gossipv1 "github.com/barleystep/barleystep/api/gossip/v1"
	"github.com/barleystep/barleystep/internal/balance"
)

const (
	// maxSumEntries bounds the target entries that a collector sends to its hall per tick, over
	// all boxes, some 210 kB. With more boxes or targets it sends its sums less often, every
	// maxWholeTicks ticks at least; beyond that it sends them in parts.
	maxSumEntries = 10_000
	maxWholeTicks = 2
	// partTicks is the number of ticks between two parts. Together they have maxPartEntries
	// entries per tick over all boxes, of which partOverhead stand for the rest of a datagram. A
	// part has at most mostPartEntries, so that what a box receives does not grow with the
	// targets, and at least leastPartEntries.
	partTicks        = 3
	maxPartEntries   = 7_000
	partOverhead     = 25
	leastPartEntries = 32
	mostPartEntries  = 100
	// maxOldTicks is the largest number of ticks between the sums to a box that takes no parts.
	maxOldTicks = 5
)

// sumPlan is how a collector sends its sums: every ticks ticks one of parts parts.
type sumPlan struct {
	ticks int
	parts int
}

// planSums plans the sums over the given number of targets to the given number of boxes.
func planSums(boxes, targets int) sumPlan {
	ticks := 1 + boxes*targets/maxSumEntries
	if ticks <= maxWholeTicks {
		return sumPlan{ticks: ticks, parts: 1}
	}
	entries := min(max(partTicks*maxPartEntries/boxes-partOverhead, leastPartEntries), mostPartEntries)
	return sumPlan{ticks: partTicks, parts: partsOf(targets, entries)}
}

// planOldSums plans the sums to boxes that take no parts.
func planOldSums(boxes, targets int) sumPlan {
	return sumPlan{ticks: min(1+boxes*targets/maxSumEntries, maxOldTicks), parts: 1}
}

// sumSender sends the total of all halls to the boxes of the hall. What is the same for all
// receivers is encoded once: protobuf messages merge when their encodings are joined.
type sumSender struct {
	node    *Node
	now     time.Time
	total   *datagram
	members map[barleystep.BoxID]*gossipv1.Member
	// named are the members that each receiver is told of.
	named []*gossipv1.Member
	// encoded holds the encodings of the whole total and of its parts.
	encoded map[part][]byte
}

// part is one of a number of equal ranges of keys; with one range it is the whole.
type part struct {
	index, count int
}

// contains reports whether the key is in the part.
func (p part) contains(key balance.Key) bool {
	return uint64(key)*uint64(p.count)>>keyBits == uint64(p.index)
}

const keyBits = 32

// sendTotal sends the total to the hall's boxes as planned. The successors get something at every
// tick, so that they notice at once that the collector is silent: small parts between the others.
func (n *Node) sendTotal(d *datagram, members []*gossipv1.Member, now time.Time) {
	targets := len(d.GetWork())
	plan, oldPlan := planSums(len(members), targets), planOldSums(len(members), targets)
	if n.ticks%plan.ticks == 0 {
		n.rotation++
	}
	s := n.newSumSender(d, members, plan, now)
	next := members[:min(successors, len(members))]
	others := n.otherCollectors(now)
	var othersForAll []*gossipv1.Member
	if n.hasCutOffBox() || n.rotation%(probeTicks/plan.ticks) == 0 {
		othersForAll = others // Their halls may have the only boxes that reach targets.
	}
	for _, m := range n.members {
		if m.hall != n.Hall || !m.alive {
			continue
		}
		use := oldPlan
		if m.takesParts {
			use = plan
		}
		isDue, isSuccessor := n.ticks%use.ticks == 0, containsBox(next, m.box)
		switch {
		case isDue && isSuccessor:
			s.send(m, part{n.rotation % use.parts, use.parts}, others)
		case isDue:
			s.send(m, part{n.rotation % use.parts, use.parts}, othersForAll)
		case isSuccessor:
			s.send(m, n.smallPart(m, targets), others)
		}
	}
}

// newSumSender returns a sender of the total in d.
func (n *Node) newSumSender(d *datagram, members []*gossipv1.Member, plan sumPlan, now time.Time) *sumSender {
	s := &sumSender{
		node:    n,
		now:     now,
		total:   d,
		members: make(map[barleystep.BoxID]*gossipv1.Member),
		named:   n.namedMembers(members, plan.ticks),
		encoded: make(map[part][]byte),
	}
	for _, m := range members {
		s.members[barleystep.BoxID(m.GetBox())] = m
	}
	d.SentNs, d.Topics = int64(now.Sub(n.origin)), n.topicStates()
	return s
}

// smallPart returns the part of a sum that a successor gets between those that all get; the whole if
// it takes no parts.
func (n *Node) smallPart(m *member, targets int) part {
	if !m.takesParts {
		return part{0, 1}
	}
	count := partsOf(targets, mostPartEntries)
	return part{n.ticks % count, count}
}

// partsOf returns the number of parts of at most the given number of entries.
func partsOf(targets, entries int) int { return max((targets+entries-1)/entries, 1) }

// send sends a box its part of the total, with the member that it is itself, so that it can
// subtract its own work, and others.
func (s *sumSender) send(m *member, p part, others []*gossipv1.Member) {
	common, ok := s.encoded[p]
	if !ok {
		common = s.encode(p)
		s.encoded[p] = common
	}
	own := &datagram{Members: others}
	if self, ok := s.members[m.box]; ok && !containsBox(s.named, m.box) {
		own.Members = append([]*gossipv1.Member{self}, others...)
	}
	s.node.setEcho(own, s.now, m)
	data, err := proto.MarshalOptions{}.MarshalAppend(common[:len(common):len(common)], own)
	s.node.writeEncoded(data, err, m.addr)
}

// encode encodes a part of the total.
func (s *sumSender) encode(p part) []byte {
	work := s.total.Work
	s.total.Members = s.named
	s.total.Part, s.total.Parts = uint32(p.index), uint32(p.count)
	s.total.Work = workInPart(work, p)
	data, err := proto.Marshal(s.total)
	s.total.Work = work
	if err != nil {
		s.node.Log.Error().Err(err).Msg(logPrefix + "Cannot encode a sum.")
	}
	return data
}

// workInPart returns the entries of a part.
func workInPart(work []*gossipv1.TargetWork, p part) []*gossipv1.TargetWork {
	if p.count == 1 {
		return work
	}
	var list []*gossipv1.TargetWork
	for _, w := range work {
		if p.contains(balance.Key(w.GetTarget())) {
			list = append(list, w)
		}
	}
	return list
}

// storePart stores a part of a collector's total: it replaces the work of the part's targets, and
// all that is not work. The rest of the work is that of earlier parts.
func (n *Node) storePart(m *member, s balance.Snapshot, d *datagram, now time.Time) {
	n.subtractOwn(s, d)
	if now.Sub(m.allAt) <= snapshotTTL {
		for key, w := range m.allWork.Work {
			if !partOf(d).contains(key) {
				s.Work[key] = w
			}
		}
	}
	m.allWork = s
}

// partOf returns the part that a sum holds.
func partOf(d *datagram) part { return part{int(d.GetPart()), max(int(d.GetParts()), 1)} }

// of returns the snapshot without the work of targets of other parts.
func (p part) of(s balance.Snapshot) balance.Snapshot {
	work := make(map[balance.Key]balance.Work, len(s.Work))
	for key, w := range s.Work {
		if p.contains(key) {
			work[key] = w
		}
	}
	s.Work = work
	return s
}
