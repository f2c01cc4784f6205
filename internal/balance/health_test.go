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
	peerReport := balance.NewSnapshot()
	peerReport.Work[balance.KeyOf("i-00")] = balance.Work{DownReports: 1}
	unreachable := func(f *fixture, t *testing.T) {
		j := plainJob()
		j.Avoid = append(j.Avoid, "i-01")
		f.place(t, j).Done(balance.Report{Unreachable: true})
	}
	noPath := func(f *fixture, t *testing.T) {
		j := plainJob()
		j.Avoid = append(j.Avoid, "i-01")
		f.place(t, j).Done(balance.Report{NoPath: true})
	}
	forget := func(f *fixture, _ *testing.T) { f.ForgetUnreachable() }
	sendEvent := func(f *fixture, t *testing.T) {
		j := plainJob()
		j.Avoid = append(j.Avoid, "i-01")
		f.place(t, j).NoteEvent()
	}
	applyPeerReport := func(f *fixture, _ *testing.T) { f.SetOthers(peerReport) }
	wait := func(d time.Duration) func(*fixture, *testing.T) {
		return func(f *fixture, _ *testing.T) { f.clock.Advance(d) }
	}
	type steps []func(*fixture, *testing.T)
	cases := map[string]struct {
		steps steps
		want  bool
	}{
		"no reports":                            {nil, false},
		"unreachable from here":                 {steps{unreachable}, true},
		"unreachable long ago":                  {steps{unreachable, wait(time.Second)}, false},
		"unreachable from a peer":               {steps{applyPeerReport}, true},
		"unreachable from a peer, recent event": {steps{sendEvent, applyPeerReport}, false},
		"unreachable from a peer, old event":    {steps{sendEvent, wait(time.Second), applyPeerReport}, true},
		"no path from here":                     {steps{noPath}, false},
		"unreachable, then found to be cut off": {steps{unreachable, forget}, false},
		"peers reach it again":                  {steps{applyPeerReport, func(f *fixture, _ *testing.T) { f.SetOthers(balance.NewSnapshot()) }}, false},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			f := newFixture(2)
			for _, step := range tc.steps {
				step(f, t)
			}
			quicktest.Check(t, f.IsDown("i-00"), quicktest.Equals, tc.want)
			if !tc.want {
				quicktest.Check(t, f.Snapshot().Work[balance.KeyOf("i-00")].DownReports, quicktest.Equals, 0)
			}
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
		"target unreachable": {balance.Report{Unreachable: true}, true, time.Second},
		"address reassigned": {balance.Report{Full: true, Moved: true}, true, 11 * time.Second},
		"full":               {balance.Report{Full: true}, false, time.Second},
		"an error":           {balance.Report{Error: true}, false, time.Second},
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
