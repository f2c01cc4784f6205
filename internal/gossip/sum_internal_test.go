package gossip

import (
	"context"
	"fmt"
	"net/netip"
	"testing"
	"time"

	"github.com/frankban/quicktest"
	"github.com/phuslu/log"
	"google.golang.org/protobuf/proto"

	"github.com/barleystep/barleystep"
	gossipv1 "github.com/barleystep/barleystep/api/gossip/v1"
	"github.com/barleystep/barleystep/internal/balance"
	"github.com/barleystep/barleystep/internal/clock"
)

// TestPlanSums checks how often and in how many parts a collector sends its sums, and that what it
// sends per tick, in entries, grows with the boxes at most, not with boxes times targets.
func TestPlanSums(t *testing.T) {
	cases := map[string]struct {
		boxes, targets int
		want           sumPlan
	}{
		"nine boxes":                  {9, 18, sumPlan{1, 1}},
		"a hall of 59, 150 targets":   {59, 150, sumPlan{1, 1}},
		"a hall of 59, 295 targets":   {59, 295, sumPlan{2, 1}},
		"a hall of 200, 1000 targets": {200, 1000, sumPlan{3, 13}},
		"a hall of 400, 2000 targets": {400, 2000, sumPlan{3, 63}},
		"few boxes, many targets":     {4, 10_000, sumPlan{3, 100}},
		"no target":                   {200, 0, sumPlan{1, 1}},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			plan := planSums(tc.boxes, tc.targets)
			quicktest.Check(t, plan, quicktest.Equals, tc.want)
			entries := tc.boxes * tc.targets / plan.parts / plan.ticks
			quicktest.Check(t, entries <= maxSumEntries, quicktest.IsTrue, quicktest.Commentf("%d entries", entries))
		})
	}
}

// recordingSocket records what is sent to each address.
type recordingSocket struct {
	barleystep.Socket
	sent map[netip.AddrPort][]*datagram
}

func (s *recordingSocket) WriteTo(data []byte, addr netip.AddrPort) error {
	var d datagram
	if err := proto.Unmarshal(data, &d); err != nil {
		return err
	}
	s.sent[addr] = append(s.sent[addr], &d)
	return nil
}

// fixedBalancer has the work of a whole fleet.
type fixedBalancer struct{ work balance.Snapshot }

func (b fixedBalancer) Snapshot() balance.Snapshot { return b.work }
func (fixedBalancer) SetOthers(balance.Snapshot)   {}
func (fixedBalancer) SetRole(balance.Role)         {}
func (fixedBalancer) DropPeer(barleystep.BoxID)    {}

const (
	hallBoxes    = 200
	fleetTargets = 1000
)

func boxAddr(i int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(i >> 8), byte(i)}), 1)
}

// newCollector returns the collector of a hall with many boxes before many targets, with what it
// sends. Every second box takes no parts.
func newCollector(manual *clock.Manual) (*Node, *recordingSocket) {
	work := balance.NewSnapshot()
	for i := range fleetTargets {
		work.Work[balance.KeyOf(fmt.Sprint("i-", i))] = balance.Work{Short: i + 1}
	}
	socket := &recordingSocket{sent: make(map[netip.AddrPort][]*datagram)}
	n := &Node{
		Clock: manual, Box: "collector", Hall: "h", Strength: 1, Balancer: fixedBalancer{work}, Log: &log.Logger{Level: log.PanicLevel},
		members: make(map[barleystep.BoxID]*member), sent: make(map[uint64]balance.Snapshot),
		socket: socket, origin: manual.Now(), incarnation: 1, collecting: true,
	}
	for i := range hallBoxes {
		n.receive(context.Background(), &datagram{
			Box: fmt.Sprintf("b-%03d", i), Hall: "h", Incarnation: 7, Sequence: 1, TakesParts: i%2 == 0,
		}, boxAddr(i))
	}
	return n, socket
}

