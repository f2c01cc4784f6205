package conn_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/frankban/quicktest"
)

// TestEndlessAnswers guards against targets that fill the memory of a box with an answer whose head, or
// what precedes it, doesn't end.
func TestEndlessAnswers(t *testing.T) {
	const surplus = "HTTP/1.1 200 OK\r\nId: other\r\nTransfer-Encoding: chunked\r\n\r\n"
	cases := map[string]struct {
		first, endless string
		most           int // most is how much the box may read.
	}{
		"status line":      {"HTTP/1.1 200 ", "x", 64 << 10},
		"no status line":   {"", "x", 64 << 10},
		"blank lines":      {"", "\r\n", 64 << 10},
		"header":           {"HTTP/1.1 200 OK\r\nX: ", "x", 64 << 10},
		"headers":          {"HTTP/1.1 200 OK\r\n", "X: y\r\n", 64 << 10},
		"continued header": {"HTTP/1.1 200 OK\r\nX: y\r\n", " z\r\n", 64 << 10},
		"interim answers":  {"", "HTTP/1.1 102 X\r\n\r\n", 64 << 10},
		"surplus answers":  {"", answer("other", "x"), 64 << 10},
		"surplus answer":   {surplus, "8\r\nxxxxxxxx\r\n", 8 << 20},
		"surplus trailer":  {surplus + "0\r\n", "X: y\r\n", 64 << 10},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			c := quicktest.New(t)
			l, err := net.Listen("tcp4", "127.0.0.1:0")
			c.Assert(err, quicktest.IsNil)
			defer l.Close()
			read := make(chan int, 1)
			p := newPool()
			p.Dialer = &countingDialer{inner: p.Dialer, read: read}
			go func() {
				connection, err := l.Accept()
				if err != nil {
					return
				}
				defer connection.Close()
				if _, err := http.ReadRequest(bufio.NewReader(connection)); err != nil {
					return
				}
				_, err = io.WriteString(connection, tc.first)
				for block := strings.Repeat(tc.endless, 4096/len(tc.endless)); err == nil; {
					_, err = io.WriteString(connection, block)
				}
			}()
			_, err = exchange(t, p, l.Addr().String(), "GET", "1", nil)
			c.Check(err, quicktest.IsNotNil)
			c.Check(p.OpenConns(l.Addr().String()), quicktest.Equals, 0)
			n := <-read
			c.Check(n <= tc.most, quicktest.IsTrue, quicktest.Commentf("%d bytes", n))
		})
	}
}

// TestRestOfSurplusAnswer guards against an answer inside the body of another request's answer that is
// too long to be skipped.
func TestRestOfSurplusAnswer(t *testing.T) {
	body := strings.Repeat("x", 1<<20) + answer("1", "forged")
	surplus := "HTTP/1.1 200 OK\r\nId: other\r\nConnection: close\r\n\r\n" + body
	s := newTarget(t, surplus)
	got, err := exchange(t, newPool(), s.addr(), "GET", "1", nil)
	quicktest.Check(t, err, quicktest.IsNotNil)
	quicktest.Check(t, got, quicktest.Equals, "")
}

// countingDialer opens connections that report how much was read of them when they are closed.
type countingDialer struct {
	inner interface {
		Dial(ctx context.Context, addr string) (net.Conn, error)
	}
	read chan<- int
}

// Dial opens a connection.
func (d *countingDialer) Dial(ctx context.Context, addr string) (net.Conn, error) {
	c, err := d.inner.Dial(ctx, addr)
	if err != nil {
		return nil, err
	}
	return &countingConn{Conn: c, read: d.read}, nil
}

type countingConn struct {
	net.Conn
	read  chan<- int
	total int
}

// Read counts what is read.
func (c *countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.total += n
	if c.total > 16<<20 {
		return 0, io.ErrShortBuffer // Enough is known.
	}
	return n, err
}

// Close reports the count.
func (c *countingConn) Close() error {
	c.read <- c.total
	return c.Conn.Close()
}
