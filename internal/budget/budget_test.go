package budget_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/barleystep/barleystep"
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

// TestSharesBelowOne checks that boxes whose share of the budget is below one retry together make use
// of most of their shares, and never of more than the whole budget. With the share rounded down, none
// of them ever sent a request twice.
func TestSharesBelowOne(t *testing.T) {
	cases := map[string]struct {
		boxes    int
		requests int // requests is the number of each box's requests in the window.
		extra    float64
	}{
		"a thousand boxes":          {1000, 2, 1000},
		"two thousand":              {2000, 2, 1000},
		"no additional retries":     {1000, 2, 0},
		"two thousand, only a few":  {2000, 1, 300},
		"three hundred, many calls": {300, 50, 900},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			c := quicktest.New(t)
			granted := 0
			for i := range tc.boxes {
				manual := clock.NewManual(time.Unix(1000, 0))
				b := &budget.Budget{
					Clock: manual, Window: window, Box: barleystep.BoxID(fmt.Sprint("box-", i)),
					BoxCount: func() int { return tc.boxes },
				}
				b.SetLimits(0.2, tc.extra)
				for range tc.requests {
					b.CountRequest("s")
				}
				for range 2 * tc.requests {
					manual.Advance(window / time.Duration(4*tc.requests))
					if b.AllowRetry("s") {
						granted++
					}
				}
			}
			limit := 0.2*float64(tc.boxes*tc.requests) + tc.extra
			c.Check(float64(granted) <= limit, quicktest.IsTrue, quicktest.Commentf("%d of %.0f", granted, limit))
			c.Check(float64(granted) >= 0.35*limit, quicktest.IsTrue, quicktest.Commentf("%d of %.0f", granted, limit))
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
