package soak

import (
	"slices"
	"time"

	"github.com/barleystep/barleystep/platform/platformtest"
)

const (
	// maxTargetExits is how many targets may exit while executing a deadly request before it is
	// sent to no other target. One of them must have run it alone.
	maxTargetExits = 3
	// maxLateExits is how many more may exit after that: if all three ran other requests too, one
	// target that runs it alone is needed to identify the request.
	maxLateExits = 1
	// maxPartExits is how many targets may exit under requests no two alike that share a deadly part
	// before they are sent to no other target, and maxLatePartExits how many more after that.
	maxPartExits     = 5
	maxLatePartExits = 3
	// deadlyBound is how long a running box may take to learn of targets that exited during a
	// request and of the resulting verdict. It is large, since the machine may be busy.
	deadlyBound = 2 * time.Second
)

// deadlyRule bounds the targets that exit while executing requests of one kind.
type deadlyRule struct {
	name    string
	matches func(a platformtest.Arrival) bool
	// most is how many targets may exit before no other gets such a request, and late how many more
	// may exit after that.
	most, late int
}

var deadlyRules = []deadlyRule{
	{"deadly requests", func(a platformtest.Arrival) bool { return a.Body == platformtest.CrashBody }, maxTargetExits, maxLateExits},
	{"deadly parts", platformtest.Arrival.HasCrashPart, maxPartExits, maxLatePartExits},
}

// checkDeadly checks that a request during which targets have exited, or that has a part with which
// they have, is sent to no other target by boxes whose process has run since the last of the exits
// that are allowed. Boxes are given deadlyBound to learn of it, from the end of a freeze if they were
// frozen.
func (c *check) checkDeadly(calls map[string]*Call) {
	for _, rule := range deadlyRules {
		var exits []platformtest.Arrival
		for _, a := range c.history.arrivals {
			if rule.matches(a) && a.Run > 0 {
				exits = append(exits, a)
			}
		}
		slices.SortFunc(exits, func(a, b platformtest.Arrival) int { return a.At.Compare(b.At) })
		for _, at := range c.massKills() {
			from, _ := slices.BinarySearchFunc(exits, at.Add(massKillWindow), func(a platformtest.Arrival, t time.Time) int { return a.At.Compare(t) })
			c.checkLateExits(rule, exits[:from], calls)
			exits = exits[from:]
		}
		c.checkLateExits(rule, exits, calls)
	}
}

// checkLateExits checks exits of targets between which the boxes were not all killed at once. Boxes
// keep what they know of fewer than three exits in memory only.
func (c *check) checkLateExits(rule deadlyRule, exits []platformtest.Arrival, calls map[string]*Call) {
	if len(exits) <= rule.most {
		return
	}
	last, late := exits[rule.most-1].At, 0
	for _, a := range exits[rule.most:] {
		x := calls[a.Request]
		if x == nil || !c.startedBefore(x, last) || !x.Started.After(c.informedBy(last, x)) {
			continue
		}
		if late++; late > rule.late {
			c.addViolation(rule.name, a.Request, "%s ended, sent %s after %d had", a.Target, x.Started.Sub(last), rule.most)
		}
	}
}

// massKillWindow is the time within which boxes that are killed together exit.
const massKillWindow = 500 * time.Millisecond

// massKills returns the times at which all boxes were killed together, in order.
func (c *check) massKills() (list []time.Time) {
	killed := make(map[string][]time.Time)
	for _, x := range c.history.calls {
		times := killed[x.Box]
		if at, ok := c.history.killed[incarnationID(x.Box, x.Incarnation)]; ok && !slices.Contains(times, at) {
			times = append(times, at)
		}
		killed[x.Box] = times // Keeps an entry for boxes that were never killed.
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

// allKilledAt reports whether an incarnation of each box was killed within massKillWindow of the
// given time.
func (c *check) allKilledAt(killed map[string][]time.Time, at time.Time) bool {
	for _, times := range killed {
		if !slices.ContainsFunc(times, func(t time.Time) bool { return t.Sub(at).Abs() <= massKillWindow }) {
			return false
		}
	}
	return true
}

// startedBefore reports whether the incarnation of the box that took the call had started by the
// given time.
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

// informedBy returns the latest time at which the box that took the call has learned of an event at
// the given time.
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
