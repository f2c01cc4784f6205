package front_test

import (
	"net"
	"net/http"
	"runtime"
	"strings"
	"testing"

	"github.com/frankban/quicktest"
	"github.com/phuslu/log"

	"github.com/barleystep/barleystep"
)

// TestLeavingStatement checks that a target that states in any answer that it is leaving gets no
// more requests, whatever the result, and that an answer of another target at its address does not
// count as its statement.
func TestLeavingStatement(t *testing.T) {
	const leaves = "Leaves: 1\r\n"
	cases := map[string]struct {
		path   string
		first  step
		status int
		left   bool
	}{
		"complete answer":          {"/once/", completeAnswer(200, sealed+leaves, "good"), 200, true},
		"own failure":              {"/once/", completeAnswer(500, sealed+leaves, "bad"), 500, true},
		"not run":                  {"/once/", completeAnswer(503, "Not-Run: 1\r\n"+leaves, ""), 503, true},
		"without digest":           {"/once/", completeAnswer(200, leaves, "forged"), 502, true},
		"truncated stream":         {"/plainstream/", rawAnswer("HTTP/1.1 200 OK\r\nId: ID\r\nSeal: s\r\n" + leaves + "Transfer-Encoding: chunked\r\n\r\n1"), 502, true},
		"answer of another target": {"/once/", completeAnswer(421, "Not-Run: 1\r\n"+leaves, ""), 503, false},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t, state{view: newView()}, withGoodAnswers(tc.first)...)
			got := laterSends(t, f, tc.path, tc.status)
			first := barleystep.TargetID(f.target.requests[0].Header.Get("Instance"))
			quicktest.Check(t, f.front.Balancer.TargetStatus(first).Statement.Leaving.Value, quicktest.Equals, tc.left)
			quicktest.Check(t, !tc.left || got == 0, quicktest.IsTrue, quicktest.Commentf("%d sent on", got))
		})
	}
}

// TestLeavingHelperNotUsed checks that statements of helpers in their answers to orders are taken
// in, and that a prompt is not sent with helpers that are leaving.
func TestLeavingHelperNotUsed(t *testing.T) {
	c := quicktest.New(t)
	f := newFixture(t, state{view: newView()}, eventStream(1, 2, false))
	f.target.orders = []step{completeAnswer(http.StatusOK, "Leaves: 1\r\n", "")}
	got := f.do(t, http.MethodPost, "/giant/", "", "Prompt", "1200")
	c.Check(got.status, quicktest.Equals, http.StatusServiceUnavailable)
	leaving := 0
	for _, target := range f.targets {
		if f.front.Balancer.TargetStatus(target.ID).Statement.Leaving.Value {
			leaving++
		}
	}
	c.Check(leaving >= 2, quicktest.IsTrue, quicktest.Commentf("%d leave", leaving))
	f.target.mu.Lock()
	defer f.target.mu.Unlock()
	for _, r := range f.target.requests {
		c.Check(isOrder(r), quicktest.IsTrue)
	}
}

// TestOrderAnswerDoesNotRevokeLeaving checks that a helper that is leaving still counts as leaving
// after an answer to a later order that does not repeat the statement.
func TestOrderAnswerDoesNotRevokeLeaving(t *testing.T) {
	c := quicktest.New(t)
	f := newFixture(t, state{view: newView()}, eventStream(1, 2, false))
	f.target.orders = []step{func(k net.Conn, r *http.Request) bool {
		headers := ""
		if strings.HasPrefix(r.RequestURI, "/reserve/") {
			headers = "Leaves: 1\r\n"
		}
		return completeAnswer(http.StatusOK, headers, "")(k, r)
	}}
	f.do(t, http.MethodPost, "/giant/", "", "Prompt", "1200")
	for f.front.PendingReleases() > 0 {
		runtime.Gosched()
	}
	leaving := 0
	for _, target := range f.targets {
		if f.front.Balancer.TargetStatus(target.ID).Statement.Leaving.Value {
			leaving++
		}
	}
	c.Check(leaving >= 2, quicktest.IsTrue, quicktest.Commentf("%d leave", leaving))
}

// TestPassedOver checks that the log line of a refused request names the targets that it was not
// offered to, and the source of the reason.
func TestPassedOver(t *testing.T) {
	c := quicktest.New(t)
	f := newFixture(t, state{view: newView()}, completeAnswer(http.StatusOK, sealed+"Leaves: 1\r\n", "good"))
	lines := make(lineReader, 16)
	f.front.Log.Writer, f.front.Log.Level = &log.IOWriter{Writer: lines}, log.InfoLevel
	c.Check(f.do(t, http.MethodPost, "/lone/", "").status, quicktest.Equals, http.StatusOK)
	<-lines
	c.Check(f.do(t, http.MethodPost, "/lone/", "").status, quicktest.Equals, http.StatusServiceUnavailable)
	line := <-lines
	c.Check(strings.Contains(line, `"passed_over":["c leaves, heard"]`), quicktest.IsTrue, quicktest.Commentf("%s", line))
}

// lineReader is a log writer that passes the lines on.
type lineReader chan string

// Write passes a line on.
func (l lineReader) Write(line []byte) (int, error) {
	l <- string(line)
	return len(line), nil
}
