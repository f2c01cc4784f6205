package box_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"runtime"
	"strings"
	"testing"
	"time"

	"github.com/frankban/quicktest"
	"github.com/phuslu/log"

	"github.com/barleystep/barleystep"
	"github.com/barleystep/barleystep/internal/box"
	"github.com/barleystep/barleystep/internal/clock"
	"github.com/barleystep/barleystep/internal/config"
	"github.com/barleystep/barleystep/internal/metric"
	"github.com/barleystep/barleystep/internal/object"
	"github.com/barleystep/barleystep/internal/settings"
	"github.com/barleystep/barleystep/internal/standin"
	"github.com/barleystep/barleystep/internal/table"
	"github.com/barleystep/barleystep/internal/version"
)

// testHalls is two halls with one box each; only the second has an engine.
type testHalls struct {
	engine  *standin.Engine
	table   barleystep.Table
	objects barleystep.ObjectStore
	boxes   standin.BoxList
	entries []*box.Entry
	stops   []context.CancelFunc
	peers   settings.Peers
}

func newTestHalls(t *testing.T, peers settings.Peers) *testHalls {
	c := quicktest.New(t)
	h := &testHalls{peers: peers, engine: &standin.Engine{Clock: clock.System{}}, table: &table.Memory{}, objects: &object.Memory{}}
	server := httptest.NewServer(h.engine)
	t.Cleanup(server.Close)
	d, err := config.File{
		Accounts: []config.Account{{Name: "a", Keys: []config.Key{{ID: "1", SHA256: config.HashKey("k")}}}},
		Classes:  []config.Class{{Name: "normal"}},
		Models:   []config.Model{{Name: "m", EngineTokens: 1_000, MaxPrompt: 1_000, MaxOutput: 8}},
		Targets:  []config.Target{{ID: "e", Hall: "two", Model: "m", URL: server.URL}},
	}.Document()
	c.Assert(err, quicktest.IsNil)
	store := &version.Store{Table: h.table, Objects: h.objects, Clock: clock.System{}, Meter: metric.Discard()}
	_, err = store.Submit(context.Background(), config.Document{}, version.Submission{ID: "first", Document: d})
	c.Assert(err, quicktest.IsNil)
	var list []barleystep.Box
	for _, name := range []string{"one", "two"} {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		c.Assert(err, quicktest.IsNil)
		addr := l.Addr().String()
		c.Assert(l.Close(), quicktest.IsNil)
		list = append(list, barleystep.NewBox(barleystep.BoxID("box-"+name), barleystep.HallID(name), addr, false))
	}
	h.boxes.SetBoxes(list...)
	for _, b := range list {
		h.start(t, b)
	}
	return h
}

func (h *testHalls) start(t *testing.T, b barleystep.Box) {
	exporter, err := metric.NewExporter()
	quicktest.Assert(t, err, quicktest.IsNil)
	e := &box.Entry{
		Settings: settings.Settings{
			Box:    settings.Box{ID: string(b.ID()), Hall: string(b.Hall())},
			Listen: settings.Listen{Callers: "127.0.0.1:0", Peers: b.Addr()},
			Peers:  h.peers,
			Limits: settings.Limits{Notice: 1, Grace: settings.Duration(grace)},
		},
		Clock: clock.System{}, Table: h.table, Objects: h.objects, Boxes: &h.boxes,
		Exporter: exporter, Log: &log.Logger{Level: log.PanicLevel},
	}
	ctx, cancel := context.WithCancel(context.Background())
	quicktest.Assert(t, e.Build(context.WithoutCancel(ctx)), quicktest.IsNil)
	done := make(chan error, 1)
	go func() { done <- e.Run(ctx) }()
	t.Cleanup(func() {
		cancel()
		<-done
	})
	e.Follower().Await(1)
	<-e.Ready()
	awaitListener(b.Addr())
	h.entries = append(h.entries, e)
	h.stops = append(h.stops, cancel)
}

// grace is the grace period of the boxes' shutdown.
const grace = 2 * time.Second

// awaitListener waits until the address accepts connections: Ready covers only the
// listener for callers, and the one for peers may start later.
func awaitListener(addr string) {
	for {
		c, err := net.Dial("tcp", addr)
		if err == nil {
			c.Close()
			return
		}
		runtime.Gosched()
	}
}

