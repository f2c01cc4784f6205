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

// Paths tells whether connections to targets take a path that works. Implementations are safe for
// concurrent use.
type Paths interface {
	// IsCurrent reports whether an idle connection to the address may be used again, since a new
	// one would take the same path.
	IsCurrent(c net.Conn, addr string) bool
	// IsStranded reports whether the connection takes a path on which new connections to the address
	// fail, while another path works.
	IsStranded(c net.Conn, addr string) bool
}
