package front_test

import (
	"bufio"
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"syscall"
	"testing"

	"github.com/frankban/quicktest"
	"github.com/phuslu/log"

	"github.com/barleystep/barleystep"
	"github.com/barleystep/barleystep/internal/clock"
	"github.com/barleystep/barleystep/internal/conn"
	"github.com/barleystep/barleystep/internal/fleet"
	"github.com/barleystep/barleystep/internal/relay"
)

// unframedCase is an answer without a length on one kind of route, and what callers get if it is not
// whole.
type unframedCase struct {
	path, answer string
	want         reply
}

// unframedCases returns the kinds of answers. A second target answers with the events from 4 to 6 or with
// "good".
func unframedCases() map[string]unframedCase {
	const bodyHead, failureHead = "HTTP/1.1 200 OK\r\nId: ID\r\nSeal: s\r\n\r\n", "HTTP/1.1 500 X\r\nId: ID\r\nSeal: s\r\n\r\n"
	return map[string]unframedCase{
		"resumable stream": {"/stream/", unframedHead + eventText(1, 3), reply{status: http.StatusOK, body: eventText(1, 6)}},
		"stream":           {"/plainstream/", unframedHead + eventText(1, 3), reply{status: http.StatusOK, body: eventText(1, 3), broken: true}},
		"followed stream":  {"/plainstream/", unframedHead + eventText(1, 3) + unframedHead, reply{status: http.StatusOK, body: eventText(1, 3), broken: true}},
		"repeatable":       {"/again/", bodyHead + "half", reply{status: http.StatusOK, body: "good"}},
		"once":             {"/once/", bodyHead + "half", reply{status: http.StatusBadGateway}},
		"failure":          {"/once/", failureHead + "half", reply{status: http.StatusBadGateway}},
	}
}

// unframedFixture is a fixture whose target "a" sends one answer without a length, and whose other
// target is only listed from then on.
type unframedFixture struct {
	*fixture
	listener net.Listener
	monitor  *relay.Monitor
	// direct replaces connecting to the target directly once it has the request, if set.
	direct atomic.Pointer[dialFunc]
}

// dialFunc is a barleystep.Dialer.
type dialFunc func(ctx context.Context, addr string) (net.Conn, error)

// Dial calls the function.
func (f dialFunc) Dial(ctx context.Context, addr string) (net.Conn, error) { return f(ctx, addr) }

// newUnframedFixture calls atAnswer when the target has the request and before it answers.
func newUnframedFixture(t *testing.T, tc unframedCase, atAnswer func(f *unframedFixture)) *unframedFixture {
	second := completeAnswer(http.StatusOK, sealed, "good")
	if tc.path == "/stream/" {
		second = eventStream(4, 6, false)
	}
	f := &unframedFixture{fixture: newFixture(t, state{view: newView()}, second), listener: listen(t)}
	t.Cleanup(func() { f.listener.Close() })
	f.monitor = &relay.Monitor{Clock: clock.System{}, Log: &log.Logger{Level: log.PanicLevel}}
	other := f.targets[1]
	f.targets = f.targets[:1]
	f.targets[0].Addr, f.targets[0].StartMS = f.listener.Addr().String(), 1
	f.front.Pool.Dialer = dialFunc(func(ctx context.Context, addr string) (net.Conn, error) {
		if d := f.direct.Load(); d != nil && addr == f.listener.Addr().String() {
			return (*d)(ctx, addr)
		}
		return conn.TCP{Timeout: splitTimeout}.Dial(ctx, addr)
	})
	go func() {
		connection, err := f.listener.Accept()
		if err != nil {
			return
		}
		defer connection.Close()
		r, err := http.ReadRequest(bufio.NewReader(connection))
		if err != nil {
			return
		}
		f.change(func(targets []fleet.Target) []fleet.Target { return append(targets, other) })
		atAnswer(f)
		rawAnswer(tc.answer)(connection, r)
	}()
	return f
}

func (f *unframedFixture) dialer(relays ...string) *relay.Dialer {
	return &relay.Dialer{
		Clock: clock.System{}, Monitor: f.monitor, Timeout: splitTimeout, Log: f.monitor.Log,
		Direct: conn.TCP{Timeout: splitTimeout},
		Relays: func() relay.Candidates { return relay.Candidates{Near: relays} },
		Connect: func(ctx context.Context, _, target string) (net.Conn, []string, error) {
			c, err := conn.TCP{Timeout: splitTimeout}.Dial(ctx, target)
			return c, nil, err
		},
	}
}

// unframedLists holds what has become of the target's entry when its answer ends.
var unframedLists = map[string]func(f *unframedFixture){
	"listed": func(*unframedFixture) {},
	"leaving": func(f *unframedFixture) {
		f.change(func(list []fleet.Target) []fleet.Target { list[0].Draining = true; return list })
	},
	"gone": func(f *unframedFixture) {
		f.change(func(list []fleet.Target) []fleet.Target { return list[1:] })
	},
}

func checkUnframed(t *testing.T, tc unframedCase, want reply, atAnswer func(f *unframedFixture)) {
	t.Parallel()
	c := quicktest.New(t)
	f := newUnframedFixture(t, tc, atAnswer)
	got := f.do(t, http.MethodPost, tc.path, "ask")
	c.Check(got.status, quicktest.Equals, want.status)
	c.Check(got.broken, quicktest.Equals, want.broken)
	if want.status < http.StatusBadGateway {
		c.Check(got.body, quicktest.Equals, want.body)
	}
}

