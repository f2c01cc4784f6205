package router_test

import (
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/frankban/quicktest"

	"github.com/barleystep/barleystep/internal/clock"
	"github.com/barleystep/barleystep/platform/platformtest"
)

// newMuteRig returns one box before an engine that takes one request at a time and says
// nothing, and a channel on which something comes for each request that it has taken.
func newSilentEngineFixture(t *testing.T, grace time.Duration) (r *fixture, taken <-chan struct{}) {
	r = &fixture{store: &platformtest.Store{Clock: clock.System{}}}
	storeServer := httptest.NewServer(r.store)
	t.Cleanup(storeServer.Close)
	over := make(chan struct{})
	requests := make(chan struct{}, 2)
	engine := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
		requests <- struct{}{}
		<-over
	}))
	t.Cleanup(engine.Close)
	t.Cleanup(func() { close(over) }) // Before the engine is closed, which waits for its requests.
	r.store.PutServices(platformtest.ServicesConfiguration{
		Version: 1, Host: "h", TimeLimit: time.Hour, Objective: time.Hour,
		Routes:        []platformtest.Route{{Name: "r", Prefix: "/stream/", Kind: "streaming", Service: "lm"}},
		Tenants:       []platformtest.Tenant{{Name: "tenant", Key: "k1"}},
		EngineService: "lm", PlainService: "app", EngineSlots: 1, EngineTokens: 100_000,
	})
	r.store.PutEngine("i-1", "lm", engine.Listener.Addr().String(), 1)
	r.start(t, 0, storeServer.URL, grace)
	return r, requests
}

// TestStopAnswersAll checks that a planned stop leaves no request without an answer.
//
// Callers of a box that was being stopped had their connections closed with no answer, 7.3 s
// after the signal where the grace is 8 s. Long prompts wait for their engines for longer
// than a stop lasts, and who waited was not told that the box ends: the process ended over
// its head. What was being served when boxes ended was logged for three days of stops in
// series: of 49 requests two were waiting for a place, and just these two were lost.
func TestStopAnswersAll(t *testing.T) {
	c := quicktest.New(t)
	r, taken := newSilentEngineFixture(t, 4*time.Second)
	sent := r.postAsync(t, "sent")
	<-taken
	waiting := r.postAsync(t, "waiting")
	r.stops[0]()
	c.Check(<-r.done[0], quicktest.IsNil)
	// The process would end here: what is answered later is not answered.
	eventually(t, func() bool { return len(waiting) == 1 && len(sent) == 1 })
	c.Check(<-waiting, quicktest.Equals, http.StatusServiceUnavailable)
	c.Check(<-sent, quicktest.Equals, http.StatusBadGateway)
	c.Check(taken, quicktest.HasLen, 0)
}

// askAside sends a stream's request from another goroutine, and returns a channel on which
// the status of its answer comes, 0 if there was none.
func (r *fixture) postAsync(t *testing.T, id string) <-chan int {
	status := make(chan int, 1)
	go func() {
		got, _ := r.postAs(t, 0, "/stream/x", "k1", id)
		status <- got
	}()
	return status
}
