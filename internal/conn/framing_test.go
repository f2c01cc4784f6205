package conn_test

import (
	"bufio"
	"net/http"
	"strings"
	"testing"

	"github.com/frankban/quicktest"

	"github.com/barleystep/barleystep/internal/conn"
)

// TestIsUnframed guards against answers whose end is taken for that of their body where it is not, and the
// other way round.
func TestIsUnframed(t *testing.T) {
	cases := map[string]struct {
		method, answer string
		want           bool
	}{
		"neither":          {http.MethodGet, "HTTP/1.1 200 X\r\n\r\nbody", true},
		"neither, old":     {http.MethodGet, "HTTP/1.0 200 X\r\n\r\nbody", true},
		"failure":          {http.MethodPost, "HTTP/1.1 500 X\r\n\r\nbody", true},
		"length":           {http.MethodGet, "HTTP/1.1 200 X\r\nContent-Length: 4\r\n\r\nbody", false},
		"empty":            {http.MethodGet, "HTTP/1.1 200 X\r\nContent-Length: 0\r\n\r\n", false},
		"chunks":           {http.MethodGet, "HTTP/1.1 200 X\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", false},
		"without a body":   {http.MethodGet, "HTTP/1.1 204 X\r\n\r\n", false},
		"not modified":     {http.MethodGet, "HTTP/1.1 304 X\r\n\r\n", false},
		"answer to a HEAD": {http.MethodHead, "HTTP/1.1 200 X\r\n\r\n", false},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			c := quicktest.New(t)
			resp, err := http.ReadResponse(bufio.NewReader(strings.NewReader(tc.answer)), &http.Request{Method: tc.method})
			c.Assert(err, quicktest.IsNil)
			defer resp.Body.Close()
			c.Check(conn.IsUnframed(resp), quicktest.Equals, tc.want)
		})
	}
}
