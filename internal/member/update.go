package member

import (
	"sort"

	"github.com/barleystep/barleystep"
)

// Status is what is thought of a box.
type Status uint8

// The states of a box. A later one outweighs an earlier one that is said of the
// same incarnation and number.
const (
	// StatusUnheard is a listed box from which nothing was heard yet.
	StatusUnheard Status = iota
	// StatusAlive is a box that sends heartbeats.
	StatusAlive
	// StatusLeaving is a box that has announced its stop.
	StatusLeaving
	// StatusSuspect is a box whose heartbeats one of its watchers misses.
	StatusSuspect
	// StatusDead is a suspect that nobody has heard in time.
	StatusDead
)

// String returns the name of the status.
func (s Status) String() string {
	return [...]string{"unheard", "alive", "leaving", "suspect", "dead"}[s]
}

// Update is what a heartbeat says of some box.
type Update struct {
	Box         barleystep.BoxID
	Addr        string
	Incarnation barleystep.Incarnation
	// Number grows whenever the box contradicts an update about itself.
	Sequence uint64
	Status   Status
}

// Beat is one heartbeat.
type Heartbeat struct {
	From    Update // From is the sender's word on itself.
	Hall    barleystep.HallID
	Updates []Update
}

// Message is a heartbeat and where it goes.
type Message struct {
	To        barleystep.BoxID
	Addr      string
	Heartbeat Heartbeat
}

// updates returns the news that was passed on least often so far. Each change
// is told a number of times that grows with the logarithm of the hall.
func (s *State) updates() []Update {
	limit := 4 * bitLength(len(s.peers)+1)
	var fresh []*peer
	for _, p := range s.peers {
		if p.Status != StatusUnheard && p.transmissions < limit {
			fresh = append(fresh, p)
		}
	}
	sort.Slice(fresh, func(i, j int) bool {
		if fresh[i].transmissions != fresh[j].transmissions {
			return fresh[i].transmissions < fresh[j].transmissions
		}
		return fresh[i].Box < fresh[j].Box
	})
	if len(fresh) > maxUpdatesPerHeartbeat {
		fresh = fresh[:maxUpdatesPerHeartbeat]
	}
	list := make([]Update, len(fresh))
	for i, p := range fresh {
		p.transmissions++
		list[i] = p.Update
	}
	return list
}

func bitLength(n int) int {
	bits := 0
	for ; n > 0; n /= 2 {
		bits++
	}
	return bits
}
