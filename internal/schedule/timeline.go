// Package schedule plans when the engines of a service prefill the parts of long prompts.
package schedule

import (
	"slices"
	"time"
)

// Timeline is the plan of one engine. Its times are offsets from the moment of planning. The zero
// value is an idle engine.
type Timeline struct {
	// free is when the engine has prefilled the parts that it was given.
	free time.Duration
	// planned are the planned parts after that, in order and disjoint.
	planned []interval
}

// interval is the time from start to end.
type interval struct {
	start time.Duration
	end   time.Duration
}

// NewTimeline returns the timeline of an engine that prefills for the given time.
func NewTimeline(backlog time.Duration) *Timeline { return &Timeline{free: max(backlog, 0)} }

// Free returns when the engine has prefilled the parts that it was given.
func (t *Timeline) Free() time.Duration { return t.free }

// End returns when the last part, given or planned, is prefilled.
func (t *Timeline) End() time.Duration {
	if n := len(t.planned); n > 0 {
		return t.planned[n-1].end
	}
	return t.free
}

// HasPlanned reports whether a part is planned.
func (t *Timeline) HasPlanned() bool { return len(t.planned) > 0 }

// Earliest returns the earliest time, not before from, at which the engine has a gap of the given
// length.
func (t *Timeline) Earliest(from, length time.Duration) time.Duration {
	at := max(from, t.free)
	for _, p := range t.planned {
		if at+length <= p.start {
			break
		}
		at = max(at, p.end)
	}
	return at
}

// Reserve plans a part in a gap.
func (t *Timeline) Reserve(start, length time.Duration) {
	i, _ := slices.BinarySearchFunc(t.planned, start, func(p interval, at time.Duration) int {
		return int(p.start - at)
	})
	t.planned = slices.Insert(t.planned, i, interval{start, start + length})
}

// Part is a part of a prompt at one engine.
type Part struct {
	Timeline *Timeline
	// Length is how long the engine is busy with the part.
	Length time.Duration
}

// Earliest returns the earliest time at which all parts may start together.
func Earliest(parts []Part) time.Duration {
	start := time.Duration(0)
	for {
		at := start
		for _, p := range parts {
			at = p.Timeline.Earliest(at, p.Length)
		}
		if at == start {
			return start
		}
		start = at
	}
}