// TestSumsInParts checks that a box puts the whole sum together from its parts, that one that takes
// no parts gets whole sums, and that no datagram is near the size at which it is split.
func TestSumsInParts(t *testing.T) {
	c := quicktest.New(t)
	manual := clock.NewManual(time.Unix(1000, 0))
	n, socket := newCollector(manual)
	for range 45 {
		for i := range hallBoxes {
			n.members[barleystep.BoxID(fmt.Sprintf("b-%03d", i))].lastHeard = manual.Now()
		}
		n.step(context.Background())
		manual.Advance(tick)
	}
	for i := range hallBoxes {
		receiver := &Node{
			Clock: manual, Box: barleystep.BoxID(fmt.Sprintf("b-%03d", i)), Hall: "h", Balancer: fixedBalancer{}, Log: n.Log,
			members: make(map[barleystep.BoxID]*member), incarnation: 7,
		}
		for _, d := range socket.sent[boxAddr(i)] {
			receiver.receive(context.Background(), d, boxAddr(hallBoxes))
			whole := len(d.GetWork()) == fleetTargets
			c.Check(whole, quicktest.Equals, i%2 == 1)
			c.Check(whole || len(d.GetWork()) <= mostPartEntries+mostPartEntries/2, quicktest.IsTrue, quicktest.Commentf("%d", len(d.GetWork())))
		}
		c.Check(receiver.othersWork(manual.Now()).Work, quicktest.HasLen, fleetTargets)
	}
}

// TestOwnWorkSubtractedFromPart checks that a box subtracts its own work from the part that holds it,
// and from no other.
func TestOwnWorkSubtractedFromPart(t *testing.T) {
	c := quicktest.New(t)
	manual := clock.NewManual(time.Unix(1000, 0))
	const low, high = balance.Key(1), balance.Key(1<<31 + 1)
	own := balance.NewSnapshot()
	own.Work[low], own.Work[high] = balance.Work{Short: 1}, balance.Work{Short: 2}
	n := &Node{
		Clock: manual, Box: "me", Hall: "h", Balancer: fixedBalancer{}, Log: &log.Logger{Level: log.PanicLevel},
		members: make(map[barleystep.BoxID]*member), incarnation: 7, sent: map[uint64]balance.Snapshot{4: own},
	}
	for index, key := range []balance.Key{low, high} {
		sum := balance.NewSnapshot()
		sum.Work[key] = balance.Work{Short: 10}
		d := &datagram{Box: "collector", Hall: "h", Incarnation: 1, Sequence: uint64(index + 1), Scope: 2, Part: uint32(index), Parts: 2}
		d.Members = []*gossipv1.Member{(&member{box: "me", incarnation: 7, ownSequence: 4}).toProto()}
		encodeSnapshot(d, sum, manual.Now())
		n.receive(context.Background(), d, boxAddr(0))
	}
	work := n.members["collector"].allWork.Work
	c.Check(work[low].Short, quicktest.Equals, 9)
	c.Check(work[high].Short, quicktest.Equals, 8)
}

// TestAllNamedInTime checks that a collector names each box of a large hall to the others within half
// of the time for which a box that is only named counts as alive.
func TestAllNamedInTime(t *testing.T) {
	for _, boxes := range []int{9, 59, 200, 400, 1000} {
		t.Run(fmt.Sprint(boxes), func(t *testing.T) {
			var members []*gossipv1.Member
			for i := range boxes {
				members = append(members, &gossipv1.Member{Box: fmt.Sprint(i)})
			}
			ticks := planSums(boxes, 5*boxes).ticks
			named := make(map[string]bool)
			n := &Node{}
			for range namedTimeout / 2 / (time.Duration(ticks) * tick) {
				n.rotation++
				for _, m := range n.namedMembers(members, ticks) {
					named[m.GetBox()] = true
				}
			}
			quicktest.Check(t, named, quicktest.HasLen, boxes)
		})
	}
}

// TestOversizedDatagram checks that a datagram that no socket takes is counted and not sent.
func TestOversizedDatagram(t *testing.T) {
	n, socket := newCollector(clock.NewManual(time.Unix(1000, 0)))
	n.write(&datagram{LeadAddr: string(make([]byte, maxSentBytes))}, boxAddr(0))
	quicktest.Check(t, n.oversized, quicktest.Equals, 1)
	quicktest.Check(t, socket.sent, quicktest.HasLen, 0)
}
