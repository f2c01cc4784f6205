package metric_test

import (
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/frankban/quicktest"

	"github.com/barleystep/barleystep/internal/metric"
)

// TestObserve checks that samples are read again on each collection.
func TestObserve(t *testing.T) {
	c := quicktest.New(t)
	e, err := metric.NewExporter()
	c.Assert(err, quicktest.IsNil)
	age := 1.5
	e.Observe("barleystep_age", "An age.", "topic", func() []metric.Sample {
		return []metric.Sample{{Label: "targets", Value: age}}
	})
	for _, want := range []string{"1.5", "2.5"} {
		w := httptest.NewRecorder()
		e.ServeHTTP(w, httptest.NewRequest("GET", "/", nil))
		var line string
		for l := range strings.Lines(w.Body.String()) {
			if strings.HasPrefix(l, "barleystep_age") {
				line = strings.TrimSpace(l)
			}
		}
		c.Check(strings.Contains(line, `topic="targets"`), quicktest.IsTrue, quicktest.Commentf("line %q", line))
		c.Check(strings.HasSuffix(line, " "+want), quicktest.IsTrue, quicktest.Commentf("line %q", line))
		age++
	}
}
