package gossip

import (
	"cmp"
	"net/netip"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/barleystep/barleystep"
	"github.com/barleystep/barleystep/internal/balance"
)

// member is the state that a box keeps of another box.
type member struct {
	box         barleystep.BoxID
	hall        barleystep.HallID
	addr        netip.AddrPort
	strength    uint32
	incarnation uint64
	// pastIncarnations are the most recent earlier incarnations, the oldest first.
	pastIncarnations []uint64
	// lastHeard is when its last datagram arrived, lastNamed when another box last listed it as
	// recently heard, and addedAt when it became known.
	lastHeard time.Time
	lastNamed time.Time
	addedAt   time.Time
	// unansweredSince is when the first query without an answer was sent, zero if there is
	// none.
	unansweredSince time.Time
	takesParts      bool // takesParts is set if it takes sums in parts.
	alive           bool // alive is set while its datagrams arrive.
	leaving         bool
	// cutOff is set if it reaches no target itself. namedLeaving is set if another box has last
	// named it as leaving.
	cutOff       bool
	namedLeaving bool
	// peerSent is the send time of its last datagram on its clock, and receivedAt the arrival
	// on ours.
	peerSent   int64
	receivedAt time.Time
	sequence   uint64
	// own is the box's own work, reported by its datagram ownSequence.
	own         balance.Snapshot
	ownAt       time.Time
	ownSequence uint64
	// hallWork is the work of its hall, which has hallBoxes boxes, and allWork that of all
	// halls without the work of the receiving box. Both are set if it is a collector. boxes is
	// how many boxes it counts in all halls.
	hallWork  balance.Snapshot
	hallAt    time.Time
	hallBoxes int
	allWork   balance.Snapshot
	allAt     time.Time
	boxes     int
	// leadAddr is the address of the box that it regards as the lead.
	leadAddr string
	// sumAt is when its last total arrived as a collector of its hall, hallSumAt when its last
	// sum for other halls did.
	sumAt     time.Time
	hallSumAt time.Time
	// sumsSince is when the first of its latest uninterrupted sums for other halls arrived.
	sumsSince time.Time
}

// maxPastIncarnations bounds the earlier incarnations that are remembered of a box. Datagrams
// are delayed by seconds at most, and no box restarts more often than this within that time.
const maxPastIncarnations = 4

// lastSeen returns when the box was last known to be alive.
func (m *member) lastSeen() time.Time {
	lastSeen := m.lastHeard
	if m.lastNamed.After(lastSeen) {
		lastSeen = m.lastNamed
	}
	if lastSeen.IsZero() {
		return m.addedAt
	}
	return lastSeen
}

// presumedAlive reports whether the box counts as alive: it was heard within aliveTimeout, or
// it was named within namedTimeout and since it was last heard, and has left no query
// unanswered for answerTimeout. A box that was neither heard nor named counts as named when it
// was added.
func (m *member) presumedAlive(now time.Time) bool {
	if now.Sub(m.lastHeard) <= aliveTimeout {
		return true
	}
	named := m.lastNamed
	if m.lastHeard.IsZero() && named.IsZero() {
		named = m.addedAt
	}
	if named.Before(m.lastHeard) || now.Sub(named) > namedTimeout {
		return false
	}
	return m.unansweredSince.IsZero() || now.Sub(m.unansweredSince) <= answerTimeout
}

// rank orders the candidates for collector and lead identically on all boxes: the highest
// strength first, ties broken by the hash of the box's id.
type rank struct {
	strength uint32
	hash     uint64
}

func rankOf(box barleystep.BoxID, strength uint32) rank {
	return rank{strength, xxhash.Sum64String(string(box))}
}

func (m *member) rank() rank { return rankOf(m.box, m.strength) }

// compare returns a negative number if r ranks before o.
func (r rank) compare(o rank) int {
	if c := cmp.Compare(o.strength, r.strength); c != 0 {
		return c
	}
	return cmp.Compare(r.hash, o.hash)
}

func (r rank) before(o rank) bool { return r.compare(o) < 0 }

// compareRank compares members by rank for sorting.
func compareRank(a, b *member) int { return a.rank().compare(b.rank()) }
