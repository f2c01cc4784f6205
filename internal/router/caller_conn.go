package router

import (
	"io"
	"net"
	"net/http"
	"os"
	"syscall"
	"time"

	"github.com/rotisserie/eris"

	"github.com/barleystep/barleystep"
	"github.com/barleystep/barleystep/internal/conn"
	"github.com/barleystep/barleystep/internal/mutex"
)

// callerConn is the connection of a caller. It can be closed between requests without losing one
// that has arrived.
type callerConn struct {
	*net.TCPConn
	clock barleystep.Clock

	mu    mutex.Mutex
	state http.ConnState
	// received is set once data of a request that has not begun was read. since is when that was,
	// or else when the connection entered its state.
	received bool
	since    time.Time
	// releasing is set while Read is to close the connection if nothing has arrived.
	releasing bool
	// deadline is the read deadline of the HTTP server, which Release replaces while woken is set.
	deadline time.Time
	woken    bool
}

const (
	// headWait is how long a stopping box waits for the rest of the head of a request.
	headWait = time.Second
	// firstRequestWait is how long it waits for the first request on a new connection.
	firstRequestWait = 500 * time.Millisecond
)

// Read reads from the caller.
func (c *callerConn) Read(p []byte) (n int, err error) {
	for {
		if c.closeReleased() {
			return 0, io.EOF
		}
		if n, err = c.readArrived(p); !c.resume(err) {
			return n, err
		}
	}
}

// readArrived waits for data and reads it. That it was read is recorded at the same time, so that a
// request is always seen either in the socket or as received.
func (c *callerConn) readArrived(p []byte) (n int, err error) {
	raw, err := c.SyscallConn()
	if err != nil {
		return 0, err
	}
	var result error
	err = raw.Read(func(fd uintptr) bool {
		c.mu.Lock()
		defer c.mu.Unlock()
		for n, result = syscall.Read(int(fd), p); result == syscall.EINTR; {
			n, result = syscall.Read(int(fd), p)
		}
		if n > 0 {
			c.receive()
		}
		return result != syscall.EAGAIN
	})
	var failed *net.OpError
	switch {
	case eris.As(err, &failed):
		failed.Op = opRead
		return 0, failed
	case err != nil:
		return 0, err
	case result != nil:
		return 0, &net.OpError{Op: opRead, Net: "tcp", Source: c.LocalAddr(), Addr: c.RemoteAddr(), Err: os.NewSyscallError(opRead, result)}
	case n == 0 && len(p) > 0:
		return 0, io.EOF
	default:
		return n, nil
	}
}

// opRead names the operation in errors, as the net package does.
const opRead = "read"

// SetReadDeadline sets the deadline of reads.
func (c *callerConn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.deadline = t
	c.woken = false
	return c.TCPConn.SetReadDeadline(t)
}

// enter records that the connection has entered a state.
func (c *callerConn) enter(s http.ConnState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.state = s
	c.received = false
	c.since = c.clock.Now()
}

// receive records that data was read.
func (c *callerConn) receive() {
	if c.betweenRequests() && !c.received {
		c.received = true
		c.since = c.clock.Now()
	}
}

// betweenRequests reports whether the connection has no request in progress.
func (c *callerConn) betweenRequests() bool {
	return c.state == http.StateIdle || c.state == http.StateNew
}

// idleFor returns how long the connection has been idle, zero if it is not.
func (c *callerConn) idleFor(now time.Time) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.state != http.StateIdle || c.received {
		return 0
	}
	return now.Sub(c.since)
}

// stalledFor returns for how long data of a request that has not begun has been there, zero if there is
// none. The HTTP server waits for the first bytes of a further request without a limit.
func (c *callerConn) stalledFor(now time.Time) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.betweenRequests() || !c.received {
		return 0
	}
	return now.Sub(c.since)
}

// Release closes the connection unless a request is in progress or has arrived, read or not.
//
// The goroutine that reads closes it: one that closes it from outside would lose a request that is
// read at the same time.
func (c *callerConn) Release() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.betweenRequests() || c.received || c.releasing {
		return
	}
	c.releasing = true
	c.woken = true
	_ = c.TCPConn.SetReadDeadline(time.Unix(1, 0)) // It fails on a closed connection only.
}

// abortRequest makes reading the body of a request in progress fail.
func (c *callerConn) abortRequest() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.betweenRequests() {
		return
	}
	c.deadline = time.Unix(1, 0)
	_ = c.TCPConn.SetReadDeadline(c.deadline) // It fails on a closed connection only.
}

// closeReleased closes the connection if it was released and nothing has arrived.
func (c *callerConn) closeReleased() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.releasing {
		return false
	}
	c.releasing = false
	c.restoreDeadline()
	if !c.betweenRequests() || c.received || c.hasUnreadInput() {
		return false
	}
	_ = c.Close() // The caller may have closed it already.
	return true
}

// resume reports whether a read is to be repeated that failed because Release has woken it.
func (c *callerConn) resume(err error) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.woken || !eris.Is(err, os.ErrDeadlineExceeded) {
		return false
	}
	c.restoreDeadline()
	return true
}

// restoreDeadline sets the read deadline of the HTTP server again.
func (c *callerConn) restoreDeadline() {
	if c.woken {
		c.woken = false
		_ = c.TCPConn.SetReadDeadline(c.deadline) // It fails on a closed connection only.
	}
}

// hasUnreadInput reports whether data, but not the end of the stream, has arrived that has not been
// read.
func (c *callerConn) hasUnreadInput() bool {
	n, _ := conn.Peek(c.TCPConn) // On an error, nothing has arrived.
	return n > 0
}

// status returns what the connection is doing.
func (c *callerConn) status(now time.Time) connStatus {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case !c.betweenRequests():
		return connActive
	case c.received && now.Sub(c.since) < headWait:
		return connReceiving
	case c.hasUnreadInput():
		return connUnread
	case c.received:
		return connStalled
	case c.releasing:
		return connClosing
	case c.state == http.StateNew && now.Sub(c.since) < firstRequestWait:
		return connNew
	default:
		return connIdle
	}
}

// connStatus is what a connection is doing.
type connStatus int

const (
	// connIdle is a connection between requests, connNew one on which the first request is expected.
	connIdle connStatus = iota
	connNew
	// connUnread has data that waits to be read, connReceiving has a request whose head is read, and
	// connStalled one whose head is not completed.
	connUnread
	connReceiving
	connStalled
	// connActive has a request in progress, and connClosing is being closed.
	connActive
	connClosing
	connStatuses
)

// connCounts counts connections by their status.
type connCounts [connStatuses]int

// requests returns the number of connections on which a request has arrived.
func (n connCounts) requests() int { return n[connUnread] + n[connReceiving] + n[connActive] }

// unsettled returns the number of connections that are not ready to be closed.
func (n connCounts) unsettled() int { return n.requests() + n[connNew] + n[connClosing] + n[connIdle] }
