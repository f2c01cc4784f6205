package soak

import (
	"slices"
	"time"

	"github.com/barleystep/barleystep/platform/platformtest"
)

const (
	// mostEnded is how many targets may end under a request, one of them while it ran alone,
	// before it is sent to no other.
	maxTargetExits = 3
	// mostLate is how many more may end after that: where all three ended beside other
	// requests, one that runs alone shows that it was this one.
	maxLateExits = 1
	// deadlyBound is within what time a box that lives and runs has heard of what ended under
	// a request, and knows how it stands; it is wide, since the machine may be busy.
	deadlyBound = 2 * time.Second
)

// deadly checks that a request under which targets have ended is sent to no other by boxes
// that have lived since, or have run again for long enough.
func (c *check) checkDeadly(calls map[string]*Call) {
	var ends []platformtest.Arrival
	for _, a := range c.history.arrivals {
		if a.Body == platformtest.CrashBody && a.Run > 0 {
			ends = append(ends, a)
		}
	}
	slices.SortFunc(ends, func(a, b platformtest.Arrival) int { return a.At.Compare(b.At) })
	for _, at := range c.massKills() {
		from, _ := slices.BinarySearchFunc(ends, at.Add(massKillWindow), func(a platformtest.Arrival, t time.Time) int { return a.At.Compare(t) })
		c.checkLateExits(ends[:from], calls)
		ends = ends[from:]
	}
	c.checkLateExits(ends, calls)
}

// lateEnds checks ends of targets between which the boxes were not all killed at once: what they
// know of fewer than three is in their memory only.
func (c *check) checkLateExits(ends []platformtest.Arrival, calls map[string]*Call) {
	if len(ends) <= maxTargetExits {
		return
	}
	third, late := ends[maxTargetExits-1].At, 0
	for _, a := range ends[maxTargetExits:] {
		x := calls[a.Request]
		if x == nil || !c.startedBefore(x, third) || !x.Started.After(c.informedBy(third, x)) {
			continue
		}
		if late++; late > maxLateExits {
			c.addViolation("deadly requests", a.Request, "%s ended, sent %s after three had", a.Target, x.Started.Sub(third))
		}
	}
}

// atOnce is within what time all boxes end that are killed at once.
const massKillWindow = 500 * time.Millisecond

// wiped returns when all boxes were killed at once, in order.
func (c *check) massKills() (list []time.Time) {
	killed := make(map[string][]time.Time)
	for _, x := range c.history.calls {
		times := killed[x.Box]
		if at, ok := c.history.killed[incarnationID(x.Box, x.Incarnation)]; ok && !slices.Contains(times, at) {
			times = append(times, at)
		}
		killed[x.Box] = times // A box that was never killed counts too.
	}
	for _, times := range killed {
		for _, at := range times {
			if c.allKilledAt(killed, at) {
				list = append(list, at)
			}
		}
	}
	slices.SortFunc(list, time.Time.Compare)
	return list
}

// allKilled reports whether a life of each box was killed about then.
func (c *check) allKilledAt(killed map[string][]time.Time, at time.Time) bool {
	for _, times := range killed {
		if !slices.ContainsFunc(times, func(t time.Time) bool { return t.Sub(at).Abs() <= massKillWindow }) {
			return false
		}
	}
	return true
}

// livedSince reports whether the box's life that took the call had begun by the given time.
func (c *check) startedBefore(x *Call, since time.Time) bool {
	if x.Incarnation <= 1 {
		return true
	}
	before := incarnationID(x.Box, x.Incarnation-1)
	for _, ended := range []map[string]time.Time{c.history.killed, c.history.stopping} {
		if at, ok := ended[before]; ok && at.Before(since) {
			return true
		}
	}
	return false
}

// heard returns when the box that took the call has heard at the latest of what happened at the
// given time.
func (c *check) informedBy(since time.Time, x *Call) time.Time {
	for _, f := range c.history.frozen[incarnationID(x.Box, x.Incarnation)] {
		switch {
		case f.to.IsZero():
			return x.Ended
		case f.to.After(since) && f.from.Before(x.Started):
			since = f.to
		}
	}
	return since.Add(deadlyBound)
}
