package conn_test

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/frankban/quicktest"

	"github.com/barleystep/barleystep/internal/clock"
	"github.com/barleystep/barleystep/internal/conn"
)

// TestAccepts guards against processes that count as alive since the system accepts connections for them
// while they end, and against live ones that don't.
func TestAccepts(t *testing.T) {
	cases := map[string]struct {
		// serve gets the first connection.
		serve func(c net.Conn)
		want  bool
	}{
		"open":         {func(net.Conn) {}, true},
		"speaks first": {func(c net.Conn) { _, _ = c.Write([]byte("x")) }, true},
		"closed":       {func(c net.Conn) { c.Close() }, false},
		"reset":        {func(c net.Conn) { conn.Reset(c) }, false},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			c := quicktest.New(t)
			l, err := net.Listen("tcp4", "127.0.0.1:0")
			c.Assert(err, quicktest.IsNil)
			defer l.Close()
			dial := dialFunc(func(ctx context.Context, addr string) (net.Conn, error) {
				own, err := conn.TCP{Timeout: 10 * time.Second}.Dial(ctx, addr)
				c.Assert(err, quicktest.IsNil)
				accepted, err := l.Accept()
				c.Assert(err, quicktest.IsNil)
				t.Cleanup(func() { accepted.Close() })
				tc.serve(accepted)
				return own, nil
			})
			p := &conn.Pool{Clock: clock.System{}, Dialer: dial}
			c.Check(p.Accepts(context.Background(), l.Addr().String()), quicktest.Equals, tc.want)
		})
	}
}

// dialFunc is a barleystep.Dialer.
type dialFunc func(ctx context.Context, addr string) (net.Conn, error)

// Dial calls the function.
func (f dialFunc) Dial(ctx context.Context, addr string) (net.Conn, error) { return f(ctx, addr) }
