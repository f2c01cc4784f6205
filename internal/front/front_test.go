package front_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/url"
	"runtime"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/frankban/quicktest"
	"github.com/phuslu/log"

	"github.com/barleystep/barleystep"
	"github.com/barleystep/barleystep/internal/balance"
	"github.com/barleystep/barleystep/internal/budget"
	"github.com/barleystep/barleystep/internal/clock"
	"github.com/barleystep/barleystep/internal/conn"
	"github.com/barleystep/barleystep/internal/fleet"
	"github.com/barleystep/barleystep/internal/front"
	"github.com/barleystep/barleystep/internal/metric"
)

// protocol is a plain form of barleystep.Protocol for these tests.
type protocol struct{}

func (protocol) Call(h http.Header) barleystep.Call {
	limit, err := time.ParseDuration(h.Get("Limit"))
	if err != nil {
		limit = 0
	}
	prompt, err := strconv.Atoi(h.Get("Prompt"))
	if err != nil {
		prompt = 0
	}
	return barleystep.Call{ID: h.Get("Id"), Key: h.Get("Key"), TimeLimit: limit, Prompt: prompt}
}

func (protocol) Prepare(h http.Header, d barleystep.Delivery) {
	h.Del("Key")
	h.Set("Instance", string(d.Instance))
	h.Set("Account", d.Account)
	h.Set("Left", d.TimeLeft.String())
	if d.LastEvent != "" {
		h.Set("Last", d.LastEvent)
	}
	for _, helper := range d.Helpers {
		h.Add("Helper", helper.Reservation)
	}
}

func (protocol) Verdict(_ int, h http.Header) barleystep.Verdict {
	return barleystep.Verdict{
		ID:      h.Get("Id"),
		Sealed:  h.Get("Seal") != "",
		NotRun:  h.Get("Not-Run") != "",
		Encoded: h.Get("Content-Encoding") != "",
	}
}

func (protocol) Reserve(r barleystep.Reservation) (*http.Request, []byte) {
	return order("/reserve/" + r.ID + "/" + fmt.Sprint(r.Tokens))
}

func (protocol) Release(id string) (*http.Request, []byte) { return order("/release/" + id) }

func order(path string) (*http.Request, []byte) {
	return &http.Request{Method: http.MethodPost, URL: &url.URL{Opaque: path}, Header: http.Header{}}, nil
}

func (protocol) Unseal(h http.Header) { h.Del("Seal") }

func (protocol) Answer(h http.Header, id string, retryAfter time.Duration) {
	h.Set("Id", id)
	h.Set("Again", retryAfter.String())
}

// server is a target that answers each request with the next step.
type server struct {
	mu       sync.Mutex
	steps    []step
	orders   []step // orders answer orders instead, the last one all further ones.
	requests []*http.Request
	bodies   []string
}

// step writes an answer to a connection; the connection is closed after it
// unless it returns true.
type step func(c net.Conn, r *http.Request) bool

func (s *server) next(r *http.Request, body string) step {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.requests = append(s.requests, r)
	s.bodies = append(s.bodies, body)
	if isOrder(r) && len(s.orders) > 0 {
		next := s.orders[0]
		if len(s.orders) > 1 {
			s.orders = s.orders[1:]
		}
		return next
	}
	if len(s.steps) == 0 {
		return raw("")
	}
	next := s.steps[0]
	s.steps = s.steps[1:]
	return next
}

func isOrder(r *http.Request) bool {
	return strings.HasPrefix(r.RequestURI, "/reserve/") || strings.HasPrefix(r.RequestURI, "/release/")
}

func (s *server) start(t *testing.T) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	quicktest.Assert(t, err, quicktest.IsNil)
	t.Cleanup(func() { l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go s.serve(c)
		}
	}()
	return l.Addr().String()
}

func (s *server) serve(c net.Conn) {
	defer c.Close()
	reader := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		body, _ := io.ReadAll(r.Body)
		if !s.next(r, string(body))(c, r) {
			return
		}
	}
}

