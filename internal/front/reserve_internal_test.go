package front

import (
	"testing"
	"time"

	"github.com/frankban/quicktest"
)

// TestHoldTime checks that unused memory ends 8 s after the first order for it, and used memory lasts for
// the same time after each order.
func TestHoldTime(t *testing.T) {
	cases := map[string]struct {
		unusedFor time.Duration
		isUsed    bool
		want      time.Duration
	}{
		"first order":         {0, false, 3500 * time.Millisecond},
		"last of full length": {4500 * time.Millisecond, false, 3500 * time.Millisecond},
		"late":                {6 * time.Second, false, 2 * time.Second},
		"at the bound":        {8 * time.Second, false, time.Millisecond},
		"used":                {8 * time.Second, true, 3500 * time.Millisecond},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			quicktest.Check(t, holdTime(tc.unusedFor, tc.isUsed), quicktest.Equals, tc.want)
		})
	}
}
