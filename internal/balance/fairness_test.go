package balance_test

import (
	"context"
	"testing"

	"github.com/frankban/quicktest"

	"github.com/barleystep/barleystep/internal/balance"
)

// TestLaggingSizeGoesFirst checks that a long prompt goes before a shorter one that waits too once
// its size class is placed less often. It guards against prompts that need the most engine time
// starving behind all others, also where engines fail them or their callers come back: a caller
// counts once, and one that still waits does not.
func TestLaggingSizeGoesFirst(t *testing.T) {
	const small, large = 50_000, 200_000
	cases := map[string]struct {
		refused  int // refused is how many large prompts have timed out before.
		replaced int // replaced is how often one that was placed was placed again.
		retries  int // retries is how many callers with small prompts were refused again.
		waiting  int // waiting is how many more large prompts wait.
		want     int
	}{
		"as often":                   {0, 0, 0, 0, small},
		"lagging":                    {12, 0, 0, 0, large},
		"lagging, with replacements": {12, 30, 0, 0, large},
		"lagging, with retries":      {12, 0, 30, 0, large},
		"many wait":                  {0, 0, 0, 12, small},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			c := quicktest.New(t)
			f := newFixture(1)
			place := func(prompt int) *balance.Placement {
				p := f.place(t, engineJob(prompt))
				p.NoteFirstEvent()
				return p
			}
			for range 3 {
				place(small).Done(balance.Report{})
				place(large).Done(balance.Report{})
			}
			for range tc.replaced {
				j := engineJob(large)
				j.Replacement = true
				f.place(t, j).Cancel()
			}
			busy := f.place(t, engineJob(small))
			askJob := func(j balance.Job) *balance.QueuedJob {
				_, w, err := f.TryPlace(context.Background(), j)
				c.Assert(err, quicktest.IsNil)
				c.Assert(w, quicktest.IsNotNil)
				return w
			}
			ask := func(prompt int) *balance.QueuedJob { return askJob(engineJob(prompt)) }
			var timedOut []*balance.QueuedJob
			for range tc.refused {
				timedOut = append(timedOut, ask(large))
			}
			for range tc.retries {
				j := engineJob(small)
				j.CallerRetry = true
				timedOut = append(timedOut, askJob(j))
			}
			for _, w := range timedOut {
				f.clock.Advance(max(w.Deadline().Sub(f.clock.Now()), 0))
				_, err := f.Abandon(w)
				c.Assert(err, quicktest.IsNotNil)
			}
			for range tc.waiting {
				ask(large)
			}
			waits := map[int]*balance.QueuedJob{large: ask(large), small: ask(small)}
			busy.NoteFirstEvent()
			busy.Done(balance.Report{})
			for prompt, w := range waits {
				c.Check(len(w.Ready()) == 1, quicktest.Equals, prompt == tc.want, quicktest.Commentf("%d", prompt))
			}
		})
	}
}
