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
	"slices"
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
	"github.com/barleystep/barleystep/internal/suspect"
)

// protocol is a minimal barleystep.Protocol for these tests. If holds is not nil, it keeps when the
// reservations that were ordered end.
type protocol struct{ holds *holds }

// holds keeps when reservations end, without the delays of their orders.
type holds struct {
	clock barleystep.Clock
	mu    sync.Mutex
	ends  []time.Time
}

func (h *holds) add(r barleystep.Reservation) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.ends = append(h.ends, h.clock.Now().Add(r.Hold))
}

// latest returns when the reservation that lasts longest ends.
func (h *holds) latest() time.Time {
	h.mu.Lock()
	defer h.mu.Unlock()
	return slices.MaxFunc(h.ends, time.Time.Compare)
}

func (protocol) ReadCallerHeaders(h http.Header) barleystep.CallerHeaders {
	limit, err := time.ParseDuration(h.Get("Limit"))
	if err != nil {
		limit = 0
	}
	prompt, err := strconv.Atoi(h.Get("Prompt"))
	if err != nil {
		prompt = 0
	}
	output, err := strconv.Atoi(h.Get("Output"))
	if err != nil {
		output = 0
	}
	return barleystep.CallerHeaders{RequestID: h.Get("Id"), APIKey: h.Get("Key"), TimeLimit: limit, PromptTokens: prompt, MaxOutputTokens: output, SharedParts: h["Part"], LastEventID: h.Get("Last")}
}

func (protocol) SetTargetHeaders(h http.Header, d barleystep.TargetHeaders) {
	h.Del("Key")
	h.Set("Instance", string(d.Target))
	h.Set("Account", d.Account)
	h.Set("Left", d.TimeLeft.String())
	if d.LastEventID != "" {
		h.Set("Last", d.LastEventID)
	}
	for _, helper := range d.Helpers {
		h.Add("Helper", helper.ReservationID)
		h.Add("Helper-At", helper.Addr)
	}
}

func (protocol) ReadResponseHead(_ int, h http.Header) barleystep.ResponseHead {
	statement := barleystep.Statement{Leaving: h.Get("Leaves") != "", InvalidLoad: h.Get("Bad-Load") != ""}
	if perSecond, err := strconv.ParseFloat(h.Get("Takes"), 64); err == nil {
		statement.Limit = barleystep.NewRateLimit(perSecond)
	}
	if rest, err := time.ParseDuration(h.Get("Rest")); err == nil {
		statement.Rest = rest
	}
	return barleystep.ResponseHead{
		Statement: statement,
		RequestID: h.Get("Id"),
		HasDigest: h.Get("Seal") != "",
		NotRun:    h.Get("Not-Run") != "",
		Reencoded: h.Get("Content-Encoding") != "",
		RefusedBy: h.Get("Blamed"),
	}
}

func (p protocol) ReserveRequest(r barleystep.Reservation) (*http.Request, []byte) {
	if p.holds != nil {
		p.holds.add(r)
	}
	return order("/reserve/" + r.ID + "/" + fmt.Sprint(r.Tokens))
}

func (protocol) ReleaseRequest(id string) (*http.Request, []byte) { return order("/release/" + id) }

func (protocol) UsageRequest() (*http.Request, []byte) { return order("/usage") }

func (protocol) ReadUsage(body []byte, id string) bool { return string(body) == "used "+id }

func order(path string) (*http.Request, []byte) {
	return &http.Request{Method: http.MethodPost, URL: &url.URL{Opaque: path}, Header: http.Header{}}, nil
}

func (protocol) SetResponseHeaders(h http.Header, id string, retryAfter time.Duration) {
	h.Set("Id", id)
	h.Set("Again", retryAfter.String())
}

// server is a target that answers each request with the next step.
type server struct {
	mu       sync.Mutex
	steps    []step
	orders   []step // orders are used for orders instead of steps; the last one is repeated.
	requests []*http.Request
	bodies   []string
}

