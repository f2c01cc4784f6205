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

// never is longer than any time that matters in these tests.
const never = 24 * time.Hour

// restartTargets holds the targets of a fixture with start times that a test sets.
type restartTargets struct {
	mu      sync.Mutex
	targets []fleet.Target
}

func (l *restartTargets) list() []fleet.Target {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]fleet.Target(nil), l.targets...)
}

// setStart sets the start time that the target states; an empty id stands for all targets.
func (l *restartTargets) setStart(id barleystep.TargetID, born int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for i := range l.targets {
		if id == "" || l.targets[i].ID == id {
			l.targets[i].StartMS = born
		}
	}
}

// newRestartFixture returns a fixture whose targets started at 100 ms.
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

// TestRestart checks which requests leave a target that has restarted: immediately, and only those
// that may run elsewhere.
func TestRestart(t *testing.T) {
	head := "HTTP/1.1 200 OK\r\nId: ID\r\nSeal: s\r\nTransfer-Encoding: chunked\r\n\r\n"
	begun := rawAnswer(head + "11\r\nid: 1\ndata: xyz\n\n\r\n")
	nothing := rawAnswer("")
	good := completeAnswer(http.StatusOK, sealed, "good")
	cases := map[string]struct {
		path   string
		first  step
		second step
		sends  int // sends is how many sends the route allows.
		moves  bool
		end    string
	}{
		"stream":                  {"/stream/", begun, eventStream(2, 3, false), 2, true, eventText(2, 3)},
		"stream before its head":  {"/stream/", nothing, eventStream(1, 3, false), 2, true, eventText(1, 3)},
		"repeatable request":      {"/again/", nothing, good, 2, true, "good"},
		"non-repeatable request":  {"/once/", nothing, good, 2, false, ""},
		"non-resumable stream":    {"/plainstream/", begun, eventStream(2, 3, false), 2, false, ""},
		"no further send allowed": {"/again/", nothing, good, 1, false, ""},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			c := quicktest.New(t)
			sent := make(chan string, 1)
			release := make(chan struct{})
			stall := func(k net.Conn, r *http.Request) bool {
				sent <- r.Header.Get("Instance")
				tc.first(k, r)
				<-release
				return false
			}
			view := newView()
			f, targets, manual := newRestartFixture(t, state{view: view}, stall, tc.second)
			view.Route("h", tc.path).MaxTries = tc.sends
			answer := make(chan reply, 1)
			go func() { answer <- f.do(t, http.MethodPost, tc.path, "") }()
			id := barleystep.TargetID(<-sent)
			for i := 0; f.target.requestCount() < 2 && (tc.moves || i < 1000); i++ {
				// The target may have been heard after the restart was set, so the restart is
				// stated again.
				manual.Advance(300 * time.Millisecond)
				targets.setStart(id, int64(200+i))
				f.front.Balancer.DetectRestarts()
				runtime.Gosched()
			}
			c.Check(f.target.requestCount() == 2, quicktest.Equals, tc.moves)
			if !tc.moves {
				close(release)
			}
			got := <-answer
			if tc.moves {
				close(release)
				c.Check(got.broken, quicktest.IsFalse)
				c.Check(strings.HasSuffix(got.body, tc.end), quicktest.IsTrue, quicktest.Commentf("body %q", got.body))
			}
			c.Check(f.front.Balancer.IsDown(id), quicktest.IsFalse)
		})
	}
}

// TestRestartOfHelper checks that memory reserved by helpers in an earlier incarnation is not
// reserved again in the next one.
func TestRestartOfHelper(t *testing.T) {
	c := quicktest.New(t)
	view := newView()
	release := make(chan struct{})
	sent := make(chan struct{})
	stall := func(net.Conn, *http.Request) bool {
		close(sent)
		<-release
		return false
	}
	f, targets, manual := newRestartFixture(t, state{view: view}, stall)
	view.Route("h", "/giant/").MaxTries = 1 // The request must not move.
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
	close(release)
	<-answer
}

// TestMisdirected checks which target counts as down after an answer that says that the address
// belongs to another target: the target that was asked, unless a helper is blamed.
func TestMisdirected(t *testing.T) {
	cases := map[string]struct {
		headers string
		down    bool
	}{
		"target misdirected": {"Not-Run: 1\r\n", true},
		"helper misdirected": {"Not-Run: 1\r\nBlamed: HELPER\r\n", false},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			c := quicktest.New(t)
			view := newView()
			view.Route("h", "/giant/").MaxTries = 1
			var asked string
			refuse := func(k net.Conn, r *http.Request) bool {
				asked = r.Header.Get("Instance")
				headers := strings.ReplaceAll(tc.headers, "HELPER", k.LocalAddr().String()) // All helpers have this address.
				return completeAnswer(http.StatusMisdirectedRequest, headers, "")(k, r)
			}
			f := newFixture(t, state{view: view}, refuse)
			f.target.orders = []step{completeAnswer(http.StatusOK, "", "")}
			f.do(t, http.MethodPost, "/giant/", "", "Prompt", "1200")
			c.Check(f.front.Balancer.IsDown(barleystep.TargetID(asked)), quicktest.Equals, tc.down)
		})
	}
}
