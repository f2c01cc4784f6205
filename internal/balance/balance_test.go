package balance_test

import (
	"context"
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/frankban/quicktest"
	"github.com/rotisserie/eris"
	"pgregory.net/rapid"

	"github.com/barleystep/barleystep"
	"github.com/barleystep/barleystep/internal/balance"
	"github.com/barleystep/barleystep/internal/clock"
	"github.com/barleystep/barleystep/internal/fleet"
)

var cost = &fleet.CostModel{
	Slots: 4, KVTokens: 450_000, Stride: 46, Step: 925 * time.Microsecond, PerStream: 5 * time.Microsecond,
	PrefillRate: 256_000, PerMillionPairs: 92 * time.Microsecond, PrefillChunk: 2048, MeanPromptTokens: 13_000,
}

const (
	shortPrompt = 5_000
	longPrompt  = 210_000
)

// fixture is a balancer over some engines.
type fixture struct {
	*balance.Balancer
	clock   *clock.Manual
	targets []fleet.Target
}

func newFixture(engines int) *fixture {
	f := &fixture{clock: clock.NewManual(time.Unix(1000, 0))}
	for i := range engines {
		id := fmt.Sprintf("i-%02d", i)
		f.targets = append(f.targets, fleet.Target{ID: barleystep.TargetID(id), Service: "s", Addr: id + ":1", Hall: "h", Slots: 4})
	}
	f.Balancer = &balance.Balancer{
		Clock:   f.clock,
		Hall:    "h",
		Targets: func() []fleet.Target { return f.targets },
	}
	return f
}

func engineJob(prompt int) balance.Job {
	return balance.Job{
		Service: "s", PromptTokens: prompt, OutputTokens: 100, Objective: 300 * time.Millisecond,
		Cost: cost, MaxPause: 200 * time.Millisecond,
	}
}

func plainJob() balance.Job { return balance.Job{Service: "s", Objective: 300 * time.Millisecond} }

// place places a job, at its planned start if it has to wait for its engines.
func (f *fixture) place(t *testing.T, j balance.Job) *balance.Placement {
	p, w, err := f.TryPlace(context.Background(), j)
	quicktest.Assert(t, err, quicktest.IsNil)
	for p == nil {
		next := f.NextStart()
		quicktest.Assert(t, next.IsZero(), quicktest.IsFalse, quicktest.Commentf("the job waits and has no planned start"))
		f.clock.Advance(next.Sub(f.clock.Now()))
		f.ServePlanned()
		select {
		case p = <-w.Ready():
			quicktest.Assert(t, p, quicktest.IsNotNil, quicktest.Commentf("%v", w.Err()))
		default:
		}
	}
	return p
}

// waitUntilQueued waits until a job is in the queue.
func (f *fixture) waitUntilQueued() {
	for f.clock.PendingTimers() == 0 {
		runtime.Gosched()
	}
}

