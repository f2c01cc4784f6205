package gate

import (
	"net/http/httptest"
	"testing"
	"time"

	"github.com/frankban/quicktest"

	"github.com/barleystep/barleystep"
)

// TestRetryAfterRoundedUp checks that the OpenAI form, whose Retry-After is in whole seconds, never
// calls a caller back before the time of its refusal.
func TestRetryAfterRoundedUp(t *testing.T) {
	cases := map[string]struct {
		after time.Duration
		want  string
	}{
		"unset":    {0, ""},
		"fraction": {137 * time.Millisecond, "1"},
		"whole":    {2 * time.Second, "2"},
		"over two": {2001 * time.Millisecond, "3"},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			w := httptest.NewRecorder()
			r := barleystep.NewRefusal(barleystep.ReasonQueueFull, barleystep.OutcomeNotRun, "All targets are full.")
			newAnswer(w).refuse(r.WithRetryAfter(tc.after))
			quicktest.Check(t, w.Header().Get("Retry-After"), quicktest.Equals, tc.want)
		})
	}
}
