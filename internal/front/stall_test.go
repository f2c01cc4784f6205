package front_test

import (
	"net"
	"net/http"
	"runtime"
	"strings"
	"testing"
	"time"

	"github.com/frankban/quicktest"

	"github.com/barleystep/barleystep/internal/balance"
	"github.com/barleystep/barleystep/internal/clock"
)

// TestStalledStreamResumed checks that a stream is moved away from a silent target only if another
// target can take it, and is resumed there.
func TestStalledStreamResumed(t *testing.T) {
	for name, budgeted := range map[string]bool{"retry allowed": true, "no retry left": false} {
		t.Run(name, func(t *testing.T) {
			c := quicktest.New(t)
			release := make(chan struct{})
			stall := func(k net.Conn, r *http.Request) bool {
				rawAnswer("HTTP/1.1 200 OK\r\nId: ID\r\nSeal: s\r\nTransfer-Encoding: chunked\r\n\r\n11\r\nid: 1\ndata: xyz\n\n\r\n")(k, r)
				<-release
				rawAnswer("12\r\nid: 2\ndata: late\n\n\r\n0\r\n\r\n")(k, r)
				return false
			}
			manual := clock.NewManual(time.Unix(1000, 0))
			view := newView()
			view.Route("h", "/stream/").Timeout = 24 * time.Hour
			f := newFixtureAt(t, manual, state{view: view}, stall, eventStream(2, 3, false))
			if !budgeted {
				f.front.Budget.SetLimits(0, 0)
			}
			answer := make(chan reply, 1)
			go func() { answer <- f.do(t, http.MethodPost, "/stream/", "") }()
			for f.target.requestCount() == 0 {
				runtime.Gosched()
			}
			for i := 0; f.target.requestCount() < 2 && (budgeted || i < 1000); i++ {
				manual.Advance(100 * time.Millisecond)
				runtime.Gosched()
			}
			close(release)
			got := <-answer
			c.Check(got.broken, quicktest.IsFalse)
			if budgeted {
				c.Check(f.target.requestCount(), quicktest.Equals, 2)
				c.Check(strings.HasSuffix(got.body, eventText(2, 3)), quicktest.IsTrue)
			} else {
				c.Check(f.target.requestCount(), quicktest.Equals, 1)
				c.Check(strings.HasSuffix(got.body, "data: late\n\n"), quicktest.IsTrue)
			}
		})
	}
}

// TestStalledStreamOnDownTarget checks that a stream is moved early from a silent target that other
// boxes cannot reach.
func TestStalledStreamOnDownTarget(t *testing.T) {
	const never = 24 * time.Hour
	c := quicktest.New(t)
	release := make(chan struct{})
	defer close(release)
	begun := make(chan struct{})
	stall := func(k net.Conn, r *http.Request) bool {
		rawAnswer("HTTP/1.1 200 OK\r\nId: ID\r\nSeal: s\r\nTransfer-Encoding: chunked\r\n\r\n11\r\nid: 1\ndata: xyz\n\n\r\n")(k, r)
		close(begun)
		<-release
		return false
	}
	manual := clock.NewManual(time.Unix(1000, 0))
	view := newView()
	route := view.Route("h", "/stream/")
	route.Timeout, route.Objective, route.MaxPause = never, never, never
	f := newFixtureAt(t, manual, state{view: view}, stall, eventStream(2, 3, false))
	answer := make(chan reply, 1)
	go func() { answer <- f.do(t, http.MethodPost, "/stream/", "") }()
	<-begun
	peers := balance.NewSnapshot()
	for _, id := range []string{"a", "b"} {
		peers.Work[balance.KeyOf(id)] = balance.Work{DownReports: 1}
	}
	f.front.Balancer.SetOthers(peers)
	for f.target.requestCount() < 2 { // The limit for a target that is not down is a day.
		manual.Advance(100 * time.Millisecond)
		runtime.Gosched()
	}
	got := <-answer
	c.Check(got.broken, quicktest.IsFalse)
	c.Check(strings.HasSuffix(got.body, eventText(2, 3)), quicktest.IsTrue)
}

// TestBrokenStreamWaitsForSlot checks that a stream that has begun, and whose target breaks off,
// waits for a slot elsewhere for longer than a request that can still be refused.
func TestBrokenStreamWaitsForSlot(t *testing.T) {
	c := quicktest.New(t)
	release := make(chan struct{})
	busy := func(k net.Conn, r *http.Request) bool {
		<-release
		eventStream(1, 1, false)(k, r)
		return true // The connection is kept and may serve the other stream.
	}
	broken := func(k net.Conn, r *http.Request) bool { writeOneEvent(k, r); return false }
	f, manual, out := newSingleEngineFixture(t, busy, broken, eventStream(2, 3, false))
	f.targets[0].Slots = 1
	f.targets = append(f.targets, f.targets[0])
	f.targets[1].ID = "other"
	route := f.view.Route("h", "/giant/")
	route.Objective, route.Resumable = objective, true
	route.Timeout = 24 * time.Hour                         // The manual clock runs ahead of the request.
	f.view.Route("h", "/plainstream/").Split = route.Split // A stream that cannot be resumed stays on its target.
	do := func(path string) <-chan reply {
		answer := make(chan reply, 1)
		go func() { answer <- f.do(t, http.MethodPost, path, "", "Prompt", "10") }()
		return answer
	}
	first := do("/plainstream/")
	for f.target.requestCount() < 1 {
		runtime.Gosched()
	}
	second := do("/giant/")
	for f.target.requestCount() < 2 {
		runtime.Gosched()
	}
	// Time does not advance while a request has a slot: connections are real, and a clock that runs
	// ahead of them would end the try.
	placed := func() int { return len(f.front.Balancer.Snapshot().Work) }
	for placed() > 1 {
		runtime.Gosched()
	}
	pass := func() {
		manual.Advance(100 * time.Millisecond)
		for range 100 {
			runtime.Gosched()
		}
	}
	for range 30 { // Three seconds, twice as long as a short prompt waits.
		pass()
	}
	close(release)
	c.Check((<-first).broken, quicktest.IsFalse)
	out.waitFor(t, "route", "/plainstream/") // The slot is free, or taken again.
	for placed() == 0 && len(second) == 0 {
		pass()
	}
	got := <-second
	c.Check(got.broken, quicktest.IsFalse)
	c.Check(strings.HasSuffix(got.body, eventText(2, 3)), quicktest.IsTrue)
	c.Check(f.target.requestCount(), quicktest.Equals, 3)
}
