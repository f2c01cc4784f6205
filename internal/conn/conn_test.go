package conn_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"net/url"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/frankban/quicktest"
	"github.com/rotisserie/eris"

	"github.com/barleystep/barleystep"
	"github.com/barleystep/barleystep/internal/clock"
	"github.com/barleystep/barleystep/internal/conn"
)

// target is a server that answers each request of a connection with the next text. The text "close"
// closes the connection and "reset" resets it.
type target struct {
	listener net.Listener
	// requests receives the method and URI of each request.
	requests chan string
}

func newTarget(t *testing.T, answers ...string) *target {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	quicktest.Assert(t, err, quicktest.IsNil)
	s := &target{listener: l, requests: make(chan string, 16)}
	t.Cleanup(func() { l.Close() })
	next := make(chan string, len(answers))
	for _, a := range answers {
		next <- a
	}
	close(next)
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go s.serve(c, next)
		}
	}()
	return s
}

func (s *target) serve(c net.Conn, answers <-chan string) {
	defer c.Close()
	r := bufio.NewReader(c)
	for {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, req.Body)
		s.requests <- req.Method + " " + req.RequestURI
		switch a := <-answers; a {
		case "close":
			return
		case "reset":
			_ = c.(*net.TCPConn).SetLinger(0)
			return
		default:
			_, _ = io.WriteString(c, a)
		}
	}
}

func (s *target) addr() string { return s.listener.Addr().String() }

func newPool() *conn.Pool {
	return &conn.Pool{Clock: clock.System{}, Dialer: conn.TCP{Timeout: 10 * time.Second}}
}

func answer(id, body string) string {
	return "HTTP/1.1 200 OK\r\nId: " + id + "\r\nContent-Length: " + string(rune('0'+len(body))) + "\r\n\r\n" + body
}

// exchange sends one request and returns the body of the answer.
func exchange(t *testing.T, p *conn.Pool, addr, method, id string, body []byte) (string, error) {
	c, err := p.Get(context.Background(), addr)
	quicktest.Assert(t, err, quicktest.IsNil)
	req := &http.Request{Method: method, URL: &url.URL{Opaque: "/x"}, Host: "h", Header: http.Header{}, ContentLength: int64(len(body))}
	if len(body) > 0 {
		req.Body = io.NopCloser(strings.NewReader(string(body)))
	}
	resp, err := c.Send(context.Background(), req, body, func(h http.Header) bool { return h.Get("Id") == id })
	if err != nil {
		c.Release(nil)
		return "", err
	}
	data, err := io.ReadAll(resp.Body)
	resp.Body.Close()
	c.Release(resp)
	return string(data), err
}

func TestConnectionReused(t *testing.T) {
	c := quicktest.New(t)
	s := newTarget(t, answer("1", "a"), answer("2", "b"))
	p := newPool()
	for _, id := range []string{"1", "2"} {
		_, err := exchange(t, p, s.addr(), http.MethodGet, id, nil)
		c.Assert(err, quicktest.IsNil)
	}
	c.Check(p.OpenConns(s.addr()), quicktest.Equals, 1)
}

// TestNeverRepeated checks that a request on a pooled connection is written once, even if the
// connection breaks. General HTTP clients repeat requests without a body.
func TestNeverRepeated(t *testing.T) {
	for name, end := range map[string]string{"closed": "close", "reset": "reset"} {
		t.Run(name, func(t *testing.T) {
			c := quicktest.New(t)
			s := newTarget(t, answer("1", "a"), end, answer("2", "b"))
			p := newPool()
			_, err := exchange(t, p, s.addr(), http.MethodGet, "1", nil)
			c.Assert(err, quicktest.IsNil)
			_, err = exchange(t, p, s.addr(), http.MethodGet, "2", nil)
			c.Check(err, quicktest.IsNotNil)
			c.Check(eris.Is(err, barleystep.ErrNotStarted), quicktest.IsFalse)
			c.Check(s.requests, quicktest.HasLen, 2)
			c.Check(p.OpenConns(s.addr()), quicktest.Equals, 0)
		})
	}
}

// TestSkippedAnswers checks that answers to other requests are skipped, and that a connection with
// bytes after the answer is not reused.
func TestSkippedAnswers(t *testing.T) {
	cases := map[string]struct {
		text string
		body string
		open int
	}{
		"late answer first":   {answer("0", "old") + answer("1", "new"), "new", 1},
		"interim answer":      {"HTTP/1.1 100 Continue\r\n\r\n" + answer("1", "new"), "new", 1},
		"second answer after": {answer("1", "new") + answer("1", "new"), "new", 0},
		"garbage after":       {answer("1", "new") + "zzz", "new", 0},
		"closes":              {strings.Replace(answer("1", "new"), "Id", "Connection: close\r\nId", 1), "new", 0},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			c := quicktest.New(t)
			s := newTarget(t, tc.text)
			p := newPool()
			body, err := exchange(t, p, s.addr(), http.MethodPost, "1", []byte("b"))
			c.Assert(err, quicktest.IsNil)
			c.Check(body, quicktest.Equals, tc.body)
			c.Check(p.OpenConns(s.addr()), quicktest.Equals, tc.open)
		})
	}
}

