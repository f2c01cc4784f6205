package guard_test

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/frankban/quicktest"

	"github.com/barleystep/barleystep/internal/clock"
	"github.com/barleystep/barleystep/internal/guard"
)

const (
	headerBytes = 4 << 10
	// timeout bounds what a test waits for.
	timeout = 20 * time.Second
)

// fixture is an HTTP server behind a guard. It answers with the body of the request.
type fixture struct {
	budget   *guard.Budget
	listener *guard.Listener
	addr     string
	// served counts requests; held requests wait until release is closed.
	served  atomic.Int64
	release chan struct{}
}

func newFixture(t *testing.T, memory int64, places int) *fixture {
	return newFixtureOf(t, memory, places, false)
}

// newFixtureOf returns a fixture whose connections may be opaque.
func newFixtureOf(t *testing.T, memory int64, places int, opaque bool) *fixture {
	c := quicktest.New(t)
	f := &fixture{budget: &guard.Budget{Clock: clock.System{}, Memory: memory}, release: make(chan struct{})}
	socket, err := guard.Listen(t.Context(), "tcp", "127.0.0.1:0")
	c.Assert(err, quicktest.IsNil)
	f.addr = socket.Addr().String()
	f.listener = &guard.Listener{
		Listener: socket, Budget: f.budget, MaxConns: places, Opaque: opaque,
		Limits: func() guard.Limits { return guard.Limits{HeaderBytes: headerBytes, HeaderTimeout: timeout} },
	}
	server := &http.Server{Handler: http.HandlerFunc(f.serve), ConnState: f.listener.Track, ConnContext: f.listener.ConnContext}
	go func() { _ = server.Serve(f.listener) }() // It ends with the test.
	t.Cleanup(func() { _ = server.Close() })
	return f
}

