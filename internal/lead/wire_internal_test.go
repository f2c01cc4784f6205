package lead

import (
	"testing"
	"time"

	"github.com/frankban/quicktest"

	"github.com/barleystep/barleystep/internal/balance"
	"github.com/barleystep/barleystep/internal/fleet"
)

// TestReturnedTold checks that the lead learns whether a caller has come back after a refusal: it
// took each prompt for one that had.
func TestReturnedEncoded(t *testing.T) {
	for name, returned := range map[string]bool{"first try": false, "came back": true} {
		t.Run(name, func(t *testing.T) {
			j := balance.Job{Service: "s", PromptTokens: 1, CallerRetry: returned}
			got := decodeJob(fleet.NewView(fleet.Configuration{}), encodeJob(j), time.Unix(1000, 0))
			quicktest.Check(t, got.CallerRetry, quicktest.Equals, returned)
		})
	}
}
