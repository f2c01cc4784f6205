// Package gossip exchanges state between boxes: the work that all of them have given to
// targets, which targets cannot be reached, and up to which revision each box has read the
// store, with the age of its confirmation that it has missed no change. Boxes that do not read
// the store, or whose calls it rejects, rely on that confirmation.
//
// Each box reports to the collector of its hall, the strongest live box of the hall. The
// collector sends the sum back to its hall and to the collectors of the other halls, so the
// traffic of a box does not grow with the number of boxes in other halls. The first collector
// by rank is the lead of all halls.
package gossip

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"time"

	"github.com/phuslu/log"
	"github.com/rotisserie/eris"
	"google.golang.org/protobuf/proto"

	"github.com/barleystep/barleystep"
	"github.com/barleystep/barleystep/internal/balance"
	"github.com/barleystep/barleystep/internal/clock"
	"github.com/barleystep/barleystep/internal/mutex"
)

// TopicFollower is the state of one topic of the store on this box.
type TopicFollower interface {
	// State returns the revision of the last change that was read, zero without one, and the
	// age of the confirmation that no change was missed, negative without one.
	State() (changed barleystep.Revision, age time.Duration)
	// Confirm records another box's confirmation: a box whose last change has the revision
	// changed had missed none before at.
	Confirm(at time.Time, changed barleystep.Revision)
	// Offer reports that the box at addr has read changes up to the revision changed.
	Offer(ctx context.Context, addr string, changed barleystep.Revision)
}

// Balancer provides the work of this box, and receives the work of all other boxes, this box's
// role among them, and which boxes have ended. It is called under the node's lock, so it must not
// call the node synchronously.
type Balancer interface {
	Snapshot() balance.Snapshot
	SetOthers(s balance.Snapshot)
	SetRole(r balance.Role)
	DropPeer(box barleystep.BoxID)
}

// Node runs the gossip protocol on one box. Its exported fields are set before Serve.
type Node struct {
	Clock barleystep.Clock
	Box   barleystep.BoxID
	Hall  barleystep.HallID
	// Addr is the IP and port at which other boxes reach this one, over UDP and TCP.
	Addr string
	// Seeds are addresses of some boxes to contact at start; they may be stale.
	Seeds     []string
	Catalogue barleystep.Catalogue
	// Topics are the topics whose state is exchanged, in the same order on all boxes.
	Topics   []TopicFollower
	Balancer Balancer
	// CutOff reports whether this box reaches no target itself; nil means that it does. It is called
	// under the node's lock.
	CutOff func() bool
	// Strength is this box's capacity to do work for others, in any unit that all boxes share;
	// the strongest boxes become collectors.
	Strength uint32
	// Network carries the datagrams; nil uses the operating system's UDP.
	Network barleystep.Network
	Log     *log.Logger

	mu          mutex.Mutex
	origin      time.Time
	incarnation uint64
	socket      barleystep.Socket
	members     map[barleystep.BoxID]*member
	sequence    uint64
	// sent holds this box's recent snapshots by sequence number, to subtract them from the sums
	// that collectors return.
	sent    map[uint64]balance.Snapshot
	leaving bool
	ticks   int
	// collecting is set while this box is the collector of its hall.
	collecting      bool
	collectingSince time.Time
	// firstHeard is when the first datagram of another box arrived.
	firstHeard time.Time
	// lastStep is when the last tick ran. Until penaltyUntil this box reports strength 0
	// because it stalled.
	lastStep     time.Time
	penaltyUntil time.Time
	// fanout is how many boxes are queried at a time for the collector.
	fanout int
	// rotation counts the sums that were sent to the own hall.
	rotation int
	// oversized counts the datagrams that were too large to be sent.
	oversized int
}