// raw writes a text as it is; ID stands for the request's id.
func raw(text string) step {
	return func(c net.Conn, r *http.Request) bool {
		_, _ = io.WriteString(c, strings.ReplaceAll(text, "ID", r.Header.Get("Id")))
		return false
	}
}

func whole(status int, headers, body string) step {
	text := fmt.Sprintf("HTTP/1.1 %d X\r\nId: ID\r\n%sContent-Length: %d\r\n\r\n%s", status, headers, len(body), body)
	return func(c net.Conn, r *http.Request) bool {
		raw(text)(c, r)
		return true
	}
}

// events writes a stream of numbered events; cut leaves out its end.
func events(from, to int, cut bool) step {
	text := "HTTP/1.1 200 OK\r\nId: ID\r\nSeal: s\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
	for i := from; i <= to; i++ {
		e := fmt.Sprintf("id: %d\ndata: x\n\n", i)
		text += fmt.Sprintf("%x\r\n%s\r\n", len(e), e)
	}
	if cut {
		return raw(text + "8\r\nid: 9")
	}
	return raw(text + "0\r\n\r\n")
}

func silent(_ net.Conn, r *http.Request) bool {
	<-r.Context().Done()
	return false
}

// state is a configuration whose age of proof is set by a test.
type state struct {
	view *fleet.View
	age  time.Duration
}

func (s state) View() *fleet.View  { return s.view }
func (s state) Age() time.Duration { return s.age }

const (
	freshness = 5 * time.Second
	objective = 300 * time.Millisecond
)

func newView() *fleet.View {
	share := []fleet.Share{{Service: "s", Weight: 1}}
	base := fleet.Route{Host: "h", Timeout: 20 * time.Second, Objective: objective, MaxPause: objective, MaxSends: 2, Split: share}
	route := func(prefix string, kind fleet.Kind, resumable, public bool) fleet.Route {
		r := base
		r.Name, r.Prefix, r.Kind, r.Resumable, r.Public = prefix, prefix, kind, resumable, public
		return r
	}
	giant := []fleet.Share{{Service: "engines", Weight: 1}}
	short := route("/short/", fleet.KindOnce, false, true)
	short.Timeout = 50 * time.Millisecond
	c := fleet.Configuration{
		Version: 1,
		Routes: []fleet.Route{
			route("/once/", fleet.KindOnce, false, true),
			route("/again/", fleet.KindRepeatable, false, true),
			route("/stream/", fleet.KindStream, true, true),
			route("/plainstream/", fleet.KindStream, false, true),
			route("/giant/", fleet.KindStream, true, true),
			route("/keyed/", fleet.KindOnce, false, false),
			short,
		},
		Services: []fleet.Service{{Name: "s"}, {Name: "engines", Cost: engineCost}},
		Accounts: []fleet.Account{{Name: "acme", Keys: []string{"k"}}},
		Limits:   fleet.Limits{BodyBytes: 100},
	}
	for i := range c.Routes {
		if c.Routes[i].Name == "/giant/" {
			c.Routes[i].Split = giant
		}
	}
	return fleet.NewView(c)
}

// engineCost is that of engines with memory for 1,000 tokens, which read a token
// in a millisecond.
var engineCost = &fleet.CostModel{Slots: 4, Memory: 1000, Stride: 1, Step: time.Millisecond, ReadRate: 1000, UsualPrompt: 100}

// fixture is a front before some targets.
type fixture struct {
	url    string
	front  *front.Server
	target *server
}

func newFixture(t *testing.T, s state, steps ...step) *fixture {
	return newFixtureAt(t, clock.System{}, s, steps...)
}

