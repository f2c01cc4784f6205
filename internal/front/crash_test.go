package front_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/frankban/quicktest"

	"github.com/barleystep/barleystep"
	"github.com/barleystep/barleystep/internal/fleet"
	"github.com/barleystep/barleystep/internal/suspect"
)

// crashingTarget is a target that crashes when it gets a request with the body crashBody: its
// address refuses connections, and its open connections close.
type crashingTarget struct {
	listener net.Listener
	mu       sync.Mutex
	conns    []net.Conn
	crashed  bool
	// instead, if set, handles requests instead of answering them.
	instead func(c net.Conn)
}

const (
	crashBody = "deadly"
	// crashPart is a part of a prompt at which a target crashes, whatever else the request holds.
	crashPart = "deadly"
)

func newCrashingTarget(t *testing.T) *crashingTarget {
	m := &crashingTarget{listener: listen(t)}
	t.Cleanup(m.crash)
	go func() {
		for {
			c, err := m.listener.Accept()
			if err != nil {
				return
			}
			m.mu.Lock()
			m.conns = append(m.conns, c)
			m.mu.Unlock()
			go m.serve(c)
		}
	}()
	return m
}

func (m *crashingTarget) serve(c net.Conn) {
	reader := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		body, _ := io.ReadAll(r.Body)
		if slices.Contains(r.Header["Part"], crashPart) {
			m.crash()
			return
		}
		if m.instead != nil {
			m.instead(c)
			return
		}
		if string(body) == crashBody {
			m.crash()
			return
		}
		completeAnswer(http.StatusOK, sealed, "good")(c, r)
	}
}

func (m *crashingTarget) crash() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.crashed = true
	m.listener.Close()
	for _, c := range m.conns {
		c.Close()
	}
}

// useCrashingTargets replaces the fixture's targets by n that can crash.
func (f *fixture) useCrashingTargets(t *testing.T, n int) []*crashingTarget {
	f.targets = nil
	list := make([]*crashingTarget, n)
	for i := range list {
		list[i] = newCrashingTarget(t)
		id := barleystep.TargetID(fmt.Sprint("m", i))
		f.targets = append(f.targets, fleet.Target{ID: id, Service: "s", Addr: list[i].listener.Addr().String(), Slots: 4})
	}
	return list
}

// maxCrashes is how many targets may crash under one request before it is sent to no other.
const maxCrashes = 3

// TestCrashingRequestBounded checks that a request that makes targets crash is not sent to all of
// them, however often callers repeat it, and that all other requests are served meanwhile.
//
// One such body, sent fifty times under different ids, ended 62 targets in operation; 37 of the
// sends came after three targets had ended under it. Each attempt of a caller has its own id, so
// without the suspect digest nothing shows that two attempts carry the same request, nor that a
// target ended under it: the sends break off, and the address of the target then refuses
// connections.
func TestCrashingRequestBounded(t *testing.T) {
	for name, path := range map[string]string{"repeatable": "/again/", "once": "/once/", "stream": "/stream/"} {
		t.Run(name, func(t *testing.T) {
			c := quicktest.New(t)
			f := newFixture(t, state{view: newView()})
			targets := f.useCrashingTargets(t, 8)
			for i := range 8 {
				got := f.do(t, http.MethodPost, path, crashBody)
				c.Check(got.status >= http.StatusInternalServerError, quicktest.IsTrue)
				got = f.do(t, http.MethodPost, "/again/", strings.Repeat("x", i))
				c.Check(got.status, quicktest.Equals, http.StatusOK)
			}
			crashed := countCrashed(targets)
			c.Check(crashed <= maxCrashes, quicktest.IsTrue, quicktest.Commentf("%d ended", crashed))
		})
	}
}

// TestCrashingPartBounded guards against requests no two alike that make targets crash by one part
// of their prompts: each body was taken for a request of its own, and each ended one or two targets.
// Requests that share their account, route and other parts are served meanwhile.
func TestCrashingPartBounded(t *testing.T) {
	const maxPartCrashes = 5
	cases := map[string]struct {
		path  string
		first func(i int) string // first returns the first part of the i-th request.
	}{
		"stream":                  {"/stream/", func(int) string { return "first" }},
		"plain":                   {"/again/", func(int) string { return "first" }},
		"once":                    {"/once/", func(int) string { return "first" }},
		"under other first parts": {"/stream/", func(i int) string { return fmt.Sprint("first ", i%3) }},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			c := quicktest.New(t)
			f := newFixture(t, state{view: newView()})
			targets := f.useCrashingTargets(t, 12)
			for i := range 12 {
				first := tc.first(i)
				got := f.do(t, http.MethodPost, tc.path, fmt.Sprint("a", i), "Part", first, "Part", crashPart)
				c.Check(got.status >= http.StatusInternalServerError, quicktest.IsTrue)
				got = f.do(t, http.MethodPost, "/again/", fmt.Sprint("b", i), "Part", first, "Part", "sound")
				c.Check(got.status, quicktest.Equals, http.StatusOK)
			}
			c.Check(countCrashed(targets) <= maxPartCrashes, quicktest.IsTrue, quicktest.Commentf("%d ended", countCrashed(targets)))
		})
	}
}