// TestCandidates checks which targets get no work.
func TestCandidates(t *testing.T) {
	cases := map[string]struct {
		change func(f *fixture, t *testing.T)
		avoid  []barleystep.TargetID
		want   barleystep.TargetID
	}{
		"draining":            {func(f *fixture, _ *testing.T) { f.targets[0].Draining = true }, nil, "i-01"},
		"another service":     {func(f *fixture, _ *testing.T) { f.targets[0].Service = "x" }, nil, "i-01"},
		"failed this request": {func(*fixture, *testing.T) {}, []barleystep.TargetID{"i-00"}, "i-01"},
		"all draining": {func(f *fixture, _ *testing.T) {
			f.targets[0].Draining, f.targets[1].Draining = true, true
		}, nil, ""},
		"unreachable": {func(f *fixture, t *testing.T) {
			j := plainJob()
			j.Avoid = []barleystep.TargetID{"i-01"}
			f.place(t, j).Done(balance.Report{Unreachable: true})
		}, nil, "i-01"},
		"unreachable, but the only one": {func(f *fixture, t *testing.T) {
			j := plainJob()
			j.Avoid = []barleystep.TargetID{"i-01"}
			f.place(t, j).Done(balance.Report{Unreachable: true})
		}, []barleystep.TargetID{"i-01"}, "i-00"},
		"address reassigned": {func(f *fixture, t *testing.T) {
			j := plainJob()
			j.Avoid = []barleystep.TargetID{"i-01"}
			f.place(t, j).Done(balance.Report{Full: true, Moved: true})
			f.clock.Advance(5 * time.Second)
		}, nil, "i-01"},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			c := quicktest.New(t)
			f := newFixture(2)
			tc.change(f, t)
			j := plainJob()
			j.Avoid = tc.avoid
			for range 20 {
				p, err := f.Place(context.Background(), j)
				if tc.want == "" {
					c.Assert(eris.Is(err, balance.ErrNoTarget), quicktest.IsTrue)
					return
				}
				c.Assert(err, quicktest.IsNil)
				c.Assert(p.Target.ID, quicktest.Equals, tc.want)
				p.Done(balance.Report{})
			}
		})
	}
}

// TestPlainRequestsSpread checks that requests to plain services are spread evenly, and that a
// failing target gets few.
func TestPlainRequestsSpread(t *testing.T) {
	c := quicktest.New(t)
	f := newFixture(3)
	counts := make(map[barleystep.TargetID]int)
	for range 9 {
		counts[f.place(t, plainJob()).Target.ID]++
	}
	for _, n := range counts {
		c.Check(n, quicktest.Equals, 3)
	}
	f = newFixture(2)
	failed := 0
	for range 100 {
		p := f.place(t, plainJob())
		bad := p.Target.ID == "i-00"
		if bad {
			failed++
		}
		p.Done(balance.Report{Failed: bad})
	}
	c.Check(failed < 30, quicktest.IsTrue, quicktest.Commentf("%d requests went to the failing target", failed))
}

// TestPeerWorkCounts checks that the work of other boxes counts.
func TestPeerWorkCounts(t *testing.T) {
	f := newFixture(2)
	s := balance.NewSnapshot()
	s.Work[balance.KeyOf("i-00")] = balance.Work{Short: 5}
	f.SetOthers(s)
	for range 3 {
		quicktest.Check(t, f.place(t, plainJob()).Target.ID, quicktest.Equals, barleystep.TargetID("i-01"))
	}
}

// TestWorkIsReleased checks that no work is left once all tries have ended, whatever they were and
// in whatever order they ended.
func TestWorkIsReleased(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		f := newFixture(rapid.IntRange(1, 12).Draw(rt, "engines"))
		var open []*balance.Placement
		for range rapid.IntRange(1, 40).Draw(rt, "steps") {
			switch {
			case len(open) < 4*len(f.targets)/2 && rapid.Bool().Draw(rt, "place"):
				prompt := rapid.SampledFrom([]int{0, shortPrompt, 45_000, longPrompt, 500_000}).Draw(rt, "prompt")
				ctx, cancel := context.WithCancel(context.Background())
				cancel() // Jobs that would have to wait are abandoned.
				if p, err := f.Place(ctx, engineJob(prompt)); err == nil {
					open = append(open, p)
				}
			case len(open) > 0:
				i := rapid.IntRange(0, len(open)-1).Draw(rt, "which")
				if rapid.Bool().Draw(rt, "first") {
					open[i].NoteFirstEvent()
				}
				open[i].Done(balance.Report{Failed: rapid.Bool().Draw(rt, "failed")})
				open = append(open[:i], open[i+1:]...)
			}
		}
		for _, p := range open {
			p.Done(balance.Report{})
		}
		if s := f.Snapshot(); len(s.Work) > 0 {
			rt.Fatalf("left: %v", s.Work)
		}
	})
}
