package relay_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/frankban/quicktest"
	"github.com/rotisserie/eris"

	"github.com/barleystep/barleystep/internal/clock"
	"github.com/barleystep/barleystep/internal/conn"
	"github.com/barleystep/barleystep/internal/relay"
	"github.com/barleystep/barleystep/internal/signature"
)

// fixture is a target, a relay and a box's connector.
type fixture struct {
	// target is the target, and other another one.
	target    net.Listener
	other     net.Listener
	server    *relay.Server
	http      *httptest.Server
	connector relay.Connector
	monitor   *relay.Monitor
	stopping  bool
}

func newFixture(t testing.TB) *fixture {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	quicktest.Assert(t, err, quicktest.IsNil)
	t.Cleanup(func() { l.Close() })
	other, err := net.Listen("tcp4", "127.0.0.1:0")
	quicktest.Assert(t, err, quicktest.IsNil)
	t.Cleanup(func() { other.Close() })
	f := &fixture{target: l, other: other, monitor: &relay.Monitor{Clock: clock.System{}, Log: quiet}}
	dialer := conn.TCP{Timeout: 10 * time.Second}
	f.server = &relay.Server{
		Clock: clock.System{}, Monitor: f.monitor, Direct: dialer, Log: quiet,
		Key:        signature.Key{Secret: "s", Box: "relay", Clock: clock.System{}},
		Targets:    func() []string { return []string{l.Addr().String(), other.Addr().String()} },
		IsStopping: func() bool { return f.stopping },
		Relays:     func() relay.Candidates { return relay.Candidates{Near: []string{"n1", "n2"}} },
	}
	_, handler := f.server.Handler()
	f.http = httptest.NewServer(handler)
	t.Cleanup(f.http.Close)
	f.connector = relay.Connector{Dialer: dialer, Key: signature.Key{Secret: "s", Box: "box", Clock: clock.System{}}}
	return f
}

func (f *fixture) connect() (net.Conn, []string, error) {
	return f.connector.Connect(context.Background(), f.http.Listener.Addr().String(), f.target.Addr().String())
}

// pair returns both ends of a connection through the relay.
func (f *fixture) pair(t testing.TB) (box, target net.Conn) {
	box, _, err := f.connect()
	quicktest.Assert(t, err, quicktest.IsNil)
	target, err = f.target.Accept()
	quicktest.Assert(t, err, quicktest.IsNil)
	t.Cleanup(func() {
		box.Close()
		target.Close()
	})
	return box, target
}

// TestTunnel checks that bytes pass in both directions, and that the end of what a target sends
// arrives as an end.
func TestTunnel(t *testing.T) {
	c := quicktest.New(t)
	f := newFixture(t)
	box, target := f.pair(t)
	long := strings.Repeat("0123456789", 20_000)
	go func() {
		_, _ = io.WriteString(box, long)
	}()
	got := make([]byte, len(long))
	_, err := io.ReadFull(target, got)
	c.Assert(err, quicktest.IsNil)
	c.Check(string(got) == long, quicktest.IsTrue)
	go func() {
		_, _ = io.WriteString(target, long)
		target.Close()
	}()
	answer, err := io.ReadAll(box)
	c.Assert(err, quicktest.IsNil)
	c.Check(string(answer) == long, quicktest.IsTrue)
}

// TestTargetResets checks that an answer that its target breaks off does not look complete.
func TestTargetResets(t *testing.T) {
	f := newFixture(t)
	box, target := f.pair(t)
	_, err := io.WriteString(target, "half")
	quicktest.Assert(t, err, quicktest.IsNil)
	buffer := make([]byte, 4)
	_, err = io.ReadFull(box, buffer)
	quicktest.Assert(t, err, quicktest.IsNil)
	_ = target.(*net.TCPConn).SetLinger(0)
	target.Close()
	_, err = box.Read(buffer)
	quicktest.Check(t, err != nil && !errors.Is(err, io.EOF), quicktest.IsTrue, quicktest.Commentf("%v", err))
}

