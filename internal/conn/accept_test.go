package conn_test

import (
	"context"
	"net"
	"syscall"
	"testing"
	"time"

	"github.com/frankban/quicktest"

	"github.com/barleystep/barleystep/internal/clock"
	"github.com/barleystep/barleystep/internal/conn"
)

// TestAccepts guards against processes that count as alive since the system accepts connections for them
// while they end, and against live ones that don't, also where they take no further connection.
func TestAccepts(t *testing.T) {
	reset := func(c net.Conn) { conn.Reset(c) }
	shut := func(c net.Conn) { c.Close() }
	cases := map[string]struct {
		// serve gets each connection; after the given number, connections are refused.
		serve        func(c net.Conn)
		refusedAfter int
		// late is set if the box has no processor time until the end has arrived.
		late bool
		want bool
	}{
		"open":                {func(net.Conn) {}, 1, false, true},
		"open, late":          {func(net.Conn) {}, 1, true, true},
		"speaks first":        {func(c net.Conn) { _, _ = c.Write([]byte("x")) }, 1, false, true},
		"closed":              {shut, 1, false, false},
		"closed, late":        {shut, 1, true, false},
		"reset":               {reset, 1, false, false},
		"reset, late":         {reset, 1, true, false},
		"reset twice":         {reset, 2, false, false},
		"resets further ones": {reset, 100, false, true},
		"refused":             {nil, 0, false, false},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			c := quicktest.New(t)
			l, err := net.Listen("tcp4", "127.0.0.1:0")
			c.Assert(err, quicktest.IsNil)
			defer l.Close()
			dials := 0
			dial := dialFunc(func(ctx context.Context, addr string) (net.Conn, error) {
				if dials++; dials > tc.refusedAfter {
					return nil, syscall.ECONNREFUSED
				}
				own, err := conn.TCP{Timeout: 10 * time.Second}.Dial(ctx, addr)
				c.Assert(err, quicktest.IsNil)
				accepted, err := l.Accept()
				c.Assert(err, quicktest.IsNil)
				t.Cleanup(func() { accepted.Close() })
				tc.serve(accepted)
				if tc.late {
					return lateConn{own.(*net.TCPConn), name != "open, late"}, nil
				}
				return own, nil
			})
			p := &conn.Pool{Clock: clock.System{}, Dialer: dial}
			c.Check(p.Accepts(context.Background(), l.Addr().String()), quicktest.Equals, tc.want)
		})
	}
}

// lateConn is a connection whose deadlines have passed when they are set. If ends is set, its end has
// arrived by then.
type lateConn struct {
	*net.TCPConn
	ends bool
}

// SetReadDeadline waits for the end of the connection and sets a deadline that has passed.
func (c lateConn) SetReadDeadline(time.Time) error {
	if raw, err := c.SyscallConn(); err == nil && c.ends {
		_ = raw.Read(func(fd uintptr) bool {
			var one [1]byte
			_, _, err := syscall.Recvfrom(int(fd), one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
			return err != syscall.EAGAIN
		})
	}
	return c.TCPConn.SetReadDeadline(time.Unix(1, 0))
}

// dialFunc is a barleystep.Dialer.
type dialFunc func(ctx context.Context, addr string) (net.Conn, error)

// Dial calls the function.
func (f dialFunc) Dial(ctx context.Context, addr string) (net.Conn, error) { return f(ctx, addr) }