func (f *fixture) serve(w http.ResponseWriter, r *http.Request) {
	conn := guard.From(r.Context())
	body, err := conn.ReadBody(r.Body, r.ContentLength)
	if err != nil {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	conn.RequestRead()
	f.served.Add(1)
	if r.URL.Path == "/held" {
		<-f.release
	}
	_, _ = w.Write(body)
}

// caller is a connection to the server.
type caller struct {
	net.Conn
	in *bufio.Reader
}

func (f *fixture) dial(t *testing.T) caller {
	raw, err := net.DialTimeout("tcp", f.addr, timeout)
	quicktest.Assert(t, err, quicktest.IsNil)
	t.Cleanup(func() { _ = raw.Close() })
	_ = raw.SetDeadline(time.Now().Add(timeout))
	return caller{raw, bufio.NewReader(raw)}
}

// send sends the text in parts that arrive one by one.
func (k caller) send(t *testing.T, parts ...string) {
	for _, part := range parts {
		_, err := io.WriteString(k, part)
		quicktest.Assert(t, err, quicktest.IsNil)
	}
}

// answer reads an answer.
func (k caller) answer(t *testing.T) (status int, body string) {
	resp, err := http.ReadResponse(k.in, nil)
	quicktest.Assert(t, err, quicktest.IsNil)
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	quicktest.Assert(t, err, quicktest.IsNil)
	return resp.StatusCode, string(text)
}

// isClosed waits until the server closes the connection.
func (k caller) isClosed() bool {
	_, err := io.Copy(io.Discard, k.in)
	netErr, ok := err.(net.Error)
	return !ok || !netErr.Timeout()
}

func await(t *testing.T, cond func() bool) {
	t.Helper()
	clk := clock.System{}
	for until := clk.Now().Add(timeout); clk.Now().Before(until); {
		if cond() {
			return
		}
		clock.Sleep(t.Context(), clk, time.Millisecond)
	}
	t.Fatal("the condition does not come to hold")
}

// held returns the memory that all connections hold.
func (f *fixture) held() int64 {
	used, _ := f.budget.Usage()
	return used
}

// post returns a request with a body.
func post(line, body string) string {
	return fmt.Sprintf("POST /a HTTP/1.1\r\nHost: h\r\n%sContent-Length: %d\r\n\r\n%s", line, len(body), body)
}

// chunked returns a request with a body in one chunk.
func chunked(body string) string {
	return fmt.Sprintf("POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", len(body), body)
}

// TestSplitRequests guards against bytes of requests that are lost, repeated or taken for those of another
// request, wherever what arrives is split.
func TestSplitRequests(t *testing.T) {
	c := quicktest.New(t)
	f := newFixture(t, 0, 0)
	text := post("A: b\r\n", "first\r\n\r\nbody") + chunked("second") + post("", "third") + "GET /a HTTP/1.1\nHost: h\n\n" + post("", "last")
	for i := 1; i < len(text); i++ {
		k := f.dial(t)
		k.send(t, text[:i])
		if i%2 == 0 {
			await(t, func() bool { return f.held() > 0 }) // Lets the first part arrive by itself.
		}
		k.send(t, text[i:])
		for _, want := range []string{"first\r\n\r\nbody", "second", "third", "", "last"} {
			status, body := k.answer(t)
			c.Assert(status, quicktest.Equals, http.StatusOK, quicktest.Commentf("split at %d", i))
			c.Assert(body, quicktest.Equals, want, quicktest.Commentf("split at %d", i))
		}
		_ = k.Close()
	}
	await(t, func() bool { return f.held() == 0 })
}

// TestHeadsInParts guards against a head that is served again, in front of the next one of its connection
// that comes in parts.
func TestHeadsInParts(t *testing.T) {
	c := quicktest.New(t)
	f := newFixture(t, 0, 0)
	k := f.dial(t)
	for i := range 4 {
		want := fmt.Sprint("body ", i)
		text := post("", want)
		const first = 10 // Bytes of the head.
		k.send(t, text[:first])
		const idle = 16 << 10 // What a connection holds that has sent nothing.
		await(t, func() bool { return f.held() > idle })
		k.send(t, text[first:])
		status, body := k.answer(t)
		c.Assert(status, quicktest.Equals, http.StatusOK)
		c.Assert(body, quicktest.Equals, want)
	}
	c.Check(f.served.Load(), quicktest.Equals, int64(4))
}

// pipeListener accepts connections in memory, which keep what is sent in the same parts.
type pipeListener chan net.Conn

func (l pipeListener) Accept() (net.Conn, error) {
	if c, ok := <-l; ok {
		return c, nil
	}
	return nil, net.ErrClosed
}

func (l pipeListener) Close() error { return nil }

func (l pipeListener) Addr() net.Addr { return &net.TCPAddr{} }

// TestRandomParts guards against requests that differ from what was sent, however several of them on one
// connection are divided.
func TestRandomParts(t *testing.T) {
	const (
		connections = 400
		requests    = 6
		seed        = 7
	)
	c := quicktest.New(t)
	f := newFixture(t, 0, 0)
	accepted := make(pipeListener)
	listener := &guard.Listener{Listener: accepted, Budget: f.budget, Limits: f.listener.Limits}
	server := &http.Server{Handler: http.HandlerFunc(f.serve), ConnState: listener.Track, ConnContext: listener.ConnContext}
	go func() { _ = server.Serve(listener) }() // It ends with the test.
	t.Cleanup(func() {
		close(accepted)
		_ = server.Close()
	})
	random := rand.New(rand.NewPCG(seed, 0))
	for i := range connections {
		var text strings.Builder
		var want []string
		for j := range requests {
			body := strings.Repeat(fmt.Sprintf("%d.%d\r\n\r\n", i, j), 1+random.IntN(300))
			line := "P: " + strings.Repeat("p", random.IntN(3000)) + "\r\n"
			if random.IntN(2) == 0 {
				text.WriteString(post(line, body))
			} else {
				text.WriteString(chunked(body))
			}
			want = append(want, body)
		}
		raw, remote := net.Pipe()
		accepted <- remote
		go func(text string) {
			sizes := rand.New(rand.NewPCG(seed, uint64(i)))
			for len(text) > 0 {
				n := min(len(text), 1+sizes.IntN(1+sizes.IntN(3000)))
				if _, err := io.WriteString(raw, text[:n]); err != nil {
					return
				}
				text = text[n:]
			}
		}(text.String())
		k := caller{raw, bufio.NewReader(raw)}
		for j := range requests {
			status, body := k.answer(t)
			c.Assert(status, quicktest.Equals, http.StatusOK, quicktest.Commentf("connection %d, request %d", i, j))
			c.Assert(body, quicktest.Equals, want[j], quicktest.Commentf("connection %d, request %d", i, j))
		}
		_ = raw.Close()
	}
}

// TestHeadLimit guards against heads over the limit that are served, and legal ones that are refused, with
// any body behind them.
func TestHeadLimit(t *testing.T) {
	const begin, end = "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 9000\r\n", "\r\n"
	body := strings.Repeat("b", 9000)
	cases := map[string]struct{ size, status int }{
		"at the limit":   {headerBytes, http.StatusOK},
		"over the limit": {3 * headerBytes, http.StatusRequestHeaderFieldsTooLarge},
	}
	for name, tc := range cases {
		for _, whole := range []bool{true, false} {
			t.Run(fmt.Sprintf("%s, whole %t", name, whole), func(t *testing.T) {
				c := quicktest.New(t)
				f := newFixture(t, 0, 0)
				k := f.dial(t)
				head := begin + "P: " + strings.Repeat("p", tc.size-len(begin+"P: \r\n"+end)) + "\r\n" + end
				if whole {
					k.send(t, head+body)
				} else {
					k.send(t, head[:10], head[10:100], head[100:1000], head[1000:]+body)
				}
				status, _ := k.answer(t)
				c.Check(status, quicktest.Equals, tc.status)
				_ = k.Close()
				await(t, func() bool { return f.held() == 0 })
			})
		}
	}
}

// TestLargestLeavesFirst guards against an ordinary client that is refused, while others hold the memory
// with requests that they do not finish.
func TestLargestLeavesFirst(t *testing.T) {
	c := quicktest.New(t)
	const memory = 5_000_000 // A budget of 1 MB.
	f := newFixture(t, memory, 0)
	large := make([]caller, 4)
	for i := range large {
		large[i] = f.dial(t)
		large[i].send(t, fmt.Sprintf("POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n", 400<<10), strings.Repeat("b", 200<<10+i))
	}
	await(t, func() bool { return f.budget.Counts().Evicted+f.budget.Counts().NoMemory > 0 })
	for range 10 {
		k := f.dial(t)
		k.send(t, post("", "ordinary"))
		status, body := k.answer(t)
		c.Check(status, quicktest.Equals, http.StatusOK)
		c.Check(body, quicktest.Equals, "ordinary")
		_ = k.Close()
	}
	c.Check(f.held() <= f.budget.Limit(), quicktest.IsTrue)
	c.Check(f.served.Load(), quicktest.Equals, int64(10))
}

// TestWholeHeadsWait guards against legal requests of many lines that are refused because they come
// together.
func TestWholeHeadsWait(t *testing.T) {
	c := quicktest.New(t)
	const memory = 12_000_000 // A budget of 2.4 MB, of which each head takes a fifth.
	f := newFixture(t, memory, 0)
	head := "GET /held HTTP/1.1\r\nHost: h\r\n" + strings.Repeat("a:\r\n", 900) + "\r\n"
	callers := make([]caller, 8)
	for i := range callers {
		callers[i] = f.dial(t)
		callers[i].send(t, head)
	}
	await(t, func() bool { return f.served.Load() >= 2 })
	c.Check(f.served.Load() < int64(len(callers)), quicktest.IsTrue)
	close(f.release)
	for _, k := range callers {
		status, _ := k.answer(t)
		c.Check(status, quicktest.Equals, http.StatusOK)
	}
	c.Check(f.budget.Counts().NoMemory, quicktest.Equals, int64(0))
}

// TestHeadsSentAheadAreCharged guards against heads that cost nothing, since net/http had read them with
// the request before.
func TestHeadsSentAheadAreCharged(t *testing.T) {
	c := quicktest.New(t)
	f := newFixture(t, 0, 0)
	k := f.dial(t)
	const lines = 500
	k.send(t, chunked("b")+"GET /held HTTP/1.1\r\nHost: h\r\n"+strings.Repeat("a:\r\n", lines)+"\r\n")
	await(t, func() bool { return f.served.Load() == 2 })
	const least = lines * 100 // Bytes; a line takes some hundreds.
	c.Check(f.held() > least, quicktest.IsTrue, quicktest.Commentf("%d bytes", f.held()))
	close(f.release)
}

// TestSilentConnectionsLeavePlaces guards against silent connections that keep an ordinary client out, and
// against a request in progress that loses its place to others.
func TestSilentConnectionsLeavePlaces(t *testing.T) {
	c := quicktest.New(t)
	const places = 4
	f := newFixture(t, 0, places)
	running := f.dial(t)
	running.send(t, "GET /held HTTP/1.1\r\nHost: h\r\n\r\n")
	await(t, func() bool { return f.served.Load() == 1 })
	silent := make([]caller, 2*places)
	for i := range silent {
		silent[i] = f.dial(t)
	}
	k := f.dial(t)
	k.send(t, post("", "ordinary"))
	status, _ := k.answer(t)
	c.Check(status, quicktest.Equals, http.StatusOK)
	c.Check(silent[0].isClosed(), quicktest.IsTrue)
	_, conns := f.budget.Usage()
	c.Check(conns <= places+1, quicktest.IsTrue, quicktest.Commentf("%d connections", conns)) // One may be closing.
	close(f.release)
	status, _ = running.answer(t)
	c.Check(status, quicktest.Equals, http.StatusOK)
}

// TestNoPlace guards against connections over the bound when all others have requests in progress.
func TestNoPlace(t *testing.T) {
	c := quicktest.New(t)
	const places = 2
	f := newFixture(t, 0, places)
	running := make([]caller, places)
	for i := range running {
		running[i] = f.dial(t)
		running[i].send(t, "GET /held HTTP/1.1\r\nHost: h\r\n\r\n")
	}
	await(t, func() bool { return f.served.Load() == places })
	c.Check(f.dial(t).isClosed(), quicktest.IsTrue)
	c.Check(f.budget.Counts().NoPlace, quicktest.Equals, int64(1))
	close(f.release)
	for _, k := range running {
		status, _ := k.answer(t)
		c.Check(status, quicktest.Equals, http.StatusOK)
	}
}

// TestOpaqueConnectionsKeepPlaces guards against connections between boxes that are closed as idle, since
// nothing is known of their requests, when others connect.
func TestOpaqueConnectionsKeepPlaces(t *testing.T) {
	c := quicktest.New(t)
	const places = 2
	f := newFixtureOf(t, 0, places, true)
	kept := []caller{f.dial(t), f.dial(t)}
	for _, k := range kept {
		k.send(t, post("", "first"))
		status, _ := k.answer(t)
		c.Check(status, quicktest.Equals, http.StatusOK)
	}
	c.Check(f.dial(t).isClosed(), quicktest.IsTrue)
	for _, k := range kept {
		k.send(t, post("", "second"))
		status, _ := k.answer(t)
		c.Check(status, quicktest.Equals, http.StatusOK)
	}
}
