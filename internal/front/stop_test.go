package front_test

import (
	"bytes"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"runtime"
	"sync"
	"testing"
	"time"

	"github.com/frankban/quicktest"
	"github.com/phuslu/log"

	"github.com/barleystep/barleystep/internal/clock"
)

// lines collects log lines.
type lines struct {
	mu   sync.Mutex
	data bytes.Buffer
}

// Write takes one line.
func (l *lines) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.data.Write(p)
}

// take returns the lines so far, and forgets them.
func (l *lines) take(t *testing.T) []map[string]any {
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

// newOneEngine returns a front before one engine, which answers with the steps, at a clock
// that stands still, and the lines that the front writes.
func newOneEngine(t *testing.T, steps ...step) (*fixture, *lines) {
	f := newFixtureAt(t, clock.NewManual(time.Unix(1000, 0)), state{view: newView()}, steps...)
	f.targets = f.targets[len(f.targets)-1:]
	out := &lines{}
	f.front.Log = &log.Logger{Writer: &log.IOWriter{Writer: out}}
	return f, out
}

// askAside sends a long prompt from another goroutine.
func (f *fixture) askAside(t *testing.T) <-chan reply {
	answer := make(chan reply, 1)
	go func() { answer <- f.ask(t, http.MethodPost, "/giant/", "", "Prompt", "900") }()
	return answer
}

// untilRunning waits until so many requests are being served.
func (f *fixture) untilRunning(n int) {
	for f.front.Running() != n {
		runtime.Gosched()
	}
}

// TestLogUnfinished checks that a request which the process will not outlive tells how far
// it has come: it writes no other line.
func TestLogUnfinished(t *testing.T) {
	cases := map[string]struct {
		begin  func(t *testing.T, f *fixture)
		target string
	}{
		"reading":   {beginBody, ""},
		"waiting":   {beginTwo, ""},
		"sent":      {beginOne, "w"},
		"answering": {beginOne, "w"},
	}
	for phase, tc := range cases {
		t.Run(phase, func(t *testing.T) {
			over := make(chan struct{})
			hang := func(net.Conn, *http.Request) bool { <-over; return false }
			if phase == "answering" {
				hang = func(c net.Conn, r *http.Request) bool { events(1, 1, true)(c, r); <-over; return false }
			}
			f, out := newOneEngine(t, hang, hang)
			t.Cleanup(func() { close(over) }) // Before the front is closed, which waits for requests.
			tc.begin(t, f)
			for found := false; !found; {
				f.front.LogUnfinished()
				for _, line := range out.take(t) {
					found = found || line["phase"] == phase && line["target"] == tc.target && line["request"] == "r1"
				}
			}
		})
	}
}

// beginBody sends half of a request's body.
func beginBody(t *testing.T, f *fixture) {
	c, err := net.Dial("tcp", f.url[len("http://"):])
	quicktest.Assert(t, err, quicktest.IsNil)
	t.Cleanup(func() { c.Close() })
	_, err = io.WriteString(c, "POST /giant/ HTTP/1.1\r\nHost: h\r\nId: r1\r\nPrompt: 900\r\nContent-Length: 8\r\n\r\nhalf")
	quicktest.Assert(t, err, quicktest.IsNil)
	f.untilRunning(1)
}

// beginOne sends a request that reaches the engine.
func beginOne(t *testing.T, f *fixture) {
	f.askAside(t)
	for f.target.count() == 0 {
		runtime.Gosched()
	}
}

// beginTwo sends another one, which waits for the engine.
func beginTwo(t *testing.T, f *fixture) {
	beginOne(t, f)
	f.askAside(t)
	f.untilRunning(2)
}
