package soak

import (
	"net/http"
	"slices"
	"strconv"
	"time"

	"github.com/barleystep/barleystep/platform/platformtest"
)

const (
	// leaveBound is how long a request may still reach a leaving target after the box has forwarded
	// the answer in which the target said that it is leaving.
	leaveBound = 2 * time.Second
	// restSlack is how long after a target's request for rest it takes effect. maxDuringRest is how
	// many requests of the box that was asked may arrive after that, since they were in flight.
	restSlack     = 500 * time.Millisecond
	maxDuringRest = 2
)

// checkStatements checks that boxes obey the statements that targets make in their answers.
func (c *check) checkStatements(calls map[string]*Call) {
	byProcess := make(map[string][]platformtest.Arrival)
	for _, a := range c.history.arrivals {
		if calls[a.Request] != nil {
			process := a.Target + "@" + strconv.FormatInt(a.Born, 10) // A new process has made no statement yet.
			byProcess[process] = append(byProcess[process], a)
		}
	}
	for _, list := range byProcess {
		slices.SortFunc(list, func(a, b platformtest.Arrival) int { return a.At.Compare(b.At) })
		c.checkLeaving(list, calls)
		c.checkResting(list, calls)
	}
}

// checkLeaving checks that a target gets no request from an incarnation of a box that has forwarded
// its statement that it is leaving.
func (c *check) checkLeaving(list []platformtest.Arrival, calls map[string]*Call) {
	forwardedAt := make(map[string]time.Time)
	for _, a := range list {
		x := calls[a.Request]
		incarnation := incarnationID(x.Box, x.Incarnation)
		at, informed := forwardedAt[incarnation]
		if informed && x.Started.After(at.Add(leaveBound)) && !c.frozenBetween(x, at) {
			c.addViolation("leaving targets", a.Request, "%s got it, sent %s after its word was passed on", a.Target, x.Started.Sub(at))
		}
		digest, hasDigest := platformtest.ReadDigest(x.Header)
		if a.Leaving && !informed && x.Status == http.StatusOK && hasDigest && digest.Target == a.Target {
			forwardedAt[incarnation] = x.Ended
		}
	}
}

// checkResting checks that a target that has asked an incarnation of a box for rest gets no more
// from it than was in flight.
func (c *check) checkResting(list []platformtest.Arrival, calls map[string]*Call) {
	for i, asked := range list {
		x, got := calls[asked.Request], 0
		if asked.Rest == 0 || c.isUnheard(asked, x) {
			continue
		}
		for _, a := range list[i+1:] {
			y := calls[a.Request]
			since := a.At.Sub(asked.At)
			same := incarnationID(x.Box, x.Incarnation) == incarnationID(y.Box, y.Incarnation)
			if same && since > restSlack && since < asked.Rest && !c.frozenBetween(y, asked.At) {
				got++
			}
		}
		if got > maxDuringRest {
			c.addViolation("resting targets", asked.Request, "%s had asked for %s of rest, and got %d requests", asked.Target, asked.Rest, got)
		}
	}
}

// isUnheard reports whether the answer of a target did not reach the box: the links between them carried
// nothing, and the box, which tries elsewhere or answers its caller at once, did neither.
func (c *check) isUnheard(a platformtest.Arrival, x *Call) bool {
	h, until := c.history, a.At.Add(restSlack)
	isDown := func(i interval) bool { return i.overlaps(a.At, a.At) }
	if !slices.ContainsFunc(h.cut[x.Box], isDown) && !slices.ContainsFunc(h.silenced[a.Target], isDown) {
		return false
	}
	return x.Ended.After(until) && !slices.ContainsFunc(h.arrivals, func(o platformtest.Arrival) bool {
		return o.Request == a.Request && o.At.After(a.At) && !o.At.After(until)
	})
}

// frozenBetween reports whether the call's box was frozen at any time from the given time until the
// call's end.
func (c *check) frozenBetween(x *Call, since time.Time) bool {
	return slices.ContainsFunc(c.history.frozen[incarnationID(x.Box, x.Incarnation)], func(f interval) bool { return f.overlaps(since, x.Ended) })
}
