package follow_test

import (
	"testing"
	"time"

	"github.com/frankban/quicktest"
	"github.com/rotisserie/eris"

	"github.com/barleystep/barleystep"
	"github.com/barleystep/barleystep/internal/clock"
	"github.com/barleystep/barleystep/internal/fleet"
	"github.com/barleystep/barleystep/internal/follow"
)

// evacuation returns the record that evacuates a hall.
func evacuation(hall barleystep.HallID) barleystep.Record {
	return barleystep.NewRecord(barleystep.EvacuationKey(hall), []byte("{}"))
}

// TestEvacuated checks which halls are evacuated after changes and full reads, and that these leave
// the configuration as it is.
func TestEvacuated(t *testing.T) {
	apply := func(r barleystep.Record) func(*follow.Configuration) {
		return func(c *follow.Configuration) { c.Apply(r) }
	}
	reset := func(records ...barleystep.Record) func(*follow.Configuration) {
		return func(c *follow.Configuration) { c.Reset(append(records, record("1"))) }
	}
	takeBack := barleystep.NewRemoval(barleystep.EvacuationKey("a"))
	cases := map[string]struct {
		steps []func(*follow.Configuration)
		want  []barleystep.HallID
	}{
		"none":                         {nil, nil},
		"one":                          {[]func(*follow.Configuration){apply(evacuation("a"))}, []barleystep.HallID{"a"}},
		"two":                          {[]func(*follow.Configuration){apply(evacuation("a")), apply(evacuation("b"))}, []barleystep.HallID{"a", "b"}},
		"one taken back":               {[]func(*follow.Configuration){apply(evacuation("a")), apply(evacuation("b")), apply(takeBack)}, []barleystep.HallID{"b"}},
		"invalid value":                {[]func(*follow.Configuration){apply(barleystep.NewRecord(barleystep.EvacuationKey("a"), []byte("x")))}, []barleystep.HallID{"a"}},
		"found by a full read":         {[]func(*follow.Configuration){reset(evacuation("a"))}, []barleystep.HallID{"a"}},
		"missing from a full read":     {[]func(*follow.Configuration){apply(evacuation("a")), reset()}, nil},
		"a configuration, then a hall": {[]func(*follow.Configuration){reset(), apply(evacuation("a")), apply(record("1"))}, []barleystep.HallID{"a"}},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			c := quicktest.New(t)
			conf, manual := newConfiguration()
			conf.CheckEvacuation = func(value []byte) error {
				if string(value) != "{}" {
					return eris.New("invalid")
				}
				return nil
			}
			targets := &follow.Targets{Clock: manual, Decode: decodeHall, Log: quiet}
			conf.OnEvacuation = targets.SetEvacuated
			conf.Apply(record("1"))
			targets.Reset([]barleystep.Record{barleystep.NewRecord("i-a", []byte("a")), barleystep.NewRecord("i-b", []byte("b")), barleystep.NewRecord("i-c", []byte("c"))})
			for _, step := range tc.steps {
				step(conf)
			}
			evacuated := make(map[barleystep.HallID]bool)
			for _, hall := range tc.want {
				evacuated[hall] = true
			}
			c.Check(len(conf.Evacuated()), quicktest.Equals, len(evacuated))
			c.Check(conf.Version(), quicktest.Equals, int64(1))
			for _, target := range targets.List() {
				c.Check(target.Evacuated, quicktest.Equals, evacuated[target.Hall], quicktest.Commentf("%s", target.ID))
			}
		})
	}
}

// decodeHall decodes a target whose record's value is its hall.
func decodeHall(r barleystep.Record) (fleet.Target, error) {
	return fleet.Target{ID: barleystep.TargetID(r.Key()), Hall: barleystep.HallID(r.Value())}, nil
}

// TestInvalidEvacuationCounted checks that an evacuation with an invalid value is counted, and not
// taken for an invalid configuration, after which no confirmation holds.
func TestInvalidEvacuationCounted(t *testing.T) {
	c := quicktest.New(t)
	conf, manual := newConfiguration()
	conf.CheckEvacuation = func([]byte) error { return eris.New("invalid") }
	conf.Apply(record("1"))
	conf.Apply(evacuation("a"))
	conf.Confirmed(manual.Now(), 2)
	c.Check(conf.Age(), quicktest.Equals, time.Duration(0))
	var refused int64
	for _, n := range conf.RefusalCounts() {
		refused += n.Count
	}
	c.Check(refused, quicktest.Equals, int64(1))
}

// TestColdUntil checks until when a target counts as cold: from when its latest record was read, and
// by that record alone.
func TestColdUntil(t *testing.T) {
	c := quicktest.New(t)
	manual := clock.NewManual(time.Unix(1000, 0))
	targets := &follow.Targets{Clock: manual, Log: quiet, Decode: func(r barleystep.Record) (fleet.Target, error) {
		cold, err := time.ParseDuration(string(r.Value()))
		return fleet.Target{ID: barleystep.TargetID(r.Key()), ColdFor: cold}, err
	}}
	put := func(cold string) time.Time {
		targets.Apply(barleystep.NewRecord("i", []byte(cold)))
		return targets.List()[0].ColdUntil
	}
	c.Check(put("0s").IsZero(), quicktest.IsTrue)
	c.Check(put("3s"), quicktest.Equals, manual.Now().Add(3*time.Second))
	manual.Advance(time.Second)
	c.Check(put("2s"), quicktest.Equals, manual.Now().Add(2*time.Second))
	c.Check(put("0s").IsZero(), quicktest.IsTrue, quicktest.Commentf("warm before the time was over"))
	c.Check(put("3s"), quicktest.Equals, manual.Now().Add(3*time.Second), quicktest.Commentf("cold again"))
}
