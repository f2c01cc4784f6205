package balance_test

import (
	"bytes"
	"context"
	"testing"
	"time"

	"github.com/frankban/quicktest"
	"github.com/phuslu/log"
	"github.com/rotisserie/eris"

	"github.com/barleystep/barleystep/internal/balance"
)

// oversizedPrompt exceeds the KV cache of an engine in these tests.
const oversizedPrompt = 500_000

// TestOversizedPromptWaits checks that an oversized prompt waits for idle engines, does not block
// the jobs behind it, and is placed once engines are idle.
func TestOversizedPromptWaits(t *testing.T) {
	c := quicktest.New(t)
	f := newFixture(6)
	all := func(w balance.Work) balance.Snapshot {
		s := balance.NewSnapshot()
		for _, target := range f.targets {
			s.Work[balance.KeyOf(string(target.ID))] = w
		}
		return s
	}
	f.SetOthers(all(balance.Work{Backlog: time.Second}))
	ask := func(prompt int) *balance.QueuedJob {
		j := engineJob(prompt)
		j.Objective = 4 * time.Second
		_, w, err := f.TryPlace(context.Background(), j)
		c.Assert(err, quicktest.IsNil)
		c.Assert(w, quicktest.IsNotNil)
		return w
	}
	over, long := ask(oversizedPrompt), ask(longPrompt)
	f.SetOthers(all(balance.Work{KVTokens: 420_000})) // The prompts are prefilled and decode.
	c.Assert(long.Ready(), quicktest.HasLen, 1)
	c.Check(over.Ready(), quicktest.HasLen, 0)
	p := <-long.Ready()
	p.NoteFirstEvent()
	p.Done(balance.Report{})
	f.SetOthers(balance.NewSnapshot())
	c.Check(over.Ready(), quicktest.HasLen, 1)
}

// TestOversizedPromptDeadline checks that an oversized prompt waits as long as any other: on its
// caller's first try while it can be in time, on the second one, the last, as long as callers wait.
func TestOversizedPromptDeadline(t *testing.T) {
	const objective = 8 * time.Second
	least := cost.Prefill(oversizedPrompt)/17 + cost.Pass()
	cases := map[string]struct {
		earlier time.Duration // earlier is how long ago the caller's refused first try was.
		taken   time.Duration // taken is how long ago the box received the request.
		left    time.Duration
		want    time.Duration
	}{
		"first try":                    {0, 0, 30 * time.Second, objective - least},
		"first try, just arrived":      {0, 3 * time.Millisecond, 30 * time.Second, objective - 3*time.Millisecond - least},
		"first try, arrived 1 s ago":   {0, time.Second, 30 * time.Second, objective - time.Second - least},
		"caller retry":                 {5 * time.Second, 0, 30 * time.Second, 3 * objective},
		"caller retry, short deadline": {5 * time.Second, 0, 4 * time.Second, 4*time.Second - least},
		"first try, short deadline":    {0, 0, least + time.Second, time.Second},
		"first try, no deadline":       {0, 0, 0, objective - least},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			c := quicktest.New(t)
			f := newFixture(18)
			busy := balance.NewSnapshot()
			for _, target := range f.targets {
				busy.Work[balance.KeyOf(string(target.ID))] = balance.Work{Backlog: time.Minute}
			}
			f.SetOthers(busy)
			j := engineJob(oversizedPrompt)
			j.Objective = objective
			now := f.clock.Now()
			j.FirstArrival = now.Add(-tc.earlier - tc.taken)
			j.CallerRetry = tc.earlier > 0
			if tc.left > 0 {
				j.FirstEventDeadline = now.Add(tc.left)
			}
			_, w, err := f.TryPlace(context.Background(), j)
			c.Assert(err, quicktest.IsNil)
			c.Check(w.Deadline().Sub(now).Round(time.Millisecond), quicktest.Equals, tc.want.Round(time.Millisecond))
		})
	}
}

// TestTimedOutPromptIsLogged checks that a long prompt that timed out is logged with the reason why
// it could not be placed the last time.
func TestTimedOutPromptIsLogged(t *testing.T) {
	cases := map[string]struct {
		work   balance.Work
		prompt int
		want   string
	}{
		"engines prefill":        {work: balance.Work{Backlog: 3 * time.Second}, prompt: oversizedPrompt, want: "engines read"},
		"helpers lack KV cache":  {work: balance.Work{KVTokens: 420_000}, prompt: oversizedPrompt, want: "memory is lacking"},
		"it would be late":       {work: balance.Work{Backlog: time.Minute}, prompt: oversizedPrompt, want: "it would be late"},
		"not oversized":          {work: balance.Work{Backlog: 3 * time.Second}, prompt: longPrompt, want: "engines read"},
		"streams are worth more": {work: balance.Work{Short: 500}, prompt: oversizedPrompt, want: "streams are worth more"},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			c := quicktest.New(t)
			f := newFixture(6)
			var lines bytes.Buffer
			f.Log = &log.Logger{Writer: &log.IOWriter{Writer: &lines}}
			busy := balance.NewSnapshot()
			for _, target := range f.targets {
				busy.Work[balance.KeyOf(string(target.ID))] = tc.work
			}
			f.SetOthers(busy)
			ask := func(prompt int) *balance.QueuedJob {
				j := engineJob(prompt)
				j.Objective = 8 * time.Second
				_, w, err := f.TryPlace(context.Background(), j)
				c.Assert(err, quicktest.IsNil)
				return w
			}
			w := ask(tc.prompt)
			f.SetOthers(busy)
			f.clock.Advance(w.Deadline().Sub(f.clock.Now()))
			_, err := f.Abandon(w)
			c.Assert(eris.Is(err, balance.ErrFull), quicktest.IsTrue)
			c.Check(lines.String(), quicktest.Contains, `"held":"`+tc.want+`"`)
		})
	}
}
