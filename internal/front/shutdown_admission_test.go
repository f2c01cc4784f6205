package front_test

import (
	"net"
	"net/http"
	"runtime"
	"testing"
	"time"

	"github.com/frankban/quicktest"

	"github.com/barleystep/barleystep/internal/clock"
	"github.com/barleystep/barleystep/internal/fleet"
)

// setCost changes the cost model of the fixture's engines.
func (f *fixture) setCost(change func(m *fleet.CostModel)) {
	cost := *engineCost
	change(&cost)
	f.view.Service("engines").Cost = &cost
}

// TestShutdownAdmitsByLongestAnswer checks that a stopping box judges a request by the longest answer
// that it allows, on busy engines. It guards against streams that are cut at the end because only
// the mean answer of an idle engine would have been complete by then.
func TestShutdownAdmitsByLongestAnswer(t *testing.T) {
	const left = 2 * time.Second
	cases := map[string]struct {
		output string
		change func(m *fleet.CostModel)
		status int
	}{
		"short answer":                {"50", func(*fleet.CostModel) {}, http.StatusOK},
		"long answer":                 {"3000", func(*fleet.CostModel) {}, http.StatusServiceUnavailable},
		"short answer, mean is long":  {"50", func(m *fleet.CostModel) { m.MeanOutputTokens = 3000 }, http.StatusOK},
		"unknown length":              {"", func(m *fleet.CostModel) { m.MeanOutputTokens = 1000 }, http.StatusServiceUnavailable},
		"other streams slow engines":  {"300", func(m *fleet.CostModel) { m.PerStream = 2 * time.Millisecond }, http.StatusServiceUnavailable},
		"their context slows engines": {"300", func(m *fleet.CostModel) { m.PerContext = 20 * time.Millisecond }, http.StatusServiceUnavailable},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			c := quicktest.New(t)
			f, manual, _ := newSingleEngineFixture(t, eventStream(1, 2, false))
			f.setCost(tc.change)
			f.front.BeginShutdown(manual.Now().Add(left))
			got := f.do(t, http.MethodPost, "/giant/", "body", "Prompt", "10", "Output", tc.output)
			c.Check(got.status, quicktest.Equals, tc.status)
			c.Check(f.target.requestCount(), quicktest.Equals, map[bool]int{true: 1}[tc.status == http.StatusOK])
			c.Check(f.front.Balancer.Snapshot().Work, quicktest.HasLen, 0)
		})
	}
}

// TestShutdownAdmitsPlainRequests checks which requests to services without a cost model a stopping
// box accepts. It guards against answers that are cut at the end because nothing was known of how
// long they take.
func TestShutdownAdmitsPlainRequests(t *testing.T) {
	cases := map[string]struct {
		path   string
		left   time.Duration
		status int
	}{
		"answer, enough time":      {"/once/", 5 * objective, http.StatusOK},
		"answer, too little time":  {"/once/", 3 * objective, http.StatusServiceUnavailable},
		"stream of unknown length": {"/stream/", 10 * time.Second, http.StatusServiceUnavailable},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			c := quicktest.New(t)
			manual := clock.NewManual(time.Unix(1000, 0))
			f := newFixtureAt(t, manual, state{view: newView()}, completeAnswer(http.StatusOK, "Seal: s\r\n", "x"))
			f.front.BeginShutdown(manual.Now().Add(tc.left))
			c.Check(f.do(t, http.MethodPost, tc.path, "body").status, quicktest.Equals, tc.status)
			c.Check(f.target.requestCount(), quicktest.Equals, map[bool]int{true: 1}[tc.status == http.StatusOK])
		})
	}
}

// TestShutdownEndsWaitInTime checks that a stopping box refuses a waiting request as soon as its
// longest answer may not be complete any more. It guards against requests that are sent at the end
// of their wait and cut.
func TestShutdownEndsWaitInTime(t *testing.T) {
	const (
		left = 10 * time.Second
		// needed is the least time for an answer of 3,000 tokens.
		needed = 3 * time.Second
	)
	c := quicktest.New(t)
	release := make(chan struct{})
	f, manual, _ := newSingleEngineFixture(t, func(net.Conn, *http.Request) bool { <-release; return false })
	t.Cleanup(func() { close(release) }) // Must run before the server closes, which waits for requests.
	f.setCost(func(m *fleet.CostModel) { m.KVTokens = 10000 })
	f.startSent(t)
	answer := make(chan reply, 1)
	go func() {
		answer <- f.do(t, http.MethodPost, "/giant/", "body", "Prompt", "900", "Output", "3000", "Id", "r2")
	}()
	f.waitRunning(2)
	const timers = 3 // One for each request and one for the wait.
	waitTimers(manual, timers)
	f.front.BeginShutdown(manual.Now().Add(left))
	waitTimers(manual, 2*timers+1)
	manual.Advance(left - needed)
	select {
	case got := <-answer:
		c.Check(got.status, quicktest.Equals, http.StatusServiceUnavailable)
	case <-time.After(20 * time.Second):
		c.Error("the request still waits")
	}
	c.Check(f.target.requestCount(), quicktest.Equals, 1)
}

