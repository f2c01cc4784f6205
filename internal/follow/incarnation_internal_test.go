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

// decodeBorn decodes a target whose value is its start time.
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

// currentBorn returns the start time of the only target, -1 without one.
func currentBorn(t *Targets) int64 {
	if list := t.List(); len(list) == 1 {
		return list[0].StartMS
	}
	return -1
}

// TestLateIncarnation checks that a delayed update about an old incarnation does not replace a
// newer one, even if the target's clock was set back.
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
		"in order":                        {steps{whole(3, oldBorn), change(5, bornRecord(newBorn))}, newBorn},
		"a delayed change":                {steps{whole(5, newBorn), change(3, bornRecord(oldBorn))}, newBorn},
		"a delayed full update":           {steps{whole(5, newBorn), whole(3, oldBorn)}, newBorn},
		"delayed, after history was lost": {steps{whole(5, newBorn), lost, whole(3, oldBorn)}, newBorn},
		"a delayed change after that":     {steps{whole(5, newBorn), lost, change(6, bornRecord(oldBorn))}, newBorn},
		"a delayed removal":               {steps{whole(5, newBorn), change(4, barleystep.NewRemoval("i"))}, newBorn},
		"removed in between":              {steps{whole(3, oldBorn), change(4, barleystep.NewRemoval("i")), change(5, bornRecord(newBorn))}, newBorn},
		"old one delayed, new one unread": {steps{whole(4, oldBorn), whole(3, oldBorn), change(5, bornRecord(newBorn))}, newBorn},
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

// TestIncarnationsInOrder checks, with random histories of a store whose parts arrive in any
// order from the store and from other boxes, that a box never returns to an earlier
// incarnation.
func TestIncarnationsInOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		// Each revision holds the start time of the target's incarnation.
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
				t.Fatalf("incarnation %d was applied after incarnation %d", seen, newest)
			}
			newest = seen
		}
	})
}