// step writes an answer to a connection. It returns false to have the connection closed.
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
		return rawAnswer("")
	}
	next := s.steps[0]
	s.steps = s.steps[1:]
	return next
}

func isOrder(r *http.Request) bool {
	return strings.HasPrefix(r.RequestURI, "/reserve/") || strings.HasPrefix(r.RequestURI, "/release/") || r.RequestURI == "/usage"
}

// listenerCount counts the listeners of these tests.
var listenerCount atomic.Uint32

// listen listens on a separate loopback address. The ports of a single address would run out while
// the closed connections of thousands of cases linger.
func listen(t *testing.T) net.Listener {
	n := listenerCount.Add(1)
	l, err := net.Listen("tcp4", fmt.Sprintf("127.%d.%d.%d:0", 1+n>>16&0x3f, n>>8&0xff, n&0xff))
	quicktest.Assert(t, err, quicktest.IsNil)
	return l
}

func (s *server) start(t *testing.T) string {
	l := listen(t)
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

// rawAnswer writes a text unchanged, except that ID is replaced by the request's id.
func rawAnswer(text string) step {
	return func(c net.Conn, r *http.Request) bool {
		_, _ = io.WriteString(c, strings.ReplaceAll(text, "ID", r.Header.Get("Id")))
		return false
	}
}

func completeAnswer(status int, headers, body string) step {
	text := fmt.Sprintf("HTTP/1.1 %d X\r\nId: ID\r\n%sContent-Length: %d\r\n\r\n%s", status, headers, len(body), body)
	return func(c net.Conn, r *http.Request) bool {
		rawAnswer(text)(c, r)
		return true
	}
}

// eventStream writes a stream of numbered events; cut ends it inside an event.
func eventStream(from, to int, cut bool) step {
	text := "HTTP/1.1 200 OK\r\nId: ID\r\nSeal: s\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
	for i := from; i <= to; i++ {
		e := fmt.Sprintf("id: %d\ndata: x\n\n", i)
		text += fmt.Sprintf("%x\r\n%s\r\n", len(e), e)
	}
	if cut {
		return rawAnswer(text + "8\r\nid: 9")
	}
	return rawAnswer(text + "0\r\n\r\n")
}

func neverAnswer(_ net.Conn, r *http.Request) bool {
	<-r.Context().Done()
	return false
}

// state is a Configuration whose age is set by a test.
type state struct {
	view *fleet.View
	age  time.Duration
}

func (s state) View() *fleet.View  { return s.view }
func (s state) Age() time.Duration { return s.age }

const (
	freshness = 5 * time.Second
	// maxConfigurationAge is the age up to which the configuration is the newest one.
	maxConfigurationAge = 2 * time.Second
	objective           = 300 * time.Millisecond
)

func newView() *fleet.View {
	share := []fleet.Share{{Service: "s", Weight: 1}}
	base := fleet.Route{Host: "h", Timeout: 20 * time.Second, Objective: objective, MaxPause: objective, MaxTries: 2, Split: share}
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
			route("/lone/", fleet.KindRepeatable, false, true),
			route("/keyed/", fleet.KindOnce, false, false),
			short,
		},
		Services: []fleet.Service{{Name: "s"}, {Name: "lone"}, {Name: "engines", Cost: engineCost}},
		Accounts: []fleet.Account{{Name: "acme", Keys: []string{"k"}}, {Name: "other", Keys: []string{"l"}}},
		Limits:   fleet.Limits{BodyBytes: 100},
	}
	for i := range c.Routes {
		switch c.Routes[i].Name {
		case "/giant/":
			c.Routes[i].Split = giant
		case "/lone/":
			c.Routes[i].Split = []fleet.Share{{Service: "lone", Weight: 1}}
		}
	}
	return fleet.NewView(c)
}