const (
	// tick is the interval between a box's datagrams. It is short compared with the time that a
	// request stays at a target, so that boxes rarely decide on stale sums.
	tick = 50 * time.Millisecond
	// aliveTimeout is how long after its last datagram a box counts as alive; it allows for
	// some lost datagrams.
	aliveTimeout = 500 * time.Millisecond
	// snapshotTTL is how long the last snapshot of a box or hall is valid.
	snapshotTTL = 1200 * time.Millisecond
	// maxSent bounds the own snapshots that are kept: those that may be part of a sum still in
	// flight.
	maxSent = 64
	// maxDatagramBytes is the size of the receive buffer, which bounds a datagram.
	maxDatagramBytes = 64 << 10
	// probeTicks is the number of ticks between datagrams to silent boxes, which detect that a
	// partition has healed.
	probeTicks = 20
	// seedTicks is the number of ticks between queries to the seeds while no collector is
	// heard. 300 boxes that start together query each seed 1,500 times a second in total.
	seedTicks = 4
	// successors is how many of the next candidates a collector names in its sums. They receive
	// the sums at every tick, so that they detect its failure quickly and reliably.
	// namedInRotation is the least number of other boxes that are named each time.
	successors      = 3
	namedInRotation = 3
	// namedTimeout is how long a box that others named counts as alive without a datagram of
	// its own, provided that it leaves no query unanswered for answerTimeout, which is several
	// times the usual response time.
	namedTimeout  = 15 * time.Second
	answerTimeout = 250 * time.Millisecond
	// sumTimeout is how long after a collector's last sum a box queries others about it: five
	// sum intervals of a small hall, one of the largest.
	sumTimeout = 250 * time.Millisecond
	// initialFanout is how many boxes are queried for the collector at first. The number
	// doubles every fanoutTicks ticks, so that a hall that lost most of its boxes has a
	// collector within two seconds.
	initialFanout = 2
	fanoutTicks   = 5
	// startWait is how long a box that starts, or the first box of a hall, waits for a
	// collector once it has heard any box; isolatedWait is how long it waits while it hears
	// none, plus up to isolatedJitter by box. After a power loss of all boxes the seeds may be
	// stale, and the registry has to be read first. takeoverWait is how long after its start a
	// box waits before it takes the role over from another collector.
	startWait      = 300 * time.Millisecond
	isolatedWait   = 1500 * time.Millisecond
	isolatedJitter = time.Second
	takeoverWait   = 2 * time.Second
	// stallThreshold is the gap between ticks above which a box counts as stalled, and
	// stallPenalty how long it then reports strength 0 and leaves roles to others: machines
	// that slow down do so for some seconds.
	stallThreshold = 300 * time.Millisecond
	stallPenalty   = 15 * time.Second
	// forgetAfter is how long a box may be silent before it is removed from the members, and
	// its record from the store.
	forgetAfter = 5 * time.Minute
	// countTimeout is how long a silent box still counts as a member: it may be cut off from
	// this box but not from targets.
	countTimeout = 30 * time.Second
)

const logPrefix = "gossip: "

// String returns the node's name in the supervisor's log lines.
func (n *Node) String() string { return "gossip of " + string(n.Box) }

// Serve runs the node until ctx ends.
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
	stop := context.AfterFunc(ctx, func() { _ = socket.Close() }) // Unblocks readDatagrams.
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

// Leave announces to the other boxes that this box shuts down.
func (n *Node) Leave() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.leaving = true
}

// BoxCount returns the number of boxes, this one included. Boxes that have been silent for less
// than countTimeout count, since they may merely be cut off from this one.
func (n *Node) BoxCount() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.boxCount(n.Clock.Now())
}

// HallBoxCount returns the number of boxes of the own hall that were seen within countTimeout,
// this one included.
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

// boxCount returns the largest of three counts: the boxes that this one has seen, those that
// collectors of its hall report, and those of all halls' collectors together.
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
			n.Log.Warn().Str("from", from.String()).Err(err).Msg(logPrefix + "Received a malformed datagram.")
			continue
		}
		n.receive(ctx, &d, from)
	}
}
