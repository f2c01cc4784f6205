package front

import (
	"testing"
	"time"

	"github.com/frankban/quicktest"
)

// TestLimitHistory checks what a request's time limit implies about its caller's first attempt.
func TestLimitHistory(t *testing.T) {
	const usual = 10 * time.Second
	start := time.Unix(1000, 0)
	cases := map[string]struct {
		route string
		limit time.Duration
		after time.Duration
		want  time.Duration
	}{
		"usual limit":            {"r", usual, 0, 0},
		"slightly shorter limit": {"r", usual - 10*time.Millisecond, 0, 0},
		"retry after a refusal":  {"r", 7 * time.Second, 0, 3 * time.Second},
		"another route":          {"other", 7 * time.Second, 0, 0},
		"no limit":               {"r", 0, 0, 0},
		"longer than usual":      {"r", 2 * usual, 0, 0},
		"next period":            {"r", 7 * time.Second, limitPeriod + 1, 3 * time.Second},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			var h limitHistory
			h.sinceFirstTry(start, "r", usual)
			quicktest.Assert(t, h.sinceFirstTry(start.Add(tc.after), tc.route, tc.limit), quicktest.Equals, tc.want)
		})
	}
	t.Run("forgotten", func(t *testing.T) {
		var h limitHistory
		h.sinceFirstTry(start, "r", usual)
		h.sinceFirstTry(start.Add(limitPeriod+1), "r", usual/2)
		quicktest.Assert(t, h.sinceFirstTry(start.Add(3*limitPeriod), "r", usual/2), quicktest.Equals, time.Duration(0))
	})
}