// TestIncompleteAnswer checks that an incomplete answer is an error.
func TestIncompleteAnswer(t *testing.T) {
	cases := map[string]string{
		"short body":   "HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 9\r\n\r\nabc",
		"cut chunk":    "HTTP/1.1 200 OK\r\nId: 1\r\nTransfer-Encoding: chunked\r\n\r\n9\r\nabc",
		"no answer":    "zzz\r\n\r\n",
		"wrong answer": answer("7", "abc"),
	}
	for name, text := range cases {
		t.Run(name, func(t *testing.T) {
			c := quicktest.New(t)
			s := newTarget(t, text+strings.Repeat(" ", 0))
			go func() { <-s.requests; s.listener.Close() }()
			p := newPool()
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			k, err := p.Get(ctx, s.addr())
			c.Assert(err, quicktest.IsNil)
			req := &http.Request{Method: http.MethodGet, URL: &url.URL{Opaque: "/x"}, Host: "h", Header: http.Header{"Connection": {"close"}}, Close: true}
			resp, err := k.Send(ctx, req, nil, func(h http.Header) bool {
				go cancel() // The rest of the answer never arrives.
				return h.Get("Id") == "1"
			})
			if err == nil {
				_, err = io.ReadAll(resp.Body)
				resp.Body.Close()
			}
			k.Release(resp)
			c.Check(err, quicktest.IsNotNil)
			c.Check(p.OpenConns(s.addr()), quicktest.Equals, 0)
		})
	}
}

// TestUnreachable checks that a request that cannot have reached the target fails with
// ErrNotStarted.
func TestUnreachable(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	quicktest.Assert(t, err, quicktest.IsNil)
	addr := l.Addr().String()
	l.Close()
	_, err = newPool().Get(context.Background(), addr)
	quicktest.Assert(t, eris.Is(err, barleystep.ErrNotStarted), quicktest.IsTrue)
}

// TestIdleTimeout checks that a connection is not used when its target may already have closed it.
func TestIdleTimeout(t *testing.T) {
	cases := map[string]struct {
		header string
		rest   time.Duration
		reused bool
	}{
		"fresh":             {"", time.Second, true},
		"idle for too long": {"", 5 * time.Second, false},
		"too close to the target's timeout of 2 s": {"Keep-Alive: timeout=2, max=9\r\n", 1500 * time.Millisecond, false},
		"within the target's timeout":              {"Keep-Alive: timeout=2\r\n", time.Second, true},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			c := quicktest.New(t)
			text := strings.Replace(answer("1", "a"), "Id", tc.header+"Id", 1)
			s := newTarget(t, text, answer("1", "a"))
			manual := clock.NewManual(time.Unix(1000, 0))
			p := &conn.Pool{Clock: manual, Dialer: conn.TCP{Timeout: 10 * time.Second}}
			_, err := exchange(t, p, s.addr(), http.MethodGet, "1", nil)
			c.Assert(err, quicktest.IsNil)
			manual.Advance(tc.rest)
			p.CloseExpired()
			first, err := p.Get(context.Background(), s.addr())
			c.Assert(err, quicktest.IsNil)
			c.Check(first.Reused(), quicktest.Equals, tc.reused)
			first.Discard()
		})
	}
}

// TestGetRecent checks that a request that may be sent only once gets no connection that has been
// idle for a while. It guards against a request that is written to a connection whose target has
// fallen silent, of which nobody can tell whether it has run.
func TestGetRecent(t *testing.T) {
	cases := map[string]struct {
		rest   time.Duration
		reused bool
	}{
		"used a moment ago": {100 * time.Millisecond, true},
		"idle for a while":  {300 * time.Millisecond, false},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			c := quicktest.New(t)
			s := newTarget(t, answer("1", "a"), answer("1", "a"))
			manual := clock.NewManual(time.Unix(1000, 0))
			p := &conn.Pool{Clock: manual, Dialer: conn.TCP{Timeout: 10 * time.Second}}
			_, err := exchange(t, p, s.addr(), http.MethodGet, "1", nil)
			c.Assert(err, quicktest.IsNil)
			manual.Advance(tc.rest)
			next, err := p.GetRecent(context.Background(), s.addr())
			c.Assert(err, quicktest.IsNil)
			c.Check(next.Reused(), quicktest.Equals, tc.reused)
			next.Discard()
		})
	}
}

// TestSilentPeerOptions checks that connections that are opened and those that are accepted from
// other boxes end when their peer is silent, whether they are idle or not.
func TestSilentPeerOptions(t *testing.T) {
	c := quicktest.New(t)
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	c.Assert(err, quicktest.IsNil)
	defer l.Close()
	opened, err := conn.TCP{Timeout: 10 * time.Second}.Dial(context.Background(), l.Addr().String())
	c.Assert(err, quicktest.IsNil)
	defer opened.Close()
	accepted, err := l.Accept()
	c.Assert(err, quicktest.IsNil)
	defer accepted.Close()
	conn.DetectLoss(accepted.(*net.TCPConn))
	const userTimeout = 0x12
	want := map[int]int{userTimeout: 2000, syscall.TCP_KEEPIDLE: 1, syscall.TCP_KEEPINTVL: 1, syscall.TCP_KEEPCNT: 2}
	for _, each := range []net.Conn{opened, accepted} {
		raw, err := each.(*net.TCPConn).SyscallConn()
		c.Assert(err, quicktest.IsNil)
		for option, value := range want {
			got := 0
			c.Assert(raw.Control(func(fd uintptr) { got, err = syscall.GetsockoptInt(int(fd), syscall.IPPROTO_TCP, option) }), quicktest.IsNil)
			c.Check(err, quicktest.IsNil)
			c.Check(got, quicktest.Equals, value, quicktest.Commentf("option %d", option))
		}
	}
}
