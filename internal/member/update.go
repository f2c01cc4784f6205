package member

import (
	"sort"

	"github.com/barleystep/barleystep"
)

// Status is the believed state of a box.
type Status uint8

// The states of a box. Of two updates with the same incarnation and sequence, the one with the
// later status wins.
const (
	// StatusUnheard is a listed box about which no update has arrived yet.
	StatusUnheard Status = iota
	// StatusAlive is a box that sends heartbeats.
	StatusAlive
	// StatusLeaving is a box that has announced its planned stop.
	StatusLeaving
	// StatusSuspect is a box whose heartbeats one of its monitors does not receive.
	StatusSuspect
	// StatusDead is a suspect that did not refute the suspicion in time.
	StatusDead
)

// String returns the name of the status.
func (s Status) String() string {
	return [...]string{"unheard", "alive", "leaving", "suspect", "dead"}[s]
}

// Update is the state of one box as heartbeats carry it.
type Update struct {
	Box         barleystep.BoxID
	Addr        string
	Incarnation barleystep.Incarnation
	// Sequence grows each time the box refutes an update about itself.
	Sequence uint64
	Status   Status
}

// Heartbeat is one heartbeat of a box, with updates about others.
type Heartbeat struct {
	From    Update // From is the sender's update about itself.
	Hall    barleystep.HallID
	Updates []Update
}

// Message is a heartbeat and its destination.
type Message struct {
	To        barleystep.BoxID
	Addr      string
	Heartbeat Heartbeat
}

// updates returns the updates that were sent least often so far, at most
// maxUpdatesPerHeartbeat. Each update is sent a number of times that grows with the logarithm of
// the number of boxes.
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
