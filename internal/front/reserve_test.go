package front_test

import (
	"io"
	"net"
	"net/http"
	"runtime"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/frankban/quicktest"

	"github.com/barleystep/barleystep"
	"github.com/barleystep/barleystep/internal/clock"
	"github.com/barleystep/barleystep/internal/fleet"
)

// TestReserve checks that for a prompt that exceeds an engine's memory, memory is reserved at
// helpers before the request is sent, and released afterwards whatever the result.
func TestReserve(t *testing.T) {
	ok, full := completeAnswer(200, "", ""), completeAnswer(409, "", "")
	cases := map[string]struct {
		steps []step
		// order is how engines answer orders, in turn; the last answer is repeated.
		order []step
		// sends is how many times the request is sent, after at least so many reservations.
		reserved int
		sends    int
		status   int
	}{
		"served":            {[]step{eventStream(1, 2, false)}, []step{ok}, 2, 1, 200},
		"connection closed": {[]step{rawAnswer("")}, []step{ok}, 2, 1, 502},
		"release fails":     {[]step{eventStream(1, 2, false)}, []step{failingOnce("/release/", ok)}, 2, 1, 200},
		"no memory":         {nil, []step{full}, 0, 0, 503},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			c := quicktest.New(t)
			view := newView()
			view.Route("h", "/giant/").MaxTries = 1
			f := newFixture(t, state{view: view}, tc.steps...)
			f.target.orders = tc.order
			got := f.do(t, http.MethodPost, "/giant/", "", "Prompt", "1200")
			c.Check(got.status, quicktest.Equals, tc.status)
			orders := f.target.waitReleased()
			before, _, sent := strings.Cut(orders, "S")
			c.Check(sent, quicktest.Equals, tc.sends > 0)
			c.Check(strings.Count(orders, "S"), quicktest.Equals, tc.sends)
			if sent {
				c.Check(len(before) >= tc.reserved, quicktest.IsTrue)
				c.Check(strings.Trim(before, "R"), quicktest.Equals, "")
			}
		})
	}
}

// TestUnansweredOrders guards against prompts over an engine's memory that hardly ever start while some of
// the orders for memory get no answer: one such helper sent the whole prompt back for other engines.
func TestUnansweredOrders(t *testing.T) {
	c := quicktest.New(t)
	f := newFixture(t, state{view: newView()}, eventStream(1, 2, false))
	end := make(chan struct{})
	defer close(end)
	unanswered := func(net.Conn, *http.Request) bool { <-end; return false }
	ok := completeAnswer(http.StatusOK, "", "")
	f.target.orders = []step{unanswered, ok, unanswered, unanswered, ok}
	got := f.do(t, http.MethodPost, "/giant/", "", "Prompt", "1200")
	c.Check(got.status, quicktest.Equals, http.StatusOK)
	before, _, _ := strings.Cut(f.target.kinds(), "S")
	c.Check(strings.Trim(before, "R"), quicktest.Equals, "", quicktest.Commentf("memory was given back, to be reserved at other helpers"))
}

// TestReservedMemoryOfSilentTarget guards against memory that is held at helpers, renewed each second, for
// a target that never begins the prompt.
func TestReservedMemoryOfSilentTarget(t *testing.T) {
	t.Parallel()
	c := quicktest.New(t)
	view := newView()
	view.Route("h", "/giant/").Objective = time.Hour // The route's time limit is 20 s.
	release := make(chan struct{})
	silent := func(net.Conn, *http.Request) bool { <-release; return false }
	f := newFixture(t, state{view: view}, silent, eventStream(1, 2, false))
	f.target.orders = []step{completeAnswer(http.StatusOK, "", "")}
	got := f.do(t, http.MethodPost, "/giant/", "", "Prompt", "1200")
	close(release)
	c.Check(got.status, quicktest.Equals, http.StatusOK)
	c.Check(strings.Count(f.target.kinds(), "S"), quicktest.Equals, 2)
}

