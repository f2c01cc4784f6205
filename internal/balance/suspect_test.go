package balance_test

import (
	"context"
	"testing"
	"time"

	"github.com/frankban/quicktest"
	"github.com/rotisserie/eris"

	"github.com/barleystep/barleystep"
	"github.com/barleystep/barleystep/internal/balance"
	"github.com/barleystep/barleystep/internal/suspect"
)

const bodySize = 100

// suspectFixture is a balancer that knows of two suspects.
type suspectFixture struct {
	*fixture
	registry *suspect.Registry
	first    suspect.Digest
	second   suspect.Digest
}

func newSuspectFixture(engines int) *suspectFixture {
	f := newFixture(engines)
	registry := &suspect.Registry{Clock: f.clock}
	f.Suspects = registry
	t := &suspectFixture{f, registry, suspect.Request{RequestURI: "/a"}.Digest(), suspect.Request{RequestURI: "/b"}.Digest()}
	t.recordEnd(t.first, 1)
	t.recordEnd(t.second, 2)
	return t
}

// recordEnd records the end of a target that had the request.
func (t *suspectFixture) recordEnd(d suspect.Digest, key uint32) {
	t.registry.RecordEnd(d, bodySize, suspect.NewEnd(key, t.clock.Now(), suspect.BeforeFirstEvent|suspect.RanAlone))
}

// tryPlace tries to place a suspect.
func (t *suspectFixture) tryPlace(j balance.Job, d suspect.Digest) (*balance.Placement, *balance.QueuedJob, error) {
	j.Suspect = d
	return t.TryPlace(context.Background(), j)
}

// TestSuspectRunsAlone checks that a suspect gets the target with the least to lose, without
// helpers, and that nothing else goes there for a while.
func TestSuspectRunsAlone(t *testing.T) {
	for name, j := range map[string]balance.Job{"plain": plainJob(), "short": engineJob(shortPrompt), "long": engineJob(longPrompt)} {
		t.Run(name, func(t *testing.T) {
			c := quicktest.New(t)
			f := newSuspectFixture(6)
			others := balance.NewSnapshot()
			for _, target := range f.targets[1:] {
				others.Work[balance.KeyOf(string(target.ID))] = balance.Work{Short: 2}
			}
			f.SetOthers(others)
			p, _, err := f.tryPlace(j, f.first)
			c.Assert(err, quicktest.IsNil)
			c.Assert(p, quicktest.IsNotNil)
			c.Check(p.Target.ID, quicktest.Equals, barleystep.TargetID("i-00"))
			c.Check(p.Helpers, quicktest.HasLen, 0)
			for range 10 {
				f.place(t, plainJob()).Done(balance.Report{})
				o := f.place(t, engineJob(shortPrompt))
				c.Check(o.Target.ID, quicktest.Not(quicktest.Equals), p.Target.ID)
				o.Done(balance.Report{})
			}
			p.Done(balance.Report{})
			f.clock.Advance(time.Millisecond)
			f.registry.RecordSuccess(f.first, bodySize)
			f.SetOthers(balance.NewSnapshot())
			seen := false
			for range 200 {
				o := f.place(t, plainJob())
				seen = seen || o.Target.ID == p.Target.ID
				o.Done(balance.Report{})
			}
			c.Check(seen, quicktest.IsTrue)
		})
	}
}

// TestOneSuspectAtATime checks when the next attempt at the same request, or at another suspect, is
// placed.
func TestOneSuspectAtATime(t *testing.T) {
	cases := map[string]struct {
		engines int
		between func(f *suspectFixture)
		other   bool // other places another suspect.
		again   bool // again places the same attempt.
		placed  bool
		err     error
	}{
		"while it runs":                  {12, func(*suspectFixture) {}, false, false, false, nil},
		"the same attempt asks again":    {12, func(*suspectFixture) {}, false, true, true, nil},
		"while it runs, another suspect": {12, func(*suspectFixture) {}, true, false, true, nil},
		"another suspect, few targets":   {3, func(*suspectFixture) {}, true, false, false, nil},
		"another suspect, a while later": {3, func(f *suspectFixture) { f.clock.Advance(time.Second) }, true, false, true, nil},
		"its target has ended":           {12, func(f *suspectFixture) { f.recordEnd(f.first, 7) }, false, false, true, nil},
		"it succeeded": {12, func(f *suspectFixture) {
			f.clock.Advance(time.Millisecond)
			f.registry.RecordSuccess(f.first, bodySize)
		}, false, false, true, nil},
		"no outcome known":              {12, func(f *suspectFixture) { f.clock.Advance(2 * time.Second) }, false, false, false, nil},
		"no outcome known, timed out":   {12, func(f *suspectFixture) { f.clock.Advance(4 * time.Second) }, false, false, true, nil},
		"three targets have ended":      {12, func(f *suspectFixture) { f.recordEnd(f.first, 7); f.recordEnd(f.first, 8) }, false, false, false, balance.ErrSuspectRefused},
		"a known end is reported again": {12, func(f *suspectFixture) { f.recordEnd(f.first, 1) }, false, false, false, nil},
		"not the lead, and no lead answers": {12, func(f *suspectFixture) {
			f.Lead = unusedLead{eris.New("no answer")}
			f.SetRole(balance.Role{Boxes: 9, Reachable: 9})
		}, false, false, false, balance.ErrFull},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			c := quicktest.New(t)
			f := newSuspectFixture(tc.engines)
			first := engineJob(shortPrompt)
			first.RequestID = "first"
			_, _, err := f.tryPlace(first, f.first)
			c.Assert(err, quicktest.IsNil)
			tc.between(f)
			j, d := engineJob(shortPrompt), f.first
			j.RequestID = "second"
			if tc.other {
				d = f.second
			}
			if tc.again {
				j.RequestID = "first"
			}
			p, _, err := f.tryPlace(j, d)
			c.Check(p != nil, quicktest.Equals, tc.placed)
			c.Check(eris.Is(err, tc.err), quicktest.Equals, true)
		})
	}
}

// TestSuspectWaits checks that all queued suspects stop waiting once the run before them is known to
// have done no harm, and are then placed as other requests are. It guards against harmless requests
// that run one after the other though their suspicion has ended.
func TestSuspectWaits(t *testing.T) {
	c := quicktest.New(t)
	f := newSuspectFixture(12)
	_, _, err := f.tryPlace(engineJob(shortPrompt), f.first)
	c.Assert(err, quicktest.IsNil)
	var queued []*balance.QueuedJob
	for _, id := range []string{"second", "third"} {
		j := engineJob(shortPrompt)
		j.RequestID = id
		_, w, err := f.tryPlace(j, f.first)
		c.Assert(err, quicktest.IsNil)
		queued = append(queued, w)
	}
	f.SetOthers(balance.NewSnapshot())
	for _, w := range queued {
		select {
		case <-w.Ready():
			t.Fatalf("it does not wait: %v", w.Err())
		default:
		}
	}
	f.clock.Advance(time.Millisecond)
	f.registry.RecordSuccess(f.first, bodySize)
	f.SetOthers(balance.NewSnapshot())
	for _, w := range queued {
		select {
		case p := <-w.Ready():
			c.Check(p, quicktest.IsNil)
		default:
			t.Fatal("it still waits")
		}
		c.Check(w.Err(), quicktest.ErrorIs, balance.ErrSuspectCleared)
		p, _, err := f.TryPlace(context.Background(), engineJob(shortPrompt))
		c.Check(err, quicktest.IsNil)
		c.Check(p, quicktest.IsNotNil)
	}
}
