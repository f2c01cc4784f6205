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

// newSilentEngineFixture returns a fixture of one box with an engine that accepts one request
// at a time and never answers, and a channel that receives a value for each request that the
// engine has accepted.
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
	t.Cleanup(func() { close(over) }) // Runs before engine.Close, which waits for running requests.
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
// Long prompts may wait for an engine for longer than a stop takes. Waiting requests used not
// to be told of the stop, so the process exited and closed their connections without an answer,
// 7.3 s after the signal with a grace period of 8 s. Of 49 requests during stops, exactly the
// two that were waiting for a slot were lost.
func TestStopAnswersAll(t *testing.T) {
	c := quicktest.New(t)
	r, taken := newSilentEngineFixture(t, 4*time.Second)
	sent := r.postAsync(t, "sent")
	<-taken
	waiting := r.postAsync(t, "waiting")
	r.stops[0]()
	c.Check(<-r.done[0], quicktest.IsNil)
	// The process would exit here, so both answers must have been sent.
	eventually(t, func() bool { return len(waiting) == 1 && len(sent) == 1 })
	c.Check(<-waiting, quicktest.Equals, http.StatusServiceUnavailable)
	c.Check(<-sent, quicktest.Equals, http.StatusBadGateway)
	c.Check(taken, quicktest.HasLen, 0)
}

// postAsync posts to the streaming route from another goroutine. It returns a channel that
// receives the status of the answer, 0 if there was none.
func (r *fixture) postAsync(t *testing.T, id string) <-chan int {
	status := make(chan int, 1)
	go func() {
		got, _ := r.postAs(t, 0, "/stream/x", "k1", id)
		status <- got
	}()
	return status
}
