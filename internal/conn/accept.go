package conn

import (
	"context"
	"os"
	"time"

	"github.com/rotisserie/eris"
)

// settleTime is how long a connection must stay open until the process that accepted it counts as alive.
// The system of a process that is ending accepts connections until it closes the listening socket, and
// resets those that no process has taken.
const settleTime = 20 * time.Millisecond

// Accepts reports whether a process accepts connections at the address, and keeps them. False may also
// mean that this box does not reach it, or not before the context ends.
func (p *Pool) Accepts(ctx context.Context, addr string) bool {
	raw, err := p.Dialer.Dial(ctx, addr)
	if err != nil {
		return false
	}
	defer func() { _ = raw.Close() }()                  // Nothing was sent on it.
	_ = raw.SetReadDeadline(time.Now().Add(settleTime)) // Without it, the end of the context ends the read.
	stop := context.AfterFunc(ctx, func() { _ = raw.SetReadDeadline(time.Unix(1, 0)) })
	defer stop()
	var one [1]byte
	_, err = raw.Read(one[:])
	return err == nil || eris.Is(err, os.ErrDeadlineExceeded) && ctx.Err() == nil
}
