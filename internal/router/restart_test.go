package router_test

import (
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"

	"github.com/frankban/quicktest"

	"github.com/barleystep/barleystep/platform/platformtest"
)

// TestRestartedTarget checks that a box drops its idle connection to a target when the store
// reports that the target has restarted, and not before.
func TestRestartedTarget(t *testing.T) {
	const (
		firstStart  = 1_000
		secondStart = 900 // The target's clock was set back.
	)
	c := quicktest.New(t)
	r := newFixture(t, 1)
	var opened atomic.Int32
	server := httptest.NewUnstartedServer(&platformtest.Server{ID: "i-2"})
	server.Config.ConnState = func(_ net.Conn, s http.ConnState) {
		if s == http.StateNew {
			opened.Add(1)
		}
	}
	server.Start()
	t.Cleanup(server.Close)
	addr := server.Listener.Addr().String()
	r.store.PutRestartedServer("i-2", "app", addr, firstStart)
	r.store.Remove("servers", "i-1")
	post := func() bool {
		status, _ := r.post(t, 0, "/a/x", "k1")
		return status == http.StatusOK
	}
	eventually(t, func() bool { return post() && opened.Load() > 0 })
	for range 20 {
		c.Check(post(), quicktest.IsTrue)
	}
	c.Check(opened.Load(), quicktest.Equals, int32(1))
	r.store.PutRestartedServer("i-2", "app", addr, secondStart)
	eventually(t, func() bool { return post() && opened.Load() == 2 })
}
