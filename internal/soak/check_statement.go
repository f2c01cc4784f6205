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
	restSlack  = 500 * time.Millisecond
	mostInRest = 2
)

// statements checks that boxes heed what targets say of themselves in their answers.
func (c *check) statements(calls map[string]*Call) {
	byProcess := make(map[string][]platformtest.Arrival)
	for _, a := range c.history.arrivals {
		if calls[a.Request] != nil {
			process := a.Target + "@" + strconv.FormatInt(a.Born, 10) // Another one has said nothing yet.
			byProcess[process] = append(byProcess[process], a)
		}
	}
	for _, list := range byProcess {
		slices.SortFunc(list, func(a, b platformtest.Arrival) int { return a.At.Compare(b.At) })
		c.left(list, calls)
		c.rested(list, calls)
	}
}

// left checks that nothing comes to a target from a life of a box that has passed on its word.
func (c *check) left(list []platformtest.Arrival, calls map[string]*Call) {
	passed := make(map[string]time.Time)
	for _, a := range list {
		x := calls[a.Request]
		life := lifeOf(x.Box, x.Incarnation)
		at, told := passed[life]
		if told && x.Started.After(at.Add(leaveBound)) && !c.stoodStill(x, at) {
			c.find("leaving targets", a.Request, "%s got it, sent %s after its word was passed on", a.Target, x.Started.Sub(at))
		}
		seal, sealed := platformtest.ReadDigest(x.Header)
		if a.Leaving && !told && x.Status == http.StatusOK && sealed && seal.Target == a.Target {
			passed[life] = x.Ended
		}
	}
}

// rested checks that no more comes to a target from a life of a box that it has asked for rest
// than was under way.
func (c *check) rested(list []platformtest.Arrival, calls map[string]*Call) {
	for i, asked := range list {
		if asked.Rest == 0 {
			continue
		}
		x, got := calls[asked.Request], 0
		for _, a := range list[i+1:] {
			y := calls[a.Request]
			since := a.At.Sub(asked.At)
			same := lifeOf(x.Box, x.Incarnation) == lifeOf(y.Box, y.Incarnation)
			if same && since > restSlack && since < asked.Rest && !c.stoodStill(y, asked.At) {
				got++
			}
		}
		if got > mostInRest {
			c.find("resting targets", asked.Request, "%s had asked for %s of rest, and got %d requests", asked.Target, asked.Rest, got)
		}
	}
}

// stoodStill reports whether the call's box has stood still between the given time and its end.
func (c *check) stoodStill(x *Call, since time.Time) bool {
	return slices.ContainsFunc(c.history.frozen[lifeOf(x.Box, x.Incarnation)], func(f span) bool { return f.meets(since, x.Ended) })
}
