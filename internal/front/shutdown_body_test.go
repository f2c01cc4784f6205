package front_test

import (
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/frankban/quicktest"

	"github.com/barleystep/barleystep/internal/clock"
)

// TestStopAfterBody checks that callers whose bodies came whole are told at the end of the
// box that their requests have not ended: what ends the reading of bodies that have not come
// must not end the connections of others. The two raced, so it is tried many times.
func TestShutdownCompleteBody(t *testing.T) {
	const left = 20 * time.Millisecond
	for range 40 {
		c := quicktest.New(t)
		over := make(chan struct{})
		f := newFixtureAt(t, clock.System{}, state{view: newView()}, func(net.Conn, *http.Request) bool { <-over; return false })
		answer := make(chan reply, 1)
		go func() { answer <- f.do(t, http.MethodPost, "/giant/", "whole", "Prompt", "900") }()
		f.waitRunning(1)
		f.front.BeginShutdown(clock.System{}.Now().Add(left))
		got := <-answer
		close(over)
		c.Assert(got.status >= http.StatusInternalServerError, quicktest.IsTrue, quicktest.Commentf("%+v", got))
	}
}
