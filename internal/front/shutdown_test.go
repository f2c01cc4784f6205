package front_test

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"runtime"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/frankban/quicktest"
	"github.com/phuslu/log"

	"github.com/barleystep/barleystep/internal/clock"
)

// logLines collects log lines.
type logLines struct {
	mu   sync.Mutex
	data bytes.Buffer
}

// Write appends one line.
func (l *logLines) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.data.Write(p)
}

// drain returns the lines collected so far and clears them.
func (l *logLines) drain(t *testing.T) []map[string]any {
	l.mu.Lock()
	defer l.mu.Unlock()
	var list []map[string]any
	for in := json.NewDecoder(&l.data); ; {
		var line map[string]any
		err := in.Decode(&line)
		if err == io.EOF {
			l.data.Reset()
			return list
		}
		quicktest.Assert(t, err, quicktest.IsNil)
		list = append(list, line)
	}
}

// waitFor waits for a line in which the field has the value, and clears it and those before it.
func (l *logLines) waitFor(t *testing.T, field, value string) {
	has := func(line map[string]any) bool { return line[field] == value }
	for !slices.ContainsFunc(l.drain(t), has) {
		runtime.Gosched()
	}
}

// newSingleEngineFixture returns a fixture with one engine that answers with the steps, its manual
// clock, and the lines that the server logs.
func newSingleEngineFixture(t *testing.T, steps ...step) (*fixture, *clock.Manual, *logLines) {
	manual := clock.NewManual(time.Unix(1000, 0))
	view := newView()
	route := view.Route("h", "/giant/")
	route.Objective, route.Timeout, route.Resumable = time.Hour, time.Hour, false
	f := newFixtureAt(t, manual, state{view: view}, steps...)
	f.targets = f.targets[len(f.targets)-1:]
	out := &logLines{}
	f.front.Log = &log.Logger{Writer: &log.IOWriter{Writer: out}}
	return f, manual, out
}

// startLong sends a long prompt from another goroutine.
func (f *fixture) startLong(t *testing.T) <-chan reply {
	answer := make(chan reply, 1)
	go func() { answer <- f.doLong(t) }()
	return answer
}

// writeOneEvent starts a stream with one event.
func writeOneEvent(c net.Conn, r *http.Request) bool {
	return rawAnswer("HTTP/1.1 200 OK\r\nId: ID\r\nSeal: s\r\nTransfer-Encoding: chunked\r\n\r\n11\r\nid: 1\ndata: xyz\n\n\r\n")(c, r)
}

// waitTimers waits until n timers are running.
func waitTimers(clk *clock.Manual, n int) {
	for clk.PendingTimers() != n {
		runtime.Gosched()
	}
}

// startLongTraced is like startLong and also signals when the head of the answer arrives.
func (f *fixture) startLongTraced(t *testing.T) (head <-chan struct{}, answer <-chan reply) {
	came := make(chan struct{})
	trace := &httptrace.ClientTrace{GotFirstResponseByte: func() { close(came) }}
	got := make(chan reply, 1)
	go func() {
		got <- f.doContext(t, httptrace.WithClientTrace(context.Background(), trace), http.MethodPost, "/giant/", "body", "Prompt", "900")
	}()
	return came, got
}

// doLong sends a long prompt, which the engine prefills in 0.9 s.
func (f *fixture) doLong(t *testing.T) reply {
	return f.do(t, http.MethodPost, "/giant/", "body", "Prompt", "900")
}

// waitRunning waits until n requests are being served.
func (f *fixture) waitRunning(n int) {
	for f.front.Running() != n {
		runtime.Gosched()
	}
}

// TestLogUnfinished checks that the phase of a request that is still running when the process exits
// is logged, since such a request writes no other line.
func TestLogUnfinished(t *testing.T) {
	cases := map[string]struct {
		begin  func(t *testing.T, f *fixture)
		target string
	}{
		"reading":   {partialBody, ""},
		"waiting":   {oneSentOneWaiting, ""},
		"sent":      {oneSent, "w"},
		"answering": {oneSent, "w"},
	}
	for phase, tc := range cases {
		t.Run(phase, func(t *testing.T) {
			release := make(chan struct{})
			hang := func(net.Conn, *http.Request) bool { <-release; return false }
			if phase == "answering" {
				hang = func(c net.Conn, r *http.Request) bool { writeOneEvent(c, r); <-release; return false }
			}
			f, _, out := newSingleEngineFixture(t, hang, hang)
			t.Cleanup(func() { close(release) }) // Must run before the server closes, which waits for requests.
			tc.begin(t, f)
			for found := false; !found; {
				f.front.LogUnfinished()
				for _, line := range out.drain(t) {
					found = found || line["phase"] == phase && line["target"] == tc.target && line["request"] == "r1"
				}
			}
		})
	}
}

