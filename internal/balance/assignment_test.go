package balance_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/frankban/quicktest"
	"github.com/rotisserie/eris"

	"github.com/barleystep/barleystep"
	"github.com/barleystep/barleystep/internal/balance"
)

// TestLongPromptsAvoidShortStreams checks that several engines prefill a long prompt, that these
// have no short streams, and that an engine with a long prompt of its own to prefill does not help
// others.
func TestLongPromptsAvoidShortStreams(t *testing.T) {
	c := quicktest.New(t)
	f := newFixture(18)
	short := make(map[string]bool)
	for range 12 {
		p := f.place(t, engineJob(shortPrompt))
		p.NoteFirstEvent()
		short[p.Target.Addr] = true
	}
	unread := make(map[string]bool)
	for range 2 {
		p := f.place(t, engineJob(longPrompt))
		c.Check(len(p.Helpers) > 0, quicktest.IsTrue)
		for _, h := range p.Helpers {
			c.Check(unread[h.Addr], quicktest.IsFalse, quicktest.Commentf("%s has a long prompt to prefill", h.Addr))
			c.Check(short[h.Addr], quicktest.IsFalse, quicktest.Commentf("%s has a short stream", h.Addr))
		}
		unread[p.Target.Addr] = true
		f.clock.Advance(p.ExpectedTTFT())
	}
}

// TestLocalHelpers checks that a job with LocalHelpers gets helpers of one hall only, as after a
// network partition between halls.
func TestLocalHelpers(t *testing.T) {
	c := quicktest.New(t)
	f := newFixture(12)
	for i := range f.targets {
		f.targets[i].Hall = barleystep.HallID(fmt.Sprint(i % 3))
	}
	j := engineJob(longPrompt)
	j.LocalHelpers = true
	p := f.place(t, j)
	c.Assert(len(p.Helpers) > 0, quicktest.IsTrue)
	for _, h := range p.Helpers {
		c.Check(h.Hall, quicktest.Equals, p.Target.Hall)
	}
}

// TestNoHelpers checks that a job with NoHelpers gets none.
func TestNoHelpers(t *testing.T) {
	f := newFixture(18)
	j := engineJob(longPrompt)
	j.NoHelpers = true
	quicktest.Assert(t, f.place(t, j).Helpers, quicktest.HasLen, 0)
}

// TestFewEngines checks that a placement exists however few engines there are, except for prompts
// that exceed the KV cache of all of them.
func TestFewEngines(t *testing.T) {
	const oversized = 600_000
	for engines := 1; engines <= 6; engines++ {
		for _, prompt := range []int{0, shortPrompt, longPrompt, oversized} {
			f := newFixture(engines)
			j := engineJob(prompt)
			j.Objective = 3 * time.Second
			p, err := f.Place(context.Background(), j)
			if prompt == oversized && engines < 3 {
				quicktest.Check(t, eris.Is(err, balance.ErrFull), quicktest.IsTrue)
				continue
			}
			quicktest.Assert(t, err, quicktest.IsNil, quicktest.Commentf("%d tokens, %d engines", prompt, engines))
			p.NoteFirstEvent()
			p.Done(balance.Report{})
		}
	}
}

// TestOversizedPrompt checks that a prompt that exceeds an engine's KV cache is placed where it
// stalls few streams, with its KV cache on its helpers. It waits for a part of its objective where
// the streams that it would stall are worth more or where it would be late, and is refused at once
// where it does not fit on idle engines either.
func TestOversizedPrompt(t *testing.T) {
	const oversized = 500_000
	cases := map[string]struct {
		engines   int
		busy      int
		objective time.Duration
		placed    bool
		waits     bool
	}{
		"all are idle":     {18, 0, 3 * time.Second, true, false},
		"most are idle":    {18, 6, 3 * time.Second, true, false},
		"a few are idle":   {18, 14, 3 * time.Second, true, false},
		"too few are idle": {18, 17, 3 * time.Second, false, true},
		"short objective":  {18, 14, 300 * time.Millisecond, false, true},
		"too few engines":  {2, 0, 3 * time.Second, false, false},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			c := quicktest.New(t)
			f := newFixture(tc.engines)
			busy := balance.NewSnapshot()
			// The demand says that other prefill needs most engines.
			busy.Demands[balance.KeyOf("s")] = balance.Demand{Long: float64(tc.engines)}
			isBusy := make(map[barleystep.TargetID]bool)
			for _, target := range f.targets[:tc.busy] {
				busy.Work[balance.KeyOf(string(target.ID))] = balance.Work{Short: 12}
				isBusy[target.ID] = true
			}
			f.SetOthers(busy)
			j := engineJob(oversized)
			j.Objective = tc.objective
			p, w, err := f.TryPlace(context.Background(), j)
			c.Assert(w != nil, quicktest.Equals, tc.waits)
			if tc.waits {
				f.clock.Advance(tc.objective)
				c.Assert(w.Deadline().After(f.clock.Now()), quicktest.IsFalse)
				p, err = f.Abandon(w)
			}
			if !tc.placed {
				c.Assert(eris.Is(err, balance.ErrFull), quicktest.IsTrue)
				return
			}
			c.Assert(err, quicktest.IsNil)
			c.Check(isBusy[p.Target.ID], quicktest.IsFalse)
			tokens := 0
			for _, h := range p.Helpers {
				c.Check(isBusy[h.ID], quicktest.IsFalse, quicktest.Commentf("%s is busy", h.ID))
				tokens += h.KVTokens
			}
			c.Check(tokens >= oversized, quicktest.IsTrue)
		})
	}
}

// TestIdleEnginesHelpFirst checks that idle engines help before those with a prefill backlog, even
// if the former are for short prompts.
func TestIdleEnginesHelpFirst(t *testing.T) {
	const engines, idle, prompt = 18, 3, 45_000
	for from := range engines {
		c := quicktest.New(t)
		f := newFixture(engines)
		demand := balance.Demand{Long: engines / 4, Short: 2}
		known := balance.NewSnapshot()
		known.Demands[balance.KeyOf("s")] = demand
		f.SetOthers(known)
		alone := engineJob(prompt)
		alone.NoHelpers = true
		first := f.place(t, alone)
		first.Done(balance.Report{})

		busy := make(map[barleystep.TargetID]bool)
		for i := range engines - idle {
			id := f.targets[(from+i)%engines].ID
			if id != first.Target.ID {
				busy[id] = true
				known.Work[balance.KeyOf(string(id))] = balance.Work{Backlog: 3 * time.Second}
			}
		}
		f.SetOthers(known)
		p := f.place(t, engineJob(prompt))
		c.Check(busy[p.Target.ID], quicktest.IsFalse)
		c.Check(len(p.Helpers) > 0, quicktest.IsTrue)
		for _, h := range p.Helpers {
			c.Check(busy[h.ID], quicktest.IsFalse, quicktest.Commentf("%s has a prefill backlog", h.ID))
		}
	}
}