// TestReservedMemoryOfLastSend guards against memory that is held at helpers for a silent target where the
// request may not be sent again: on its last send, and on routes that don't resume.
func TestReservedMemoryOfLastSend(t *testing.T) {
	cases := map[string]func(r *fleet.Route){
		"last send":     func(r *fleet.Route) { r.MaxTries = 1 },
		"not resumable": func(r *fleet.Route) { r.Resumable = false },
	}
	for name, change := range cases {
		t.Run(name, func(t *testing.T) {
			c := quicktest.New(t)
			view := newView()
			route := view.Route("h", "/giant/")
			route.Objective, route.Timeout = time.Hour, 24*time.Hour
			change(route)
			release, sent := make(chan struct{}), make(chan struct{})
			defer close(release)
			silent := func(net.Conn, *http.Request) bool { close(sent); <-release; return false }
			manual := clock.NewManual(time.Unix(1000, 0))
			f := newFixtureAt(t, manual, state{view: view}, silent)
			f.target.orders = []step{completeAnswer(http.StatusOK, "", "")}
			answer := make(chan reply, 1)
			go func() { answer <- f.do(t, http.MethodPost, "/giant/", "", "Prompt", "1200") }()
			<-sent
			for len(answer) == 0 {
				manual.Advance(100 * time.Millisecond)
				runtime.Gosched()
			}
			c.Check((<-answer).status, quicktest.Equals, http.StatusBadGateway) // 504 at the time limit.
		})
	}
}

// TestUnusedMemoryOfLateAnswer guards against memory that is held at helpers, unused, for as long as the answer
// is expected to take, while the target leaves the prompt unanswered or no other target is free. Memory that
// a request uses is kept.
func TestUnusedMemoryOfLateAnswer(t *testing.T) {
	cases := map[string]struct {
		change func(f *fixture)
		isUsed bool
	}{
		"may move":      {func(*fixture) {}, false},
		"no retry left": {func(f *fixture) { f.front.Budget.SetLimits(0, 0) }, false},
		"last send":     {func(f *fixture) { f.view.Route("h", "/giant/").MaxTries = 1 }, false},
		"used":          {func(f *fixture) { f.view.Route("h", "/giant/").MaxTries = 1 }, true},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			c := quicktest.New(t)
			view := newView()
			route := view.Route("h", "/giant/")
			route.Objective, route.Timeout = time.Hour, 24*time.Hour
			slow := *engineCost
			slow.PrefillRate = 60 // The first event is expected after 7 s.
			view.Service("engines").Cost = &slow
			sent, begin, end := make(chan struct{}), make(chan struct{}), make(chan struct{})
			defer close(end)
			silent := func(k net.Conn, r *http.Request) bool {
				close(sent)
				select {
				case <-begin:
					return eventStream(1, 2, false)(k, r)
				case <-end:
					return false
				}
			}
			manual := clock.NewManual(time.Unix(1000, 0))
			f := newFixtureAt(t, manual, state{view: view}, silent, eventStream(1, 2, false))
			tc.change(f)
			asked := make(chan struct{}, 64)
			f.target.orders = []step{func(k net.Conn, r *http.Request) bool {
				if r.RequestURI == "/usage" && tc.isUsed {
					asked <- struct{}{}
					return completeAnswer(http.StatusOK, "", "used "+f.target.reservationIDs()[0])(k, r)
				}
				return completeAnswer(http.StatusOK, "", "")(k, r)
			}}
			answer := make(chan reply, 1)
			go func() { answer <- f.do(t, http.MethodPost, "/giant/", "", "Prompt", "1200") }()
			<-sent
			manual.Advance(7 * time.Second) // Less than the 9 s for which memory may be unused.
			for !f.target.hasReleased() && len(asked) == 0 {
				runtime.Gosched()
			}
			if !tc.isUsed {
				return
			}
			close(begin)
			c.Check((<-answer).status, quicktest.Equals, http.StatusOK)
		})
	}
}

