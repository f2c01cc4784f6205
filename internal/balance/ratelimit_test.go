package balance_test

import (
	"context"
	"math"
	"testing"
	"time"

	"github.com/frankban/quicktest"
	"github.com/rotisserie/eris"
	"pgregory.net/rapid"

	"github.com/barleystep/barleystep"
	"github.com/barleystep/barleystep/internal/balance"
)

// window is the time over which targets count their requests.
const window = 4 * time.Second

// newLimitedFixture returns a balancer whose first target has stated a limit.
func newLimitedFixture(t *testing.T, targets int, perSecond float64) *fixture {
	f := newFixture(targets)
	f.announceLimit(t, perSecond)
	return f
}

// announceLimit has the first target state a limit in an answer.
func (f *fixture) announceLimit(t *testing.T, perSecond float64) {
	p := f.place(t, f.only("i-00"))
	p.NoteStatement(p.Target.ID, barleystep.Statement{Limit: barleystep.NewRateLimit(perSecond)}, f.clock.Now())
	p.Done(balance.Report{})
}

// only returns a request to a plain service that only one target can take.
func (f *fixture) only(id barleystep.TargetID) balance.Job {
	j := plainJob()
	for _, t := range f.targets {
		if t.ID != id {
			j.Avoid = append(j.Avoid, t.ID)
		}
	}
	return j
}

// accepts reports whether the first target takes a request now.
func (f *fixture) accepts() bool {
	p, w, err := f.TryPlace(context.Background(), f.only("i-00"))
	switch {
	case p != nil:
		p.Done(balance.Report{})
	case w != nil:
		_, _ = f.Abandon(w)
	}
	return p != nil && err == nil
}

// countAccepted asks for the first target every 50 ms and returns how many requests were placed.
func (f *fixture) countAccepted(length time.Duration) int {
	given := 0
	for range length / (50 * time.Millisecond) {
		f.clock.Advance(50 * time.Millisecond)
		if f.accepts() {
			given++
		}
	}
	return given
}

// unusedLead is a lead that fails with the given error.
type unusedLead struct{ err error }

func (a unusedLead) Place(context.Context, balance.Job) (balance.Plan, error) {
	return balance.Plan{}, a.err
}
func (unusedLead) PrefillDone(uint64) {}

// TestLimitByRole checks what a box sends to a target with a limit in 40 seconds, by its role among
// the boxes.
func TestLimitByRole(t *testing.T) {
	stray := unusedLead{eris.New("no answer")}
	cases := map[string]struct {
		lead      balance.Lead
		role      balance.Role
		perSecond float64
		least     int
		most      int
	}{
		"alone":                            {nil, balance.Role{}, 1, 39, 41},
		"lead of all":                      {unusedLead{balance.ErrIsLead}, balance.Role{IsLead: true, Boxes: 9, Reachable: 9}, 1, 39, 41},
		"lead of all, one in four seconds": {unusedLead{balance.ErrIsLead}, balance.Role{IsLead: true, Boxes: 9, Reachable: 9}, 0.25, 9, 11},
		"lead of all, ten a second":        {unusedLead{balance.ErrIsLead}, balance.Role{IsLead: true, Boxes: 9, Reachable: 9}, 10, 395, 405},
		"lead of a partition of three":     {unusedLead{balance.ErrIsLead}, balance.Role{IsLead: true, Boxes: 9, Reachable: 3}, 1, 12, 14},
		"lead of a partition of six":       {unusedLead{balance.ErrIsLead}, balance.Role{IsLead: true, Boxes: 9, Reachable: 6}, 1, 25, 27},
		"lead, limit of zero":              {unusedLead{balance.ErrIsLead}, balance.Role{IsLead: true, Boxes: 9, Reachable: 9}, 0, 3, 4},
		"no lead, share below one":         {stray, balance.Role{Boxes: 9, Reachable: 9}, 1, 0, 0},
		"no lead, share of one":            {stray, balance.Role{Boxes: 9, Reachable: 9}, 9, 10, 11},
		"no lead, share of two":            {stray, balance.Role{Boxes: 9, Reachable: 9}, 20, 20, 22},
		"no lead is known":                 {unusedLead{balance.ErrIsLead}, balance.Role{Boxes: 9, Reachable: 9}, 1, 0, 0},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			f := newLimitedFixture(t, 2, tc.perSecond)
			f.Lead = tc.lead
			f.SetRole(tc.role)
			given := f.countAccepted(40 * time.Second)
			quicktest.Check(t, given >= tc.least && given <= tc.most, quicktest.IsTrue, quicktest.Commentf("%d", given))
		})
	}
}

