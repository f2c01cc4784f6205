package conn

import (
	"context"
	"net"
	"os"
	"syscall"
	"time"

	"github.com/rotisserie/eris"

	"github.com/barleystep/barleystep/internal/clock"
)

const (
	// settleTime is how long a connection must stay open until the process that accepted it counts as
	// alive. The system of a process that is ending accepts connections until it closes the listening
	// socket, and resets those that no process has taken.
	settleTime = 20 * time.Millisecond
	// acceptTries is how many connections in a row an address must accept and reset until its process
	// counts as alive: one that has its most connections resets further ones. retryPause is the pause
	// between them, in which the socket of a process that is ending closes.
	acceptTries = 4
	retryPause  = 40 * time.Millisecond
)

// Accepts reports whether a process accepts connections at the address, and keeps them or goes on
// accepting them. False may also mean that this box does not reach it, or not before the context ends.
func (p *Pool) Accepts(ctx context.Context, addr string) bool {
	for range acceptTries {
		raw, err := p.Dialer.Dial(ctx, addr)
		switch {
		case err != nil && !eris.Is(err, syscall.ECONNRESET):
			return false
		case err == nil && p.staysOpen(ctx, raw):
			return true
		case !clock.Sleep(ctx, p.Clock, retryPause):
			return false
		}
	}
	return true
}

// staysOpen reports whether the peer keeps the connection open for settleTime, and closes it.
func (p *Pool) staysOpen(ctx context.Context, raw net.Conn) bool {
	defer func() { _ = raw.Close() }() // Nothing was sent on it.
	settled, cancel := clock.WithDeadline(ctx, p.Clock, p.Clock.Now().Add(settleTime))
	defer cancel()
	stop := context.AfterFunc(settled, func() { _ = raw.SetReadDeadline(time.Unix(1, 0)) }) // Ends the read.
	defer stop()
	var one [1]byte
	_, err := raw.Read(one[:])
	if err == nil {
		return true
	}
	if !eris.Is(err, os.ErrDeadlineExceeded) || ctx.Err() != nil {
		return false
	}
	n, err := Peek(raw) // The deadline counts first, even if the end has arrived in time.
	return n > 0 || eris.Is(err, syscall.EAGAIN) || eris.Is(err, errNoSocket)
}
