package member

import (
	"slices"
	"sort"
	"strconv"

	"github.com/barleystep/barleystep"
	"github.com/barleystep/barleystep/internal/place"
)

// ring returns all boxes that are not dead, including this one, in the order of the i-th ring.
func (s *State) ring(i int) []barleystep.BoxID {
	if s.ringOrders[i] == nil {
		s.ringOrders[i] = s.sortRing(i)
	}
	return s.ringOrders[i]
}

func (s *State) sortRing(i int) []barleystep.BoxID {
	type placed struct {
		id   barleystep.BoxID
		rank uint64
	}
	key := "ring" + strconv.Itoa(i)
	order := []placed{{s.self.Box, place.Rank(key, string(s.self.Box))}}
	for id, p := range s.peers {
		if p.Status != StatusDead {
			order = append(order, placed{id, place.Rank(key, string(id))})
		}
	}
	sort.Slice(order, func(i, j int) bool { return order[i].rank < order[j].rank })
	ids := make([]barleystep.BoxID, len(order))
	for i, p := range order {
		ids[i] = p.id
	}
	return ids
}

// invalidateRings drops the cached orders of all rings.
func (s *State) invalidateRings() { s.ringOrders = [ringCount][]barleystep.BoxID{} }

func (s *State) successors() []barleystep.BoxID   { return s.neighbours(1) }
func (s *State) predecessors() []barleystep.BoxID { return s.neighbours(-1) }

// neighbours returns the box that is step positions away in each ring, without duplicates and
// without this box.
func (s *State) neighbours(step int) []barleystep.BoxID {
	var ids []barleystep.BoxID
	for i := range ringCount {
		order := s.ring(i)
		at := slices.Index(order, s.self.Box)
		next := order[(at+step+len(order))%len(order)]
		if next != s.self.Box && !slices.Contains(ids, next) {
			ids = append(ids, next)
		}
	}
	return ids
}