// TestLimitBound checks that no span of four seconds has more than 4.1 times the limit plus one
// request, however often the box becomes and ceases to be the lead, and however its callers arrive.
func TestLimitBound(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		perSecond := rapid.SampledFrom([]float64{0.25, 0.5, 1, 2, 5}).Draw(r, "limit")
		f := newLimitedFixture(t, 2, perSecond)
		f.Lead = unusedLead{balance.ErrIsLead}
		leads := true
		var given []time.Time
		for range rapid.IntRange(50, 300).Draw(r, "steps") {
			f.clock.Advance(time.Duration(rapid.SampledFrom([]int{0, 20, 50, 300, 900, 6000}).Draw(r, "pause")) * time.Millisecond)
			if rapid.IntRange(0, 9).Draw(r, "turn") == 0 {
				leads = !leads
			}
			f.SetRole(balance.Role{IsLead: leads, Boxes: 9, Reachable: 9})
			for range rapid.IntRange(1, 4).Draw(r, "callers") {
				if f.accepts() {
					given = append(given, f.clock.Now())
				}
			}
		}
		// Without the lead a box has its own share in addition.
		most := 4.1*perSecond + 1 + math.Floor(perSecond/9)
		for i, last := range given {
			count := 0
			for _, at := range given[:i+1] {
				if last.Sub(at) < window {
					count++
				}
			}
			if float64(count) > most {
				r.Fatalf("%d in four seconds, %.1f allowed", count, most)
			}
		}
	})
}

// TestLimitLifted checks which limit a box uses after a target has stated one.
func TestLimitLifted(t *testing.T) {
	none := barleystep.RateLimit{}
	cases := map[string]struct {
		change func(f *fixture, p *balance.Placement)
		named  bool
	}{
		"no other statement": {func(*fixture, *balance.Placement) {}, true},
		"no limit in the answer to a later request": {func(f *fixture, p *balance.Placement) {
			p.NoteStatement(p.Target.ID, barleystep.Statement{Limit: none}, f.clock.Now())
		}, false},
		"no limit in the answer to an earlier request": {func(f *fixture, p *balance.Placement) {
			p.NoteStatement(p.Target.ID, barleystep.Statement{Limit: none}, f.clock.Now().Add(-3*time.Second))
		}, true},
		"lifted, reported by a peer": {func(f *fixture, _ *balance.Placement) {
			f.SetOthers(peerLimit(none, f.clock.Now().Add(-time.Second)))
		}, false},
		"lifted earlier, reported late by a peer": {func(f *fixture, _ *balance.Placement) {
			f.SetOthers(peerLimit(none, f.clock.Now().Add(-3*time.Second)))
		}, true},
		"stated again after it was lifted": {func(f *fixture, p *balance.Placement) {
			p.NoteStatement(p.Target.ID, barleystep.Statement{Limit: none}, f.clock.Now().Add(-time.Second))
			f.SetOthers(peerLimit(barleystep.NewRateLimit(2), f.clock.Now()))
		}, true},
		"a new incarnation": {func(f *fixture, _ *balance.Placement) {
			f.targets[0].StartMS = 7
			f.DetectRestarts()
		}, false},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			c := quicktest.New(t)
			f := newFixture(2)
			f.targets[0].StartMS = 1
			p := f.place(t, f.only("i-00"))
			p.NoteStatement(p.Target.ID, barleystep.Statement{Limit: barleystep.NewRateLimit(1)}, f.clock.Now())
			f.clock.Advance(2 * time.Second)
			tc.change(f, p)
			c.Check(f.TargetStatus("i-00").Statement.Limit.Value.IsSet(), quicktest.Equals, tc.named)
			p.Done(balance.Report{})
		})
	}
}

