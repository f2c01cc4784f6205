package router_test

import (
	"net/http"
	"testing"

	"github.com/frankban/quicktest"
)

// TestEvacuatedHall checks over the whole path that the targets of an evacuated hall get no requests
// from the box, that a service without others refuses them as not run, and that the hall is used
// again afterwards.
func TestEvacuatedHall(t *testing.T) {
	const (
		times = 20
		row   = "evacuate/h"
	)
	c := quicktest.New(t)
	r := newFixture(t, 1)
	r.store.Put("op", row, struct{}{})
	eventually(t, func() bool {
		status, _ := r.post(t, 0, "/a/x", "k1")
		return status == http.StatusServiceUnavailable
	})
	before := r.target.ArrivalCount()
	for range times {
		status, _ := r.post(t, 0, "/a/x", "k1")
		c.Check(status, quicktest.Equals, http.StatusServiceUnavailable)
	}
	c.Check(r.target.ArrivalCount(), quicktest.Equals, before)
	r.store.Remove("op", row)
	eventually(t, func() bool {
		status, _ := r.post(t, 0, "/a/x", "k1")
		return status == http.StatusOK
	})
}
