package front_test

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/frankban/quicktest"
)

// TestInvalidLoadCounted checks that an answer in which a target states an invalid load is counted and
// passed on: otherwise nobody notices that the header is ignored.
func TestInvalidLoadCounted(t *testing.T) {
	c := quicktest.New(t)
	f := newFixture(t, state{view: newView()},
		completeAnswer(200, sealed+"Bad-Load: 1\r\n", "good"), completeAnswer(200, sealed, "good"))
	for range 2 {
		c.Check(f.do(t, http.MethodPost, "/once/", "").status, quicktest.Equals, 200)
	}
	w := httptest.NewRecorder()
	f.metrics.ServeHTTP(w, httptest.NewRequest(http.MethodGet, "/", nil))
	var line string
	for l := range strings.Lines(w.Body.String()) {
		if strings.HasPrefix(l, "barleystep_target_loads_invalid") {
			line = strings.TrimSpace(l)
		}
	}
	c.Check(strings.HasSuffix(line, " 1"), quicktest.IsTrue, quicktest.Commentf("line %q", line))
}