// peerLimit returns a peer's gossip about the first target's limit.
func peerLimit(limit barleystep.RateLimit, at time.Time) balance.Snapshot {
	s := balance.NewSnapshot()
	for _, startMS := range []int64{1, 7} {
		t := newFixture(1).targets[0]
		t.StartMS = startMS
		s.Statements[balance.KeyOfTarget(t)] = balance.TimedStatement{Limit: balance.Timed[barleystep.RateLimit]{Value: limit, At: at}}
	}
	return s
}

// TestLimitGossip checks what a box gossips about a limit: what the target has stated to it and
// still holds. What came from peers is gossiped only by its source.
func TestLimitGossip(t *testing.T) {
	c := quicktest.New(t)
	f := newLimitedFixture(t, 2, 1)
	key := balance.KeyOf("i-00")
	c.Check(f.Snapshot().Statements[key].Limit.Value.PerSecond(), quicktest.Equals, 1.0)
	f.clock.Advance(time.Second)
	others := balance.NewSnapshot()
	others.Statements[key] = balance.TimedStatement{Limit: balance.Timed[barleystep.RateLimit]{At: f.clock.Now()}}
	f.SetOthers(others)
	c.Check(f.Snapshot().Statements, quicktest.HasLen, 0)
	c.Check(f.TargetStatus("i-00").Statement.Limit.Value.IsSet(), quicktest.IsFalse)
}

// TestAllLimited checks that requests whose targets have all used up their limits wait, in order of
// arrival, while they can be in time, and are refused at once otherwise.
func TestAllLimited(t *testing.T) {
	c := quicktest.New(t)
	f := newLimitedFixture(t, 1, 2)
	var waits []*balance.QueuedJob
	for range 3 {
		p, w, err := f.TryPlace(context.Background(), plainJob())
		c.Assert(err, quicktest.IsNil)
		c.Assert(p, quicktest.IsNil)
		waits = append(waits, w)
	}
	_, _, err := f.TryPlace(context.Background(), plainJob())
	c.Check(eris.Is(err, balance.ErrFull), quicktest.IsTrue) // The three before it take 1.5 s.
	f.SetOthers(balance.NewSnapshot())                       // The bucket starts to fill.
	for _, w := range waits {
		f.clock.Advance(500 * time.Millisecond)
		f.SetOthers(balance.NewSnapshot())
		c.Check(len(w.Ready()), quicktest.Equals, 1)
	}
}

// TestLimitedElsewhere checks that other services and other targets are unaffected while a target
// has used up its limit.
func TestLimitedElsewhere(t *testing.T) {
	c := quicktest.New(t)
	f := newLimitedFixture(t, 3, 1)
	for range 20 {
		p := f.place(t, plainJob())
		c.Check(p.Target.ID, quicktest.Not(quicktest.Equals), barleystep.TargetID("i-00"))
		long := f.place(t, engineJob(longPrompt))
		c.Check(long.Target.ID, quicktest.Not(quicktest.Equals), barleystep.TargetID("i-00"))
		for _, h := range long.Helpers {
			c.Check(h.ID, quicktest.Not(quicktest.Equals), barleystep.TargetID("i-00"))
		}
		p.Done(balance.Report{})
		long.Done(balance.Report{})
	}
}

// TestLimitOfUnknownTarget checks that a box which has just started keeps to the limits that peers
// report, also of targets that it has not used yet. Without this, each restarted box sends such a
// target one request more than it takes.
func TestLimitOfUnknownTarget(t *testing.T) {
	c := quicktest.New(t)
	for name, startMS := range map[string]int64{"known start time": 7, "unknown start time": 0} {
		f := newFixture(2)
		f.targets[0].StartMS = startMS
		others := balance.NewSnapshot()
		others.Statements[balance.KeyOfTarget(f.targets[0])] = balance.TimedStatement{Limit: balance.Timed[barleystep.RateLimit]{Value: barleystep.NewRateLimit(1), At: f.clock.Now()}}
		f.SetOthers(others)
		c.Check(f.accepts(), quicktest.IsFalse, quicktest.Commentf(name))
	}
}
