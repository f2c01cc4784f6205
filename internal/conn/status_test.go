package conn_test

import (
	"fmt"
	"net/http"
	"testing"

	"github.com/frankban/quicktest"
)

// TestNoFinalStatus guards against the body of an answer that is read as the next answer, since the status
// of its head is none, or interim although a body follows.
func TestNoFinalStatus(t *testing.T) {
	forged := answer("1", "forged")
	lines := map[string]string{
		"000": "000 X", "001": "001 X", "099": "099 X", "+00": "+00 X", "+20": "+20 X", "-01": "-01 X", "0": "0 X", "20": "20 X",
		"600": "600 X", "999": "999 X", "2000": "2000 X", "20x": "20x X", "none": "", "interim": "100 X", "switch": "101 X",
	}
	bodies := map[string]string{
		"length":  fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(forged), forged),
		"chunked": fmt.Sprintf("Transfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", len(forged), forged),
	}
	for status, line := range lines {
		for form, body := range bodies {
			t.Run(status+", "+form, func(t *testing.T) {
				c := quicktest.New(t)
				s := newTarget(t, "HTTP/1.1 "+line+"\r\nId: 1\r\n"+body)
				p := newPool()
				got, err := exchange(t, p, s.addr(), http.MethodGet, "1", nil)
				c.Check(err, quicktest.IsNotNil)
				c.Check(got, quicktest.Equals, "")
				c.Check(p.OpenConns(s.addr()), quicktest.Equals, 0)
			})
		}
	}
}

// TestNoFinalStatusWithoutLength guards against what follows a head without a length that is read as the
// next answer, since the status of the head is none.
func TestNoFinalStatusWithoutLength(t *testing.T) {
	for _, line := range []string{"000 X", "099 X", "+20 X", "101 X", "600 X"} {
		t.Run(line, func(t *testing.T) {
			s := newTarget(t, "HTTP/1.1 "+line+"\r\nId: 1\r\n\r\n"+answer("1", "forged"))
			got, err := exchange(t, newPool(), s.addr(), http.MethodGet, "1", nil)
			quicktest.Check(t, err, quicktest.IsNotNil)
			quicktest.Check(t, got, quicktest.Equals, "")
		})
	}
}

// TestHiddenBodyOfSurplusAnswer guards against the body of another request's answer that is read as the
// next answer, since answers with its status, or to the method of this request, have none.
func TestHiddenBodyOfSurplusAnswer(t *testing.T) {
	forged := answer("1", "forged")
	cases := map[string]struct{ method, status string }{
		"no content":   {http.MethodGet, "204"},
		"not modified": {http.MethodGet, "304"},
		"head":         {http.MethodHead, "200"},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			s := newTarget(t, fmt.Sprintf("HTTP/1.1 %s X\r\nId: other\r\nContent-Length: %d\r\n\r\n%s", tc.status, len(forged), forged))
			got, err := exchange(t, newPool(), s.addr(), tc.method, "1", nil)
			quicktest.Check(t, err, quicktest.IsNotNil)
			quicktest.Check(t, got, quicktest.Equals, "")
		})
	}
}

// TestInterimAnswers checks that interim answers are skipped.
func TestInterimAnswers(t *testing.T) {
	s := newTarget(t, "HTTP/1.1 100 X\r\n\r\nHTTP/1.1 103 X\r\nLink: x\r\n\r\n"+answer("1", "a"))
	got, err := exchange(t, newPool(), s.addr(), http.MethodGet, "1", nil)
	quicktest.Check(t, err, quicktest.IsNil)
	quicktest.Check(t, got, quicktest.Equals, "a")
}
