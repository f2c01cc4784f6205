package follow_test

import (
	"testing"
	"time"

	"github.com/frankban/quicktest"

	"github.com/barleystep/barleystep"
	"github.com/barleystep/barleystep/internal/clock"
	"github.com/barleystep/barleystep/internal/fleet"
	"github.com/barleystep/barleystep/internal/follow"
)

// decodeDraining decodes a target that is draining if its value is "draining".
func decodeDraining(r barleystep.Record) (fleet.Target, error) {
	return fleet.Target{ID: barleystep.TargetID(r.Key()), Draining: string(r.Value()) == "draining"}, nil
}

// TestRemovedTargets checks when a target whose record disappears is no longer used.
func TestRemovedTargets(t *testing.T) {
	ready := barleystep.NewRecord("i", []byte("ready"))
	gone := barleystep.NewRemoval("i")
	at := func(d time.Duration) func(*follow.Targets, *clock.Manual) {
		return func(s *follow.Targets, m *clock.Manual) { m.Advance(d); s.Expire() }
	}
	change := func(r barleystep.Record) func(*follow.Targets, *clock.Manual) {
		return func(s *follow.Targets, _ *clock.Manual) { s.Apply(r) }
	}
	lost := func(s *follow.Targets, m *clock.Manual) { s.Unavailable(m.Now()) }
	back := func(s *follow.Targets, m *clock.Manual) { s.Confirmed(m.Now(), 1) }
	reset := func(r ...barleystep.Record) func(*follow.Targets, *clock.Manual) {
		return func(s *follow.Targets, _ *clock.Manual) { s.Reset(r) }
	}
	type steps []func(*follow.Targets, *clock.Manual)
	cases := map[string]struct {
		steps steps
		want  int
	}{
		"removed, store available":      {steps{change(ready), change(gone)}, 0},
		"missing from a full read":      {steps{change(ready), reset()}, 0},
		"expired in a store outage":     {steps{change(ready), lost, back, change(gone), at(time.Second)}, 1},
		"expired, found by a full read": {steps{change(ready), lost, reset(), at(time.Second)}, 1},
		"expired and still missing":     {steps{change(ready), lost, back, change(gone), at(2 * time.Second)}, 0},
		"expired and back":              {steps{change(ready), lost, back, change(gone), change(ready), at(3 * time.Second)}, 1},
		"removed long after recovery":   {steps{change(ready), lost, back, at(5 * time.Second), change(gone)}, 0},
		"it was draining already":       {steps{change(barleystep.NewRecord("i", []byte("draining"))), lost, back, change(gone)}, 0},
		"kept during the outage":        {steps{change(ready), lost, at(time.Hour)}, 1},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			manual := clock.NewManual(time.Unix(1000, 0))
			s := &follow.Targets{Clock: manual, Decode: decodeDraining, Log: quiet}
			for _, step := range tc.steps {
				step(s, manual)
			}
			quicktest.Assert(t, s.List(), quicktest.HasLen, tc.want)
		})
	}
}

// TestOnChange checks that OnChange is called after each change of the list.
func TestOnChange(t *testing.T) {
	c := quicktest.New(t)
	manual := clock.NewManual(time.Unix(1000, 0))
	s := &follow.Targets{Clock: manual, Decode: decodeDraining, Log: quiet}
	var lengths []int
	s.OnChange = func() { lengths = append(lengths, len(s.List())) }
	s.Reset([]barleystep.Record{barleystep.NewRecord("i", nil)})
	s.Apply(barleystep.NewRecord("k", nil))
	s.Apply(barleystep.NewRemoval("i"))
	s.Unavailable(manual.Now())
	s.Apply(barleystep.NewRemoval("k"))
	manual.Advance(time.Hour)
	s.Expire()
	s.Expire()
	c.Check(lengths, quicktest.DeepEquals, []int{1, 2, 1, 1, 0})
}
