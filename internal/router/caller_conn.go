package router

import (
	"net"
	"net/http"
	"sync/atomic"
	"syscall"
)

// callerConn is the connection of a caller.
type callerConn struct {
	*net.TCPConn

	// state is the last http.ConnState, and received is set if data of a request that has not
	// begun has been read.
	state    atomic.Int32
	received atomic.Bool
}

// Read reads from the caller.
func (c *callerConn) Read(p []byte) (n int, err error) {
	n, err = c.TCPConn.Read(p)
	if n > 0 {
		c.received.Store(true)
	}
	return n, err
}

// enter records that the connection has entered a state.
func (c *callerConn) enter(s http.ConnState) {
	if s == http.StateIdle {
		c.received.Store(false)
	}
	c.state.Store(int32(s))
}

// betweenRequests reports whether the connection has no request in progress.
func (c *callerConn) betweenRequests() bool {
	s := http.ConnState(c.state.Load())
	return s == http.StateIdle || s == http.StateNew
}

// hasUnreadInput reports whether data, but not the end of the stream, has arrived that has not been
// read.
func (c *callerConn) hasUnreadInput() bool {
	raw, err := c.SyscallConn()
	if err != nil {
		return false
	}
	n := 0
	err = raw.Control(func(fd uintptr) {
		var one [1]byte
		n, _, _ = syscall.Recvfrom(int(fd), one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT) // On an error, n is not positive.
	})
	return err == nil && n > 0
}

// callerSocket accepts callers' connections.
type callerSocket struct{ net.Listener }

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
	return &callerConn{TCPConn: tcp}, nil
}
