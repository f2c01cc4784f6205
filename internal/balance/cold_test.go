package balance_test

import (
	"context"
	"testing"
	"time"

	"github.com/frankban/quicktest"
	"github.com/rotisserie/eris"

	"github.com/barleystep/barleystep"
	"github.com/barleystep/barleystep/internal/balance"
)

// chill makes the first target cold for the duration.
func (f *fixture) chill(d time.Duration) {
	f.targets[0].ColdUntil = f.clock.Now().Add(d)
	f.DetectRestarts()
}

// coldJob returns a job that only the first target can take, and that targets its service takes
// perSecond of while they are cold.
func (f *fixture) coldJob(perSecond float64) balance.Job {
	j := f.only("i-00")
	if perSecond > 0 {
		j.ColdLimit = barleystep.NewRateLimit(perSecond)
	}
	return j
}

// mostInSecond offers a job every 10 ms and returns the largest number that were placed in a second,
// and the number placed in all.
func (f *fixture) mostInSecond(j balance.Job, length time.Duration) (most, all int) {
	var at []time.Time
	for range length / (10 * time.Millisecond) {
		f.clock.Advance(10 * time.Millisecond)
		p, w, _ := f.TryPlace(context.Background(), j)
		if w != nil {
			_, _ = f.Abandon(w)
		}
		if p == nil {
			continue
		}
		p.Done(balance.Report{})
		at = append(at, f.clock.Now())
		last := 0
		for _, earlier := range at {
			if f.clock.Now().Sub(earlier) < time.Second {
				last++
			}
		}
		most = max(most, last)
	}
	return most, len(at)
}

// TestColdLimitByRole checks what a box sends to a cold target in any second, by its role among the
// boxes: those of all boxes must add up to less than one and a half times the rate and five.
func TestColdLimitByRole(t *testing.T) {
	const perSecond = 14
	stray := unusedLead{eris.New("no answer")}
	isLead := unusedLead{balance.ErrIsLead}
	cases := map[string]struct {
		lead  balance.Lead
		role  balance.Role
		rate  float64
		least int // least and most bound the requests in the worst of four seconds.
		most  int
		all   int // all is the least number in four seconds.
	}{
		"alone":             {nil, balance.Role{}, perSecond, 14, 16, 52},
		"lead of all":       {isLead, balance.Role{IsLead: true, Boxes: 300, Reachable: 300}, perSecond, 14, 16, 52},
		"lead of a half":    {isLead, balance.Role{IsLead: true, Boxes: 300, Reachable: 150}, perSecond, 7, 9, 24},
		"no lead, 2 boxes":  {stray, balance.Role{Boxes: 2, Reachable: 2}, perSecond, 1, 1, 4},
		"no lead, 9 boxes":  {stray, balance.Role{Boxes: 9, Reachable: 9}, perSecond, 0, 0, 0},
		"just started":      {stray, balance.Role{}, perSecond, 3, 3, 9},
		"never cold":        {isLead, balance.Role{IsLead: true, Boxes: 9, Reachable: 9}, 0, 100, 100, 400},
		"no lead, not cold": {stray, balance.Role{Boxes: 9, Reachable: 9}, 0, 100, 100, 400},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			f := newFixture(2)
			f.Lead = tc.lead
			f.SetRole(tc.role)
			f.chill(time.Minute)
			most, all := f.mostInSecond(f.coldJob(tc.rate), 4*time.Second)
			quicktest.Check(t, most >= tc.least && most <= tc.most, quicktest.IsTrue, quicktest.Commentf("%d", most))
			quicktest.Check(t, all >= tc.all, quicktest.IsTrue, quicktest.Commentf("%d in all", all))
		})
	}
}

// TestColdPhase checks that the limit of a cold target begins and ends with its phase, that the lower
// of two limits holds, and that a new incarnation is cold by its own record.
func TestColdPhase(t *testing.T) {
	const unlimited = 100
	cases := map[string]struct {
		prepare func(f *fixture)
		least   int
		most    int
	}{
		"warm":               {func(*fixture) {}, unlimited, unlimited},
		"cold":               {func(f *fixture) { f.chill(time.Minute) }, 10, 12},
		"cold before":        {func(f *fixture) { f.chill(time.Second); f.clock.Advance(time.Second) }, unlimited, unlimited},
		"cold again":         {func(f *fixture) { f.chill(time.Second); f.clock.Advance(time.Hour); f.chill(time.Minute) }, 10, 12},
		"states a lower one": {func(f *fixture) { f.chill(time.Minute); f.announceLimit(t, 2) }, 1, 3},
		"states a higher":    {func(f *fixture) { f.chill(time.Minute); f.announceLimit(t, 50) }, 10, 12},
		"restarts, cold": {func(f *fixture) {
			f.announceStart(0, 100)
			f.clock.Advance(pastRestartNews)
			f.targets[0].ColdUntil = f.clock.Now().Add(time.Minute)
			f.announceStart(0, 200)
		}, 10, 12},
		"restarts, warm": {func(f *fixture) {
			f.chill(time.Minute)
			f.targets[0].ColdUntil = time.Time{}
			f.announceStart(0, 200)
		}, unlimited, unlimited},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			f := newFixture(2)
			tc.prepare(f)
			most, _ := f.mostInSecond(f.coldJob(10), 2*time.Second)
			quicktest.Check(t, most >= tc.least && most <= tc.most, quicktest.IsTrue, quicktest.Commentf("%d", most))
		})
	}
}

// TestColdBesideWarm checks that jobs go to warm targets while a cold one has used up its limit, and
// that a plain service with a cold target has its requests placed by the lead.
func TestColdBesideWarm(t *testing.T) {
	c := quicktest.New(t)
	f := newFixture(2)
	f.chill(time.Minute)
	j := plainJob()
	j.ColdLimit = barleystep.NewRateLimit(5)
	counts := make(map[barleystep.TargetID]int)
	for range 100 {
		f.clock.Advance(10 * time.Millisecond)
		p := f.place(t, j)
		counts[p.Target.ID]++
		p.Done(balance.Report{})
	}
	c.Check(counts["i-00"] <= 6, quicktest.IsTrue, quicktest.Commentf("%v", counts))
	c.Check(counts["i-00"] >= 4, quicktest.IsTrue, quicktest.Commentf("%v", counts))
	lead := &recordingLead{}
	f.Lead = lead
	j.Avoid = []barleystep.TargetID{"i-01"}
	_, _, err := f.TryPlace(context.Background(), j)
	c.Check(err, quicktest.IsNil)
	c.Check(lead.avoided, quicktest.DeepEquals, j.Avoid)
}
