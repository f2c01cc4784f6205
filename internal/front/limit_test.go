package front_test

import (
	"net/http"
	"testing"

	"github.com/frankban/quicktest"
)

// TestLimitStatement checks that a rate limit that a target states in any answer is respected,
// whatever the result: the next requests go to the other target until it is lifted.
func TestLimitStatement(t *testing.T) {
	const takes = "Takes: 1\r\n"
	cases := map[string]struct {
		path   string
		first  step
		status int
	}{
		"complete answer":  {"/once/", completeAnswer(200, sealed+takes, "good"), 200},
		"own failure":      {"/once/", completeAnswer(500, sealed+takes, "bad"), 500},
		"not run":          {"/once/", completeAnswer(503, "Not-Run: 1\r\n"+takes, ""), 503},
		"without digest":   {"/once/", completeAnswer(200, takes, "forged"), 502},
		"truncated stream": {"/plainstream/", rawAnswer("HTTP/1.1 200 OK\r\nId: ID\r\nSeal: s\r\n" + takes + "Transfer-Encoding: chunked\r\n\r\n1"), 502},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			quicktest.Check(t, laterSends(t, newFixture(t, state{view: newView()}, withGoodAnswers(tc.first)...), tc.path, tc.status), quicktest.Equals, 0)
		})
	}
}

// withGoodAnswers returns first, followed by five good answers.
func withGoodAnswers(first step) []step {
	steps := []step{first}
	for range 5 {
		steps = append(steps, completeAnswer(200, sealed, "good"))
	}
	return steps
}

// laterSends sends a request that must get the status, then five more, and returns how many of
// these went to the target of the first one.
func laterSends(t *testing.T, f *fixture, path string, status int) (count int) {
	f.view.Route("h", path).MaxTries = 1
	quicktest.Check(t, f.do(t, http.MethodPost, path, "").status, quicktest.Equals, status)
	for range 5 {
		f.do(t, http.MethodPost, "/once/", "")
	}
	first := f.target.requests[0].Header.Get("Instance")
	for _, r := range f.target.requests[1:] {
		if r.Header.Get("Instance") == first {
			count++
		}
	}
	return count
}