// TestUnframedAnswerOfEndedTarget guards against answers without a length that pass for whole where it is
// not known that the target's process lives on: it has ended, announced or not, or
// cannot be asked.
func TestUnframedAnswerOfEndedTarget(t *testing.T) {
	direct := func(d dialFunc) func(f *unframedFixture) {
		return func(f *unframedFixture) { f.direct.Store(&d) }
	}
	ends := map[string]func(f *unframedFixture){
		"refused": func(f *unframedFixture) { f.listener.Close() },
		"refused, and this box is in doubt": func(f *unframedFixture) {
			f.listener.Close()
			f.monitor.Failed("x")
			f.monitor.Failed("y")
			dial := dialFunc(f.dialer().Dial)
			f.direct.Store(&dial)
		},
		"accepted for a moment longer": func(f *unframedFixture) {
			var ended atomic.Bool
			direct(func(ctx context.Context, addr string) (net.Conn, error) {
				if ended.Swap(true) {
					return nil, syscall.ECONNREFUSED
				}
				own, err := conn.TCP{Timeout: splitTimeout}.Dial(ctx, addr)
				if err != nil {
					return nil, err
				}
				accepted, err := f.listener.Accept()
				if err != nil {
					return nil, err
				}
				return own, accepted.Close()
			})(f)
		},
		"no path": direct(func(context.Context, string) (net.Conn, error) { return nil, barleystep.ErrNoPath }),
		"silent":  direct(func(context.Context, string) (net.Conn, error) { return nil, context.DeadlineExceeded }),
		"reset, then refused": func(f *unframedFixture) {
			var ended atomic.Bool
			direct(func(context.Context, string) (net.Conn, error) {
				if ended.Swap(true) {
					return nil, syscall.ECONNREFUSED
				}
				return nil, syscall.ECONNRESET
			})(f)
		},
	}
	for kind, tc := range unframedCases() {
		for end, atEnd := range ends {
			for entry, list := range unframedLists {
				t.Run(kind+"/"+end+"/"+entry, func(t *testing.T) {
					checkUnframed(t, tc, tc.want, func(f *unframedFixture) { list(f); atEnd(f) })
				})
			}
		}
	}
}

// TestUnframedAnswerOfRestartedTarget guards against answers without a length that pass for whole since
// another process than the one that gave them accepts connections at the address.
func TestUnframedAnswerOfRestartedTarget(t *testing.T) {
	successors := map[string]func(list []fleet.Target) []fleet.Target{
		"same id": func(list []fleet.Target) []fleet.Target { list[0].StartMS++; return list },
		"another id": func(list []fleet.Target) []fleet.Target {
			return append(list[1:], fleet.Target{ID: "d", Service: "s", Addr: list[0].Addr, StartMS: 2, Draining: true})
		},
		"another id, both listed": func(list []fleet.Target) []fleet.Target {
			return append(list, fleet.Target{ID: "d", Service: "s", Addr: list[0].Addr, StartMS: 2, Draining: true})
		},
	}
	for kind, tc := range unframedCases() {
		for name, successor := range successors {
			t.Run(kind+"/"+name, func(t *testing.T) {
				checkUnframed(t, tc, tc.want, func(f *unframedFixture) { f.change(successor) })
			})
		}
	}
}

// TestSoundUnframedAnswer guards against sound answers without a length that count as broken: their target
// lives on, also while it leaves, and also
// where this box reaches it through others only.
func TestSoundUnframedAnswer(t *testing.T) {
	paths := map[string]func(f *unframedFixture){
		"direct": func(*unframedFixture) {},
		"through another box": func(f *unframedFixture) {
			for _, addr := range []string{"x", "y"} {
				f.monitor.Failed(addr)
				f.monitor.Relayed(addr)
			}
			dial := dialFunc(f.dialer("relay").Dial)
			f.direct.Store(&dial)
		},
		"this box is in doubt": func(f *unframedFixture) {
			f.monitor.Failed("x")
			f.monitor.Failed("y")
			dial := dialFunc(f.dialer().Dial)
			f.direct.Store(&dial)
		},
		"its connections are used up": func(f *unframedFixture) {
			go func() {
				for {
					c, err := f.listener.Accept()
					if err != nil {
						return
					}
					conn.Reset(c)
				}
			}()
		},
	}
	whole := map[string]reply{
		"resumable stream": {status: http.StatusOK, body: eventText(1, 3)},
		"stream":           {status: http.StatusOK, body: eventText(1, 3)},
		"followed stream":  {status: http.StatusOK, body: eventText(1, 3)},
		"repeatable":       {status: http.StatusOK, body: "half"},
		"once":             {status: http.StatusOK, body: "half"},
		"failure":          {status: http.StatusInternalServerError, body: "half"},
	}
	for kind, tc := range unframedCases() {
		for path, atEnd := range paths {
			for entry, list := range unframedLists {
				t.Run(kind+"/"+path+"/"+entry, func(t *testing.T) {
					checkUnframed(t, tc, whole[kind], func(f *unframedFixture) { list(f); atEnd(f) })
				})
			}
		}
	}
}
