package balance_test

import (
	"testing"
	"time"

	"github.com/frankban/quicktest"

	"github.com/barleystep/barleystep"
	"github.com/barleystep/barleystep/internal/balance"
)

// TestDropHelpersOfOversizedPrompt guards against prompts over an engine's memory that are sent back for
// other engines, as a whole, because of a single helper out of many that can't be reached.
func TestDropHelpersOfOversizedPrompt(t *testing.T) {
	cases := map[string]struct {
		dropped func(helpers int) int
		// others is the KV cache that other boxes' requests take at each engine.
		others int
		want   bool
	}{
		"one of many":      {func(int) int { return 1 }, 0, true},
		"most":             {func(helpers int) int { return helpers - 2 }, 0, true},
		"one left":         {func(helpers int) int { return helpers - 1 }, 0, false},
		"others need more": {func(helpers int) int { return helpers - 2 }, 300_000, false},
		"all":              {func(helpers int) int { return helpers }, 0, false},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			c := quicktest.New(t)
			f := newFixture(10)
			j := engineJob(oversizedPrompt)
			j.Objective = 4 * time.Second
			p := f.place(t, j)
			helpers := len(p.Helpers)
			c.Assert(helpers > 3, quicktest.IsTrue)
			dropped := tc.dropped(helpers)
			busy := balance.NewSnapshot()
			for _, target := range f.targets {
				busy.Work[balance.KeyOf(string(target.ID))] = balance.Work{KVTokens: tc.others}
			}
			f.SetOthers(busy)
			var silent []barleystep.TargetID
			for _, h := range p.Helpers[:dropped] {
				silent = append(silent, h.ID)
			}
			c.Assert(p.DropHelpers(silent), quicktest.Equals, tc.want)
			if !tc.want {
				c.Check(p.Helpers, quicktest.HasLen, helpers)
				return
			}
			c.Check(p.Helpers, quicktest.HasLen, helpers-dropped)
			reserved, counted := 0, 0
			for _, h := range p.Helpers {
				reserved += h.KVTokens
			}
			for _, w := range f.Snapshot().Work {
				counted += w.KVTokens
			}
			c.Check(reserved >= oversizedPrompt, quicktest.IsTrue)
			c.Check(counted, quicktest.Equals, reserved)
		})
	}
}
