package balance_test

import (
	"context"
	"runtime"
	"testing"
	"time"

	"github.com/frankban/quicktest"

	"github.com/barleystep/barleystep/internal/balance"
)

// startPlanner runs the planner of the fixture until the test ends.
func (f *fixture) startPlanner(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- (&balance.Planner{Clock: f.clock, Balancer: f.Balancer}).Serve(ctx) }()
	t.Cleanup(func() {
		cancel()
		quicktest.Check(t, <-done, quicktest.ErrorIs, context.Canceled)
	})
}

// TestPlannerPlacesAtStart checks that a waiting prompt is placed at its planned start without any news.
// It guards against engines that idle until the next report arrives.
func TestPlannerPlacesAtStart(t *testing.T) {
	c := quicktest.New(t)
	f := newFixture(1)
	f.place(t, engineJob(longPrompt))
	j := engineJob(longPrompt)
	j.Objective = 6500 * time.Millisecond // Shorter than it would wait for the stream of the first one to end.
	_, w, err := f.TryPlace(context.Background(), j)
	c.Assert(err, quicktest.IsNil)
	c.Assert(w, quicktest.IsNotNil)
	start := f.NextStart()
	c.Assert(start.IsZero(), quicktest.IsFalse)
	f.startPlanner(t)
	for len(w.Ready()) == 0 {
		if f.clock.PendingTimers() > 0 { // The planner waits.
			f.clock.Advance(time.Millisecond)
		}
		runtime.Gosched()
	}
	c.Check(f.clock.Now().Before(start), quicktest.IsFalse)
	p := <-w.Ready()
	c.Assert(p, quicktest.IsNotNil)
	c.Check(f.NextStart().IsZero(), quicktest.IsTrue)
}

// TestShorterPromptFillsGap checks that a prompt which waits for a busy engine does not keep a later one
// from an idle engine, and that this one does not delay its planned start. It guards against the first
// of a queue that holds up all others.
func TestShorterPromptFillsGap(t *testing.T) {
	c := quicktest.New(t)
	f := newFixture(8)
	alone := engineJob(longPrompt)
	alone.NoHelpers = true
	busy := f.place(t, alone).Target.ID
	bound := engineJob(longPrompt)
	bound.Objective = 6500 * time.Millisecond // As above.
	for _, target := range f.targets {
		if target.ID != busy {
			bound.Avoid = append(bound.Avoid, target.ID)
		}
	}
	_, w, err := f.TryPlace(context.Background(), bound)
	c.Assert(err, quicktest.IsNil)
	c.Assert(w, quicktest.IsNotNil)
	start := f.NextStart()
	c.Assert(start.IsZero(), quicktest.IsFalse)
	free := engineJob(60_000)
	free.Objective = 20 * time.Second
	free.NoHelpers = true
	p, _, err := f.TryPlace(context.Background(), free)
	c.Assert(err, quicktest.IsNil)
	c.Assert(p, quicktest.IsNotNil)
	c.Check(p.Target.ID, quicktest.Not(quicktest.Equals), busy)
	c.Check(f.NextStart(), quicktest.Equals, start)
}

// TestWaitingPromptsAreDemand checks that prompts count as demand although they wait or are refused, also
// those larger than an engine's memory. It guards against refusals that lower the number of engines for
// long prompts, which leads to further refusals.
func TestWaitingPromptsAreDemand(t *testing.T) {
	for name, prompt := range map[string]int{"fits an engine": longPrompt, "oversized": oversizedPrompt} {
		t.Run(name, func(t *testing.T) {
			c := quicktest.New(t)
			f := newFixture(6)
			busy := balance.NewSnapshot()
			for _, target := range f.targets {
				busy.Work[balance.KeyOf(string(target.ID))] = balance.Work{Backlog: time.Minute}
			}
			f.SetOthers(busy)
			_, w, err := f.TryPlace(context.Background(), engineJob(prompt))
			c.Assert(err, quicktest.IsNil)
			c.Assert(w, quicktest.IsNotNil)
			c.Check(f.Snapshot().Demands[balance.KeyOf("s")].Long > 0, quicktest.IsTrue)
		})
	}
}

// TestReplacementIsNoDemand guards against a prompt whose engines do not respond, and which is placed
// again at once, counting as several prompts in the demand.
func TestReplacementIsNoDemand(t *testing.T) {
	c := quicktest.New(t)
	f := newFixture(18)
	demand := func() float64 { return f.Snapshot().Demands[balance.KeyOf("s")].Long }
	j := engineJob(longPrompt)
	f.place(t, j).Cancel()
	once := demand()
	c.Assert(once > 0, quicktest.IsTrue)
	j.Replacement = true
	f.place(t, j).Cancel()
	c.Check(demand(), quicktest.Equals, once)
}
