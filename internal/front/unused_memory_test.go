package front_test

import (
	"context"
	"net"
	"net/http"
	"runtime"
	"strings"
	"testing"
	"time"

	"github.com/frankban/quicktest"

	"github.com/barleystep/barleystep/internal/clock"
)

// maxUnused is how long targets let memory be set aside that no request uses.
const maxUnused = 9 * time.Second

// TestUnusedMemoryEndsByItself guards against memory that stays set aside, for nobody, after its try ended
// and no release of it was answered: the last renewal held it beyond what targets allow.
func TestUnusedMemoryEndsByItself(t *testing.T) {
	cases := map[string]struct {
		unanswered string        // unanswered is the prefix of the orders that get no answer.
		timeout    time.Duration // timeout is the route's.
		leaveAfter time.Duration // leaveAfter is when the caller leaves, zero for never.
	}{
		"no release answered":               {"/release/", time.Hour, 0},
		"neither release nor usage":         {"/re", time.Hour, 0},
		"no order answered after the first": {"/", time.Hour, 0},
		"caller leaves":                     {"/release/", time.Hour, 6 * time.Second},
		"time limit":                        {"/release/", 6500 * time.Millisecond, 0},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			c := quicktest.New(t)
			view := newView()
			route := view.Route("h", "/giant/")
			route.Objective, route.Timeout, route.MaxTries = time.Hour, tc.timeout, 1
			sent, end := make(chan struct{}), make(chan struct{})
			defer close(end)
			manual := clock.NewManual(time.Unix(1000, 0))
			f := newFixtureAt(t, manual, state{view: view}, func(net.Conn, *http.Request) bool { close(sent); <-end; return false })
			f.target.orders = []step{func(k net.Conn, r *http.Request) bool {
				if isClosed(sent) && strings.HasPrefix(r.RequestURI, tc.unanswered) {
					<-end
					return false
				}
				return completeAnswer(http.StatusOK, "", "")(k, r)
			}}
			ctx, leave := context.WithCancel(t.Context())
			defer leave()
			started := manual.Now()
			answer := make(chan reply, 1)
			go func() { answer <- f.doContext(t, ctx, http.MethodPost, "/giant/", "", "Prompt", "1200") }()
			<-sent
			for manual.Now().Sub(started) < 20*time.Second {
				if tc.leaveAfter > 0 && manual.Now().Sub(started) >= tc.leaveAfter {
					leave()
				}
				manual.Advance(50 * time.Millisecond)
				for range 2000 {
					runtime.Gosched()
				}
			}
			<-answer
			c.Check(f.holds.latest().Sub(started) <= maxUnused, quicktest.IsTrue,
				quicktest.Commentf("memory is set aside for %v", f.holds.latest().Sub(started)))
		})
	}
}

func isClosed(c chan struct{}) bool {
	select {
	case <-c:
		return true
	default:
		return false
	}
}

// TestUsedMemoryIsRenewed guards against used memory that ends when unused memory would.
func TestUsedMemoryIsRenewed(t *testing.T) {
	view := newView()
	route := view.Route("h", "/giant/")
	route.Objective, route.Timeout, route.MaxTries = time.Hour, 24*time.Hour, 1
	sent, end := make(chan struct{}), make(chan struct{})
	defer close(end)
	manual := clock.NewManual(time.Unix(1000, 0))
	f := newFixtureAt(t, manual, state{view: view}, func(net.Conn, *http.Request) bool { close(sent); <-end; return false })
	f.target.orders = []step{func(k net.Conn, r *http.Request) bool {
		if r.RequestURI == "/usage" {
			return completeAnswer(http.StatusOK, "", "used "+f.target.reservationIDs()[0])(k, r)
		}
		return completeAnswer(http.StatusOK, "", "")(k, r)
	}}
	started := manual.Now()
	ctx, leave := context.WithCancel(t.Context())
	answer := make(chan reply, 1)
	go func() { answer <- f.doContext(t, ctx, http.MethodPost, "/giant/", "", "Prompt", "1200") }()
	<-sent
	manual.Advance(7 * time.Second)
	for f.holds.latest().Sub(started) < 10*time.Second {
		runtime.Gosched()
	}
	for f.holds.latest().Sub(started) < time.Minute {
		manual.Advance(time.Second)
		runtime.Gosched()
	}
	leave()
	<-answer
}

// TestLateCopiesAreReleased guards against memory that is set aside for nobody, when a target carries out
// copies of orders that it left unanswered after their try was over.
func TestLateCopiesAreReleased(t *testing.T) {
	c := quicktest.New(t)
	end := make(chan struct{})
	defer close(end)
	manual := clock.NewManual(time.Unix(1000, 0))
	f := newFixtureAt(t, manual, state{view: newView()}, eventStream(1, 2, false))
	ok := completeAnswer(http.StatusOK, "", "")
	f.target.orders = []step{func(net.Conn, *http.Request) bool { <-end; return false }, ok}
	answer := make(chan reply, 1)
	go func() { answer <- f.do(t, http.MethodPost, "/giant/", "", "Prompt", "1200") }()
	for strings.Count(f.target.kinds(), "R") < 2 {
		runtime.Gosched()
	}
	manual.Advance(60 * time.Millisecond) // The order is sent again.
	c.Check((<-answer).status, quicktest.Equals, http.StatusOK)
	for f.front.PendingReleases() > 0 {
		runtime.Gosched()
	}
	first := strings.Count(f.target.kinds(), "F")
	released := manual.Now()
	for strings.Count(f.target.kinds(), "F") == first && manual.Now().Sub(released) < 20*time.Second {
		manual.Advance(10 * time.Millisecond)
		for range 1000 {
			runtime.Gosched()
		}
	}
	c.Check(strings.Count(f.target.kinds(), "F") > first, quicktest.IsTrue)
}
