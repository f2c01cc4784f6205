// Package gossip spreads between boxes what none of them could know alone: the
// work that all of them have given to targets, which targets cannot be reached,
// and how far boxes have read the store, with the age of their proof that they
// have missed nothing. Boxes that do not read the store, or that it turns away, go
// by that proof.
//
// Each box reports to the collector of its hall, which is the strongest of the
// hall's boxes that live. The collector sends the sum back to its hall and to the
// collectors of the other halls, so that what a box sends and receives does not
// grow with the number of boxes in other halls. The first of the collectors is the
// lead of all.
package gossip

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"sync"
	"time"

	"github.com/phuslu/log"
	"github.com/rotisserie/eris"
	"google.golang.org/protobuf/proto"

	"github.com/barleystep/barleystep"
	"github.com/barleystep/barleystep/internal/balance"
	"github.com/barleystep/barleystep/internal/clock"
)

// Topic is what a box has read of one topic of the store.
type TopicFollower interface {
	// State returns the revision of the last change that was read, zero if there
	// is none, and the age of the proof that none was missed, negative without one.
	State() (changed barleystep.Revision, age time.Duration)
	// Vouch takes another box's proof.
	Confirm(at time.Time, changed barleystep.Revision)
	// Offer tells where a change can be had.
	Offer(ctx context.Context, addr string, changed barleystep.Revision)
}

// Balancer knows the work of the own box and learns that of all others, and what part the box
// has among them.
type Balancer interface {
	Snapshot() balance.Snapshot
	SetOthers(s balance.Snapshot)
	SetRole(r balance.Role)
}

// Node is one box's part in the gossip. Its exported fields are set before
// Serve.
type Node struct {
	Clock barleystep.Clock
	Box   barleystep.BoxID
	Hall  barleystep.HallID
	// Addr is the IP and port at which the other boxes reach this one, over UDP
	// and TCP.
	Addr string
	// Seeds are addresses of some boxes to begin with; they may be stale.
	Seeds     []string
	Catalogue barleystep.Catalogue
	// Topics are the topics of which boxes tell each other, in an order that all
	// share.
	Topics   []TopicFollower
	Balancer Balancer
	// Strength is how much this box can carry for others, in any unit that all boxes
	// share; the strongest collect.
	Strength uint32
	// Network carries the datagrams; nil is the operating system's.
	Network barleystep.Network
	Log     *log.Logger

	mu          sync.Mutex
	origin      time.Time
	incarnation uint64
	socket      barleystep.Socket
	members     map[barleystep.BoxID]*member
	sequence    uint64
	// sent holds the own snapshots that were sent lately, by sequence, to be
	// taken out of the sums that come back.
	sent    map[uint64]balance.Snapshot
	leaving bool
	ticks   int
	// collecting is set while this box is its hall's collector.
	collecting      bool
	collectingSince time.Time
	// met is when the first word of another box came.
	firstHeard time.Time
	// stepped is when the last tick came, and weakUntil until when this box holds
	// itself for weak.
	lastStep     time.Time
	penaltyUntil time.Time
	// askWidth is how many boxes are asked at a time for the collector.
	fanout int
	// turn counts the sums that were sent to the own hall.
	rotation int
}

const (
	// tick is the time between a box's datagrams: short against the time that a
	// request stays at a target, so that boxes rarely choose by old sums.
	tick = 50 * time.Millisecond
	// aliveFor is how long after its last datagram a box counts as alive, which
	// allows for some lost ones.
	aliveTimeout = 500 * time.Millisecond
	// snapshotLife is how long a box's or hall's last work counts.
	snapshotTTL = 1200 * time.Millisecond
	// sentKept is how many of the own snapshots are kept: those that may be in a
	// sum that is still on its way.
	maxSent = 64
	// datagramBytes bounds a datagram.
	maxDatagramBytes = 64 << 10
	// probeTicks is how many ticks pass between datagrams to boxes that are
	// silent, so that a healed partition is noticed.
	probeTicks = 20
	// seedTicks is how many ticks pass between questions to the seeds while no
	// collector is heard: 300 boxes that start at once ask each seed 1,500 times a
	// second together.
	seedTicks = 4
	// sumRoom is how many targets' work a collector sends to its hall in one tick, over
	// all boxes, some 210 kB: with more boxes or targets it sends its sums less often,
	// at longest every longestTurn ticks, so that neither its link nor its processor is
	// filled. In the model, news of a hall of 59 boxes is 130 ms old at the median; with
	// sums every five ticks it was 200 ms.
	maxSumEntries = 10_000
	maxSumTicks   = 5
	// heirs is how many boxes a collector names that would be the next ones. They get
	// its sums at every tick, so that they know soon and surely whether it lives.
	// namedInTurn is how many others it names each time, so that all are named within
	// seconds.
	successors      = 3
	namedInRotation = 3
	// namedFor is how long a box that was told of is taken to live without a word of
	// its own, as long as it leaves no question unanswered for answerWithin, some
	// times what an answer takes.
	namedTimeout  = 15 * time.Second
	answerTimeout = 250 * time.Millisecond
	// doubtAfter is how long after a sum a box asks others whether its collector
	// lives: five sums of a small hall, and one of the largest.
	sumTimeout = 250 * time.Millisecond
	// firstAsked is how many boxes are asked at first for the collector; every
	// widenTicks it is twice as many, so that a hall that lost most of its boxes has
	// a collector within two seconds.
	initialFanout = 2
	fanoutTicks   = 5
	// startPatience is how long a box that starts, or the first of a hall, waits for
	// word of a collector once it has heard anybody, and lonePatience how long while it
	// hears nobody, with up to loneSpread more that part the boxes: after all lost
	// their power the seeds may be stale, and the registry is read first. settleFor is
	// how long a box waits before it takes the role from a collector.
	startWait      = 300 * time.Millisecond
	isolatedWait   = 1500 * time.Millisecond
	isolatedJitter = time.Second
	takeoverWait   = 2 * time.Second
	// heldUp is the gap between ticks from which on a box counts as held up, and
	// weakFor how long it then leaves roles to others: machines that turn slow do so
	// for some seconds.
	stallThreshold = 300 * time.Millisecond
	stallPenalty   = 15 * time.Second
	// forgetAfter is how long a box may be silent before it is forgotten; its
	// record in the store is then removed too.
	forgetAfter = 5 * time.Minute
	// countedFor is how long a silent box still counts among the boxes: it may
	// be cut off from this one and not from targets.
	countTimeout = 30 * time.Second
)

