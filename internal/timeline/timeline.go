// Package timeline simulates time: functions run one after another, each at its scheduled time.
// Measurements over simulated engines run on it, so that the same seed gives the same results.
package timeline

import (
	"container/heap"
	"time"
)

// Timeline is a simulated clock with scheduled events. Its zero value stands at the start. It is
// used by one goroutine.
type Timeline struct {
	now      time.Duration
	events   eventHeap
	sequence int
}

// epoch is the time at which every run starts.
var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// At returns the time d after the start.
func At(d time.Duration) time.Time { return epoch.Add(d) }

// Elapsed returns the time since the start.
func (t *Timeline) Elapsed() time.Duration { return t.now }

// Now returns the current simulated time as a time.Time.
func (t *Timeline) Now() time.Time { return At(t.now) }

// After schedules f to run once d has passed.
func (t *Timeline) After(d time.Duration, f func()) {
	t.sequence++
	heap.Push(&t.events, event{at: t.now + d, sequence: t.sequence, run: f})
}

// Every schedules f to run repeatedly at intervals of d.
func (t *Timeline) Every(d time.Duration, f func()) {
	t.After(d, func() {
		f()
		t.Every(d, f)
	})
}

// RunUntil runs the events that are due up to the given time.
func (t *Timeline) RunUntil(until time.Duration) {
	for len(t.events) > 0 && t.events[0].at <= until {
		e := heap.Pop(&t.events).(event)
		t.now = e.at
		e.run()
	}
}

type event struct {
	at       time.Duration
	sequence int
	run      func()
}

type eventHeap []event

// Len returns the number of events.
func (h eventHeap) Len() int { return len(h) }

// Less orders events by time, and events at the same time by when they were scheduled.
func (h eventHeap) Less(i, j int) bool {
	if h[i].at != h[j].at {
		return h[i].at < h[j].at
	}
	return h[i].sequence < h[j].sequence
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
