// Package web runs HTTP listeners as supervised services.
package web

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/phuslu/log"
	"github.com/rotisserie/eris"

	"github.com/barleystep/barleystep"
	"github.com/barleystep/barleystep/internal/clock"
	"github.com/barleystep/barleystep/internal/guard"
)

// Server is an HTTP listener. Its exported fields are set before Serve.
type Server struct {
	// Name identifies the listener in logs.
	Name string
	// Addr is the IP and port to listen on; port 0 selects a free one.
	Addr    string
	Handler http.Handler
	Clock   barleystep.Clock
	Log     *log.Logger
	// Grace bounds how long running requests may take after the stop; zero aborts them at once.
	Grace time.Duration
	// Unencrypted allows HTTP/2 without TLS, for connections between boxes.
	Unencrypted bool
	// Memory is the memory that the clients of the process may hold; nil stands for a budget of the
	// listener's own.
	Memory *guard.Budget
	// MaxConns bounds the open connections; zero means no bound.
	MaxConns int
	// TLS encrypts the connections; nil disables encryption.
	TLS *tls.Config

	once  sync.Once
	ready chan struct{}
	addr  string
}

const (
	// headerTimeout bounds how long a client may take to send a head, and maxHeaderBytes its size, in
	// bytes.
	headerTimeout  = 10 * time.Second
	maxHeaderBytes = 16 << 10
	sweepInterval  = time.Second
)

const logPrefix = "web: "

// Serve listens until ctx ends, then lets running requests finish within Grace.
func (s *Server) Serve(ctx context.Context) (err error) {
	defer func() {
		if err != nil {
			err = eris.Wrapf(err, "web: %s", s.Name)
		}
	}()
	socket, err := guard.Listen(ctx, "tcp", s.Addr)
	if err != nil {
		return err
	}
	l := s.guard(socket)
	h := &http.Server{
		Handler:           guard.RecordReads(s.Handler),
		ReadHeaderTimeout: headerTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
		Protocols:         s.protocols(),
		ConnState:         l.Track,
		ConnContext:       l.ConnContext,
	}
	s.listening(l.Addr().String())
	failed := make(chan error, 1)
	go func() { failed <- s.accept(h, l) }()
	go func() { _ = clock.Repeat(ctx, s.Clock, sweepInterval, func(context.Context) { l.Sweep() }) }() // It ends with ctx.
	select {
	case err = <-failed:
		return err
	case <-ctx.Done():
		return s.stop(h)
	}
}

// guard returns the listener that bounds what clients make the process hold.
func (s *Server) guard(socket net.Listener) *guard.Listener {
	memory := s.Memory
	if memory == nil {
		memory = &guard.Budget{Clock: s.Clock, Log: s.Log}
	}
	limits := guard.Limits{HeaderBytes: maxHeaderBytes, HeaderTimeout: headerTimeout}
	return &guard.Listener{
		Listener: socket,
		Budget:   memory,
		MaxConns: s.MaxConns,
		Limits:   func() guard.Limits { return limits },
		Opaque:   s.Unencrypted || s.TLS != nil,
	}
}

func (s *Server) accept(h *http.Server, l net.Listener) error {
	if s.TLS == nil {
		return h.Serve(l)
	}
	h.TLSConfig = s.TLS.Clone()
	return h.ServeTLS(l, "", "")
}

func (s *Server) protocols() *http.Protocols {
	p := new(http.Protocols)
	p.SetHTTP1(true)
	p.SetUnencryptedHTTP2(s.Unencrypted && s.TLS == nil)
	p.SetHTTP2(s.TLS != nil)
	return p
}

func (s *Server) stop(h *http.Server) error {
	if s.Grace == 0 {
		_ = h.Close() // Only listeners whose streams never end have no grace period.
		return context.Canceled
	}
	ctx, cancel := clock.WithDeadline(context.Background(), s.Clock, s.Clock.Now().Add(s.Grace))
	defer cancel()
	if err := h.Shutdown(ctx); err != nil {
		s.Log.Warn().Str("listener", s.Name).Msg(logPrefix + "Aborted running requests at the end of the grace period.")
		return h.Close()
	}
	return context.Canceled
}

func (s *Server) init() { s.once.Do(func() { s.ready = make(chan struct{}) }) }

func (s *Server) listening(addr string) {
	s.init()
	select {
	case <-s.ready:
		return
	default:
	}
	s.addr = addr
	s.Log.Info().Str("listener", s.Name).Str("addr", addr).Msg(logPrefix + "Listening.")
	close(s.ready)
}

// Ready returns a channel that is closed once the listener is open.
func (s *Server) Ready() <-chan struct{} {
	s.init()
	return s.ready
}

// ListenAddr returns the address of the listener. It may be called once Ready is closed.
func (s *Server) ListenAddr() string { return s.addr }