// partialBody sends half of a request's body.
func partialBody(t *testing.T, f *fixture) { f.startPartialBody(t) }

// startPartialBody is like partialBody and returns the caller's connection.
func (f *fixture) startPartialBody(t *testing.T) net.Conn {
	c, err := net.Dial("tcp", f.url[len("http://"):])
	quicktest.Assert(t, err, quicktest.IsNil)
	t.Cleanup(func() { c.Close() })
	_, err = io.WriteString(c, "POST /giant/ HTTP/1.1\r\nHost: h\r\nId: r1\r\nPrompt: 900\r\nContent-Length: 8\r\n\r\nhalf")
	quicktest.Assert(t, err, quicktest.IsNil)
	f.waitRunning(1)
	return c
}

// oneSent sends a request that reaches the engine.
func oneSent(t *testing.T, f *fixture) { f.startSent(t) }

// startSent sends a request that reaches the engine, and returns the channel for its reply.
func (f *fixture) startSent(t *testing.T) <-chan reply {
	answer := f.startLong(t)
	for f.target.requestCount() == 0 {
		runtime.Gosched()
	}
	return answer
}

// oneSentOneWaiting sends a request that reaches the engine and another one that waits for it.
func oneSentOneWaiting(t *testing.T, f *fixture) {
	oneSent(t, f)
	f.startLong(t)
	f.waitRunning(2)
}

// TestShutdownEndsRequests checks how requests end that are running when a shutdown begins. Each is
// answered in time according to its state, and nothing is sent whose answer could not be complete
// by the end.
func TestShutdownEndsRequests(t *testing.T) {
	const left = 10 * time.Second // left is how long the box still serves.
	waits := func(t *testing.T, f *fixture) <-chan reply {
		f.startSent(t)
		answer := f.startLong(t)
		f.waitRunning(2)
		return answer
	}
	streams := func(t *testing.T, f *fixture) <-chan reply {
		head, answer := f.startLongTraced(t)
		<-head
		return answer
	}
	cases := map[string]struct {
		begin func(t *testing.T, f *fixture) <-chan reply
		// timers is how many timers run: one for each request, and one for each that waits for a
		// slot. The shutdown starts as many again, and one for incomplete bodies.
		timers int
		// early is how long before the end the answer comes.
		early  time.Duration
		status int
		broken bool
	}{
		"waits for a slot":    {waits, 3, 50 * time.Millisecond, http.StatusServiceUnavailable, false},
		"sent, no answer yet": {func(t *testing.T, f *fixture) <-chan reply { return f.startSent(t) }, 1, 0, http.StatusBadGateway, false},
		"stream begun":        {streams, 1, 0, http.StatusOK, true},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			c := quicktest.New(t)
			release := make(chan struct{})
			engine := func(k net.Conn, r *http.Request) bool {
				if tc.status == http.StatusOK {
					writeOneEvent(k, r)
				}
				<-release
				return false
			}
			f, manual, _ := newSingleEngineFixture(t, engine, engine)
			t.Cleanup(func() { close(release) }) // Must run before the server closes, which waits for requests.
			answer := tc.begin(t, f)
			waitTimers(manual, tc.timers)
			f.front.BeginShutdown(manual.Now().Add(left))
			waitTimers(manual, 2*tc.timers+1)
			manual.Advance(left - tc.early)
			got := <-answer
			c.Check(got.status, quicktest.Equals, tc.status)
			c.Check(got.broken, quicktest.Equals, tc.broken)
			c.Check(f.target.requestCount(), quicktest.Equals, 1)
		})
	}
}

