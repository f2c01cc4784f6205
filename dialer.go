package barleystep

import (
	"context"
	"net"
)

// Dialer connects to targets. Implementations are safe for concurrent use.
type Dialer interface {
	// Dial connects to the IP and port of a target. When it fails, nothing has been sent to the
	// target.
	Dial(ctx context.Context, addr string) (net.Conn, error)
}
