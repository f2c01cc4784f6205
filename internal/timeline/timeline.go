package trial

import (
	"container/heap"
	"time"
)

// sim is simulated time: functions that run one after the other, each at its
// time.
type sim struct {
	now    time.Duration
	events eventHeap
	serial int
}

type event struct {
	at     time.Duration
	serial int
	run    func()
}

// epoch is the time at which every run begins.
var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// clock returns the present time as the decision packages take it.
func (s *sim) clock() time.Time { return epoch.Add(s.now) }

// after runs f once d has passed.
func (s *sim) after(d time.Duration, f func()) {
	s.serial++
	heap.Push(&s.events, event{at: s.now + d, serial: s.serial, run: f})
}

// every runs f at intervals from now on.
func (s *sim) every(d time.Duration, f func()) {
	s.after(d, func() {
		f()
		s.every(d, f)
	})
}

// run runs events until the given time.
func (s *sim) run(until time.Duration) {
	for len(s.events) > 0 && s.events[0].at <= until {
		e := heap.Pop(&s.events).(event)
		s.now = e.at
		e.run()
	}
}

type eventHeap []event

// Len returns the number of events.
func (h eventHeap) Len() int { return len(h) }

// Less orders events by time, and by when they were made where that is equal.
func (h eventHeap) Less(i, j int) bool {
	if h[i].at != h[j].at {
		return h[i].at < h[j].at
	}
	return h[i].serial < h[j].serial
}

// Swap exchanges two events.
func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push appends an event.
func (h *eventHeap) Push(x any) { *h = append(*h, x.(event)) }

// Pop removes the last event.
func (h *eventHeap) Pop() any {
	old := *h
	e := old[len(old)-1]
	old[len(old)-1] = event{}
	*h = old[:len(old)-1]
	return e
}
