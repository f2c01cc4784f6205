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

// askForRest has the target refuse a request and ask for rest.
func (f *fixture) askForRest(t *testing.T, id barleystep.TargetID, length time.Duration) {
	p := f.place(t, f.only(id))
	p.NoteStatement(p.Target.ID, barleystep.Statement{Rest: length}, f.clock.Now())
	p.Done(balance.Report{Full: true})
}

// maxJitter is the largest jitter with which boxes come back after a rest.
func maxJitter(length time.Duration) time.Duration { return min(length/8, 500*time.Millisecond) }

// TestRest checks until when a target that has asked for rest gets nothing.
func TestRest(t *testing.T) {
	const length = 3 * time.Second
	cases := map[string]struct {
		then  func(t *testing.T, f *fixture)
		wait  time.Duration
		takes bool
	}{
		"before its end": {nil, length - time.Millisecond, false},
		"after its end":  {nil, length + maxJitter(length), true},
		"a later answer asks for none": {func(t *testing.T, f *fixture) {
			f.place(t, plainJob()).NoteStatement("i-01", barleystep.Statement{}, f.clock.Now())
		}, length - time.Millisecond, false},
		"it restarts": {func(_ *testing.T, f *fixture) {
			f.announceStart(0, 100)
			f.announceStart(0, 200)
		}, length - time.Millisecond, false},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			f := newFixture(2)
			f.askForRest(t, "i-00", length)
			if tc.then != nil {
				tc.then(t, f)
			}
			f.clock.Advance(tc.wait)
			p, err := f.Place(context.Background(), plainJob())
			quicktest.Assert(t, err, quicktest.IsNil)
			p.Done(balance.Report{})
			quicktest.Check(t, f.TargetStatus("i-00").Resting, quicktest.Equals, !tc.takes)
		})
	}
}

// TestShorterRest checks that a shorter rest does not end a longer one.
func TestShorterRest(t *testing.T) {
	f := newFixture(1)
	p := f.place(t, plainJob())
	p.NoteStatement(p.Target.ID, barleystep.Statement{Rest: 3 * time.Second}, f.clock.Now())
	p.NoteStatement(p.Target.ID, barleystep.Statement{Rest: time.Second}, f.clock.Now())
	f.clock.Advance(2 * time.Second)
	quicktest.Check(t, f.TargetStatus("i-00").Resting, quicktest.IsTrue)
}

// TestRestingTargetGetsNothing checks that a resting target gets nothing while there are others,
// even if these are busy or in backoff.
func TestRestingTargetGetsNothing(t *testing.T) {
	f := newFixture(2)
	f.askForRest(t, "i-00", time.Minute)
	for range 20 {
		p := f.place(t, plainJob())
		quicktest.Check(t, p.Target.ID, quicktest.Equals, barleystep.TargetID("i-01"))
		p.Done(balance.Report{Full: true})
	}
}

// TestAllTargetsRest checks that a request whose targets all rest waits if it can be in time and is
// placed once the first has rested, and is otherwise refused at once with a known remaining rest.
func TestAllTargetsRest(t *testing.T) {
	const short, long = 500 * time.Millisecond, 10 * time.Second
	t.Run("in time", func(t *testing.T) {
		c := quicktest.New(t)
		f := newFixture(2)
		f.askForRest(t, "i-00", short)
		f.askForRest(t, "i-01", long)
		p, w, err := f.TryPlace(context.Background(), plainJob())
		c.Assert(err, quicktest.IsNil)
		c.Assert(p, quicktest.IsNil)
		f.clock.Advance(short - time.Millisecond)
		f.SetOthers(balance.NewSnapshot())
		c.Check(len(w.Ready()), quicktest.Equals, 0)
		f.clock.Advance(time.Millisecond + maxJitter(short))
		f.SetOthers(balance.NewSnapshot())
		c.Assert(len(w.Ready()), quicktest.Equals, 1)
		c.Check((<-w.Ready()).Target.ID, quicktest.Equals, barleystep.TargetID("i-00"))
	})
	for name, j := range map[string]balance.Job{"plain": plainJob(), "short": engineJob(1_000), "long": engineJob(30_000)} {
		t.Run("too late, "+name, func(t *testing.T) {
			c := quicktest.New(t)
			f := newFixture(2)
			f.askForRest(t, "i-00", long)
			f.askForRest(t, "i-01", 2*long)
			_, w, err := f.TryPlace(context.Background(), j)
			c.Check(eris.Is(err, balance.ErrFull), quicktest.IsTrue)
			c.Check(w, quicktest.IsNil)
			left := f.RestRemaining(j)
			c.Check(left >= long && left <= long+time.Second, quicktest.IsTrue, quicktest.Commentf("%v", left))
		})
	}
}

