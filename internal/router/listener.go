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
	idle func() time.Duration

	// open is set once callers can connect.
	open    atomic.Bool
	server  *http.Server
	mu      sync.Mutex
	resting map[net.Conn]time.Time
}

const (
	// headerTimeout bounds how long a caller takes for the head of a request.
	headerTimeout = 10 * time.Second
	// idleMargin is how much longer than configured a connection is kept: a
	// request that is already on its way should find it open.
	idleMargin = time.Second
	sweepEvery = time.Second
)

// Serve accepts callers until stop is called.
func (l *listener) Serve(ctx context.Context) (err error) {
	defer func() {
		if err != nil {
			err = eris.Wrap(err, "router: callers")
		}
	}()
	l.resting = make(map[net.Conn]time.Time)
	l.server = &http.Server{Handler: l.handler, ReadHeaderTimeout: headerTimeout, ConnState: l.note}
	socket, err := (&net.ListenConfig{}).Listen(ctx, "tcp4", l.addr)
	if err != nil {
		return err
	}
	l.open.Store(true)
	l.log.Info().Str("addr", l.addr).Msg(logPrefix + "Callers are served.")
	done := make(chan error, 1)
	go func() { done <- l.server.Serve(socket) }()
	for {
		select {
		case err = <-done:
			return err
		case <-ctx.Done():
			_ = l.server.Close() // Nothing is left to be served.
			return ctx.Err()
		default:
		}
		if clock.Sleep(ctx, l.clock, sweepEvery) {
			l.sweep()
		}
	}
}

// String names the listener in the supervisor's lines.
func (l *listener) String() string { return "callers at " + l.addr }

// close refuses new connections and closes the resting ones.
func (l *listener) close(ctx context.Context) {
	if l.server != nil {
		_ = l.server.Shutdown(ctx) // What is still running is cut by Serve.
	}
}

func (l *listener) note(c net.Conn, s http.ConnState) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if s == http.StateIdle {
		l.resting[c] = l.clock.Now()
	} else {
		delete(l.resting, c)
	}
}

func (l *listener) sweep() {
	limit := l.idle()
	if limit <= 0 {
		return
	}
	now := l.clock.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	for c, since := range l.resting {
		if now.Sub(since) > limit+idleMargin {
			_ = c.Close() // Its caller may have closed it already.
			delete(l.resting, c)
		}
	}
}
