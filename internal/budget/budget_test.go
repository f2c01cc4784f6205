package budget_test

import (
	"testing"
	"time"

	"github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/barleystep/barleystep/internal/budget"
	"github.com/barleystep/barleystep/internal/clock"
)

const window = 10 * time.Second

func newBudget(boxes int) (*budget.Budget, *clock.Manual) {
	manual := clock.NewManual(time.Unix(1000, 0))
	b := &budget.Budget{Clock: manual, Window: window, BoxCount: func() int { return boxes }}
	b.SetLimits(0.2, 100)
	return b, manual
}

func TestRetry(t *testing.T) {
	cases := map[string]struct {
		boxes    int
		requests int
		wait     time.Duration
		want     int
	}{
		"share of the additional retries": {10, 0, 0, 4},
		"alone":                           {1, 0, 0, 40},
		"with requests":                   {10, 100, 0, 20},
		"old requests do not count":       {10, 100, 2 * window, 4},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			b, manual := newBudget(tc.boxes)
			for range tc.requests {
				b.CountRequest("s")
			}
			manual.Advance(tc.wait)
			got := 0
			for b.AllowRetry("s") {
				got++
			}
			quicktest.Check(t, got, quicktest.Equals, tc.want)
			quicktest.Check(t, b.AllowRetry("other") == (tc.boxes < 40), quicktest.IsTrue)
		})
	}
}

// event is a request or a retry in TestFleetBound.
type event struct {
	at    time.Duration
	retry bool
}

// countEvents returns the number of requests or retries between from and to.
func countEvents(events []event, retry bool, from, to time.Duration) (n int) {
	for _, e := range events {
		if e.retry == retry && e.at >= from && e.at < to {
			n++
		}
	}
	return n
}

// drawEvents makes requests and retries at random times and returns those that were allowed.
func drawEvents(t *rapid.T) (events []event) {
	b, manual := newBudget(1)
	now := time.Duration(0)
	for range rapid.IntRange(1, 300).Draw(t, "events") {
		step := time.Duration(rapid.IntRange(0, 900).Draw(t, "ms")) * time.Millisecond
		manual.Advance(step)
		now += step
		retry := rapid.Bool().Draw(t, "retry")
		if !retry {
			b.CountRequest("s")
		}
		if !retry || b.AllowRetry("s") {
			events = append(events, event{now, retry})
		}
	}
	return events
}

// TestFleetBound checks, for random sequences of requests and retries, that no window holds more
// retries than all boxes together may make.
func TestFleetBound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		events := drawEvents(t)
		for _, start := range events {
			retries := countEvents(events, true, start.at, start.at+window)
			requests := countEvents(events, false, start.at-window, start.at+window)
			if float64(retries) > 0.2*float64(requests)+100 {
				t.Fatalf("%d retries for %d requests", retries, requests)
			}
		}
	})
}