func newFixtureAt(t *testing.T, clk barleystep.Clock, s state, steps ...step) *fixture {
	f := &fixture{target: &server{steps: steps}}
	addr := f.target.start(t)
	targets := []fleet.Target{
		{ID: "a", Service: "s", Addr: addr, Slots: 4},
		{ID: "b", Service: "s", Addr: addr, Slots: 4},
	}
	for _, id := range []barleystep.TargetID{"x", "y", "z", "w"} {
		targets = append(targets, fleet.Target{ID: id, Service: "engines", Addr: addr, Slots: 4})
	}
	spent := &budget.Budget{Clock: clk, Window: 10 * time.Second, Boxes: func() int { return 1 }}
	spent.Set(1, 10)
	quiet := &log.Logger{Level: log.PanicLevel}
	f.front = &front.Server{
		Clock:         clk,
		Protocol:      protocol{},
		Configuration: s,
		Balancer:      &balance.Balancer{Clock: clk, Targets: func() []fleet.Target { return targets }, Log: quiet},
		Pool:          &conn.Pool{Clock: clk, DialTimeout: 10 * time.Second},
		Budget:        spent,
		Meter:         metric.Discard(),
		Log:           quiet,
	}
	f.front.SetFreshness(freshness)
	server := httptest.NewServer(f.front.Handler())
	t.Cleanup(server.Close)
	f.url = server.URL
	return f
}

// reply is what a caller got.
type reply struct {
	status int
	header http.Header
	body   string
	// broken is set when the answer did not come whole.
	broken bool
}

func (f *fixture) ask(t *testing.T, method, path, body string, headers ...string) reply {
	req, err := http.NewRequestWithContext(context.Background(), method, f.url+path, strings.NewReader(body))
	quicktest.Assert(t, err, quicktest.IsNil)
	req.Host = "h"
	req.Header.Set("Id", "r1")
	for i := 0; i+1 < len(headers); i += 2 {
		req.Header.Set(headers[i], headers[i+1])
	}
	client := &http.Client{Transport: &http.Transport{DisableCompression: true, DisableKeepAlives: true}}
	resp, err := client.Do(req)
	if err != nil {
		return reply{broken: true}
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	return reply{resp.StatusCode, resp.Header, string(data), err != nil}
}

func stream(from, to int) string {
	var b strings.Builder
	for i := from; i <= to; i++ {
		fmt.Fprintf(&b, "id: %d\ndata: x\n\n", i)
	}
	return b.String()
}

const sealed = "Seal: s\r\n"

// TestAnswers checks, for each kind of route, what becomes of what targets do:
// the status and body for the caller, and how many times the request was sent.
func TestAnswers(t *testing.T) {
	ok := whole(200, sealed, "good")
	shed := whole(503, "Not-Run: 1\r\n", "")
	cases := map[string]struct {
		path   string
		steps  []step
		status int
		body   string
		sends  int
		broken bool
	}{
		"whole answer":                     {"/once/", []step{ok}, 200, "good", 1, false},
		"shed once, repeatable":            {"/again/", []step{shed, ok}, 200, "good", 2, false},
		"shed twice":                       {"/again/", []step{shed, shed, ok}, 503, "", 2, false},
		"closed, must not repeat":          {"/once/", []step{raw(""), ok}, 502, "", 1, false},
		"closed, repeatable":               {"/again/", []step{raw(""), ok}, 200, "good", 2, false},
		"closed, then shed":                {"/again/", []step{raw(""), shed}, 502, "", 2, false},
		"not an answer":                    {"/again/", []step{raw("zzz\r\n\r\n"), ok}, 200, "good", 2, false},
		"cut body, must not repeat":        {"/once/", []step{raw("HTTP/1.1 200 OK\r\nId: ID\r\nSeal: s\r\nContent-Length: 9\r\n\r\nabc")}, 502, "", 1, false},
		"success without digest":           {"/once/", []step{whole(200, "", "forged")}, 502, "", 1, false},
		"encoded on its way":               {"/again/", []step{whole(200, sealed+"Content-Encoding: gzip\r\n", "zip"), ok}, 200, "good", 2, false},
		"another request's answer":         {"/once/", []step{raw("HTTP/1.1 200 OK\r\nId: other\r\nSeal: s\r\nContent-Length: 3\r\n\r\nbad")}, 502, "", 1, false},
		"own failure, must not repeat":     {"/once/", []step{whole(500, sealed, "bad"), ok}, 500, "bad", 1, false},
		"own failure, repeatable":          {"/again/", []step{whole(500, sealed, "bad"), ok}, 200, "good", 2, false},
		"own failure twice":                {"/again/", []step{whole(500, sealed, "bad"), whole(500, sealed, "bad2")}, 500, "bad2", 2, false},
		"503 that may have run":            {"/once/", []step{whole(503, sealed, "x")}, 502, "x", 1, false},
		"own 4xx goes through":             {"/again/", []step{whole(422, sealed, "no"), ok}, 422, "no", 1, false},
		"length by close":                  {"/once/", []step{raw("HTTP/1.1 200 OK\r\nId: ID\r\nSeal: s\r\n\r\nall")}, 200, "all", 1, false},
		"stream":                           {"/stream/", []step{events(1, 3, false)}, 200, stream(1, 3), 1, false},
		"stream resumed inside an event":   {"/stream/", []step{events(1, 3, true), events(4, 6, false)}, 200, stream(1, 6), 2, false},
		"resumed with events twice":        {"/stream/", []step{events(1, 3, true), events(2, 6, false)}, 200, stream(1, 6), 2, false},
		"stream broken twice looks broken": {"/stream/", []step{events(1, 3, true), events(4, 5, true)}, 200, stream(1, 5), 2, true},
		"stream that must not resume":      {"/plainstream/", []step{events(1, 3, true), events(4, 6, false)}, 200, stream(1, 3), 1, true},
		"stream shed, then served":         {"/plainstream/", []step{shed, events(1, 2, false)}, 200, stream(1, 2), 2, false},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			c := quicktest.New(t)
			f := newFixture(t, state{view: newView()}, tc.steps...)
			got := f.ask(t, http.MethodPost, tc.path, "ask")
			c.Check(got.status, quicktest.Equals, tc.status)
			c.Check(got.broken, quicktest.Equals, tc.broken)
			if tc.body != "" {
				c.Check(got.body, quicktest.Equals, tc.body)
			}
			c.Check(f.target.requests, quicktest.HasLen, tc.sends)
			if tc.status == http.StatusBadGateway {
				c.Check(got.header.Get("Seal"), quicktest.Equals, "")
			}
			for _, b := range f.target.bodies {
				c.Check(b, quicktest.Equals, "ask")
			}
		})
	}
}