// TestReservationsOfRepeatedRequest guards against memory of a caller's second try, here or at another box,
// that counts as that of its first: the release of the first would free it, and its time unused would go on.
func TestReservationsOfRepeatedRequest(t *testing.T) {
	c := quicktest.New(t)
	var ids []string
	for range 2 {
		f := newFixture(t, state{view: newView()}, eventStream(1, 2, false), eventStream(1, 2, false))
		f.target.orders = []step{completeAnswer(http.StatusOK, "", "")}
		for range 2 {
			c.Check(f.do(t, http.MethodPost, "/giant/", "", "Prompt", "1200").status, quicktest.Equals, http.StatusOK)
		}
		ids = append(ids, f.target.reservationIDs()...)
	}
	slices.Sort(ids)
	c.Check(slices.Compact(ids), quicktest.HasLen, 4)
}

// reservationIDs returns the ids under which memory was reserved.
func (s *server) reservationIDs() (ids []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, r := range s.requests {
		if rest, ok := strings.CutPrefix(r.RequestURI, "/reserve/"); ok {
			id, _, _ := strings.Cut(rest, "/")
			ids = append(ids, id)
		}
	}
	return ids
}

// hasReleased reports whether memory was released at a helper.
func (s *server) hasReleased() bool { return strings.Contains(s.kinds(), "F") }

// TestPendingReleases checks that the server reports that memory is still being released after the
// request has been answered. If the box terminates before that, the memory stays reserved until the
// reservation expires.
func TestPendingReleases(t *testing.T) {
	c := quicktest.New(t)
	f := newFixture(t, state{view: newView()}, eventStream(1, 2, false))
	release := make(chan struct{})
	f.target.orders = []step{func(k net.Conn, r *http.Request) bool {
		if strings.HasPrefix(r.RequestURI, "/release/") {
			<-release
		}
		return completeAnswer(http.StatusOK, "", "")(k, r)
	}}
	c.Check(f.front.PendingReleases(), quicktest.Equals, 0)
	c.Check(f.do(t, http.MethodPost, "/giant/", "", "Prompt", "1200").status, quicktest.Equals, http.StatusOK)
	c.Check(f.front.PendingReleases(), quicktest.Equals, 1)
	close(release)
	for f.front.PendingReleases() > 0 {
		runtime.Gosched()
	}
}

// TestBlamedHelper checks that a prompt with a blamed helper gets other helpers, and that no
// helpers are used again if it is not known which one is to blame.
func TestBlamedHelper(t *testing.T) {
	refuse := func(blame bool) step {
		return func(c net.Conn, r *http.Request) bool {
			headers := "Not-Run: 1\r\n"
			if blame {
				headers += "Blamed: " + c.LocalAddr().String() + "\r\n" // All helpers have this address.
			}
			return completeAnswer(http.StatusServiceUnavailable, headers, "")(c, r)
		}
	}
	cases := map[string]struct {
		blame  bool
		status int
	}{
		"helper named":    {true, http.StatusOK},
		"no helper named": {false, http.StatusServiceUnavailable},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t, state{view: newView()}, refuse(tc.blame), eventStream(1, 2, false))
			f.target.orders = []step{completeAnswer(http.StatusOK, "", "")}
			got := f.do(t, http.MethodPost, "/giant/", "", "Prompt", "1200")
			quicktest.Check(t, got.status, quicktest.Equals, tc.status)
		})
	}
}