const logPrefix = "gossip: "

// String names the node in the supervisor's lines.
func (n *Node) String() string { return "gossip of " + string(n.Box) }

// Serve takes part until ctx ends.
func (n *Node) Serve(ctx context.Context) (err error) {
	defer func() {
		if err != nil && ctx.Err() == nil {
			err = eris.Wrap(err, "gossip: serve")
		}
	}()
	addr, err := netip.ParseAddrPort(n.Addr)
	if err != nil {
		return err
	}
	var network barleystep.Network = UDP{}
	if n.Network != nil {
		network = n.Network
	}
	socket, err := network.Listen(addr)
	if err != nil {
		return err
	}
	n.initialize(socket)
	stop := context.AfterFunc(ctx, func() { _ = socket.Close() }) // This ends the reading below.
	defer stop()
	go n.registerLoop(ctx)
	go func() { _ = clock.Repeat(ctx, n.Clock, tick, n.step) }()
	return n.readDatagrams(ctx, socket)
}

func (n *Node) initialize(socket barleystep.Socket) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.socket = socket
	n.origin = n.Clock.Now()
	n.incarnation = rand.Uint64() | 1
	n.fanout = initialFanout
	n.sent = make(map[uint64]balance.Snapshot)
	if n.members == nil {
		n.members = make(map[barleystep.BoxID]*member)
	}
}

// Leave tells the others that this box stops.
func (n *Node) Leave() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.leaving = true
}

// Boxes returns how many boxes there are, this one included: those that were
// heard of lately, since a silent one may merely be cut off from here.
func (n *Node) BoxCount() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.boxCount(n.Clock.Now())
}

// HallBoxes returns how many boxes of the own hall live as far as is known, this
// one included.
func (n *Node) HallBoxCount() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	now, boxes := n.Clock.Now(), 1
	for _, m := range n.members {
		if m.hall == n.Hall && now.Sub(m.lastSeen()) < countTimeout {
			boxes++
		}
	}
	return boxes
}

// count returns the most boxes that the box itself, its collector or the
// collectors of all halls together know of.
func (n *Node) boxCount(now time.Time) int {
	known, reported, local := 1, 0, 1
	halls := make(map[barleystep.HallID]int)
	for _, m := range n.members {
		if now.Sub(m.lastSeen()) >= countTimeout {
			continue
		}
		known++
		if m.hall == n.Hall {
			local++
		}
		if now.Sub(m.allAt) < countTimeout {
			reported = max(reported, m.boxes)
		}
		if now.Sub(m.hallAt) < countTimeout {
			halls[m.hall] = max(halls[m.hall], m.hallBoxes)
		}
	}
	for _, boxes := range halls {
		local += boxes
	}
	return max(known, reported, local)
}

func (n *Node) readDatagrams(ctx context.Context, socket barleystep.Socket) error {
	buffer := make([]byte, maxDatagramBytes)
	for {
		size, from, err := socket.ReadFrom(buffer)
		if ctx.Err() != nil {
			return ctx.Err()
		}
		if err != nil {
			return err
		}
		var d datagram
		if err := proto.Unmarshal(buffer[:size], &d); err != nil {
			n.Log.Warn().Str("from", from.String()).Err(err).Msg(logPrefix + "A datagram cannot be read.")
			continue
		}
		n.receive(ctx, &d, from)
	}
}
