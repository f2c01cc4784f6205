package soak

import (
	"slices"
	"time"

	"github.com/barleystep/barleystep/platform/platformtest"
)

const (
	// mostEnded is how many targets may end under a request, one of them while it ran alone,
	// before it is sent to no other.
	mostEnded = 3
	// mostLate is how many more may end after that: where all three ended beside other
	// requests, one that runs alone shows that it was this one.
	mostLate = 1
	// deadlyBound is within what time a box that lives and runs has heard of what ended under
	// a request, and knows how it stands; it is wide, since the machine may be busy.
	deadlyBound = 2 * time.Second
)

// deadly checks that a request under which targets have ended is sent to no other by boxes
// that have lived since, or have run again for long enough.
func (c *check) deadly(calls map[string]*Call) {
	var ends []platformtest.Arrival
	for _, a := range c.history.arrivals {
		if a.Body == platformtest.DeadlyBody && a.Run > 0 {
			ends = append(ends, a)
		}
	}
	if len(ends) <= mostEnded {
		return
	}
	slices.SortFunc(ends, func(a, b platformtest.Arrival) int { return a.At.Compare(b.At) })
	third, late := ends[mostEnded-1].At, 0
	for _, a := range ends[mostEnded:] {
		x := calls[a.Request]
		if x == nil || !c.livedSince(x, third) || !x.Started.After(c.heard(third, x)) {
			continue
		}
		if late++; late > mostLate {
			c.find("deadly requests", a.Request, "%s ended, sent %s after three had", a.Target, x.Started.Sub(third))
		}
	}
}

// livedSince reports whether the box's life that took the call had begun by the given time.
func (c *check) livedSince(x *Call, since time.Time) bool {
	if x.Life <= 1 {
		return true
	}
	before := lifeOf(x.Box, x.Life-1)
	for _, ended := range []map[string]time.Time{c.history.killed, c.history.stopping} {
		if at, ok := ended[before]; ok && at.Before(since) {
			return true
		}
	}
	return false
}

// heard returns when the box that took the call has heard at the latest of what happened at the
// given time.
func (c *check) heard(since time.Time, x *Call) time.Time {
	for _, f := range c.history.frozen[lifeOf(x.Box, x.Life)] {
		switch {
		case f.to.IsZero():
			return x.Ended
		case f.to.After(since) && f.from.Before(x.Started):
			since = f.to
		}
	}
	return since.Add(deadlyBound)
}
