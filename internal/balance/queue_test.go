package balance_test

import (
	"context"
	"runtime"
	"testing"
	"time"

	"github.com/frankban/quicktest"
	"github.com/rotisserie/eris"

	"github.com/barleystep/barleystep/internal/balance"
)

// TestShortPromptWaits checks that a short prompt waits while all slots are taken, gets the next
// free one, and is refused once its caller would no longer wait.
func TestShortPromptWaits(t *testing.T) {
	c := quicktest.New(t)
	f := newFixture(1)
	var placed []*balance.Placement
	for range 4 {
		placed = append(placed, f.place(t, engineJob(shortPrompt)))
	}
	got := make(chan error, 2)
	wait := func() {
		_, err := f.Place(context.Background(), engineJob(shortPrompt))
		got <- err
	}
	go wait()
	f.waitUntilQueued()
	placed[0].Done(balance.Report{})
	c.Check(<-got, quicktest.IsNil)

	f = newFixture(1)
	for range 4 {
		f.place(t, engineJob(shortPrompt))
	}
	go wait()
	f.waitUntilQueued()
	f.clock.Advance(2 * time.Second)
	c.Check(eris.Is(<-got, balance.ErrFull), quicktest.IsTrue)
}

// TestQueueOrder checks which of the queued prompts gets the next free slot.
func TestQueueOrder(t *testing.T) {
	type wait struct {
		name     string
		priority int
		// after is how long after the one before it arrived.
		after time.Duration
	}
	cases := map[string]struct {
		waits []wait
		want  string
	}{
		"newest that can be in time": {[]wait{{"old", 1, 0}, {"new", 1, 50 * time.Millisecond}}, "new"},
		"the higher priority":        {[]wait{{"first", 0, 0}, {"new", 1, 50 * time.Millisecond}}, "first"},
		"late prompts go last":       {[]wait{{"late", 1, 0}, {"new", 1, 250 * time.Millisecond}}, "new"},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			f := newFixture(1)
			var placed []*balance.Placement
			for range 4 {
				placed = append(placed, f.place(t, engineJob(shortPrompt)))
			}
			served := make(chan string, len(tc.waits))
			for i, w := range tc.waits {
				f.clock.Advance(w.after)
				go func() {
					j := engineJob(shortPrompt)
					j.Priority = w.priority
					if _, err := f.Place(context.Background(), j); err == nil {
						served <- w.name
					}
				}()
				for f.clock.PendingTimers() != i+1 {
					runtime.Gosched()
				}
			}
			placed[0].Done(balance.Report{})
			quicktest.Check(t, <-served, quicktest.Equals, tc.want)
			quicktest.Check(t, served, quicktest.HasLen, 0)
			f.clock.Advance(time.Minute) // The others time out.
		})
	}
}

// TestLongPromptWaits checks that long prompts wait until their engine has prefilled the one
// before, and that the shortest of those that wait goes first.
func TestLongPromptWaits(t *testing.T) {
	c := quicktest.New(t)
	f := newFixture(1)
	first := f.place(t, engineJob(longPrompt))
	ask := func(prompt int) *balance.QueuedJob {
		_, w, err := f.TryPlace(context.Background(), engineJob(prompt))
		c.Assert(err, quicktest.IsNil)
		c.Assert(w, quicktest.IsNotNil)
		return w
	}
	long := ask(longPrompt)
	short := ask(longPrompt / 2)
	first.NoteFirstEvent()
	first.Done(balance.Report{})
	c.Check(short.Ready(), quicktest.HasLen, 1)
	c.Check(long.Ready(), quicktest.HasLen, 0)
}

// TestLongPromptDeferred checks that a long prompt waits for the streams that it would stall to end
// while it has time, and no longer.
func TestLongPromptDeferred(t *testing.T) {
	cases := map[string]struct {
		streams int
		waited  time.Duration
		waits   bool
		refused bool
	}{
		"many streams":                    {streams: 6, waits: true},
		"many streams, already late":      {streams: 6, waited: 1700 * time.Millisecond, waits: true},
		"few streams":                     {streams: 1},
		"few streams, near its objective": {streams: 1, waited: 1400 * time.Millisecond},
		"many streams, after a long wait": {streams: 6, waited: 2900 * time.Millisecond, refused: true},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			c := quicktest.New(t)
			f := newFixture(18)
			busy := balance.NewSnapshot()
			busy.Demands[balance.KeyOf("s")] = balance.Demand{Long: 18}
			for _, target := range f.targets {
				busy.Work[balance.KeyOf(string(target.ID))] = balance.Work{Short: tc.streams}
			}
			f.SetOthers(busy)
			slots := *cost
			slots.Slots = 16
			j := engineJob(longPrompt)
			j.Cost = &slots
			j.Objective = 3 * time.Second
			j.Arrival = f.clock.Now().Add(-tc.waited)
			p, w, err := f.TryPlace(context.Background(), j)
			c.Assert(eris.Is(err, balance.ErrFull), quicktest.Equals, tc.refused)
			c.Check(w != nil, quicktest.Equals, tc.waits)
			if p != nil || tc.refused {
				return
			}
			f.SetOthers(balance.NewSnapshot())
			c.Check(w.Ready(), quicktest.HasLen, 1)
		})
	}
}