// countCrashed returns how many targets have crashed.
func countCrashed(targets []*crashingTarget) (n int) {
	for _, m := range targets {
		m.mu.Lock()
		if m.crashed {
			n++
		}
		m.mu.Unlock()
	}
	return n
}

// TestCrashDetection checks what counts as evidence against a request: only that the address of a
// target that had it refuses connections. Other failures of a try do not count.
func TestCrashDetection(t *testing.T) {
	drain := func(targets []fleet.Target) []fleet.Target {
		targets[0].Draining = true
		return targets
	}
	none := func([]fleet.Target) []fleet.Target { return nil }
	cases := map[string]struct {
		act  func(f *fixture, m *crashingTarget, c net.Conn) // act is what the target does instead of answering.
		want suspect.Status
	}{
		"target crashes":                    {func(_ *fixture, m *crashingTarget, _ net.Conn) { m.crash() }, suspect.Isolated},
		"target closes the connection":      {func(_ *fixture, _ *crashingTarget, c net.Conn) { c.Close() }, suspect.Allowed},
		"target resets the connection":      {func(_ *fixture, _ *crashingTarget, c net.Conn) { _ = c.(*net.TCPConn).SetLinger(0); c.Close() }, suspect.Allowed},
		"draining target terminates":        {func(f *fixture, m *crashingTarget, _ net.Conn) { f.change(drain); m.crash() }, suspect.Allowed},
		"target removed from the catalogue": {func(f *fixture, m *crashingTarget, _ net.Conn) { f.change(none); m.crash() }, suspect.Allowed},
		"invalid answer":                    {func(_ *fixture, _ *crashingTarget, c net.Conn) { _, _ = io.WriteString(c, "zzz\r\n\r\n"); c.Close() }, suspect.Allowed},
		"status 500": {func(_ *fixture, _ *crashingTarget, c net.Conn) {
			_, _ = io.WriteString(c, "HTTP/1.1 500 X\r\nId: r1\r\nSeal: s\r\nContent-Length: 0\r\n\r\n")
		}, suspect.Allowed},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t, state{view: newView()})
			m := f.useCrashingTargets(t, 1)[0]
			m.instead = func(c net.Conn) { tc.act(f, m, c) }
			f.do(t, http.MethodPost, "/once/", crashBody)
			quicktest.Check(t, f.suspectStatus("/once/", crashBody), quicktest.Equals, tc.want)
		})
	}
}

// TestLateCrashDetection guards against ends of targets that are never told: a target that breaks
// off a request may still accept connections for a moment, or be back at its address, when the box
// looks.
func TestLateCrashDetection(t *testing.T) {
	restart := func(targets []fleet.Target) []fleet.Target {
		targets[0].StartMS++
		return targets
	}
	replace := func(targets []fleet.Target) []fleet.Target {
		targets[0].ID = "another"
		return targets
	}
	drain := func(targets []fleet.Target) []fleet.Target {
		targets[0].Draining = true
		return targets
	}
	cases := map[string]struct {
		after func(f *fixture, m *crashingTarget) // after is what happens once the box has looked.
		want  suspect.Status
	}{
		"it refuses connections":         {func(_ *fixture, m *crashingTarget) { m.crash() }, suspect.Isolated},
		"it has started anew":            {func(f *fixture, _ *crashingTarget) { f.change(restart) }, suspect.Isolated},
		"another one has its address":    {func(f *fixture, _ *crashingTarget) { f.change(replace) }, suspect.Isolated},
		"it goes on":                     {func(*fixture, *crashingTarget) {}, suspect.Allowed},
		"it says that it is leaving":     {func(f *fixture, _ *crashingTarget) { f.change(drain) }, suspect.Allowed},
		"it was leaving, and terminates": {func(f *fixture, m *crashingTarget) { f.change(drain); m.crash() }, suspect.Allowed},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := newFixture(t, state{view: newView()})
			m := f.useCrashingTargets(t, 1)[0]
			f.change(func(targets []fleet.Target) []fleet.Target { targets[0].StartMS = 1; return targets })
			m.instead = func(c net.Conn) { c.Close() }
			f.do(t, http.MethodPost, "/once/", crashBody)
			quicktest.Check(t, f.suspectStatus("/once/", crashBody), quicktest.Equals, suspect.Allowed)
			tc.after(f, m)
			for f.front.PendingChecks() > 0 {
				runtime.Gosched()
			}
			quicktest.Check(t, f.suspectStatus("/once/", crashBody), quicktest.Equals, tc.want)
		})
	}
}

