package lead

import (
	"testing"
	"time"

	"github.com/frankban/quicktest"

	"github.com/barleystep/barleystep"
	"github.com/barleystep/barleystep/internal/balance"
	"github.com/barleystep/barleystep/internal/fleet"
)

// recode returns the job as the lead decodes it.
func recode(j balance.Job) balance.Job {
	return decodeJob(fleet.NewView(fleet.Configuration{}), encodeJob(j), time.Unix(1000, 0))
}

// TestReturnedEncoded checks that the lead learns whether a caller retries after a refusal. Without
// the field it would treat every prompt as a retry.
func TestReturnedEncoded(t *testing.T) {
	for name, returned := range map[string]bool{"first try": false, "retry after a refusal": true} {
		t.Run(name, func(t *testing.T) {
			j := balance.Job{Service: "s", PromptTokens: 1, CallerRetry: returned}
			got := recode(j)
			quicktest.Check(t, got.CallerRetry, quicktest.Equals, returned)
		})
	}
}

// TestReplacementEncoded checks that the lead learns whether a prompt was placed before. Without the
// field it would count each placement of a try as one more try that was placed.
func TestReplacementEncoded(t *testing.T) {
	for name, replacement := range map[string]bool{"first placement": false, "engines did not respond": true} {
		t.Run(name, func(t *testing.T) {
			j := balance.Job{Service: "s", PromptTokens: 1, Replacement: replacement}
			got := recode(j)
			quicktest.Check(t, got.Replacement, quicktest.Equals, replacement)
		})
	}
}

// TestBoxEncoded checks that the lead learns which box asks, and that a request of an older box,
// which sends no id, is not taken for one of the lead's own.
func TestBoxEncoded(t *testing.T) {
	for name, box := range map[string]barleystep.BoxID{"asking box": "hala1-e3", "older box": ""} {
		t.Run(name, func(t *testing.T) {
			got := recode(balance.Job{Service: "s", Box: box})
			quicktest.Check(t, got.Box, quicktest.Equals, box)
		})
	}
}

// TestAccountEncoded checks that the lead learns the client account of the caller. Without it, the
// lead could not share engines among accounts.
func TestAccountEncoded(t *testing.T) {
	got := recode(balance.Job{Service: "s", Account: "a"})
	quicktest.Check(t, got.Account, quicktest.Equals, "a")
}
