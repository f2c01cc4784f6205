package reply_test

import (
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/frankban/quicktest"

	"github.com/barleystep/barleystep/internal/reply"
)

// targetHead returns the head of a target's answer, with a header field that no other target has.
func targetHead(id string, status int) reply.Head {
	answer := &http.Response{StatusCode: status, Header: http.Header{
		"Mark":           {id},
		"Only-" + id:     {"1"},
		"Content-Length": {"99"},
		"Connection":     {"close, Private"},
		"Private":        {"1"},
	}}
	return reply.FromTarget("t", answer, true)
}

func boxHead(status int) reply.Head {
	return reply.FromBox(status, http.Header{"Content-Type": {"text/plain"}})
}

// TestWriter checks that an answer has exactly the fields of its first head.
func TestWriter(t *testing.T) {
	cases := map[string]struct {
		send   func(w *reply.Writer)
		status int
		header http.Header
		body   string
	}{
		"own": {
			func(w *reply.Writer) { w.WriteFull(boxHead(503), []byte("no")) },
			503, http.Header{"Content-Type": {"text/plain"}, "Content-Length": {"2"}}, "no",
		},
		"complete answer of a target": {
			func(w *reply.Writer) { w.WriteFull(targetHead("A", 500), []byte("bad")) },
			500, http.Header{"Mark": {"A"}, "Only-A": {"1"}, "Date": nil, "Content-Length": {"3"}}, "bad",
		},
		"head of a target, then of another": {
			func(w *reply.Writer) {
				w.WriteHead(targetHead("A", 200))
				w.WriteHead(targetHead("B", 206))
			},
			200, http.Header{"Mark": {"A"}, "Only-A": {"1"}, "Date": nil}, "",
		},
		"a refusal after the head is not sent": {
			func(w *reply.Writer) {
				w.WriteHead(targetHead("A", 200))
				_ = w.Write([]byte("part")) // A recorder accepts every write.
				w.WriteFull(boxHead(502), []byte("no"))
			},
			200, http.Header{"Mark": {"A"}, "Only-A": {"1"}, "Date": nil}, "part",
		},
		"closing": {
			func(w *reply.Writer) {
				w.SetConnectionClose()
				w.WriteFull(boxHead(200), nil)
			},
			200, http.Header{"Content-Type": {"text/plain"}, "Content-Length": {"0"}, "Connection": {"close"}}, "",
		},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			c := quicktest.New(t)
			recorder := httptest.NewRecorder()
			recorder.Header().Set("Left-Over", "1") // Fields that are already set must not be sent.
			tc.send(reply.NewWriter(recorder))
			c.Check(recorder.Code, quicktest.Equals, tc.status)
			c.Check(recorder.Header(), quicktest.DeepEquals, tc.header)
			c.Check(recorder.Body.String(), quicktest.Equals, tc.body)
		})
	}
}

// TestHeadCopied checks that a head changes neither with the answer that it was made from nor when
// it is sent.
func TestHeadCopied(t *testing.T) {
	c := quicktest.New(t)
	answer := &http.Response{StatusCode: 200, Header: http.Header{"Mark": {"A"}}}
	head := reply.FromTarget("t", answer, false)
	answer.Header.Set("Mark", "B")
	first := httptest.NewRecorder()
	reply.NewWriter(first).WriteFull(head, []byte("x"))
	c.Check(first.Header().Get("Mark"), quicktest.Equals, "A")
	second := httptest.NewRecorder()
	reply.NewWriter(second).WriteHead(head)
	c.Check(second.Header().Get("Content-Length"), quicktest.Equals, "")
}