func (h *testHalls) post(t *testing.T, url string, header ...string) (*http.Response, string) {
	body := `{"model":"m","stream":true,"max_tokens":2,"messages":[{"role":"user","content":"hello"}]}`
	req, err := http.NewRequestWithContext(t.Context(), http.MethodPost, url+"/v1/chat/completions", strings.NewReader(body))
	quicktest.Assert(t, err, quicktest.IsNil)
	req.Header.Set("Authorization", "Bearer k")
	for i := 0; i < len(header); i += 2 {
		req.Header.Set(header[i], header[i+1])
	}
	resp, err := http.DefaultClient.Do(req)
	quicktest.Assert(t, err, quicktest.IsNil)
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	quicktest.Assert(t, err, quicktest.IsNil)
	return resp, string(text)
}

// TestForward checks that requests to a hall without targets are forwarded to another
// hall, and only once.
func TestForward(t *testing.T) {
	for name, peers := range map[string]settings.Peers{"secret": {Secret: "secret"}, "certificates": certificates(t)} {
		t.Run(name, func(t *testing.T) { testForward(t, peers) })
	}
}

func testForward(t *testing.T, peers settings.Peers) {
	c := quicktest.New(t)
	h := newTestHalls(t, peers)
	first := "http://" + h.entries[0].CallersAddr()
	resp, text := h.post(t, first)
	c.Check(resp.StatusCode, quicktest.Equals, http.StatusOK)
	c.Check(resp.Trailer.Get("Barleystep-Outcome"), quicktest.Equals, "done")
	c.Check(text, quicktest.Contains, "box-two")
	c.Check(strings.Count(text, "[DONE]"), quicktest.Equals, 1)

	// The first hall releases the claim, and the second takes it over.
	strict := []string{"Barleystep-Repeatable", "no", "Idempotency-Key", "once"}
	_, text = h.post(t, first, strict...)
	_, again := h.post(t, first, strict...)
	c.Check(again, quicktest.Equals, text)
	c.Check(h.engine.Runs(), quicktest.HasLen, 2)

	// A request that was forwarded once is not forwarded again.
	resp, _ = h.post(t, first, "Barleystep-Forwarded", "elsewhere")
	c.Check(resp.Header.Get("Barleystep-Outcome"), quicktest.Equals, "not-run")
	c.Check(resp.Header.Get("Barleystep-Reason"), quicktest.Equals, "no_target")

	// The peer listener rejects unauthenticated requests.
	boxes, err := h.boxes.Boxes(t.Context())
	c.Assert(err, quicktest.IsNil)
	req, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://"+boxes[1].Addr()+"/v1/chat/completions", strings.NewReader("{}"))
	c.Assert(err, quicktest.IsNil)
	resp, err = http.DefaultClient.Do(req)
	c.Assert(err, quicktest.IsNil)
	resp.Body.Close()
	c.Check(resp.StatusCode >= http.StatusBadRequest, quicktest.IsTrue, quicktest.Commentf("status %d", resp.StatusCode))
}

// TestForwardedRequestNotRun checks that a forwarded request that the other hall did
// not run has the outcome not-run for its caller.
func TestForwardedRequestNotRun(t *testing.T) {
	c := quicktest.New(t)
	h := newTestHalls(t, settings.Peers{Secret: "secret"})
	h.engine.SetLeaving(true)
	resp, _ := h.post(t, "http://"+h.entries[0].CallersAddr(), "Barleystep-Time-Limit", "3s")
	c.Check(resp.Header.Get("Barleystep-Outcome"), quicktest.Equals, "not-run")
	c.Check(h.engine.Runs(), quicktest.HasLen, 0)
}

// TestShutdownAnswersUnfinishedRequests checks that requests that are unfinished near the end
// of the grace period get an answer, those of callers as well as those that boxes of other
// halls forwarded, and that the latter are not cut off before.
func TestShutdownAnswersUnfinishedRequests(t *testing.T) {
	for name, asked := range map[string]int{"caller": 1, "other hall": 0} {
		t.Run(name, func(t *testing.T) {
			c := quicktest.New(t)
			h := newTestHalls(t, settings.Peers{Secret: "secret"})
			h.engine.Fault = func(string) standin.Fault { return standin.FaultHang }
			go func() {
				for len(h.engine.Runs()) == 0 {
					runtime.Gosched()
				}
				h.stops[1]()
			}()
			resp, text := h.post(t, "http://"+h.entries[asked].CallersAddr(), "Barleystep-Time-Limit", "30s")
			c.Check(resp.StatusCode, quicktest.Equals, http.StatusBadGateway)
			c.Check(resp.Header.Get("Barleystep-Reason"), quicktest.Equals, string(barleystep.ReasonStopping), quicktest.Commentf("%s", text))
		})
	}
}
