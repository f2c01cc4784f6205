package router

import (
	"context"
	"maps"
	"net"
	"net/http"
	"slices"
	"sync/atomic"
	"time"

	"github.com/phuslu/log"
	"github.com/rotisserie/eris"

	"github.com/barleystep/barleystep"
	"github.com/barleystep/barleystep/internal/clock"
	"github.com/barleystep/barleystep/internal/guard"
	"github.com/barleystep/barleystep/internal/mutex"
)

// listener accepts callers. Unlike http.Server, it takes the idle timeout of connections from
// the configuration as it changes.
type listener struct {
	addr    string
	handler http.Handler
	clock   barleystep.Clock
	log     *log.Logger
	// idleTimeout returns how long a connection may be idle; zero or less means no limit.
	idleTimeout func() time.Duration
	// guard bounds what callers make the process hold; nil stands for one with its defaults.
	guard *guard.Listener

	// accepting is set while callers can connect.
	accepting atomic.Bool

	mu     mutex.Mutex
	socket callerSocket
	// served is closed once the HTTP server has taken the last connection from the socket; it is nil
	// before it takes the first.
	served chan struct{}
	// closed is set once no more connections are accepted.
	closed bool
	// conns holds the open connections.
	conns map[*callerConn]struct{}
}

const (
	// headerTimeout bounds how long a caller may take to send the head of a request.
	headerTimeout = 10 * time.Second
	// idleMargin is added to the configured idle timeout, so that a request that is already on
	// its way finds the connection open.
	idleMargin    = time.Second
	sweepInterval = time.Second
)

// Serve accepts callers until ctx ends. After close, it goes on serving the open connections.
func (l *listener) Serve(ctx context.Context) (err error) {
	defer func() {
		if err != nil {
			err = eris.Wrap(err, "router: callers")
		}
	}()
	socket, err := guard.Listen(ctx, "tcp4", l.addr)
	if err != nil {
		return err
	}
	server := l.start(socket)
	l.log.Info().Str("addr", l.addr).Msg(logPrefix + "Accepting callers.")
	done := make(chan error, 1)
	go func() { done <- l.serve(server) }()
	for {
		select {
		case err = <-done:
			if !l.isClosed() {
				return err
			}
			done = nil // Serve has returned; only ctx can end the loop now.
		case <-ctx.Done():
			_ = server.Close() // All requests are answered, or the grace period is over.
			return ctx.Err()
		default:
		}
		if clock.Sleep(ctx, l.clock, sweepInterval) {
			l.closeIdle()
			l.guard.Sweep()
		}
	}
}

// serve takes connections from the socket until it is closed.
func (l *listener) serve(server *http.Server) error {
	served := make(chan struct{})
	defer close(served)
	l.mu.Lock()
	l.served = served
	l.mu.Unlock()
	return server.Serve(l.guard)
}

// start creates the server for the callers of the socket.
func (l *listener) start(socket net.Listener) *http.Server {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.conns = make(map[*callerConn]struct{})
	l.socket = callerSocket{socket, l.clock}
	if l.guard == nil {
		l.guard = &guard.Listener{Budget: &guard.Budget{Clock: l.clock}}
	}
	l.guard.Listener = l.socket
	l.accepting.Store(true)
	return &http.Server{Handler: l.handler, ReadHeaderTimeout: headerTimeout, ConnState: l.trackConn, ConnContext: l.guard.ConnContext}
}

// String returns the service name in the supervisor's log lines.
func (l *listener) String() string { return "callers at " + l.addr }

// close stops accepting connections, once those that wait are accepted or ctx ends. Open ones are
// still served.
func (l *listener) close(ctx context.Context) {
	l.mu.Lock()
	socket, served := l.socket, l.served
	l.mu.Unlock()
	if socket.Listener != nil {
		socket.awaitAccepted(ctx)
	}
	l.mu.Lock()
	l.closed = true
	l.mu.Unlock()
	l.accepting.Store(false)
	if socket.Listener == nil {
		return
	}
	_ = socket.Close() // The socket is not used again.
	if served == nil {
		return
	}
	select {
	case <-served: // All accepted connections are known.
	case <-ctx.Done():
	}
}

func (l *listener) isClosed() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.closed
}

// trackConn follows the state of a connection.
func (l *listener) trackConn(c net.Conn, s http.ConnState) {
	inner := c
	if guarded, ok := c.(*guard.Conn); ok {
		inner = guarded.NetConn()
	}
	caller, ok := inner.(*callerConn)
	if !ok {
		return
	}
	caller.enter(s)
	defer l.guard.Track(c, s) // It comes last, since it may wait for memory.
	l.mu.Lock()
	defer l.mu.Unlock()
	if s == http.StateClosed || s == http.StateHijacked {
		delete(l.conns, caller)
	} else {
		l.conns[caller] = struct{}{}
	}
}

// open returns the open connections.
func (l *listener) open() []*callerConn {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.Collect(maps.Keys(l.conns))
}

// count counts the open connections by what they are doing. An answer may still be in transit after
// its handler has returned.
func (l *listener) count() (n connCounts) {
	now := l.clock.Now()
	for _, c := range l.open() {
		n[c.status(now)]++
	}
	return n
}

// closeIdle closes the connections whose idle timeout is over.
func (l *listener) closeIdle() {
	limit := l.idleTimeout()
	if limit <= 0 {
		return
	}
	now := l.clock.Now()
	for _, c := range l.open() {
		switch {
		case c.stalledFor(now) > headerTimeout+idleMargin:
			_ = c.Close() // The caller may have closed it already.
		case c.idleFor(now) > limit+idleMargin:
			c.Release()
		}
	}
}

// releaseIdle closes the connections on which no request is in progress, has arrived or is expected,
// and returns their number.
func (l *listener) releaseIdle() (n int) {
	now := l.clock.Now()
	for _, c := range l.open() {
		if c.status(now) == connIdle {
			c.Release()
			n++
		}
	}
	return n
}

// abortBodies makes reads of bodies fail. Requests whose bodies are incomplete are answered at once.
func (l *listener) abortBodies() {
	for _, c := range l.open() {
		c.abortRequest()
	}
}
