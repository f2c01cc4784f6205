package front_test

import (
	"net/http"
	"testing"

	"github.com/frankban/quicktest"
)

// TestMalformedAnswerIsNotQuoted guards against failures of the box that quote bytes of a malformed answer,
// which may be of another caller's.
func TestMalformedAnswerIsNotQuoted(t *testing.T) {
	const head = "HTTP/1.1 200 X\r\nId: ID\r\nSeal: s\r\n"
	const other = "HTTP/1.1 200 X\r\nId: other\r\nSeal: s\r\n"
	cases := map[string]string{
		"no answer":                   "mark-1",
		"no answer, more lines":       "mark-1\r\n\r\n",
		"a header":                    head + "mark-1\r\n\r\n",
		"a length":                    head + "Content-Length: mark-1\r\n\r\n",
		"a transfer encoding":         head + "Transfer-Encoding: mark-1\r\n\r\n",
		"a trailer":                   head + "Transfer-Encoding: chunked\r\n\r\n0\r\nmark-1\r\n\r\n",
		"a trailer of another answer": other + "Transfer-Encoding: chunked\r\n\r\n0\r\nmark-1\r\n\r\n",
		"a header of another answer":  other + "Content-Length: 1\r\n\r\nx" + other + "mark-1\r\n\r\n",
	}
	for name, text := range cases {
		t.Run(name, func(t *testing.T) {
			got := newFixture(t, state{view: newView()}, rawAnswer(text)).do(t, http.MethodPost, "/once/", "ask")
			quicktest.Check(t, got.status, quicktest.Equals, http.StatusBadGateway)
			quicktest.Check(t, got.body, quicktest.Not(quicktest.Contains), "mark-1")
		})
	}
}
