// Package fault injects faults into connections, for tests and the soak.
package fault

import (
	"context"
	"net"
	"os"
	"sync"
	"syscall"
	"time"

	"github.com/barleystep/barleystep"
	"github.com/barleystep/barleystep/internal/clock"
	"github.com/barleystep/barleystep/internal/conn"
	"github.com/barleystep/barleystep/internal/mutex"
)

// Mode is the state of a link.
type Mode string

// The modes of a link. Link.Set applies them to open and to new connections.
const (
	// ModeOpen lets everything through.
	ModeOpen Mode = "open"
	// ModeReset refuses new connections and resets those that are open.
	ModeReset Mode = "reset"
	// ModeSilent carries nothing in either direction, without an error.
	ModeSilent Mode = "silent"
	// ModeDeaf carries what is sent, and nothing in the other direction.
	ModeDeaf Mode = "deaf"
	// ModeRefuseNew refuses new connections, while those that are open go on.
	ModeRefuseNew Mode = "refuse-new"
	// ModeSilentNew lets new connections hang, while those that are open go on.
	ModeSilentNew Mode = "silent-new"
)

// Modes lists the modes in which a link does not let everything through.
var Modes = []Mode{ModeReset, ModeSilent, ModeDeaf, ModeRefuseNew, ModeSilentNew}

// Link is the path of one box to all targets. Its exported fields are set before use; it is safe
// for concurrent use.
type Link struct {
	Dialer barleystep.Dialer

	mu    mutex.Mutex
	mode  Mode
	conns map[*linkConn]struct{}
}

// Set changes the mode of the link.
func (l *Link) Set(m Mode) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.mode = m
	for c := range l.conns {
		c.apply(m)
	}
}

// Dial connects over the link.
func (l *Link) Dial(ctx context.Context, addr string) (net.Conn, error) {
	l.mu.Lock()
	mode := l.mode
	l.mu.Unlock()
	switch mode {
	case ModeReset, ModeRefuseNew:
		return nil, &net.OpError{Op: "dial", Net: "tcp4", Err: os.NewSyscallError("connect", syscall.ECONNREFUSED)}
	case ModeSilent, ModeDeaf, ModeSilentNew:
		<-ctx.Done()
		return nil, context.Cause(ctx)
	}
	raw, err := l.Dialer.Dial(ctx, addr)
	if err != nil {
		return nil, err
	}
	c := &linkConn{Conn: raw, link: l, unblocked: make(chan struct{})}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.conns == nil {
		l.conns = make(map[*linkConn]struct{})
	}
	l.conns[c] = struct{}{}
	c.apply(l.mode)
	return c, nil
}

// linkConn is a connection over a link. Once its peer has been silenced it stays so: its bytes are
// lost.
type linkConn struct {
	net.Conn
	link *Link

	mu mutex.Mutex
	// mute is set if nothing is sent, deaf if nothing is received.
	mute, deaf bool
	// unblocked is closed when a deadline in the past is set or the connection is closed.
	unblocked chan struct{}
	once      sync.Once
}

func (c *linkConn) apply(m Mode) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch m {
	case ModeReset:
		conn.Reset(c.Conn)
	case ModeSilent:
		c.mute, c.deaf = true, true
	case ModeDeaf:
		c.deaf = true
	}
}

// Read returns what arrives, or blocks until a deadline in the past is set if the link is deaf.
func (c *linkConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.mu.Lock()
	deaf := c.deaf
	c.mu.Unlock()
	if !deaf {
		return n, err
	}
	<-c.unblocked
	return 0, os.ErrDeadlineExceeded
}

// Write sends p, or loses it if the link is silent.
func (c *linkConn) Write(p []byte) (int, error) {
	c.mu.Lock()
	mute := c.mute
	c.mu.Unlock()
	if mute {
		return len(p), nil
	}
	return c.Conn.Write(p)
}

// SyscallConn returns the raw connection, so that a pool sees what has arrived on an idle one.
func (c *linkConn) SyscallConn() (syscall.RawConn, error) {
	raw, ok := c.Conn.(syscall.Conn)
	if !ok {
		return nil, syscall.EINVAL
	}
	return raw.SyscallConn()
}

// SetDeadline sets the deadline of the connection. One in the past ends blocked reads.
func (c *linkConn) SetDeadline(t time.Time) error {
	if !t.IsZero() && !t.After(clock.System{}.Now()) {
		c.unblock()
	}
	return c.Conn.SetDeadline(t)
}

// Close closes the connection.
func (c *linkConn) Close() error {
	c.unblock()
	c.link.mu.Lock()
	delete(c.link.conns, c)
	c.link.mu.Unlock()
	return c.Conn.Close()
}

func (c *linkConn) unblock() { c.once.Do(func() { close(c.unblocked) }) }
