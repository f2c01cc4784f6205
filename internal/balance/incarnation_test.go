package balance_test

import (
	"context"
	"testing"
	"time"

	"github.com/frankban/quicktest"

	"github.com/barleystep/barleystep"
	"github.com/barleystep/barleystep/internal/balance"
	"github.com/barleystep/barleystep/internal/fleet"
)

// pastRestartNews is longer than the news of a restart takes.
const pastRestartNews = time.Second

// announceStart sets the start time in a target's record.
func (f *fixture) announceStart(i int, startMS int64) {
	f.targets[i].StartMS = startMS
	f.DetectRestarts()
}

// peerSnapshot returns the gossip of a box that knows a target by the given start time.
func peerSnapshot(t fleet.Target, startMS int64, w balance.Work) balance.Snapshot {
	t.StartMS = startMS
	s := balance.NewSnapshot()
	s.Work[balance.KeyOfTarget(t)] = w
	return s
}

// only returns a job that only the first target may take.
func only(prompt int, f *fixture) balance.Job {
	j := engineJob(prompt)
	if prompt == 0 {
		j = plainJob()
	}
	for _, t := range f.targets[1:] {
		j.Avoid = append(j.Avoid, t.ID)
	}
	return j
}

func lost(p *balance.Placement) bool {
	select {
	case <-p.Lost():
		return true
	default:
		return false
	}
}

// TestRestartDropsWork checks what a box knows of a target after a change of its start time.
func TestRestartDropsWork(t *testing.T) {
	cases := map[string]struct {
		first, second int64
		wait          time.Duration
		dropped       bool
	}{
		"another incarnation":                {100, 200, pastRestartNews, true},
		"another incarnation, earlier clock": {200, 100, pastRestartNews, true},
		"the same incarnation":               {100, 100, pastRestartNews, false},
		"never a start time":                 {0, 0, pastRestartNews, false},
		"gains a start time":                 {0, 100, pastRestartNews, false},
		"loses its start time":               {100, 0, pastRestartNews, false},
		"sent just before the news":          {100, 200, 50 * time.Millisecond, false},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			c := quicktest.New(t)
			f := newFixture(1)
			f.targets[0].StartMS = tc.first
			p := f.place(t, engineJob(shortPrompt))
			f.clock.Advance(tc.wait)
			f.announceStart(0, tc.second)
			c.Check(lost(p), quicktest.Equals, tc.dropped)
			c.Check(p.HasRestarted("i-00"), quicktest.Equals, tc.dropped)
			want := balance.Work{Short: 1}
			if tc.dropped {
				want = balance.Work{}
			}
			got := f.Snapshot().Work[balance.KeyOfTarget(f.targets[0])]
			c.Check(got.Short, quicktest.Equals, want.Short)
			p.Done(balance.Report{})
			c.Check(f.Snapshot().Work, quicktest.HasLen, 0)
		})
	}
}

// TestRestartAcrossUnknownStart checks that an incarnation is told from the one before although a
// record without a start time came between them.
func TestRestartAcrossUnknownStart(t *testing.T) {
	f := newFixture(1)
	f.targets[0].StartMS = 100
	p := f.place(t, engineJob(shortPrompt))
	f.clock.Advance(pastRestartNews)
	f.announceStart(0, 0)
	quicktest.Check(t, lost(p), quicktest.IsFalse)
	f.announceStart(0, 200)
	quicktest.Check(t, lost(p), quicktest.IsTrue)
}

// TestRestartClearsBackoff checks that a new incarnation is not in backoff for failures of the one
// before, found here or by peers, early or late.
func TestRestartClearsBackoff(t *testing.T) {
	unreachable := func(f *fixture, t *testing.T) {
		f.place(t, only(0, f)).Done(balance.Report{Unreachable: true})
	}
	reportedBy := func(born int64) func(*fixture, *testing.T) {
		return func(f *fixture, _ *testing.T) {
			f.SetOthers(peerSnapshot(f.targets[0], born, balance.Work{DownReports: 1}))
		}
	}
	restart := func(f *fixture, _ *testing.T) { f.announceStart(0, 200) }
	type steps []func(*fixture, *testing.T)
	cases := map[string]struct {
		steps steps
		down  bool
	}{
		"unreachable here before":             {steps{unreachable, restart}, false},
		"unreachable here after":              {steps{restart, unreachable}, true},
		"old one reported before":             {steps{reportedBy(100), restart}, false},
		"old one reported late":               {steps{restart, reportedBy(100)}, false},
		"new one reported":                    {steps{restart, reportedBy(200)}, true},
		"new one reported before the restart": {steps{reportedBy(200), restart}, true},
		"new one reported, no restart":        {steps{reportedBy(200)}, false},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			f := newFixture(2)
			f.targets[0].StartMS = 100
			f.place(t, only(0, f)).Done(balance.Report{})
			f.clock.Advance(pastRestartNews)
			for _, step := range tc.steps {
				step(f, t)
			}
			quicktest.Check(t, f.IsDown("i-00"), quicktest.Equals, tc.down)
		})
	}
}

