package soak_test

import (
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/frankban/quicktest"

	"github.com/barleystep/barleystep/internal/soak"
	"github.com/barleystep/barleystep/platform/platformtest"
)

// TestEvacuations checks which requests may still reach a target of an evacuated hall. Otherwise
// boxes could go on sending there, or boxes that cannot read the store would be blamed.
func TestEvacuations(t *testing.T) {
	const second = time.Second
	cases := map[string]struct {
		sent    time.Duration
		arrived time.Duration
		prepare func(h *soak.History)
		change  func(a *platformtest.Arrival)
		found   int
	}{
		"before":               {sent: -second, arrived: -second},
		"within the bound":     {sent: 4 * second, arrived: 4 * second},
		"after the bound":      {sent: 6 * second, arrived: 6 * second, found: 1},
		"sent before, waited":  {sent: 4 * second, arrived: 6 * second, found: 1},
		"after the evacuation": {sent: 11 * second, arrived: 11 * second},
		"not run":              {sent: 6 * second, arrived: 6 * second, change: func(a *platformtest.Arrival) { a.Run = 0 }, found: 1},
		"misdirected":          {sent: 6 * second, arrived: 6 * second, change: func(a *platformtest.Arrival) { a.Run, a.Misdirected = 0, true }},
		"another hall":         {sent: 6 * second, arrived: 6 * second, change: func(a *platformtest.Arrival) { a.Target = "t1" }},
		"store failed":         {sent: 6 * second, arrived: 6 * second, prepare: failStore},
		"store failed before":  {sent: 9500 * time.Millisecond, arrived: 9500 * time.Millisecond, prepare: failStore, found: 1},
		"box frozen": {sent: 6 * second, arrived: 6 * second, prepare: func(h *soak.History) {
			h.RecordFreeze("b0", 1, at(second))
			h.RecordThaw("b0", 1, at(3*second))
		}},
		"box frozen until its end": {sent: 2 * second, arrived: 6 * second, prepare: func(h *soak.History) {
			h.RecordFreeze("b0", 1, at(3500*time.Millisecond))
		}},
		"another box frozen": {sent: 6 * second, arrived: 6 * second, found: 1, prepare: func(h *soak.History) {
			h.RecordFreeze("b1", 1, at(second))
			h.RecordThaw("b1", 1, at(3*second))
		}},
		"connections stalled": {sent: 4 * second, arrived: 6 * second, prepare: func(h *soak.History) {
			h.RecordSilence("t0", at(3*second))
			h.RecordSilenceEnd("t0", at(6*second))
		}},
		"another target's connections stalled": {sent: 6 * second, arrived: 6 * second, found: 1, prepare: func(h *soak.History) {
			h.RecordSilence("t1", at(3*second))
			h.RecordSilenceEnd("t1", at(6*second))
		}},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			h := soak.NewHistory(map[string]string{"k": "tenant"})
			h.RecordTarget("t0", "h0")
			h.RecordTarget("t1", "h1")
			h.RecordEvacuation("h0", at(0))
			h.RecordEvacuationEnd("h0", at(10*second))
			if tc.prepare != nil {
				tc.prepare(h)
			}
			x := call(soak.KindIdempotent, tc.sent)
			a := arrival(x, 1)
			a.At = at(tc.arrived)
			if tc.change != nil {
				tc.change(&a)
			}
			h.RecordCall(x)
			h.RecordArrival(a)
			quicktest.Check(t, countViolations(h, "evacuated halls"), quicktest.Equals, tc.found)
		})
	}
}

// failStore makes the store fail from 1 s to 4 s.
func failStore(h *soak.History) {
	h.RecordStoreDown(at(time.Second))
	h.RecordStoreUp(at(4 * time.Second))
}

// TestCold checks that a cold target that falls over is reported, with what reached it in the second
// before.
func TestCold(t *testing.T) {
	c := quicktest.New(t)
	h := soak.NewHistory(map[string]string{"k": "tenant"})
	x := call(soak.KindIdempotent, 0)
	first, last := arrival(x, 1), arrival(x, 0)
	last.At = at(300 * time.Millisecond)
	h.RecordCall(x)
	h.RecordArrival(first)
	h.RecordArrival(last)
	c.Check(countViolations(h, "cold targets"), quicktest.Equals, 0)
	last.ColdCount, last.FellOver = 18, true
	h.RecordArrival(last)
	c.Check(countViolations(h, "cold targets"), quicktest.Equals, 1)
	c.Check(h.Check()[0], quicktest.Matches, "cold targets: request r1: t0 fell over .* 18 requests in a second: -300ms r1 b0/1; .*")
}

// TestLockDir checks that a second run cannot use the directory of a running one, whose logs it
// would overwrite, and that a later run can.
func TestLockDir(t *testing.T) {
	c := quicktest.New(t)
	dir := t.TempDir()
	unlock, err := soak.LockDir(dir)
	c.Assert(err, quicktest.IsNil)
	_, err = soak.LockDir(dir)
	c.Check(err, quicktest.ErrorMatches, ".*another run with this profile and seed uses .*")
	unlock()
	unlock, err = soak.LockDir(dir)
	c.Assert(err, quicktest.IsNil)
	unlock()
	_, err = soak.LockDir(filepath.Join(dir, "none"))
	c.Check(err, quicktest.ErrorIs, os.ErrNotExist)
}
