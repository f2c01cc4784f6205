// Package gossip spreads between boxes what none of them could know alone: the
// work that all of them have given to targets, which targets cannot be reached,
// and how far boxes have read the store, with the age of their proof that they
// have missed nothing. Boxes that do not read the store, or that it turns away, go
// by that proof.
//
// Each box reports to the collector of its hall, which is the first of the
// hall's boxes that is alive. The collector sends the sum back to its hall and
// to the collectors of the other halls, so that what a box sends and receives
// does not grow with the number of boxes in other halls.
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
	gossipv1 "github.com/barleystep/barleystep/api/gossip/v1"
	"github.com/barleystep/barleystep/internal/balance"
	"github.com/barleystep/barleystep/internal/clock"
)

// Topic is what a box has read of one topic of the store.
type Topic interface {
	// State returns the revision of the last change that was read, zero if there
	// is none, and the age of the proof that none was missed, negative without one.
	State() (changed barleystep.Revision, age time.Duration)
	// Vouch takes another box's proof.
	Vouch(at time.Time, changed barleystep.Revision)
	// Offer tells where a change can be had.
	Offer(ctx context.Context, addr string, changed barleystep.Revision)
}

// Balancer knows the work of the own box and learns that of all others.
type Balancer interface {
	Snapshot() balance.Snapshot
	SetOthers(s balance.Snapshot)
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
	Topics   []Topic
	Balancer Balancer
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
	// turn counts the sums that were sent to the own hall.
	turn int
}

const (
	// tick is the time between a box's datagrams: short against the time that a
	// request stays at a target, so that boxes rarely choose by old sums.
	tick = 50 * time.Millisecond
	// aliveFor is how long after its last datagram a box counts as alive, which
	// allows for some lost ones.
	aliveFor = 500 * time.Millisecond
	// snapshotLife is how long a box's or hall's last work counts.
	snapshotLife = 1200 * time.Millisecond
	// sentKept is how many of the own snapshots are kept: those that may be in a
	// sum that is still on its way.
	sentKept = 64
	// datagramBytes bounds a datagram.
	datagramBytes = 64 << 10
	// probeTicks is how many ticks pass between datagrams to boxes that are
	// silent, so that a healed partition is noticed.
	probeTicks = 20
	// seedTicks is the same for seeds, once some box is alive: a seed that is none
	// of the boxes known here is rarely of use then.
	seedTicks = 400
	// fanOut is how many boxes of its hall a collector serves in one tick: with more
	// boxes it sends its sums less often, at longest every longestTurn ticks, so
	// that neither its link nor its processor is filled.
	fanOut      = 16
	longestTurn = 5
	// heirs is how many boxes a collector names that would be the next ones, and
	// namedInTurn how many others each time, so that all are named within seconds.
	heirs       = 3
	namedInTurn = 3
	// forgetAfter is how long a box may be silent before it is forgotten; its
	// record in the store is then removed too.
	forgetAfter = 5 * time.Minute
	// countedFor is how long a silent box still counts among the boxes: it may
	// be cut off from this one and not from targets.
	countedFor = 30 * time.Second
)

const logPrefix = "gossip: "

// member is what a box knows of another one.
type member struct {
	box         barleystep.BoxID
	hall        barleystep.HallID
	addr        netip.AddrPort
	incarnation uint64
	// heard is when the last word of it came, named when a collector last said that
	// it lives, and added when it became known.
	heard   time.Time
	named   time.Time
	added   time.Time
	alive   bool // alive is set while it is heard of directly.
	leaving bool
	// peerSent and gotAt are its clock and ours at its last datagram.
	peerSent int64
	gotAt    time.Time
	sequence uint64
	// own is the box's own work, from its datagram ownSequence.
	own         balance.Snapshot
	ownAt       time.Time
	ownSequence uint64
	// hallWork is the work of its hall, which has hallBoxes boxes, and allWork
	// that of all halls but for this box's own, if it is a collector; boxes is how
	// many boxes it counts in all.
	hallWork  balance.Snapshot
	hallAt    time.Time
	hallBoxes int
	allWork   balance.Snapshot
	allAt     time.Time
	boxes     int
	// leadAddr is the box that it holds for the lead.
	leadAddr string
}

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
	n.begin(socket)
	stop := context.AfterFunc(ctx, func() { _ = socket.Close() }) // This ends the reading below.
	defer stop()
	go n.announce(ctx)
	go func() { _ = clock.Repeat(ctx, n.Clock, tick, n.step) }()
	return n.read(ctx, socket)
}

func (n *Node) begin(socket barleystep.Socket) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.socket = socket
	n.origin = n.Clock.Now()
	n.incarnation = rand.Uint64() | 1
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
func (n *Node) Boxes() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.count(n.Clock.Now())
}

// count returns the most boxes that the box itself, its collector or the
// collectors of all halls together know of.
func (n *Node) count(now time.Time) int {
	known, told, local := 1, 0, 1
	halls := make(map[barleystep.HallID]int)
	for _, m := range n.members {
		if now.Sub(m.last()) >= countedFor {
			continue
		}
		known++
		if m.hall == n.Hall {
			local++
		}
		if now.Sub(m.allAt) < countedFor {
			told = max(told, m.boxes)
		}
		if now.Sub(m.hallAt) < countedFor {
			halls[m.hall] = max(halls[m.hall], m.hallBoxes)
		}
	}
	for _, boxes := range halls {
		local += boxes
	}
	return max(known, told, local)
}

// last returns when the box was last known to live.
func (m *member) last() time.Time {
	last := m.heard
	if m.named.After(last) {
		last = m.named
	}
	if last.IsZero() {
		return m.added
	}
	return last
}

func (n *Node) read(ctx context.Context, socket barleystep.Socket) error {
	buffer := make([]byte, datagramBytes)
	for {
		size, from, err := socket.ReadFrom(buffer)
		if ctx.Err() != nil {
			return ctx.Err()
		}
		if err != nil {
			return err
		}
		var d gossipv1.Datagram
		if err := proto.Unmarshal(buffer[:size], &d); err != nil {
			n.Log.Warn().Str("from", from.String()).Err(err).Msg(logPrefix + "A datagram cannot be read.")
			continue
		}
		n.receive(ctx, &d, from)
	}
}
