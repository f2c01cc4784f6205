package front_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"

	"github.com/frankban/quicktest"

	"github.com/barleystep/barleystep"
	"github.com/barleystep/barleystep/internal/fleet"
)

// mortal is a target that ends when it runs a request with the body deadly: nothing listens
// at its address any more, and its connections close.
type mortal struct {
	listener net.Listener
	mu       sync.Mutex
	conns    []net.Conn
	ended    bool
	got      int // got counts the requests that reached it.
}

const deadly = "deadly"

func newMortal(t *testing.T) *mortal {
	m := &mortal{listener: listen(t)}
	t.Cleanup(m.end)
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

func (m *mortal) serve(c net.Conn) {
	reader := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		body, _ := io.ReadAll(r.Body)
		m.mu.Lock()
		m.got++
		m.mu.Unlock()
		if string(body) == deadly {
			m.end()
			return
		}
		whole(http.StatusOK, sealed, "good")(c, r)
	}
}

func (m *mortal) end() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.ended = true
	m.listener.Close()
	for _, c := range m.conns {
		c.Close()
	}
}

// mortals gives the fixture so many targets that can end.
func (f *fixture) mortals(t *testing.T, n int) []*mortal {
	f.targets = nil
	list := make([]*mortal, n)
	for i := range list {
		list[i] = newMortal(t)
		id := barleystep.TargetID(fmt.Sprint("m", i))
		f.targets = append(f.targets, fleet.Target{ID: id, Service: "s", Addr: list[i].listener.Addr().String(), Slots: 4})
	}
	return list
}

// mostEnded is how many targets may end under one request before it is sent to no other.
const mostEnded = 3

// TestDeadlyRequest checks that a request under which targets end is not sent to all of them,
// however often callers ask for it, and that all else is served meanwhile.
//
// Operators saw one body, which came fifty times under other ids, end 62 targets; 37 times it
// was sent on after three had ended under it.
func TestDeadlyRequest(t *testing.T) {
	for name, path := range map[string]string{"repeatable": "/again/", "once": "/once/", "stream": "/stream/"} {
		t.Run(name, func(t *testing.T) {
			c := quicktest.New(t)
			f := newFixture(t, state{view: newView()})
			targets := f.mortals(t, 8)
			for i := range 8 {
				got := f.ask(t, http.MethodPost, path, deadly)
				c.Check(got.status >= http.StatusInternalServerError, quicktest.IsTrue)
				got = f.ask(t, http.MethodPost, "/again/", strings.Repeat("x", i))
				c.Check(got.status, quicktest.Equals, http.StatusOK)
			}
			ended := 0
			for _, m := range targets {
				m.mu.Lock()
				if m.ended {
					ended++
				}
				m.mu.Unlock()
			}
			c.Check(ended <= mostEnded, quicktest.IsTrue, quicktest.Commentf("%d ended", ended))
		})
	}
}