// TestResumeAsksOn checks that a resumed stream asks for what comes after the
// last event that the caller has.
func TestResumeAsksOn(t *testing.T) {
	c := quicktest.New(t)
	f := newFixture(t, state{view: newView()}, events(1, 3, true), events(4, 6, false))
	f.ask(t, http.MethodPost, "/stream/", "", "Last", "0")
	c.Assert(f.target.requests, quicktest.HasLen, 2)
	c.Check(f.target.requests[0].Header.Get("Last"), quicktest.Equals, "0")
	c.Check(f.target.requests[1].Header.Get("Last"), quicktest.Equals, "3")
	c.Check(f.target.requests[0].Header.Get("Instance"), quicktest.Not(quicktest.Equals), f.target.requests[1].Header.Get("Instance"))
}

// TestRefusals checks what is refused before any target is asked.
func TestRefusals(t *testing.T) {
	known := newView()
	cases := map[string]struct {
		state   state
		path    string
		body    string
		headers []string
		status  int
	}{
		"no configuration":      {state{}, "/once/", "", nil, 503},
		"no route":              {state{view: known}, "/none/", "", nil, 404},
		"no key":                {state{view: known}, "/keyed/", "", nil, 401},
		"unknown key":           {state{view: known}, "/keyed/", "", []string{"Key", "z"}, 401},
		"keys not proved":       {state{view: known, age: freshness + 1}, "/keyed/", "", []string{"Key", "k"}, 503},
		"keys never proved":     {state{view: known, age: -1}, "/keyed/", "", []string{"Key", "k"}, 503},
		"body too large":        {state{view: known}, "/once/", strings.Repeat("x", 101), nil, 413},
		"proof not needed here": {state{view: known, age: -1}, "/once/", "", nil, 200},
		"proof just new enough": {state{view: known, age: freshness}, "/keyed/", "", []string{"Key", "k"}, 200},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			c := quicktest.New(t)
			f := newFixture(t, tc.state, whole(200, sealed, "good"))
			got := f.ask(t, http.MethodPost, tc.path, tc.body, tc.headers...)
			c.Check(got.status, quicktest.Equals, tc.status)
			if tc.status != http.StatusOK {
				c.Check(f.target.requests, quicktest.HasLen, 0)
				c.Check(got.header.Get("Id"), quicktest.Equals, "r1")
				return
			}
			c.Check(f.target.requests[0].Header.Get("Key"), quicktest.Equals, "")
		})
	}
}

