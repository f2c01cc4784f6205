package router_test

import (
	"fmt"
	"net/http"
	"testing"

	"github.com/frankban/quicktest"

	"github.com/barleystep/barleystep/internal/fault"
)

// poster returns a function that sends a request with an id of its own to a box and returns the status.
func (r *fixture) poster(t *testing.T) func(i int) int {
	number := 0
	return func(i int) int {
		number++
		status, _ := r.postAs(t, i, "/a/x", "k1", fmt.Sprint("r", number))
		return status
	}
}

// TestBoxWithoutWayToTargets checks that a box that reaches no target, while callers, the store and
// the other boxes reach it, serves its callers' first tries through another box, and runs no
// request twice.
func TestBoxWithoutWayToTargets(t *testing.T) {
	for _, mode := range fault.Modes {
		t.Run(string(mode), func(t *testing.T) {
			t.Parallel()
			c := quicktest.New(t)
			r := newFixture(t, 3)
			post := r.poster(t)
			c.Assert(post(0), quicktest.Equals, http.StatusOK)
			r.links[0].Set(mode)
			eventually(t, func() bool { return post(0) == http.StatusOK })
			for range 10 {
				c.Check(post(0), quicktest.Equals, http.StatusOK)
			}
			r.links[0].Set(fault.ModeOpen)
			for range 10 {
				c.Check(post(0), quicktest.Equals, http.StatusOK)
			}
			for id, runs := range r.target.Runs() {
				c.Check(runs, quicktest.Equals, 1, quicktest.Commentf("%s", id))
			}
		})
	}
}

// TestHallWithoutWayToTargets checks that the boxes of a hall that all reach no target serve their
// callers through boxes of another hall.
func TestHallWithoutWayToTargets(t *testing.T) {
	c := quicktest.New(t)
	r := newFixtureOfHalls(t, "a", "a", "b", "b")
	post := r.poster(t)
	for i := range r.links {
		c.Assert(post(i), quicktest.Equals, http.StatusOK)
	}
	for i := range 2 {
		r.links[i].Set(fault.ModeReset)
	}
	for i := range 2 {
		eventually(t, func() bool { return post(i) == http.StatusOK })
	}
	for n := range 20 {
		c.Check(post(n%2), quicktest.Equals, http.StatusOK)
	}
	for id, runs := range r.target.Runs() {
		c.Check(runs, quicktest.Equals, 1, quicktest.Commentf("%s", id))
	}
}

// TestRelayStops checks that a planned stop of the box that others use as a relay cuts off nothing,
// and that the others go on through the next one.
func TestRelayStops(t *testing.T) {
	c := quicktest.New(t)
	r := newFixture(t, 3)
	post := r.poster(t)
	c.Assert(post(0), quicktest.Equals, http.StatusOK)
	r.links[0].Set(fault.ModeReset)
	eventually(t, func() bool { return post(0) == http.StatusOK })
	r.stops[1]()
	for stopped := false; !stopped; {
		c.Check(post(0), quicktest.Equals, http.StatusOK)
		select {
		case err := <-r.done[1]:
			c.Check(err, quicktest.IsNil)
			stopped = true
		default:
		}
	}
	c.Check(post(0), quicktest.Equals, http.StatusOK)
}
