package follow

import (
	"slices"
	"strconv"
	"testing"

	"github.com/frankban/quicktest"
	"github.com/phuslu/log"
	"github.com/rotisserie/eris"
	"pgregory.net/rapid"

	"github.com/barleystep/barleystep"
	"github.com/barleystep/barleystep/internal/clock"
	"github.com/barleystep/barleystep/internal/fleet"
)

// decodeBorn reads a target whose record is the time of its start.
func decodeBorn(r barleystep.Record) (fleet.Target, error) {
	born, err := strconv.ParseInt(string(r.Value()), 10, 64)
	return fleet.Target{ID: barleystep.TargetID(r.Key()), StartMS: born}, eris.Wrap(err, "decode")
}

func bornRecord(born int64) barleystep.Record {
	return barleystep.NewRecord("i", []byte(strconv.FormatInt(born, 10)))
}

func newTargetsFollower() (*Follower, *Targets) {
	quiet := &log.Logger{Level: log.PanicLevel}
	targets := &Targets{Clock: &clock.Manual{}, Decode: decodeBorn, Log: quiet}
	return &Follower{Clock: &clock.Manual{}, Handler: targets, Log: quiet}, targets
}

// bornNow returns when the only target started, -1 without one.
func currentBorn(t *Targets) int64 {
	if list := t.List(); len(list) == 1 {
		return list[0].StartMS
	}
	return -1
}

// TestLateLifetime checks that what is relayed late of an old lifetime does not take the
// place of a newer one, whose clock may have been set back.
func TestLateIncarnation(t *testing.T) {
	const (
		oldBorn = 900
		newBorn = 100
	)
	whole := func(rev barleystep.Revision, born int64) func(*Follower) {
		return func(f *Follower) {
			f.applyUpdate(Update{Records: []barleystep.Record{bornRecord(born)}, Full: true, Revision: rev})
		}
	}
	change := func(rev barleystep.Revision, records ...barleystep.Record) func(*Follower) {
		return func(f *Follower) { f.applyUpdate(Update{Records: records, Revision: rev}) }
	}
	lost := func(f *Follower) { f.invalidate() }
	type steps []func(*Follower)
	cases := map[string]struct {
		steps steps
		want  int64
	}{
		"in order":                         {steps{whole(3, oldBorn), change(5, bornRecord(newBorn))}, newBorn},
		"a late change":                    {steps{whole(5, newBorn), change(3, bornRecord(oldBorn))}, newBorn},
		"a late whole topic":               {steps{whole(5, newBorn), whole(3, oldBorn)}, newBorn},
		"late, after history was lost":     {steps{whole(5, newBorn), lost, whole(3, oldBorn)}, newBorn},
		"a late change after that":         {steps{whole(5, newBorn), lost, change(6, bornRecord(oldBorn))}, newBorn},
		"a late removal":                   {steps{whole(5, newBorn), change(4, barleystep.NewRemoval("i"))}, newBorn},
		"gone between them":                {steps{whole(3, oldBorn), change(4, barleystep.NewRemoval("i")), change(5, bornRecord(newBorn))}, newBorn},
		"the old one late, the new unread": {steps{whole(4, oldBorn), whole(3, oldBorn), change(5, bornRecord(newBorn))}, newBorn},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			f, targets := newTargetsFollower()
			for _, step := range tc.steps {
				step(f)
			}
			quicktest.Check(t, currentBorn(targets), quicktest.Equals, tc.want)
		})
	}
}

// TestLifetimesInOrder checks, over drawn histories of a store and any order in which parts of
// them come from it and from other boxes, that a box never goes back to an earlier lifetime.
func TestIncarnationsInOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		// The target's entry at each revision is the start of its lifetime then.
		births := rapid.SliceOfN(rapid.Int64Range(1, 1000), 2, 12).Draw(t, "births")
		slices.Sort(births)
		births = slices.Compact(births)
		births = rapid.Permutation(births).Draw(t, "by clocks that step")
		f, targets := newTargetsFollower()
		newest := -1
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			at := rapid.IntRange(0, len(births)-1).Draw(t, "revision")
			u := Update{Records: []barleystep.Record{bornRecord(births[at])}, Revision: barleystep.Revision(at + 1)}
			switch rapid.IntRange(0, 3).Draw(t, "kind") {
			case 0:
				f.invalidate()
				continue
			case 1:
				u.Full = true
			}
			f.applyUpdate(u)
			seen := slices.Index(births, currentBorn(targets))
			if seen < newest {
				t.Fatalf("lifetime %d was taken after lifetime %d", seen, newest)
			}
			newest = seen
		}
	})
}
