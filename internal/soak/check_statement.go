package soak

import (
	"net/http"
	"slices"
	"strconv"
	"time"

	"github.com/barleystep/barleystep/platform/platformtest"
)

const (
	// leaveBound is how long after a box has passed on the answer of a target which says that it
	// leaves a caller's request may still reach it.
	leaveBound = 2 * time.Second
	// restSlack is how long after a target has asked for rest it counts, and mostInRest how many
	// requests of the box that it has asked may come after that: those that were under way.
	restSlack     = 500 * time.Millisecond
	maxDuringRest = 2
)

// statements checks that boxes heed what targets say of themselves in their answers.
func (c *check) checkStatements(calls map[string]*Call) {
	byProcess := make(map[string][]platformtest.Arrival)
	for _, a := range c.history.arrivals {
		if calls[a.Request] != nil {
			process := a.Target + "@" + strconv.FormatInt(a.Born, 10) // Another one has said nothing yet.
			byProcess[process] = append(byProcess[process], a)
		}
	}
	for _, list := range byProcess {
		slices.SortFunc(list, func(a, b platformtest.Arrival) int { return a.At.Compare(b.At) })
		c.checkLeaving(list, calls)
		c.checkResting(list, calls)
	}
}

// left checks that nothing comes to a target from a life of a box that has passed on its word.
func (c *check) checkLeaving(list []platformtest.Arrival, calls map[string]*Call) {
	passed := make(map[string]time.Time)
	for _, a := range list {
		x := calls[a.Request]
		incarnation := incarnationID(x.Box, x.Incarnation)
		at, told := passed[incarnation]
		if told && x.Started.After(at.Add(leaveBound)) && !c.frozenBetween(x, at) {
			c.addViolation("leaving targets", a.Request, "%s got it, sent %s after its word was passed on", a.Target, x.Started.Sub(at))
		}
		digest, hasDigest := platformtest.ReadDigest(x.Header)
		if a.Leaving && !told && x.Status == http.StatusOK && hasDigest && digest.Target == a.Target {
			passed[incarnation] = x.Ended
		}
	}
}

// rested checks that no more comes to a target from a life of a box that it has asked for rest
// than was under way.
func (c *check) checkResting(list []platformtest.Arrival, calls map[string]*Call) {
	for i, asked := range list {
		if asked.Rest == 0 {
			continue
		}
		x, got := calls[asked.Request], 0
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

// stoodStill reports whether the call's box has stood still between the given time and its end.
func (c *check) frozenBetween(x *Call, since time.Time) bool {
	return slices.ContainsFunc(c.history.frozen[incarnationID(x.Box, x.Incarnation)], func(f interval) bool { return f.overlaps(since, x.Ended) })
}
