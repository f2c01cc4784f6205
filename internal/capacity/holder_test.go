package capacity_test

import (
	"testing"
	"time"

	"github.com/frankban/quicktest"

	"github.com/barleystep/barleystep"
	"github.com/barleystep/barleystep/internal/capacity"
)

func demand(n uint64, prompt int) barleystep.Demand {
	return barleystep.Demand{Attempt: barleystep.NewAttemptID("b1", 1, n), PromptTokens: prompt, MaxOutputTokens: 10}
}

func credits(until time.Time, reading int) capacity.Credits {
	return capacity.Credits{Until: until, Credits: []capacity.Credit{
		{Target: "e0", PrefillTokens: reading, KVTokens: 50_000, PrefillRate: 10_000, Slowdown: 1},
		{Target: "e1", PrefillTokens: reading, KVTokens: 50_000, PrefillRate: 10_000, Slowdown: 1, OtherPrefillTokens: 8_000},
	}}
}

func TestHolderTry(t *testing.T) {
	until := start.Add(time.Second)
	cases := map[string]struct {
		credits capacity.Credits
		now     time.Time
		demand  barleystep.Demand
		target  barleystep.TargetID
	}{
		"takes the target with less work": {credits(until, 4_000), start, demand(1, 2_000), "e0"},
		"no credits":                      {capacity.Credits{}, start, demand(1, 2_000), ""},
		"credits have run out":            {credits(until, 4_000), until, demand(1, 2_000), ""},
		"long prompt":                     {credits(until, 4_000), start, demand(1, 20_000), ""},
		"memory is exhausted": {capacity.Credits{Until: until, Credits: []capacity.Credit{
			{Target: "e0", PrefillTokens: 4_000, KVTokens: 1_000, PrefillRate: 1},
		}}, start, demand(1, 2_000), ""},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			h := capacity.NewHolder("b1")
			h.SetCredits(tc.credits)
			target, _ := h.TryStart(tc.now, tc.demand)
			quicktest.Check(t, target, quicktest.Equals, tc.target)
		})
	}
}

// TestHolderCreditsBoundPrefill checks that prefill credits bound what a box sends, and that a first
// token frees its part of them.
func TestHolderCreditsBoundPrefill(t *testing.T) {
	c := quicktest.New(t)
	h := capacity.NewHolder("b1")
	h.SetCredits(credits(start.Add(time.Hour), 4_000))
	sent := uint64(0)
	for n := uint64(1); ; n++ {
		if _, ok := h.TryStart(start, demand(n, 2_000)); !ok {
			break
		}
		sent++
	}
	c.Check(sent, quicktest.Equals, uint64(4))
	h.FirstToken(start.Add(time.Millisecond), demand(1, 0).Attempt)
	_, ok := h.TryStart(start, demand(9, 2_000))
	c.Check(ok, quicktest.IsTrue)
	r := h.Report(start)
	total := 0
	for _, u := range r.Uses {
		total += u.PrefillTokens
	}
	c.Check(total, quicktest.Equals, 8_000)
}
