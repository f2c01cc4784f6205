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
	"github.com/barleystep/barleystep/internal/conn"
	"github.com/barleystep/barleystep/internal/mutex"
)

// proxy forwards connections from boxes to one target and can reset, stall or delay them.
type proxy struct {
	clock    barleystep.Clock
	listener net.Listener
	mu       mutex.Mutex
	target   string // target is the target's own address.
	conns    map[net.Conn]struct{}
	// stalled counts the active faults under which nothing is forwarded, slow those under which
	// data is delayed. changed is closed and replaced when either count changes.
	stalled int
	slow    int
	changed chan struct{}
}

// slowDelay is the delay of each chunk on a slow connection.
const slowDelay = 60 * time.Millisecond

func newProxy(ctx context.Context, clk barleystep.Clock) (l *proxy, err error) {
	listener, err := listen(ctx, os.Getpid())
	if err != nil {
		return nil, eris.Wrap(err, "soak: listen for proxy")
	}
	l = &proxy{clock: clk, listener: listener, conns: make(map[net.Conn]struct{}), changed: make(chan struct{})}
	go l.accept(ctx)
	return l, nil
}

// setTarget sets the address to which new connections are forwarded.
func (l *proxy) setTarget(target string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.target = target
}

func (l *proxy) addr() string { return l.listener.Addr().String() }

func (l *proxy) accept(ctx context.Context) {
	for {
		client, err := l.listener.Accept()
		if err != nil {
			return
		}
		go l.bridge(ctx, client)
	}
}

// bridge forwards bytes in both directions until both have ended.
func (l *proxy) bridge(ctx context.Context, client net.Conn) {
	var d net.Dialer
	l.mu.Lock()
	target := l.target
	l.mu.Unlock()
	server, err := d.DialContext(ctx, "tcp", target)
	if err != nil {
		conn.Reset(client)
		return
	}
	l.mu.Lock()
	l.conns[client], l.conns[server] = struct{}{}, struct{}{}
	l.mu.Unlock()
	var both sync.WaitGroup
	both.Go(func() { l.forward(server, client) })
	both.Go(func() { l.forward(client, server) })
	both.Wait()
	l.mu.Lock()
	delete(l.conns, client)
	delete(l.conns, server)
	l.mu.Unlock()
	_ = client.Close() // Both directions have ended.
	_ = server.Close()
}

// forward copies one direction. It reproduces the way in which the source ended: a reset as a
// reset, an end of file as a half close.
func (l *proxy) forward(to, from net.Conn) {
	buffer := make([]byte, 16<<10)
	for {
		n, err := from.Read(buffer)
		l.waitToForward()
		if _, failed := to.Write(buffer[:n]); failed != nil {
			conn.Reset(from)
			return
		}
		switch {
		case eris.Is(err, io.EOF):
			if c, ok := to.(*net.TCPConn); ok {
				_ = c.CloseWrite() // The other direction may still be in use.
			}
			return
		case err != nil:
			conn.Reset(to)
			return
		}
	}
}

// waitToForward blocks while the connection is stalled and sleeps for slowDelay while it is slow.
func (l *proxy) waitToForward() {
	for {
		l.mu.Lock()
		stalled, slow, changed := l.stalled > 0, l.slow > 0, l.changed
		l.mu.Unlock()
		if stalled {
			<-changed
			continue
		}
		if slow {
			timer := l.clock.NewTimer(slowDelay)
			<-timer.C()
		}
		return
	}
}

// adjust adds to the counts of active stalls and delays.
func (l *proxy) adjust(stalled, slow int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.stalled += stalled
	l.slow += slow
	close(l.changed)
	l.changed = make(chan struct{})
}

// resetAll resets all connections.
func (l *proxy) resetAll() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for c := range l.conns {
		conn.Reset(c)
	}
}

func (l *proxy) close() {
	_ = l.listener.Close()
	l.resetAll()
}
