package soak

import (
	"context"
	"io"
	"net"
	"os"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"github.com/barleystep/barleystep"
)

// link stands between boxes and one target and can break, silence or slow what passes.
type link struct {
	clock    barleystep.Clock
	listener net.Listener
	mu       sync.Mutex
	to       string // to is the target's own address.
	conns    map[net.Conn]struct{}
	// silent counts the reasons for which nothing passes, slow those for which it
	// passes late; moved is closed when silent changes.
	silent int
	slow   int
	moved  chan struct{}
}

// slowness is how much later each piece passes on a slow link.
const slowness = 60 * time.Millisecond

func newLink(ctx context.Context, clk barleystep.Clock) (l *link, err error) {
	listener, err := listen(ctx, os.Getpid())
	if err != nil {
		return nil, eris.Wrap(err, "soak: link")
	}
	l = &link{clock: clk, listener: listener, conns: make(map[net.Conn]struct{}), moved: make(chan struct{})}
	go l.accept(ctx)
	return l, nil
}

// lead has new connections lead to the address.
func (l *link) lead(to string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.to = to
}

func (l *link) addr() string { return l.listener.Addr().String() }

func (l *link) accept(ctx context.Context) {
	for {
		near, err := l.listener.Accept()
		if err != nil {
			return
		}
		go l.join(ctx, near)
	}
}

// join passes bytes both ways until one side ends.
func (l *link) join(ctx context.Context, near net.Conn) {
	var d net.Dialer
	l.mu.Lock()
	to := l.to
	l.mu.Unlock()
	far, err := d.DialContext(ctx, "tcp", to)
	if err != nil {
		reset(near)
		return
	}
	l.mu.Lock()
	l.conns[near], l.conns[far] = struct{}{}, struct{}{}
	l.mu.Unlock()
	var both sync.WaitGroup
	both.Go(func() { l.pass(far, near) })
	both.Go(func() { l.pass(near, far) })
	both.Wait()
	l.mu.Lock()
	delete(l.conns, near)
	delete(l.conns, far)
	l.mu.Unlock()
	_ = near.Close() // Both have ended.
	_ = far.Close()
}

// pass copies one way. Its end is passed on as it came, a reset as a reset.
func (l *link) pass(to, from net.Conn) {
	buffer := make([]byte, 16<<10)
	for {
		n, err := from.Read(buffer)
		l.hold()
		if _, failed := to.Write(buffer[:n]); failed != nil {
			reset(from)
			return
		}
		switch {
		case eris.Is(err, io.EOF):
			if c, ok := to.(*net.TCPConn); ok {
				_ = c.CloseWrite() // The other way may still be in use.
			}
			return
		case err != nil:
			reset(to)
			return
		}
	}
}

// hold waits while nothing passes, and a little where it passes late.
func (l *link) hold() {
	for {
		l.mu.Lock()
		silent, slow, moved := l.silent > 0, l.slow > 0, l.moved
		l.mu.Unlock()
		if silent {
			<-moved
			continue
		}
		if slow {
			timer := l.clock.NewTimer(slowness)
			<-timer.C()
		}
		return
	}
}

// change adds to the reasons for silence and slowness.
func (l *link) change(silent, slow int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.silent += silent
	l.slow += slow
	close(l.moved)
	l.moved = make(chan struct{})
}

// resetAll resets all connections.
func (l *link) resetAll() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for c := range l.conns {
		reset(c)
	}
}

func (l *link) close() {
	_ = l.listener.Close()
	l.resetAll()
}

func reset(c net.Conn) {
	if t, ok := c.(*net.TCPConn); ok {
		_ = t.SetLinger(0)
	}
	_ = c.Close()
}