// TestCallerDeadline checks that a long prompt whose caller would give up before an answer is
// refused at once, and that one that waits is placed, or refused, while there is time.
func TestCallerDeadline(t *testing.T) {
	read := cost.Prefill(longPrompt)
	cases := map[string]struct {
		left   time.Duration
		busy   time.Duration // busy is the prefill backlog of the only engine.
		waits  bool
		placed bool
	}{
		"idle, enough time":       {left: 2 * read, placed: true},
		"idle, no time":           {left: 10 * time.Millisecond},
		"busy, no time":           {left: 10 * time.Millisecond, busy: read},
		"waits, is placed":        {left: 3 * read, busy: read / 2, waits: true, placed: true},
		"waits, runs out of time": {left: read, busy: 2 * read, waits: true},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			c := quicktest.New(t)
			f := newFixture(1)
			if tc.busy > 0 {
				busy := balance.NewSnapshot()
				busy.Work[balance.KeyOf("i-00")] = balance.Work{Backlog: tc.busy, Long: 1}
				f.SetOthers(busy)
			}
			j := engineJob(longPrompt)
			j.Objective = time.Minute
			j.FirstEventDeadline = f.clock.Now().Add(tc.left)
			p, w, err := f.TryPlace(context.Background(), j)
			c.Assert(w != nil, quicktest.Equals, tc.waits)
			if w != nil {
				c.Assert(w.Deadline().After(j.FirstEventDeadline), quicktest.IsFalse)
				f.clock.Advance(w.Deadline().Sub(f.clock.Now()))
				if tc.placed {
					f.SetOthers(balance.NewSnapshot())
				}
				p, err = f.Abandon(w)
			}
			c.Check(p != nil, quicktest.Equals, tc.placed)
			c.Check(err == nil, quicktest.Equals, tc.placed)
		})
	}
}

// TestLongPromptDeadline checks how long a long prompt waits for its engines: on its caller's first
// try only while it can be in time, so that the caller is told to come back while that helps, and on
// the last try as long as callers wait.
func TestLongPromptDeadline(t *testing.T) {
	const (
		objective = 10 * time.Second
		prompt    = 60_000
	)
	least := cost.Prefill(prompt)/17 + cost.Pass()
	cases := map[string]struct {
		earlier time.Duration
		retry   bool
		want    time.Duration
	}{
		"first try":                       {0, false, objective - least},
		"first try, began earlier":        {2 * time.Second, false, objective - 2*time.Second - least},
		"first try, began long before":    {20 * time.Second, false, objective / 8},
		"caller retry":                    {2 * time.Second, true, 3 * objective},
		"caller retry, began long before": {20 * time.Second, true, 3 * objective},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			c := quicktest.New(t)
			f := newFixture(1)
			busy := balance.NewSnapshot()
			busy.Work[balance.KeyOf("i-00")] = balance.Work{Backlog: time.Minute, Long: 1}
			f.SetOthers(busy)
			j := engineJob(prompt)
			j.Objective = objective
			j.FirstArrival = f.clock.Now().Add(-tc.earlier)
			j.CallerRetry = tc.retry
			_, w, err := f.TryPlace(context.Background(), j)
			c.Assert(err, quicktest.IsNil)
			c.Check(w.Deadline().Sub(f.clock.Now()), quicktest.Equals, tc.want)
		})
	}
}

// TestAskedAgain checks that a long prompt that is asked for again after it has waited its time is
// placed if engines are free by then. It guards against streams that cannot be resumed for as long as
// they last because no engine was free when they broke off.
func TestAskedAgain(t *testing.T) {
	cases := map[string]struct {
		stillBusy bool
		patience  time.Duration
		placed    bool
	}{
		"engines are free":      {false, time.Minute, true},
		"engines are busy":      {true, time.Minute, false},
		"the caller has left":   {false, time.Second, false},
		"the caller will leave": {false, 2*time.Second + 50*time.Millisecond, false},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			c := quicktest.New(t)
			f := newFixture(1)
			busy := balance.NewSnapshot()
			busy.Work[balance.KeyOf("i-00")] = balance.Work{Backlog: 10 * time.Second}
			f.SetOthers(busy)
			j := engineJob(longPrompt)
			j.Arrival = f.clock.Now()
			j.FirstEventDeadline = j.Arrival.Add(tc.patience)
			p, w, err := f.TryPlace(context.Background(), j)
			c.Assert(err, quicktest.IsNil)
			c.Assert(p, quicktest.IsNil)
			f.clock.Advance(2 * time.Second)
			_, err = f.Abandon(w)
			c.Assert(eris.Is(err, balance.ErrFull), quicktest.IsTrue)
			if !tc.stillBusy {
				f.SetOthers(balance.NewSnapshot())
			}
			p, w, err = f.TryPlace(context.Background(), j)
			c.Check(w, quicktest.IsNil)
			c.Check(p != nil, quicktest.Equals, tc.placed)
			c.Check(err == nil, quicktest.Equals, tc.placed)
		})
	}
}
