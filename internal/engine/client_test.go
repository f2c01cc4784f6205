package engine_test

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"

	"github.com/frankban/quicktest"

	"github.com/barleystep/barleystep"
	"github.com/barleystep/barleystep/internal/engine"
)

func attempt(n uint64) barleystep.Attempt {
	return barleystep.Attempt{ID: barleystep.NewAttemptID("b", 1, n), Path: "/v1/completions", Body: []byte("{}")}
}

// echo answers an attempt with its id and an empty JSON object.
func echo(w http.ResponseWriter, r *http.Request) {
	w.Header().Set(engine.HeaderAttempt, r.Header.Get(engine.HeaderAttempt))
	_, _ = io.WriteString(w, "{}")
}

// readAll reads a stream to its end and closes it.
func readAll(s barleystep.Stream) error {
	defer s.Close()
	for {
		if _, err := s.Next(); err != nil {
			if errors.Is(err, io.EOF) {
				return nil
			}
			return err
		}
	}
}

// TestNoResend checks that the transport does not resend an attempt when the target closes a
// reused connection without an answer, whatever headers the attempt has.
func TestNoResend(t *testing.T) {
	for name, method := range map[string]string{"post": http.MethodPost, "get": http.MethodGet, "delete": http.MethodDelete} {
		t.Run(name, func(t *testing.T) {
			c := quicktest.New(t)
			var runs atomic.Int64
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				if runs.Add(1) == 1 {
					echo(w, r)
					return
				}
				panic(http.ErrAbortHandler)
			}))
			t.Cleanup(server.Close)
			client := &engine.Client{URL: server.URL, HTTP: engine.NewHTTP(4)}
			first := attempt(1)
			s, err := client.Start(t.Context(), first)
			c.Assert(err, quicktest.IsNil)
			c.Assert(readAll(s), quicktest.IsNil)
			second := attempt(2)
			second.Method = method
			if method == http.MethodGet {
				second.Body = nil
			}
			_, err = client.Start(t.Context(), second)
			c.Check(err, quicktest.ErrorIs, barleystep.ErrUnknownEffect)
			c.Check(runs.Load(), quicktest.Equals, int64(2))
		})
	}
}

func TestStartErrors(t *testing.T) {
	closed, err := net.Listen("tcp", "127.0.0.1:0")
	quicktest.Assert(t, err, quicktest.IsNil)
	closedURL := "http://" + closed.Addr().String()
	closed.Close()
	cases := map[string]struct {
		handler http.HandlerFunc
		want    error
	}{
		"answers": {echo, nil},
		"refuses to start": {func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set(engine.HeaderStarted, "false")
			w.WriteHeader(http.StatusServiceUnavailable)
		}, barleystep.ErrNotStarted},
		"answers without an id": {func(w http.ResponseWriter, _ *http.Request) {
			w.WriteHeader(http.StatusServiceUnavailable)
		}, barleystep.ErrWrongAttempt},
		"answers for another attempt": {func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set(engine.HeaderAttempt, "b.1.9")
		}, barleystep.ErrWrongAttempt},
		"redirects": {func(w http.ResponseWriter, r *http.Request) {
			http.Redirect(w, r, "/elsewhere", http.StatusTemporaryRedirect)
		}, barleystep.ErrWrongAttempt},
		"disconnects":      {func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }, barleystep.ErrUnknownEffect},
		"is not reachable": {nil, barleystep.ErrNotStarted},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			url := closedURL
			if tc.handler != nil {
				server := httptest.NewServer(tc.handler)
				t.Cleanup(server.Close)
				url = server.URL
			}
			client := &engine.Client{URL: url, HTTP: engine.NewHTTP(4)}
			s, err := client.Start(context.Background(), attempt(1))
			if tc.want == nil {
				quicktest.Assert(t, err, quicktest.IsNil)
				quicktest.Check(t, readAll(s), quicktest.IsNil)
				return
			}
			quicktest.Check(t, err, quicktest.ErrorIs, tc.want)
		})
	}
}

