package gossip

import (
	"cmp"
	"net/netip"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/barleystep/barleystep"
	"github.com/barleystep/barleystep/internal/balance"
)

// member is what a box knows of another one.
type member struct {
	box         barleystep.BoxID
	hall        barleystep.HallID
	addr        netip.AddrPort
	strength    uint32
	incarnation uint64
	// former are the incarnations before, the last of which are kept.
	pastIncarnations []uint64
	// heard is when the last word of it came, named when a box that had heard it
	// last said so, and added when it became known.
	lastHeard time.Time
	lastNamed time.Time
	addedAt   time.Time
	// asked is since when it was asked for a word in vain, zero if it was not.
	unansweredSince time.Time
	alive           bool // alive is set while it is heard of directly.
	leaving         bool
	// peerSent and gotAt are its clock and ours at its last datagram.
	peerSent   int64
	receivedAt time.Time
	sequence   uint64
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
	// summed and summedHall are when it last showed itself to be a collector, to its
	// hall and to others.
	sumAt     time.Time
	hallSumAt time.Time
}

// formerKept is how many earlier lives of a box are known: datagrams come seconds late at most,
// in which no box starts as often.
const maxPastIncarnations = 4

// last returns when the box was last known to live.
func (m *member) lastSeen() time.Time {
	last := m.lastHeard
	if m.lastNamed.After(last) {
		last = m.lastNamed
	}
	if last.IsZero() {
		return m.addedAt
	}
	return last
}

// presumed reports whether the box is taken to live: it was heard a moment ago, or
// it was told of since and has not left a question unanswered.
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

// rank orders the boxes that may become collector or lead, in the same way on all
// of them: the strongest first.
type rank struct {
	strength uint32
	hash     uint64
}

func rankOf(box barleystep.BoxID, strength uint32) rank {
	return rank{strength, xxhash.Sum64String(string(box))}
}

func (m *member) rank() rank { return rankOf(m.box, m.strength) }

// compare returns a number below zero if r comes before o.
func (r rank) compare(o rank) int {
	if c := cmp.Compare(o.strength, r.strength); c != 0 {
		return c
	}
	return cmp.Compare(r.hash, o.hash)
}

func (r rank) before(o rank) bool { return r.compare(o) < 0 }

// byRank compares members for sorting.
func compareRank(a, b *member) int { return a.rank().compare(b.rank()) }
