package front_test

import (
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/frankban/quicktest"

	"github.com/barleystep/barleystep/internal/clock"
)

// TestShutdownCompleteBody checks that callers whose bodies are complete get an answer when the box
// shuts down: aborting incomplete bodies must not end other connections. It runs many times because
// the two can race.
func TestShutdownCompleteBody(t *testing.T) {
	const left = 20 * time.Millisecond
	for range 40 {
		c := quicktest.New(t)
		release := make(chan struct{})
		f := newFixtureAt(t, clock.System{}, state{view: newView()}, func(net.Conn, *http.Request) bool { <-release; return false })
		answer := make(chan reply, 1)
		go func() { answer <- f.do(t, http.MethodPost, "/giant/", "whole", "Prompt", "900") }()
		f.waitRunning(1)
		f.front.BeginShutdown(clock.System{}.Now().Add(left))
		got := <-answer
		close(release)
		c.Assert(got.status >= http.StatusInternalServerError, quicktest.IsTrue, quicktest.Commentf("%+v", got))
	}
}