// TestForwarded checks that method, path, query and body reach the target
// unchanged, and that headers of one connection do not.
func TestForwarded(t *testing.T) {
	c := quicktest.New(t)
	f := newFixture(t, state{view: newView()}, whole(200, sealed, ""))
	f.ask(t, http.MethodPut, "/once/a%2Fb/../c?x=%20&y", "body", "Connection", "X-Hop", "X-Hop", "1", "X-Kept", "2", "Limit", "3s")
	c.Assert(f.target.requests, quicktest.HasLen, 1)
	r := f.target.requests[0]
	c.Check(r.Method, quicktest.Equals, http.MethodPut)
	c.Check(r.RequestURI, quicktest.Equals, "/once/a%2Fb/../c?x=%20&y")
	c.Check(r.Host, quicktest.Equals, "h")
	c.Check(f.target.bodies[0], quicktest.Equals, "body")
	c.Check(r.Header.Get("X-Hop"), quicktest.Equals, "")
	c.Check(r.Header.Get("X-Kept"), quicktest.Equals, "2")
	left, err := time.ParseDuration(r.Header.Get("Left"))
	c.Assert(err, quicktest.IsNil)
	c.Check(left > 0 && left <= 3*time.Second, quicktest.IsTrue)
}

// TestSilence checks that a stream is taken from a silent target only if another
// can take it, and goes on there.
func TestSilence(t *testing.T) {
	for name, budgeted := range map[string]bool{"another can": true, "no retry is left": false} {
		t.Run(name, func(t *testing.T) {
			c := quicktest.New(t)
			stopped := make(chan struct{})
			stall := func(k net.Conn, r *http.Request) bool {
				raw("HTTP/1.1 200 OK\r\nId: ID\r\nSeal: s\r\nTransfer-Encoding: chunked\r\n\r\n11\r\nid: 1\ndata: xyz\n\n\r\n")(k, r)
				<-stopped
				raw("12\r\nid: 2\ndata: late\n\n\r\n0\r\n\r\n")(k, r)
				return false
			}
			manual := clock.NewManual(time.Unix(1000, 0))
			view := newView()
			view.Route("h", "/stream/").Timeout = 24 * time.Hour
			f := newFixtureAt(t, manual, state{view: view}, stall, events(2, 3, false))
			if !budgeted {
				f.front.Budget.Set(0, 0)
			}
			answer := make(chan reply, 1)
			go func() { answer <- f.ask(t, http.MethodPost, "/stream/", "") }()
			for f.target.count() == 0 {
				runtime.Gosched()
			}
			for i := 0; f.target.count() < 2 && (budgeted || i < 1000); i++ {
				manual.Advance(100 * time.Millisecond)
				runtime.Gosched()
			}
			close(stopped)
			got := <-answer
			c.Check(got.broken, quicktest.IsFalse)
			if budgeted {
				c.Check(f.target.count(), quicktest.Equals, 2)
				c.Check(strings.HasSuffix(got.body, stream(2, 3)), quicktest.IsTrue)
			} else {
				c.Check(f.target.count(), quicktest.Equals, 1)
				c.Check(strings.HasSuffix(got.body, "data: late\n\n"), quicktest.IsTrue)
			}
		})
	}
}

