package lab

// schedule tracks how much of the engines' time is taken, by the windows in which the work may be
// done. Work with windows is feasible if, for each interval, the work whose windows lie inside it
// does not exceed the engines' time in it.
type schedule struct {
	slots    int
	capacity float64 // capacity is the engines' time in one slot, in seconds.
	// taken is the work whose windows lie inside an interval, by the interval's first and last
	// slot.
	taken [][]float64
}

func newSchedule(slots int, capacity float64) *schedule {
	s := &schedule{slots: slots, capacity: capacity, taken: make([][]float64, slots)}
	for i := range s.taken {
		s.taken[i] = make([]float64, slots)
	}
	return s
}

// fit schedules as much of the work as is feasible between two slots, both included, and returns
// that amount in seconds.
func (s *schedule) fit(from, until int, work float64) float64 {
	until = min(until, s.slots-1)
	for first := 0; first <= from; first++ {
		for last := until; last < s.slots; last++ {
			free := float64(last-first+1)*s.capacity - s.taken[first][last]
			work = min(work, free)
		}
	}
	work = max(work, 0)
	for first := 0; first <= from; first++ {
		for last := until; last < s.slots; last++ {
			s.taken[first][last] += work
		}
	}
	return work
}