// TestRestCountsForOwnRequests checks that a rest which a target has asked of the lead applies to
// the lead's own requests, and that peers' requests go there if there is nothing better.
func TestRestCountsForOwnRequests(t *testing.T) {
	c := quicktest.New(t)
	f := newFixture(2)
	f.askForRest(t, "i-00", time.Minute)
	plan, err := f.PlaceForPeer(context.Background(), engineJob(1_000), f.clock.Now())
	c.Assert(err, quicktest.IsNil)
	c.Check(plan.Target, quicktest.Equals, barleystep.TargetID("i-01"))
	j := engineJob(1_000)
	j.Avoid = []barleystep.TargetID{"i-01"}
	plan, err = f.PlaceForPeer(context.Background(), j, f.clock.Now())
	c.Assert(err, quicktest.IsNil)
	c.Check(plan.Target, quicktest.Equals, barleystep.TargetID("i-00"))
	_, _, err = f.TryPlace(context.Background(), j)
	c.Check(eris.Is(err, balance.ErrFull), quicktest.IsTrue)
}

// TestMaxRest checks that a rest is bounded, by the setting if there is one.
func TestMaxRest(t *testing.T) {
	cases := map[string]struct{ set, asked, least time.Duration }{
		"default":       {0, time.Hour, time.Minute},
		"set":           {5 * time.Second, time.Hour, 5 * time.Second},
		"below the set": {5 * time.Second, time.Second, time.Second},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			f := newFixture(1)
			f.MaxRest = tc.set
			f.askForRest(t, "i-00", tc.asked)
			f.clock.Advance(tc.least - time.Millisecond)
			quicktest.Check(t, f.TargetStatus("i-00").Resting, quicktest.IsTrue)
			f.clock.Advance(time.Millisecond + maxJitter(tc.least))
			quicktest.Check(t, f.TargetStatus("i-00").Resting, quicktest.IsFalse)
		})
	}
}

// TestRestJitter checks that boxes which were asked at the same moment come back at different
// times.
func TestRestJitter(t *testing.T) {
	lefts := make(map[time.Duration]bool)
	for range 20 {
		f := newFixture(1)
		f.askForRest(t, "i-00", 4*time.Second)
		lefts[f.RestRemaining(plainJob())] = true
	}
	quicktest.Check(t, len(lefts) > 10, quicktest.IsTrue)
}

// TestPeerPlacementsAreNoProbes checks that what the lead places for peers does not hold up its own
// requests after a rest: it does not see how they are answered.
func TestPeerPlacementsAreNoProbes(t *testing.T) {
	c := quicktest.New(t)
	f := newFixture(1)
	f.askForRest(t, "i-00", 200*time.Millisecond)
	f.clock.Advance(time.Second)
	_, err := f.PlaceForPeer(context.Background(), engineJob(1_000), f.clock.Now())
	c.Assert(err, quicktest.IsNil)
	p, _, err := f.TryPlace(context.Background(), engineJob(1_000))
	c.Assert(err, quicktest.IsNil)
	c.Check(p, quicktest.IsNotNil)
}

// TestProbeAfterRest checks that after a rest a target gets one probe, and no more requests before
// the probe has shown that it takes them.
func TestProbeAfterRest(t *testing.T) {
	shows := map[string]struct {
		show  func(p *balance.Placement, f *fixture)
		takes bool
	}{
		"nothing yet":        {func(*balance.Placement, *fixture) {}, false},
		"first event":        {func(p *balance.Placement, _ *fixture) { p.NoteFirstEvent() }, true},
		"done":               {func(p *balance.Placement, _ *fixture) { p.Done(balance.Report{}) }, true},
		"an error":           {func(p *balance.Placement, _ *fixture) { p.Done(balance.Report{Error: true}) }, true},
		"cancelled":          {func(p *balance.Placement, _ *fixture) { p.Cancel() }, true},
		"target unreachable": {func(p *balance.Placement, _ *fixture) { p.Done(balance.Report{Unreachable: true}) }, true},
		"asks for rest again": {func(p *balance.Placement, f *fixture) {
			p.NoteStatement(p.Target.ID, barleystep.Statement{Rest: time.Second}, f.clock.Now())
			p.Done(balance.Report{Full: true})
		}, false},
	}
	for name, tc := range shows {
		t.Run(name, func(t *testing.T) {
			c := quicktest.New(t)
			f := newFixture(1)
			f.askForRest(t, "i-00", 200*time.Millisecond)
			f.clock.Advance(time.Second)
			first := f.place(t, plainJob())
			tc.show(first, f)
			p, w, err := f.TryPlace(context.Background(), plainJob())
			c.Assert(err, quicktest.IsNil)
			c.Check(p != nil, quicktest.Equals, tc.takes)
			if w != nil {
				_, _ = f.Abandon(w)
			}
		})
	}
}
