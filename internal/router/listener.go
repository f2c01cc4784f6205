package router

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/phuslu/log"
	"github.com/rotisserie/eris"

	"github.com/barleystep/barleystep"
	"github.com/barleystep/barleystep/internal/clock"
)

// listener accepts callers. Unlike a plain HTTP server it takes the time for
// which connections may rest from the configuration, as it changes.
type listener struct {
	addr    string
	handler http.Handler
	clock   barleystep.Clock
	log     *log.Logger
	// idle returns how long a connection may rest.
	idleTimeout func() time.Duration

	// open is set while callers can connect.
	accepting atomic.Bool

	mu     sync.Mutex
	server *http.Server
	socket net.Listener
	// closed is set once no connections are to be taken any more.
	closed bool
	// resting and active are the connections between requests, since when, and those in
	// the midst of one.
	idle   map[net.Conn]time.Time
	active map[net.Conn]struct{}
}

const (
	// headerTimeout bounds how long a caller takes for the head of a request.
	headerTimeout = 10 * time.Second
	// idleMargin is how much longer than configured a connection is kept: a
	// request that is already on its way should find it open.
	idleMargin    = time.Second
	sweepInterval = time.Second
)

// Serve accepts callers until ctx ends, also after close: connections that are left go on.
func (l *listener) Serve(ctx context.Context) (err error) {
	defer func() {
		if err != nil {
			err = eris.Wrap(err, "router: callers")
		}
	}()
	socket, err := (&net.ListenConfig{}).Listen(ctx, "tcp4", l.addr)
	if err != nil {
		return err
	}
	server := l.start(socket)
	l.log.Info().Str("addr", l.addr).Msg(logPrefix + "Callers are served.")
	done := make(chan error, 1)
	go func() { done <- server.Serve(socket) }()
	for {
		select {
		case err = <-done:
			if !l.isClosed() {
				return err
			}
			done = nil // There is no other end.
		case <-ctx.Done():
			_ = server.Close() // Nothing is left to be served.
			return ctx.Err()
		default:
		}
		if clock.Sleep(ctx, l.clock, sweepInterval) {
			l.closeIdle()
		}
	}
}

// begin returns the server for the socket's callers.
func (l *listener) start(socket net.Listener) *http.Server {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.idle = make(map[net.Conn]time.Time)
	l.active = make(map[net.Conn]struct{})
	l.socket = socket
	l.server = &http.Server{Handler: l.handler, ReadHeaderTimeout: headerTimeout, ConnState: l.trackConn}
	l.accepting.Store(true)
	return l.server
}

// String names the listener in the supervisor's lines.
func (l *listener) String() string { return "callers at " + l.addr }

// leave closes the connections that rest, and the others after their answers. New ones are
// still taken, whose requests the handler refuses: a caller that is told so knows that its
// request has not run, and when to come back.
func (l *listener) disableKeepAlives() {
	l.mu.Lock()
	server := l.server
	l.mu.Unlock()
	if server != nil {
		server.SetKeepAlivesEnabled(false) // It takes the lock for each connection that it closes.
	}
}

// close takes no more connections.
func (l *listener) close() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.closed = true
	l.accepting.Store(false)
	if l.socket != nil {
		_ = l.socket.Close() // It is not used again.
	}
}

func (l *listener) isClosed() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.closed
}

// busy reports whether a request is being read or an answer written. An answer that the
// handler has made may still be on its way out.
func (l *listener) busy() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.active) > 0
}

func (l *listener) trackConn(c net.Conn, s http.ConnState) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.idle, c)
	delete(l.active, c)
	switch s {
	case http.StateIdle:
		l.idle[c] = l.clock.Now()
	case http.StateActive:
		l.active[c] = struct{}{}
	}
}

func (l *listener) closeIdle() {
	limit := l.idleTimeout()
	if limit <= 0 {
		return
	}
	now := l.clock.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	for c, since := range l.idle {
		if now.Sub(since) > limit+idleMargin {
			_ = c.Close() // Its caller may have closed it already.
			delete(l.idle, c)
		}
	}
}