// TestShutdownAdmission checks which requests a box still accepts after its shutdown has begun:
// those whose answer can be complete by the end. The engine prefills for 0.9 s; twelve idle engines
// would take a sixteenth of that.
func TestShutdownAdmission(t *testing.T) {
	cases := map[string]struct {
		left   time.Duration
		status int
		sends  int
	}{
		"enough time":                {2 * time.Second, http.StatusOK, 1},
		"too little for this engine": {500 * time.Millisecond, http.StatusServiceUnavailable, 0},
		"too little for any engines": {50 * time.Millisecond, http.StatusServiceUnavailable, 0},
		"none":                       {0, http.StatusServiceUnavailable, 0},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			c := quicktest.New(t)
			f, manual, _ := newSingleEngineFixture(t, eventStream(1, 2, false))
			f.front.BeginShutdown(manual.Now().Add(tc.left))
			c.Check(f.doLong(t).status, quicktest.Equals, tc.status)
			c.Check(f.target.requestCount(), quicktest.Equals, tc.sends)
			c.Check(f.front.Balancer.Snapshot().Work, quicktest.HasLen, 0)
		})
	}
}

// TestShutdownStalledStream checks that near the shutdown of the box a silent target is left only
// if another one could still complete the answer, since the silent one may continue.
func TestShutdownStalledStream(t *testing.T) {
	const writing = 3 * time.Second // writing is how long the usual answer takes.
	cases := map[string]struct {
		left  time.Duration
		sends int
	}{
		"time for another":    {10 * time.Second, 2},
		"no time for another": {4 * time.Second, 1},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			c := quicktest.New(t)
			release := make(chan struct{})
			stall := func(k net.Conn, r *http.Request) bool {
				writeOneEvent(k, r)
				<-release
				rawAnswer("12\r\nid: 2\ndata: late\n\n\r\n0\r\n\r\n")(k, r)
				return false
			}
			f, manual, _ := newSingleEngineFixture(t, stall, eventStream(2, 3, false))
			f.targets = append(f.targets, f.targets[0])
			f.targets[1].ID = "other"
			route := f.view.Route("h", "/giant/")
			route.Objective, route.Resumable = 10*time.Second, true // A place is found whenever it is asked for.
			cost := *engineCost
			cost.MeanOutputTokens = int(writing / cost.Step)
			f.view.Service("engines").Cost = &cost
			head, answer := f.startLongTraced(t)
			<-head
			// The timers for the request's deadline, the shutdown of the request, incomplete
			// bodies, and the stall watch.
			const timers = 4
			f.front.BeginShutdown(manual.Now().Add(tc.left))
			waitTimers(manual, timers)
			for range 30 { // Three seconds in all; a target is left after half of that.
				manual.Advance(100 * time.Millisecond)
				for manual.PendingTimers() != timers && f.target.requestCount() < 2 {
					runtime.Gosched() // The stall watch is running its check.
				}
			}
			close(release)
			c.Check((<-answer).broken, quicktest.IsFalse)
			c.Check(f.target.requestCount(), quicktest.Equals, tc.sends)
		})
	}
}

// TestShutdownIncompleteBody checks that a caller whose body is incomplete when the box shuts down
// is told so, and thus knows that the request has not run. It guards against bodies that begin to be read
// at that moment and are waited for until the request's deadline.
func TestShutdownIncompleteBody(t *testing.T) {
	const left = 10 * time.Second
	c := quicktest.New(t)
	f, manual, _ := newSingleEngineFixture(t)
	caller := f.startPartialBody(t)
	f.front.BeginShutdown(manual.Now().Add(left))
	waitTimers(manual, 1)
	manual.Advance(left)
	var answered atomic.Bool
	go func() {
		for !answered.Load() { // If the body was not being read yet, the box waits for it for a moment.
			manual.Advance(time.Millisecond)
			runtime.Gosched()
		}
	}()
	c.Assert(caller.SetReadDeadline(time.Now().Add(20*time.Second)), quicktest.IsNil)
	got, err := http.ReadResponse(bufio.NewReader(caller), nil)
	answered.Store(true)
	c.Assert(err, quicktest.IsNil)
	defer got.Body.Close()
	c.Check(got.StatusCode, quicktest.Equals, http.StatusServiceUnavailable)
	c.Check(got.Close, quicktest.IsTrue)
	c.Check(f.target.requestCount(), quicktest.Equals, 0)
}
