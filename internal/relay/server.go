package relay

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/phuslu/log"
	"github.com/rotisserie/eris"

	"github.com/barleystep/barleystep"
	"github.com/barleystep/barleystep/internal/clock"
	"github.com/barleystep/barleystep/internal/conn"
	"github.com/barleystep/barleystep/internal/signature"
)

// Server connects to targets for other boxes. It connects directly only, so that no connection goes
// in a circle. Its exported fields are set before use; it is safe for concurrent use.
type Server struct {
	Clock   barleystep.Clock
	Monitor *Monitor
	// Direct connects directly.
	Direct barleystep.Dialer
	// Key verifies that calls come from other boxes.
	Key signature.Key
	// Targets returns the addresses of the listed targets; no others are connected to.
	Targets func() []string
	// IsStopping reports whether this box stops.
	IsStopping func() bool
	// Relays returns the other boxes; those of the own hall are named to boxes that ask.
	Relays func() Candidates
	Log    *log.Logger

	tunnels atomic.Int64
	served  atomic.Int64
}

const (
	// targetTimeout bounds connecting to a target for another box, and vouchTimeout connecting to
	// others when that fails. Together they are shorter than a call to a relay may take.
	targetTimeout = 40 * time.Millisecond
	vouchTimeout  = 30 * time.Millisecond
	// vouchTargets is how many other targets are connected to.
	vouchTargets = 2
	// maxTunnels bounds the connections that are relayed at a time. Each takes two descriptors and
	// up to 50 kB.
	maxTunnels = 400
	// maxNamed bounds the boxes that are named in one answer.
	maxNamed = 8
)

// Tunnels returns the number of connections that are being relayed, and Served that of all so far.
func (s *Server) Tunnels() int { return int(s.tunnels.Load()) }

// Served returns the number of connections that were relayed since the start.
func (s *Server) Served() int { return int(s.served.Load()) }

// Handler returns the handler for other boxes, and its path.
func (s *Server) Handler() (path string, h http.Handler) {
	return Path, s.Key.RequireBox(http.HandlerFunc(s.serve))
}

func (s *Server) serve(w http.ResponseWriter, r *http.Request) {
	w.Header().Set(headerRelays, strings.Join(s.NamedRelays(), ","))
	if r.Header.Get(headerUpgrade) != protocolName {
		w.WriteHeader(http.StatusUpgradeRequired)
		return
	}
	target, err := s.Connect(r.Context(), r.FormValue(queryTarget))
	switch {
	case err == nil:
		defer s.tunnels.Add(-1)
		s.relay(w, target)
	case eris.Is(err, ErrRefused):
		w.Header().Set(headerFailure, failureRefused)
		w.WriteHeader(http.StatusBadGateway)
	case eris.Is(err, ErrUnreachable):
		w.WriteHeader(http.StatusBadGateway)
	default:
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

// Connect connects to a target for another box and counts a tunnel. The error is ErrUnreachable if
// the target cannot be reached though others can, and ErrRefused if it refuses connections. Any other error says nothing about the target.
func (s *Server) Connect(ctx context.Context, addr string) (target net.Conn, err error) {
	targets := s.Targets()
	if s.IsStopping() || s.Monitor.IsCutOff() || !slices.Contains(targets, addr) {
		return nil, errUnavailable
	}
	if s.tunnels.Add(1) > maxTunnels {
		s.tunnels.Add(-1)
		return nil, errUnavailable
	}
	target, err = s.dial(ctx, addr, targetTimeout)
	if err == nil {
		return target, nil
	}
	s.tunnels.Add(-1)
	switch {
	case !s.canVouch(ctx, targets, addr):
		return nil, errUnavailable
	case eris.Is(err, syscall.ECONNREFUSED):
		return nil, ErrRefused
	default:
		return nil, ErrUnreachable
	}
}

// canVouch reports whether this box reaches another target than the one at the address, so that the
// fault is not its own.
func (s *Server) canVouch(ctx context.Context, targets []string, addr string) bool {
	others := slices.DeleteFunc(slices.Clone(targets), func(o string) bool { return o == addr })
	shuffle(others)
	var reached atomic.Bool
	var dials sync.WaitGroup
	for _, other := range others[:min(vouchTargets, len(others))] {
		dials.Go(func() {
			if c, err := s.dial(ctx, other, vouchTimeout); err == nil {
				_ = c.Close() // Only the result of connecting matters.
				reached.Store(true)
			}
		})
	}
	dials.Wait()
	return reached.Load()
}

// NamedRelays returns the addresses of some boxes of this box's hall, so that a box that knows few of
// the hall does not use those alone.
func (s *Server) NamedRelays() []string {
	list := s.Relays().Near
	shuffle(list)
	return list[:min(maxNamed, len(list))]
}

// dial connects to a target.
func (s *Server) dial(ctx context.Context, addr string, timeout time.Duration) (net.Conn, error) {
	ctx, cancel := clock.WithDeadline(ctx, s.Clock, s.Clock.Now().Add(timeout))
	defer cancel()
	c, err := s.Direct.Dial(ctx, addr)
	switch {
	case err == nil:
		s.Monitor.Connected(addr)
	case ctx.Err() == nil || eris.Is(context.Cause(ctx), context.DeadlineExceeded):
		s.Monitor.Failed(addr)
	}
	return c, err
}

// relay takes the connection over from the HTTP server and copies in both directions until one of
// them ends.
func (s *Server) relay(w http.ResponseWriter, target net.Conn) {
	s.served.Add(1)
	defer func() { _ = target.Close() }() // Both directions have ended.
	header := w.Header().Clone()
	box, buffered, err := http.NewResponseController(w).Hijack()
	if err != nil {
		s.Log.Error().Err(err).Msg(logPrefix + "Cannot take a connection over.")
		return
	}
	defer func() { _ = box.Close() }()
	conn.DetectLoss(box)
	if err := writeSwitch(box, header); err != nil {
		return
	}
	sender := &sender{target: target}
	go s.copyToTarget(sender, buffered.Reader, box)
	err = sendFrames(box, target, sender.failed)
	if err != nil {
		conn.Reset(box) // An answer that was cut short must not look complete.
	}
}

// writeSwitch answers that the protocol is switched.
func writeSwitch(box net.Conn, header http.Header) error {
	header.Set("Connection", headerUpgrade)
	header.Set(headerUpgrade, protocolName)
	w := bufio.NewWriter(box)
	_, _ = w.WriteString("HTTP/1.1 101 Switching Protocols\r\n") // Errors are kept until Flush.
	_ = header.Write(w)
	_, _ = w.WriteString("\r\n")
	return w.Flush()
}

// copyToTarget copies what the box sends. When the box closes the connection, the request is over
// for the target too.
func (s *Server) copyToTarget(to *sender, from io.Reader, box net.Conn) {
	buffer := make([]byte, maxFrameBytes)
	for {
		n, err := from.Read(buffer)
		if n > 0 {
			if to.send(buffer[:n]) != nil {
				return // The target's side ends the tunnel.
			}
		}
		if err != nil {
			_ = to.target.Close() // The other direction fails and ends the tunnel.
			conn.Reset(box)
			return
		}
	}
}