func (s *server) count() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.requests)
}

// TestTimeLimit checks that a request ends at its route's time limit although
// its target says nothing, and that no promise is made.
func TestTimeLimit(t *testing.T) {
	c := quicktest.New(t)
	f := newFixture(t, state{view: newView()}, silent)
	got := f.ask(t, http.MethodPost, "/short/", "")
	c.Check(got.status, quicktest.Equals, http.StatusGatewayTimeout)
}

// TestCallerLeaves checks that the target's connection ends when the caller has
// gone.
func TestCallerLeaves(t *testing.T) {
	arrived := make(chan struct{})
	ended := make(chan struct{})
	wait := func(c net.Conn, _ *http.Request) bool {
		close(arrived)
		_, _ = c.Read(make([]byte, 1))
		close(ended)
		return false
	}
	f := newFixture(t, state{view: newView()}, wait)
	ctx, cancel := context.WithCancel(context.Background())
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, f.url+"/stream/", nil)
	quicktest.Assert(t, err, quicktest.IsNil)
	req.Host = "h"
	go func() {
		if resp, err := http.DefaultClient.Do(req); err == nil {
			resp.Body.Close()
		}
	}()
	<-arrived
	cancel()
	<-ended
}

// TestStop checks that a stopping box ends its connections and then refuses.
func TestStop(t *testing.T) {
	c := quicktest.New(t)
	f := newFixture(t, state{view: newView()}, whole(200, sealed, "a"), whole(200, sealed, "b"))
	f.front.Leave()
	c.Check(f.ask(t, http.MethodPost, "/once/", "").status, quicktest.Equals, http.StatusOK)
	f.front.Close()
	got := f.ask(t, http.MethodPost, "/once/", "")
	c.Check(got.status, quicktest.Equals, http.StatusServiceUnavailable)
	c.Check(f.target.requests, quicktest.HasLen, 1)
}

// TestReserve checks that the memory of a prompt that is longer than an engine's
// is set aside at helpers before the request is sent, and released after it,
// whatever became of it.
func TestReserve(t *testing.T) {
	ok, full := whole(200, "", ""), whole(409, "", "")
	cases := map[string]struct {
		steps []step
		// order is how engines answer orders, each time in turn; the last one
		// answers all further ones.
		order []step
		// sends is how many times the request itself is sent, after reserved
		// reservations.
		reserved int
		sends    int
		status   int
	}{
		"served":        {[]step{events(1, 2, false)}, []step{ok}, 2, 1, 200},
		"breaks off":    {[]step{raw("")}, []step{ok}, 2, 1, 502},
		"release fails": {[]step{events(1, 2, false)}, []step{failingOnce("/release/", ok)}, 2, 1, 200},
		"no memory":     {nil, []step{full}, 0, 0, 503},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			c := quicktest.New(t)
			view := newView()
			view.Route("h", "/giant/").MaxSends = 1
			f := newFixture(t, state{view: view}, tc.steps...)
			f.target.orders = tc.order
			got := f.ask(t, http.MethodPost, "/giant/", "", "Prompt", "1200")
			c.Check(got.status, quicktest.Equals, tc.status)
			orders := f.target.released()
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

// failingOnce closes the connection of the first request below the path.
func failingOnce(path string, otherwise step) step {
	var failed atomic.Bool
	return func(c net.Conn, r *http.Request) bool {
		if strings.HasPrefix(r.RequestURI, path) && failed.CompareAndSwap(false, true) {
			return false
		}
		return otherwise(c, r)
	}
}

// released returns the kinds of the requests that the engines got, R for a
// reservation, F for its release and S for the request itself, once as many
// releases as reservations have come.
func (s *server) released() string {
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
		default:
			kinds = append(kinds, 'S')
		}
	}
	return string(kinds)
}