// TestStatusThatIsNone guards against an answer with a status such as 000 that says whether an attempt or an
// order was run.
func TestStatusThatIsNone(t *testing.T) {
	id := attempt(1).ID.String()
	cases := map[string]string{
		"own answer":  "HTTP/1.1 000 X\r\nBarleystep-Attempt: " + id + "\r\nContent-Length: 2\r\n\r\n{}",
		"not started": "HTTP/1.1 000 X\r\nBarleystep-Started: false\r\nContent-Length: 0\r\n\r\n",
		"interim":     "HTTP/1.1 100 X\r\nContent-Length: 9\r\n\r\nHTTP/1.1 200 OK\r\nBarleystep-Attempt: " + id + "\r\nContent-Length: 2\r\n\r\n{}",
		"above 599":   "HTTP/1.1 600 X\r\nBarleystep-Attempt: " + id + "\r\nContent-Length: 2\r\n\r\n{}",
	}
	for name, text := range cases {
		t.Run(name, func(t *testing.T) {
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				c, _, err := http.NewResponseController(w).Hijack()
				if err == nil {
					_, _ = io.WriteString(c, text)
					_ = c.Close()
				}
			}))
			t.Cleanup(server.Close)
			client := &engine.Client{URL: server.URL, HTTP: engine.NewHTTP(4)}
			_, err := client.Start(t.Context(), attempt(1))
			quicktest.Check(t, err, quicktest.ErrorIs, barleystep.ErrUnknownEffect)
			quicktest.Check(t, client.Order(t.Context(), barleystep.Order{}), quicktest.ErrorIs, barleystep.ErrUnknownEffect)
		})
	}
}

// TestBrokenBodies checks that truncated and inconsistent answers are detected.
func TestBrokenBodies(t *testing.T) {
	id := attempt(1).ID.String()
	cases := map[string]string{
		"shorter than announced":      "HTTP/1.1 200 OK\r\nBarleystep-Attempt: " + id + "\r\nContent-Length: 100\r\n\r\n{}",
		"no end mark":                 "HTTP/1.1 200 OK\r\nBarleystep-Attempt: " + id + "\r\n\r\n{}",
		"stream ends early":           "HTTP/1.1 200 OK\r\nBarleystep-Attempt: " + id + "\r\nContent-Type: text/event-stream\r\n\r\nid: " + id + "/1\ndata: {}\n\n",
		"stream leaves an event out":  "HTTP/1.1 200 OK\r\nBarleystep-Attempt: " + id + "\r\nContent-Type: text/event-stream\r\n\r\nid: " + id + "/2\ndata: [DONE]\n\n",
		"stream without numbers":      "HTTP/1.1 200 OK\r\nBarleystep-Attempt: " + id + "\r\nContent-Type: text/event-stream\r\n\r\ndata: [DONE]\n\n",
		"event with an odd number":    "HTTP/1.1 200 OK\r\nBarleystep-Attempt: " + id + "\r\nContent-Type: text/event-stream\r\n\r\nid: " + id + "/x\ndata: {}\n\n",
		"event of a similar attempt":  "HTTP/1.1 200 OK\r\nBarleystep-Attempt: " + id + "\r\nContent-Type: text/event-stream\r\n\r\nid: " + id + "1/1\ndata: [DONE]\n\n",
		"chunk that is cut in pieces": "HTTP/1.1 200 OK\r\nBarleystep-Attempt: " + id + "\r\nTransfer-Encoding: chunked\r\n\r\nff\r\n{",
	}
	for name, raw := range cases {
		t.Run(name, func(t *testing.T) {
			c := quicktest.New(t)
			l, err := net.Listen("tcp", "127.0.0.1:0")
			c.Assert(err, quicktest.IsNil)
			t.Cleanup(func() { l.Close() })
			go answerRaw(l, raw)
			client := &engine.Client{URL: "http://" + l.Addr().String(), HTTP: engine.NewHTTP(4)}
			s, err := client.Start(t.Context(), attempt(1))
			c.Assert(err, quicktest.IsNil)
			err = readAll(s)
			broken := errors.Is(err, barleystep.ErrBrokenStream) || errors.Is(err, barleystep.ErrWrongAttempt)
			c.Check(broken, quicktest.IsTrue, quicktest.Commentf("%v", err))
		})
	}
}

// answerRaw answers one request with the bytes of raw and closes the connection.
func answerRaw(l net.Listener, raw string) {
	conn, err := l.Accept()
	if err != nil {
		return
	}
	defer conn.Close()
	if _, err := conn.Read(make([]byte, 4096)); err != nil {
		return
	}
	_, _ = io.WriteString(conn, raw)
}