// TestRelayEnds checks that an answer does not look complete when the relay's process ends, which
// closes its connections in good order.
func TestRelayEnds(t *testing.T) {
	c := quicktest.New(t)
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	c.Assert(err, quicktest.IsNil)
	defer l.Close()
	go func() {
		raw, err := l.Accept()
		if err != nil {
			return
		}
		_, _ = raw.Read(make([]byte, 4096))
		_, _ = io.WriteString(raw, "HTTP/1.1 101 X\r\n\r\n")
		_, _ = raw.Read(make([]byte, 1))
		_, _ = raw.Write([]byte{0, 4, 'h', 'a', 'l', 'f'})
		raw.Close()
	}()
	connector := relay.Connector{Dialer: conn.TCP{Timeout: 10 * time.Second}, Key: signature.Key{Clock: clock.System{}}}
	box, _, err := connector.Connect(context.Background(), l.Addr().String(), "t")
	c.Assert(err, quicktest.IsNil)
	defer box.Close()
	_, err = box.Write([]byte{'x'})
	c.Assert(err, quicktest.IsNil)
	answer, err := io.ReadAll(box)
	c.Check(string(answer), quicktest.Equals, "half")
	c.Check(errors.Is(err, io.ErrUnexpectedEOF), quicktest.IsTrue, quicktest.Commentf("%v", err))
}

// TestTunnelCancelled checks that a target sees its connection end when the box closes its own, also
// while the target sends.
func TestTunnelCancelled(t *testing.T) {
	f := newFixture(t)
	box, target := f.pair(t)
	box.Close()
	_, err := target.Read(make([]byte, 1))
	quicktest.Check(t, err, quicktest.IsNotNil)
	for err = nil; err == nil; {
		_, err = target.Write(make([]byte, 1<<16))
	}
	for f.server.Tunnels() > 0 {
		clock.Sleep(t.Context(), clock.System{}, time.Millisecond)
	}
}

// TestRelayRefuses checks what a box learns from a relay that does not connect.
func TestRelayRefuses(t *testing.T) {
	cases := map[string]struct {
		do          func(f *fixture)
		unreachable bool
		refused     bool
	}{
		"the target refuses":         {func(f *fixture) { f.target.Close() }, true, true},
		"no such target":             {func(f *fixture) { f.server.Targets = func() []string { return nil } }, false, false},
		"stopping":                   {func(f *fixture) { f.stopping = true }, false, false},
		"cut off itself":             {func(f *fixture) { cutOff(f.monitor) }, false, false},
		"it reaches no other target": {func(f *fixture) { f.target.Close(); f.other.Close() }, false, false},
		"another secret":             {func(f *fixture) { f.connector.Key.Secret = "other" }, false, false},
		"gone":                       {func(f *fixture) { f.http.Close() }, false, false},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t)
			tc.do(f)
			_, _, err := f.connect()
			quicktest.Assert(t, err, quicktest.IsNotNil)
			quicktest.Check(t, eris.Is(err, relay.ErrUnreachable), quicktest.Equals, tc.unreachable, quicktest.Commentf("%v", err))
			if tc.refused {
				quicktest.Check(t, eris.Is(err, syscall.ECONNREFUSED), quicktest.IsTrue, quicktest.Commentf("%v", err))
			}
		})
	}
}

// TestRelayStatusThatIsNone guards against a relay's answer with a status such as 000 that says something of
// the target, or whose body is taken for the relay's consent.
func TestRelayStatusThatIsNone(t *testing.T) {
	const consent = "HTTP/1.1 101 X\r\nConnection: Upgrade\r\nUpgrade: barleystep-relay\r\n\r\n"
	for _, line := range []string{"000 X", "099 X", "+20 X", "100 X", "600 X", "20 X", ""} {
		t.Run(line, func(t *testing.T) {
			f := newFixture(t)
			relayServer := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				c, _, err := http.NewResponseController(w).Hijack()
				if err == nil {
					_, _ = fmt.Fprintf(c, "HTTP/1.1 %s\r\nContent-Length: %d\r\n\r\n%s", line, len(consent), consent)
					_ = c.Close()
				}
			}))
			t.Cleanup(relayServer.Close)
			_, _, err := f.connector.Connect(t.Context(), relayServer.Listener.Addr().String(), f.target.Addr().String())
			quicktest.Assert(t, err, quicktest.IsNotNil)
			quicktest.Check(t, eris.Is(err, relay.ErrUnreachable), quicktest.IsFalse)
		})
	}
}

// TestRelayNamesOthers checks that a relay names other boxes of its hall.
func TestRelayNamesOthers(t *testing.T) {
	f := newFixture(t)
	box, others, err := f.connect()
	quicktest.Assert(t, err, quicktest.IsNil)
	defer box.Close()
	quicktest.Check(t, others, quicktest.HasLen, 2)
}