// TestRestartClearsErrorRate checks that a new incarnation gets its share of the work at once.
func TestRestartClearsErrorRate(t *testing.T) {
	f := newFixture(2)
	f.targets[0].StartMS = 100
	for range 20 {
		f.place(t, only(0, f)).Done(balance.Report{Error: true})
	}
	f.clock.Advance(pastRestartNews)
	f.announceStart(0, 200)
	first := 0
	for range 10 {
		if f.place(t, plainJob()).Target.ID == "i-00" {
			first++
		}
	}
	quicktest.Check(t, first, quicktest.Equals, 5)
}

// TestLateReportOfOldIncarnation checks that a try on an old incarnation that ends late does not
// affect the new one.
func TestLateReportOfOldIncarnation(t *testing.T) {
	f := newFixture(2)
	f.targets[0].StartMS = 100
	p := f.place(t, only(0, f))
	f.clock.Advance(pastRestartNews)
	f.announceStart(0, 200)
	p.Done(balance.Report{Unreachable: true})
	quicktest.Check(t, f.IsDown("i-00"), quicktest.IsFalse)
	quicktest.Check(t, f.Snapshot().Work, quicktest.HasLen, 0)
}

// TestRestartOfHelper checks which restarts end a long prompt: those of the targets that it still
// needs.
func TestRestartOfHelper(t *testing.T) {
	const oversized = 500_000
	cases := map[string]struct {
		prompt    int
		prefilled bool
		lost      bool
	}{
		"during its prefill":                          {longPrompt, false, true},
		"after its prefill":                           {longPrompt, true, false},
		"it holds KV cache of an oversized prompt":    {oversized, true, true},
		"it reserves KV cache of an oversized prompt": {oversized, false, true},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			c := quicktest.New(t)
			f := newFixture(12)
			for i := range f.targets {
				f.targets[i].StartMS = 100
			}
			j := engineJob(tc.prompt)
			j.Objective = 8 * time.Second
			p := f.place(t, j)
			c.Assert(len(p.Helpers) > 0, quicktest.IsTrue)
			helper := p.Helpers[0].ID
			if tc.prefilled {
				p.NoteFirstEvent()
			}
			f.clock.Advance(pastRestartNews)
			for i := range f.targets {
				if f.targets[i].ID == helper {
					f.announceStart(i, 200)
				}
			}
			c.Check(lost(p), quicktest.Equals, tc.lost)
			c.Check(p.HasRestarted(helper), quicktest.IsTrue)
			c.Check(p.HasRestarted(p.Target.ID), quicktest.IsFalse)
		})
	}
}

// TestRestartEndsPeerPlacements checks that the lead does not count what it placed on an
// incarnation that is over, and that the rest of the placement still counts.
func TestRestartEndsPeerPlacements(t *testing.T) {
	c := quicktest.New(t)
	f := newFixture(12)
	for i := range f.targets {
		f.targets[i].StartMS = 100
	}
	j := engineJob(longPrompt)
	j.Objective = 8 * time.Second
	plan, err := f.PlaceForPeer(context.Background(), j, f.clock.Now().Add(time.Second))
	c.Assert(err, quicktest.IsNil)
	backlog := func(id barleystep.TargetID) time.Duration {
		for _, t := range f.targets {
			if t.ID == id {
				return f.Snapshot().Work[balance.KeyOfTarget(t)].Backlog
			}
		}
		return 0
	}
	f.clock.Advance(10 * time.Millisecond)
	c.Assert(backlog(plan.Target) > 0, quicktest.IsTrue)
	f.clock.Advance(300 * time.Millisecond) // It is overdue, and so still counts.
	for i := range f.targets {
		if f.targets[i].ID == plan.Target {
			f.announceStart(i, 200)
		}
	}
	c.Check(backlog(plan.Target), quicktest.Equals, time.Duration(0))
	f.PrefillDone(plan.ID)
	f.clock.Advance(5 * time.Second)
	f.SetOthers(balance.NewSnapshot())
	c.Check(f.Snapshot().Work, quicktest.HasLen, 0)
}

// TestRestartFreesSlots checks that a queued job gets the slot of a lost try.
func TestRestartFreesSlots(t *testing.T) {
	c := quicktest.New(t)
	f := newFixture(1)
	f.targets[0].StartMS = 100
	for range 4 {
		f.place(t, engineJob(shortPrompt))
	}
	f.clock.Advance(pastRestartNews)
	p, w, err := f.TryPlace(context.Background(), engineJob(shortPrompt))
	c.Assert(err, quicktest.IsNil)
	c.Assert(p, quicktest.IsNil)
	f.announceStart(0, 200)
	p, err = f.Abandon(w)
	c.Check(err, quicktest.IsNil)
	c.Check(p, quicktest.Not(quicktest.IsNil))
}
