package balance_test

import (
	"context"
	"testing"
	"time"

	"github.com/frankban/quicktest"

	"github.com/barleystep/barleystep/internal/balance"
)

// TestIsDown checks when a target is considered down: by this box's own failures, or by reports of
// peers while nothing came from the target here.
func TestIsDown(t *testing.T) {
	told := balance.NewSnapshot()
	told.Work[balance.KeyOf("i-00")] = balance.Work{DownReports: 1}
	unreachable := func(f *fixture, t *testing.T) {
		j := plainJob()
		j.Avoid = append(j.Avoid, "i-01")
		f.place(t, j).Done(balance.Report{Unreachable: true})
	}
	heard := func(f *fixture, t *testing.T) {
		j := plainJob()
		j.Avoid = append(j.Avoid, "i-01")
		f.place(t, j).NoteEvent()
	}
	tell := func(f *fixture, _ *testing.T) { f.SetOthers(told) }
	wait := func(d time.Duration) func(*fixture, *testing.T) {
		return func(f *fixture, _ *testing.T) { f.clock.Advance(d) }
	}
	type steps []func(*fixture, *testing.T)
	cases := map[string]struct {
		steps steps
		want  bool
	}{
		"nothing is known":          {nil, false},
		"not reached from here":     {steps{unreachable}, true},
		"not reached long ago":      {steps{unreachable, wait(time.Second)}, false},
		"not reached by others":     {steps{tell}, true},
		"but it just sent an event": {steps{heard, tell}, false},
		"but it sent one long ago":  {steps{heard, wait(time.Second), tell}, true},
		"others reach it again":     {steps{tell, func(f *fixture, _ *testing.T) { f.SetOthers(balance.NewSnapshot()) }}, false},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			f := newFixture(2)
			for _, step := range tc.steps {
				step(f, t)
			}
			quicktest.Check(t, f.IsDown("i-00"), quicktest.Equals, tc.want)
			for range 20 {
				p, err := f.Place(context.Background(), plainJob())
				quicktest.Assert(t, err, quicktest.IsNil)
				if tc.want {
					quicktest.Check(t, string(p.Target.ID), quicktest.Equals, "i-01")
				}
				p.Done(balance.Report{})
			}
		})
	}
}

// TestDownReported checks that peers are told of a target that was unreachable, or whose address
// belongs to another one now, for the length of its backoff.
func TestDownReported(t *testing.T) {
	cases := map[string]struct {
		report balance.Report
		told   bool
		length time.Duration
	}{
		"not reached":      {balance.Report{Unreachable: true}, true, time.Second},
		"address is taken": {balance.Report{Full: true, Moved: true}, true, 11 * time.Second},
		"full":             {balance.Report{Full: true}, false, time.Second},
		"a failure":        {balance.Report{Error: true}, false, time.Second},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			f := newFixture(1)
			f.place(t, plainJob()).Done(tc.report)
			told := f.Snapshot().Work[balance.KeyOf("i-00")].DownReports > 0
			quicktest.Check(t, told, quicktest.Equals, tc.told)
			f.clock.Advance(tc.length)
			quicktest.Check(t, f.Snapshot().Work, quicktest.HasLen, 0)
		})
	}
}