// TestLateAnswerOnOrder checks that an order does not count as accepted because of a late answer
// to something else on a reused connection.
func TestLateAnswerOnOrder(t *testing.T) {
	cases := map[string]string{
		"to a request":       "HTTP/1.1 200 X\r\nId: r0\r\nSeal: s\r\nContent-Length: 0\r\n\r\n",
		"to another order":   "HTTP/1.1 200 X\r\nContent-Length: 0\r\n\r\n",
		"without any length": "HTTP/1.1 200 X\r\n\r\n",
	}
	for name, late := range cases {
		t.Run(name, func(t *testing.T) {
			c := quicktest.New(t)
			view := newView()
			view.Route("h", "/giant/").MaxTries = 1
			var used sync.Map
			var together sync.WaitGroup // Makes the box open a connection for each of the two helpers.
			together.Add(2)
			first := func(k net.Conn, r *http.Request) bool {
				used.Store(k, true)
				together.Done()
				together.Wait()
				return completeAnswer(http.StatusOK, sealed, "good")(k, r)
			}
			refuse := func(k net.Conn, r *http.Request) bool {
				if _, ok := used.Load(k); ok {
					_, _ = io.WriteString(k, late)
				}
				return completeAnswer(http.StatusConflict, "", "")(k, r)
			}
			f := newFixture(t, state{view: view}, first, first, eventStream(1, 2, false))
			f.target.orders = []step{refuse}
			var asked sync.WaitGroup
			for range 2 {
				asked.Go(func() { c.Check(f.do(t, http.MethodPost, "/once/", "").status, quicktest.Equals, http.StatusOK) })
			}
			asked.Wait()
			got := f.do(t, http.MethodPost, "/giant/", "", "Prompt", "1200")
			c.Check(got.status, quicktest.Equals, http.StatusServiceUnavailable)
			c.Check(strings.Count(f.target.kinds(), "S"), quicktest.Equals, 2)
		})
	}
}

// TestBlamedHelperInOtherHall checks that a prompt whose target cannot reach a helper in another
// hall gets helpers of one hall, since the other helpers there are probably unreachable too.
func TestBlamedHelperInOtherHall(t *testing.T) {
	c := quicktest.New(t)
	f := newFixture(t, state{view: newView()})
	halls := map[string]string{"x": "1", "y": "2", "z": "1", "w": "2"}
	addrs := make(map[string]string)
	for i, target := range f.targets {
		hall, engine := halls[string(target.ID)]
		if !engine {
			continue
		}
		f.targets[i].Hall = barleystep.HallID(hall)
		f.targets[i].Addr = f.target.start(t)
		addrs[f.targets[i].Addr] = hall
	}
	// Engines refuse prompts with helpers in another hall, and blame one of those.
	cut := func(k net.Conn, r *http.Request) bool {
		for _, helper := range r.Header.Values("Helper-At") {
			if addrs[helper] != addrs[k.LocalAddr().String()] {
				return completeAnswer(http.StatusServiceUnavailable, "Not-Run: 1\r\nBlamed: "+helper+"\r\n", "")(k, r)
			}
		}
		return eventStream(1, 2, false)(k, r)
	}
	f.target.steps = []step{cut, cut}
	got := f.do(t, http.MethodPost, "/giant/", "", "Prompt", "800")
	c.Check(got.status, quicktest.Equals, http.StatusOK)
}

// failingOnce closes the connection at the first request with the path prefix, and otherwise
// answers with the given step.
func failingOnce(path string, otherwise step) step {
	var failed atomic.Bool
	return func(c net.Conn, r *http.Request) bool {
		if strings.HasPrefix(r.RequestURI, path) && failed.CompareAndSwap(false, true) {
			return false
		}
		return otherwise(c, r)
	}
}

// waitReleased waits until there are as many releases as reservations, and returns the kinds of the
// requests that the engines got: R for a reservation, F for a release and S for the request itself.
func (s *server) waitReleased() string {
	for {
		kinds := s.kinds()
		if n := strings.Count(kinds, "R"); n > 0 && strings.Count(kinds, "F") >= n {
			return kinds
		}
		runtime.Gosched()
	}
}

func (s *server) kinds() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	var kinds []byte
	for _, r := range s.requests {
		switch {
		case strings.HasPrefix(r.RequestURI, "/reserve/"):
			kinds = append(kinds, 'R')
		case strings.HasPrefix(r.RequestURI, "/release/"):
			kinds = append(kinds, 'F')
		case isOrder(r): // Its usage is asked for.
		default:
			kinds = append(kinds, 'S')
		}
	}
	return string(kinds)
}
