package router_test

import (
	"fmt"
	"net/http"
	"testing"

	"github.com/frankban/quicktest"

	"github.com/barleystep/barleystep/internal/fault"
)

// TestBoxWithoutWayToTargets checks that a box that reaches no target, while callers, the store and
// the other boxes reach it, serves its callers' first tries through another box, and runs no
// request twice.
func TestBoxWithoutWayToTargets(t *testing.T) {
	for _, mode := range fault.Modes {
		t.Run(string(mode), func(t *testing.T) {
			t.Parallel()
			c := quicktest.New(t)
			r := newFixture(t, 3)
			number := 0
			post := func() int {
				number++
				status, _ := r.postAs(t, 0, "/a/x", "k1", fmt.Sprint("r", number))
				return status
			}
			c.Assert(post(), quicktest.Equals, http.StatusOK)
			r.links[0].Set(mode)
			eventually(t, func() bool { return post() == http.StatusOK })
			for range 10 {
				c.Check(post(), quicktest.Equals, http.StatusOK)
			}
			r.links[0].Set(fault.ModeOpen)
			for range 10 {
				c.Check(post(), quicktest.Equals, http.StatusOK)
			}
			for id, runs := range r.target.Runs() {
				c.Check(runs, quicktest.Equals, 1, quicktest.Commentf("%s", id))
			}
		})
	}
}
