package router

import (
	"context"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/frankban/quicktest"
	"github.com/phuslu/log"

	"github.com/barleystep/barleystep/internal/clock"
)

// TestReleaseUnread guards against the loss of a request that has arrived at a connection that is
// being closed as idle.
func TestReleaseUnread(t *testing.T) {
	cases := map[string]bool{"nothing has arrived": false, "a request has arrived": true}
	for name, arrived := range cases {
		t.Run(name, func(t *testing.T) {
			c := quicktest.New(t)
			socket, err := net.Listen("tcp4", "127.0.0.1:0")
			c.Assert(err, quicktest.IsNil)
			t.Cleanup(func() { socket.Close() })
			caller, err := net.Dial("tcp4", socket.Addr().String())
			c.Assert(err, quicktest.IsNil)
			t.Cleanup(func() { caller.Close() })
			accepted, err := callerSocket{socket, clock.NewManual(time.Unix(1000, 0))}.Accept()
			c.Assert(err, quicktest.IsNil)
			box, ok := accepted.(*callerConn)
			c.Assert(ok, quicktest.IsTrue)
			box.enter(http.StateIdle)
			if arrived {
				_, err = io.WriteString(caller, "x")
				c.Assert(err, quicktest.IsNil)
				await(t, box.hasUnreadInput)
			}
			box.Release()
			n, err := box.Read(make([]byte, 1))
			if !arrived {
				c.Check(err, quicktest.Equals, io.EOF)
				return
			}
			c.Check(n, quicktest.Equals, 1)
			c.Check(err, quicktest.IsNil)
		})
	}
}

// TestCloseAcceptsWaiting guards against connections that are reset while they wait to be accepted,
// when a box stops accepting.
func TestCloseAcceptsWaiting(t *testing.T) {
	c := quicktest.New(t)
	socket, err := net.Listen("tcp4", "127.0.0.1:0")
	c.Assert(err, quicktest.IsNil)
	clk := clock.NewManual(time.Unix(1000, 0))
	l := &listener{clock: clk}
	l.start(socket)
	caller, err := net.Dial("tcp4", socket.Addr().String())
	c.Assert(err, quicktest.IsNil)
	t.Cleanup(func() { caller.Close() })
	done := make(chan struct{})
	go func() { l.close(context.Background()); close(done) }()
	await(t, func() bool { return clk.PendingTimers() > 0 || isClosed(done) })
	c.Check(l.isClosed(), quicktest.IsFalse)
	accepted, err := l.socket.Accept()
	c.Assert(err, quicktest.IsNil)
	t.Cleanup(func() { accepted.Close() })
	clk.Advance(pollInterval)
	await(t, func() bool { return isClosed(done) })
	c.Check(l.isClosed(), quicktest.IsTrue)
}

// TestStrayBytesAreNoRequest guards against connections that stay open for good since a byte came after
// an answer: the HTTP server waits for the rest of a head without a limit until it has four bytes.
func TestStrayBytesAreNoRequest(t *testing.T) {
	cases := map[string]string{"nothing": "", "one byte": "G", "line end": "\r\n"}
	for name, text := range cases {
		t.Run(name, func(t *testing.T) {
			c := quicktest.New(t)
			f := newStopFixture(t, false)
			const limit = 5 * time.Second
			f.callers.idleTimeout = func() time.Duration { return limit }
			caller := f.dialKept(t)
			await(t, func() bool { return f.callers.count()[connIdle] == 1 }) // The HTTP server may read a byte before.
			caller.send(text)
			await(t, func() bool {
				n := f.callers.count()
				return n[connReceiving] > 0 == (text != "") && n[connUnread] == 0 && n[connActive] == 0
			})
			f.clk.Advance(limit + headerTimeout + 2*idleMargin)
			f.callers.closeIdle()
			c.Check(caller.isAtEnd(), quicktest.IsTrue)
		})
	}
}

// TestCloseAwaitsAcceptedConnections guards against the loss of a request on a connection that was
// accepted when the box stopped, and that the HTTP server had not seen yet.
func TestCloseAwaitsAcceptedConnections(t *testing.T) {
	c := quicktest.New(t)
	socket, err := net.Listen("tcp4", "127.0.0.1:0")
	c.Assert(err, quicktest.IsNil)
	late := &lateListener{Listener: socket, gate: make(chan struct{})}
	l := &listener{clock: clock.NewManual(time.Unix(1000, 0)), handler: http.NotFoundHandler(), log: &log.Logger{Level: log.PanicLevel}}
	server := l.start(late)
	go l.serve(server)
	caller, err := net.Dial("tcp4", socket.Addr().String())
	c.Assert(err, quicktest.IsNil)
	t.Cleanup(func() { caller.Close(); server.Close() })
	await(t, late.accepted.Load)
	closed := make(chan struct{})
	go func() { l.close(context.Background()); close(closed) }()
	await(t, l.isClosed)
	close(late.gate)
	<-closed
	c.Check(l.open(), quicktest.HasLen, 1)
}

// lateListener returns accepted connections once its gate is closed.
type lateListener struct {
	net.Listener
	accepted atomic.Bool
	gate     chan struct{}
}

// Accept waits for a connection.
func (l *lateListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err == nil {
		l.accepted.Store(true)
		<-l.gate
	}
	return c, err
}
