package router

import (
	"context"
	"net"
	"syscall"

	"golang.org/x/sys/unix"

	"github.com/barleystep/barleystep"
	"github.com/barleystep/barleystep/internal/clock"
)

// callerSocket accepts callers' connections.
type callerSocket struct {
	net.Listener
	clock barleystep.Clock
}

// Accept waits for a connection.
func (s callerSocket) Accept() (net.Conn, error) {
	c, err := s.Listener.Accept()
	if err != nil {
		return nil, err
	}
	tcp, ok := c.(*net.TCPConn)
	if !ok {
		return c, nil
	}
	return &callerConn{TCPConn: tcp, clock: s.clock}, nil
}

// awaitAccepted waits until no connections wait to be accepted, which would be reset, or ctx ends.
func (s callerSocket) awaitAccepted(ctx context.Context) {
	for s.hasWaiting() && clock.Sleep(ctx, s.clock, pollInterval) {
	}
}

// hasWaiting reports whether a connection waits to be accepted.
func (s callerSocket) hasWaiting() bool {
	socket, ok := s.Listener.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return false // The socket is closed.
	}
	n := 0
	err = raw.Control(func(fd uintptr) {
		n, _ = unix.Poll([]unix.PollFd{{Fd: int32(fd), Events: unix.POLLIN}}, 0) // On an error, n is not positive.
	})
	return err == nil && n > 0
}
