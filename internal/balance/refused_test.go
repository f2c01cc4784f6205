package balance_test

import (
	"context"
	"strings"
	"testing"
	"time"

	"github.com/frankban/quicktest"
	"github.com/phuslu/log"
	"github.com/rotisserie/eris"

	"github.com/barleystep/barleystep/internal/balance"
)

// TestRefusalCarriesTime checks that a prompt which waited in vain for engines is refused with the
// time at which capacity is expected, whether it waited here or is asked for by another box, and that
// the refusal is logged with that time. Refusals for other reasons carry none.
func TestRefusalCarriesTime(t *testing.T) {
	const waiting = 3
	busy := func(f *fixture) {
		snapshot := balance.NewSnapshot()
		snapshot.Work[balance.KeyOf("i-00")] = balance.Work{Backlog: time.Minute, Long: 1}
		f.SetOthers(snapshot)
	}
	long := func() balance.Job {
		j := engineJob(60_000)
		j.RequestID, j.Objective = "r1", 10*time.Second
		return j
	}
	cases := map[string]struct {
		refuse func(f *fixture) error
		timed  bool
	}{
		"waited here": {func(f *fixture) error {
			_, w, _ := f.TryPlace(context.Background(), long())
			for range waiting {
				_, _, _ = f.TryPlace(context.Background(), long())
			}
			f.clock.Advance(w.Deadline().Sub(f.clock.Now()))
			_, err := f.Abandon(w)
			return err
		}, true},
		"abandoned early": {func(f *fixture) error {
			_, w, _ := f.TryPlace(context.Background(), long())
			_, err := f.Abandon(w)
			return err
		}, false},
		"waited at another lead": {func(f *fixture) error {
			for range waiting {
				_, _, _ = f.TryPlace(context.Background(), long())
			}
			f.clock.Advance(5 * time.Second) // The burst is over.
			j := long()
			j.Arrival = f.clock.Now().Add(-j.Objective)
			_, err := f.PlaceForPeer(context.Background(), j, f.clock.Now())
			return err
		}, true},
		"more than all engines hold": {func(f *fixture) error {
			_, _, err := f.TryPlace(context.Background(), engineJob(10*cost.KVTokens))
			return err
		}, false},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			c := quicktest.New(t)
			f := newFixture(1)
			var lines strings.Builder
			f.Log = &log.Logger{Level: log.InfoLevel, Writer: &log.IOWriter{Writer: &lines}}
			busy(f)
			err := tc.refuse(f)
			c.Assert(eris.Is(err, balance.ErrFull), quicktest.IsTrue, quicktest.Commentf("%v", err))
			after, ok := balance.RefusedUntil(err)
			c.Check(ok, quicktest.Equals, tc.timed)
			c.Check(strings.Contains(lines.String(), "A prompt was refused because of load."), quicktest.Equals, tc.timed)
			if tc.timed {
				spare := 0.7 - f.Snapshot().Demands[balance.KeyOf("s")].Long // Of one engine.
				want := waiting * cost.Prefill(60_000).Seconds() / spare
				c.Check(after.Round(time.Millisecond), quicktest.Equals, time.Duration(want*float64(time.Second)).Round(time.Millisecond))
				c.Check(strings.Contains(lines.String(), `"capacity_after":`), quicktest.IsTrue)
			}
		})
	}
}

// TestReturnedCallerNotExpected checks that a caller which has come back is not expected any more, so
// that others are told an earlier time.
func TestReturnedCallerNotExpected(t *testing.T) {
	c := quicktest.New(t)
	f := newFixture(1)
	busy := balance.NewSnapshot()
	busy.Work[balance.KeyOf("i-00")] = balance.Work{Backlog: time.Minute, Long: 1}
	f.SetOthers(busy)
	refuse := func() time.Duration {
		j := engineJob(60_000)
		j.Objective = 10 * time.Second
		j.Arrival = f.clock.Now().Add(-j.Objective)
		_, _, err := f.TryPlace(context.Background(), j)
		after, ok := balance.RefusedUntil(err)
		c.Assert(ok, quicktest.IsTrue)
		return after
	}
	first := refuse()
	second := refuse()
	c.Check(second > first, quicktest.IsTrue, quicktest.Commentf("%v after %v", second, first))
	for range 2 {
		j := engineJob(60_000)
		j.Objective, j.CallerRetry = 10*time.Second, true
		_, w, err := f.TryPlace(context.Background(), j)
		c.Assert(err, quicktest.IsNil)
		_, _ = f.Abandon(w)
	}
	c.Check(refuse(), quicktest.Equals, first)
}

// TestRefusedInBurst checks that a caller which is refused while callers ask for more than the engines
// can do is told to stay away for as long as a refusal can say: if it came back within the burst, its
// last try would be refused too.
func TestRefusedInBurst(t *testing.T) {
	cases := map[string]struct {
		demand float64
		burst  bool
	}{
		"within what engines do": {0.4, false},
		"more than engines do":   {0.8, true},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			c := quicktest.New(t)
			f := newFixture(1)
			busy := balance.NewSnapshot()
			busy.Work[balance.KeyOf("i-00")] = balance.Work{Backlog: time.Minute, Long: 1}
			busy.Demands[balance.KeyOf("s")] = balance.Demand{Long: tc.demand}
			f.SetOthers(busy)
			j := engineJob(60_000)
			j.Objective = 10 * time.Second
			j.Arrival = f.clock.Now().Add(-j.Objective)
			_, _, err := f.TryPlace(context.Background(), j)
			after, ok := balance.RefusedUntil(err)
			c.Assert(ok, quicktest.IsTrue)
			c.Check(after == balance.MaxRefusedAfter, quicktest.Equals, tc.burst, quicktest.Commentf("%v", after))
		})
	}
}
