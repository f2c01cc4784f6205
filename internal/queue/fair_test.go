package queue_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/frankban/quicktest"

	"github.com/barleystep/barleystep/internal/queue"
)

var start = time.Date(2026, 12, 2, 8, 0, 0, 0, time.UTC)

func entry(item string, cost float64, age time.Duration) queue.Entry[string] {
	return queue.Entry[string]{Item: item, Since: start.Add(-age), Cost: cost}
}

func all(string) bool { return true }

func TestFairShares(t *testing.T) {
	cases := map[string]struct {
		weights map[string]float64
		costs   map[string]float64
		served  map[string]int // served is of the first 30.
	}{
		"equal":          {map[string]float64{"a": 1, "b": 1}, map[string]float64{"a": 1, "b": 1}, map[string]int{"a": 15, "b": 15}},
		"double weight":  {map[string]float64{"a": 2, "b": 1}, map[string]float64{"a": 1, "b": 1}, map[string]int{"a": 20, "b": 10}},
		"double cost":    {map[string]float64{"a": 1, "b": 1}, map[string]float64{"a": 2, "b": 1}, map[string]int{"a": 10, "b": 20}},
		"others idle":    {map[string]float64{"a": 0.01}, map[string]float64{"a": 1}, map[string]int{"a": 30}},
		"three accounts": {map[string]float64{"a": 1, "b": 1, "c": 4}, map[string]float64{"a": 1, "b": 1, "c": 1}, map[string]int{"a": 5, "b": 5, "c": 20}},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			var q queue.Fair[string]
			for flow, w := range tc.weights {
				for i := range 40 {
					q.Push(flow, w, entry(flow, tc.costs[flow], -time.Duration(i)))
				}
			}
			served := make(map[string]int)
			for range 30 {
				item, ok := q.Take(all)
				quicktest.Assert(t, ok, quicktest.IsTrue)
				served[item]++
			}
			for flow, want := range tc.served {
				got := served[flow]
				quicktest.Check(t, got >= want-1 && got <= want+1, quicktest.IsTrue, quicktest.Commentf("%s: %d, want %d", flow, got, want))
			}
		})
	}
}

func TestOldestFirstWithinAFlow(t *testing.T) {
	c := quicktest.New(t)
	var q queue.Fair[string]
	q.Push("a", 1, entry("young", 1, 0))
	q.Push("a", 1, entry("old", 1, time.Minute))
	first, _ := q.Take(all)
	c.Check(first, quicktest.Equals, "old")
}

// TestIdleFlowGainsNothing checks that a flow gets no more than its share after it was idle.
func TestIdleFlowGainsNothing(t *testing.T) {
	c := quicktest.New(t)
	var q queue.Fair[string]
	for range 200 {
		q.Push("busy", 1, entry("busy", 1, 0))
	}
	for range 100 {
		q.Take(all)
	}
	for range 50 {
		q.Push("back", 1, entry("back", 1, 0))
	}
	back := 0
	for range 20 {
		if item, _ := q.Take(all); item == "back" {
			back++
		}
	}
	// Half, plus the one entry by which a flow may be ahead in a start-time fair queue.
	c.Check(back >= 10 && back <= 11, quicktest.IsTrue, quicktest.Commentf("%d of 20", back))
}

func TestTakeSkipsWhatDoesNotFit(t *testing.T) {
	c := quicktest.New(t)
	var q queue.Fair[string]
	q.Push("a", 1, entry("large", 10, 0))
	q.Push("b", 1, entry("small", 1, 0))
	item, ok := q.Take(func(s string) bool { return s == "small" })
	c.Check(ok, quicktest.IsTrue)
	c.Check(item, quicktest.Equals, "small")
	item, _ = q.Take(all)
	c.Check(item, quicktest.Equals, "large")
	_, ok = q.Take(all)
	c.Check(ok, quicktest.IsFalse)
}

func TestRemove(t *testing.T) {
	c := quicktest.New(t)
	var q queue.Fair[string]
	for i := range 10 {
		q.Push(fmt.Sprint(i%3), 1, entry(fmt.Sprint(i), 2, 0))
	}
	c.Check(q.Remove(func(s string) bool { return s < "5" }), quicktest.HasLen, 5)
	c.Check(q.Len(), quicktest.Equals, 5)
	c.Check(q.Cost(), quicktest.Equals, 10.0)
}
