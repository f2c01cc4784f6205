package conn_test

import (
	"context"
	"io"
	"net"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/frankban/quicktest"
)

// resetConn is a connection that was reset after its target had sent something. The reset shows in the
// write only; the reader finds the end of the connection.
type resetConn struct {
	net.Conn
	answer io.Reader
	left   int // left is how much is written before the reset.
}

// Read reads what the target has sent.
func (c *resetConn) Read(p []byte) (int, error) { return c.answer.Read(p) }

// Write fails once the connection is reset.
func (c *resetConn) Write(p []byte) (int, error) {
	if len(p) > c.left {
		return c.left, syscall.ECONNRESET
	}
	c.left -= len(p)
	return len(p), nil
}

// SetDeadline does nothing.
func (*resetConn) SetDeadline(time.Time) error { return nil }

// SetWriteDeadline does nothing.
func (*resetConn) SetWriteDeadline(time.Time) error { return nil }

// Close does nothing.
func (*resetConn) Close() error { return nil }

// resetDialer opens connections that are reset.
type resetDialer struct {
	answer string
	left   int
}

// Dial opens a connection.
func (d resetDialer) Dial(context.Context, string) (net.Conn, error) {
	return &resetConn{answer: strings.NewReader(d.answer), left: d.left}, nil
}

// TestResetWhileWriting guards against answers without a length that look whole though their connection was
// reset: the error of a socket is returned once, and the writer of the request may get it.
func TestResetWhileWriting(t *testing.T) {
	const unframed, framed = "HTTP/1.1 200 OK\r\nId: 1\r\n\r\npart", "HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 5\r\n\r\nwhole"
	cases := map[string]struct {
		answer  string
		body    int
		left    int
		isWhole bool
	}{
		"long body":          {unframed, 1 << 20, 64 << 10, false},
		"short body":         {unframed, 1 << 10, 100, false},
		"written whole":      {unframed, 1 << 10, 4 << 20, true},
		"long body, framed":  {framed, 1 << 20, 64 << 10, true},
		"short body, framed": {framed, 1 << 10, 100, true},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			p := newPool()
			p.Dialer = resetDialer{tc.answer, tc.left}
			_, err := exchange(t, p, "target:1", "POST", "1", []byte(strings.Repeat("x", tc.body)))
			quicktest.Check(t, err == nil, quicktest.Equals, tc.isWhole, quicktest.Commentf("%v", err))
		})
	}
}
