package balance_test

import (
	"cmp"
	"slices"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/frankban/quicktest"

	"github.com/barleystep/barleystep"
	"github.com/barleystep/barleystep/internal/balance"
	"github.com/barleystep/barleystep/internal/fleet"
)

// TestShortPromptsStayInHall checks that short prompts go to engines in their caller's hall, from
// which the caller is not partitioned, unless those of another hall are better by more than a
// margin.
func TestShortPromptsStayInHall(t *testing.T) {
	cases := map[string]struct {
		// near and far are the prefill backlogs of engines in the own and in another hall.
		near time.Duration
		far  time.Duration
		asks barleystep.HallID
		want barleystep.HallID // want is empty if any hall is right.
	}{
		"all idle":                       {0, 0, "", "h"},
		"a little better elsewhere":      {40 * time.Millisecond, 0, "", "h"},
		"much better elsewhere":          {100 * time.Millisecond, 0, "", "other"},
		"asked by a box of another hall": {0, 0, "other", "other"},
		"asked by one without engines":   {0, 0, "third", ""},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			c := quicktest.New(t)
			f := newFixture(20)
			busy := balance.NewSnapshot()
			for i := range f.targets {
				read := tc.near
				if i%2 == 0 {
					f.targets[i].Hall, read = "other", tc.far
				}
				busy.Work[balance.KeyOf(string(f.targets[i].ID))] = balance.Work{Backlog: read}
			}
			f.SetOthers(busy)
			for range 10 {
				j := engineJob(shortPrompt)
				j.Hall = tc.asks
				p := f.place(t, j)
				if tc.want != "" {
					c.Check(p.Target.Hall, quicktest.Equals, tc.want)
				}
				p.Done(balance.Report{})
			}
		})
	}
}

// TestHallScoreKeepsRegions checks that a short prompt stays with the engines for short prompts
// while one of these in any hall is nearly as good as an idle one for long prompts, and is then
// served in its caller's hall.
func TestHallScoreKeepsRegions(t *testing.T) {
	const engines = 20
	const near, far = 90 * time.Millisecond, 40 * time.Millisecond
	f := newFixture(engines)
	slices.SortFunc(f.targets, func(x, y fleet.Target) int {
		return cmp.Compare(xxhash.Sum64String(string(x.ID)), xxhash.Sum64String(string(y.ID)))
	})
	known := balance.NewSnapshot()
	known.Demands[balance.KeyOf("s")] = balance.Demand{Short: 3, Long: 6} // Half of the engines for each.
	short := make(map[barleystep.TargetID]bool)
	for i := range f.targets {
		read := near
		if i%2 == 0 {
			f.targets[i].Hall, read = "other", far
		}
		if i >= engines/2 {
			short[f.targets[i].ID] = true
			known.Work[balance.KeyOf(string(f.targets[i].ID))] = balance.Work{Backlog: read}
		}
	}
	f.SetOthers(known)
	for range 20 {
		p := f.place(t, engineJob(shortPrompt))
		quicktest.Check(t, short[p.Target.ID], quicktest.IsTrue)
		quicktest.Check(t, p.Target.Hall, quicktest.Equals, barleystep.HallID("h"))
		p.Done(balance.Report{})
	}
}
