package balance_test

import (
	"testing"
	"time"

	"github.com/frankban/quicktest"

	"github.com/barleystep/barleystep"
	"github.com/barleystep/barleystep/internal/balance"
)

// TestLeavingHeard checks that a box which has not heard a target itself goes by what it has
// told another one, also one that meets the target only afterwards; that it does not tell it on,
// as word that goes round looks young for ever; and that a later answer takes it back everywhere.
func TestLeavingFromPeers(t *testing.T) {
	c := quicktest.New(t)
	first, second, third := newFixture(2), newFixture(2), newFixture(2)
	first.leave(t)
	second.place(t, plainJob()).Done(balance.Report{})
	second.SetOthers(first.Snapshot())
	third.SetOthers(first.Snapshot())
	c.Check(second.TargetStatus("i-00").Statement.Leaving.Value, quicktest.IsTrue)
	c.Check(second.NotLeaving([]barleystep.TargetID{"i-00"}), quicktest.HasLen, 0)
	for range 10 {
		for _, f := range []*fixture{second, third} {
			p := f.place(t, plainJob())
			c.Check(p.Target.ID, quicktest.Equals, barleystep.TargetID("i-01"))
		}
	}
	fourth := newFixture(2)
	fourth.SetOthers(second.Snapshot())
	c.Check(fourth.TargetStatus("i-00").Statement.Leaving.Value, quicktest.IsFalse)
}

// TestLeavingTakenBack checks that boxes which were told that a target leaves hear that it
// does not after all.
func TestLeavingRetracted(t *testing.T) {
	c := quicktest.New(t)
	first, second := newFixture(1), newFixture(1)
	p := first.place(t, plainJob())
	p.NoteStatement(p.Target.ID, barleystep.Statement{Leaving: true}, first.clock.Now())
	second.SetOthers(first.Snapshot())
	c.Check(second.TargetStatus("i-00").Statement.Leaving.Value, quicktest.IsTrue)
	for _, f := range []*fixture{first, second} {
		f.clock.Advance(time.Second)
	}
	p.NoteStatement(p.Target.ID, barleystep.Statement{}, first.clock.Now())
	second.SetOthers(first.Snapshot())
	c.Check(second.TargetStatus("i-00").Statement.Leaving.Value, quicktest.IsFalse)
}