// TestShutdownResumesBegunStream checks that a stopping box resumes a stream whose target broke it
// off, as long as it can go on before the end. It guards against streams that are given up because
// the longest answer would not be complete, and against prompts that are prefilled for nobody.
func TestShutdownResumesBegunStream(t *testing.T) {
	cases := map[string]struct {
		left  time.Duration
		sends int
	}{
		"time for the rest":      {time.Second, 2},
		"no time for any events": {40 * time.Millisecond, 1},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			c := quicktest.New(t)
			release := make(chan struct{})
			breaks := func(k net.Conn, r *http.Request) bool {
				writeOneEvent(k, r)
				<-release
				return false
			}
			f, manual, _ := newSingleEngineFixture(t, breaks, eventStream(2, 3, false))
			f.targets = append(f.targets, f.targets[0])
			f.targets[1].ID = "other"
			f.view.Route("h", "/giant/").Resumable = true
			f.setCost(func(m *fleet.CostModel) { m.MeanOutputTokens = 3000 })
			head, answer := f.startLongTraced(t)
			<-head
			f.front.BeginShutdown(manual.Now().Add(tc.left))
			close(release)
			c.Check((<-answer).broken, quicktest.Equals, tc.sends == 1)
			c.Check(f.target.requestCount(), quicktest.Equals, tc.sends)
		})
	}
}

// TestShutdownRetriesUnanswered checks that a stopping box retries a request whose target broke off
// before it answered if the usual answer can be complete. It guards against failures that callers
// would not have seen otherwise, since such a request can't be refused as not run.
func TestShutdownRetriesUnanswered(t *testing.T) {
	cases := map[string]struct {
		left   time.Duration
		status int
	}{
		"time for the mean answer": {2 * time.Second, http.StatusOK},
		"no time for it":           {500 * time.Millisecond, http.StatusBadGateway},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			c := quicktest.New(t)
			release := make(chan struct{})
			f, manual, _ := newSingleEngineFixture(t, func(net.Conn, *http.Request) bool { <-release; return false }, eventStream(1, 2, false))
			f.targets = append(f.targets, f.targets[0])
			f.targets[1].ID = "other"
			f.view.Route("h", "/giant/").Resumable = true
			f.setCost(func(m *fleet.CostModel) { m.MeanOutputTokens, m.KVTokens = 1000, 10000 })
			answer := make(chan reply, 1)
			go func() {
				answer <- f.do(t, http.MethodPost, "/giant/", "body", "Prompt", "10", "Output", "3000")
			}()
			for f.target.requestCount() == 0 {
				runtime.Gosched()
			}
			f.front.BeginShutdown(manual.Now().Add(tc.left))
			close(release)
			c.Check((<-answer).status, quicktest.Equals, tc.status)
		})
	}
}

// TestShutdownCallersResumption checks that a stopping box judges a stream that its caller resumes as
// it does others. It guards against resumed streams that are cut again.
func TestShutdownCallersResumption(t *testing.T) {
	cases := map[string]struct {
		output string
		status int
	}{
		"short answer": {"50", http.StatusOK},
		"long answer":  {"3000", http.StatusServiceUnavailable},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			c := quicktest.New(t)
			f, manual, _ := newSingleEngineFixture(t, eventStream(2, 3, false))
			f.front.BeginShutdown(manual.Now().Add(2 * time.Second))
			got := f.do(t, http.MethodPost, "/giant/", "body", "Prompt", "10", "Output", tc.output, "Last", "1")
			c.Check(got.status, quicktest.Equals, tc.status)
		})
	}
}

// TestShutdownRetriesWithoutCostModel guards against requests that may have run, and are given up on a
// stopping box though another target has the time for them: no refusal as not run is possible.
func TestShutdownRetriesWithoutCostModel(t *testing.T) {
	cases := map[string]struct {
		path   string
		left   time.Duration
		second step
	}{
		"stream":     {"/stream/", 8 * time.Second, eventStream(1, 3, false)},
		"repeatable": {"/again/", 3 * objective, completeAnswer(http.StatusOK, sealed, "good")},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			c := quicktest.New(t)
			manual := clock.NewManual(time.Unix(1000, 0))
			var f *fixture
			first := func(net.Conn, *http.Request) bool {
				f.front.BeginShutdown(manual.Now().Add(tc.left))
				return false
			}
			f = newFixtureAt(t, manual, state{view: newView()}, first, tc.second)
			c.Check(f.do(t, http.MethodPost, tc.path, "ask").status, quicktest.Equals, http.StatusOK)
			c.Check(f.target.requestCount(), quicktest.Equals, 2)
		})
	}
}
