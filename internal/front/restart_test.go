package front_test

import (
	"net"
	"net/http"
	"runtime"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/frankban/quicktest"

	"github.com/barleystep/barleystep"
	"github.com/barleystep/barleystep/internal/clock"
	"github.com/barleystep/barleystep/internal/fleet"
)

// never is longer than any time that plays a part in these tests.
const never = 24 * time.Hour

// lives are the targets of a fixture, whose starts a test sets.
type restartTargets struct {
	mu      sync.Mutex
	targets []fleet.Target
}

func (l *restartTargets) list() []fleet.Target {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]fleet.Target(nil), l.targets...)
}

// say has the target say when it started; an empty id stands for all.
func (l *restartTargets) setStart(id barleystep.TargetID, born int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for i := range l.targets {
		if id == "" || l.targets[i].ID == id {
			l.targets[i].StartMS = born
		}
	}
}

// newLives returns a fixture whose targets were born at 100.
func newRestartFixture(t *testing.T, s state, steps ...step) (*fixture, *restartTargets, *clock.Manual) {
	manual := clock.NewManual(time.Unix(1000, 0))
	for _, prefix := range []string{"/once/", "/again/", "/stream/", "/plainstream/", "/giant/"} {
		r := s.view.Route("h", prefix)
		r.Timeout, r.Objective, r.MaxPause = never, never, never
	}
	f := newFixtureAt(t, manual, s, steps...)
	l := &restartTargets{targets: f.targets}
	l.setStart("", 100)
	f.front.Balancer.Targets = l.list
	return f, l, manual
}

// TestRestart checks which requests leave a target that has started anew: at once, and only
// those that may run elsewhere.
func TestRestart(t *testing.T) {
	head := "HTTP/1.1 200 OK\r\nId: ID\r\nSeal: s\r\nTransfer-Encoding: chunked\r\n\r\n"
	begun := rawAnswer(head + "11\r\nid: 1\ndata: xyz\n\n\r\n")
	nothing := rawAnswer("")
	good := completeAnswer(http.StatusOK, sealed, "good")
	cases := map[string]struct {
		path   string
		first  step
		second step
		sends  int // sends is how many may be made.
		moves  bool
		end    string
	}{
		"a stream":                   {"/stream/", begun, eventStream(2, 3, false), 2, true, eventText(2, 3)},
		"a stream before its head":   {"/stream/", nothing, eventStream(1, 3, false), 2, true, eventText(1, 3)},
		"a repeatable request":       {"/again/", nothing, good, 2, true, "good"},
		"one that runs once":         {"/once/", nothing, good, 2, false, ""},
		"a stream that runs once":    {"/plainstream/", begun, eventStream(2, 3, false), 2, false, ""},
		"no further send is allowed": {"/again/", nothing, good, 1, false, ""},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			c := quicktest.New(t)
			sent := make(chan string, 1)
			over := make(chan struct{})
			stall := func(k net.Conn, r *http.Request) bool {
				sent <- r.Header.Get("Instance")
				tc.first(k, r)
				<-over
				return false
			}
			view := newView()
			f, targets, manual := newRestartFixture(t, state{view: view}, stall, tc.second)
			view.Route("h", tc.path).MaxTries = tc.sends
			answer := make(chan reply, 1)
			go func() { answer <- f.do(t, http.MethodPost, tc.path, "") }()
			id := barleystep.TargetID(<-sent)
			for i := 0; f.target.requestCount() < 2 && (tc.moves || i < 1000); i++ {
				// The try may have been heard of a moment ago: it is told again.
				manual.Advance(300 * time.Millisecond)
				targets.setStart(id, int64(200+i))
				f.front.Balancer.DetectRestarts()
				runtime.Gosched()
			}
			c.Check(f.target.requestCount() == 2, quicktest.Equals, tc.moves)
			if !tc.moves {
				close(over)
			}
			got := <-answer
			if tc.moves {
				close(over)
				c.Check(got.broken, quicktest.IsFalse)
				c.Check(strings.HasSuffix(got.body, tc.end), quicktest.IsTrue, quicktest.Commentf("body %q", got.body))
			}
			c.Check(f.front.Balancer.IsDown(id), quicktest.IsFalse)
		})
	}
}

// TestRestartOfHelper checks that memory which helpers set aside in an earlier lifetime is not
// asked for again in the next.
func TestRestartOfHelper(t *testing.T) {
	c := quicktest.New(t)
	view := newView()
	over := make(chan struct{})
	sent := make(chan struct{})
	stall := func(net.Conn, *http.Request) bool {
		close(sent)
		<-over
		return false
	}
	f, targets, manual := newRestartFixture(t, state{view: view}, stall)
	view.Route("h", "/giant/").MaxTries = 1 // The request stays where it is.
	f.target.orders = []step{completeAnswer(http.StatusOK, "", "")}
	answer := make(chan reply, 1)
	go func() { answer <- f.do(t, http.MethodPost, "/giant/", "", "Prompt", "1200") }()
	<-sent
	before := strings.Count(f.target.kinds(), "R")
	manual.Advance(300 * time.Millisecond)
	targets.setStart("", 200)
	f.front.Balancer.DetectRestarts()
	for range 20 {
		manual.Advance(time.Second)
		for range 100 {
			runtime.Gosched()
		}
	}
	c.Check(before >= 2, quicktest.IsTrue)
	c.Check(strings.Count(f.target.kinds(), "R"), quicktest.Equals, before)
	close(over)
	<-answer
}

// TestMoved checks which target is left alone after a refusal that says that an address is
// another's: the one that was asked, unless a helper is to blame.
func TestMisdirected(t *testing.T) {
	cases := map[string]struct {
		headers string
		down    bool
	}{
		"the target":   {"Not-Run: 1\r\n", true},
		"a helper has": {"Not-Run: 1\r\nBlamed: HELPER\r\n", false},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			c := quicktest.New(t)
			view := newView()
			view.Route("h", "/giant/").MaxTries = 1
			var asked string
			refuse := func(k net.Conn, r *http.Request) bool {
				asked = r.Header.Get("Instance")
				headers := strings.ReplaceAll(tc.headers, "HELPER", k.LocalAddr().String()) // All have it.
				return completeAnswer(http.StatusMisdirectedRequest, headers, "")(k, r)
			}
			f := newFixture(t, state{view: view}, refuse)
			f.target.orders = []step{completeAnswer(http.StatusOK, "", "")}
			f.do(t, http.MethodPost, "/giant/", "", "Prompt", "1200")
			c.Check(f.front.Balancer.IsDown(barleystep.TargetID(asked)), quicktest.Equals, tc.down)
		})
	}
}