// suspectStatus returns the suspect status of a request without a client account.
func (f *fixture) suspectStatus(path, body string) suspect.Status {
	d := suspect.Request{Method: http.MethodPost, Host: "h", RequestURI: path, Body: []byte(body)}.Digest()
	s, _ := f.front.Balancer.Suspects.Status(d)
	return s
}

// TestSuspectRefused checks what callers of a request that targets crashed under are told, and that
// no other request is refused.
func TestSuspectRefused(t *testing.T) {
	const times = 3
	cases := map[string]struct {
		path   string
		body   string
		key    string
		status int
	}{
		"same request":              {"/keyed/", crashBody, "k", http.StatusServiceUnavailable},
		"another body":              {"/keyed/", "beadly", "k", http.StatusOK},
		"another path":              {"/keyed/a", "beadly", "k", http.StatusOK},
		"another account":           {"/keyed/", crashBody, "l", http.StatusOK},
		"another route, no account": {"/once/", crashBody, "", http.StatusOK},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			c := quicktest.New(t)
			f := newFixture(t, state{view: newView()}, completeAnswer(http.StatusOK, sealed, "good"))
			d := suspect.Request{Account: "acme", Method: http.MethodPost, Host: "h", RequestURI: "/keyed/", Body: []byte(crashBody)}.Digest()
			for key := range uint32(times) {
				f.front.Balancer.Suspects.RecordEnd(d, len(crashBody), suspect.NewEnd(key, time.Now(), suspect.RanAlone))
			}
			got := f.do(t, http.MethodPost, tc.path, tc.body, "Key", tc.key)
			c.Check(got.status, quicktest.Equals, tc.status)
			if tc.status == http.StatusOK {
				return
			}
			c.Check(f.target.requestCount(), quicktest.Equals, 0)
			again, err := time.ParseDuration(got.header.Get("Again"))
			c.Check(err, quicktest.IsNil)
			c.Check(again > suspect.RefusalPeriod/2, quicktest.IsTrue)
		})
	}
}

// TestHelperCrashRecorded checks that the crash of a helper counts as evidence against the prompt
// that it prefilled a part of, and that all targets of one try count as one end against the parts of
// the prompt, which others share.
func TestHelperCrashRecorded(t *testing.T) {
	c := quicktest.New(t)
	f := newFixture(t, state{view: newView()})
	targets := f.useCrashingTargets(t, 4)
	for i, m := range targets {
		f.targets[i].Service = "engines"
		m.instead = func(conn net.Conn) {
			for k, o := range targets {
				if k != i {
					o.crash()
				}
			}
			conn.Close()
		}
	}
	f.view.Route("h", "/giant/").MaxTries = 1
	f.do(t, http.MethodPost, "/giant/", crashBody, "Prompt", "600", "Part", "shared")
	c.Check(f.suspectStatus("/giant/", crashBody), quicktest.Not(quicktest.Equals), suspect.Allowed)
	shared := suspect.Subject{Parts: []suspect.Digest{suspect.Part{Service: "engines", ID: "shared"}.Digest()}}
	c.Check(f.front.Balancer.Suspects.Assess(shared).Status, quicktest.Equals, suspect.Allowed)
}

// TestRunningTryCancelledOnRefusal checks that a running try is cancelled once its request is
// refused, that its caller is told that it may have run, and that other requests continue.
func TestRunningTryCancelledOnRefusal(t *testing.T) {
	c := quicktest.New(t)
	f := newFixture(t, state{view: newView()})
	m := f.useCrashingTargets(t, 1)[0]
	arrived := make(chan struct{}, 2)
	release := make(chan struct{})
	defer close(release)
	m.instead = func(net.Conn) {
		arrived <- struct{}{}
		<-release
	}
	do := func(body string) <-chan reply {
		answer := make(chan reply, 1)
		go func() { answer <- f.do(t, http.MethodPost, "/once/", body) }()
		<-arrived
		return answer
	}
	refused, other := do(crashBody), do("beadly")
	d := suspect.Request{Method: http.MethodPost, Host: "h", RequestURI: "/once/", Body: []byte(crashBody)}.Digest()
	evidence := suspect.NewEvidence(len(crashBody), nil, time.Time{}, time.Time{})
	for key := range uint32(maxCrashes) {
		evidence = suspect.NewEvidence(len(crashBody), append(evidence.Ends(), suspect.NewEnd(key, time.Now(), suspect.RanAlone)), time.Time{}, time.Time{})
	}
	f.front.Balancer.Suspects.Merge(map[suspect.Digest]suspect.Evidence{d: evidence})
	c.Check((<-refused).status, quicktest.Equals, http.StatusBadGateway)
	c.Check(len(other), quicktest.Equals, 0)
}