// engineCost is the cost of engines with memory for 1,000 tokens, which prefill a token in a
// millisecond.
var engineCost = &fleet.CostModel{Slots: 4, KVTokens: 1000, Stride: 1, Step: time.Millisecond, PrefillRate: 1000, MeanPromptTokens: 100}

// fixture is a front.Server with several targets.
type fixture struct {
	url    string
	front  *front.Server
	target *server
	view   *fleet.View
	// random is the random number of the jitter of Retry-After.
	random float64
	// metrics exports the front's metrics.
	metrics *metric.Exporter
	// holds are the reservations that were ordered.
	holds *holds
	// targets are those that the balancer knows; mu is held when they change during a test.
	mu      sync.Mutex
	targets []fleet.Target
}

// list returns the targets that the balancer knows.
func (f *fixture) list() []fleet.Target {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Clone(f.targets)
}

// change modifies the targets while requests are served.
func (f *fixture) change(do func(targets []fleet.Target) []fleet.Target) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.targets = do(slices.Clone(f.targets))
}

func newFixture(t *testing.T, s state, steps ...step) *fixture {
	return newFixtureAt(t, clock.System{}, s, steps...)
}

func newFixtureAt(t *testing.T, clk barleystep.Clock, s state, steps ...step) *fixture {
	f := &fixture{target: &server{steps: steps}, view: s.view, holds: &holds{clock: clk}}
	addr := f.target.start(t)
	f.targets = []fleet.Target{
		{ID: "a", Service: "s", Addr: addr, Slots: 4},
		{ID: "b", Service: "s", Addr: addr, Slots: 4},
		{ID: "c", Service: "lone", Addr: addr, Slots: 4},
	}
	for _, id := range []barleystep.TargetID{"x", "y", "z", "w"} {
		f.targets = append(f.targets, fleet.Target{ID: id, Service: "engines", Addr: addr, Slots: 4})
	}
	retryBudget := &budget.Budget{Clock: clk, Window: 10 * time.Second, BoxCount: func() int { return 1 }}
	retryBudget.SetLimits(1, 10)
	quiet := &log.Logger{Level: log.PanicLevel}
	exporter, err := metric.NewExporter()
	quicktest.Assert(t, err, quicktest.IsNil)
	f.metrics = exporter
	f.front = &front.Server{
		Clock:         clk,
		Protocol:      protocol{f.holds},
		Configuration: s,
		Balancer:      &balance.Balancer{Clock: clk, Targets: f.list, Suspects: &suspect.Registry{Clock: clk}},
		// Whether a target lives on is asked for some milliseconds after each answer without a length.
		Pool:   &conn.Pool{Clock: clock.System{}, Dialer: conn.TCP{Timeout: 10 * time.Second}},
		Budget: retryBudget,
		Meter:  exporter.Meter(),
		Log:    quiet,
		Rand:   func() float64 { return f.random },

		MaxConfigurationAge: maxConfigurationAge,
	}
	f.front.SetKeyFreshness(freshness)
	server := &httptest.Server{Listener: listen(t), Config: &http.Server{Handler: f.front.Handler()}}
	server.Start()
	t.Cleanup(server.Close)
	f.url = server.URL
	return f
}

// reply is what a caller received.
type reply struct {
	status int
	header http.Header
	body   string
	// broken is set when the answer was incomplete.
	broken bool
}

func (f *fixture) do(t *testing.T, method, path, body string, headers ...string) reply {
	return f.doContext(t, context.Background(), method, path, body, headers...)
}

func (f *fixture) doContext(t *testing.T, ctx context.Context, method, path, body string, headers ...string) reply {
	req, err := http.NewRequestWithContext(ctx, method, f.url+path, strings.NewReader(body))
	quicktest.Assert(t, err, quicktest.IsNil)
	req.Host = "h"
	for i := 0; i+1 < len(headers); i += 2 {
		req.Header.Add(headers[i], headers[i+1])
	}
	if req.Header.Get("Id") == "" {
		req.Header.Set("Id", "r1")
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

func (s *server) requestCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.requests)
}
