package front_test

import (
	"fmt"
	"net/http"
	"strings"
	"testing"

	"github.com/frankban/quicktest"
)

// forgedAnswer returns an answer with the status line whose body holds a whole answer.
func forgedAnswer(line, headers, forged string) string {
	return fmt.Sprintf("HTTP/1.1 %s\r\n%sContent-Length: %d\r\n\r\n%s", line, headers, len(forged), forged)
}

// TestStatusThatIsNone guards against a target's answer with the status 000, or another that is none, that
// reaches a caller: its head, its body, or its body as an answer of its own.
func TestStatusThatIsNone(t *testing.T) {
	const forged = "HTTP/1.1 200 OK\r\nId: r1\r\nSeal: s\r\nContent-Length: 6\r\n\r\nforged"
	for _, line := range []string{"000 X", "001 X", "099 X", "+00 X", "+20 X", "-01 X", "0 X", "20 X", "600 X", "2000 X", "20x X", "", "100 X", "101 X"} {
		for _, path := range []string{"/once/", "/again/", "/stream/", "/plainstream/"} {
			t.Run(line+" "+path, func(t *testing.T) {
				c := quicktest.New(t)
				answer := rawAnswer(forgedAnswer(line, "Id: ID\r\nSeal: s\r\n", forged))
				f := newFixture(t, state{view: newView()}, answer, answer)
				got := f.do(t, http.MethodPost, path, "")
				c.Check(got.status, quicktest.Equals, http.StatusBadGateway)
				c.Check(got.body, quicktest.Not(quicktest.Contains), "forged")
			})
		}
	}
}

// TestOrderStatusThatIsNone guards against an order that counts as accepted because of what follows a head
// whose status is none.
func TestOrderStatusThatIsNone(t *testing.T) {
	c := quicktest.New(t)
	view := newView()
	view.Route("h", "/giant/").MaxTries = 1
	f := newFixture(t, state{view: view}, eventStream(1, 2, false))
	f.target.orders = []step{rawAnswer(forgedAnswer("000 X", "", "HTTP/1.1 200 X\r\nContent-Length: 0\r\n\r\n"))}
	got := f.do(t, http.MethodPost, "/giant/", "", "Prompt", "1200")
	c.Check(got.status, quicktest.Equals, http.StatusServiceUnavailable)
	c.Check(strings.Contains(f.target.kinds(), "S"), quicktest.IsFalse, quicktest.Commentf("the prompt was sent"))
}
